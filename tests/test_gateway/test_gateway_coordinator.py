"""Assignment and moves of keys by the leader."""

from __future__ import annotations

import json
from contextlib import suppress
from dataclasses import replace
from typing import TYPE_CHECKING

import trio

from radishshunt.errors import PlatformUnavailable
from radishshunt.gateway.coordinator import Coordinator
from radishshunt.gateway.key_maps import KEY_MAP_PREFIX, decode_key_map, encode_key_map
from radishshunt.gateway.leadership import Leadership
from radishshunt.gateway.load_statistics import ReportedLoadStatistics
from radishshunt.gateway.messages import Report
from radishshunt.gateway.model import LAST_KEY, KeyMap, KeyRange
from radishshunt.gateway.rows import Topic
from radishshunt.gateway.target_grants import OUTAGE_GRANT_SECONDS
from radishshunt.placement.key_ranges import KeyRangeMove
from radishshunt.platform.target_protocol import HttpTargetProtocol
from radishshunt.policy.direct.target_statements import TargetStatement
from tests.test_gateway.conftest import CONFIGURATION, apply_row, entry_value

if TYPE_CHECKING:
    from collections.abc import Callable

    from radishshunt.gateway.settings import HostSettings
    from radishshunt.gateway.view import View
    from tests.test_gateway.conftest import FakeTargets, MemoryStore

KEY_MAP_ROW = KEY_MAP_PREFIX + "register"


def _coordinator(
    view: View, store: MemoryStore, cfg: HostSettings, load_statistics: ReportedLoadStatistics
):
    leadership = Leadership(cfg, view, store)
    return Coordinator(cfg, view, leadership, HttpTargetProtocol(), load_statistics, view.clock)


def _register_targets(view: View, fake_targets: FakeTargets, target_count: int) -> None:
    # Releases end at different times, so that key maps are written in quick succession.
    fake_targets.jitter = 0.003
    apply_row(view, Topic.OPERATOR, "config", json.dumps(CONFIGURATION).encode(), 1)
    for number in range(target_count):
        address = f"127.0.0.{number + 1}:9"
        fake_targets.registrations[address] = f"i-{number}"
        apply_row(view, Topic.TARGETS, f"i-{number}", entry_value(address), 2 + number)


async def _follow_store(view: View, store: MemoryStore) -> None:
    while True:
        with suppress(PlatformUnavailable):
            view.apply(await store.read(Topic.OWN))
        await trio.sleep(0.2)


def _assert_one_owner_per_key(
    store: MemoryStore, fake_targets: FakeTargets, target_count: int
) -> None:
    holders: dict[int, int] = {}
    for number in range(target_count):
        for first, last in fake_targets.held_ranges(f"127.0.0.{number + 1}:9"):
            for key in range(first, last + 1):
                assert key not in holders, f"key {key} has two owners"
                holders[key] = number
    for item in decode_key_map(store.rows[KEY_MAP_ROW].value).ranges:
        assert holders[item.first] == int(item.target[2:])
        assert holders[item.last] == int(item.target[2:])
    assert len(holders) == LAST_KEY + 1


async def test_hot_keys_are_spread_and_every_key_keeps_one_owner(
    autojump_clock: object,
    view: View,
    store: MemoryStore,
    cfg: HostSettings,
    fake_targets: FakeTargets,
) -> None:
    """Guards against moves that undo each other when two key maps are written concurrently."""
    load_statistics = ReportedLoadStatistics(view.clock)
    coordinator = _coordinator(view, store, cfg, load_statistics)
    _register_targets(view, fake_targets, 6)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_follow_store, view, store)
        nursery.start_soon(coordinator.run)
        await trio.sleep(4.0)
        _assert_one_owner_per_key(store, fake_targets, 6)
        for _ in range(30):
            counts = {30_000 + key: 1 for key in range(60)} | {500 + key: 2 for key in range(20)}
            load_statistics.add_report(Report("edge-2", {"register": counts}))
            await trio.sleep(0.2)
        await trio.sleep(3.0)
        owners = {
            item.target
            for item in decode_key_map(store.rows[KEY_MAP_ROW].value).ranges
            if item.last >= 30_000 and item.first < 30_060
        }
        assert len(owners) >= 3
        _assert_one_owner_per_key(store, fake_targets, 6)
        nursery.cancel_scope.cancel()


