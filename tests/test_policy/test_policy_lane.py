"""Slots, queue, admission, order and cold bound of a lane, without trio."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from radishshunt.policy.admission import QueueView
from radishshunt.policy.admission.expected_wait import ExpectedWait
from radishshunt.policy.admission.queue_limit import QueueLimit
from radishshunt.policy.cold_start.ramp import Ramp
from radishshunt.policy.cold_start.unbounded import Unbounded
from radishshunt.policy.lane_state import LaneState, Waiter
from radishshunt.policy.profile import Adaptive
from radishshunt.policy.queueing.adaptive_lifo import AdaptiveLifo
from radishshunt.policy.queueing.fifo import Fifo


def plain_lane(order: Fifo | AdaptiveLifo) -> LaneState[Waiter]:
    return LaneState(1, QueueLimit(64), order, Unbounded(1))


def test_fifo_serves_in_order_of_arrival() -> None:
    """Guards against a queue that overtakes without overload."""
    for order in (Fifo(), AdaptiveLifo(overload_wait=1.0)):
        lane = plain_lane(order)
        waiters = [Waiter(10.0) for _ in range(3)]
        for at, waiter in enumerate(waiters):
            assert lane.offer(waiter, at * 0.01) is None
        first = lane.start(0.03)
        assert first is waiters[0]
        lane.finish(first, 0.05, answered=True)
        assert lane.start(0.05) is waiters[1]


def test_overloaded_lane_serves_the_newest_first() -> None:
    """Guards against a standing queue that makes every request late."""
    lane = plain_lane(AdaptiveLifo(overload_wait=0.2))
    old, new = Waiter(10.0), Waiter(10.0)
    lane.offer(old, 0.0)
    lane.offer(new, 0.25)
    assert lane.start(0.3) is new


def test_admission_refuses_what_cannot_end_in_time() -> None:
    """Guards against requests that wait only to miss their deadline."""
    view = QueueView(running=3, queued=30, bound=3, service_seconds=0.03)
    admission = ExpectedWait(64)
    assert admission.refusal(view, 0.0, 0.2) == "deadline-unreachable"
    assert admission.refusal(view, 0.0, 2.0) is None


def test_admission_never_refuses_a_free_slot() -> None:
    """Guards against a service time estimate that refuses everything and is never corrected."""
    view = QueueView(running=0, queued=0, bound=1, service_seconds=60.0)
    assert ExpectedWait(64).refusal(view, 0.0, 1.0) is None


def test_admission_bounds_the_wait() -> None:
    """Guards against a queue that only adds latency."""
    view = QueueView(running=3, queued=60, bound=3, service_seconds=0.1)
    assert ExpectedWait(64).refusal(view, 0.0, 30.0) == "overloaded"


def test_ramp_keeps_the_cold_bound_and_then_rises_by_one() -> None:
    """Guards against all slots at once on a target that has just become warm."""
    ramp = Ramp(3, 1, 10.0, step_seconds=0.5)
    ramp.on_cold(100.0)
    bounds = [ramp.bound(100.0 + t, 0.0) for t in (0.0, 9.99, 10.0, 10.6, 11.6)]
    assert bounds == [1, 1, 2, 3, 3]


def test_late_evidence_of_an_earlier_cold_start_changes_nothing() -> None:
    """Guards against evidence out of order that ends a cold start early."""
    ramp = Ramp(3, 1, 10.0)
    ramp.on_cold(100.0)
    ramp.on_cold(95.0)
    assert ramp.bound(109.0, 0.0) == 1


def test_idle_target_is_proven_before_it_gets_all_slots() -> None:
    """Guards against a target that was restarted while no request could show it."""
    lane = Adaptive().lane(3, 1, 10.0, 64)
    for _ in range(3):
        lane.offer(Waiter(10.0), 0.0)
    first = lane.start(0.0)
    assert first is not None
    assert lane.start(0.0) is None
    lane.finish(first, 0.02, answered=True)
    assert lane.start(0.02) is not None
    assert lane.start(0.02) is not None


def test_target_that_breaks_before_an_answer_stays_unproven() -> None:
    """Guards against a failed request that counts as proof of a warm target."""
    lane = Adaptive().lane(3, 1, 10.0, 64)
    for _ in range(3):
        lane.offer(Waiter(10.0), 0.0)
    first = lane.start(0.0)
    assert first is not None
    lane.finish(first, 0.02, answered=False)
    assert lane.start(1.0) is not None
    assert lane.start(1.0) is None


STEP = st.tuples(
    st.sampled_from(["offer", "start", "finish", "break", "cold", "expire"]),
    st.floats(0.0, 2.0),
)


@settings(max_examples=200, deadline=None)
@given(st.lists(STEP, max_size=80))
def test_no_request_is_lost_and_the_bound_holds(steps: list[tuple[str, float]]) -> None:
    """Guards against leaked slots and against starting a request over the bound."""
    lane = Adaptive().lane(3, 1, 5.0, 8)
    now, offered, ended = 0.0, 0, 0
    for action, pause in steps:
        now += pause
        if action == "offer":
            offered += lane.offer(Waiter(now + 3.0), now) is None
        elif action == "start":
            bound, before = lane.bound(now), len(lane.running)
            if lane.start(now) is not None:
                assert before < bound
        elif action in ("finish", "break") and lane.running:
            lane.finish(lane.running[0], now, answered=action == "finish")
            ended += 1
        elif action == "cold":
            lane.on_cold(now)
        elif action == "expire":
            ended += len(lane.expire(now))
        assert offered == ended + lane.outstanding
        assert len(lane.running) <= 3
