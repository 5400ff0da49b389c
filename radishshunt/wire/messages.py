"""Messages between hosts as data classes."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from radishshunt.suspect import Suspect

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

    :param generation: Generation under which the sender dispatches the group.
    :param load: Number of running and queued requests, divided by the group's slots.
    """

    service: str
    group: int
    generation: int
    load: float = 0.0


@dataclass(slots=True)
class Member:
    """State of a host as propagated with heartbeats.

    :param state: Value of :class:`radishshunt.members.State`.
    :param at: Time at which the state became known, in seconds since the Unix epoch; the latest
        update wins.
    """

    host: str
    incarnation: int
    domain: str
    address: str
    state: int
    at: float


@dataclass(slots=True)
class Heartbeat:
    """State of a host, sent to its peers, which answer with their own heartbeat.

    :param sent_at: Seconds since the Unix epoch on the sender's clock.
    :param platform_seen_at: Latest time known to the sender at which any host read the platform.
    :param rows_digest: Digest of the generations of all rows known to the sender.
    :param members_digest: Digest of the sender's membership view.
    :param members: Membership updates.
    :param echo: ``sent_at`` of the receiver's last answer that reached the sender, 0 for none.
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

    def urgent_fields(self) -> tuple:
        """Return the fields that hosts sharing a group with the sender must learn immediately."""
        groups = tuple((g.service, g.group, g.generation) for g in self.groups)
        suspects = tuple((s.fingerprint, s.deaths) for s in self.suspects)
        return self.catalog_version, self.leaving, groups, suspects


@dataclass(slots=True)
class Pulse:
    """Keep-alive message between heartbeats, answered with another one.

    :param sent_at: Seconds since the Unix epoch on the sender's clock.
    :param echo: As in :class:`Heartbeat`.
    """

    sent_at: float
    echo: float
    catalog_version: int


@dataclass(slots=True)
class RequestHead:
    """Start of a forwarded request, followed by chunks and an end.

    :param query: Whether to answer from the intent records only, without running the request.
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
    """Start of an answer, followed by chunks and an end."""

    status: int
    headers: Headers


@dataclass(slots=True)
class Failure:
    """Ends a stream whose request got no answer from its target.

    :param retry_after: Seconds after which the caller should retry, negative if unspecified.
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
    """Ends a stream early, because its sender needs no further messages of it."""


@dataclass(slots=True)
class Window:
    """Flow-control update: the receiver has consumed this many bytes of chunks."""

    size: int


@dataclass(slots=True)
class Probe:
    """Asks when the peer last received a message from another host."""

    host: str


@dataclass(slots=True)
class ProbeAnswer:
    """Time at which the peer last received a message from the host, 0 for never."""

    heard_at: float


@dataclass(slots=True)
class Intent:
    """Record of a non-idempotent request, stored by the dispatcher and the standby dispatcher.

    :param state: ``sent``, ``answered``, ``ran`` (answered, but the answer is not stored),
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
    """Batch of records for the standby dispatcher, answered with an acknowledgement or a failure.

    :param generation: Generation under which the sender dispatches the group.
    :param source: Incarnation of the sending dispatcher.
    :param sequence: Number of the batch; 0 starts a transfer of all records of the group.
    :param complete: Whether the receiver has all records of the group after this batch.
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
    """Requests a group's records for a new dispatcher, answered with :class:`Intents`.

    :param generation: Generation of the new dispatcher; the receiver rejects new records of
        lower generations from then on.
    :param sequence: Number of the page.
    """

    service: str
    group: int
    generation: int
    sequence: int


@dataclass(slots=True)
class Acknowledge:
    """Answer to a message that requires no other answer."""

    accepted: bool


@dataclass(slots=True)
class Fetch:
    """Requests a document, for example ``catalog`` or ``row/<service>/<group>``."""

    name: str


@dataclass(slots=True)
class Document:
    """A versioned document; version 0 and empty content if the peer does not have it."""

    name: str
    version: int
    content: bytes


@dataclass(slots=True)
class Announce:
    """A document that the sender pushes to the peer."""

    name: str
    version: int
    content: bytes


@dataclass(slots=True)
class Notice:
    """Update about the dispatcher of a group, answered with an acknowledgement.

    :param kind: ``taken-over`` informs all hosts of a new dispatcher, ``hand-over`` asks the
        standby dispatcher to take over, ``hold`` asks it not to take over under the generation's
        row.
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