async def test_keys_of_a_draining_target_move_with_handover(
    autojump_clock: object,
    view: View,
    store: MemoryStore,
    cfg: HostSettings,
    fake_targets: FakeTargets,
) -> None:
    """Guards against requests to a draining target after the 2 s that operators allow."""
    coordinator = _coordinator(view, store, cfg, ReportedLoadStatistics(view.clock))
    _register_targets(view, fake_targets, 4)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_follow_store, view, store)
        nursery.start_soon(coordinator.run)
        await trio.sleep(4.0)
        apply_row(view, Topic.TARGETS, "i-1", entry_value("127.0.0.2:9", State="draining"), 50)
        await trio.sleep(1.0)
        key_map = decode_key_map(store.rows[KEY_MAP_ROW].value)
        assert "i-1" not in {item.target for item in key_map.ranges}
        assert fake_targets.held_ranges("127.0.0.2:9") == []
        moved = [doc for _, path, doc in fake_targets.commands if doc.get("Handover")]
        assert moved
        nursery.cancel_scope.cancel()


async def test_keys_move_soon_although_the_answer_to_their_release_was_lost(
    autojump_clock: object,
    view: View,
    store: MemoryStore,
    cfg: HostSettings,
    fake_targets: FakeTargets,
) -> None:
    """Guards against keys without an owner until grants expire that their owner has released."""
    coordinator = _coordinator(view, store, cfg, ReportedLoadStatistics(view.clock))
    _register_targets(view, fake_targets, 4)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_follow_store, view, store)
        nursery.start_soon(coordinator.run)
        await trio.sleep(4.0)
        fake_targets.unanswered.add("/radishshunt/release")
        apply_row(view, Topic.TARGETS, "i-1", entry_value("127.0.0.2:9", State="draining"), 50)
        await trio.sleep(0.4)
        fake_targets.unanswered.clear()
        await trio.sleep(1.0)
        _assert_one_owner_per_key(store, fake_targets, 4)
        assert fake_targets.held_ranges("127.0.0.2:9") == []
        nursery.cancel_scope.cancel()


async def test_keys_of_an_unreachable_target_move_only_after_its_grant_expired(
    autojump_clock: object,
    view: View,
    store: MemoryStore,
    cfg: HostSettings,
    fake_targets: FakeTargets,
) -> None:
    """Guards against two owners of a key when a target is unreachable but still running."""
    coordinator = _coordinator(view, store, cfg, ReportedLoadStatistics(view.clock))
    _register_targets(view, fake_targets, 3)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_follow_store, view, store)
        nursery.start_soon(coordinator.run)
        await trio.sleep(4.0)
        last_grant = trio.current_time()
        fake_targets.registrations["127.0.0.1:9"] = ""
        grants = coordinator.mover.grants["i-0", 1]
        grants._pool._connected = False
        apply_row(view, Topic.TARGETS, "i-0", None, 50)
        while "i-0" in {i.target for i in decode_key_map(store.rows[KEY_MAP_ROW].value).ranges}:
            await trio.sleep(0.05)
        assert trio.current_time() - last_grant >= 4.5 - 1.0
        nursery.cancel_scope.cancel()


async def test_adjacent_ranges_of_one_owner_are_merged_without_a_release(
    autojump_clock: object,
    view: View,
    store: MemoryStore,
    cfg: HostSettings,
    fake_targets: FakeTargets,
) -> None:
    """Guards against an unbounded number of renewed ranges, with which the leader falls behind."""
    coordinator = _coordinator(view, store, cfg, ReportedLoadStatistics(view.clock))
    _register_targets(view, fake_targets, 4)
    size = 256
    ranges = tuple(
        KeyRange(first, first + size - 1, f"i-{first // 16_384}", 1, 1, f"127.0.0.{n}:9")
        for first in range(0, LAST_KEY + 1, size)
        for n in [first // 16_384 + 1]
    )
    await store.commit({}, [(KEY_MAP_ROW, encode_key_map(KeyMap(ranges, 2)))])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_follow_store, view, store)
        nursery.start_soon(coordinator.run)
        await trio.sleep(6.0)
        assert len(decode_key_map(store.rows[KEY_MAP_ROW].value).ranges) <= 4 * 3
        _assert_one_owner_per_key(store, fake_targets, 4)
        assert fake_targets.fences("release") == []
        nursery.cancel_scope.cancel()


