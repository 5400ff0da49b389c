"""Simulation of leaders that grant keys to targets over a faulty network and a faulty store.

The hosts run the code of the gateway on trio's test clock. Each seed gives another order of late,
lost and repeated commands, changes of the leader, restarts and moves of keys. The simulation
records an error whenever two running targets hold the same key.
"""

from __future__ import annotations

import json
from contextlib import suppress
from dataclasses import dataclass, field, replace
from random import Random
from typing import TYPE_CHECKING

import trio

from radishshunt.clock import TrioClock
from radishshunt.errors import PlatformOutcomeUnknown, PlatformUnavailable
from radishshunt.gateway.coordinator import Coordinator
from radishshunt.gateway.exchange import ExchangeError, HttpResponse
from radishshunt.gateway.leadership import Leadership
from radishshunt.gateway.load_statistics import ReportedLoadStatistics
from radishshunt.gateway.messages import Report
from radishshunt.gateway.rows import Change, Commit, Row, RowStore, Topic
from radishshunt.gateway.view import View
from radishshunt.platform.catalog import CatalogReader
from radishshunt.platform.target_protocol import HttpTargetProtocol
from tests.test_gateway.conftest import CONFIGURATION, PoolConnection, entry_value

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from radishshunt.gateway.exchange import OutgoingRequest
    from radishshunt.gateway.settings import HostSettings

# A target's clock may run this much slow, which prolongs its grants.
SLOW_CLOCK_FACTOR = 1.02
FAULT_SECONDS = 14.0
CALM_SECONDS = 4.0
NETWORK_SECONDS = 0.002


@dataclass
class Holding:
    """Keys that a target holds until a time on trio's clock."""

    first: int
    last: int
    fence: int
    until: float


@dataclass
class Process:
    """A target's process.

    :ivar seen: First key, last key and token of each grant that the process accepted.
    """

    address: str
    registration: str
    born: int
    alive: bool = True
    holdings: list[Holding] = field(default_factory=list)
    seen: list[tuple[int, int, int]] = field(default_factory=list)

    def grant(self, doc: dict, arrived_at: float) -> int:
        """Apply a grant whose duration counts from its arrival, and return the status."""
        first, last, fence = doc["From"], doc["Target"], doc["fence"]
        if any(low <= last and first <= high and token > fence for low, high, token in self.seen):
            return 409
        self.seen.append((first, last, fence))
        self.release(first, last)
        until = arrived_at + doc["HoldMs"] / 1000 * SLOW_CLOCK_FACTOR
        self.holdings.append(Holding(first, last, fence, until))
        return 200

    def release(self, first: int, last: int) -> None:
        """Stop holding keys."""
        kept = []
        for item in self.holdings:
            if item.first < first <= item.last:
                kept.append(replace(item, last=first - 1))
            if item.first <= last < item.last:
                kept.append(replace(item, first=last + 1))
            if item.last < first or last < item.first:
                kept.append(item)
        self.holdings = kept


class FaultyStore(RowStore):
    """Row store that is down at times, loses answers and applies unanswered writes late."""

    def __init__(self, simulation: GrantSimulation) -> None:
        self.rows: dict[str, Row] = {}
        self._version = 0
        self._simulation = simulation

    async def read(self, topic: Topic) -> Change:
        await trio.sleep(0.004)
        if self._simulation.store_down:
            raise PlatformUnavailable("the store is down")
        rows = tuple(self.rows.values()) if topic is Topic.OWN else ()
        return Change(topic, rows, max(1, self._version), whole=True)

    async def changes(self, topic: Topic, after: int, wait_seconds: float) -> Change:
        await trio.sleep(wait_seconds)
        return await self.read(topic)

    async def commit(self, checks: dict[str, int], writes: Sequence[tuple[str, bytes]]) -> Commit:
        rng = self._simulation.rng
        await trio.sleep(0.008)
        if self._simulation.store_down:
            raise PlatformUnavailable("the store is down")
        if self._simulation.faults and rng.random() < 0.08:
            if rng.random() < 0.5:
                self._simulation.later(rng.uniform(0.0, 3.0), lambda: self._apply(checks, writes))
            else:
                self._apply(checks, writes)
            await trio.sleep(rng.uniform(0.2, 1.0))
            raise PlatformOutcomeUnknown("no answer")
        return self._apply(checks, writes)

    def _apply(self, checks: dict[str, int], writes: Sequence[tuple[str, bytes]]) -> Commit:
        absent = Row("", 0, None)
        time_ms = round(trio.current_time() * 1000)
        mismatched = {
            key: self.rows.get(key, absent)
            for key, version in checks.items()
            if self.rows.get(key, absent).version != version
        }
        if mismatched:
            return Commit(False, 0, mismatched, time_ms)
        self._version += 1
        for key, value in writes:
            self.rows[key] = Row(key, self._version, value)
        return Commit(True, self._version, time_ms=time_ms)


