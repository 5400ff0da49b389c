"""The platform's services: a transactional table, an object store and a host list."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING
from uuid import uuid4

if TYPE_CHECKING:
    from collections.abc import Sequence

    from radishshunt.model import HostInfo


@dataclass(frozen=True, slots=True)
class TableRow:
    """A row of the table.

    :param version: Increased by every write of the row, also across its deletion; 0 means that
        the row does not exist.
    """

    version: int
    value: bytes


ABSENT = TableRow(0, b"")


@dataclass(frozen=True, slots=True)
class Transaction:
    """A compare-and-set over several rows.

    :param checks: Version that each row must have, 0 for an absent row.
    :param writes: New value of each row, ``None`` to delete it.
    :param transaction_id: Identifies the transaction, so that its outcome can be read back if the
        answer is lost.
    """

    checks: dict[str, int]
    writes: dict[str, bytes | None]
    transaction_id: str = field(default_factory=lambda: uuid4().hex)


class CommitStatus(Enum):
    """Outcome of a transaction."""

    COMMITTED = "committed"
    CONFLICT = "conflict"


@dataclass(frozen=True, slots=True)
class CommitResult:
    """Answer to a commit.

    :param versions: New version of each written row, if committed.
    """

    status: CommitStatus
    versions: dict[str, int] = field(default_factory=dict)


class Table(ABC):
    """Transactional table of the platform.

    All methods raise :exc:`~radishshunt.errors.PlatformUnavailable` if the call had no effect,
    and :meth:`commit` raises :exc:`~radishshunt.errors.PlatformOutcomeUnknown` if it may have had
    one.
    """

    @abstractmethod
    async def read(self, keys: Sequence[str]) -> dict[str, TableRow]:
        """Return the rows of the keys; absent rows have version 0."""

    @abstractmethod
    async def scan(self, prefix: str) -> dict[str, TableRow]:
        """Return all rows whose keys start with a prefix."""

    @abstractmethod
    async def commit(self, tx: Transaction) -> CommitResult:
        """Write all rows of a transaction, or none if a check fails."""

    @abstractmethod
    async def outcome(self, transaction_id: str) -> CommitResult | None:
        """Return the outcome of a transaction, or ``None`` if it never took effect."""


class ObjectStore(ABC):
    """Object store of the platform. Objects are written once."""

    @abstractmethod
    async def put(self, name: str, content: bytes) -> None:
        """Store an object; storing the same content again is allowed."""

    @abstractmethod
    async def get(self, name: str) -> bytes | None:
        """Return an object, or ``None`` if there is none."""


class HostList(ABC):
    """List of running and leaving entry hosts; it lags behind their actual state."""

    @abstractmethod
    async def hosts(self) -> list[HostInfo]:
        """Return the hosts in the last state that the platform knows."""


@dataclass(frozen=True, slots=True)
class Platform:
    """The three services of one platform."""

    table: Table
    objects: ObjectStore
    host_list: HostList
