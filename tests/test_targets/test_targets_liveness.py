"""Connections to a target: silent ones, wrong answers, cancellation and limits."""

from __future__ import annotations

import contextlib
from random import Random

import pytest
import trio
import trio.testing

from radishshunt.clock import CLOCK_SKEW_BOUND, TrioClock
from radishshunt.control import TargetUnreachable
from radishshunt.errors import NotRun, OutcomeOfRequestUnknown, RequestError
from radishshunt.model import Request, body_of, read_body
from radishshunt.ownership import Grant
from radishshunt.release.catalog import TargetSpec
from radishshunt.targets import Envelope, TargetClient
from tests.support.memory_target import Exchange, MemoryTarget

SPEC = TargetSpec("permits-01", "permits", "127.0.0.1:9", "akl-a")
GRANT = Grant("permits-01", 4, 1, {5: 0}, 0.0)


class Bench:
    """A client, a fake target and what became of slots.

    :ivar ended: Times at which slots were given back, relative to the start.
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
async def bench(autojump_clock, monkeypatch):
    async with trio.open_nursery() as nursery:
        yield Bench(nursery, monkeypatch)
        nursery.cancel_scope.cancel()


async def test_request_on_a_silent_connection_ends_long_before_its_deadline(
    autojump_clock, bench: Bench
) -> None:
    """Guards against waiting for the deadline on a connection that went silent."""
    assert await bench.send() == b"done"
    bench.target.silence_open()
    started_at = bench.elapsed()
    with pytest.raises(OutcomeOfRequestUnknown) as info:
        await bench.send("POST", seconds=10.0)
    assert info.value.reason == "connection-silent"
    assert bench.elapsed() - started_at < 1.0
    assert await bench.send() == b"done"


async def test_idle_connections_are_replaced_with_the_silent_one(
    autojump_clock, bench: Bench
) -> None:
    """Guards against trying one silent connection after the other."""
    async with trio.open_nursery() as nursery:
        for _ in range(3):
            nursery.start_soon(bench.send)
    assert len(bench.target.connections) == 3
    bench.target.silence_open()
    with pytest.raises(OutcomeOfRequestUnknown):
        await bench.send()
    async with trio.open_nursery() as nursery:
        for _ in range(3):
            nursery.start_soon(bench.send)


async def test_renewals_survive_silent_connections(autojump_clock, bench: Bench) -> None:
    """Guards against a target that counts as lost although new connections to it work."""
    async with trio.open_nursery() as nursery:
        for _ in range(3):
            nursery.start_soon(bench.client.control.grant, "permits", 0, GRANT)
    for _ in range(5):
        bench.target.silence_open()
        await bench.client.control.grant("permits", 0, GRANT)


async def test_renewals_fail_if_new_connections_are_silent_too(
    autojump_clock, bench: Bench
) -> None:
    """Guards against a frozen target that counts as alive."""
    bench.target.frozen = True
    with pytest.raises(TargetUnreachable):
        await bench.client.control.grant("permits", 0, GRANT)
    assert bench.elapsed() < 0.3


async def test_slow_request_on_a_working_connection_is_left_alone(
    autojump_clock, bench: Bench
) -> None:
    """Guards against taking a long-running request for a silent connection."""
    bench.target.service_seconds = 3.0
    assert await bench.send(seconds=4.0) == b"done"
    assert len(bench.target.seen) == 1


async def test_target_that_tells_no_state_is_waited_for(autojump_clock, bench: Bench) -> None:
    """Guards against cutting requests at targets without GET /_target/requests/<id>."""
    bench.target.tells_state = False
    bench.target.service_seconds = 3.0
    assert await bench.send(seconds=4.0) == b"done"


async def test_answer_of_another_request_is_dropped_with_its_connection(
    autojump_clock, bench: Bench
) -> None:
    """Guards against crossed answers: the following ones on that connection are crossed too."""

    async def crossed(exchange: Exchange) -> None:
        await exchange.answer(headers={"Radishshunt-Request-Id": "another"})

    bench.target.work = crossed
    with pytest.raises(OutcomeOfRequestUnknown) as info:
        await bench.send()
    assert info.value.reason == "wrong-answer"
    bench.target.work = bench.target.run_for_a_moment
    assert await bench.send() == b"done"
    assert bench.target.seen[1].conn is not bench.target.seen[0].conn


async def test_late_answer_is_not_taken_for_the_next_request(autojump_clock, bench: Bench) -> None:
    """Guards against an answer that comes after its deadline and meets the next request."""
    bench.target.service_seconds = 1.0
    with pytest.raises(OutcomeOfRequestUnknown):
        await bench.send(seconds=0.9)
    bench.target.service_seconds = 0.01
    await trio.sleep(0.5)
    assert await bench.send() == b"done"
    assert bench.target.seen[1].conn is not bench.target.seen[0].conn


@pytest.mark.parametrize(
    "head",
    [b"Content-Length: 10\r\n\r\nhalf", b"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"],
    ids=["length", "chunked"],
)
async def test_cut_answer_is_an_error(autojump_clock, bench: Bench, head: bytes) -> None:
    """Guards against a part of an answer that is passed on as whole."""

    async def cut(exchange: Exchange) -> None:
        name = f"Radishshunt-Request-Id: {exchange.id}\r\n".encode()
        await exchange.raw(b"HTTP/1.1 200 OK\r\n" + name + head)
        await exchange.close()

    bench.target.work = cut
    with pytest.raises(OutcomeOfRequestUnknown) as info:
        await bench.send()
    assert info.value.reason == "answer-cut"


async def test_answer_that_ends_with_its_connection_is_refused(
    autojump_clock, bench: Bench
) -> None:
    """Guards against answers whose end looks like a broken connection."""

    async def unframed(exchange: Exchange) -> None:
        name = f"Radishshunt-Request-Id: {exchange.id}\r\n".encode()
        await exchange.raw(b"HTTP/1.1 200 OK\r\n" + name + b"Connection: close\r\n\r\nhalf")
        await exchange.close()

    bench.target.work = unframed
    with pytest.raises(OutcomeOfRequestUnknown) as info:
        await bench.send()
    assert info.value.reason == "unframed-answer"


async def test_not_run_counts_only_with_its_status_and_id(autojump_clock, bench: Bench) -> None:
    """Guards against taking an answer that carries the header by chance for a refusal."""

    async def refuse(exchange: Exchange) -> None:
        await exchange.answer(b"", status, {"Radishshunt-Not-Run": "cold", **more})

    bench.target.work = refuse
    status, more = 409, {}
    with pytest.raises(NotRun):
        await bench.send()
    status, more = 200, {}
    assert await bench.send() == b""
    status, more = 409, {"Radishshunt-Request-Id": "another"}
    with pytest.raises(OutcomeOfRequestUnknown):
        await bench.send()


async def test_cancellation_reaches_the_target_and_frees_the_slot(
    autojump_clock, bench: Bench
) -> None:
    """Guards against a target that works on for a caller that has gone."""
    bench.target.service_seconds = 5.0
    with trio.move_on_after(0.2):
        await bench.send(seconds=6.0)
    assert bench.ended == []
    await trio.sleep(0.05)
    assert bench.target.cancelled == ["r1"]
    assert not bench.target.running
    assert len(bench.ended) == 1


async def test_slot_stays_taken_until_the_deadline_if_the_target_does_not_confirm(
    autojump_clock,
    bench: Bench,
) -> None:
    """Guards against more requests at a target than it has slots, after a cancellation."""

    async def never(_exchange: Exchange) -> None:
        await trio.sleep_forever()

    bench.target.work = never
    with trio.move_on_after(0.2):
        await bench.send(seconds=1.0)
    await trio.sleep(0.7)
    assert bench.ended == []
    await trio.sleep(0.3 + CLOCK_SKEW_BOUND)
    assert bench.ended == [pytest.approx(1.0 + CLOCK_SKEW_BOUND, abs=0.01)]


async def test_answer_that_is_not_read_gives_its_slot_back(autojump_clock, bench: Bench) -> None:
    """Guards against a slot lost to a caller that goes before the first byte of the answer."""
    resp = await bench.client.send(
        bench.request(),
        b"",
        Envelope(0, 5, 8, bench.clock.now() + 1),
        lambda: bench.ended.append(0),
    )
    await resp.body.aclose()
    await trio.sleep(2.0)
    assert len(bench.ended) == 1
    assert bench.client.pool.open <= 1


@pytest.mark.parametrize("pause", [0.5, 0.999, 5.0])
async def test_deadline_is_checked_again_right_before_sending(
    autojump_clock, bench: Bench, pause: float
) -> None:
    """Guards against a process that is paused between the check of the deadline and the send."""

    def pause_process() -> None:
        bench.clock.offset += pause

    bench.target.on_connect = pause_process
    if pause < 0.9:
        assert await bench.send(seconds=1.0) == b"done"
        return
    with pytest.raises(NotRun) as info:
        await bench.send("POST", seconds=1.0)
    assert info.value.reason == "deadline"
    assert bench.target.seen == []
    assert len(bench.ended) == 1


async def test_refused_connection_is_not_run(autojump_clock, bench: Bench) -> None:
    """Guards against ``unknown`` for a request that cannot have run."""
    bench.target.refuses = True
    with pytest.raises(NotRun):
        await bench.send("POST")
    assert len(bench.ended) == 1


async def test_request_is_passed_on_as_it_came(autojump_clock, bench: Bench) -> None:
    """Guards against what httpx adds and changes: encodings, doubled slashes, escapes."""
    await bench.send(path="//other/%7Ea/../b?x=%2F&y")
    seen = bench.target.seen[0]
    assert seen.path == "//other/%7Ea/../b?x=%2F&y"
    assert not {b"accept", b"accept-encoding", b"user-agent"} & seen.headers.keys()


async def test_death_needs_a_refused_connection_or_a_new_incarnation(
    autojump_clock, bench: Bench
) -> None:
    """Guards against quarantining requests of a target that is only slow."""
    assert not await bench.client.control.check_death(1)
    assert await bench.client.control.check_death(2)
    bench.target.frozen = True
    assert not await bench.client.control.check_death(1)
    bench.target.refuses = True
    assert await bench.client.control.check_death(1)
    # A run that was never seen can break a connection without having ended.
    bench.target.refuses = bench.target.frozen = False
    assert bench.client.control.incarnation == 0
    assert not await bench.client.control.check_death(0)
    assert bench.client.control.incarnation == 1


async def test_connection_limit_is_never_exceeded(autojump_clock, monkeypatch) -> None:
    """Guards against opening a connection for each call when a target answers slowly."""
    spec = TargetSpec("permits-01", "permits", "127.0.0.1:9", "akl-a", slots=3, connections=24)
    async with trio.open_nursery() as nursery:
        bench = Bench(nursery, monkeypatch, spec)
        bench.target.frozen = True
        refused = 0

        async def call(method: str) -> None:
            nonlocal refused
            try:
                await bench.send(method, seconds=1.0)
            except NotRun:
                refused += 1
            except OutcomeOfRequestUnknown:
                pass

        async def renew() -> None:
            with contextlib.suppress(TargetUnreachable):
                await bench.client.control.grant("permits", 0, GRANT)

        async with trio.open_nursery() as calls:
            for _ in range(20):
                calls.start_soon(call, "GET")
                calls.start_soon(renew)
        assert refused == 20 - spec.slots
        assert bench.target.most_open == bench.client.pool.limit <= spec.connections // 2
        assert bench.client.pool.open <= bench.client.pool.limit
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("seed", range(10))
async def test_limits_hold_under_all_faults(autojump_clock, monkeypatch, seed: int) -> None:
    """Guards against exceeding the slots or the connections of a target by abandoned requests."""
    random = Random(seed)
    spec = TargetSpec("permits-01", "permits", "127.0.0.1:9", "akl-a", slots=3, connections=20)
    async with trio.open_nursery() as nursery:
        bench = Bench(nursery, monkeypatch, spec)

        async def faulty(exchange: Exchange) -> None:
            bench.target.service_seconds = random.choice([0.01, 0.1, 0.6])
            kind = random.random()
            if kind < 0.1:
                await exchange.close()
            elif kind < 0.2:
                await exchange.answer(headers={"Radishshunt-Request-Id": "another"})
            elif kind < 0.3:
                bench.target.silence_open()
            else:
                await bench.target.run_for_a_moment(exchange)

        bench.target.work = faulty
        taken = 0
        results: list[str] = []

        async def call() -> None:
            req = bench.request(random.choice(["GET", "POST"]))
            ended = trio.Event()
            envelope = Envelope(0, 5, 8, bench.clock.now() + random.choice([0.5, 1.0, 3.0]))
            with trio.move_on_after(random.choice([0.05, 0.4, 10.0])):
                try:
                    resp = await bench.client.send(req, b"", envelope, ended.set)
                    try:
                        await read_body(resp.body, 1 << 20)
                        results.append("answered")
                    finally:
                        await resp.body.aclose()
                except RequestError as exc:
                    results.append(exc.reason)
            await ended.wait()

        async def worker() -> None:
            nonlocal taken
            for _ in range(30):
                taken += 1
                assert taken <= spec.slots
                await call()
                taken -= 1

        async with trio.open_nursery() as workers:
            for _ in range(spec.slots):
                workers.start_soon(worker)
        assert bench.target.most_running <= spec.slots
        assert bench.target.most_open <= spec.connections // 2
        assert results.count("answered") > 10
        nursery.cancel_scope.cancel()
