"""Rows of a restored store that contradict what a host knew before the restore."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from radishshunt.gateway.rows import Topic, restore_count

if TYPE_CHECKING:
    from radishshunt.clock import Clock
    from radishshunt.gateway.rows import Row


@dataclass(slots=True)
class DisputedRow:
    """A row that contradicts newer knowledge.

    :param row: The row, ``None`` if the store lacks it.
    :param restores: Number of restores of the store.
    :param deadline: Time from which the row counts if nobody has written it again.
    """

    row: Row | None
    restores: int
    deadline: float


class DisputedRows:
    """Rows that are not applied until their writers have had the time to write them again."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._rows: dict[Topic, dict[str, DisputedRow]] = {topic: {} for topic in Topic}

    def add(self, topic: Topic, key: str, row: Row | None, version: int, seconds: float) -> None:
        """Record a row that is not applied yet.

        :param version: Version of the store, which tells the restore.
        :param seconds: Time in which the row can be written again.
        """
        known = self._rows[topic].get(key)
        deadline = self._clock.now() + seconds
        if known is not None and known.restores == restore_count(version):
            deadline = known.deadline
        self._rows[topic][key] = DisputedRow(row, restore_count(version), deadline)

    def discard(self, topic: Topic, key: str) -> None:
        """Forget a row that has been written again."""
        self._rows[topic].pop(key, None)

    def delay(self, seconds: float) -> None:
        """Give the writers more time, as nobody could write while the store was away."""
        for rows in self._rows.values():
            for disputed in rows.values():
                disputed.deadline += seconds

    def rows(self, topic: Topic) -> tuple[Row, ...]:
        """Return the rows of a topic that exist in the store."""
        return tuple(item.row for item in self._rows[topic].values() if item.row is not None)

    def take_due(self, time: float) -> list[tuple[Topic, str, Row | None]]:
        """Remove and return the rows whose deadline was up to a time, with topic and key."""
        due = [
            (topic, key, disputed.row)
            for topic, rows in self._rows.items()
            for key, disputed in rows.items()
            if disputed.deadline <= time
        ]
        for topic, key, _ in due:
            del self._rows[topic][key]
        return due
