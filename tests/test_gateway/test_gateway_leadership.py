"""The lease that makes one host the leader."""

from __future__ import annotations

import json
from dataclasses import replace
from random import Random
from typing import TYPE_CHECKING

import pytest
import trio

from radishshunt.gateway.leader_row import LEADER_KEY
from radishshunt.gateway.leadership import (
    LEASE_SECONDS,
    RENEW_INTERVAL_SECONDS,
    Leadership,
    LeaseLost,
)
from radishshunt.gateway.rows import Topic
from radishshunt.gateway.view import View
from radishshunt.platform.catalog import CatalogReader

if TYPE_CHECKING:
    from radishshunt.gateway.settings import HostSettings
    from tests.test_gateway.conftest import MemoryStore


async def _follow_store(view: View, store: MemoryStore) -> None:
    while True:
        view.apply(await store.read(Topic.OWN))
        await trio.sleep(0.1)


async def test_second_host_leads_only_after_the_lease_of_the_first_expired(
    autojump_clock: object, view: View, store: MemoryStore, cfg: HostSettings
) -> None:
    """Guards against two leaders that assign keys at the same time."""
    first = Leadership(cfg, view, store, Random(1))
    other_view = View(CatalogReader(), view.clock)
    other = Leadership(replace(cfg, name="edge-2", peer_port=9), other_view, store, Random(2))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_follow_store, view, store)
        nursery.start_soon(_follow_store, other_view, store)
        await first.wait_for_term()
        takeover_seconds = []
        with trio.CancelScope() as renewal_scope:
            async with trio.open_nursery() as renewal_nursery:
                renewal_nursery.start_soon(first.keep_renewing)
                await trio.sleep(5.0)
                assert first.valid
                renewal_scope.cancel()
        started = trio.current_time()
        await other.wait_for_term()
        takeover_seconds.append(trio.current_time() - started)
        assert not first.valid
        assert other.valid
        assert LEASE_SECONDS - 1.0 < takeover_seconds[0] < LEASE_SECONDS + 1.0
        nursery.cancel_scope.cancel()


async def test_restarted_host_leads_at_once(
    autojump_clock: object, view: View, store: MemoryStore, cfg: HostSettings
) -> None:
    """Guards against grants that expire while a restarted leader waits for its own old lease."""
    view.apply(await store.read(Topic.OWN))
    await Leadership(cfg, view, store).wait_for_term()
    view.apply(await store.read(Topic.OWN))
    started = trio.current_time()
    await Leadership(cfg, view, store).wait_for_term()
    assert trio.current_time() - started < 0.5


async def test_unanswered_renewal_is_recognised(
    autojump_clock: object, view: View, store: MemoryStore, cfg: HostSettings
) -> None:
    """Guards against a leader that mistakes its own unanswered write for another host's."""
    view.apply(await store.read(Topic.OWN))
    leadership = Leadership(cfg, view, store)
    await leadership.wait_for_term()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(leadership.keep_renewing)
        store.lose_answers = 1
        await trio.sleep(4.0)
        assert leadership.valid
        nursery.cancel_scope.cancel()


async def test_write_fails_once_another_host_leads(
    autojump_clock: object, view: View, store: MemoryStore, cfg: HostSettings
) -> None:
    """Guards against key maps written by a former leader that does not know of the new one."""
    view.apply(await store.read(Topic.OWN))
    leadership = Leadership(cfg, view, store)
    await leadership.wait_for_term()
    version = store.rows[LEADER_KEY].version
    value = b'{"host": "edge-2", "address": "127.0.0.2:3", "term": "t"}'
    assert (await store.commit({LEADER_KEY: version}, [(LEADER_KEY, value)])).done
    with pytest.raises(LeaseLost):
        await leadership.commit({"keys/x": 0}, [("keys/x", b"{}")])
    assert "keys/x" not in store.rows


async def test_slow_host_leads_only_if_no_other_host_does(
    autojump_clock: object, view: View, store: MemoryStore, cfg: HostSettings
) -> None:
    """Guards against a leader that is too slow to renew the grants of all targets in time."""
    slow = Leadership(replace(cfg, cores=0.3, link_mbps=5.0), view, store, Random(1))
    other_view = View(CatalogReader(), view.clock)
    other = Leadership(replace(cfg, name="edge-2", peer_port=9), other_view, store, Random(2))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_follow_store, view, store)
        nursery.start_soon(_follow_store, other_view, store)
        nursery.start_soon(slow.wait_for_term)
        await other.wait_for_term()
        await trio.sleep(0.5)
        assert other.valid
        assert not slow.valid
        # The slow host becomes the leader before grants expire once no other host leads.
        with trio.fail_after(LEASE_SECONDS + 1.5):
            while not slow.valid:
                await trio.sleep(0.1)
        nursery.cancel_scope.cancel()


async def _lead(leadership: Leadership) -> None:
    while True:
        await leadership.wait_for_term()
        await leadership.keep_renewing()


def _leader_host(store: MemoryStore) -> str:
    return json.loads(store.rows[LEADER_KEY].value)["host"]


async def test_stopping_host_does_not_acquire_the_lease_again(
    autojump_clock: object, view: View, store: MemoryStore, cfg: HostSettings
) -> None:
    """Guards against a leader that ends with the lease, which no host can acquire for 2.5 s."""
    leadership = Leadership(cfg, view, store)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_follow_store, view, store)
        nursery.start_soon(_lead, leadership)
        await trio.sleep(1.0)
        assert leadership.valid
        await leadership.release_lease()
        await trio.sleep(3.0)
        assert not leadership.valid
        assert _leader_host(store) == ""
        nursery.cancel_scope.cancel()


async def test_lease_that_is_acquired_while_the_host_stops_is_released(
    autojump_clock: object, view: View, store: MemoryStore, cfg: HostSettings
) -> None:
    """Guards against a host that becomes the leader right after it was told to stop."""
    view.apply(await store.read(Topic.OWN))
    leadership = Leadership(cfg, view, store)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_lead, leadership)
        await trio.sleep(store.write_seconds / 2)
        await leadership.release_lease()
        await trio.sleep(1.0)
        assert not leadership.valid
        assert _leader_host(store) == ""
        nursery.cancel_scope.cancel()


async def test_stopping_host_does_not_renew_the_lease(
    autojump_clock: object, view: View, store: MemoryStore, cfg: HostSettings
) -> None:
    """Guards against a lease that outlasts its leader, because its release was not answered."""
    leadership = Leadership(cfg, view, store)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_follow_store, view, store)
        nursery.start_soon(_lead, leadership)
        while not leadership.valid:
            await trio.sleep(0.1)
        # A renewal is due while the host waits for the end of a write in order to stop.
        await trio.sleep(RENEW_INTERVAL_SECONDS - 0.3)
        version = store.rows[LEADER_KEY].version
        store.write_seconds = 0.5
        nursery.start_soon(leadership.commit, {}, [("x", b"{}")])
        await trio.sleep(0.01)
        store.write_seconds = 0.9
        await leadership.release_lease()
        await trio.sleep(2.0)
        assert store.rows[LEADER_KEY].version == version
        nursery.cancel_scope.cancel()