async def test_grants_of_an_earlier_leader_expire_before_keys_move_even_without_an_entry(
    autojump_clock: object,
    view: View,
    store: MemoryStore,
    cfg: HostSettings,
    fake_targets: FakeTargets,
) -> None:
    """Guards against moving keys that a target without connection to the store still serves.

    Its entry is absent, so only the key map names it as the owner.
    """
    coordinator = _coordinator(view, store, cfg, ReportedLoadStatistics(view.clock))
    _register_targets(view, fake_targets, 2)
    ranges = (KeyRange(0, LAST_KEY, "i-9", 1, 1, "127.0.0.99:9"),)
    await store.commit({}, [(KEY_MAP_ROW, encode_key_map(KeyMap(ranges, 2)))])
    fake_targets.registrations["127.0.0.99:9"] = ""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_follow_store, view, store)
        nursery.start_soon(coordinator.run)
        await trio.sleep(OUTAGE_GRANT_SECONDS)
        assert decode_key_map(store.rows[KEY_MAP_ROW].value).ranges[0].target == "i-9"
        await trio.sleep(4.0)
        assert "i-9" not in {r.target for r in decode_key_map(store.rows[KEY_MAP_ROW].value).ranges}
        nursery.cancel_scope.cancel()


async def test_owner_whose_address_has_another_process_is_replaced_at_once(
    autojump_clock: object,
    view: View,
    store: MemoryStore,
    cfg: HostSettings,
    fake_targets: FakeTargets,
) -> None:
    """Guards against keys without an owner for ten seconds after targets were restarted."""
    coordinator = _coordinator(view, store, cfg, ReportedLoadStatistics(view.clock))
    _register_targets(view, fake_targets, 2)
    ranges = (KeyRange(0, LAST_KEY, "i-9", 1, 1, "127.0.0.99:9"),)
    await store.commit({}, [(KEY_MAP_ROW, encode_key_map(KeyMap(ranges, 2)))])
    fake_targets.registrations["127.0.0.99:9"] = "i-10"
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_follow_store, view, store)
        nursery.start_soon(coordinator.run)
        await trio.sleep(3.0)
        assert "i-9" not in {r.target for r in decode_key_map(store.rows[KEY_MAP_ROW].value).ranges}
        nursery.cancel_scope.cancel()


async def test_move_interrupted_by_the_loss_of_the_lease_leaves_one_owner(
    autojump_clock: object,
    view: View,
    store: MemoryStore,
    cfg: HostSettings,
    fake_targets: FakeTargets,
) -> None:
    """Guards against a range that is still renewed as a whole after a part of it has moved.

    The store is down during a release, so that the leader loses its lease and leads again.
    """
    load_statistics = ReportedLoadStatistics(view.clock)
    coordinator = _coordinator(view, store, cfg, load_statistics)
    _register_targets(view, fake_targets, 3)

    async def report_busy_keys() -> None:
        while True:
            counts = {10_000 + key: 2 for key in range(40)}
            load_statistics.add_report(Report("edge-2", {"register": counts}))
            await trio.sleep(0.2)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(_follow_store, view, store)
        nursery.start_soon(coordinator.run)
        await trio.sleep(4.0)
        fake_targets.delays["/radishshunt/release"] = 2.4
        nursery.start_soon(report_busy_keys)
        await trio.sleep(0.4)
        assert coordinator.mover.moving
        store.down = True
        await trio.sleep(3.0)
        store.down = False
        del fake_targets.delays["/radishshunt/release"]
        await trio.sleep(8.0)
        assert len(decode_key_map(store.rows[KEY_MAP_ROW].value).ranges) > 3
        _assert_one_owner_per_key(store, fake_targets, 3)
        nursery.cancel_scope.cancel()


async def test_target_that_can_be_reached_again_gets_keys_again(
    autojump_clock: object,
    view: View,
    store: MemoryStore,
    cfg: HostSettings,
    fake_targets: FakeTargets,
) -> None:
    """Guards against an overload that outlasts its cause.

    Seen in scale-2 of lsgb-gateway-large: targets that were cut off for some seconds held no keys
    for the rest of the day, and 18 of 30 served all requests.
    """
    load_statistics = ReportedLoadStatistics(view.clock)
    coordinator = _coordinator(view, store, cfg, load_statistics)
    _register_targets(view, fake_targets, 3)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_follow_store, view, store)
        nursery.start_soon(coordinator.run)
        await trio.sleep(4.0)
        fake_targets.registrations["127.0.0.1:9"] = ""
        coordinator.mover.grants["i-0", 1]._pool._connected = False
        await trio.sleep(9.0)
        assert "i-0" not in {r.target for r in decode_key_map(store.rows[KEY_MAP_ROW].value).ranges}
        fake_targets.registrations["127.0.0.1:9"] = "i-0"
        for _ in range(20):
            counts = {100 * key: 1 for key in range(600)}
            load_statistics.add_report(Report("edge-2", {"register": counts}))
            await trio.sleep(0.2)
        assert "i-0" in {r.target for r in decode_key_map(store.rows[KEY_MAP_ROW].value).ranges}
        nursery.cancel_scope.cancel()


