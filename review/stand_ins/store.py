"""Stand-in for the platform's store: rows, changes and conditional writes; all parts are empty."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from typing import TYPE_CHECKING
from urllib.parse import parse_qs, urlsplit

from stand_ins.http import encode, read_message

if TYPE_CHECKING:
    from collections.abc import Callable

ANSWER_SECONDS = 0.004
MAX_PAGE_ROWS = 500


class Store:
    """The platform's store on one address.

    :ivar calls: Number of calls.
    :ivar down: Whether no call is performed and answered.
    :ivar silent_for: Names of the machines whose calls are not performed and not answered.
    :ivar on_write: Called with each row that a machine has written: machine, key and value.
    """

    def __init__(self) -> None:
        self.calls = 0
        self.down = False
        self.silent_for: set[str] = set()
        self.on_write: Callable[[str, str, bytes], None] | None = None
        self._version = 1
        # Version and value of each row by table and key; the value of a removed row is ``None``.
        self._rows: dict[tuple[str, str], tuple[int, bytes | None]] = {}
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: bytes | None) -> None:
        """Write or remove a row, as the operator and the workers do."""
        self._version += 1
        self._rows[table, key] = (self._version, value)
        self._wake()

    def put_doc(self, table: str, key: str, doc: dict) -> None:
        """Write a row whose value is a JSON document."""
        self.put(table, key, json.dumps(doc).encode())

    async def serve(
        self, machine: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection of a machine."""
        try:
            while (msg := await read_message(reader)) is not None:
                self.calls += 1
                await asyncio.sleep(ANSWER_SECONDS)
                url = urlsplit(msg.start[1])
                query = {name: values[0] for name, values in parse_qs(url.query).items()}
                if self._is_silent(machine):
                    await self._lose(reader)
                    return
                status, doc = await self._answer(machine, url.path, query, msg.body)
                if self._is_silent(machine) and "WaitMs" in query:
                    await self._lose(reader)
                    return
                body = json.dumps(doc).encode()
                writer.write(
                    encode(f"HTTP/1.1 {status} -", {"Content-Type": "application/json"}, body)
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def _is_silent(self, machine: str) -> bool:
        return self.down or machine in self.silent_for

    async def _lose(self, reader: asyncio.StreamReader) -> None:
        """Leave a connection without an answer until the other end closes it."""
        while await reader.read(65536):
            pass

    async def _answer(
        self, machine: str, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, dict]:
        if path == "/radishshunt/rows-get":
            return 200, self._read(query)
        if path == "/radishshunt/rows-feed":
            return 200, await self._feed(query)
        if path == "/radishshunt/rows-tx":
            return self._transact(machine, json.loads(body))
        return 404, {}

    def _read(self, query: dict[str, str]) -> dict:
        keys = sorted(
            key
            for (table, key), (_, value) in self._rows.items()
            if table == query["Table"] and value is not None and key >= query.get("From", "")
        )
        limit = min(MAX_PAGE_ROWS, int(query.get("Limit", MAX_PAGE_ROWS)))
        rows = [self._row(query["Table"], key) for key in keys[:limit]]
        return {"Rows": rows, "HasMore": len(keys) > limit, **self._stamp()}

    async def _feed(self, query: dict[str, str]) -> dict:
        after, until = int(query["after"]), time.monotonic() + int(query["WaitMs"]) / 1000
        while True:
            keys = [
                (version, key)
                for (table, key), (version, _) in self._rows.items()
                if table == query["Table"] and version > after
            ]
            remaining = until - time.monotonic()
            if keys or remaining <= 0:
                rows = [self._row(query["Table"], key) for _, key in sorted(keys)]
                return {"Rows": rows, **self._stamp()}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), remaining)
            except TimeoutError:
                continue

    def _transact(self, machine: str, doc: dict) -> tuple[int, dict]:
        stale = [
            row
            for row in doc.get("ExpectRev", [])
            if self._current_version(row["Table"], row["Key"]) != row["RowVersion"]
        ]
        if stale:
            rows = [self._row(row["Table"], row["Key"]) for row in stale]
            return 412, {"Rows": rows, **self._stamp()}
        self._version += 1
        for row in doc.get("Puts", []):
            value = base64.b64decode(row["Value"])
            self._rows[row["Table"], row["Key"]] = (self._version, value)
            if self.on_write is not None:
                self.on_write(machine, row["Key"], value)
        for row in doc.get("Remove", []):
            self._rows[row["Table"], row["Key"]] = (self._version, None)
        self._wake()
        return 200, self._stamp()

    def _current_version(self, table: str, key: str) -> int:
        version, value = self._rows.get((table, key), (0, None))
        return version if value is not None else 0

    def _row(self, table: str, key: str) -> dict:
        version, value = self._rows.get((table, key), (0, None))
        row = {"Table": table, "part": "", "Key": key, "RowVersion": version}
        if value is None:
            return row | {"RowVersion": version, "IsGone": True}
        return row | {"Value": base64.b64encode(value).decode()}

    def _stamp(self) -> dict[str, int]:
        return {"RowVersion": self._version, "TimeMs": int(time.monotonic() * 1000)}

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
