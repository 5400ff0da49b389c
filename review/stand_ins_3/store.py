"""Stand-in for the platform's store: rows of tables, their changes and transactions."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

from stand_ins_3.http import encode_response, read_body, read_head

TRANSACTION_SECONDS = 0.008
READ_SECONDS = 0.004


class Store:
    """Keeps rows in memory and loses nothing.

    Each machine reaches it at an address of its own, so that its path can be cut.

    :ivar last_writer: Address of the machine that last wrote under a condition.
    """

    def __init__(self) -> None:
        self.last_writer = ""
        self._open: dict[str, asyncio.Event] = {}
        self._rows: dict[tuple[str, str], tuple[str, int]] = {}
        self._log: list[tuple[int, str, str, str | None]] = []
        self._version = 0
        self._changed = asyncio.Event()

    async def start(self, ip: str, port: int) -> asyncio.Server:
        """Serve the calls that arrive at an address."""
        self._open[ip] = asyncio.Event()
        self._open[ip].set()
        return await asyncio.start_server(self._serve, ip, port)

    def cut(self, ip: str) -> None:
        """Let nothing more arrive at an address; what is sent there arrives after the cut."""
        self._open[ip].clear()

    def heal(self, ip: str) -> None:
        """End the cut of an address."""
        self._open[ip].set()

    def put(self, table: str, key: str, document: dict[str, Any]) -> None:
        """Write a row as the operator or a worker does."""
        self._version += 1
        self._set(table, key, base64.b64encode(json.dumps(document).encode()).decode())
        self._notify()

    def remove(self, table: str, key: str) -> None:
        """Remove a row as the operator or a worker does."""
        self._version += 1
        self._set(table, key, None)
        self._notify()

    def _set(self, table: str, key: str, value: str | None) -> None:
        if value is None:
            self._rows.pop((table, key), None)
        else:
            self._rows[table, key] = (value, self._version)
        self._log.append((self._version, table, key, value))

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                (method, target, _), headers = await read_head(reader)
                body = await read_body(reader, headers)
                ip = writer.get_extra_info("sockname")[0]
                await self._open[ip].wait()
                if method == "POST":
                    self.last_writer = ip
                url = urlsplit(target)
                query = {name: values[0] for name, values in parse_qs(url.query).items()}
                status, document = await self._answer(method, url.path, query, body)
                document |= {"RowVersion": self._version, "TimeMs": time.monotonic() * 1000}
                content = {"Content-Type": "application/json"}
                writer.write(encode_response(status, content, json.dumps(document).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(
        self, method: str, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, Any]]:
        if (method, path) == ("POST", "/radishshunt/rows-tx"):
            await asyncio.sleep(TRANSACTION_SECONDS)
            return self._transact(json.loads(body))
        await asyncio.sleep(READ_SECONDS)
        if path == "/radishshunt/rows-get":
            return 200, self._read(query)
        if path == "/radishshunt/rows-feed":
            return 200, await self._follow(query)
        return 404, {}

    def _transact(self, call: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        expected = {(item["Table"], item["Key"]): item["RowVersion"] for item in call["ExpectRev"]}
        current = {key: self._rows.get(key, ("", 0))[1] for key in expected}
        if current != expected:
            return 412, {"Rows": [self._row(*key) for key in expected if key in self._rows]}
        self._version += 1
        for item in call["Puts"]:
            self._set(item["Table"], item["Key"], item["Value"])
        for item in call["Remove"]:
            self._set(item["Table"], item["Key"], None)
        self._notify()
        return 200, {}

    def _row(self, table: str, key: str) -> dict[str, Any]:
        value, version = self._rows[table, key]
        return {"Table": table, "part": "", "Key": key, "Value": value, "RowVersion": version}

    def _read(self, query: dict[str, str]) -> dict[str, Any]:
        first, limit = query.get("From", ""), min(500, int(query.get("Limit", "500")))
        keys = sorted(k for t, k in self._rows if t == query["Table"] and k >= first)
        rows = [self._row(query["Table"], key) for key in keys[:limit]]
        return {"Rows": rows, "HasMore": len(keys) > limit}

    async def _follow(self, query: dict[str, str]) -> dict[str, Any]:
        table, after = query["Table"], int(query["after"])
        ends_at = time.monotonic() + int(query.get("WaitMs", "0")) / 1000
        while True:
            changes = {k: (v, value) for v, t, k, value in self._log if v > after and t == table}
            wait = ends_at - time.monotonic()
            if changes or wait <= 0:
                break
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), wait)
            except TimeoutError:
                continue
        rows = []
        for key, (version, value) in sorted(changes.items(), key=lambda item: item[1][0]):
            row = {"Table": table, "part": "", "Key": key, "RowVersion": version}
            rows.append(row | ({"IsGone": True} if value is None else {"Value": value}))
        return {"Rows": rows}
