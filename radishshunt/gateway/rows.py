"""Interface to the rows of the platform's store."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from radishshunt.gateway.model import Configuration, TargetEntry

# Versions that the store gives out after it was restored from a copy exceed all earlier ones: the
# bits above this one count the restores.
RESTORE_SHIFT = 40


def restore_count(version: int) -> int:
    """Return how often the store had been restored when it gave out a version."""
    return version >> RESTORE_SHIFT


class Topic(Enum):
    """A table of the store that every host follows."""

    OPERATOR = "operator"
    TARGETS = "targets"
    OWN = "own"


@dataclass(frozen=True, slots=True)
class Row:
    """A row of a table.

    :param version: Version of the transaction that wrote the row; 0 if the row does not exist. A
        row of the router's own table keeps it when the store is restored from a copy; the rows of
        other writers have a new one afterwards.
    :param value: Content, ``None`` if the row was removed.
    :param base: Version that the value is a delta against, in messages between hosts; 0 if the
        value is complete.
    :param changed_after: Time on the host's clock before which the row did not have this state,
        ``-inf`` if unknown.
    """

    key: str
    version: int
    value: bytes | None
    base: int = 0
    changed_after: float = field(default=float("-inf"), compare=False)


@dataclass(frozen=True, slots=True)
class Change:
    """Changed rows of a topic.

    :param rows: The changed rows, or all rows if ``whole``.
    :param version: Newest version of the store that is included.
    :param whole: Whether ``rows`` is complete, so that rows that are not listed do not exist.
    :param time_ms: Time of the store's steady clock at which it was read, 0 if unknown.
    """

    topic: Topic
    rows: tuple[Row, ...]
    version: int
    whole: bool
    time_ms: float = field(default=0.0, compare=False)

    def with_rows_changed_after(self, time: float) -> Change:
        """Return the change with a time before which none of its rows had their state."""
        return replace(self, rows=tuple(replace(row, changed_after=time) for row in self.rows))

    def with_clock_shifted(self, seconds: float) -> Change:
        """Return the change with the times of its rows on a clock that is ahead by some seconds."""
        rows = tuple(replace(row, changed_after=row.changed_after + seconds) for row in self.rows)
        return replace(self, rows=rows)


@dataclass(frozen=True, slots=True)
class Commit:
    """Result of a transaction.

    :param done: Whether the transaction was applied.
    :param version: Version of the written rows if the transaction was applied.
    :param current: Rows that did not have the expected version, by key.
    :param time_ms: Time of the store's steady clock, 0 if unknown.
    """

    done: bool
    version: int
    current: dict[str, Row] = field(default_factory=dict)
    time_ms: int = 0


class HistoryLost(Exception):
    """The store no longer has all changes since the requested version."""


class StoreRestored(Exception):
    """The store was restored from a copy, and may have lost rows that were read before."""


class RowStore(ABC):
    """The platform's table service.

    All calls raise :exc:`~radishshunt.errors.PlatformUnavailable` if they failed without effect.
    :meth:`commit` raises :exc:`~radishshunt.errors.PlatformOutcomeUnknown` if the transaction may
    have taken effect, or may still do so later.
    """

    @abstractmethod
    async def read(self, topic: Topic) -> Change:
        """Return all rows of a topic."""

    @abstractmethod
    async def changes(self, topic: Topic, after: int, wait_seconds: float) -> Change:
        """Return the rows that changed after a version, waiting for the first change.

        :raises HistoryLost: If all rows have to be read again, also because the store was restored
            after it gave out the version.
        """

    @abstractmethod
    async def commit(self, checks: dict[str, int], writes: Sequence[tuple[str, bytes]]) -> Commit:
        """Write rows of the router's own table if the checked rows have the expected versions.

        :param checks: Version that each row must have, by key; 0 if it must not exist.
        :param writes: Pairs of key and value, which is a JSON object.
        :raises StoreRestored: If a checked row has to be read again, because the store was restored
            since. The transaction may have been applied.
        """


class RowReader(ABC):
    """Decodes the rows that the platform writes."""

    @abstractmethod
    def is_configuration(self, key: str) -> bool:
        """Return whether the operators' row with this key holds the configuration."""

    @abstractmethod
    def configuration(self, value: bytes) -> Configuration:
        """Decode the configuration from the value of a row.

        :raises ProtocolError: If the value is malformed.
        """

    @abstractmethod
    def evacuated_domain(self, key: str) -> str | None:
        """Return the failure domain that the row with this key evacuates, or ``None``."""

    @abstractmethod
    def target(self, key: str, value: bytes) -> TargetEntry:
        """Decode a target's entry from a row.

        :raises ProtocolError: If the entry describes no usable target.
        """
