"""Slots and queue of one target under trio."""

from __future__ import annotations

import pytest
import trio

from radishshunt.clock import TrioClock
from radishshunt.dispatch.lane import Lane
from radishshunt.errors import NotRun
from radishshunt.policy.profile import Adaptive


def warm_lane(queue_limit: int = 64) -> Lane:
    state = Adaptive().lane(3, 1, 10.0, queue_limit)
    lane = Lane(state, TrioClock())
    # The first answer proves that the target is warm.
    state._unproven_seconds = 0.0
    state._idle_since = TrioClock().now()
    return lane


async def hold(lane: Lane, seconds: float, record: list[int]) -> None:
    turn = await lane.acquire(TrioClock().now() + 30)
    record.append(lane.running)
    await trio.sleep(seconds)
    lane.release(turn)


async def test_slots_are_never_exceeded(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against more requests at once than the target has slots."""
    lane = warm_lane()
    record: list[int] = []
    async with trio.open_nursery() as nursery:
        for _ in range(12):
            nursery.start_soon(hold, lane, 0.01, record)
    assert len(record) == 12
    assert max(record) <= 3


async def test_unproven_target_gets_its_cold_bound(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against overloading a target that was restarted while it was idle."""
    lane = Lane(Adaptive().lane(3, 1, 10.0, 64), TrioClock())
    record: list[int] = []
    async with trio.open_nursery() as nursery:
        for _ in range(4):
            nursery.start_soon(hold, lane, 0.01, record)
    assert record[0] == 1
    assert len(record) == 4


async def test_bound_of_cold_target_rises_without_other_events(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against waiters that nobody wakes when a cold start ends."""
    lane = warm_lane()
    lane.on_cold()
    first = await lane.acquire(TrioClock().now() + 30)
    started_at = trio.current_time()
    second = await lane.acquire(TrioClock().now() + 30)
    assert 10.0 <= trio.current_time() - started_at <= 11.0
    lane.release(first)
    lane.release(second)


async def test_passed_deadline_is_not_run(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a waiter that keeps its place after its deadline."""
    lane = warm_lane()
    turns = [await lane.acquire(TrioClock().now() + 30) for _ in range(3)]
    with pytest.raises(NotRun) as caught:
        await lane.acquire(TrioClock().now() + 0.3)
    assert caught.value.reason == "deadline"
    assert lane.queued == 0
    for turn in turns:
        lane.release(turn)
    assert lane.running == 0


async def test_cancelled_waiter_gives_its_slot_back(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a slot that leaks when a caller hangs up."""
    lane = warm_lane()
    turns = [await lane.acquire(TrioClock().now() + 30) for _ in range(3)]
    with trio.move_on_after(0.1):
        await lane.acquire(TrioClock().now() + 30)
    for turn in turns:
        lane.release(turn)
    assert (lane.running, lane.queued) == (0, 0)