class _Connection:
    """A connection that is used for the identity check only."""

    reusable = True

    def __init__(self, process: Process) -> None:
        self._process = process

    async def exchange(self, _req: OutgoingRequest, _on_send: object = None) -> HttpResponse:
        await trio.sleep(NETWORK_SECONDS)
        name = self._process.registration.encode()
        return HttpResponse(200, [(b"x-radishshunt-instance-id", name)], b"")


class _FaultyPool:
    """Connection of the simulated leaders to one target."""

    simulation: GrantSimulation

    def __init__(self, address: str, verify: Callable | None = None) -> None:
        self._address = address
        self._verify = verify
        self._process: Process | None = None

    async def exchange(
        self, req: OutgoingRequest, *, repeatable: bool, on_send: object = None
    ) -> HttpResponse:
        process = self.simulation.processes.get(self._address)
        if process is None or not process.alive:
            self._process = None
            raise ExchangeError("connection refused", sent=False)
        if process is not self._process:
            if self._verify is not None:
                await self._verify(_Connection(process))
            self._process = process
        try:
            return await self.simulation.deliver(process, req)
        except BaseException:
            self._process = None
            raise

    async def acquire(self, used: set, *, repeatable: bool) -> PoolConnection:
        return PoolConnection(self)

    def give_back(self, conn: PoolConnection) -> None:
        pass

    def close(self) -> None:
        self._process = None


