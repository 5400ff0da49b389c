"""Whole hosts on loopback that get a request which crashes every target that runs it."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

import httpx
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
    from collections.abc import Callable

HOSTS = 4
TARGETS = 10
READY_TIMEOUT_SECONDS = 15.0
# Time within which all hosts learn of a loss: two message intervals and some time for the check.
SPREAD_SECONDS = 1.0
HARMLESS_PATH = "/reads/harmless"
CRASHING_PATH = "/fees/crashing"
OK_STATUS = 200
NOT_RUN_STATUS = 503
# The same configuration, but any target may serve any request.
WITHOUT_KEYS = {
    "Version": 8,
    "Resources": [
        resource | {"Spec": resource["Spec"] | {"IsSharded": False}}
        for resource in CONFIGURATION["Resources"]
    ],
}


class CrashingTarget(FakeTarget):
    """Target whose process ends when it runs a certain request.

    :param arrivals: Number of arrivals of the request at each target.
    """

    def __init__(self, number: int, address: str, arrivals: Counter[str]) -> None:
        super().__init__(f"i-{number}", address, "register", "munich")
        self._arrivals = arrivals

    async def _app(self, scope: Any, receive: Any, send: Any) -> None:
        if scope["path"] != CRASHING_PATH:
            await super()._app(scope, receive, send)
            return
        self._arrivals[self.id] += 1
        self.server.abort()
        await trio.sleep_forever()


def _host(number: int, loopback: Callable[[], str], store: str) -> GatewayHost:
    callers = loopback()
    cfg = HostSettings(
        name=f"edge-{number}",
        ip=callers.partition(":")[0],
        domain="munich",
        callers_address=callers,
        readiness_address=loopback(),
        peer_port=7660,
        metrics_port=7661,
        store_address=store,
    )
    return GatewayHost(cfg, HttpRowStore(store), CatalogReader(), HttpTargetProtocol(), READY_PATH)


async def _request(host: GatewayHost, path: str) -> int:
    """Send a request to a host, and return the status of the answer."""
    method = "POST" if path == CRASHING_PATH else "GET"
    headers = {"Host": "a.example", "X-Radishshunt-Deadline-Ms": "900"}
    url = f"http://{host.cfg.callers_address}{path}"
    async with httpx.AsyncClient(trust_env=False) as client:
        return (await client.request(method, url, headers=headers)).status_code


async def _wait_until_served(host: GatewayHost) -> None:
    with trio.fail_after(READY_TIMEOUT_SECONDS):
        while True:
            try:
                if await _request(host, HARMLESS_PATH) == OK_STATUS and host._link_client.hosts:
                    return
            except httpx.TransportError:
                pass
            if host.leadership.valid and host._link_server.hosts == HOSTS:
                return
            await trio.sleep(0.1)


async def test_request_that_crashed_targets_of_two_hosts_is_refused_by_all_hosts(
    loopback: Callable[[], str],
) -> None:
    """Guards against two more crashed targets for each further host that gets the request."""
    store = FakeStore(loopback())
    arrivals: Counter[str] = Counter()
    targets = [CrashingTarget(number, loopback(), arrivals) for number in range(TARGETS)]
    async with trio.open_nursery() as nursery:
        await nursery.start(store.server.run)
        for target in targets:
            await nursery.start(target.server.run)
            store.put("servers", target.id, target.entry())
        store.put("op", "config", WITHOUT_KEYS)
        hosts = [_host(n, loopback, store.server._address) for n in range(HOSTS)]
        for host in hosts:
            nursery.start_soon(host.run)
        for host in hosts:
            await _wait_until_served(host)
        followers = [host for host in hosts if not host.leadership.valid]
        for host in followers[:2]:
            await _request(host, CRASHING_PATH)
            await trio.sleep(SPREAD_SECONDS)
        assert arrivals.total() == 2
        statuses = [await _request(host, CRASHING_PATH) for host in hosts * 2]
        assert arrivals.total() == 2
        assert set(statuses) == {NOT_RUN_STATUS}
        assert [await _request(host, HARMLESS_PATH) for host in hosts] == [OK_STATUS] * HOSTS
        nursery.cancel_scope.cancel()
