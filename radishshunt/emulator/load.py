"""Open-loop load generator: sends requests at a fixed rate and counts their outcomes.

The rate does not depend on how fast requests are answered.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import TYPE_CHECKING
from uuid import uuid4

import httpx
import trio

from radishshunt.metrics import LatencyHistogram

if TYPE_CHECKING:
    from radishshunt.clock import Clock

REQUEST_TIMEOUT_SECONDS = 2.0
# Additional time for which the client waits, so that the router can report the outcome of every
# request whose timeout has expired.
ANSWER_MARGIN_SECONDS = 3.0


class Result(Enum):
    """Outcome of a request as its caller sees it."""

    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """Requests to send.

    :param rate: Requests per second.
    :param seconds: Length of the run; with the rate it bounds the number of requests.
    :param services: Weight of each service.
    :param keyed: Services whose requests have a key.
    :param keys: Number of distinct keys of the keyed services.
    :param non_idempotent_share: Share of requests that are not idempotent, 0 to 1.
    :param max_in_flight: Limit of concurrent requests; the generator skips requests above it.
    :param seed: Seed of the random choice of service, key and method.
    """

    rate: float
    seconds: float
    services: dict[str, float]
    keyed: frozenset[str]
    keys: int = 500
    non_idempotent_share: float = 0.2
    max_in_flight: int = 500
    seed: int = 1


@dataclass(slots=True)
class SentRequest:
    """Record of one request.

    :param non_idempotent: Whether the request is not idempotent.
    :param sent_at: Seconds since the Unix epoch.
    :param ended_at: Seconds since the Unix epoch.
    :param detail: Reason why the request was not answered.
    """

    service: str
    key: str
    non_idempotent: bool
    idempotency_key: str
    sent_at: float
    result: Result = Result.LOST
    ended_at: float = 0.0
    target: str = ""
    request_id: str = ""
    detail: str = ""


@dataclass(slots=True)
class LoadReport:
    """Requests of a run and their outcomes.

    :param latency: Latencies of the answered requests.
    :param skipped: Requests that were not sent because too many were in flight.
    """

    requests: list[SentRequest] = field(default_factory=list)
    latency: LatencyHistogram = field(default_factory=LatencyHistogram)
    skipped: int = 0

    def count(self, result: Result) -> int:
        """Return the number of requests with a result."""
        return sum(1 for req in self.requests if req.result is result)

    def reasons(self) -> Counter[str]:
        """Return the number of requests that were not answered, by reason."""
        return Counter(s.detail for s in self.requests if s.result is not Result.ANSWERED)


class LoadGenerator:
    """Sends requests to entry hosts in turn.

    :param urls: Base URLs of the hosts' listeners for callers.
    """

    def __init__(self, urls: list[str], plan: LoadPlan, clock: Clock) -> None:
        self._urls = urls
        self._plan = plan
        self._clock = clock
        self._random = Random(plan.seed)
        self._in_flight = 0
        self.report = LoadReport()

    async def run(self) -> LoadReport:
        """Send all requests of the plan and wait for their outcomes."""
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=100)
        timeout = httpx.Timeout(REQUEST_TIMEOUT_SECONDS + ANSWER_MARGIN_SECONDS, pool=None)
        started_at = trio.current_time()
        total = round(self._plan.rate * self._plan.seconds)
        async with (
            httpx.AsyncClient(limits=limits, timeout=timeout, trust_env=False) as client,
            trio.open_nursery() as nursery,
        ):
            for index in range(total):
                await trio.sleep_until(started_at + index / self._plan.rate)
                if self._in_flight >= self._plan.max_in_flight:
                    self.report.skipped += 1
                    continue
                req = self._next_request()
                self.report.requests.append(req)
                url = self._urls[index % len(self._urls)]
                nursery.start_soon(self._send, client, url, req)
        return self.report

    def _next_request(self) -> SentRequest:
        plan = self._plan
        service = self._random.choices(list(plan.services), list(plan.services.values()))[0]
        non_idempotent = self._random.random() < plan.non_idempotent_share
        key = f"key-{self._random.randrange(plan.keys)}" if service in plan.keyed else ""
        return SentRequest(
            service, key, non_idempotent, uuid4().hex if non_idempotent else "", self._clock.now()
        )

    async def _send(self, client: httpx.AsyncClient, url: str, req: SentRequest) -> None:
        headers = {
            "Radishshunt-Service": req.service,
            "Request-Timeout": f"{REQUEST_TIMEOUT_SECONDS:g}",
        }
        if req.key:
            headers["Radishshunt-Key"] = req.key
        if req.idempotency_key:
            headers["Idempotency-Key"] = req.idempotency_key
        self._in_flight += 1
        started_at = trio.current_time()
        try:
            if req.non_idempotent:
                body = b'{"amount": 12}'
                resp = await client.post(f"{url}/fees", headers=headers, content=body)
            else:
                resp = await client.get(f"{url}/entries", headers=headers)
            self._classify(req, resp)
        except httpx.ConnectError as exc:
            req.result, req.detail = Result.REFUSED, f"connect: {type(exc).__name__}"
        except httpx.HTTPError as exc:
            req.detail = type(exc).__name__
        finally:
            self._in_flight -= 1
            req.ended_at = self._clock.now()
        if req.result is Result.ANSWERED:
            self.report.latency.record(trio.current_time() - started_at)

    @staticmethod
    def _classify(req: SentRequest, resp: httpx.Response) -> None:
        if resp.status_code == 504 and "application/problem+json" not in _content_type(resp):
            # A target answers so when it has aborted the request at its deadline.
            req.result, req.detail = Result.UNKNOWN, "target-deadline"
            return
        try:
            doc = resp.json()
        except ValueError:
            req.detail = f"status-{resp.status_code}-not-json"
            return
        if _content_type(resp) == "application/problem+json":
            results = {"not-run": Result.REFUSED, "unknown": Result.UNKNOWN, "ran": Result.UNKNOWN}
            req.result = results.get(doc.get("outcome"), Result.LOST)
            req.detail = str(doc.get("reason"))
        elif resp.status_code == 200 and doc.get("key") == req.key:
            req.result = Result.ANSWERED
            req.target = doc["target"]
            req.request_id = doc["request_id"]
        else:
            req.detail = f"status-{resp.status_code}"


def _content_type(resp: httpx.Response) -> str:
    return resp.headers.get("content-type", "")
