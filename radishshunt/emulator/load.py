"""Open-loop load generator: sends at a fixed rate, whatever the answers, and counts outcomes."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import TYPE_CHECKING
from uuid import uuid4

import httpx
import trio

from radishshunt.metrics import Latency

if TYPE_CHECKING:
    from radishshunt.clock import Clock

REQUEST_TIMEOUT_SECONDS = 2.0
# The client waits longer than the router may take, so that every request gets its outcome.
ANSWER_MARGIN_SECONDS = 3.0


class Result(Enum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """What to send.

    :param rate: Requests per second.
    :param seconds: Length of the run; with the rate it bounds the number of requests.
    :param keys: Number of different keys of the keyed services.
    :param fee_share: Share of requests that are not idempotent.
    :param services: Weight of each service.
    :param in_flight: Requests open at once; beyond them the generator skips requests.
    """

    rate: float
    seconds: float
    services: dict[str, float]
    keyed: frozenset[str]
    keys: int = 500
    fee_share: float = 0.2
    in_flight: int = 500
    seed: int = 1


@dataclass(slots=True)
class Sent:
    """Record of one request.

    :param sent_at: Seconds since the Unix epoch.
    :param ended_at: Seconds since the Unix epoch.
    :param detail: Reason of a refusal or an unknown outcome.
    """

    service: str
    key: str
    fee: bool
    idempotency_key: str
    sent_at: float
    result: Result = Result.LOST
    ended_at: float = 0.0
    target: str = ""
    request_id: str = ""
    detail: str = ""


@dataclass(slots=True)
class LoadReport:
    """What a run sent and how it ended.

    :param skipped: Requests not sent because too many were open.
    """

    requests: list[Sent] = field(default_factory=list)
    latency: Latency = field(default_factory=Latency)
    skipped: int = 0

    def count(self, result: Result) -> int:
        """Return the number of requests that ended so."""
        return sum(1 for sent in self.requests if sent.result is result)

    def reasons(self) -> Counter[str]:
        """Return how often each reason was given for a request that was not answered."""
        return Counter(s.detail for s in self.requests if s.result is not Result.ANSWERED)


class LoadGenerator:
    """Sends requests to entry hosts in turn.

    :param urls: Base URLs of the hosts' callers' listeners.
    """

    def __init__(self, urls: list[str], plan: LoadPlan, clock: Clock) -> None:
        self._urls = urls
        self._plan = plan
        self._clock = clock
        self._random = Random(plan.seed)
        self._in_flight = 0
        self.report = LoadReport()

    async def run(self) -> LoadReport:
        """Send everything and wait for all outcomes."""
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=100)
        timeout = httpx.Timeout(REQUEST_TIMEOUT_SECONDS + ANSWER_MARGIN_SECONDS, pool=None)
        started_at = trio.current_time()
        total = round(self._plan.rate * self._plan.seconds)
        async with (
            httpx.AsyncClient(limits=limits, timeout=timeout, trust_env=False) as client,
            trio.open_nursery() as nursery,
        ):
            for number in range(total):
                await trio.sleep_until(started_at + number / self._plan.rate)
                if self._in_flight >= self._plan.in_flight:
                    self.report.skipped += 1
                    continue
                sent = self._next()
                self.report.requests.append(sent)
                url = self._urls[number % len(self._urls)]
                nursery.start_soon(self._send, client, url, sent)
        return self.report

    def _next(self) -> Sent:
        plan = self._plan
        service = self._random.choices(list(plan.services), list(plan.services.values()))[0]
        fee = self._random.random() < plan.fee_share
        key = f"key-{self._random.randrange(plan.keys)}" if service in plan.keyed else ""
        return Sent(service, key, fee, uuid4().hex if fee else "", self._clock.now())

    async def _send(self, client: httpx.AsyncClient, url: str, sent: Sent) -> None:
        headers = {
            "Radishshunt-Service": sent.service,
            "Request-Timeout": f"{REQUEST_TIMEOUT_SECONDS:g}",
        }
        if sent.key:
            headers["Radishshunt-Key"] = sent.key
        if sent.idempotency_key:
            headers["Idempotency-Key"] = sent.idempotency_key
        self._in_flight += 1
        began = trio.current_time()
        try:
            if sent.fee:
                body = b'{"amount": 12}'
                resp = await client.post(f"{url}/fees", headers=headers, content=body)
            else:
                resp = await client.get(f"{url}/entries", headers=headers)
            self._classify(sent, resp)
        except httpx.ConnectError as exc:
            sent.result, sent.detail = Result.REFUSED, f"connect: {type(exc).__name__}"
        except httpx.HTTPError as exc:
            sent.detail = type(exc).__name__
        finally:
            self._in_flight -= 1
            sent.ended_at = self._clock.now()
        if sent.result is Result.ANSWERED:
            self.report.latency.record(trio.current_time() - began)

    @staticmethod
    def _classify(sent: Sent, resp: httpx.Response) -> None:
        if resp.status_code == 504 and "application/problem+json" not in _content_type(resp):
            # The target's own answer to a request that it cut at the deadline.
            sent.result, sent.detail = Result.UNKNOWN, "target-deadline"
            return
        try:
            doc = resp.json()
        except ValueError:
            sent.detail = f"status-{resp.status_code}-not-json"
            return
        if _content_type(resp) == "application/problem+json":
            results = {"not-run": Result.REFUSED, "unknown": Result.UNKNOWN, "ran": Result.UNKNOWN}
            sent.result = results.get(doc.get("outcome"), Result.LOST)
            sent.detail = str(doc.get("reason"))
        elif resp.status_code == 200 and doc.get("key") == sent.key:
            sent.result = Result.ANSWERED
            sent.target = doc["target"]
            sent.request_id = doc["request_id"]
        else:
            sent.detail = f"status-{resp.status_code}"


def _content_type(resp: httpx.Response) -> str:
    return resp.headers.get("content-type", "")
