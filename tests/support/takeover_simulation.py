"""Simulation of leaders that alternate, and lose the store at the steps of a takeover.

Hosts are not killed, so that each keeps what it recorded in its earlier terms. Faults follow the
steps of the leaders: a host loses the store right after it has acquired the lease or has read its
rows, a window of milliseconds that faults at random times do not hit.
"""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import TYPE_CHECKING

import trio

from radishshunt.errors import PlatformUnavailable
from radishshunt.gateway.leader_row import LEADER_KEY, decode_leader
from radishshunt.gateway.rows import RowStore, Topic
from tests.support.grant_simulation import GrantSimulation
from tests.test_gateway.conftest import entry_value

if TYPE_CHECKING:
    from collections.abc import Sequence

    from radishshunt.gateway.rows import Change, Commit
    from radishshunt.gateway.settings import HostSettings

# Hosts that may lead without delay; the takeover of the others takes longer.
HOSTS = 2
# Longer than a lease, so that the other host leads.
MIN_CUT_SECONDS = 3.0
MAX_CUT_SECONDS = 5.0
# Time between two cuts; the longest exceeds the grants that the former leader gave.
MAX_CALM_SECONDS = 8.0
# Time for which a host that has just acquired the lease loses the store.
MAX_LOSS_SECONDS = 3.5
TARGET_CUT_SECONDS = 10.0


class _HostStore(RowStore):
    """The store as one host sees it, which may be cut off from it.

    :ivar cut_until: Time on trio's clock until which the host is cut off.
    """

    def __init__(self, simulation: TakeoverSimulation, store: RowStore, host: str) -> None:
        self.cut_until = 0.0
        self._simulation = simulation
        self._store = store
        self._host = host

    async def read(self, topic: Topic) -> Change:
        self._check_reachable()
        change = await self._store.read(topic)
        self._check_reachable()
        if topic is Topic.OWN:
            self._simulation.after_read(self._host)
        return change

    async def changes(self, topic: Topic, after: int, wait_seconds: float) -> Change:
        self._check_reachable()
        return await self._store.changes(topic, after, wait_seconds)

    async def commit(self, checks: dict[str, int], writes: Sequence[tuple[str, bytes]]) -> Commit:
        self._check_reachable()
        result = await self._store.commit(checks, writes)
        leaders = [decode_leader(value) for key, value in writes if key == LEADER_KEY]
        if result.done and leaders:
            self._simulation.after_lease_write(self._host, leaders[0].term)
        return result

    def _check_reachable(self) -> None:
        if trio.current_time() < self.cut_until:
            raise PlatformUnavailable("this host is cut off from the store")


class TakeoverSimulation(GrantSimulation):
    """Two hosts that lead by turns, and lose the store at the steps of a takeover.

    :ivar takeovers: Hosts that have acquired the lease, in order.
    """

    fault_seconds = 60.0

    def __init__(self, cfg: HostSettings, seed: int, target_count: int = 4) -> None:
        super().__init__(cfg, seed, target_count)
        self.takeovers: list[str] = []
        self._term = ""
        self._takeover_rng = Random(seed)
        self._cfgs = [replace(cfg, name=f"edge-{n}", peer_port=n) for n in range(1, HOSTS + 1)]
        self._stores = {
            host_cfg.name: _HostStore(self, self._store, host_cfg.name) for host_cfg in self._cfgs
        }

    def after_lease_write(self, host: str, term: str) -> None:
        """Cut a host off at times when it has just acquired the lease."""
        if not term or term == self._term:
            return
        self._term = term
        self.takeovers.append(host)
        if self.faults and self._takeover_rng.random() < 0.5:
            self._cut_off(host, self._takeover_rng.uniform(0.5, MAX_LOSS_SECONDS))
            self._cut_off_target()

    def after_read(self, host: str) -> None:
        """Cut a host off at times when it has just read its rows."""
        leads = bool(self.takeovers) and self.takeovers[-1] == host
        if self.faults and leads and self._takeover_rng.random() < 0.2:
            self._cut_off(host, self._takeover_rng.uniform(0.5, MAX_LOSS_SECONDS))

    def _cut_off_target(self) -> None:
        """Cut a target off for a while, which keeps its keys until its grants end."""
        process = self.processes[self._takeover_rng.choice(sorted(self.processes))]
        self._unreachable.add(process.address)
        self._write_row(process.registration, None)

        def reconnect() -> None:
            self._unreachable.discard(process.address)
            if process.alive:
                value = entry_value(process.address, born=process.born)
                self._write_row(process.registration, value)

        self.later(TARGET_CUT_SECONDS, reconnect)

    def _cut_off(self, host: str, seconds: float) -> None:
        store = self._stores[host]
        store.cut_until = max(store.cut_until, trio.current_time() + seconds)

    def _store_of(self, cfg: HostSettings) -> RowStore:
        return self._stores[cfg.name]

    def _lifetime_seconds(self) -> float:
        return float("inf")

    async def _cause_faults(self) -> None:
        """Cut the leader off from the store, again and again, while keys move."""
        while self.faults:
            self._busy_key = self._takeover_rng.randrange(0, 60_000)
            await trio.sleep(self._takeover_rng.uniform(2.0, MAX_CALM_SECONDS))
            if self.takeovers:
                seconds = self._takeover_rng.uniform(MIN_CUT_SECONDS, MAX_CUT_SECONDS)
                self._cut_off(self.takeovers[-1], seconds)
                await trio.sleep(seconds)
