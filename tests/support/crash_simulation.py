"""Simulation of whole hosts that get a request which crashes targets, while hosts fail.

The request comes again at any host. Hosts are killed and restarted, the store is down at times, and
links become silent. Targets end with a reset or fall silent, or fail without having run the
request, and are back after some seconds.
"""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING

import trio

from radishshunt.clock import TrioClock
from radishshunt.errors import RequestError
from radishshunt.gateway import app, crash_checks, target_pool
from radishshunt.gateway.rows import Topic
from tests.support.link_simulation import LinkSimulation
from tests.support.target_fleet import (
    CRASHING_PATH,
    HARMLESS_PATH,
    WITHOUT_KEYS,
    FleetTarget,
    Stream,
    TargetFleet,
    build_read,
    end,
    end_at_every_second_arrival,
    fall_silent,
)
from tests.test_gateway.conftest import entry_value

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    import pytest

    from radishshunt.gateway.app import GatewayHost
    from radishshunt.gateway.settings import HostSettings

TARGETS = 14
HOSTS = 8
START_SECONDS = 5.0
RUN_SECONDS = 40.0
# Time after which a host that was undisturbed is bound by what others know.
CONTACT_SECONDS = 3.0


class CrashSimulation(LinkSimulation):
    """Hosts that get a request which crashes targets.

    :ivar late_arrivals: Arrivals that undisturbed hosts sent later than :data:`CONTACT_SECONDS`
        after the third crash.
    :ivar harmless: Outcomes of other requests at undisturbed hosts: status, or reason.
    """

    def __init__(self, cfg: HostSettings, seed: int) -> None:
        super().__init__(cfg, seed, target_count=0)
        self.late_arrivals = 0
        self.harmless: Counter[str] = Counter()
        self.fleet: _SimulatedFleet | None = None
        ips = [f"127.0.1.{number}" for number in range(1, HOSTS + 1)]
        self._cfgs = [
            replace(cfg, name=f"edge-{number}", ip=ip, seed_ips=tuple(ips[:2]))
            for number, ip in enumerate(ips)
        ]
        self._store_disturbed_at = float("-inf")
        self._disturbed_at: dict[str, float] = {}
        self._link_store.put(Topic.OPERATOR, "config", json.dumps(WITHOUT_KEYS).encode())
        self._request_number = 0

    def install(self, monkeypatch: pytest.MonkeyPatch) -> None:
        super().install(monkeypatch)
        monkeypatch.setattr(app, "SystemClock", TrioClock)
        for module in (target_pool, crash_checks):
            monkeypatch.setattr(module, "connect", self._connect_target)

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self.fleet = _SimulatedFleet(nursery, self)
            for cfg in self._cfgs:
                nursery.start_soon(self._run_host, cfg)
            await trio.sleep(START_SECONDS)
            nursery.start_soon(self._disturb)
            nursery.start_soon(self._send_harmless)
            ends_at = trio.current_time() + RUN_SECONDS
            while trio.current_time() < ends_at:
                # Its caller sends it again when it has failed.
                await self._send(CRASHING_PATH)
                await trio.sleep(self.rng.uniform(0.2, 1.6))
            nursery.cancel_scope.cancel()

    def is_undisturbed(self, name: str) -> bool:
        """Return whether neither a host nor the store was disturbed recently."""
        disturbed_at = max(self._store_disturbed_at, self._disturbed_at.get(name, float("-inf")))
        return not self.store_down and trio.current_time() - disturbed_at > CONTACT_SECONDS

    def _additional_tasks(self, host: GatewayHost) -> Sequence[Callable[[], Awaitable[None]]]:
        return (host.sender.confirm_crashes, host.sender.watch_silence)

    async def _connect_target(self, address: str, timeout_seconds: float) -> Stream:
        assert self.fleet is not None
        return await self.fleet.connect(address, timeout_seconds)

    async def _send_harmless(self) -> None:
        while True:
            self._request_number += 1
            self._nursery.start_soon(self._send, f"{HARMLESS_PATH}/{self._request_number}")
            await trio.sleep(0.05)

    async def _send(self, path: str) -> None:
        """Send a request to any host that runs."""
        name = self.rng.choice(sorted(self._hosts))
        host, _ = self._hosts[name]
        address = f"{host.cfg.ip}:{host.cfg.peer_port}"
        req = build_read(path, 2.0)
        route = host.view.find_route(req.host, req.path)
        if address not in self._servers or route is None or host.view.cfg is None:
            return
        undisturbed = self.is_undisturbed(name)
        fleet = self.fleet
        assert fleet is not None
        late = (
            fleet.third_crash_at is not None
            and trio.current_time() > fleet.third_crash_at + CONTACT_SECONDS
        )
        before = fleet.arrivals
        try:
            response = await host.sender.send(req, route, host.view.cfg.services["register"])
            outcome = str(response.status)
        except RequestError as exc:
            outcome = exc.reason
        if path == CRASHING_PATH:
            if undisturbed and late:
                self.late_arrivals += fleet.arrivals - before
        elif undisturbed:
            self.harmless[outcome] += 1

    async def _disturb(self) -> None:
        """Kill hosts, cut off the store and silence links."""
        while True:
            await trio.sleep(self.rng.uniform(1.0, 5.0))
            name = self.rng.choice(sorted(self._hosts))
            leaders = [n for n, (host, _) in self._hosts.items() if host.leadership.valid]
            choice = self.rng.random()
            if choice < 0.35 and leaders:
                self._disturb_host(leaders[0])
                self._hosts[leaders[0]][1].cancel()
            elif choice < 0.6:
                self._disturb_host(name)
                self._hosts[name][1].cancel()
            elif choice < 0.8:
                self.store_down = True
                await trio.sleep(self.rng.uniform(0.5, 4.0))
                self.store_down = False
                self._store_disturbed_at = trio.current_time()
            else:
                host = self._hosts[name][0]
                address = f"{host.cfg.ip}:{host.cfg.peer_port}"
                self.silent_links.add(address)
                await trio.sleep(self.rng.uniform(0.5, 3.0))
                self.silent_links.discard(address)
                # A silent leader disturbs all.
                self._store_disturbed_at = trio.current_time()

    def _disturb_host(self, name: str) -> None:
        self._disturbed_at[name] = trio.current_time() + 1.5


