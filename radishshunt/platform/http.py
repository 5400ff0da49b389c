"""Platform services over HTTP."""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING, Any

import httpx

from radishshunt.errors import Conflict, OutcomeUnknown, PlatformUnavailable, ProtocolError
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

if TYPE_CHECKING:
    from collections.abc import Sequence

CALL_TIMEOUT_SECONDS = 2.0


def connect(url: str, local_address: str | None = None) -> Platform:
    """Return the services of the platform at a URL.

    :param url: Base URL, for example ``http://10.0.0.2:7000``.
    :param local_address: IP number that connections come from.
    """
    transport = httpx.AsyncHTTPTransport(local_address=local_address)
    client = httpx.AsyncClient(base_url=url, timeout=CALL_TIMEOUT_SECONDS, transport=transport)
    return Platform(HttpTable(client), HttpObjectStore(client), HttpHostList(client))


async def _call(
    client: httpx.AsyncClient, method: str, path: str, **options: Any
) -> httpx.Response:
    """Make a call that may be repeated.

    :raises PlatformUnavailable: If there is no answer, or one of status 429 or 5xx.
    """
    try:
        resp = await client.request(method, path, **options)
    except httpx.HTTPError as exc:
        raise PlatformUnavailable(f"{method} {path}: {type(exc).__name__} {exc}") from exc
    if resp.status_code == 429 or resp.status_code >= 500:
        raise PlatformUnavailable(f"{method} {path}: status {resp.status_code}")
    return resp


class HttpTable(Table):
    """Table behind the platform's HTTP interface."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        self._client = client

    async def read(self, keys: Sequence[str]) -> dict[str, TableRow]:
        resp = await _call(self._client, "POST", "/table/read", json={"keys": list(keys)})
        found = _rows(resp.json())
        return {key: found.get(key, ABSENT) for key in keys}

    async def scan(self, prefix: str) -> dict[str, TableRow]:
        resp = await _call(self._client, "POST", "/table/scan", json={"prefix": prefix})
        return _rows(resp.json())

    async def commit(self, tx: Transaction) -> CommitResult:
        doc = {
            "transaction_id": tx.transaction_id,
            "checks": tx.checks,
            "writes": {
                k: None if v is None else base64.b64encode(v).decode() for k, v in tx.writes.items()
            },
        }
        try:
            resp = await self._client.post("/table/commit", json=doc)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as exc:
            raise PlatformUnavailable(f"commit: {exc}") from exc
        except httpx.HTTPError as exc:
            raise OutcomeUnknown(f"commit: {type(exc).__name__} {exc}") from exc
        if resp.status_code in (429, 503):
            raise PlatformUnavailable(f"commit: status {resp.status_code}")
        if resp.status_code >= 500:
            raise OutcomeUnknown(f"commit: status {resp.status_code}")
        return _commit_result(resp.json())

    async def outcome(self, transaction_id: str) -> CommitResult | None:
        resp = await _call(self._client, "GET", f"/table/outcome/{transaction_id}")
        return None if resp.status_code == 404 else _commit_result(resp.json())


class HttpObjectStore(ObjectStore):
    """Object store behind the platform's HTTP interface."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        self._client = client

    async def put(self, name: str, content: bytes) -> None:
        resp = await _call(self._client, "PUT", f"/objects/{name}", content=content)
        if resp.status_code == 409:
            raise Conflict(f"object {name} exists with other content")

    async def get(self, name: str) -> bytes | None:
        resp = await _call(self._client, "GET", f"/objects/{name}")
        return None if resp.status_code == 404 else resp.content


class HttpHostList(HostList):
    """Host list behind the platform's HTTP interface."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        self._client = client

    async def hosts(self) -> list[HostInfo]:
        resp = await _call(self._client, "GET", "/hosts")
        return [HostInfo(**item) for item in resp.json()["hosts"]]


def _rows(doc: dict[str, Any]) -> dict[str, TableRow]:
    return {
        key: TableRow(item["version"], base64.b64decode(item["value"]))
        for key, item in doc["rows"].items()
    }


def _commit_result(doc: dict[str, Any]) -> CommitResult:
    try:
        return CommitResult(CommitStatus(doc["status"]), doc.get("versions", {}))
    except (KeyError, ValueError) as exc:
        raise ProtocolError(f"platform answered {doc!r}") from exc
