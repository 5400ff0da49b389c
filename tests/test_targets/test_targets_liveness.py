"""Connections to a target: silent connections, wrong answers, cancellation and limits.

A silent connection stays open but carries no more data, as after a network failure.
"""

from __future__ import annotations

import contextlib
from random import Random

import pytest
import trio
import trio.testing

from radishshunt.clock import CLOCK_SKEW_BOUND_SECONDS, TrioClock
from radishshunt.control import TargetUnreachable
from radishshunt.errors import NotRun, OutcomeOfRequestUnknown, RequestError
from radishshunt.model import Request, body_of, read_body
from radishshunt.ownership import Grant
from radishshunt.release.catalog import TargetSpec
from radishshunt.targets import Envelope, TargetClient
from tests.support.memory_target import Exchange, MemoryTarget

SPEC = TargetSpec("permits-01", "permits", "127.0.0.1:9", "akl-a")
GRANT = Grant("permits-01", 4, 1, {5: 0}, 0.0)


class TargetHarness:
    """A client, a fake target and the times at which slots were released.

    :ivar ended: Seconds from the start to each release of a slot.
    """

    def __init__(self, nursery: trio.Nursery, monkeypatch, spec: TargetSpec = SPEC) -> None:
        self.clock = TrioClock()
        self.target = MemoryTarget(nursery, monkeypatch)
        self.client = TargetClient(spec, clock=self.clock, spawn=nursery.start_soon)
        self.ended: list[float] = []
        self.started_at = self.clock.now()
        self._sent = 0

    def elapsed(self) -> float:
        return self.clock.now() - self.started_at

    def request(self, method: str = "GET", path: str = "/permit", **options) -> Request:
        self._sent += 1
        return Request(
            f"r{self._sent}", "permits", "kauri", method, path, [], body_of(b""), 0.0, **options
        )

    async def send(
        self, method: str = "GET", seconds: float = 2.0, path: str = "/permit", body: bytes = b""
    ) -> bytes:
        """Send a request and return its whole answer."""
        envelope = Envelope(0, 5, 8, self.clock.now() + seconds)
        req = self.request(method, path)
        resp = await self.client.send(
            req, body, envelope, lambda: self.ended.append(self.elapsed())
        )
        try:
            return await read_body(resp.body, 1 << 20)
        finally:
            await resp.body.aclose()


@pytest.fixture
async def harness(autojump_clock, monkeypatch):
    async with trio.open_nursery() as nursery:
        yield TargetHarness(nursery, monkeypatch)
        nursery.cancel_scope.cancel()


async def test_request_on_a_silent_connection_ends_long_before_its_deadline(
    autojump_clock, harness: TargetHarness
) -> None:
    """Guards against waiting until the deadline for an answer on a silent connection."""
    assert await harness.send() == b"done"
    harness.target.silence_open_connections()
    started_at = harness.elapsed()
    with pytest.raises(OutcomeOfRequestUnknown) as info:
        await harness.send("POST", seconds=10.0)
    assert info.value.reason == "connection-silent"
    assert harness.elapsed() - started_at < 1.0
    assert await harness.send() == b"done"


async def test_idle_connections_are_replaced_with_the_silent_one(
    autojump_clock, harness: TargetHarness
) -> None:
    """Guards against failing requests on one silent connection after another.

    All pooled connections go silent at once; the first failure has to replace the idle ones too.
    """
    async with trio.open_nursery() as nursery:
        for _ in range(3):
            nursery.start_soon(harness.send)
    assert len(harness.target.connections) == 3
    harness.target.silence_open_connections()
    with pytest.raises(OutcomeOfRequestUnknown):
        await harness.send()
    async with trio.open_nursery() as nursery:
        for _ in range(3):
            nursery.start_soon(harness.send)


async def test_grant_renewals_survive_silent_connections(
    autojump_clock, harness: TargetHarness
) -> None:
    """Guards against counting a target as lost although new connections to it work.

    Renewals of grants on silent pooled connections have to be repeated on a new connection.
    """
    async with trio.open_nursery() as nursery:
        for _ in range(3):
            nursery.start_soon(harness.client.control.grant, "permits", 0, GRANT)
    for _ in range(5):
        harness.target.silence_open_connections()
        await harness.client.control.grant("permits", 0, GRANT)


