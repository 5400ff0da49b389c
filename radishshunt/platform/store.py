"""Client of the users' store: rows, changes and conditional writes over HTTP."""

from __future__ import annotations

import base64
import json
from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

import trio

from radishshunt.errors import OutcomeUnknown, PlatformUnavailable, ProtocolError
from radishshunt.gateway.exchange import Answer, ExchangeError, OutgoingRequest
from radishshunt.gateway.rows import Change, Commit, HistoryLost, Row, RowStore, Topic
from radishshunt.gateway.target_pool import TargetPool
from radishshunt.platform.names import (
    CHANGES_PATH,
    OPERATOR_TABLE,
    OWN_TABLE,
    ROWS_PATH,
    TARGETS_TABLE,
    TRANSACTION_PATH,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

_TABLES = {
    Topic.OPERATOR: OPERATOR_TABLE,
    Topic.TARGETS: TARGETS_TABLE,
    Topic.OWN: OWN_TABLE,
}
# The store answers in some milliseconds; on its slow days in some hundred.
CALL_SECONDS = 1.0
PAGE_ROWS = 500
OK = 200
# A condition of a commit does not hold.
CONDITION_FAILED = 412
# The history asked for is no longer there.
HISTORY_GONE = 410
# The store answers these without doing anything.
REFUSED = (429, 503)


class HttpRowStore(RowStore):
    """Rows behind the users' HTTP interface.

    :param address: ``ip:port`` of the store.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._pool = TargetPool(address)

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
            answer = await self._call("POST", TRANSACTION_PATH, json.dumps(doc).encode())
        except ExchangeError as exc:
            raise OutcomeUnknown(f"commit: {exc}") from exc
        if answer.status == CONDITION_FAILED:
            current = {row.key: row for row in _rows(_document(answer).get("Rows", []))}
            return Commit(done=False, version=0, current=current)
        if answer.status != OK:
            raise OutcomeUnknown(f"commit: status {answer.status}")
        return Commit(done=True, version=int(_document(answer)["RowVersion"]))

    async def _read_call(self, path: str, query: dict[str, Any], wait: float) -> dict[str, Any]:
        try:
            answer = await self._call("GET", f"{path}?{urlencode(query)}", b"", wait)
        except ExchangeError as exc:
            raise PlatformUnavailable(f"{path}: {exc}") from exc
        if answer.status == HISTORY_GONE:
            raise HistoryLost
        doc = _document(answer)
        if answer.status != OK or "RowVersion" not in doc:
            raise PlatformUnavailable(f"{path}: status {answer.status}")
        return doc

    async def _call(self, method: str, target: str, body: bytes, wait: float = 0.0) -> Answer:
        """Return the store's answer.

        :param wait: Seconds for which the store may hold the answer back.
        :raises PlatformUnavailable: If the call had no effect.
        :raises ExchangeError: If it may have had one.
        """
        headers = [(b"host", self._address.encode())]
        if body:
            headers.append((b"content-type", b"application/json"))
            headers.append((b"content-length", str(len(body)).encode()))
        req = OutgoingRequest(method.encode(), target.encode(), headers, body)
        try:
            with trio.move_on_after(CALL_SECONDS + wait):
                answer = await self._pool.exchange(req, repeatable=not body)
                if answer.status in REFUSED:
                    raise PlatformUnavailable(f"{method} {target}: status {answer.status}")
                return answer
        except ExchangeError as exc:
            if exc.sent:
                raise
            raise PlatformUnavailable(f"{method} {target}: {exc}") from exc
        raise ExchangeError(f"no answer within {CALL_SECONDS + wait} s", sent=True)


def _document(answer: Answer) -> dict[str, Any]:
    """Return the JSON object in an answer.

    :raises ProtocolError: If there is none.
    """
    try:
        doc = json.loads(answer.body) if answer.body else {}
    except ValueError as exc:
        raise ProtocolError(f"answer of the store: {exc}") from exc
    if not isinstance(doc, dict):
        raise ProtocolError("answer of the store: not an object")
    return doc


def _rows(items: Any) -> list[Row]:
    rows = []
    for item in items:
        if item.get("part"):
            continue
        gone = bool(item.get("IsGone"))
        value = None if gone else base64.b64decode(item.get("Value") or "")
        rows.append(Row(str(item["Key"]), int(item.get("RowVersion", 0)), value))
    return rows
