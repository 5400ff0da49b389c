"""Platform services over HTTP."""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING, Any

import httpx

from radishshunt.errors import (
    ConflictError,
    PlatformOutcomeUnknown,
    PlatformUnavailable,
    ProtocolError,
)
from radishshunt.model import HostInfo
from radishshunt.platform import (
    ABSENT,
    CommitResult,
    CommitStatus,
    HostList,
    ObjectStore,
    Platform,
    Table,
    TableRow,
    Transaction,
)
from radishshunt.platform.batching import BatchedReads
from radishshunt.platform.breaker import CircuitBreaker

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

CALL_TIMEOUT_SECONDS = 2.0


def connect(
    url: str,
    local_address: str | None = None,
    *,
    transport: httpx.AsyncBaseTransport | None = None,
    rng: Random | None = None,
) -> Platform:
    """Return the services of the platform at a URL.

    :param url: Base URL, for example ``http://10.0.0.2:7000``.
    :param local_address: Local IP address of the connections.
    :param transport: Transport to use instead of TCP, for tests.
    :param rng: Random source of the jitter of pauses after failures.
    """
    if transport is None:
        transport = httpx.AsyncHTTPTransport(local_address=local_address)
    http_client = httpx.AsyncClient(
        base_url=url, timeout=CALL_TIMEOUT_SECONDS, trust_env=False, transport=transport
    )
    client = _PlatformClient(http_client, CircuitBreaker(rng))
    return Platform(HttpTable(client), HttpObjectStore(client), HttpHostList(client))


class _PlatformClient:
    """Sends calls through the circuit breaker that all services share."""

    def __init__(self, http_client: httpx.AsyncClient, breaker: CircuitBreaker) -> None:
        self._http_client = http_client
        self._breaker = breaker

    async def call(self, method: str, path: str, **options: Any) -> httpx.Response:
        """Send a call that is safe to repeat.

        :raises PlatformUnavailable: If there is no answer, or its status is 429 or 5xx.
        """
        try:
            return await self.call_once(method, path, **options)
        except PlatformOutcomeUnknown as exc:
            raise PlatformUnavailable(str(exc)) from exc

    async def call_once(self, method: str, path: str, **options: Any) -> httpx.Response:
        """Send a call; the errors tell whether it may have taken effect.

        :raises PlatformUnavailable: If the call had no effect.
        :raises PlatformOutcomeUnknown: If the call may have had an effect.
        """
        with self._breaker.call():
            try:
                resp = await self._http_client.request(method, path, **options)
            except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as exc:
                self._breaker.record_failure()
                raise PlatformUnavailable(f"{method} {path}: {type(exc).__name__} {exc}") from exc
            except httpx.HTTPError as exc:
                self._breaker.record_failure()
                raise PlatformOutcomeUnknown(
                    f"{method} {path}: {type(exc).__name__} {exc}"
                ) from exc
            if resp.status_code in (429, 503):
                self._breaker.record_failure(_retry_after(resp))
                raise PlatformUnavailable(f"{method} {path}: status {resp.status_code}")
            if resp.status_code >= 500:
                self._breaker.record_failure()
                raise PlatformOutcomeUnknown(f"{method} {path}: status {resp.status_code}")
            self._breaker.record_success()
            return resp


class HttpTable(Table):
    """Table behind the platform's HTTP interface."""

    def __init__(self, client: _PlatformClient) -> None:
        self._client = client
        self._reads = BatchedReads(self._read)

    async def read(self, keys: Sequence[str]) -> dict[str, TableRow]:
        return await self._reads.read(keys)

    async def scan(self, prefix: str) -> dict[str, TableRow]:
        resp = await self._client.call("POST", "/table/scan", json={"prefix": prefix})
        return _decode_rows(resp)

    async def commit(self, tx: Transaction) -> CommitResult:
        doc = {
            "transaction_id": tx.transaction_id,
            "checks": tx.checks,
            "writes": {
                k: None if v is None else base64.b64encode(v).decode() for k, v in tx.writes.items()
            },
        }
        resp = await self._client.call_once("POST", "/table/commit", json=doc)
        try:
            return _decode_commit_result(resp)
        except ProtocolError as exc:
            # The answer, for example a proxy's error page, does not state the outcome.
            raise PlatformOutcomeUnknown(f"commit: {exc}") from exc

    async def outcome(self, transaction_id: str) -> CommitResult | None:
        resp = await self._client.call("GET", f"/table/outcome/{transaction_id}")
        return None if resp.status_code == 404 else _decode_commit_result(resp)

    async def _read(self, keys: Sequence[str]) -> dict[str, TableRow]:
        resp = await self._client.call("POST", "/table/read", json={"keys": list(keys)})
        found = _decode_rows(resp)
        return {key: found.get(key, ABSENT) for key in keys}


class HttpObjectStore(ObjectStore):
    """Object store behind the platform's HTTP interface."""

    def __init__(self, client: _PlatformClient) -> None:
        self._client = client

    async def put(self, name: str, content: bytes) -> None:
        resp = await self._client.call("PUT", f"/objects/{name}", content=content)
        if resp.status_code == 409:
            raise ConflictError(f"object {name} exists with other content")
        if not resp.is_success:
            raise PlatformUnavailable(f"PUT object {name}: status {resp.status_code}")

    async def get(self, name: str) -> bytes | None:
        resp = await self._client.call("GET", f"/objects/{name}")
        if resp.status_code == 404:
            return None
        if not resp.is_success:
            raise PlatformUnavailable(f"GET object {name}: status {resp.status_code}")
        return resp.content


class HttpHostList(HostList):
    """Host list behind the platform's HTTP interface."""

    def __init__(self, client: _PlatformClient) -> None:
        self._client = client
        self._etag = ""
        self._hosts: list[HostInfo] = []

    async def hosts(self) -> list[HostInfo]:
        headers = {"If-None-Match": self._etag} if self._etag else {}
        resp = await self._client.call("GET", "/hosts", headers=headers)
        if resp.status_code != 304:
            try:
                self._hosts = [HostInfo(**item) for item in _decode_object(resp)["hosts"]]
            except (KeyError, TypeError) as exc:
                raise ProtocolError(f"platform's host list is malformed: {exc!r}") from exc
            self._etag = resp.headers.get("ETag", "")
        return list(self._hosts)


def _retry_after(resp: httpx.Response) -> float | None:
    try:
        return max(0.0, float(resp.headers["Retry-After"]))
    except (KeyError, ValueError):
        return None


def _decode_object(resp: httpx.Response) -> dict[str, Any]:
    try:
        doc = resp.json()
    except ValueError as exc:
        raise ProtocolError(f"platform answered status {resp.status_code} without JSON") from exc
    if not resp.is_success or not isinstance(doc, dict):
        raise ProtocolError(f"platform answered status {resp.status_code}: {str(doc)[:200]}")
    return doc


def _decode_rows(resp: httpx.Response) -> dict[str, TableRow]:
    doc = _decode_object(resp)
    try:
        return {
            key: TableRow(item["version"], base64.b64decode(item["value"]))
            for key, item in doc["rows"].items()
        }
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise ProtocolError(f"platform's rows are malformed: {exc!r}") from exc


def _decode_commit_result(resp: httpx.Response) -> CommitResult:
    doc = _decode_object(resp)
    try:
        return CommitResult(CommitStatus(doc["status"]), doc.get("versions", {}))
    except (KeyError, ValueError) as exc:
        raise ProtocolError(f"platform sent an invalid commit result: {str(doc)[:200]}") from exc