async def test_keys_of_a_target_that_states_it_is_leaving_move_once_the_store_answers(
    autojump_clock: object,
    view: View,
    store: MemoryStore,
    cfg: HostSettings,
    fake_targets: FakeTargets,
) -> None:
    """Guards against keys that are released while no new owner can be written."""
    coordinator = _coordinator(view, store, cfg, ReportedLoadStatistics(view.clock))
    _register_targets(view, fake_targets, 4)
    statement = TargetStatement("i-0", 1, leaving_age=0.0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_follow_store, view, store)
        nursery.start_soon(coordinator.run)
        await trio.sleep(4.0)
        store.down = True
        await trio.sleep(0.1)
        view.record_statements((statement,), own=True)
        await trio.sleep(1.2)
        assert not fake_targets.fences("release")
        store.down = False
        await trio.sleep(2.5)
        assert "i-0" not in {r.target for r in decode_key_map(store.rows[KEY_MAP_ROW].value).ranges}
        _assert_one_owner_per_key(store, fake_targets, 4)
        nursery.cancel_scope.cancel()


async def test_entry_of_another_writer_does_not_give_away_the_keys_of_a_target(
    autojump_clock: object,
    view: View,
    store: MemoryStore,
    cfg: HostSettings,
    fake_targets: FakeTargets,
) -> None:
    """Guards against keys that move without a release because of an entry with their address."""
    coordinator = _coordinator(view, store, cfg, ReportedLoadStatistics(view.clock))
    _register_targets(view, fake_targets, 4)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_follow_store, view, store)
        nursery.start_soon(coordinator.run)
        await trio.sleep(4.0)
        foreign = entry_value("127.0.0.1:9", born=5).replace(b'"register"', b'"inventory"')
        apply_row(view, Topic.TARGETS, "x-1", foreign, 50)
        apply_row(view, Topic.TARGETS, "i-0", entry_value("127.0.0.1:9", State="draining"), 51)
        await trio.sleep(2.0)
        assert "i-0" not in {r.target for r in decode_key_map(store.rows[KEY_MAP_ROW].value).ranges}
        _assert_one_owner_per_key(store, fake_targets, 4)
        nursery.cancel_scope.cancel()


async def test_target_whose_entry_was_overwritten_for_a_moment_keeps_its_grants(
    autojump_clock: object,
    view: View,
    store: MemoryStore,
    cfg: HostSettings,
    fake_targets: FakeTargets,
) -> None:
    """Guards against grants that are never renewed again after a foreign entry in their row."""
    coordinator = _coordinator(view, store, cfg, ReportedLoadStatistics(view.clock))
    _register_targets(view, fake_targets, 1)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_follow_store, view, store)
        nursery.start_soon(coordinator.run)
        await trio.sleep(4.0)
        apply_row(view, Topic.TARGETS, "i-0", entry_value("127.0.0.9:9", born=5), 50)
        await trio.sleep(1.5)
        apply_row(view, Topic.TARGETS, "i-0", entry_value("127.0.0.1:9", Sequence=2), 51)
        await trio.sleep(5.0)
        sent = len(fake_targets.fences("grant"))
        await trio.sleep(5.0)
        assert len(fake_targets.fences("grant")) - sent >= 4
        _assert_one_owner_per_key(store, fake_targets, 1)
        nursery.cancel_scope.cancel()


async def test_keys_of_a_target_that_restarted_under_its_name_are_released_before_they_move(
    autojump_clock: object,
    view: View,
    store: MemoryStore,
    cfg: HostSettings,
    fake_targets: FakeTargets,
) -> None:
    """Guards against two owners: the new process took a renewal that was meant for the old one."""
    coordinator = _coordinator(view, store, cfg, ReportedLoadStatistics(view.clock))
    _register_targets(view, fake_targets, 3)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_follow_store, view, store)
        nursery.start_soon(coordinator.run)
        await trio.sleep(4.0)
        # The new process is cold, so that other targets get some of the keys.
        restarted = entry_value("127.0.0.1:9", born=2, WarmupLeftMs=6000)
        apply_row(view, Topic.TARGETS, "i-0", restarted, 50)
        await trio.sleep(3.0)
        _assert_one_owner_per_key(store, fake_targets, 3)
        nursery.cancel_scope.cancel()


