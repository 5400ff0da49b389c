"""What a host that leads again knows of the grants of other leaders."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import pytest
import trio

from radishshunt.gateway.coordinator import Coordinator
from radishshunt.gateway.leader_row import LEADER_KEY, Leader, decode_leader, encode_leader
from radishshunt.gateway.leadership import LEASE_SECONDS, Leadership
from radishshunt.gateway.load_statistics import ReportedLoadStatistics
from radishshunt.gateway.rows import RESTORE_SHIFT, Change, Row, Topic
from radishshunt.gateway.target_grants import (
    CLOCK_DRIFT_FACTOR,
    MAX_GRANT_LIFETIME_SECONDS,
    OUTAGE_GRANT_SECONDS,
)
from radishshunt.platform.target_protocol import HttpTargetProtocol
from tests.test_gateway.conftest import CONFIGURATION, apply_row, entry_value

if TYPE_CHECKING:
    from radishshunt.gateway.settings import HostSettings
    from radishshunt.gateway.view import View
    from tests.test_gateway.conftest import FakeTargets, MemoryStore

FIRST_ADDRESS = "127.0.0.1:9"
SECOND_ADDRESS = "127.0.0.2:9"
OTHER_LEADER = Leader("edge-2", "127.0.0.9:1", "other")


async def _follow_store(view: View, leadership: Leadership, store: MemoryStore) -> None:
    while True:
        if not leadership.valid and not store.down:
            view.apply(await store.read(Topic.OWN))
            view.record_store_answer()
        await trio.sleep(0.1)


async def _wait_for_term(store: MemoryStore, other_than: str) -> str:
    """Return the term in the leader's row once it is another one, by the same host.

    It returns before the host has read its rows, which takes the store 4 ms.
    """
    with trio.fail_after(LEASE_SECONDS + 3.0):
        while True:
            row = store.rows.get(LEADER_KEY)
            leader = decode_leader(row.value) if row is not None else Leader()
            if leader.host == "edge-1" and leader.term != other_than:
                return leader.term
            await trio.sleep(0.003)


async def _lead_elsewhere(store: MemoryStore, seconds: float) -> None:
    """Let another host lead for some time."""
    ends_at = trio.current_time() + seconds
    while trio.current_time() < ends_at:
        version = store.rows[LEADER_KEY].version
        await store.commit({LEADER_KEY: version}, [(LEADER_KEY, encode_leader(OTHER_LEADER))])
        await trio.sleep(0.5)


@pytest.fixture
def leadership(cfg: HostSettings, view: View, store: MemoryStore) -> Leadership:
    """Return the leadership of a host that knows two targets of a service with keys."""
    apply_row(view, Topic.OPERATOR, "config", json.dumps(CONFIGURATION).encode(), 1)
    apply_row(view, Topic.TARGETS, "i-0", entry_value(FIRST_ADDRESS), 2)
    apply_row(view, Topic.TARGETS, "i-1", entry_value(SECOND_ADDRESS), 3)
    return Leadership(cfg, view, store)


@pytest.fixture
def coordinator(
    cfg: HostSettings, view: View, leadership: Leadership, fake_targets: FakeTargets
) -> Coordinator:
    """Return the coordinator of the same host."""
    fake_targets.registrations |= {FIRST_ADDRESS: "i-0", SECOND_ADDRESS: "i-1"}
    statistics = ReportedLoadStatistics(view.clock)
    protocol = HttpTargetProtocol()
    return Coordinator(cfg, view, leadership, protocol, statistics, view.clock)


async def test_leader_waits_for_grants_given_before_its_term_that_recorded_none(
    autojump_clock: object,
    view: View,
    store: MemoryStore,
    leadership: Leadership,
    coordinator: Coordinator,
    fake_targets: FakeTargets,
) -> None:
    """Guards against two owners if a host acquires the lease, loses the store and leads again."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_follow_store, view, leadership, store)
        nursery.start_soon(coordinator.run)
        first_term = await _wait_for_term(store, "")
        await trio.sleep(6.0)
        # The other leader renews the grants until its own lease ends.
        await _lead_elsewhere(store, 12.0)
        unread_term = await _wait_for_term(store, first_term)
        taken_over_at = trio.current_time()
        store.down = True
        fake_targets.unreachable.add(FIRST_ADDRESS)
        apply_row(view, Topic.TARGETS, "i-0", None, 9)
        await trio.sleep(LEASE_SECONDS)
        store.down = False
        commands = len(fake_targets.commands)
        await _wait_for_term(store, unread_term)
        held_until = taken_over_at + OUTAGE_GRANT_SECONDS * CLOCK_DRIFT_FACTOR
        await trio.sleep(held_until - trio.current_time())
        granted = {
            (doc["From"], doc["Target"])
            for address, path, doc in fake_targets.commands[commands:]
            if address == SECOND_ADDRESS and path.endswith("grant")
        }
        kept = fake_targets.held_ranges(FIRST_ADDRESS)
        assert granted
        assert all(last < low or high < first for first, last in granted for low, high in kept)
        # The keys get a new owner when the grants have ended.
        await trio.sleep(8.0)
        assert fake_targets.held_ranges(SECOND_ADDRESS) == [(0, 65535)]
        nursery.cancel_scope.cancel()


async def test_term_that_resumes_a_short_one_does_not_assign_keys_of_a_lost_key_map_early(
    autojump_clock: object,
    view: View,
    store: MemoryStore,
    leadership: Leadership,
    coordinator: Coordinator,
    fake_targets: FakeTargets,
) -> None:
    """Guards against two owners if the first term after a restore ends before unknown grants."""
    row = Row(LEADER_KEY, 1 << RESTORE_SHIFT | 20, encode_leader(OTHER_LEADER))
    view.apply(Change(Topic.OWN, (row,), 2 << RESTORE_SHIFT | 40, whole=True))
    store.rows, store.version = {LEADER_KEY: row}, 2 << RESTORE_SHIFT | 50
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_follow_store, view, leadership, store)
        nursery.start_soon(coordinator.run)
        first_term = await _wait_for_term(store, "")
        started_at = trio.current_time()
        await trio.sleep(0.5)
        store.down = True
        await trio.sleep(LEASE_SECONDS)
        store.down = False
        await _wait_for_term(store, first_term)
        await trio.sleep(started_at + MAX_GRANT_LIFETIME_SECONDS - trio.current_time())
        assert fake_targets.commands == []
        await trio.sleep(6.0)
        assert fake_targets.commands != []
        nursery.cancel_scope.cancel()
