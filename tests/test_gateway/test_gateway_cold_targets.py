"""Requests to cold targets from hosts that run in one process."""

from __future__ import annotations

import time
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import httpx
import pytest
import trio

from radishshunt.platform.fakes import FakeStore, FakeTarget
from radishshunt.platform.names import DEADLINE_MS_HEADER, KEY_HEADER
from tests.support.gateway_hosts import GatewayHosts
from tests.test_gateway.conftest import CONFIGURATION

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from radishshunt.gateway.app import GatewayHost

KEY = 20_000
HEADERS = {"host": "a.example", KEY_HEADER: str(KEY), DEADLINE_MS_HEADER: "1000"}
REQUESTS_PER_SECOND = 24.0
COLD_SECONDS = 2.9
# Requests in one second that the configuration and the bounds allow a cold target.
MAX_REQUESTS_PER_SECOND = 7.0 * 1.5 + 5.0


class _System:
    """A store, two targets and hosts.

    :ivar hosts: The hosts.
    :ivar owner: Target that holds :data:`KEY`.
    :ivar statuses: Status of each response.
    """

    def __init__(
        self,
        store: FakeStore,
        hosts: GatewayHosts,
        targets: list[FakeTarget],
        nursery: trio.Nursery,
    ) -> None:
        self.store = store
        self.hosts = hosts
        self.nursery = nursery
        self.statuses: list[int] = []
        owner = hosts.hosts[0].view.find_key_range("register", KEY)
        assert owner is not None
        self.owner = next(target for target in targets if target.id == owner.target)

    async def send(self, client: httpx.AsyncClient, host: GatewayHost) -> None:
        """Send a request for :data:`KEY` to a host."""
        url = f"http://{host.cfg.callers_address}/reads/1"
        self.statuses.append((await client.get(url, headers=HEADERS)).status_code)

    async def send_evenly(self, hosts: list[GatewayHost]) -> None:
        """Send requests to hosts in turn until cancelled."""
        async with httpx.AsyncClient(trust_env=False) as client, trio.open_nursery() as nursery:
            while True:
                hosts.append(hosts.pop(0))
                nursery.start_soon(self.send, client, hosts[0])
                await trio.sleep(1 / REQUESTS_PER_SECOND)

    def make_cold(self) -> None:
        """Make the owner cold, as its entry tells."""
        self.owner.cold_until = time.monotonic() + COLD_SECONDS
        self.store.put("servers", self.owner.id, self.owner.entry(sequence=2))

    def most_in_a_second(self) -> int:
        """Return the largest number of requests in one second while the owner was cold."""
        until = self.owner.cold_until
        arrived = [at for at in self.owner.arrived_at if until - COLD_SECONDS <= at < until]
        return max((sum(at <= other < at + 1.0 for other in arrived) for at in arrived), default=0)


@asynccontextmanager
async def _running_system(loopback: Callable[[], str], hosts: int) -> AsyncIterator[_System]:
    store = FakeStore(loopback())
    targets = [FakeTarget(f"i-{n}", loopback(), "register", "munich") for n in range(2)]
    ips = [loopback().partition(":")[0] for _ in range(hosts)]
    async with trio.open_nursery() as nursery:
        await nursery.start(store.server.run)
        for target in targets:
            await nursery.start(target.server.run)
            store.put("servers", target.id, target.entry())
        store.put("op", "config", CONFIGURATION)
        running = GatewayHosts(store, ips, nursery)
        running.start(first=True)
        await running.wait_until(
            lambda host: host.view.complete and host.view.find_key_range("register", KEY)
        )
        yield _System(store, running, targets, nursery)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("trouble", ["leader-ended", "store-down"])
async def test_target_that_becomes_cold_unheard_is_not_flooded(
    loopback: Callable[[], str], trouble: str
) -> None:
    """Guards against a flood of a cold target while no host leads, or the store is down."""
    async with _running_system(loopback, 3) as system:
        used = list(system.hosts.hosts)
        system.nursery.start_soon(system.send_evenly, used)
        await trio.sleep(1.5)
        assert len(system.owner.arrived_at) > REQUESTS_PER_SECOND
        if trouble == "leader-ended":
            leader = system.hosts.leader
            used.remove(leader)
            await trio.sleep(0.05)
            system.hosts.end(leader)
            await trio.sleep(0.05)
        else:
            system.store.down = True
            await trio.sleep(1.2)
        system.make_cold()
        await trio.sleep(COLD_SECONDS)
    assert 0 < system.most_in_a_second() <= MAX_REQUESTS_PER_SECOND


async def test_cold_target_is_not_flooded_by_one_request_of_each_host(
    loopback: Callable[[], str],
) -> None:
    """Guards against a flood of a cold target by more hosts than it takes requests in a second."""
    async with _running_system(loopback, 20) as system:
        hosts = system.hosts.hosts
        await system.hosts.wait_until(lambda host: host.sender.chooser.hosts == len(hosts))
        system.make_cold()
        await system.hosts.wait_until(
            lambda host: host.view.is_cold(host.view.targets[system.owner.id])
        )
        async with httpx.AsyncClient(trust_env=False) as client:
            for _ in range(2):
                async with trio.open_nursery() as nursery:
                    for host in hosts:
                        nursery.start_soon(system.send, client, host)
                await trio.sleep(0.3)
    assert 0 < system.most_in_a_second() <= MAX_REQUESTS_PER_SECOND
    assert set(system.statuses) <= {200, 503}


async def test_targets_that_are_not_known_to_be_cold_are_used_without_a_leader(
    loopback: Callable[[], str],
) -> None:
    """Guards against many hosts that refuse all requests while no host leads and none is cold."""
    async with _running_system(loopback, 17) as system:
        await system.hosts.wait_until(
            lambda host: host.sender.chooser.hosts == len(system.hosts.hosts)
        )
        # The leader has no move of keys under way that its end would leave open.
        await system.hosts.wait_until(lambda host: not host.view.moving)
        await trio.sleep(1.0)
        await system.hosts.wait_until(lambda host: not host.view.moving)
        others = [host for host in system.hosts.hosts if not host.leadership.valid]
        system.store.down = True
        system.hosts.end(system.hosts.leader)
        await trio.sleep(1.2)
        async with httpx.AsyncClient(trust_env=False) as client:
            for _ in range(2):
                async with trio.open_nursery() as nursery:
                    for host in others[:4]:
                        nursery.start_soon(system.send, client, host)
                await trio.sleep(0.2)
    assert system.statuses == [200] * 8, system.statuses
