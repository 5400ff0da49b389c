"""Reading the rows of groups that have changed, without a scan of the table."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from radishshunt.platform import Table, TableRow, Transaction

GROUP_PREFIX = "group/"
# Every transaction that writes a group's row also writes this row and, for each bucket of its
# keys, the row ``changes/NN``. Transactions do not check the versions of these rows, so writers do
# not conflict over them; only the versions and the keys that the last writer stored are used. As
# long as nothing changes, a reader reads only this one small row.
CHANGES_KEY = "changes"
BUCKET_COUNT = 64
KEYS_PER_READ = 256


@dataclass(frozen=True, slots=True)
class Changes:
    """Result of a read.

    :param requested: The rows that were requested by key.
    :param groups: Rows of groups that may have changed since the last read.
    :param complete: Whether ``groups`` holds the rows of all groups.
    """

    requested: dict[str, TableRow]
    groups: dict[str, TableRow]
    complete: bool


def add_change_markers(tx: Transaction) -> Transaction:
    """Return a transaction that also writes the change markers of the groups' rows it writes."""
    buckets: dict[str, list[str]] = {}
    for key in tx.writes:
        if key.startswith(GROUP_PREFIX):
            buckets.setdefault(_bucket_key(key), []).append(key)
    if not buckets:
        return tx
    markers: dict[str, bytes | None] = {CHANGES_KEY: b""}
    markers |= {bucket: "\n".join(keys).encode() for bucket, keys in buckets.items()}
    return replace(tx, writes={**tx.writes, **markers})


class ChangeReader:
    """Reads the changes of one table.

    :param known_keys: Returns the keys of the groups' rows that the reader's user has.
    """

    def __init__(self, table: Table, known_keys: Callable[[], Iterable[str]]) -> None:
        self._table = table
        self._known_keys = known_keys
        self._changes_version = 0
        self._bucket_versions: dict[str, int] = {}
        self._ready = False

    @property
    def ready(self) -> bool:
        """Whether the next read returns only changed rows of groups, and not all."""
        return self._ready

    def reset(self) -> None:
        """Let the next read return the rows of all groups."""
        self._ready = False

    async def read(self, keys: Sequence[str]) -> Changes:
        """Read the given rows and the rows of groups that have changed.

        :raises PlatformUnavailable: If the platform does not answer.
        """
        rows = await self._table.read([*keys, CHANGES_KEY])
        requested = {key: rows[key] for key in keys}
        changes_version = rows[CHANGES_KEY].version
        if not self._ready:
            # Markers are read before the rows, so that a change in between is read again.
            markers = await self._read_markers()
            groups = await self._table.scan(GROUP_PREFIX)
            self._advance(changes_version, markers)
            self._ready = True
            return Changes(requested, groups, complete=True)
        if changes_version == self._changes_version:
            return Changes(requested, {}, complete=False)
        markers = await self._read_markers()
        changed = self._changed_keys(markers)
        groups = {}
        for start in range(0, len(changed), KEYS_PER_READ):
            groups |= await self._table.read(changed[start : start + KEYS_PER_READ])
        self._advance(changes_version, markers)
        return Changes(requested, groups, complete=False)

    async def _read_markers(self) -> dict[str, TableRow]:
        return await self._table.read(
            [f"{CHANGES_KEY}/{number:02d}" for number in range(BUCKET_COUNT)]
        )

    def _advance(self, changes_version: int, markers: dict[str, TableRow]) -> None:
        self._changes_version = changes_version
        self._bucket_versions = {key: row.version for key, row in markers.items()}

    def _changed_keys(self, markers: dict[str, TableRow]) -> list[str]:
        keys: set[str] = set()
        incomplete: set[str] = set()
        for bucket, row in markers.items():
            last_version = self._bucket_versions.get(bucket, 0)
            if row.version != last_version:
                keys.update(row.value.decode().splitlines())
            if row.version > last_version + 1:
                # Several transactions wrote this bucket, which holds the last one's keys only.
                incomplete.add(bucket)
        if incomplete:
            keys.update(key for key in self._known_keys() if _bucket_key(key) in incomplete)
        return sorted(keys)


def _bucket_key(key: str) -> str:
    return f"{CHANGES_KEY}/{xxh3_64_intdigest(key.encode()) % BUCKET_COUNT:02d}"
