"""Calls of a whole system to the store, on loopback."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import httpx
import pytest
import trio

from radishshunt.gateway.app import GatewayHost
from radishshunt.gateway.settings import HostSettings
from radishshunt.platform.catalog import CatalogReader
from radishshunt.platform.fakes import FakeStore, FakeTarget
from radishshunt.platform.names import READY_PATH
from radishshunt.platform.store import HttpRowStore
from radishshunt.platform.target_protocol import HttpTargetProtocol
from tests.test_gateway.conftest import CONFIGURATION

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from radishshunt.gateway.rows import Change, Topic

HOSTS = 6
SEEDS = 2


class CountingStore(HttpRowStore):
    """Store client that counts its reads.

    :ivar reads: Number of reads of each topic.
    """

    def __init__(self, address: str) -> None:
        super().__init__(address)
        self.reads: Counter[Topic] = Counter()

    async def read(self, topic: Topic) -> Change:
        self.reads[topic] += 1
        return await super().read(topic)

    async def changes(self, topic: Topic, after: int, wait_seconds: float) -> Change:
        self.reads[topic] += 1
        return await super().changes(topic, after, wait_seconds)


@dataclass
class RunningSystem:
    """Hosts that run in one process, with the store that each of them reads."""

    store: FakeStore
    cfgs: list[HostSettings]
    nursery: trio.Nursery
    hosts: list[GatewayHost] = field(default_factory=list)
    stores: list[CountingStore] = field(default_factory=list)
    scopes: list[trio.CancelScope] = field(default_factory=list)

    def start(self, number: int) -> int:
        """Start a host and return its index."""
        store = CountingStore(self.store.server._address)
        host = GatewayHost(
            self.cfgs[number], store, CatalogReader(), HttpTargetProtocol(), READY_PATH
        )
        scope = trio.CancelScope()

        async def run() -> None:
            with scope:
                await host.run()

        self.nursery.start_soon(run)
        self.hosts.append(host)
        self.stores.append(store)
        self.scopes.append(scope)
        return len(self.hosts) - 1

    async def wait_until_fresh(self, indexes: range) -> None:
        """Wait until hosts know the state and have owners for all keys."""
        with trio.fail_after(15.0):
            while not all(
                self.hosts[i].view.complete
                and self.hosts[i].view.key_maps
                and (self.hosts[i].leadership.valid or self.hosts[i]._link_client.fresh)
                for i in indexes
            ):
                await trio.sleep(0.05)


@pytest.fixture
async def running_system(loopback: Callable[[], str]) -> AsyncIterator[RunningSystem]:
    """Start a store, targets and hosts that know each other's seeds."""
    store = FakeStore(loopback())
    targets = [FakeTarget(f"i-{n}", loopback(), "register", "munich") for n in range(2)]
    ips = [loopback().partition(":")[0] for _ in range(HOSTS)]
    cfgs = [
        HostSettings(
            name=f"edge-{number}",
            ip=ip,
            domain="munich",
            callers_address=f"{ip}:8080",
            readiness_address=f"{ip}:8081",
            peer_port=7660,
            metrics_port=7661,
            store_address=store.server._address,
            seed_ips=tuple(ips[:SEEDS]),
            first_start=True,
        )
        for number, ip in enumerate(ips)
    ]
    async with trio.open_nursery() as nursery:
        await nursery.start(store.server.run)
        for target in targets:
            await nursery.start(target.server.run)
            store.put("servers", target.id, target.entry())
        store.put("op", "config", CONFIGURATION)
        system = RunningSystem(store, cfgs, nursery)
        for number in range(HOSTS):
            system.start(number)
        await system.wait_until_fresh(range(HOSTS))
        yield system
        nursery.cancel_scope.cancel()


async def test_starting_hosts_learn_the_state_from_others(running_system: RunningSystem) -> None:
    """Guards against calls to the store that grow with the number of hosts that start."""
    for index in range(SEEDS, HOSTS):
        if not running_system.hosts[index].leadership.valid:
            assert not running_system.stores[index].reads, index
    restarted = next(
        i for i in range(HOSTS) if not running_system.hosts[i].leadership.valid and i >= SEEDS
    )
    running_system.scopes[restarted].cancel()
    await trio.sleep(0.3)
    index = running_system.start(restarted)
    await running_system.wait_until_fresh(range(index, index + 1))
    assert not running_system.stores[index].reads


async def test_only_backups_read_the_store_while_no_host_leads(
    running_system: RunningSystem,
) -> None:
    """Guards against all hosts that read the store until another host leads."""
    await trio.sleep(1.0)
    leader = next(i for i in range(HOSTS) if running_system.hosts[i].leadership.valid)
    backups = running_system.hosts[(leader + 1) % HOSTS]._link_client.backups
    before = [sum(store.reads.values()) for store in running_system.stores]
    running_system.scopes[leader].cancel()
    others = [i for i in range(HOSTS) if i != leader]
    with trio.fail_after(8.0):
        while not any(running_system.hosts[i].leadership.valid for i in others):
            await trio.sleep(0.05)
    await trio.sleep(1.0)
    for index in others:
        host = running_system.hosts[index]
        address = f"{host.cfg.ip}:{host.cfg.peer_port}"
        reads = sum(running_system.stores[index].reads.values()) - before[index]
        if address not in backups and not host.leadership.valid:
            assert reads == 0, (index, running_system.stores[index].reads)
        assert host.view.complete
        assert host.leadership.valid or host._link_client.fresh


async def test_leader_tells_the_configuration_of_each_host(running_system: RunningSystem) -> None:
    """Guards against operators who cannot tell which configuration each host serves."""
    await trio.sleep(0.5)
    leader = next(host for host in running_system.hosts if host.leadership.valid)
    async with httpx.AsyncClient(trust_env=False) as client:
        url = f"http://{leader.cfg.ip}:{leader.cfg.metrics_port}/hosts"
        doc = (await client.get(url)).json()
    assert doc["leader"] == doc["host"] == leader.cfg.name
    assert doc["configuration"] == CONFIGURATION["Version"]
    others = {host.cfg.name for host in running_system.hosts} - {leader.cfg.name}
    assert {item["host"] for item in doc["hosts"]} == others
    assert {item["configuration"] for item in doc["hosts"]} == {CONFIGURATION["Version"]}
