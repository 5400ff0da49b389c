"""Simulation of whole hosts that follow each other over links, and are stopped at bad moments.

In addition to the faults of :mod:`tests.support.grant_simulation`, hosts are stopped while they
write a key map, lose their links, and lose power all at once. The hosts get the rows of the store
as they do in operation: the leader reads them and passes them on, large ones as deltas.
"""

from __future__ import annotations

import json
from dataclasses import replace
from random import Random
from typing import TYPE_CHECKING

import trio
import trio.testing

from radishshunt.clock import TrioClock
from radishshunt.errors import PlatformOutcomeUnknown, PlatformUnavailable
from radishshunt.gateway import app, key_maps, link_client, row_deltas, target_grants
from radishshunt.gateway.app import GatewayHost
from radishshunt.gateway.follower import Follower
from radishshunt.gateway.model import LAST_KEY
from radishshunt.gateway.rows import Change, Commit, Row, RowStore, Topic
from radishshunt.platform.catalog import CatalogReader
from radishshunt.platform.target_protocol import HttpTargetProtocol
from radishshunt.util.streams import ConnectFailed
from tests.support.grant_simulation import GrantSimulation
from tests.test_gateway.conftest import CONFIGURATION

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    import pytest

    from radishshunt.gateway.exchange import HttpResponse, OutgoingRequest
    from radishshunt.gateway.link_server import LinkServer
    from radishshunt.gateway.settings import HostSettings
    from tests.support.grant_simulation import Process

HOSTS = 4
START_SECONDS = 5.0
FAULT_SECONDS = 16.0
CALM_SECONDS = 15.0
LINK_SECONDS = 0.001
CALL_TIMEOUT_SECONDS = 1.0


class SlowStore(RowStore):
    """Store of all topics that is slow or down at times, and applies writes late.

    :ivar write_seconds: Time until a write takes effect.
    """

    def __init__(self, simulation: LinkSimulation) -> None:
        self.write_seconds = 0.008
        self.rows: dict[Topic, dict[str, Row]] = {topic: {} for topic in Topic}
        self._simulation = simulation
        self._version = 1
        self._changed = trio.Event()

    def put(self, topic: Topic, key: str, value: bytes | None) -> None:
        """Write a row, as operators and targets do."""
        self._write(topic, [(key, value)])

    async def read(self, topic: Topic) -> Change:
        await self._answer()
        rows = tuple(row for row in self.rows[topic].values() if row.value is not None)
        return Change(topic, rows, self._version, whole=True)

    async def changes(self, topic: Topic, after: int, wait_seconds: float) -> Change:
        await self._answer()
        with trio.move_on_after(wait_seconds):
            while not self._changed_rows(topic, after):
                await self._changed.wait()
        await self._answer()
        return Change(topic, self._changed_rows(topic, after), self._version, whole=False)

    async def commit(self, checks: dict[str, int], writes: Sequence[tuple[str, bytes]]) -> Commit:
        rng = self._simulation.rng
        if self._simulation.store_down:
            await self._answer()
        delay = self.write_seconds * rng.uniform(0.5, 1.5)
        lost = self._simulation.faults and rng.random() < 0.06
        if lost and rng.random() < 0.5:
            delay = rng.uniform(0.0, 3.0)
        results: list[Commit] = []
        done = trio.Event()

        def apply() -> None:
            results.append(self._apply(checks, writes))
            done.set()

        # The write takes effect even if the host that sent it has ended.
        self._simulation.later(delay, apply)
        with trio.move_on_after(CALL_TIMEOUT_SECONDS):
            await (trio.sleep_forever() if lost else done.wait())
            await trio.sleep(0.002)
            return results[0]
        raise PlatformOutcomeUnknown("no answer")

    async def _answer(self) -> None:
        await trio.sleep(0.004)
        if self._simulation.store_down:
            raise PlatformUnavailable("the store is down")

    def _changed_rows(self, topic: Topic, after: int) -> tuple[Row, ...]:
        return tuple(row for row in self.rows[topic].values() if row.version > after)

    def _apply(self, checks: dict[str, int], writes: Sequence[tuple[str, bytes]]) -> Commit:
        absent = Row("", 0, None)
        own = self.rows[Topic.OWN]
        time_ms = round(trio.current_time() * 1000)
        mismatched = {
            key: own.get(key, absent)
            for key, version in checks.items()
            if own.get(key, absent).version != version
        }
        if mismatched:
            return Commit(False, 0, mismatched, time_ms)
        self._write(Topic.OWN, writes)
        return Commit(True, self._version, time_ms=time_ms)

    def _write(self, topic: Topic, writes: Sequence[tuple[str, bytes | None]]) -> None:
        self._version += 1
        for key, value in writes:
            self.rows[topic][key] = Row(key, self._version, value)
        self._changed.set()
        self._changed = trio.Event()