async def test_grant_renewals_fail_if_new_connections_are_silent_too(
    autojump_clock, harness: TargetHarness
) -> None:
    """Guards against counting a target as alive that accepts connections but answers nothing."""
    harness.target.frozen = True
    with pytest.raises(TargetUnreachable):
        await harness.client.control.grant("permits", 0, GRANT)
    assert harness.elapsed() < 0.3


async def test_slow_request_on_a_working_connection_is_not_cancelled(
    autojump_clock, harness: TargetHarness
) -> None:
    """Guards against cancelling a long-running request as if its connection were silent."""
    harness.target.service_seconds = 3.0
    assert await harness.send(seconds=4.0) == b"done"
    assert len(harness.target.received_requests) == 1


async def test_request_is_not_cancelled_if_the_target_reports_no_state(
    autojump_clock, harness: TargetHarness
) -> None:
    """Guards against cancelling requests at targets without GET /_target/requests/<id>."""
    harness.target.reports_request_state = False
    harness.target.service_seconds = 3.0
    assert await harness.send(seconds=4.0) == b"done"


async def test_answer_of_another_request_is_dropped_with_its_connection(
    autojump_clock, harness: TargetHarness
) -> None:
    """Guards against answers that are assigned to the wrong requests.

    After one answer to another request, all further answers on that connection are wrong too.
    """

    async def answer_another_request(exchange: Exchange) -> None:
        await exchange.answer(headers={"Radishshunt-Request-Id": "another"})

    harness.target.request_handler = answer_another_request
    with pytest.raises(OutcomeOfRequestUnknown) as info:
        await harness.send()
    assert info.value.reason == "wrong-answer"
    harness.target.request_handler = harness.target.run_and_answer
    assert await harness.send() == b"done"
    assert harness.target.received_requests[1].conn is not harness.target.received_requests[0].conn


async def test_late_answer_is_not_taken_for_the_next_request(
    autojump_clock, harness: TargetHarness
) -> None:
    """Guards against taking a late answer to one request for the answer to the next.

    The connection of a request without an answer must not be reused.
    """
    harness.target.service_seconds = 1.0
    with pytest.raises(OutcomeOfRequestUnknown):
        await harness.send(seconds=0.9)
    harness.target.service_seconds = 0.01
    await trio.sleep(0.5)
    assert await harness.send() == b"done"
    assert harness.target.received_requests[1].conn is not harness.target.received_requests[0].conn


@pytest.mark.parametrize(
    "head",
    [b"Content-Length: 10\r\n\r\nhalf", b"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"],
    ids=["length", "chunked"],
)
async def test_truncated_answer_is_an_error(
    autojump_clock, harness: TargetHarness, head: bytes
) -> None:
    """Guards against passing on a truncated answer as a complete one.

    The target closes the connection in the middle of the body.
    """

    async def truncate(exchange: Exchange) -> None:
        name = f"Radishshunt-Request-Id: {exchange.id}\r\n".encode()
        await exchange.send_raw(b"HTTP/1.1 200 OK\r\n" + name + head)
        await exchange.close()

    harness.target.request_handler = truncate
    with pytest.raises(OutcomeOfRequestUnknown) as info:
        await harness.send()
    assert info.value.reason == "answer-cut"


async def test_answer_without_a_length_is_refused(autojump_clock, harness: TargetHarness) -> None:
    """Guards against answers whose end cannot be told from a broken connection.

    The answer has neither a length nor chunked encoding.
    """

    async def unframed(exchange: Exchange) -> None:
        name = f"Radishshunt-Request-Id: {exchange.id}\r\n".encode()
        await exchange.send_raw(b"HTTP/1.1 200 OK\r\n" + name + b"Connection: close\r\n\r\nhalf")
        await exchange.close()

    harness.target.request_handler = unframed
    with pytest.raises(OutcomeOfRequestUnknown) as info:
        await harness.send()
    assert info.value.reason == "unframed-answer"


