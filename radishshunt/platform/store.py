"""HTTP client of the users' store: rows, changes and conditional writes."""

from __future__ import annotations

import base64
import json
import logging
import re
from typing import TYPE_CHECKING, Annotated, Any
from urllib.parse import urlencode

import msgspec
import trio

from radishshunt.errors import PlatformOutcomeUnknown, PlatformUnavailable
from radishshunt.gateway.exchange import ExchangeError, HttpResponse, OutgoingRequest
from radishshunt.gateway.rows import (
    RESTORE_SHIFT,
    Change,
    Commit,
    HistoryLost,
    Row,
    RowStore,
    StoreRestored,
    Topic,
    restore_count,
)
from radishshunt.gateway.target_pool import TargetPool
from radishshunt.logs import decision
from radishshunt.platform.catalog import redact_keys
from radishshunt.platform.names import (
    CHANGES_PATH,
    CONFIGURATION_KEY,
    OPERATOR_TABLE,
    OWN_TABLE,
    ROWS_PATH,
    STORE_ERA_HEADER,
    TARGETS_TABLE,
    TRANSACTION_PATH,
)
from radishshunt.util.json_decoder import JsonDecoder

if TYPE_CHECKING:
    from collections.abc import Sequence

logger = logging.getLogger(__name__)

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
_ERA_HEADER = STORE_ERA_HEADER.encode()
# Versions with the number of restores have to fit into 64 bits.
_RESTORES = re.compile(rb"\d{1,6}")
# Bits of a version that the store itself gave out.
_STORE_VERSION_MASK = (1 << RESTORE_SHIFT) - 1
# Last field of the values in the router's own table: the restores of the store before the write.
_RESTORES_FIELD = re.compile(rb',"restores":(\d{1,6})\}$')
# Maximum number of bytes by which the field enlarges a value.
RESTORES_FIELD_BYTES = 32

_StoreVersion = Annotated[int, msgspec.Meta(ge=0, le=_STORE_VERSION_MASK)]
_TimeMs = Annotated[float, msgspec.Meta(ge=0)]


class _StoredRow(msgspec.Struct):
    Key: str
    part: str = ""
    RowVersion: _StoreVersion = 0
    IsGone: bool = False
    # Base64, absent if the row was removed.
    Value: str | None = None


class _Conflict(msgspec.Struct):
    """Answer to a transaction whose conditions do not hold."""

    Rows: list[_StoredRow] = []
    # Time of the store's steady clock.
    TimeMs: _TimeMs = 0


class _Answer(msgspec.Struct):
    # Newest version of the store.
    RowVersion: _StoreVersion
    Rows: list[_StoredRow] = []
    HasMore: bool = False
    TimeMs: _TimeMs = 0


_CONFLICT_DECODER = JsonDecoder(_Conflict)
_ANSWER_DECODER = JsonDecoder(_Answer)


