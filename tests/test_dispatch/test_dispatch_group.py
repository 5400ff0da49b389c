"""Retries, quarantine and process pauses of a group dispatcher with fake targets."""

from __future__ import annotations

from collections import Counter
from contextlib import suppress

import pytest
import trio
import trio._core._run as trio_run

from radishshunt.clock import TrioClock
from radishshunt.directory import Directory
from radishshunt.dispatch.group import GroupDispatcher
from radishshunt.errors import NotRun, OutcomeOfRequestUnknown, RequestError
from radishshunt.intent_log import IntentLog
from radishshunt.intents import new_request_id
from radishshunt.model import GroupId, GroupRow, HostRef, Request, body_of, read_body
from radishshunt.quarantine import Quarantine
from radishshunt.release.catalog import Catalog, DomainState, ServiceSpec, TargetSpec
from radishshunt.settings import LimitsSection
from tests.support.memory_target import Exchange, MemoryTarget

GROUP = GroupId("documents", 0)
NAMES = ("documents-01", "documents-02", "documents-03")


class NoPeerNetwork:
    """Peer network without peers."""

    def register(self, *_args: object) -> None:
        pass


class DispatcherHarness:
    """A dispatcher without a standby dispatcher, and three fake targets."""

    def __init__(self, nursery: trio.Nursery, monkeypatch) -> None:
        self.clock = TrioClock(offset=1_790_000_000.0)
        ips = {name: f"127.0.0.{number}" for number, name in enumerate(NAMES, 1)}
        self.targets = {n: MemoryTarget(nursery, monkeypatch, ip) for n, ip in ips.items()}
        for number, target in enumerate(self.targets.values(), 1):
            target.incarnation = number * 100
        directory = Directory()
        directory.update_catalog(
            Catalog(
                version=1,
                domains={"akl-a": DomainState.IN},
                services={"documents": ServiceSpec("documents", keyed=False)},
                targets={
                    name: TargetSpec(name, "documents", f"{ip}:9", "akl-a")
                    for name, ip in ips.items()
                },
            )
        )
        me = HostRef("host-01", 1)
        row = GroupRow(GROUP, 2, me, None, NAMES)
        directory.update_row(row)
        self.quarantine = Quarantine()
        self.dispatcher = GroupDispatcher(
            row,
            2,
            directory,
            LimitsSection(),
            self.clock,
            log=IntentLog(me, NoPeerNetwork(), self.clock),
            quarantine=self.quarantine,
        )
        nursery.start_soon(self.dispatcher.run)
        self._sent = 0

    async def send(
        self, method: str = "GET", path: str = "/", key: str = "", seconds: float = 2.0
    ) -> bytes:
        """Send a request and return the body of its answer."""
        self._sent += 1
        now = self.clock.now()
        req = Request(
            new_request_id(now, self._sent),
            "documents",
            "",
            method,
            path,
            [],
            body_of(b""),
            now + seconds,
            key,
        )
        resp = await self.dispatcher.handle(req, None)
        try:
            return await read_body(resp.body, 1 << 20)
        finally:
            await resp.body.aclose()

    def set_behaviour(self, work) -> None:
        """Make all targets run requests with a function of the target and the exchange."""
        for target in self.targets.values():

            async def run(exchange: Exchange, target: MemoryTarget = target) -> None:
                await work(target, exchange)

            target.request_handler = run

    @property
    def seen(self) -> list[Exchange]:
        """Requests that the targets have received."""
        return [
            exchange for target in self.targets.values() for exchange in target.received_requests
        ]


@pytest.fixture
async def harness(autojump_clock, monkeypatch):
    async with trio.open_nursery() as nursery:
        yield DispatcherHarness(nursery, monkeypatch)
        nursery.cancel_scope.cancel()


async def run_or_crash(target: MemoryTarget, exchange: Exchange) -> None:
    """Crash the target on ``/poison``; answer all other requests."""
    if exchange.path == "/poison":
        await trio.sleep(0.05)
        await target.crash()
    else:
        await target.run_and_answer(exchange)


async def test_idempotent_request_on_a_silent_connection_is_answered(
    autojump_clock, harness: DispatcherHarness
) -> None:
    """Guards against an error for an idempotent request whose connection has gone silent.

    A retry on a new connection would have been answered in time.
    """
    async with trio.open_nursery() as nursery:
        for _ in range(9):
            nursery.start_soon(harness.send)
    for target in harness.targets.values():
        target.silence_open_connections()
        target.confirms_cancellation = True
    started_at = trio.current_time()
    async with trio.open_nursery() as nursery:
        for _ in range(9):
            nursery.start_soon(harness.send)
    assert trio.current_time() - started_at < 1.5
    assert harness.dispatcher.lost_targets() == set()


async def test_non_idempotent_request_on_a_silent_connection_is_not_repeated(
    autojump_clock, harness: DispatcherHarness
) -> None:
    """Guards against a second run of a non-idempotent request that may already have run.

    The connection goes silent while the target runs the request, so its outcome is unknown.
    """
    await trio.sleep(0.5)

    async def run_and_go_silent(target: MemoryTarget, exchange: Exchange) -> None:
        exchange.conn.silent = True
        await trio.sleep_forever()

    harness.set_behaviour(run_and_go_silent)
    with pytest.raises(OutcomeOfRequestUnknown):
        await harness.send("POST", key="fee")
    with pytest.raises(OutcomeOfRequestUnknown):
        await harness.send("POST", key="fee")
    assert len(harness.seen) == 1


