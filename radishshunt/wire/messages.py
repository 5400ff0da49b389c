"""Data classes of the messages between hosts."""

from __future__ import annotations

from dataclasses import dataclass, field

PROTOCOL_VERSION = 1

Headers = list[tuple[str, str]]


@dataclass(slots=True)
class Hello:
    """First message on a connection, in both directions."""

    protocol: int
    host: str
    incarnation: int
    domain: str


@dataclass(slots=True)
class GroupState:
    """A group that the sender dispatches.

    :param generation: Generation that the sender uses for the group.
    :param load: Requests running and queued, divided by the group's slots.
    """

    service: str
    group: int
    generation: int
    load: float = 0.0


@dataclass(slots=True)
class Suspect:
    """A request that was running on targets as they were lost.

    :param deaths: Incarnations of the lost targets; hosts take the union of what they know.
    :param expires_at: Seconds since the Unix epoch.
    """

    fingerprint: int
    deaths: list[int]
    idempotency_key: str
    expires_at: float


@dataclass(slots=True)
class Member:
    """What is known of a host, as it spreads with heartbeats.

    :param state: Value of :class:`radishshunt.members.State`.
    :param at: When it became known, in seconds since the Unix epoch; later news wins.
    """

    host: str
    incarnation: int
    domain: str
    address: str
    state: int
    at: float


@dataclass(slots=True)
class Heartbeat:
    """State of a host, sent to its peers and answered with their own.

    :param sent_at: Seconds since the Unix epoch on the sender's clock.
    :param platform_seen_at: Latest time at which a host known to the sender read the platform.
    :param rows_digest: Digest of the generations of all rows that the sender knows.
    :param members_digest: Digest of the sender's view of the hosts.
    :param members: News of hosts.
    :param echo: Time in the receiver's last answer that reached the sender, 0 for none.
    """

    host: str
    incarnation: int
    domain: str
    address: str
    catalog_version: int
    groups: list[GroupState] = field(default_factory=list)
    suspects: list[Suspect] = field(default_factory=list)
    leaving: bool = False
    sent_at: float = 0.0
    platform_seen_at: float = 0.0
    rows_digest: int = 0
    members_digest: int = 0
    members: list[Member] = field(default_factory=list)
    echo: float = 0.0

    def urgent(self) -> tuple:
        """Return the part that a host sharing a group with the sender has to know at once."""
        groups = tuple((g.service, g.group, g.generation) for g in self.groups)
        suspects = tuple((s.fingerprint, s.deaths) for s in self.suspects)
        return self.catalog_version, self.leaving, groups, suspects


@dataclass(slots=True)
class Pulse:
    """Sign of life between heartbeats, answered with another one.

    :param sent_at: Seconds since the Unix epoch on the sender's clock.
    :param echo: As in :class:`Heartbeat`.
    """

    sent_at: float
    echo: float
    catalog_version: int


@dataclass(slots=True)
class RequestHead:
    """Start of a forwarded request; chunks and an end follow.

    :param query: Whether to answer from the records only and never to run the request.
    """

    id: str
    service: str
    key: str
    method: str
    path: str
    headers: Headers
    deadline: float
    idempotency_key: str
    group: int
    query: bool = False


@dataclass(slots=True)
class ResponseHead:
    """Start of an answer; chunks and an end follow."""

    status: int
    headers: Headers


@dataclass(slots=True)
class Failure:
    """End of a stream whose request has no answer from its target.

    :param retry_after: Seconds, or a negative number if there is no advice.
    """

    outcome: str
    reason: str
    detail: str
    status: int
    retry_after: float = -1.0


@dataclass(slots=True)
class Chunk:
    """Part of a body."""

    data: bytes


@dataclass(slots=True)
class End:
    """End of a body."""


@dataclass(slots=True)
class Cancel:
    """The sender has no more interest in the stream."""


@dataclass(slots=True)
class Window:
    """The receiver has consumed this many bytes of chunks."""

    size: int


@dataclass(slots=True)
class Probe:
    """Ask when the peer last heard from another host."""

    host: str


@dataclass(slots=True)
class ProbeAnswer:
    """When the peer last heard from the host, 0 for never."""

    heard_at: float


@dataclass(slots=True)
class Intent:
    """Record of a non-idempotent request, kept by dispatcher and standby dispatcher.

    :param state: ``sent``, ``answered``, ``ran`` (answered, but the answer is not kept),
        ``unknown`` or ``not-run``.
    :param created_at: Seconds since the Unix epoch.
    """

    service: str
    group: int
    generation: int
    idempotency_key: str
    fingerprint: int
    created_at: float
    state: str
    status: int = 0
    headers: Headers = field(default_factory=list)
    body: bytes = b""


@dataclass(slots=True)
class Intents:
    """Records for the standby dispatcher, answered with an acknowledgement or a failure.

    :param generation: Generation that the sending dispatcher uses for the group.
    :param source: Incarnation of the sending dispatcher.
    :param sequence: Number of the batch; 0 begins the transfer of all records of the group.
    :param complete: Whether the receiver has all records of the group with this batch.
    """

    service: str
    group: int
    generation: int
    source: int
    sequence: int
    complete: bool
    records: list[Intent]


@dataclass(slots=True)
class IntentFetch:
    """Ask for a group's records on behalf of a new dispatcher, answered with :class:`Intents`.

    :param generation: Generation of the new dispatcher; the receiver takes no new records of
        lower ones from then on.
    :param sequence: Number of the page.
    """

    service: str
    group: int
    generation: int
    sequence: int


@dataclass(slots=True)
class Acknowledge:
    """Answer to a message that needs no other."""

    accepted: bool


@dataclass(slots=True)
class Fetch:
    """Ask for a document: ``catalog`` or ``row/<service>/<group>``."""

    name: str


@dataclass(slots=True)
class Document:
    """A versioned document; version 0 and no content if the peer has none."""

    name: str
    version: int
    content: bytes


@dataclass(slots=True)
class Announce:
    """A document that the sender wants the peer to know."""

    name: str
    version: int
    content: bytes


@dataclass(slots=True)
class Notice:
    """News of who dispatches a group, answered with an acknowledgement.

    :param kind: ``taken-over`` tells all hosts of a new dispatcher, ``hand-over`` asks the standby
        dispatcher to take over, ``hold`` asks it not to take over under the generation's row.
    :param deadline: For ``hand-over``, the end of the last grant that the sender has issued, in
        seconds since the Unix epoch.
    """

    kind: str
    service: str
    group: int
    generation: int
    deadline: float = 0.0


Message = (
    Hello
    | Heartbeat
    | RequestHead
    | ResponseHead
    | Failure
    | Chunk
    | End
    | Cancel
    | Window
    | Probe
    | ProbeAnswer
    | Intents
    | IntentFetch
    | Acknowledge
    | Fetch
    | Document
    | Announce
    | Notice
    | Pulse
)