class _SimulatedFleet(TargetFleet):
    """Targets that are back some seconds after a crash, under another registration.

    :ivar third_crash_at: Time of the third crash.
    """

    def __init__(self, nursery: trio.Nursery, simulation: CrashSimulation) -> None:
        super().__init__(nursery, TARGETS)
        self.third_crash_at: float | None = None
        self._simulation = simulation
        self._started = TARGETS
        self.crash = self._crash
        for target in self.targets:
            self.register(target, born=1)

    def register(self, target: FleetTarget, born: int) -> None:
        value = entry_value(f"127.0.0.{target.number + 1}:9", born)
        self._simulation._link_store.put(Topic.TARGETS, target.identity, value)

    async def _crash(self, fleet: TargetFleet, target: FleetTarget, stream: Stream) -> None:
        self.nursery.start_soon(self._start_again, target)
        crash = self._simulation.rng.choice((end, end, fall_silent, end_at_every_second_arrival))
        await crash(fleet, target, stream)

    async def _start_again(self, target: FleetTarget) -> None:
        """Start a target that has ended again after some seconds."""
        await trio.sleep(0.001)
        if target.listening and not target.silent:
            return
        if self.crashed >= 3 and self.third_crash_at is None:
            self.third_crash_at = trio.current_time()
        await trio.sleep(self._simulation.rng.uniform(2.0, 4.0))
        self._simulation._link_store.put(Topic.TARGETS, target.identity, None)
        self._started += 1
        target.identity = f"i-{self._started}"
        target.listening, target.silent = True, False
        self.register(target, born=self._started)
