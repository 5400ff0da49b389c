"""Non-idempotent requests run at most once while dispatchers are lost and replaced."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest
import trio

from radishshunt.emulator.history import CallerAnswer, find_violations
from radishshunt.errors import OutcomeOfRequestUnknown
from radishshunt.intents import SENT, new_request_id
from radishshunt.model import Request, body_of
from tests.support.simulation import Simulation

CALLERS = 12


class Scenario:
    """Simulated hosts ``a`` to ``d``; ``a`` is the dispatcher and ``b`` the standby dispatcher."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.sim = Simulation(self.random)
        self.answers: list[CallerAnswer] = []
        self.running_at_loss: set[str] = set()

    async def start_hosts(self, nursery: trio.Nursery) -> None:
        self.sim.nursery = nursery
        for name in "abcd":
            await self.sim.add_host(name)
        await self.sim.hosts["a"].become_dispatcher(self.sim.row(2, "a", "b"), 2)
        self.sim.dispatcher = "a"

    async def caller(self, number: int) -> None:
        """Send a request, and retry it under the same key until it is answered, at most 4 times."""
        await trio.sleep(self.random.random() * 4)
        has_timestamp = self.random.random() < 0.7
        key = f"fee-{number}"
        if has_timestamp:
            key = new_request_id(self.sim.clock.now(), self.random.getrandbits(74))
        for attempt in range(4):
            answer = await self.sim.call(f"c{number}.{attempt}", key, 2.0)
            self.answers.append(answer)
            if not answer.outcome and self.random.random() < 0.7:
                return
            await trio.sleep(self.random.random())

    async def concurrent_caller(self, number: int) -> None:
        """Send the same request twice at the same time."""
        await trio.sleep(self.random.random() * 4)
        async with trio.open_nursery() as nursery:
            for attempt in range(2):
                nursery.start_soon(self.sim.call, f"i{number}.{attempt}", f"both-{number}", 2.0)

    async def take_over(self, host: str, generation: int, row_generation: int) -> None:
        """Let the standby dispatcher take over, and then name it as dispatcher in a new row."""
        sim = self.sim
        await trio.sleep(0.7 + self.random.random() * 0.3)
        await sim.hosts[host].become_dispatcher(sim.row(row_generation, host, host), generation)
        sim.dispatcher = host
        await trio.sleep(self.random.random())
        await sim.hosts[host].become_dispatcher(sim.row(generation + 1, host, "c"), generation + 1)

    async def lose_dispatcher(self) -> None:
        await trio.sleep(1 + self.random.random() * 2)
        self.sim.hosts["a"].kill()
        records = self.sim.hosts["b"].log.store.sent_records("permits", 0)
        self.running_at_loss = {r.idempotency_key for r in records if r.state == SENT}
        await self.take_over("b", 3, 2)

    async def lose_both(self) -> None:
        await self.lose_dispatcher()
        await trio.sleep(self.random.random() * 0.5)
        self.sim.hosts["b"].kill()
        await trio.sleep(0.7)
        if self.random.random() < 0.5:
            await self.sim.hosts["c"].become_dispatcher(self.sim.row(6, "c", "d"), 6, ("b",))
            self.sim.dispatcher = "c"
        else:
            self.sim.hosts["c"].kill()
            await self.sim.hosts["d"].become_dispatcher(self.sim.row(6, "d", None), 6, ("b", "c"))
            self.sim.dispatcher = "d"

    async def lose_both_at_once(self) -> None:
        await trio.sleep(1 + self.random.random() * 2)
        self.sim.hosts["a"].kill()
        self.sim.hosts["b"].kill()
        await trio.sleep(0.8)
        await self.sim.hosts["c"].become_dispatcher(self.sim.row(4, "c", "d"), 4, ("a", "b"))
        self.sim.dispatcher = "c"

    async def take_over_from_running_dispatcher(self) -> None:
        await trio.sleep(1 + self.random.random() * 2)
        await self.take_over("b", 3, 2)

    async def reappoint_former_dispatcher(self) -> None:
        await trio.sleep(1 + self.random.random())
        await self.sim.hosts["b"].become_dispatcher(self.sim.row(2, "a", "b"), 3)
        self.sim.dispatcher = "b"
        await trio.sleep(0.5 + self.random.random())
        self.sim.hosts["b"].kill()
        await trio.sleep(0.7)
        await self.sim.hosts["a"].become_dispatcher(self.sim.row(4, "a", "c"), 4)
        self.sim.dispatcher = "a"

    async def appoint_third_host(self) -> None:
        await trio.sleep(1 + self.random.random() * 2)
        await self.sim.hosts["c"].become_dispatcher(self.sim.row(4, "c", "d"), 4, ("a", "b"))
        self.sim.dispatcher = "c"

    async def lose_standby(self) -> None:
        await trio.sleep(1 + self.random.random() * 2)
        self.sim.hosts["b"].kill()
        await trio.sleep(0.7 + self.random.random() * 0.5)
        row = self.sim.row(4, "a", "c")
        await self.sim.hosts["a"].become_dispatcher(row, 4)
        await trio.sleep(self.random.random() * 0.2)
        self.sim.hosts["a"].kill()
        await trio.sleep(0.7)
        await self.sim.hosts["c"].become_dispatcher(self.sim.row(4, "c", "c"), 5)
        self.sim.dispatcher = "c"
        await self.sim.hosts["c"].become_dispatcher(self.sim.row(6, "c", "d"), 6)


