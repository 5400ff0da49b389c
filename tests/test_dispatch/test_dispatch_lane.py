"""Slots and request queue of one target under trio."""

from __future__ import annotations

import pytest
import trio

from radishshunt.clock import TrioClock
from radishshunt.dispatch.lane import Lane
from radishshunt.errors import NotRun
from radishshunt.policy.profile import AdaptiveProfile


def warm_lane(queue_limit: int = 64) -> Lane:
    """Return a lane with three slots whose target is warm."""
    state = AdaptiveProfile().lane(3, 1, 10.0, queue_limit)
    lane = Lane(state, TrioClock())
    # Put the lane into the state after a first answer, which proves that the target is warm.
    state._unverified_idle_seconds = 0.0
    state._idle_since = TrioClock().now()
    return lane


async def hold_slot(lane: Lane, seconds: float, running_counts: list[int]) -> None:
    """Hold a slot for a time, and append the number of slots in use when it was acquired."""
    waiter = await lane.acquire(TrioClock().now() + 30)
    running_counts.append(lane.running)
    await trio.sleep(seconds)
    lane.release(waiter)


async def test_slots_are_never_exceeded(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against running more requests at the same time than the target has slots."""
    lane = warm_lane()
    running_counts: list[int] = []
    async with trio.open_nursery() as nursery:
        for _ in range(12):
            nursery.start_soon(hold_slot, lane, 0.01, running_counts)
    assert len(running_counts) == 12
    assert max(running_counts) <= 3


async def test_unproven_target_gets_its_cold_bound(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against overloading a target that restarted unnoticed while it was idle."""
    lane = Lane(AdaptiveProfile().lane(3, 1, 10.0, 64), TrioClock())
    running_counts: list[int] = []
    async with trio.open_nursery() as nursery:
        for _ in range(4):
            nursery.start_soon(hold_slot, lane, 0.01, running_counts)
    assert running_counts[0] == 1
    assert len(running_counts) == 4


async def test_bound_of_cold_target_rises_without_other_events(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against requests that stay queued when a cold start ends without another event."""
    lane = warm_lane()
    lane.on_cold()
    first = await lane.acquire(TrioClock().now() + 30)
    started_at = trio.current_time()
    second = await lane.acquire(TrioClock().now() + 30)
    assert 10.0 <= trio.current_time() - started_at <= 11.0
    lane.release(first)
    lane.release(second)


async def test_passed_deadline_is_not_run(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a request that stays in the queue after its deadline."""
    lane = warm_lane()
    waiters = [await lane.acquire(TrioClock().now() + 30) for _ in range(3)]
    with pytest.raises(NotRun) as caught:
        await lane.acquire(TrioClock().now() + 0.3)
    assert caught.value.reason == "deadline"
    assert lane.queued == 0
    for waiter in waiters:
        lane.release(waiter)
    assert lane.running == 0


async def test_cancelled_waiter_gives_its_slot_back(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a slot that is never released after a queued request is cancelled."""
    lane = warm_lane()
    waiters = [await lane.acquire(TrioClock().now() + 30) for _ in range(3)]
    with trio.move_on_after(0.1):
        await lane.acquire(TrioClock().now() + 30)
    for waiter in waiters:
        lane.release(waiter)
    assert (lane.running, lane.queued) == (0, 0)
