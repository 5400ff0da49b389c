"""Simulation of a leader that the store rejects while a target begins to drain."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import trio

from radishshunt.gateway.rows import Topic
from tests.support.link_simulation import START_SECONDS, LinkSimulation
from tests.test_gateway.conftest import entry_value

if TYPE_CHECKING:
    from radishshunt.gateway.app import GatewayHost
    from radishshunt.gateway.settings import HostSettings

HOSTS = 9
WATCH_SECONDS = 7.0


class CutOffSimulation(LinkSimulation):
    """Hosts whose leader loses the store, alone or with all others, as a target begins to drain.

    :param all_hosts: Whether the store rejects all hosts.
    :ivar leader: Host that leads before.
    :ivar heard_after: Seconds from the change until each host knows of it, by name.
    :ivar led_after: Seconds from the change until another host leads, infinite if none does.
    :ivar moved_after: Seconds from the change until the target owns no keys.
    :ivar led_again: Whether the former leader has led again in spite of the rejection.
    """

    rejects_answers = True

    def __init__(self, cfg: HostSettings, seed: int, *, all_hosts: bool = False) -> None:
        super().__init__(cfg, seed)
        self.leader: GatewayHost | None = None
        self.heard_after: dict[str, float] = {}
        self.led_after = float("inf")
        self.moved_after = float("inf")
        self.led_again = False
        self._all_hosts = all_hosts
        ips = [f"127.0.1.{number}" for number in range(1, HOSTS + 1)]
        self._cfgs = [
            replace(cfg, name=f"edge-{number}", ip=ip, seed_ips=tuple(ips[:3]))
            for number, ip in enumerate(ips)
        ]

    async def run(self) -> None:
        """Cut the leader off, and watch the hosts for :data:`WATCH_SECONDS`."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for cfg in self._cfgs:
                nursery.start_soon(self._run_host, cfg)
            await trio.sleep(START_SECONDS + self.rng.random())
            self.leader = next(host for host, _ in self._hosts.values() if host.leadership.valid)
            rejected = self._hosts if self._all_hosts else {self.leader.cfg.name}
            self.rejected_hosts.update(rejected)
            await trio.sleep(0.005)
            process = next(iter(self.processes.values()))
            entry = entry_value(process.address, born=process.born, State="draining")
            self._link_store.put(Topic.TARGETS, process.registration, entry)
            await self._watch(process.registration)
            nursery.cancel_scope.cancel()

    async def _watch(self, registration: str) -> None:
        changed_at = trio.current_time()
        while (seconds := trio.current_time() - changed_at) < WATCH_SECONDS:
            for name, (host, _) in self._hosts.items():
                target = host.view.targets[registration]
                if target.leaving_since is not None:
                    self.heard_after.setdefault(name, seconds)
                if host.leadership.valid and host is not self.leader:
                    self.led_after = min(self.led_after, seconds)
                if host is self.leader and self.led_after < seconds:
                    self.led_again = self.led_again or host.leadership.valid
            now = trio.current_time()
            held = any(
                item.until > now
                for process in self.processes.values()
                if process.registration == registration
                for item in process.holdings
            )
            if not held:
                self.moved_after = min(self.moved_after, seconds)
            await trio.sleep(0.005)