EVENTS = [
    Scenario.lose_dispatcher,
    Scenario.lose_both,
    Scenario.lose_both_at_once,
    Scenario.take_over_from_running_dispatcher,
    Scenario.reappoint_former_dispatcher,
    Scenario.appoint_third_host,
    Scenario.lose_standby,
]


async def run_scenario(seed: int, event) -> Scenario:
    """Run callers during an event, and return when all callers have ended."""
    scenario = Scenario(seed)
    async with trio.open_nursery() as nursery:
        await scenario.start_hosts(nursery)
        async with trio.open_nursery() as callers:
            for number in range(CALLERS):
                callers.start_soon(scenario.caller, number)
                callers.start_soon(scenario.concurrent_caller, number)
            callers.start_soon(event, scenario)
        nursery.cancel_scope.cancel()
    return scenario


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("event", EVENTS, ids=lambda event: event.__name__)
async def test_no_request_runs_twice_or_is_wrongly_not_run(autojump_clock, seed, event) -> None:
    """Guards against double execution and a wrong ``not-run`` when a dispatcher is replaced."""
    scenario = await run_scenario(seed, event)
    assert [str(finding) for finding in find_violations(scenario.sim.history)] == []
    assert len(scenario.sim.history.executions) >= 3


@pytest.mark.parametrize("seed", range(20))
async def test_only_requests_that_were_running_are_unknown_after_a_loss(
    autojump_clock, seed: int
) -> None:
    """Guards against ``unknown`` where the records show that a request ended or was not sent."""
    scenario = await run_scenario(seed, Scenario.lose_dispatcher)
    for answer in scenario.sim.history.answers:
        if answer.outcome == "unknown" and answer.reason != "no-answer":
            assert answer.idempotency_key in scenario.running_at_loss, answer


async def test_unknown_is_rare_if_the_former_dispatcher_still_runs(autojump_clock) -> None:
    """Guards against a former dispatcher that does not report the outcomes of its requests."""
    outcomes: Counter[str] = Counter()
    for seed in range(20):
        scenario = await run_scenario(seed, Scenario.appoint_third_host)
        outcomes.update(answer.outcome for answer in scenario.sim.history.answers)
    assert outcomes["unknown"] < 0.05 * outcomes.total(), outcomes