async def test_not_run_header_counts_only_with_its_status_and_request_id(
    autojump_clock, harness: TargetHarness
) -> None:
    """Guards against taking any answer with a Radishshunt-Not-Run header for a refusal."""

    async def refuse(exchange: Exchange) -> None:
        await exchange.answer(b"", status, {"Radishshunt-Not-Run": "cold", **more})

    harness.target.request_handler = refuse
    status, more = 409, {}
    with pytest.raises(NotRun):
        await harness.send()
    status, more = 200, {}
    assert await harness.send() == b""
    status, more = 409, {"Radishshunt-Request-Id": "another"}
    with pytest.raises(OutcomeOfRequestUnknown):
        await harness.send()


async def test_cancellation_reaches_the_target_and_frees_the_slot(
    autojump_clock, harness: TargetHarness
) -> None:
    """Guards against a target that goes on running a request whose caller has disconnected."""
    harness.target.service_seconds = 5.0
    with trio.move_on_after(0.2):
        await harness.send(seconds=6.0)
    assert harness.ended == []
    await trio.sleep(0.05)
    assert harness.target.cancelled == ["r1"]
    assert not harness.target.running
    assert len(harness.ended) == 1


async def test_slot_stays_taken_until_the_deadline_if_the_target_does_not_confirm(
    autojump_clock,
    harness: TargetHarness,
) -> None:
    """Guards against exceeding the slots of a target after a cancellation.

    Without a confirmation the request may run at the target until its deadline.
    """

    async def never_answer(_exchange: Exchange) -> None:
        await trio.sleep_forever()

    harness.target.request_handler = never_answer
    with trio.move_on_after(0.2):
        await harness.send(seconds=1.0)
    await trio.sleep(0.7)
    assert harness.ended == []
    await trio.sleep(0.3 + CLOCK_SKEW_BOUND_SECONDS)
    assert harness.ended == [pytest.approx(1.0 + CLOCK_SKEW_BOUND_SECONDS, abs=0.01)]


async def test_slot_is_released_if_the_target_guarantees_not_to_run_the_request(
    autojump_clock, harness: TargetHarness
) -> None:
    """Guards against blocking a slot until the deadline for each silent connection.

    The target guarantees that the cancelled request will not run, so the slot is free at once.
    """
    await harness.send()
    harness.target.confirms_cancellation = True
    harness.target.silence_open_connections()
    with pytest.raises(OutcomeOfRequestUnknown):
        await harness.send(seconds=5.0)
    await trio.sleep(0.1)
    assert len(harness.ended) == 2


async def test_unread_answer_releases_its_slot(autojump_clock, harness: TargetHarness) -> None:
    """Guards against losing a slot if the caller disconnects before it reads the answer."""
    resp = await harness.client.send(
        harness.request(),
        b"",
        Envelope(0, 5, 8, harness.clock.now() + 1),
        lambda: harness.ended.append(0),
    )
    await resp.body.aclose()
    await trio.sleep(2.0)
    assert len(harness.ended) == 1
    assert harness.client.pool.open <= 1


@pytest.mark.parametrize("pause", [0.5, 0.999, 5.0])
async def test_deadline_is_checked_again_right_before_sending(
    autojump_clock, harness: TargetHarness, pause: float
) -> None:
    """Guards against sending after the deadline if the process was paused.

    The pause falls between the first check of the deadline and the write to the connection.
    """

    def pause_process() -> None:
        harness.clock.offset += pause

    harness.target.on_connect = pause_process
    if pause < 0.9:
        assert await harness.send(seconds=1.0) == b"done"
        return
    with pytest.raises(NotRun) as info:
        await harness.send("POST", seconds=1.0)
    assert info.value.reason == "deadline"
    assert harness.target.received_requests == []
    assert len(harness.ended) == 1


async def test_refused_connection_is_not_run(autojump_clock, harness: TargetHarness) -> None:
    """Guards against reporting the outcome ``unknown`` if the target refused the connection."""
    harness.target.refuses_connections = True
    with pytest.raises(NotRun):
        await harness.send("POST")
    assert len(harness.ended) == 1


async def test_request_is_forwarded_unchanged(autojump_clock, harness: TargetHarness) -> None:
    """Guards against changes to the path and headers of a request.

    httpx would add headers such as Accept-Encoding and normalize double slashes and escapes.
    """
    await harness.send(path="//other/%7Ea/../b?x=%2F&y")
    seen = harness.target.received_requests[0]
    assert seen.path == "//other/%7Ea/../b?x=%2F&y"
    assert not {b"accept", b"accept-encoding", b"user-agent"} & seen.headers.keys()