class _HostStore(RowStore):
    """The store as one host sees it, which may be rejected while others are served."""

    def __init__(self, simulation: LinkSimulation, store: SlowStore, host: str) -> None:
        self._simulation = simulation
        self._store = store
        self._host = host

    async def read(self, topic: Topic) -> Change:
        self._check_served()
        return await self._store.read(topic)

    async def changes(self, topic: Topic, after: int, wait_seconds: float) -> Change:
        self._check_served()
        change = await self._store.changes(topic, after, wait_seconds)
        if self._simulation.rejects_answers:
            self._check_served()
        return change

    async def commit(self, checks: dict[str, int], writes: Sequence[tuple[str, bytes]]) -> Commit:
        self._check_served()
        return await self._store.commit(checks, writes)

    def _check_served(self) -> None:
        if self._host in self._simulation.rejected_hosts:
            raise PlatformUnavailable("the store rejects this host")


class _LinkStream:
    """One end of a link in memory; it stands for its own socket as well.

    :param address: Address of the host that accepted the link.
    """

    def __init__(
        self, stream: trio.StapledStream, simulation: LinkSimulation, address: str
    ) -> None:
        self.socket = self
        self._address = address
        self._stream = stream
        self._simulation = simulation

    async def send_all(self, data: bytes) -> None:
        await trio.sleep(self._simulation.link_seconds())
        while self._address in self._simulation.silent_links:
            await trio.sleep(0.1)
        await self._stream.send_all(data)

    async def receive_some(self, max_bytes: int) -> bytes:
        return await self._stream.receive_some(max_bytes)

    def close(self) -> None:
        if self._simulation.ends_silently():
            return
        self._stream.send_stream.close()
        self._stream.receive_stream.close()