async def _lead_until(coordinator: Coordinator, reached: Callable[[], bool]) -> None:
    """Run a host that leads, and kill it once a condition holds."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(coordinator.run)
        with trio.fail_after(10.0):
            while not reached():
                await trio.sleep(0.001)
        nursery.cancel_scope.cancel()


async def test_tokens_of_a_term_without_a_write_are_not_allocated_again(
    autojump_clock: object,
    view: View,
    store: MemoryStore,
    cfg: HostSettings,
    fake_targets: FakeTargets,
) -> None:
    """Guards against a key that moves with a token that its former owner has had already.

    The first leader raises the token of keys before it releases them, and ends before its write.
    """
    _register_targets(view, fake_targets, 2)
    ranges = (KeyRange(0, LAST_KEY, "i-0", 1, 1, "127.0.0.1:9"),)
    await store.commit({}, [(KEY_MAP_ROW, encode_key_map(KeyMap(ranges, 2)))])
    apply_row(view, Topic.TARGETS, "i-0", entry_value("127.0.0.1:9", State="draining"), 50)
    fake_targets.delays["/radishshunt/release"] = 1.0
    first = _coordinator(view, store, cfg, ReportedLoadStatistics(view.clock))
    other_cfg = replace(cfg, name="edge-2", peer_port=9)
    second = _coordinator(view, store, other_cfg, ReportedLoadStatistics(view.clock))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_follow_store, view, store)
        await _lead_until(first, lambda: len(fake_targets.fences("grant")) == 4)
        former_fences = fake_targets.fences("grant")
        # The former owner has ended, so that the next leader releases nothing.
        fake_targets.registrations["127.0.0.1:9"] = "i-9"
        apply_row(view, Topic.TARGETS, "i-9", entry_value("127.0.0.1:9", born=2), 51)
        fake_targets.commands.clear()
        await _lead_until(second, lambda: len(fake_targets.fences("grant")) == 4)
        nursery.cancel_scope.cancel()
    assert KEY_MAP_ROW in store.rows
    assert min(fake_targets.fences("grant")) > max(former_fences)


async def test_keys_of_an_owner_without_an_address_get_another_owner(
    autojump_clock: object,
    view: View,
    store: MemoryStore,
    cfg: HostSettings,
    fake_targets: FakeTargets,
) -> None:
    """Guards against terms that all fail at their start because of one owner in the key map."""
    coordinator = _coordinator(view, store, cfg, ReportedLoadStatistics(view.clock))
    _register_targets(view, fake_targets, 2)
    ranges = (KeyRange(0, LAST_KEY, "i-9", 0, 1, ""),)
    await store.commit({}, [(KEY_MAP_ROW, encode_key_map(KeyMap(ranges, 2)))])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_follow_store, view, store)
        nursery.start_soon(coordinator.run)
        await trio.sleep(OUTAGE_GRANT_SECONDS + 3.0)
        _assert_one_owner_per_key(store, fake_targets, 2)
        nursery.cancel_scope.cancel()


async def test_keys_that_were_to_move_to_a_forgotten_target_move_to_another_one(
    autojump_clock: object,
    view: View,
    store: MemoryStore,
    cfg: HostSettings,
    fake_targets: FakeTargets,
) -> None:
    """Guards against a key map with an owner that has no address, and so cannot be renewed."""
    coordinator = _coordinator(view, store, cfg, ReportedLoadStatistics(view.clock))
    _register_targets(view, fake_targets, 2)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_follow_store, view, store)
        nursery.start_soon(coordinator.run)
        await trio.sleep(4.0)
        keys = coordinator.mover.services["register"]
        coordinator.mover.start_move("register", keys, KeyRangeMove(0, 999, "i-0", "i-9"))
        while keys.moves:
            await trio.sleep(0.001)
        written = decode_key_map(store.rows[KEY_MAP_ROW].value).ranges
        assert [item.target for item in written if not item.address] == [""]
        await trio.sleep(1.0)
        _assert_one_owner_per_key(store, fake_targets, 2)
        nursery.cancel_scope.cancel()
