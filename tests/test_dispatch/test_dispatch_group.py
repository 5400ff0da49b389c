"""A group dispatcher with fake targets: retries, quarantine and pauses."""

from __future__ import annotations

from collections import Counter

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


class NoNetwork:
    """A network without peers."""

    def register(self, *_args: object) -> None:
        pass


class Bench:
    """A dispatcher without a standby dispatcher and three fake targets."""

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
            log=IntentLog(me, NoNetwork(), self.clock),
            quarantine=self.quarantine,
        )
        nursery.start_soon(self.dispatcher.run)
        self._sent = 0

    async def send(
        self, method: str = "GET", path: str = "/", key: str = "", seconds: float = 2.0
    ) -> bytes:
        """Send a request and return its answer."""
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

    def set_work(self, work) -> None:
        for target in self.targets.values():

            async def run(exchange: Exchange, target: MemoryTarget = target) -> None:
                await work(target, exchange)

            target.work = run

    @property
    def seen(self) -> list[Exchange]:
        return [exchange for target in self.targets.values() for exchange in target.seen]


@pytest.fixture
async def bench(autojump_clock, monkeypatch):
    async with trio.open_nursery() as nursery:
        yield Bench(nursery, monkeypatch)
        nursery.cancel_scope.cancel()


async def poison(target: MemoryTarget, exchange: Exchange) -> None:
    """Crash on ``/poison``; run everything else."""
    if exchange.path == "/poison":
        await trio.sleep(0.05)
        await target.crash()
    else:
        await target.run_for_a_moment(exchange)


async def test_idempotent_request_on_a_silent_connection_is_answered(
    autojump_clock, bench: Bench
) -> None:
    """Guards against an error where a new connection would have answered in time."""
    async with trio.open_nursery() as nursery:
        for _ in range(9):
            nursery.start_soon(bench.send)
    for target in bench.targets.values():
        target.silence_open()
    started_at = trio.current_time()
    async with trio.open_nursery() as nursery:
        for _ in range(9):
            nursery.start_soon(bench.send)
    assert trio.current_time() - started_at < 1.5
    assert bench.dispatcher.lost_targets() == set()


async def test_non_idempotent_request_on_a_silent_connection_is_not_repeated(
    autojump_clock, bench: Bench
) -> None:
    """Guards against running a request again that may have run."""
    await trio.sleep(0.5)

    async def run_and_go_silent(target: MemoryTarget, exchange: Exchange) -> None:
        exchange.conn.silent = True
        await trio.sleep_forever()

    bench.set_work(run_and_go_silent)
    with pytest.raises(OutcomeOfRequestUnknown):
        await bench.send("POST", key="fee")
    with pytest.raises(OutcomeOfRequestUnknown):
        await bench.send("POST", key="fee")
    assert len(bench.seen) == 1


async def test_poison_request_is_refused_after_two_targets(autojump_clock, bench: Bench) -> None:
    """Guards against a request that crashes every target, and against a false ``not-run``."""
    bench.set_work(poison)
    with pytest.raises(OutcomeOfRequestUnknown):
        # It ran and crashed two targets, so that "not-run" would be a lie for this one.
        await bench.send(path="/poison")
    assert len(bench.seen) == 2
    with pytest.raises(NotRun) as info:
        await bench.send(path="/poison")
    assert info.value.reason == "quarantined"
    assert len(bench.seen) == 2
    assert await bench.send() == b"done"


@pytest.mark.parametrize("seed", range(10))
async def test_harmless_requests_beside_a_poison_request_are_answered(
    autojump_clock, bench: Bench, monkeypatch, seed: int
) -> None:
    """Guards against quarantining requests that only ran beside the one that crashes targets."""
    monkeypatch.setattr(trio_run, "_ALLOW_DETERMINISTIC_SCHEDULING", True)
    trio_run._r.seed(seed)
    await trio.sleep(0.5)
    results: Counter[str] = Counter()

    async def work(target: MemoryTarget, exchange: Exchange) -> None:
        target.service_seconds = 0.8 if exchange.path == "/long" else 0.2
        await poison(target, exchange)

    async def send(path: str) -> None:
        try:
            await bench.send(path=path, seconds=10.0)
            results["answered"] += 1
        except RequestError as exc:
            results[exc.reason] += 1

    bench.set_work(work)
    async with trio.open_nursery() as nursery:
        # One target is busy, so that the requests of the crashed one meet again on the third.
        for path in ("/long", "/poison", "/1", "/long", "/2", "/3", "/long", "/4"):
            nursery.start_soon(send, path)
            await trio.sleep(0.001)
    assert results["answered"] == 7, results
    assert results["quarantined"] == 1


async def test_slow_target_makes_no_suspects(autojump_clock, bench: Bench) -> None:
    """Guards against counting a slow or silent connection as the death of a target."""
    await trio.sleep(0.5)

    async def hang(_target: MemoryTarget, _exchange: Exchange) -> None:
        await trio.sleep_forever()

    bench.set_work(hang)
    with pytest.raises(RequestError):
        await bench.send(seconds=4.0)
    assert len(bench.quarantine) == 0


async def test_connection_that_breaks_makes_no_suspect_of_a_living_target(
    autojump_clock, bench: Bench
) -> None:
    """Guards against counting a broken connection alone as the death of a target."""

    async def close(_target: MemoryTarget, exchange: Exchange) -> None:
        await exchange.close()

    bench.set_work(close)
    with pytest.raises(OutcomeOfRequestUnknown):
        await bench.send(seconds=1.0)
    assert len(bench.seen) > 2
    assert len(bench.quarantine) == 0


async def test_retries_are_bounded(autojump_clock, bench: Bench) -> None:
    """Guards against retries that multiply the load when all answers fail."""

    async def close(_target: MemoryTarget, exchange: Exchange) -> None:
        await exchange.close()

    bench.set_work(close)

    async def send() -> None:
        with pytest.raises(RequestError):
            await bench.send(seconds=1.0)

    for _ in range(50):
        async with trio.open_nursery() as nursery:
            for _ in range(4):
                nursery.start_soon(send)
    assert 200 <= len(bench.seen) <= 200 * 1.1 + 21


async def test_pause_while_waiting_for_a_slot_sends_nothing_late(
    autojump_clock, bench: Bench
) -> None:
    """Guards against a host that is paused with a slot in its hands and sends afterwards."""
    await trio.sleep(0.5)
    send = bench.dispatcher._send

    async def paused(*args: object) -> object:
        bench.clock.offset += 5.0
        return await send(*args)

    bench.dispatcher._send = paused
    with pytest.raises(NotRun):
        await bench.send("POST", seconds=1.0)
    assert bench.seen == []


async def test_dispatcher_that_stops_lets_its_requests_end(autojump_clock, bench: Bench) -> None:
    """Guards against interrupting a non-idempotent request at a planned handover."""
    await trio.sleep(0.5)
    for target in bench.targets.values():
        target.service_seconds = 0.8
    answers = []

    async def send() -> None:
        answers.append(await bench.send("POST", key="fee"))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send)
        await trio.sleep(0.2)
        bench.dispatcher.stop()
    assert answers == [b"done"]