class LinkSimulation(GrantSimulation):
    """Whole hosts, targets and a store that fail at random.

    :param harsh: Whether key maps are divided into several rows, hosts that lose power leave their
        links open, the store rejects some hosts, and links become silent.
    :cvar rejects_answers: Whether the store rejects a host also in its answers to earlier calls.
    :ivar rejected_hosts: Names of hosts that the store rejects.
    :ivar silent_links: Addresses of hosts whose links carry nothing.
    :ivar errors: Keys that two targets held, tokens that were not above earlier ones, and keys that
        no target held long after the last fault.
    """

    rejects_answers = False

    def __init__(
        self, cfg: HostSettings, seed: int, target_count: int = 4, *, harsh: bool = False
    ) -> None:
        self.rejected_hosts: set[str] = set()
        self.silent_links: set[str] = set()
        self._harsh = harsh
        self._harsh_rng = Random(seed)
        self._link_store = SlowStore(self)
        self._hosts: dict[str, tuple[GatewayHost, trio.CancelScope]] = {}
        self._servers: dict[str, tuple[LinkServer, trio.Nursery]] = {}
        # First key, last key, token and registration of each grant that a target has accepted.
        self._accepted: set[tuple[int, int, int, str]] = set()
        self._slow_links = False
        super().__init__(cfg, seed, target_count)
        self._link_store.put(Topic.OPERATOR, "config", json.dumps(CONFIGURATION).encode())
        ips = [f"127.0.1.{number}" for number in range(1, HOSTS + 1)]
        self._cfgs = [
            replace(cfg, name=f"edge-{number}", ip=ip, seed_ips=tuple(ips[:2]))
            for number, ip in enumerate(ips)
        ]

    def install(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Let hosts use the simulated clock, links and targets, and send all rows as deltas."""
        monkeypatch.setattr(app, "BootClock", TrioClock)
        monkeypatch.setattr(link_client, "connect", self.connect)
        monkeypatch.setattr(target_grants, "TargetPool", self.pool_class)
        monkeypatch.setattr(row_deltas, "MIN_DELTA_ROW_BYTES", 1)
        if self._harsh:
            monkeypatch.setattr(key_maps, "MAX_UNDIVIDED_BYTES", 300)
            monkeypatch.setattr(key_maps, "RANGES_PER_PART", 3)

    def ends_silently(self) -> bool:
        """Return whether the other end of a link does not learn of its end."""
        return self._harsh and self.faults and self._harsh_rng.random() < 0.5

    def link_seconds(self) -> float:
        """Return the time until a message arrives at another host."""
        if self._slow_links and self.rng.random() < 0.1:
            return self.rng.uniform(0.0, 1.2)
        return LINK_SECONDS

    async def connect(self, address: str, timeout_seconds: float) -> _LinkStream:
        """Open a link to a host."""
        await trio.sleep(LINK_SECONDS)
        server, nursery = self._servers.get(address, (None, None))
        if server is None or nursery is None:
            raise ConnectFailed(f"{address}: connection refused")
        client_end, server_end = trio.testing.memory_stream_pair()
        nursery.start_soon(server._serve, _LinkStream(server_end, self, address))
        return _LinkStream(client_end, self, address)

    async def run(self) -> None:
        """Run hosts under faults, then without."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for cfg in self._cfgs:
                nursery.start_soon(self._run_host, cfg)
            await trio.sleep(START_SECONDS)
            self.faults = True
            with trio.move_on_after(FAULT_SECONDS):
                async with trio.open_nursery() as fault_nursery:
                    fault_nursery.start_soon(self._cause_faults)
                    fault_nursery.start_soon(self._end_hosts)
                    if self._harsh:
                        fault_nursery.start_soon(self._cut_off_hosts)
            self.faults = self.store_down = self._slow_links = False
            self._link_store.write_seconds = 0.008
            for cut_off in (self._unreachable, self.rejected_hosts, self.silent_links):
                cut_off.clear()
            await trio.sleep(CALM_SECONDS)
            self._check_coverage()
            nursery.cancel_scope.cancel()

    async def _run_host(self, cfg: HostSettings) -> None:
        """Run a host, and start it again whenever it has ended."""
        address = f"{cfg.ip}:{cfg.peer_port}"
        while True:
            host = GatewayHost(
                cfg,
                _HostStore(self, self._link_store, cfg.name),
                CatalogReader(),
                HttpTargetProtocol(),
                "/ready",
            )
            host.leadership._rng = Random(self.rng.random())
            with trio.CancelScope() as scope:
                self._hosts[cfg.name] = (host, scope)
                async with trio.open_nursery() as nursery:
                    self._servers[address] = (host._link_server, nursery)
                    for topic in Topic:
                        nursery.start_soon(self._follower(host, topic).run)
                    nursery.start_soon(host.coordinator.run)
                    nursery.start_soon(host._link_client.run)
                    nursery.start_soon(host._link_server._send_updates)
                    nursery.start_soon(host._record_own_load)
                    nursery.start_soon(self._report_load, host.load_statistics)
                    for task in self._additional_tasks(host):
                        nursery.start_soon(task)
            del self._servers[address]
            await trio.sleep(self.rng.uniform(0.1, 1.5))

    def _additional_tasks(self, host: GatewayHost) -> Sequence[Callable[[], Awaitable[None]]]:
        """Return what else runs on a host."""
        return ()

    def _follower(self, host: GatewayHost, topic: Topic) -> Follower:
        rng = Random(self.rng.random())
        return Follower(
            topic, host.view, host._store, host._reads_store, lambda: host.cfg.bounds, rng
        )

    def _write_row(self, key: str, value: bytes | None) -> None:
        self._link_store.put(Topic.TARGETS, key, value)

    async def _cause_faults(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(super()._cause_faults)
            while True:
                await trio.sleep(self.rng.uniform(0.3, 2.0))
                self._link_store.write_seconds = self.rng.choice((0.008, 0.1, 0.4))
                self._slow_links = self.rng.random() < 0.4

    async def _cut_off_hosts(self) -> None:
        """Cut hosts off from the store or from each other."""
        while True:
            await trio.sleep(self._harsh_rng.uniform(0.3, 1.5))
            cfg = self._harsh_rng.choice(self._cfgs)
            if self._harsh_rng.random() < 0.6:
                self.rejected_hosts ^= {cfg.name}
            else:
                self.silent_links ^= {f"{cfg.ip}:{cfg.peer_port}"}

    async def _end_hosts(self) -> None:
        """Stop and kill hosts, one at a time or all at once."""
        while True:
            await trio.sleep(self.rng.uniform(0.3, 2.5))
            choice = self.rng.random()
            if choice < 0.5:
                name = await self._find_writing_leader()
                if name:
                    self._nursery.start_soon(self._stop, name)
            elif choice < 0.65:
                self._nursery.start_soon(self._stop, self.rng.choice(sorted(self._hosts)))
            elif choice < 0.9:
                self._hosts[self.rng.choice(sorted(self._hosts))][1].cancel()
            else:
                for _, scope in self._hosts.values():
                    scope.cancel()

    async def _find_writing_leader(self) -> str:
        """Return the name of a leader that is writing a key map, of any leader after a while."""
        ends_at = trio.current_time() + 1.0
        while True:
            late = trio.current_time() >= ends_at
            for name, (host, _) in self._hosts.items():
                services = host.coordinator.mover.services.values()
                if host.leadership.valid and (
                    late or any(keys.write_lock.locked() for keys in services)
                ):
                    return name
            if late:
                return ""
            await trio.sleep(0.005)

    async def _stop(self, name: str) -> None:
        """Stop a host gracefully."""
        host, scope = self._hosts[name]
        host.stopping = host.sender.stopping = True
        await host.leadership.release_lease()
        await trio.sleep(self.rng.uniform(0.0, 2.6))
        scope.cancel()

    def _take(self, process: Process, req: OutgoingRequest, arrived_at: float) -> HttpResponse:
        answer = super()._take(process, req, arrived_at)
        if req.target.endswith(b"grant") and answer.status == 200:
            doc = json.loads(req.body)
            self._check_token(process, doc["From"], doc["Target"], doc["fence"])
        return answer

    def _check_token(self, process: Process, first: int, last: int, fence: int) -> None:
        """Record an accepted grant, and check that other targets had lower tokens only."""
        name = process.registration
        if process.holdings[-1].until <= trio.current_time():
            return
        if (first, last, fence, name) in self._accepted:
            return
        for low, high, token, other in self._accepted:
            if other != name and low <= last and first <= high and token >= fence:
                self.errors.append(
                    f"{trio.current_time():.2f}: {name} took {first} to {last} with token {fence}; "
                    f"{other} had {low} to {high} with token {token}"
                )
        self._accepted.add((first, last, fence, name))

    def _check_coverage(self) -> None:
        """Check that each key is held by a target, if there is one that may hold keys."""
        now = trio.current_time()
        usable = [
            process
            for process in self.processes.values()
            if process.alive and self._is_ready(process)
        ]
        if not usable:
            return
        held = sorted(
            (item.first, item.last)
            for process in usable
            for item in process.holdings
            if item.until > now
        )
        expected = 0
        for first, last in held:
            if first > expected:
                break
            expected = max(expected, last + 1)
        if expected <= LAST_KEY:
            self.errors.append(f"{now:.2f}: no target holds key {expected}")

    def _is_ready(self, process: Process) -> bool:
        row = self._link_store.rows[Topic.TARGETS].get(process.registration)
        doc = json.loads(row.value) if row is not None and row.value is not None else {}
        return bool(doc) and doc["Status"]["State"] == "ready" and doc["born"] == process.born
