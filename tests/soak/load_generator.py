"""Open-loop load for the soak run; callers retry with the same idempotency key."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING
from uuid import UUID

import httpx
import trio

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_ATTEMPTS = 4
RETRY_DELAY_SECONDS = 0.2
CALL_TIMEOUT_SECONDS = 6.0


@dataclass(slots=True)
class Attempt:
    """One attempt to send an operation.

    :param outcome: ``answered``, ``not-run``, ``unknown``, or ``wrong`` if the answer is for
        another request.
    :param reason: Reason in the problem document, the HTTP status if it has no reason, or the text
        of the client error.
    :param sent_at: Seconds since the Unix epoch.
    :param ended_at: Seconds since the Unix epoch.
    """

    host: str
    outcome: str
    reason: str
    sent_at: float
    ended_at: float
    request_id: str = ""
    target: str = ""


@dataclass(slots=True)
class Operation:
    """One request of a caller, with all attempts to send it."""

    service: str
    key: str
    method: str
    idempotency_key: str
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def result(self) -> str:
        """Outcome that the caller knows after all attempts."""
        outcomes = [attempt.outcome for attempt in self.attempts]
        for outcome in ("wrong", "answered", "unknown"):
            if outcome in outcomes:
                return outcome
        return "not-run"


class LoadGenerator:
    """Sends operations at a fixed rate.

    :param urls: Base URL of each host.
    :param seed: Seed of the choice of keys, methods and hosts.
    """

    def __init__(self, urls: dict[str, str], keys: Sequence[str], seed: int) -> None:
        self.operations: list[Operation] = []
        self._urls = urls
        self.keys = keys
        self._random = Random(seed)
        self._stopped = False

    def stop(self) -> None:
        """Send no further operations."""
        self._stopped = True

    async def run(self, rate: float) -> None:
        """Send operations until stopped, and wait until the last one has ended.

        :param rate: Operations per second.
        """
        limits = httpx.Limits(max_connections=500, max_keepalive_connections=100)
        async with (
            httpx.AsyncClient(
                trust_env=False, timeout=CALL_TIMEOUT_SECONDS, limits=limits
            ) as client,
            trio.open_nursery() as nursery,
        ):
            next_at = trio.current_time()
            while not self._stopped:
                operation = self._next_operation()
                self.operations.append(operation)
                nursery.start_soon(self._run_operation, client, operation)
                next_at += 1.0 / rate
                await trio.sleep_until(next_at)

    def _next_operation(self) -> Operation:
        method = self._random.choice(["GET", "POST"])
        key = uuid7(self._random) if method == "POST" else ""
        return Operation("permits", self._random.choice(self.keys), method, key)

    async def _run_operation(self, client: httpx.AsyncClient, operation: Operation) -> None:
        for _ in range(MAX_ATTEMPTS):
            host = self._random.choice(sorted(self._urls))
            attempt = await self._send_attempt(client, operation, host)
            operation.attempts.append(attempt)
            if attempt.outcome in ("answered", "wrong"):
                return
            await trio.sleep(RETRY_DELAY_SECONDS)

    async def _send_attempt(
        self, client: httpx.AsyncClient, operation: Operation, host: str
    ) -> Attempt:
        headers = {"Radishshunt-Service": operation.service, "Radishshunt-Key": operation.key}
        if operation.idempotency_key:
            headers["Idempotency-Key"] = operation.idempotency_key
        sent_at = time.time()
        try:
            resp = await client.request(
                operation.method, f"{self._urls[host]}/permit", headers=headers
            )
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as exc:
            return Attempt(host, "not-run", repr(exc), sent_at, time.time())
        except httpx.HTTPError as exc:
            return Attempt(host, "unknown", repr(exc), sent_at, time.time())
        attempt = Attempt(host, "answered", "", sent_at, time.time())
        doc = resp.json() if resp.headers.get("content-type", "").endswith("json") else {}
        if resp.status_code == 200:
            attempt.request_id, attempt.target = doc["request_id"], doc["target"]
            if doc["key"] != operation.key or doc["method"] != operation.method:
                attempt.outcome = "wrong"
        else:
            attempt.outcome = doc.get("outcome", "unknown")
            attempt.reason = str(doc.get("reason", resp.status_code))
        return attempt


def uuid7(random: Random) -> str:
    """Return a UUID of version 7 for the current time."""
    value = (int(time.time() * 1000) & ((1 << 48) - 1)) << 80
    value |= 0x7 << 76 | random.getrandbits(12) << 64 | 0b10 << 62 | random.getrandbits(62)
    return str(UUID(int=value))