async def test_request_is_unknown_after_the_loss_of_both_dispatchers(autojump_clock) -> None:
    """Guards against a new dispatcher that runs requests again because their records are lost."""
    sim = Simulation(Random(1), loss=0.0)
    async with trio.open_nursery() as nursery:
        sim.nursery = nursery
        for name in "abcd":
            await sim.add_host(name)
        await sim.hosts["a"].become_dispatcher(sim.row(2, "a", "b"), 2)
        sim.dispatcher = "a"
        assert (await sim.call("c1", "undated", 2.0)).status == 200
        sim.hosts["a"].kill()
        sim.hosts["b"].kill()
        await sim.hosts["c"].become_dispatcher(sim.row(4, "c", "d"), 4, ("a", "b"))
        sim.dispatcher = "c"
        assert (await sim.call("c2", "undated", 2.0)).outcome == "unknown"
        await trio.sleep(6)
        fresh = new_request_id(sim.clock.now(), 7)
        assert (await sim.call("c3", fresh, 2.0)).status == 200
        assert (await sim.call("c4", "", 2.0)).status == 200
        # The next dispatcher lacks the same records as this one.
        sim.hosts["c"].kill()
        await sim.hosts["d"].become_dispatcher(sim.row(4, "c", "d"), 5)
        await sim.hosts["d"].become_dispatcher(sim.row(6, "d", None), 6)
        sim.dispatcher = "d"
        assert (await sim.call("c5", "undated", 2.0)).outcome == "unknown"
        await trio.sleep(610)
        assert (await sim.call("c6", "undated", 2.0)).status == 200
        nursery.cancel_scope.cancel()


async def test_retry_waits_for_the_first_attempt(autojump_clock) -> None:
    """Guards against a retry that runs, or fails, while the first attempt still runs."""
    sim = Simulation(Random(1), loss=0.0)
    answers = []

    async def call(name: str) -> None:
        answers.append(await sim.call(name, "fee", 2.0))

    async with trio.open_nursery() as nursery:
        sim.nursery = nursery
        for name in "ab":
            await sim.add_host(name)
        await sim.hosts["a"].become_dispatcher(sim.row(2, "a", "b"), 2)
        sim.dispatcher = "a"
        async with trio.open_nursery() as callers:
            for name in ("c1", "c2", "c3"):
                callers.start_soon(call, name)
        nursery.cancel_scope.cancel()
    assert [answer.status for answer in answers] == [200] * 3
    assert len({answer.body for answer in answers}) == 1
    assert len(sim.history.executions) == 1


async def test_abandoned_request_is_cancelled_and_not_run_again(autojump_clock) -> None:
    """Guards against a cancelled request that is recorded as not run, although it was sent."""
    sim = Simulation(Random(1), loss=0.0)
    sim.service_seconds = 1000.0
    async with trio.open_nursery() as nursery:
        sim.nursery = nursery
        for name in "ab":
            await sim.add_host(name)
        await sim.hosts["a"].become_dispatcher(sim.row(2, "a", "b"), 2)
        now = sim.clock.now()
        headers = [("call", "c1")]
        req = Request(
            new_request_id(now, 1), "permits", "kauri", "POST", "/", headers, body_of(b""), now + 9
        )
        with trio.move_on_after(2.0):
            await sim.hosts["a"].handle(req, b"")
        await trio.sleep(1.5)
        with pytest.raises(OutcomeOfRequestUnknown) as info:
            await sim.hosts["a"].handle(req, b"")
        assert info.value.reason == "outcome-lost"
        assert sim.clock.now() - now < 4.0
        nursery.cancel_scope.cancel()
    assert len(sim.history.executions) == 1


async def test_reappointed_dispatcher_does_not_repeat_requests(autojump_clock) -> None:
    """Guards against a takeover that runs requests before another host has their records.

    If its host is lost then, the reappointed dispatcher would run them a second time.
    """
    sim = Simulation(Random(1), loss=0.0)
    async with trio.open_nursery() as nursery:
        sim.nursery = nursery
        for name in "abc":
            await sim.add_host(name)
        await sim.hosts["a"].become_dispatcher(sim.row(2, "a", "b"), 2)
        await trio.sleep(0.5)
        await sim.hosts["b"].become_dispatcher(sim.row(2, "a", "b"), 3)
        sim.dispatcher = "b"
        assert (await sim.call("c1", "fee", 2.0)).outcome == "not-run"
        sim.hosts["b"].kill()
        await sim.hosts["a"].become_dispatcher(sim.row(4, "a", "c"), 4)
        sim.dispatcher = "a"
        assert (await sim.call("c2", "fee", 2.0)).status == 200
        nursery.cancel_scope.cancel()
    assert find_violations(sim.history) == []
    assert len(sim.history.executions) == 1
