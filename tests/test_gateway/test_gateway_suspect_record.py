"""Suspects that outlast the end of all hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from radishshunt.clock import SystemClock
from radishshunt.errors import ProtocolError
from radishshunt.gateway.suspect_record import decode_suspects, encode_suspects
from radishshunt.platform.fakes import FakeStore
from radishshunt.suspect import Suspect
from tests.support.gateway_hosts import GatewayHosts
from tests.test_gateway.conftest import CONFIGURATION

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from radishshunt.gateway.app import GatewayHost

HOSTS = 3
POISON, HARMLESS = 17, 18


class _System(GatewayHosts):
    """Hosts that all end and start again, and a store that goes on."""

    def __init__(self, store: FakeStore, ips: list[str], nursery: trio.Nursery) -> None:
        super().__init__(store, ips, nursery)
        self.store = store

    def is_refused(self, host: GatewayHost, fingerprint: int) -> bool:
        return host.quarantine.is_quarantined(fingerprint, "", SystemClock().now())


@pytest.fixture
async def system(loopback: Callable[[], str]) -> AsyncIterator[_System]:
    """Return three running hosts."""
    store = FakeStore(loopback())
    ips = [loopback().partition(":")[0] for _ in range(HOSTS)]
    async with trio.open_nursery() as nursery:
        await nursery.start(store.server.run)
        store.put("op", "config", CONFIGURATION)
        system = _System(store, ips, nursery)
        system.start(first=False)
        await system.wait_until(lambda host: host.view.complete)
        with trio.fail_after(10.0):
            while not any(host.leadership.valid for host in system.hosts):
                await trio.sleep(0.05)
        yield system
        nursery.cancel_scope.cancel()


def _record_loss(host: GatewayHost, fingerprint: int, incarnation: int) -> None:
    known = host.quarantine.known_losses(fingerprint, "")
    host.quarantine.record_loss(fingerprint, "", incarnation, SystemClock().now(), known)


async def test_request_that_crashes_targets_is_refused_after_the_end_of_all_hosts(
    system: _System,
) -> None:
    """Guards against a crashing request that is let through again each time all hosts end."""
    crashing = next(host for host in system.hosts if not host.leadership.valid)
    _record_loss(crashing, POISON, 1)
    _record_loss(crashing, POISON, 2)
    _record_loss(crashing, HARMLESS, 1)
    await system.wait_until(lambda host: system.is_refused(host, POISON))
    await trio.sleep(0.5)
    for _ in range(2):
        await system.restart_all()
        seen = set()
        for host in system.hosts:
            with trio.fail_after(12.0):
                while not host.view.complete:
                    await trio.sleep(0.001)
            # It may get the request from now on.
            assert system.is_refused(host, POISON)
            assert not system.is_refused(host, HARMLESS)
            seen.add(host.cfg.name)
        assert len(seen) == HOSTS


async def test_suspects_are_recorded_once_the_store_answers_again(system: _System) -> None:
    """Guards against suspects that are forgotten since the store was down as they were found."""
    leader = next(host for host in system.hosts if host.leadership.valid)
    system.store.down = True
    _record_loss(leader, POISON, 1)
    _record_loss(leader, POISON, 2)
    await trio.sleep(0.5)
    assert system.store.value("radishshunt", "suspects") is None
    system.store.down = False
    with trio.fail_after(8.0):
        while system.store.value("radishshunt", "suspects") is None:
            await trio.sleep(0.05)
    await system.restart_all()
    await system.wait_until(lambda host: host.view.complete)
    assert all(system.is_refused(host, POISON) for host in system.hosts)


async def test_many_suspects_cause_few_writes(system: _System) -> None:
    """Guards against a write to the store for each request that ran on a lost target."""
    leader = next(host for host in system.hosts if host.leadership.valid)
    writes = []
    commit = leader.leadership.commit

    async def count(checks: dict, rows: list) -> object:
        writes.extend(key for key, _ in rows if key == "suspects")
        return await commit(checks, rows)

    leader.leadership.commit = count
    for number in range(300):
        _record_loss(leader, 1000 + number, number % 3)
        await trio.sleep(0.01)
    assert 1 <= len(writes) <= 3
    row = system.store.value("radishshunt", "suspects")
    assert len(row["suspects"]) == 64


def test_record_keeps_the_most_important_suspects_within_its_size() -> None:
    """Guards against a row that the store refuses because of its size."""
    suspects = [Suspect(number, [number, 2], "", 1e9 + number) for number in range(64)]
    value = encode_suspects(suspects, 2000)
    assert len(value) <= 2000
    assert decode_suspects(value)[-1].fingerprint == 63


@pytest.mark.parametrize(
    "value", [b"", b"[]", b'{"suspects": [{}]}', b'{"suspects": 5}', b'{"suspects": [{"lost": 1}]}']
)
def test_malformed_record_is_an_error_of_the_protocol(value: bytes) -> None:
    """Guards against hosts that end because of a record that cannot be read."""
    with pytest.raises(ProtocolError):
        decode_suspects(value)
