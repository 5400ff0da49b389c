"""What a leader and its hosts know of rows that the store has lost by a restore."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest
import trio

from radishshunt.gateway.coordinator import Coordinator
from radishshunt.gateway.follower import Follower
from radishshunt.gateway.key_maps import encode_key_map
from radishshunt.gateway.leader_row import LEADER_KEY
from radishshunt.gateway.leadership import LEASE_SECONDS, Leadership
from radishshunt.gateway.load_statistics import ReportedLoadStatistics
from radishshunt.gateway.model import LAST_KEY, KeyMap, KeyRange
from radishshunt.gateway.rows import RESTORE_SHIFT, Change, Row, Topic
from radishshunt.gateway.settings import Bounds
from radishshunt.gateway.target_grants import MAX_GRANT_LIFETIME_SECONDS
from radishshunt.gateway.view import RESTORED_ROW_HEARTBEATS, View
from radishshunt.platform.catalog import CatalogReader
from radishshunt.platform.target_protocol import HttpTargetProtocol
from tests.test_gateway.conftest import CONFIGURATION, apply_row, entry_value

if TYPE_CHECKING:
    from radishshunt.gateway.settings import HostSettings
    from tests.test_gateway.conftest import FakeTargets, MemoryStore

KEY_MAP_ROW = "keys/register"
KEY_MAP = KeyMap((KeyRange(0, LAST_KEY, "i-0", 1, 3, "127.0.0.1:9"),), 4)
OTHER_LEADER = b'{"host": "edge-9", "address": "127.0.0.9:1", "term": "t"}'


def version(restores: int, number: int) -> int:
    """Return a version that the store gives out after some restores."""
    return restores << RESTORE_SHIFT | number


def _remember(view: View, restores: int, rows: list[Row]) -> None:
    """Let a view know rows that it read after some restores."""
    view.apply(Change(Topic.OWN, tuple(rows), version(restores, 90), whole=True))


def _restore(store: MemoryStore, restores: int, rows: list[Row]) -> None:
    """Let a store come back with the rows of a copy."""
    store.rows = {row.key: row for row in rows}
    store.version = version(restores, 50)


async def _acquire(leadership: Leadership) -> None:
    with trio.fail_after(LEASE_SECONDS + 3.0):
        await leadership.wait_for_term()
    await leadership.read_rows()


async def test_next_leader_does_not_take_an_uncertain_key_map_for_certain(
    autojump_clock: object, view: View, store: MemoryStore, cfg: HostSettings
) -> None:
    """Guards against keys given back to a former owner while a later one holds them."""
    rows = [Row(LEADER_KEY, version(1, 20), OTHER_LEADER)]
    rows.append(Row(KEY_MAP_ROW, version(1, 21), encode_key_map(KEY_MAP)))
    _remember(view, 1, rows)
    _restore(store, 2, rows)
    first = Leadership(cfg, view, store)
    await _acquire(first)
    assert first.key_maps_uncertain
    await first.commit({}, [(KEY_MAP_ROW, encode_key_map(KEY_MAP, uncertain=True))])
    await first.release_lease()
    other_view = View(CatalogReader(), view.clock)
    other_view.apply(await store.read(Topic.OWN))
    second = Leadership(replace(cfg, name="edge-2", peer_port=9), other_view, store)
    await _acquire(second)
    assert second.key_maps_uncertain
    assert not second.store_has_key_map("register")
    await second.commit({}, [(KEY_MAP_ROW, encode_key_map(KEY_MAP))])
    await second.read_rows()
    assert not second.key_maps_uncertain


async def test_host_started_between_two_restores_knows_only_the_copy(
    autojump_clock: object, view: View, store: MemoryStore, cfg: HostSettings
) -> None:
    """Guards against a leader that grants keys by a copy, as it has seen a second restore."""
    rows = [Row(LEADER_KEY, version(0, 20), OTHER_LEADER)]
    rows.append(Row(KEY_MAP_ROW, version(0, 21), encode_key_map(KEY_MAP)))
    _remember(view, 1, rows)
    _restore(store, 2, rows)
    leadership = Leadership(cfg, view, store)
    await _acquire(leadership)
    assert leadership.only_copy_known


async def test_host_leads_although_the_leaders_row_counts_as_older_than_the_known_one(
    autojump_clock: object, view: View, store: MemoryStore, cfg: HostSettings
) -> None:
    """Guards against a system without a leader after a late write on a version given out twice."""
    _remember(view, 1, [Row(LEADER_KEY, version(1, 40), OTHER_LEADER)])
    _restore(store, 1, [Row(LEADER_KEY, version(0, 41), OTHER_LEADER)])
    leadership = Leadership(cfg, view, store)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_answer_for_ever, view)
        await _acquire(leadership)
        nursery.cancel_scope.cancel()
    assert leadership.valid


async def _answer_for_ever(view: View) -> None:
    while True:
        view.record_store_answer()
        await trio.sleep(0.2)


@pytest.mark.parametrize("key_map", [None, KEY_MAP])
async def test_keys_of_a_lost_key_map_are_granted_after_all_grants_have_ended(
    autojump_clock: object,
    view: View,
    store: MemoryStore,
    cfg: HostSettings,
    fake_targets: FakeTargets,
    key_map: KeyMap | None,
) -> None:
    """Guards against two owners, and tokens of the copy, if nobody knows the newest key map."""
    fake_targets.registrations["127.0.0.1:9"] = "i-0"
    apply_row(view, Topic.OPERATOR, "config", json.dumps(CONFIGURATION).encode(), 1)
    apply_row(view, Topic.TARGETS, "i-0", entry_value("127.0.0.1:9"), 2)
    rows = [Row(LEADER_KEY, version(1, 20), OTHER_LEADER)]
    if key_map is not None:
        rows.append(Row(KEY_MAP_ROW, version(1, 21), encode_key_map(key_map)))
    _remember(view, 2, rows)
    _restore(store, 2, rows)
    leadership = Leadership(cfg, view, store)
    statistics = ReportedLoadStatistics(view.clock)
    protocol = HttpTargetProtocol()
    coordinator = Coordinator(cfg, view, leadership, protocol, statistics, view.clock)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(coordinator.run)
        while not leadership.valid:
            await trio.sleep(0.01)
        await trio.sleep(MAX_GRANT_LIFETIME_SECONDS - 0.2)
        assert fake_targets.commands == []
        await trio.sleep(1.0)
        assert fake_targets.held_ranges("127.0.0.1:9") == [(0, LAST_KEY)]
        nursery.cancel_scope.cancel()
    assert min(fake_targets.fences("grant")) >= leadership.acquired_ms


async def test_host_that_begins_to_read_a_restored_store_reads_whole_topics(
    autojump_clock: object, view: View, store: MemoryStore
) -> None:
    """Guards against lost rows that stay for ever, as another host had read the copy."""
    calls = []

    class Store(type(store)):
        async def read(self, topic: Topic) -> Change:
            calls.append("read")
            return await super().read(topic)

        async def changes(self, topic: Topic, after: int, wait_seconds: float) -> Change:
            calls.append("changes")
            await trio.sleep(wait_seconds)
            return Change(topic, (), after, whole=False)

    _remember(view, 1, [Row("a", version(1, 5), b"{}")])
    view.apply(Change(Topic.OWN, (), version(2, 60), whole=False))
    new_store = Store()
    new_store.version = version(2, 60)
    follower = Follower(Topic.OWN, view, new_store, lambda _topic: True, Bounds)
    with trio.move_on_after(2.0):
        await follower.run()
    assert calls[:2] == ["read", "changes"]
    assert calls.count("read") == 1


async def test_settled_target_is_in_use_on_hosts_that_were_told_of_its_removal(
    autojump_clock: object, view: View
) -> None:
    """Guards against a live target that a host started after a restore never uses."""
    apply_row(view, Topic.TARGETS, "i-1", entry_value(), version(1, 5))
    apply_row(view, Topic.TARGETS, "i-1", None, version(1, 9))
    copy = Change(
        Topic.TARGETS, (Row("i-1", version(2, 5), entry_value()),), version(2, 7), whole=True
    )
    other = View(CatalogReader(), view.clock)
    for known in (view, other):
        known.apply(copy)
    view.listeners.append(lambda change: change is not None and other.apply(change))
    for change in view.changes_since(other.versions):
        other.apply(change)
    assert other.targets["i-1"].gone
    deadline = trio.current_time() + RESTORED_ROW_HEARTBEATS + 0.5
    while trio.current_time() < deadline:
        view.record_store_answer()
        view.settle_disputed_rows()
        await trio.sleep(0.2)
    assert not view.targets["i-1"].gone
    assert not other.targets["i-1"].gone


async def test_host_started_after_a_restore_gets_the_newer_configuration_of_others(
    autojump_clock: object, view: View
) -> None:
    """Guards against a new host that keeps the older configuration of the copy."""

    def configuration(number: int) -> bytes:
        return json.dumps({**CONFIGURATION, "Version": number}).encode()

    apply_row(view, Topic.OPERATOR, "config", configuration(9), version(1, 8))
    copy = Change(
        Topic.OPERATOR, (Row("config", version(2, 5), configuration(8)),), version(2, 6), whole=True
    )
    other = View(CatalogReader(), view.clock)
    for known in (view, other):
        known.apply(copy)
    for change in view.changes_since(other.versions):
        other.apply(change)
    assert other.cfg is not None
    assert other.cfg.version == 9
