"""Reading the rows of groups that have changed, without a scan of the table."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from radishshunt.platform import Table, TableRow, Transaction

GROUP_PREFIX = "group/"
# Every transaction that writes a group's row also writes this row and one of the rows below it.
# Neither is checked, so writers do not conflict over them; only their versions and the keys that
# the last writer left matter. A reader of a steady table reads this one small row.
CHANGES_KEY = "changes"
BUCKETS = 64
KEYS_PER_READ = 256


@dataclass(frozen=True, slots=True)
class Changes:
    """What a reader found.

    :param asked: Rows that the reader asked for besides those of groups.
    :param groups: Rows of groups that may have changed since the last read.
    :param complete: Whether ``groups`` holds every row of a group.
    """

    asked: dict[str, TableRow]
    groups: dict[str, TableRow]
    complete: bool


def mark_changes(tx: Transaction) -> Transaction:
    """Return a transaction that also marks the rows of groups that it writes as changed."""
    buckets: dict[str, list[str]] = {}
    for key in tx.writes:
        if key.startswith(GROUP_PREFIX):
            buckets.setdefault(_bucket_key(key), []).append(key)
    if not buckets:
        return tx
    marks: dict[str, bytes | None] = {CHANGES_KEY: b""}
    marks |= {bucket: "\n".join(keys).encode() for bucket, keys in buckets.items()}
    return replace(tx, writes={**tx.writes, **marks})


class RowReader:
    """Reads the changes of one table.

    :param known: Returns the keys of the rows of groups that the reader's user knows.
    """

    def __init__(self, table: Table, known: Callable[[], Iterable[str]]) -> None:
        self._table = table
        self._known = known
        self._changes = 0
        self._buckets: dict[str, int] = {}
        self._ready = False

    @property
    def ready(self) -> bool:
        """Whether the next read gives changes only, and not all rows."""
        return self._ready

    def reset(self) -> None:
        """Let the next read give all rows."""
        self._ready = False

    async def read(self, keys: Sequence[str]) -> Changes:
        """Read the given rows and the rows of groups that have changed.

        :raises PlatformUnavailable: If the platform does not answer.
        """
        rows = await self._table.read([*keys, CHANGES_KEY])
        asked = {key: rows[key] for key in keys}
        changes = rows[CHANGES_KEY].version
        if not self._ready:
            # The marks are read before the rows, so that a change between the two is read again.
            marks = await self._read_marks()
            groups = await self._table.scan(GROUP_PREFIX)
            self._advance(changes, marks)
            self._ready = True
            return Changes(asked, groups, complete=True)
        if changes == self._changes:
            return Changes(asked, {}, complete=False)
        marks = await self._read_marks()
        changed = self._changed_keys(marks)
        groups = {}
        for start in range(0, len(changed), KEYS_PER_READ):
            groups |= await self._table.read(changed[start : start + KEYS_PER_READ])
        self._advance(changes, marks)
        return Changes(asked, groups, complete=False)

    async def _read_marks(self) -> dict[str, TableRow]:
        return await self._table.read([f"{CHANGES_KEY}/{number:02d}" for number in range(BUCKETS)])

    def _advance(self, changes: int, marks: dict[str, TableRow]) -> None:
        self._changes = changes
        self._buckets = {key: row.version for key, row in marks.items()}

    def _changed_keys(self, marks: dict[str, TableRow]) -> list[str]:
        keys: set[str] = set()
        unclear: set[str] = set()
        for bucket, row in marks.items():
            before = self._buckets.get(bucket, 0)
            if row.version != before:
                keys.update(row.value.decode().splitlines())
            if row.version > before + 1:
                # Several writers have left their marks, and only the last one's keys are known.
                unclear.add(bucket)
        if unclear:
            keys.update(key for key in self._known() if _bucket_key(key) in unclear)
        return sorted(keys)


def _bucket_key(key: str) -> str:
    return f"{CHANGES_KEY}/{xxh3_64_intdigest(key.encode()) % BUCKETS:02d}"