async def test_end_of_a_target_needs_a_refused_connection_or_a_new_incarnation(
    autojump_clock, harness: TargetHarness
) -> None:
    """Guards against quarantining requests because of a target that is only slow.

    An incarnation counts as ended only if the target refuses connections or reports a new one.
    """
    assert not await harness.client.control.has_incarnation_ended(1)
    assert await harness.client.control.has_incarnation_ended(2)
    harness.target.frozen = True
    assert not await harness.client.control.has_incarnation_ended(1)
    harness.target.refuses_connections = True
    assert await harness.client.control.has_incarnation_ended(1)
    # If it is unknown which incarnation the connection belonged to, that incarnation can't be
    # considered ended.
    harness.target.refuses_connections = harness.target.frozen = False
    assert harness.client.control.incarnation == 0
    assert not await harness.client.control.has_incarnation_ended(0)
    assert harness.client.control.incarnation == 1


async def test_connection_limit_is_never_exceeded(autojump_clock, monkeypatch) -> None:
    """Guards against opening a connection for each call while a target does not answer."""
    spec = TargetSpec("permits-01", "permits", "127.0.0.1:9", "akl-a", slots=3, connections=24)
    async with trio.open_nursery() as nursery:
        harness = TargetHarness(nursery, monkeypatch, spec)
        harness.target.frozen = True
        refused = 0

        async def call(method: str) -> None:
            nonlocal refused
            try:
                await harness.send(method, seconds=1.0)
            except NotRun:
                refused += 1
            except OutcomeOfRequestUnknown:
                pass

        async def renew() -> None:
            with contextlib.suppress(TargetUnreachable):
                await harness.client.control.grant("permits", 0, GRANT)

        async with trio.open_nursery() as calls:
            for _ in range(20):
                calls.start_soon(call, "GET")
                calls.start_soon(renew)
        assert refused == 20 - spec.slots
        assert (
            harness.target.max_open_connections
            == harness.client.pool.limit
            <= spec.connections // 2
        )
        assert harness.client.pool.open <= harness.client.pool.limit
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("seed", range(10))
async def test_limits_hold_under_all_faults(autojump_clock, monkeypatch, seed: int) -> None:
    """Guards against exceeding the slots or connections of a target with abandoned requests.

    Requests are cancelled at random while connections break, go silent or carry wrong answers.
    """
    random = Random(seed)
    spec = TargetSpec("permits-01", "permits", "127.0.0.1:9", "akl-a", slots=3, connections=20)
    async with trio.open_nursery() as nursery:
        harness = TargetHarness(nursery, monkeypatch, spec)

        async def respond_with_faults(exchange: Exchange) -> None:
            harness.target.service_seconds = random.choice([0.01, 0.1, 0.6])
            fault = random.random()
            if fault < 0.1:
                await exchange.close()
            elif fault < 0.2:
                await exchange.answer(headers={"Radishshunt-Request-Id": "another"})
            elif fault < 0.3:
                harness.target.silence_open_connections()
            else:
                await harness.target.run_and_answer(exchange)

        harness.target.request_handler = respond_with_faults
        slots_in_use = 0
        results: list[str] = []

        async def call() -> None:
            req = harness.request(random.choice(["GET", "POST"]))
            ended = trio.Event()
            envelope = Envelope(0, 5, 8, harness.clock.now() + random.choice([0.5, 1.0, 3.0]))
            with trio.move_on_after(random.choice([0.05, 0.4, 10.0])):
                try:
                    resp = await harness.client.send(req, b"", envelope, ended.set)
                    try:
                        await read_body(resp.body, 1 << 20)
                        results.append("answered")
                    finally:
                        await resp.body.aclose()
                except RequestError as exc:
                    results.append(exc.reason)
            await ended.wait()

        async def worker() -> None:
            nonlocal slots_in_use
            for _ in range(30):
                slots_in_use += 1
                assert slots_in_use <= spec.slots
                await call()
                slots_in_use -= 1

        async with trio.open_nursery() as workers:
            for _ in range(spec.slots):
                workers.start_soon(worker)
        assert harness.target.max_running <= spec.slots
        assert harness.target.max_open_connections <= spec.connections // 2
        assert results.count("answered") > 10
        nursery.cancel_scope.cancel()
