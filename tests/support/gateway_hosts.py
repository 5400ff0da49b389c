"""Hosts of the gateway that run in one process, on loopback addresses."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from radishshunt.gateway.app import GatewayHost
from radishshunt.gateway.settings import HostSettings
from radishshunt.platform.catalog import CatalogReader
from radishshunt.platform.names import READY_PATH
from radishshunt.platform.store import HttpRowStore
from radishshunt.platform.target_protocol import HttpTargetProtocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from radishshunt.platform.fakes import FakeStore

MAX_SEEDS = 3


class GatewayHosts:
    """Hosts that can end and start again with nothing in memory.

    :ivar hosts: The hosts of the last start.
    """

    def __init__(self, store: FakeStore, ips: list[str], nursery: trio.Nursery) -> None:
        self.hosts: list[GatewayHost] = []
        self._store = store
        self._ips = ips
        self._nursery = nursery
        self._scopes: list[trio.CancelScope] = []

    def start(self, *, first: bool) -> None:
        """Start all hosts.

        :param first: Whether the whole system starts for the first time.
        """
        self.hosts, self._scopes = [], []
        for number, ip in enumerate(self._ips):
            cfg = HostSettings(
                name=f"edge-{number}",
                ip=ip,
                domain="munich",
                callers_address=f"{ip}:8080",
                readiness_address=f"{ip}:8081",
                peer_port=7660,
                metrics_port=7661,
                store_address=self._store.server._address,
                seed_ips=tuple(self._ips[:MAX_SEEDS]),
                first_start=first,
            )
            store = HttpRowStore(self._store.server._address)
            host = GatewayHost(cfg, store, CatalogReader(), HttpTargetProtocol(), READY_PATH)
            scope = trio.CancelScope()
            self.hosts.append(host)
            self._scopes.append(scope)
            self._nursery.start_soon(self._run, host, scope)

    def end(self, host: GatewayHost) -> None:
        """End a host at once."""
        self._scopes[self.hosts.index(host)].cancel()

    async def restart_all(self) -> None:
        """End all hosts at once, and start them again."""
        for scope in self._scopes:
            scope.cancel()
        await trio.sleep(0.1)
        self.start(first=False)

    @property
    def leader(self) -> GatewayHost:
        """The host that leads."""
        return next(host for host in self.hosts if host.leadership.valid)

    async def wait_until(self, reached: Callable[[GatewayHost], object]) -> None:
        """Wait until a condition holds on all hosts."""
        with trio.fail_after(20.0):
            while not all(reached(host) for host in self.hosts):
                await trio.sleep(0.002)

    async def _run(self, host: GatewayHost, scope: trio.CancelScope) -> None:
        with scope:
            await host.run()
