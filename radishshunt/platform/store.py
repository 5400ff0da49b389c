"""HTTP client of the users' store: rows, changes and conditional writes."""

from __future__ import annotations

import base64
import json
from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

import trio

from radishshunt.errors import PlatformOutcomeUnknown, PlatformUnavailable, ProtocolError
from radishshunt.gateway.exchange import ExchangeError, HttpResponse, OutgoingRequest
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
# The store usually answers within some milliseconds, and within some hundred when it is slow.
CALL_TIMEOUT_SECONDS = 1.0
PAGE_ROWS = 500
OK_STATUS = 200
# Status if a row does not have the version that a commit expects.
CONDITION_FAILED_STATUS = 412
# Status if the store no longer has the requested changes.
HISTORY_GONE_STATUS = 410
# Statuses of calls that the store refused, without any effect.
REFUSED_STATUSES = (429, 503)


class HttpRowStore(RowStore):
    """Row store over the HTTP interface of the users' store.

    :param address: ``ip:port`` of the store.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._pool = TargetPool(address)

    async def read(self, topic: Topic) -> Change:
        rows: dict[str, Row] = {}
        version = 0
        start_key = ""
        while True:
            query = {"Table": _TABLES[topic], "part": "", "Limit": PAGE_ROWS}
            if start_key:
                query["From"] = start_key
            doc = await self._read_call(ROWS_PATH, query, 0.0)
            page = _decode_rows(doc.get("Rows", []))
            rows.update((row.key, row) for row in page)
            # Later pages may contain later writes. Changes are followed from the version of the
            # first page, so that none is missed.
            version = version or int(doc["RowVersion"])
            if not doc.get("HasMore") or not page:
                return Change(topic, tuple(rows.values()), version, whole=True)
            start_key = page[-1].key + "\0"

    async def changes(self, topic: Topic, after: int, wait_seconds: float) -> Change:
        query = {"Table": _TABLES[topic], "after": after, "WaitMs": round(wait_seconds * 1000)}
        doc = await self._read_call(CHANGES_PATH, query, wait_seconds)
        version = max(after, int(doc["RowVersion"]))
        return Change(topic, tuple(_decode_rows(doc.get("Rows", []))), version, whole=False)

    async def commit(self, checks: dict[str, int], writes: Sequence[tuple[str, bytes]]) -> Commit:
        own_table = {"Table": OWN_TABLE, "part": ""}
        doc = {
            "ExpectRev": [{**own_table, "Key": key, "RowVersion": v} for key, v in checks.items()],
            "Puts": [
                {**own_table, "Key": key, "Value": base64.b64encode(value).decode()}
                for key, value in writes
            ],
            "Remove": [],
        }
        try:
            answer = await self._call("POST", TRANSACTION_PATH, json.dumps(doc).encode())
        except ExchangeError as exc:
            raise PlatformOutcomeUnknown(f"commit: {exc}") from exc
        if answer.status == CONDITION_FAILED_STATUS:
            doc = _decode_object(answer)
            current = {row.key: row for row in _decode_rows(doc.get("Rows", []))}
            return Commit(False, 0, current, _time_ms(doc))
        if answer.status != OK_STATUS:
            raise PlatformOutcomeUnknown(f"commit: status {answer.status}")
        doc = _decode_object(answer)
        return Commit(True, int(doc["RowVersion"]), time_ms=_time_ms(doc))

    async def _read_call(self, path: str, query: dict[str, Any], wait: float) -> dict[str, Any]:
        try:
            answer = await self._call("GET", f"{path}?{urlencode(query)}", b"", wait)
        except ExchangeError as exc:
            raise PlatformUnavailable(f"{path}: {exc}") from exc
        if answer.status == HISTORY_GONE_STATUS:
            raise HistoryLost
        doc = _decode_object(answer)
        if answer.status != OK_STATUS or "RowVersion" not in doc:
            raise PlatformUnavailable(f"{path}: status {answer.status}")
        return doc

    async def _call(
        self, method: str, request_target: str, body: bytes, wait: float = 0.0
    ) -> HttpResponse:
        """Return the store's answer.

        :param request_target: Path and query.
        :param wait: Seconds for which the store may delay the answer until there are changes.
        :raises PlatformUnavailable: If the call had no effect.
        :raises ExchangeError: If the call may have had an effect.
        """
        headers = [(b"host", self._address.encode())]
        if body:
            headers.append((b"content-type", b"application/json"))
            headers.append((b"content-length", str(len(body)).encode()))
        req = OutgoingRequest(method.encode(), request_target.encode(), headers, body)
        try:
            with trio.move_on_after(CALL_TIMEOUT_SECONDS + wait):
                answer = await self._pool.exchange(req, repeatable=not body)
                if answer.status in REFUSED_STATUSES:
                    raise PlatformUnavailable(f"{method} {request_target}: status {answer.status}")
                return answer
        except ExchangeError as exc:
            if exc.sent:
                raise
            raise PlatformUnavailable(f"{method} {request_target}: {exc}") from exc
        raise ExchangeError(f"no answer within {CALL_TIMEOUT_SECONDS + wait} s", sent=True)


def _decode_object(answer: HttpResponse) -> dict[str, Any]:
    """Return the JSON object in an answer, an empty one if the answer has no body.

    :raises ProtocolError: If the body is not a JSON object.
    """
    try:
        doc = json.loads(answer.body) if answer.body else {}
    except ValueError as exc:
        raise ProtocolError(f"store sent invalid JSON: {exc}") from exc
    if not isinstance(doc, dict):
        raise ProtocolError("store sent JSON that is not an object")
    return doc


def _time_ms(doc: dict[str, Any]) -> int:
    """Return the time of the store's steady clock in an answer, 0 if there is none."""
    return int(doc.get("TimeMs") or 0)


def _decode_rows(items: Any) -> list[Row]:
    rows = []
    for item in items:
        if item.get("part"):
            continue
        gone = bool(item.get("IsGone"))
        value = None if gone else base64.b64decode(item.get("Value") or "")
        rows.append(Row(str(item["Key"]), int(item.get("RowVersion", 0)), value))
    return rows
