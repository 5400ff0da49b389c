"""Client of the users' store: rows, changes and conditional writes over HTTP."""

from __future__ import annotations

import base64
import json
from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

import httpx

from radishshunt.errors import OutcomeUnknown, PlatformUnavailable, ProtocolError
from radishshunt.gateway.rows import Change, Commit, HistoryLost, Row, RowStore, Topic
from radishshunt.platform.names import (
    CHANGES_PATH,
    OPERATOR_TABLE,
    OWN_TABLE,
    ROWS_PATH,
    TARGETS_TABLE,
    TRANSACTION_PATH,
)
from radishshunt.target_transport import TargetTransport

if TYPE_CHECKING:
    from collections.abc import Sequence

_TABLES = {
    Topic.OPERATOR: OPERATOR_TABLE,
    Topic.TARGETS: TARGETS_TABLE,
    Topic.OWN: OWN_TABLE,
}
# The store answers in some milliseconds; on its slow days in some hundred.
CALL_SECONDS = 1.0
CONNECT_SECONDS = 0.5
# Feeds of all topics, a read and a write at once.
CONNECTIONS = 8
# The store keeps an idle connection for longer.
IDLE_SECONDS = 5.0
PAGE_ROWS = 500


class HttpRowStore(RowStore):
    """Rows behind the users' HTTP interface.

    :param address: ``ip:port`` of the store.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._transport = TargetTransport(
            address, connections=CONNECTIONS, idle_seconds=IDLE_SECONDS
        )
        self.calls = 0

    async def read(self, topic: Topic) -> Change:
        rows: dict[str, Row] = {}
        version = 0
        start = ""
        while True:
            query = {"Table": _TABLES[topic], "part": "", "Limit": PAGE_ROWS}
            if start:
                query["From"] = start
            doc = await self._read_call(ROWS_PATH, query, 0.0)
            page = _rows(doc.get("Rows", []))
            rows.update((row.key, row) for row in page)
            # A later page is of a later moment; changes are followed from the first page on.
            version = version or int(doc["RowVersion"])
            if not doc.get("HasMore") or not page:
                return Change(topic, tuple(rows.values()), version, whole=True)
            start = page[-1].key + "\0"

    async def changes(self, topic: Topic, after: int, wait_seconds: float) -> Change:
        query = {"Table": _TABLES[topic], "after": after, "WaitMs": round(wait_seconds * 1000)}
        doc = await self._read_call(CHANGES_PATH, query, wait_seconds)
        version = max(after, int(doc["RowVersion"]))
        return Change(topic, tuple(_rows(doc.get("Rows", []))), version, whole=False)

    async def commit(self, checks: dict[str, int], writes: Sequence[tuple[str, bytes]]) -> Commit:
        own = {"Table": OWN_TABLE, "part": ""}
        doc = {
            "ExpectRev": [{**own, "Key": key, "RowVersion": v} for key, v in checks.items()],
            "Puts": [
                {**own, "Key": key, "Value": base64.b64encode(value).decode()}
                for key, value in writes
            ],
            "Remove": [],
        }
        try:
            status, answer = await self._call("POST", TRANSACTION_PATH, json.dumps(doc).encode())
        except httpx.HTTPError as exc:
            raise OutcomeUnknown(f"commit: {type(exc).__name__} {exc}") from exc
        if status not in (200, 412):
            raise OutcomeUnknown(f"commit: status {status}")
        if status == 412:
            current = {row.key: row for row in _rows(answer.get("Rows", []))}
            return Commit(done=False, version=0, current=current)
        return Commit(done=True, version=int(answer["RowVersion"]))

    async def _read_call(self, path: str, query: dict[str, Any], wait: float) -> dict[str, Any]:
        try:
            status, doc = await self._call("GET", f"{path}?{urlencode(query)}", b"", wait)
        except httpx.HTTPError as exc:
            raise PlatformUnavailable(f"{path}: {type(exc).__name__} {exc}") from exc
        if status == 410:
            raise HistoryLost
        if status != 200 or "RowVersion" not in doc:
            raise PlatformUnavailable(f"{path}: status {status}")
        return doc

    async def _call(
        self, method: str, target: str, body: bytes, wait: float = 0.0
    ) -> tuple[int, dict[str, Any]]:
        self.calls += 1
        headers = [(b"host", self._address.encode())]
        if body:
            headers.append((b"content-type", b"application/json"))
            headers.append((b"content-length", str(len(body)).encode()))
        try:
            resp = await self._transport.request(
                method,
                target.encode(),
                headers,
                body,
                seconds=CALL_SECONDS + wait,
                connect_seconds=CONNECT_SECONDS,
            )
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as exc:
            raise PlatformUnavailable(f"{method} {target}: {type(exc).__name__} {exc}") from exc
        try:
            content = await resp.aread()
        finally:
            await resp.aclose()
        if resp.status_code in (429, 503):
            raise PlatformUnavailable(f"{method} {target}: status {resp.status_code}")
        try:
            doc = json.loads(content) if content else {}
        except ValueError as exc:
            raise ProtocolError(f"{method} {target}: {exc}") from exc
        if not isinstance(doc, dict):
            raise ProtocolError(f"{method} {target}: not an object")
        return resp.status_code, doc


def _rows(items: Any) -> list[Row]:
    rows = []
    for item in items:
        if item.get("part"):
            continue
        gone = bool(item.get("IsGone"))
        value = None if gone else base64.b64decode(item.get("Value") or "")
        rows.append(Row(str(item["Key"]), int(item.get("RowVersion", 0)), value))
    return rows
