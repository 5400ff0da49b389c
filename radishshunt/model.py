"""Data classes shared by the components of a host."""

from __future__ import annotations

import json
import secrets
from dataclasses import asdict, dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from radishshunt.slices import SliceAssignment, SliceMap, from_ranges, to_ranges

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = [
    "GroupId",
    "GroupRow",
    "HostInfo",
    "HostRef",
    "Outcome",
    "Request",
    "Response",
    "SliceAssignment",
    "body_of",
    "ip_of",
    "new_incarnation",
    "read_body",
]
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"})


def new_incarnation() -> int:
    """Return a random 63-bit number that identifies one run of a process."""
    return secrets.randbits(63)


class Outcome(Enum):
    """Whether a request that ended without an answer of its target has run."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RAN = "ran"


def ip_of(address: str) -> str:
    """Return the IP address of an ``ip:port``, without brackets."""
    return address.rpartition(":")[0].strip("[]")


@dataclass(frozen=True, slots=True)
class HostRef:
    """One incarnation of an entry host."""

    host: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class HostInfo:
    """A host as described by the platform's host list or by its heartbeats.

    :param address: ``ip:port`` of the host's peer listener.
    """

    host: str
    domain: str
    address: str
    incarnation: int = 0
    leaving: bool = False


@dataclass(frozen=True, slots=True, order=True)
class GroupId:
    """Identifier of a dispatch group, unique across services."""

    service: str
    group: int

    def __str__(self) -> str:
        return f"{self.service}/{self.group}"

    @property
    def row_key(self) -> str:
        """Key of the group's row in the platform's table."""
        return f"group/{self.service}/{self.group}"


@dataclass(frozen=True, slots=True)
class GroupRow:
    """Row of a dispatch group in the platform's table.

    :param generation: Even number, increased by two with every change.
    :param targets: Names of the group's targets.
    :param slices: Assignment of each slice; empty for services without keys.
    :param unfenced: For each former target, the slices it may still hold a grant for.
    :param former_hosts: Incarnations of hosts that may have issued those grants.
    :param version: Version of the table row this was read from, 0 if never written.
    """

    group: GroupId
    generation: int
    dispatcher: HostRef
    standby_dispatcher: HostRef | None
    targets: tuple[str, ...]
    slices: Mapping[int, SliceAssignment] = field(default_factory=dict)
    unfenced: dict[str, tuple[int, ...]] = field(default_factory=dict)
    former_hosts: tuple[HostRef, ...] = ()
    version: int = 0

    def __post_init__(self) -> None:
        if not isinstance(self.slices, SliceMap):
            object.__setattr__(self, "slices", SliceMap(self.slices))

    def to_json(self) -> bytes:
        """Return the row as JSON, without its table version."""
        standby = self.standby_dispatcher
        doc = {
            "group": asdict(self.group),
            "generation": self.generation,
            "dispatcher": asdict(self.dispatcher),
            "standby_dispatcher": asdict(standby) if standby else None,
            "targets": self.targets,
            "slices": self.slices.to_document(),
            "unfenced": {name: to_ranges(numbers) for name, numbers in self.unfenced.items()},
            "former_hosts": [asdict(ref) for ref in self.former_hosts],
        }
        return json.dumps(doc, separators=(",", ":"), sort_keys=True).encode()

    @classmethod
    def from_json(cls, data: bytes, version: int) -> GroupRow:
        """Parse a row.

        :param data: Result of :meth:`to_json`.
        :param version: Version of the table row.
        """
        doc = json.loads(data)
        standby = doc["standby_dispatcher"]
        return cls(
            group=GroupId(**doc["group"]),
            generation=doc["generation"],
            dispatcher=HostRef(**doc["dispatcher"]),
            standby_dispatcher=HostRef(**standby) if standby else None,
            targets=tuple(doc["targets"]),
            slices=SliceMap.from_document(doc["slices"]),
            unfenced={name: tuple(from_ranges(r)) for name, r in doc["unfenced"].items()},
            former_hosts=tuple(HostRef(**ref) for ref in doc["former_hosts"]),
            version=version,
        )


@dataclass(slots=True)
class Request:
    """A caller's request on its way to a target.

    :param deadline: Seconds since the Unix epoch.
    :param headers: Name and value of each header to forward, names in lower case.
    :param body: Chunks of the body; can be iterated only once.
    :param lookup_only: Whether to answer only from the records and never run the request.
    """

    id: str
    service: str
    key: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: AsyncIterator[bytes]
    deadline: float
    idempotency_key: str = ""
    lookup_only: bool = False

    @property
    def record_key(self) -> str:
        """Key of the request's record: the caller's idempotency key, or the request id."""
        return self.idempotency_key or self.id

    @property
    def idempotent(self) -> bool:
        """Whether running the request twice has the same effect as running it once."""
        return self.method in IDEMPOTENT_METHODS


@dataclass(slots=True)
class Response:
    """A target's answer on its way to the caller.

    :param body: Chunks of the body. An error while iterating means that the answer is truncated.
    """

    status: int
    headers: list[tuple[str, str]]
    body: AsyncIterator[bytes]


async def body_of(data: bytes) -> AsyncIterator[bytes]:
    """Yield a body that is already in memory.

    :param data: The whole body.
    """
    if data:
        yield data


async def read_body(body: AsyncIterator[bytes], limit: int) -> bytes | None:
    """Read a whole body into memory.

    :param limit: Largest size in bytes.
    :return: The body, or ``None`` if it is larger than the limit.
    """
    chunks: list[bytes] = []
    size = 0
    async for chunk in body:
        size += len(chunk)
        if size > limit:
            return None
        chunks.append(chunk)
    return b"".join(chunks)