async def test_poison_request_is_refused_after_two_targets(
    autojump_clock, harness: DispatcherHarness
) -> None:
    """Guards against a request that crashes one target after the other.

    Also guards against reporting ``not-run`` for a request that ran on the crashed targets.
    """
    harness.set_behaviour(run_or_crash)
    with pytest.raises(OutcomeOfRequestUnknown):
        # It ran and crashed two targets, so "not-run" would be wrong.
        await harness.send(path="/poison")
    assert len(harness.seen) == 2
    with pytest.raises(NotRun) as info:
        await harness.send(path="/poison")
    assert info.value.reason == "quarantined"
    assert len(harness.seen) == 2
    assert await harness.send() == b"done"


async def test_errors_of_failing_targets_do_not_clear_a_poison_request(
    autojump_clock, harness: DispatcherHarness
) -> None:
    """Guards against crashes that count no more since another target failed in between."""
    crashes = 0

    async def crash_or_fail(target: MemoryTarget, exchange: Exchange) -> None:
        nonlocal crashes
        if len(harness.seen) % 2:
            crashes += 1
            await target.crash()
        else:
            await exchange.answer(b"", 500)

    harness.set_behaviour(crash_or_fail)
    for _ in range(6):
        with suppress(RequestError):
            await harness.send(path="/poison")
        await trio.sleep(1.0)
    assert crashes == 2


@pytest.mark.parametrize("seed", range(10))
async def test_harmless_requests_beside_a_poison_request_are_answered(
    autojump_clock, harness: DispatcherHarness, monkeypatch, seed: int
) -> None:
    """Guards against quarantining requests that only ran at the same time as a crashing request.

    Each crash makes suspects of all requests on the target. If these were retried together with the
    crashing request, the next crash would quarantine them too.
    """
    monkeypatch.setattr(trio_run, "_ALLOW_DETERMINISTIC_SCHEDULING", True)
    trio_run._r.seed(seed)
    await trio.sleep(0.5)
    results: Counter[str] = Counter()

    async def work(target: MemoryTarget, exchange: Exchange) -> None:
        target.service_seconds = 0.8 if exchange.path == "/long" else 0.2
        await run_or_crash(target, exchange)

    async def send(path: str) -> None:
        try:
            await harness.send(path=path, seconds=10.0)
            results["answered"] += 1
        except RequestError as exc:
            results[exc.reason] += 1

    harness.set_behaviour(work)
    async with trio.open_nursery() as nursery:
        # The /long requests keep one target busy, so the requests that ran on the crashed target
        # are retried together on the third one.
        for path in ("/long", "/poison", "/1", "/long", "/2", "/3", "/long", "/4"):
            nursery.start_soon(send, path)
            await trio.sleep(0.001)
    assert results["answered"] == 7, results
    assert results["quarantined"] == 1


async def test_slow_target_makes_no_suspects(autojump_clock, harness: DispatcherHarness) -> None:
    """Guards against counting a target that does not answer in time as lost."""
    await trio.sleep(0.5)

    async def hang(_target: MemoryTarget, _exchange: Exchange) -> None:
        await trio.sleep_forever()

    harness.set_behaviour(hang)
    with pytest.raises(RequestError):
        await harness.send(seconds=4.0)
    assert len(harness.quarantine) == 0


async def test_connection_that_breaks_makes_no_suspect_of_a_living_target(
    autojump_clock, harness: DispatcherHarness
) -> None:
    """Guards against counting a broken connection alone as the loss of a target."""

    async def close(_target: MemoryTarget, exchange: Exchange) -> None:
        await exchange.close()

    harness.set_behaviour(close)
    with pytest.raises(OutcomeOfRequestUnknown):
        await harness.send(seconds=1.0)
    assert len(harness.seen) > 2
    assert len(harness.quarantine) == 0


async def test_retries_are_bounded(autojump_clock, harness: DispatcherHarness) -> None:
    """Guards against retries that multiply the load while every request fails."""

    async def close(_target: MemoryTarget, exchange: Exchange) -> None:
        await exchange.close()

    harness.set_behaviour(close)

    async def send() -> None:
        with pytest.raises(RequestError):
            await harness.send(seconds=1.0)

    for _ in range(50):
        async with trio.open_nursery() as nursery:
            for _ in range(4):
                nursery.start_soon(send)
    assert 200 <= len(harness.seen) <= 200 * 1.1 + 21


async def test_pause_after_getting_a_slot_sends_nothing_late(
    autojump_clock, harness: DispatcherHarness
) -> None:
    """Guards against sending a request after its deadline.

    The host is paused after the request has got a slot, and continues after the deadline.
    """
    await trio.sleep(0.5)
    send = harness.dispatcher._send

    async def paused(*args: object) -> object:
        harness.clock.offset += 5.0
        return await send(*args)

    harness.dispatcher._send = paused
    with pytest.raises(NotRun):
        await harness.send("POST", seconds=1.0)
    assert harness.seen == []


async def test_dispatcher_that_stops_lets_its_requests_end(
    autojump_clock, harness: DispatcherHarness
) -> None:
    """Guards against interrupting a non-idempotent request at a planned handover."""
    await trio.sleep(0.5)
    for target in harness.targets.values():
        target.service_seconds = 0.8
    answers = []

    async def send() -> None:
        answers.append(await harness.send("POST", key="fee"))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send)
        await trio.sleep(0.2)
        harness.dispatcher.stop()
    assert answers == [b"done"]
