"""A leader that has lost the store ends its term, so that another host can lead at once."""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import TYPE_CHECKING

import pytest
import trio
import trio._core._run as trio_run

from radishshunt.gateway.leadership import LEASE_SECONDS, Leadership, LeaseLost
from radishshunt.gateway.rows import Topic
from radishshunt.gateway.view import View
from radishshunt.platform.catalog import CatalogReader
from tests.support.cut_off_simulation import HOSTS, CutOffSimulation

if TYPE_CHECKING:
    from radishshunt.gateway.settings import HostSettings
    from tests.test_gateway.conftest import MemoryStore


async def _simulate(
    monkeypatch: pytest.MonkeyPatch, cfg: HostSettings, seed: int, *, all_hosts: bool = False
) -> CutOffSimulation:
    monkeypatch.setattr(trio_run, "_ALLOW_DETERMINISTIC_SCHEDULING", True)
    trio_run._r.seed(seed)
    simulation = CutOffSimulation(cfg, seed, all_hosts=all_hosts)
    simulation.install(monkeypatch)
    await simulation.run()
    assert simulation.errors == []
    return simulation


@pytest.mark.parametrize("seed", range(6))
async def test_all_hosts_hear_of_a_leaving_target_while_the_leader_is_cut_off(
    autojump_clock: object, monkeypatch: pytest.MonkeyPatch, cfg: HostSettings, seed: int
) -> None:
    """Guards against a host without the store that uses a target for seconds after it has left."""
    simulation = await _simulate(monkeypatch, cfg, seed)
    assert len(simulation.heard_after) == HOSTS
    # Before the use of a leaving target ends by itself.
    limit = cfg.bounds.leaving_use_seconds
    assert max(simulation.heard_after.values()) < limit
    assert simulation.led_after < limit
    # Callers are not refused if the keys have moved before that.
    assert simulation.moved_after < limit
    assert not simulation.led_again


@pytest.mark.parametrize("seed", range(3))
async def test_leader_keeps_its_term_while_no_host_reaches_the_store(
    autojump_clock: object, monkeypatch: pytest.MonkeyPatch, cfg: HostSettings, seed: int
) -> None:
    """Guards against a leader that gives up its grants although nobody could take them over."""
    simulation = await _simulate(monkeypatch, cfg, seed, all_hosts=True)
    assert simulation.leader is not None
    assert simulation.leader.leadership.resigned_term == ""
    assert simulation.led_after == float("inf")


async def test_resigned_leader_writes_nothing_and_waits_for_another_one(
    autojump_clock: object, view: View, store: MemoryStore, cfg: HostSettings
) -> None:
    """Guards against two leaders, and against one that resigns again and again."""
    view.apply(await store.read(Topic.OWN))
    first = Leadership(cfg, view, store, Random(1))
    other_view = View(CatalogReader(), view.clock)
    other = Leadership(replace(cfg, name="edge-2", peer_port=9), other_view, store, Random(2))
    async with trio.open_nursery() as nursery:
        await first.wait_for_term()
        nursery.start_soon(first.keep_renewing)
        await trio.sleep(1.0)
        other_view.apply(await store.read(Topic.OWN))
        first.resign()
        assert not first.valid
        with pytest.raises(LeaseLost):
            await first.commit({}, [("keys/register", b"{}")])
        with trio.move_on_after(LEASE_SECONDS):
            await first.wait_for_term()
        assert not first.valid
        other_view.record_resignation(first.resigned_term)
        with trio.fail_after(0.3):
            await other.wait_for_term()
        assert other.valid
        nursery.cancel_scope.cancel()


async def test_resignation_of_an_earlier_term_ends_no_later_one(
    autojump_clock: object, view: View, store: MemoryStore, cfg: HostSettings
) -> None:
    """Guards against a message that was held up and lets two hosts lead."""
    view.apply(await store.read(Topic.OWN))
    leader = Leadership(cfg, view, store)
    await leader.wait_for_term()
    other_view = View(CatalogReader(), view.clock)
    other_view.record_resignation(leader.term)
    async with trio.open_nursery() as nursery:
        leader.resign()
        view.freshness.record_read(Topic.OPERATOR, view.clock.now())
        view.freshness.record_read(Topic.TARGETS, view.clock.now())
        await leader.wait_for_term()
        nursery.start_soon(leader.keep_renewing)
        other_view.apply(await store.read(Topic.OWN))
        other = Leadership(replace(cfg, name="edge-2", peer_port=9), other_view, store)
        with trio.move_on_after(LEASE_SECONDS - 0.1):
            await other.wait_for_term()
        assert not other.valid
        nursery.cancel_scope.cancel()


async def test_new_leader_does_not_resign_before_it_has_read_the_store(
    autojump_clock: object, view: View, store: MemoryStore, cfg: HostSettings
) -> None:
    """Guards against leaders that give way to each other, as only some hosts read the store."""
    view.apply(await store.read(Topic.OWN))
    leadership = Leadership(cfg, view, store)
    await leadership.wait_for_term()
    assert view.freshness.followed_age == float("inf")
    assert not leadership.has_lost_store
    await trio.sleep(cfg.bounds.lost_store_age_seconds + 0.1)
    assert leadership.has_lost_store
    for topic in Topic:
        view.freshness.record_read(topic, view.clock.now())
    assert not leadership.has_lost_store