class GrantSimulation:
    """Hosts, targets and a store that fail at random.

    :ivar errors: Descriptions of keys that two targets held at the same time.
    :ivar faults: Whether commands and writes fail now.
    :cvar fault_seconds: Time for which commands and writes fail.
    """

    fault_seconds = FAULT_SECONDS

    def __init__(self, cfg: HostSettings, seed: int, target_count: int = 4) -> None:
        self.rng = Random(seed)
        self.errors: list[str] = []
        self.faults = False
        self.store_down = False
        self.processes: dict[str, Process] = {}
        self.pool_class = type("Pool", (_FaultyPool,), {"simulation": self})
        self._store = FaultyStore(self)
        self._cfgs = [replace(cfg, name=f"edge-{n}", peer_port=n) for n in (1, 2)]
        self._rows: dict[str, Row] = {}
        self._version = 1
        self._views: list[View] = []
        self._last_born = 0
        self._unreachable: set[str] = set()
        self._busy_key = 1000
        self._nursery: trio.Nursery | None = None
        for number in range(target_count):
            self._start_process(f"127.0.0.{number + 1}:9", f"i-{number}")

    def later(self, seconds: float, action: Callable[[], object]) -> None:
        """Run an action after a delay, whatever becomes of the calling task."""

        async def run() -> None:
            await trio.sleep(seconds)
            action()

        assert self._nursery is not None
        self._nursery.start_soon(run)

    async def run(self) -> None:
        """Run hosts under faults, then without."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for cfg in self._cfgs:
                nursery.start_soon(self._run_host, cfg)
            await trio.sleep(4.0)
            self.faults = True
            nursery.start_soon(self._cause_faults)
            await trio.sleep(self.fault_seconds)
            self.faults, self.store_down = False, False
            self._unreachable.clear()
            await trio.sleep(CALM_SECONDS)
            nursery.cancel_scope.cancel()

    async def deliver(self, process: Process, req: OutgoingRequest) -> HttpResponse:
        """Deliver a command to a process, late, not at all, or without an answer."""
        outcome = self.rng.random() if self.faults else 1.0
        if process.address in self._unreachable:
            # A cancelled call resets its connection, so that its bytes never arrive.
            await trio.sleep_forever()
        await trio.sleep(NETWORK_SECONDS)
        arrived_at = trio.current_time()
        if outcome < 0.04:
            await trio.sleep_forever()
        if outcome < 0.10:
            delay = self.rng.uniform(0.1, 3.0)
            self.later(delay, lambda: process.alive and self._take(process, req, arrived_at))
            await trio.sleep_forever()
        if outcome < 0.16:
            await trio.sleep(self.rng.uniform(0.0, 0.5))
        if not process.alive:
            raise ExchangeError("connection reset", sent=True)
        answer = self._take(process, req, arrived_at)
        if outcome > 0.94 and self.faults:
            await trio.sleep_forever()
        await trio.sleep(NETWORK_SECONDS)
        return answer

    def _take(self, process: Process, req: OutgoingRequest, arrived_at: float) -> HttpResponse:
        if req.method == b"GET":
            return HttpResponse(200, [], b"")
        doc = json.loads(req.body)
        if req.target.endswith(b"release"):
            process.release(doc["From"], doc["Target"])
            return HttpResponse(200, [(b"x-radishshunt-handover", b"h")], b"")
        status = process.grant(doc, arrived_at)
        self._check_owners(process)
        return HttpResponse(status, [], b"")

    def _check_owners(self, process: Process) -> None:
        now = trio.current_time()
        for other in self.processes.values():
            if other is process or not other.alive:
                continue
            for mine in process.holdings:
                for theirs in other.holdings:
                    if (
                        min(mine.until, theirs.until) > now
                        and mine.first <= theirs.last
                        and theirs.first <= mine.last
                    ):
                        self.errors.append(
                            f"{now:.2f}: {process.registration} {mine} and "
                            f"{other.registration} {theirs}"
                        )

    def _start_process(self, address: str, registration: str) -> None:
        old = self.processes.get(address)
        if old is not None:
            old.alive = False
        self._last_born += 1
        process = Process(address, registration, self._last_born)
        self.processes[address] = process
        self._write_row(registration, entry_value(address, born=process.born))

    def _write_row(self, key: str, value: bytes | None) -> None:
        self._version += 1
        self._rows[key] = row = Row(key, self._version, value)
        for view in self._views:
            self.later(
                self.rng.uniform(0.0, 0.4),
                lambda view=view: view.apply(
                    Change(Topic.TARGETS, (row,), row.version, whole=False)
                ),
            )

    async def _run_host(self, cfg: HostSettings) -> None:
        """Run a host, which is killed and started again at random."""
        while True:
            clock = TrioClock()
            view = View(CatalogReader(), clock)
            operator_row = Row("config", 1, json.dumps(CONFIGURATION).encode())
            view.apply(Change(Topic.OPERATOR, (operator_row,), 1, whole=True))
            rows = tuple(row for row in self._rows.values() if row.value is not None)
            view.apply(Change(Topic.TARGETS, rows, self._version, whole=True))
            self._views.append(view)
            store = self._store_of(cfg)
            leadership = Leadership(cfg, view, store, Random(self.rng.random()))
            statistics = ReportedLoadStatistics(clock)
            coordinator = Coordinator(
                cfg, view, leadership, HttpTargetProtocol(), statistics, clock
            )
            with trio.move_on_after(self._lifetime_seconds()):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._follow_store, view, leadership, store)
                    nursery.start_soon(self._report_load, statistics)
                    nursery.start_soon(coordinator.run)
            self._views.remove(view)
            await trio.sleep(self.rng.uniform(0.1, 1.5))

    def _store_of(self, _cfg: HostSettings) -> RowStore:
        """Return the store as a host sees it."""
        return self._store

    def _lifetime_seconds(self) -> float:
        """Return the time after which a host is killed."""
        return self.rng.uniform(5.0, 20.0)

    async def _follow_store(self, view: View, leadership: Leadership, store: RowStore) -> None:
        while True:
            if not leadership.valid:
                with suppress(PlatformUnavailable):
                    view.apply(await store.read(Topic.OWN))
                    view.record_store_answer()
            await trio.sleep(0.15)

    async def _report_load(self, statistics: ReportedLoadStatistics) -> None:
        while True:
            counts = {self._busy_key + n * 40: 2 for n in range(20)}
            statistics.add_report(Report("edge-9", {"register": counts}))
            await trio.sleep(0.2)

    async def _cause_faults(self) -> None:
        """Cut off the store and targets, restart targets, and move the busy keys."""
        while self.faults:
            await trio.sleep(self.rng.uniform(0.1, 0.8))
            address = self.rng.choice(sorted(self.processes))
            registration = self.processes[address].registration
            choice = self.rng.random()
            if choice < 0.25:
                self._busy_key = self.rng.randrange(0, 60_000)
            elif choice < 0.45:
                self.store_down = not self.store_down
            elif choice < 0.65:
                self._unreachable ^= {address}
            elif choice < 0.75:
                self._start_process(address, registration)
            elif choice < 0.85:
                self._write_row(registration, None)
                self._start_process(address, f"i-{self._last_born + 10}")
            elif choice < 0.95:
                born = self.processes[address].born
                self._write_row(registration, entry_value(address, born=born, State="draining"))
            else:
                self._write_row(registration, None)
