"""In-memory platform services, for tests and emulators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from radishshunt.errors import ConflictError
from radishshunt.platform import (
    ABSENT,
    CommitResult,
    CommitStatus,
    HostList,
    ObjectStore,
    Table,
    TableRow,
    Transaction,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from radishshunt.model import HostInfo


class MemoryTable(Table):
    """Table that keeps its rows in a dictionary."""

    def __init__(self) -> None:
        self._rows: dict[str, TableRow] = {}
        self._deleted_versions: dict[str, int] = {}
        self._outcomes: dict[str, CommitResult] = {}

    async def read(self, keys: Sequence[str]) -> dict[str, TableRow]:
        return {key: self._rows.get(key, ABSENT) for key in keys}

    async def scan(self, prefix: str) -> dict[str, TableRow]:
        return {key: row for key, row in self._rows.items() if key.startswith(prefix)}

    async def commit(self, tx: Transaction) -> CommitResult:
        if tx.transaction_id in self._outcomes:
            return self._outcomes[tx.transaction_id]
        if any(self._rows.get(k, ABSENT).version != v for k, v in tx.checks.items()):
            return CommitResult(CommitStatus.CONFLICT)
        versions = {}
        for key, value in tx.writes.items():
            # A row that is written again after its deletion continues from its last version;
            # otherwise a delayed compare-and-set could match the new row by accident.
            version = (
                max(self._rows.get(key, ABSENT).version, self._deleted_versions.pop(key, 0)) + 1
            )
            if value is None:
                self._rows.pop(key, None)
                self._deleted_versions[key] = version
            else:
                self._rows[key] = TableRow(version, value)
            versions[key] = version
        result = CommitResult(CommitStatus.COMMITTED, versions)
        self._outcomes[tx.transaction_id] = result
        return result

    async def outcome(self, transaction_id: str) -> CommitResult | None:
        return self._outcomes.get(transaction_id)


class MemoryObjectStore(ObjectStore):
    """Object store that keeps its objects in a dictionary."""

    def __init__(self) -> None:
        self._objects: dict[str, bytes] = {}

    async def put(self, name: str, content: bytes) -> None:
        if self._objects.setdefault(name, content) != content:
            raise ConflictError(f"object {name} exists with other content")

    async def get(self, name: str) -> bytes | None:
        return self._objects.get(name)


class MemoryHostList(HostList):
    """Host list that returns the entries that its user has set."""

    def __init__(self) -> None:
        self.entries: dict[str, HostInfo] = {}

    async def hosts(self) -> list[HostInfo]:
        return list(self.entries.values())
