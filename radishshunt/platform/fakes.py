"""Fakes of the users' store and targets on loopback, for tests and experiments."""

from __future__ import annotations

import base64
import json
import time
from typing import Any
from urllib.parse import parse_qs

import trio

from radishshunt.http_server import HttpServer
from radishshunt.platform.names import (
    ATTEMPT_ID_HEADER,
    CHANGES_PATH,
    COLD_MS_HEADER,
    EXPECTED_TARGET_HEADER,
    GRANT_PATH,
    HANDOVER_HEADER,
    INSTANCE_HEADER,
    KEY_HEADER,
    LOAD_HEADER,
    NOT_RUN_HEADER,
    RELEASE_PATH,
    ROWS_PATH,
    SIGNATURE_HEADER,
    STORE_ERA_HEADER,
    TRANSACTION_PATH,
)

# Interval at which a call that waits for changes checks for them.
POLL_INTERVAL_SECONDS = 0.01
SERVICE_SECONDS = 0.02


class FakeStore:
    """Store with rows, changes and conditional writes; all rows have an empty ``part``.

    :ivar down: Whether all calls are answered with status 503.
    :ivar era: Number of restores so far, plus one.
    :ivar calls: Number of calls, including refused ones.
    """

    def __init__(self, address: str) -> None:
        self.down = False
        self.era = 1
        self.calls = 0
        self.server = HttpServer(self._app, address, name="store")
        self._rows: dict[tuple[str, str], tuple[int, str | None]] = {}
        self._version = 1
        self._copy = (dict(self._rows), self._version)

    def put(self, table: str, key: str, doc: Any) -> None:
        """Write a row, as operators and targets do."""
        self._version += 1
        value = base64.b64encode(json.dumps(doc).encode()).decode()
        self._rows[table, key] = (self._version, value)

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self._version += 1
        self._rows[table, key] = (self._version, None)

    def value(self, table: str, key: str) -> Any:
        """Return the document in a row, or ``None`` if there is no such row."""
        value = self._rows.get((table, key), (0, None))[1]
        return None if value is None else json.loads(base64.b64decode(value))

    def copy(self) -> None:
        """Remember the rows and the version for :meth:`restore`."""
        self._copy = (dict(self._rows), self._version)

    def restore(self) -> None:
        """Go back to the remembered rows and version, in a new era."""
        rows, self._version = self._copy
        self._rows = dict(rows)
        self.era += 1

    @property
    def _stamp(self) -> dict[str, int]:
        """Newest version and steady time, for answers about rows."""
        return {"RowVersion": self._version, "TimeMs": int(time.monotonic() * 1000)}

    async def _app(self, scope: Any, receive: Any, send: Any) -> None:
        self.calls += 1
        query = {k: v[0] for k, v in parse_qs(scope["query_string"].decode()).items()}
        body = await _read_body(receive)
        if self.down:
            status, doc = 503, {}
        elif scope["path"] == ROWS_PATH:
            status, doc = 200, self._read(query["Table"])
        elif scope["path"] == CHANGES_PATH:
            status, doc = await self._changes(query)
        elif scope["path"] == TRANSACTION_PATH:
            status, doc = self._transact(json.loads(body))
        else:
            status, doc = 404, {}
        await _send_response(send, status, doc, {STORE_ERA_HEADER: str(self.era)})

    def _read(self, table: str) -> dict[str, Any]:
        rows = [
            self._row(key)
            for key in sorted(self._rows)
            if key[0] == table and self._rows[key][1] is not None
        ]
        return {"Rows": rows, "HasMore": False, **self._stamp}

    async def _changes(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after, ends_at = int(query["after"]), trio.current_time() + int(query["WaitMs"]) / 1000
        era = self.era
        if after > self._version:
            return 410, {}
        while True:
            if self.era != era:
                return 503, {}
            changed = [
                key
                for key, (version, _) in self._rows.items()
                if key[0] == query["Table"] and version > after
            ]
            if changed or trio.current_time() >= ends_at:
                rows = [self._row(key) for key in sorted(changed, key=lambda k: self._rows[k][0])]
                return 200, {"Rows": rows, **self._stamp}
            await trio.sleep(POLL_INTERVAL_SECONDS)

    def _transact(self, doc: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        checks = [((c["Table"], c["Key"]), c["RowVersion"]) for c in doc["ExpectRev"]]
        mismatched = [key for key, version in checks if self._current_version(key) != version]
        if mismatched:
            return 412, {"Rows": [self._row(key) for key in mismatched], **self._stamp}
        self._version += 1
        for row in doc["Puts"]:
            self._rows[row["Table"], row["Key"]] = (self._version, row["Value"])
        return 200, self._stamp

    def _current_version(self, key: tuple[str, str]) -> int:
        version, value = self._rows.get(key, (0, None))
        return version if value is not None else 0

    def _row(self, key: tuple[str, str]) -> dict[str, Any]:
        version, value = self._rows.get(key, (0, None))
        row = {"Table": key[0], "part": "", "Key": key[1], "RowVersion": version, "Value": value}
        if value is None:
            row |= {"IsGone": True, "Value": "", "RowVersion": version}
        return row


class FakeTarget:
    """Target that serves the keys that were granted to it.

    :ivar born: Time of its start, in milliseconds since the Unix epoch.
    :ivar ran: Attempt ids of the requests that it ran.
    :ivar commands: Paths and documents of the commands that it accepted.
    :ivar command_times: Time of each accepted command on the monotonic clock.
    :ivar cold_until: Time on the monotonic clock until which the target is cold.
    :ivar arrived_at: Time of each request that it began to run, on the monotonic clock.
    """

    def __init__(self, target_id: str, address: str, service: str, domain: str) -> None:
        self.id = target_id
        self.address = address
        self.born = int(time.time() * 1000)
        self.ran: list[str] = []
        self.commands: list[tuple[str, dict[str, Any]]] = []
        self.command_times: list[float] = []
        self.server = HttpServer(self._app, address, name=target_id)
        self._service = service
        self._domain = domain
        self.cold_until = float("-inf")
        self.arrived_at: list[float] = []
        self._grants: dict[int, tuple[int, float]] = {}
        self._running = 0

    def entry(self, state: str = "ready", sequence: int = 1) -> dict[str, Any]:
        """Return the entry by which the target registers itself."""
        return {
            "Addr": self.address,
            "Info": {
                "Service": self._service,
                "Version": "v1",
                "Zone": self._domain,
                "Capacity": 3,
            },
            "Status": {"State": state, "Sequence": sequence, "WarmupLeftMs": self._cold_ms},
            "born": self.born,
        }

    @property
    def _cold_ms(self) -> int:
        return (
            max(0, int(1000 * (self.cold_until - time.monotonic()))) if self.cold_until > 0 else 0
        )

    async def _app(self, scope: Any, receive: Any, send: Any) -> None:
        headers = {k.decode(): v.decode() for k, v in scope["headers"]}
        body = await _read_body(receive)
        response_headers = {INSTANCE_HEADER: self.id, LOAD_HEADER: f"{self._running},0,3"}
        if ATTEMPT_ID_HEADER in headers:
            response_headers[ATTEMPT_ID_HEADER] = headers[ATTEMPT_ID_HEADER]
        if scope["path"] in (GRANT_PATH, RELEASE_PATH):
            await _send_response(
                send, self._apply_command(scope["path"], json.loads(body)), {}, response_headers
            )
        elif scope["path"] == "/healthz":
            if self._cold_ms:
                response_headers[COLD_MS_HEADER] = str(self._cold_ms)
            await _send_response(send, 200, {}, response_headers)
        elif headers.get(EXPECTED_TARGET_HEADER) != self.id or not self._may_run(headers):
            await _send_response(send, 421, {}, response_headers | {NOT_RUN_HEADER: "1"})
        else:
            self.arrived_at.append(time.monotonic())
            self._running += 1
            await trio.sleep(SERVICE_SECONDS)
            self._running -= 1
            self.ran.append(headers.get(ATTEMPT_ID_HEADER, ""))
            await _send_response(
                send, 200, {"target": self.id}, response_headers | {SIGNATURE_HEADER: "signed"}
            )

    def _may_run(self, headers: dict[str, str]) -> bool:
        key = headers.get(KEY_HEADER)
        return key is None or self._grants.get(int(key), (0, 0.0))[1] > time.monotonic()

    def _apply_command(self, path: str, doc: dict[str, Any]) -> int:
        keys = range(doc["From"], doc["Target"] + 1)
        if path == RELEASE_PATH:
            for key in keys:
                self._grants[key] = (self._grants.get(key, (0, 0.0))[0], 0.0)
        else:
            if any(self._grants.get(key, (0, 0.0))[0] > doc["fence"] for key in keys):
                return 409
            ends_at = time.monotonic() + doc["HoldMs"] / 1000
            self._grants.update(dict.fromkeys(keys, (doc["fence"], ends_at)))
        self.commands.append((path, doc))
        self.command_times.append(time.monotonic())
        return 200


async def _read_body(receive: Any) -> bytes:
    parts = []
    while True:
        event = await receive()
        if event["type"] != "http.request":
            return b"".join(parts)
        parts.append(event.get("body", b""))
        if not event.get("more_body", False):
            return b"".join(parts)


async def _send_response(
    send: Any, status: int, doc: dict[str, Any], headers: dict[str, str] | None = None
) -> None:
    body = json.dumps(doc).encode()
    fields = [(b"content-length", str(len(body)).encode())]
    fields += [(k.encode(), v.encode()) for k, v in (headers or {}).items()]
    if status == 200 and HANDOVER_HEADER not in (headers or {}):
        fields.append((HANDOVER_HEADER.encode(), b"handed"))
    await send({"type": "http.response.start", "status": status, "headers": fields})
    await send({"type": "http.response.body", "body": body, "more_body": False})