class HttpRowStore(RowStore):
    """Row store over the HTTP interface of the users' store.

    When the store is restored from a copy, it gives out versions a second time. The versions of
    this class also tell before or after which restore they were given out.

    :param address: ``ip:port`` of the store.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._pool = TargetPool(address)
        # Number of restores according to the store's answers.
        self._restores = 0
        self._restores_known = False
        # Version of each of the router's own rows as last seen since the last restore.
        self._own_versions: dict[str, int] = {}

    async def read(self, topic: Topic) -> Change:
        rows: dict[str, Row] = {}
        version, time_ms = 0, 0.0
        start_key = ""
        while True:
            query = {"Table": _TABLES[topic], "part": "", "Limit": PAGE_ROWS}
            if start_key:
                query["From"] = start_key
            try:
                doc = await self._read_call(ROWS_PATH, query, 0.0)
            except HistoryLost as exc:
                raise PlatformUnavailable(f"{ROWS_PATH}: status {HISTORY_GONE_STATUS}") from exc
            if version and restore_count(version) != self._restores:
                raise PlatformUnavailable(f"{ROWS_PATH}: the store was restored between two pages")
            page = self._decode_rows(topic, doc.Rows)
            rows.update((row.key, row) for row in page)
            # Later pages may contain later writes. Changes are followed from the version of the
            # first page, so that none is missed.
            if not version:
                version, time_ms = self._version(doc.RowVersion), doc.TimeMs
            if not doc.HasMore or not page:
                return Change(topic, tuple(rows.values()), version, whole=True, time_ms=time_ms)
            start_key = page[-1].key + "\0"

    async def changes(self, topic: Topic, after: int, wait_seconds: float) -> Change:
        if self._restores_known and restore_count(after) != self._restores:
            raise HistoryLost
        query = {
            "Table": _TABLES[topic],
            "after": after & _STORE_VERSION_MASK,
            "WaitMs": round(wait_seconds * 1000),
        }
        doc = await self._read_call(CHANGES_PATH, query, wait_seconds)
        if restore_count(after) != self._restores:
            # The store counted from a version that it has given out again since.
            raise HistoryLost
        version = max(after, self._version(doc.RowVersion))
        rows = self._decode_rows(topic, doc.Rows)
        return Change(topic, tuple(rows), version, whole=False, time_ms=doc.TimeMs)

    async def commit(self, checks: dict[str, int], writes: Sequence[tuple[str, bytes]]) -> Commit:
        if not self._restores_known:
            await self.read(Topic.OWN)
        restores = self._restores
        if not all(self._is_current(key, version) for key, version in checks.items()):
            raise StoreRestored
        own_table = {"Table": OWN_TABLE, "part": ""}
        doc = {
            "ExpectRev": [
                {**own_table, "Key": key, "RowVersion": version & _STORE_VERSION_MASK}
                for key, version in checks.items()
            ],
            "Puts": [
                {**own_table, "Key": key, "Value": _encode_value(value, restores)}
                for key, value in writes
            ],
            "Remove": [],
        }
        try:
            answer = await self._call("POST", TRANSACTION_PATH, json.dumps(doc).encode())
        except ExchangeError as exc:
            raise PlatformOutcomeUnknown(f"commit: {exc}") from exc
        if self._restores != restores:
            raise StoreRestored
        if answer.status == CONDITION_FAILED_STATUS:
            conflict = _CONFLICT_DECODER.decode(answer.body)
            rows = self._decode_rows(Topic.OWN, conflict.Rows)
            return Commit(False, 0, {row.key: row for row in rows}, int(conflict.TimeMs))
        if answer.status != OK_STATUS:
            raise PlatformOutcomeUnknown(f"commit: status {answer.status}")
        done = _ANSWER_DECODER.decode(answer.body)
        version = self._version(done.RowVersion)
        self._own_versions.update((key, version) for key, _ in writes)
        return Commit(True, version, time_ms=int(done.TimeMs))

    def _version(self, store_version: int) -> int:
        """Return the version for one that the store gave out since its last restore."""
        return self._restores << RESTORE_SHIFT | store_version

    def _is_current(self, key: str, version: int) -> bool:
        """Return whether a row's version is one that the store has had since its last restore."""
        return (
            not version
            or restore_count(version) == self._restores
            or self._own_versions.get(key) == version
        )

    def _decode_rows(self, topic: Topic, items: list[_StoredRow]) -> list[Row]:
        rows = []
        for item in items:
            if item.part:
                continue
            key, version = item.Key, self._version(item.RowVersion)
            value = None if item.IsGone else _decode_base64(topic, item)
            if topic is Topic.OPERATOR and key == CONFIGURATION_KEY and value is not None:
                value = redact_keys(value)
            if topic is Topic.OWN and value is None:
                # The router does not remove its rows.
                version = 0
            elif topic is Topic.OWN:
                value, restores = _decode_value(value, self._restores)
                version = restores << RESTORE_SHIFT | version & _STORE_VERSION_MASK
                self._own_versions[key] = version
            rows.append(Row(key, version, value))
        return rows

    def _record_era(self, answer: HttpResponse) -> None:
        """Record the number of restores in an answer.

        :raises ExchangeError: If the store was restored after it gave the answer.
        """
        value = answer.header(_ERA_HEADER) or b""
        restores = int(value) if _RESTORES.fullmatch(value) else self._restores
        if restores < self._restores:
            raise ExchangeError("the store was restored after its answer", sent=True)
        if restores > self._restores:
            if self._restores_known:
                decision("store-restored", restores=restores)
            self._restores = restores
            self._own_versions.clear()
        self._restores_known = self._restores_known or bool(value) or answer.status == OK_STATUS

    async def _read_call(self, path: str, query: dict[str, Any], wait: float) -> _Answer:
        try:
            answer = await self._call("GET", f"{path}?{urlencode(query)}", b"", wait)
        except ExchangeError as exc:
            raise PlatformUnavailable(f"{path}: {exc}") from exc
        if answer.status == HISTORY_GONE_STATUS:
            raise HistoryLost
        if answer.status != OK_STATUS:
            raise PlatformUnavailable(f"{path}: status {answer.status}")
        return _ANSWER_DECODER.decode(answer.body)

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
                self._record_era(answer)
                if answer.status in REFUSED_STATUSES:
                    raise PlatformUnavailable(f"{method} {request_target}: status {answer.status}")
                return answer
        except ExchangeError as exc:
            if exc.sent:
                raise
            raise PlatformUnavailable(f"{method} {request_target}: {exc}") from exc
        raise ExchangeError(f"no answer within {CALL_TIMEOUT_SECONDS + wait} s", sent=True)


def _decode_base64(topic: Topic, item: _StoredRow) -> bytes:
    """Return the value of a row, an empty one if its encoding is malformed."""
    try:
        return base64.b64decode(item.Value or "")
    except ValueError as exc:
        logger.warning("row %s of topic %s is not valid base64: %s", item.Key, topic.value, exc)
        return b""


def _encode_value(value: bytes, restores: int) -> str:
    """Encode a value of the router's own table, a JSON object with at least one field."""
    return base64.b64encode(value[:-1] + b',"restores":%d}' % restores).decode()


def _decode_value(value: bytes, restores: int) -> tuple[bytes, int]:
    """Decode a value of the router's own table.

    :param restores: Number of restores for a value that does not state it.
    :return: The value as it was given, and the number of restores before it was written.
    """
    match = _RESTORES_FIELD.search(value)
    if match is None:
        return value, restores
    return value[: match.start()] + b"}", int(match[1])
