"""Tests of a lane's slots, admission, queue order and cold start limit, without trio."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from radishshunt.policy.admission import QueueView
from radishshunt.policy.admission.expected_wait import ExpectedWait
from radishshunt.policy.admission.queue_limit import QueueLimit
from radishshunt.policy.cold_start.ramp import Ramp
from radishshunt.policy.cold_start.unbounded import UnlimitedColdStart
from radishshunt.policy.lane_state import LaneRequest, LaneState
from radishshunt.policy.profile import AdaptiveProfile
from radishshunt.policy.queueing.adaptive_lifo import AdaptiveLifo
from radishshunt.policy.queueing.fifo import Fifo


def single_slot_lane(order: Fifo | AdaptiveLifo) -> LaneState[LaneRequest]:
    return LaneState(1, QueueLimit(64), order, UnlimitedColdStart(1))


def test_fifo_serves_in_order_of_arrival() -> None:
    """Guards against serving newer requests first although the lane is not overloaded."""
    for order in (Fifo(), AdaptiveLifo(overload_wait=1.0)):
        lane = single_slot_lane(order)
        requests = [LaneRequest(10.0) for _ in range(3)]
        for index, req in enumerate(requests):
            assert lane.offer(req, index * 0.01) is None
        first = lane.start(0.03)
        assert first is requests[0]
        lane.finish(first, 0.05, answered=True)
        assert lane.start(0.05) is requests[1]


def test_overloaded_lane_serves_the_newest_first() -> None:
    """Guards against a persistent queue in which every request misses its deadline."""
    lane = single_slot_lane(AdaptiveLifo(overload_wait=0.2))
    old, new = LaneRequest(10.0), LaneRequest(10.0)
    lane.offer(old, 0.0)
    lane.offer(new, 0.25)
    assert lane.start(0.3) is new


def test_admission_refuses_requests_that_cannot_meet_their_deadline() -> None:
    """Guards against requests that wait although they will miss their deadline."""
    view = QueueView(running=3, queued=30, concurrency_limit=3, service_seconds=0.03)
    admission = ExpectedWait(64)
    assert admission.refusal(view, 0.0, 0.2) == "deadline-unreachable"
    assert admission.refusal(view, 0.0, 2.0) is None


def test_admission_never_refuses_a_request_while_a_slot_is_free() -> None:
    """Guards against a wrong service time estimate that never gets corrected.

    If the estimate led to the refusal of all requests, none would run to correct it.
    """
    view = QueueView(running=0, queued=0, concurrency_limit=1, service_seconds=60.0)
    assert ExpectedWait(64).refusal(view, 0.0, 1.0) is None


def test_admission_limits_the_wait() -> None:
    """Guards against a long queue, which adds latency but no throughput."""
    view = QueueView(running=3, queued=60, concurrency_limit=3, service_seconds=0.1)
    assert ExpectedWait(64).refusal(view, 0.0, 30.0) == "overloaded"


def test_ramp_adds_slots_one_by_one_after_the_cold_start() -> None:
    """Guards against using all slots at once on a target that has just become warm."""
    ramp = Ramp(3, 1, 10.0, step_seconds=0.5)
    ramp.on_cold(100.0)
    limits = [ramp.concurrency_limit(100.0 + t, 0.0) for t in (0.0, 9.99, 10.0, 10.6, 11.6)]
    assert limits == [1, 1, 2, 3, 3]


def test_late_record_of_an_earlier_cold_start_is_ignored() -> None:
    """Guards against cold start records out of order, which would end a cold start early."""
    ramp = Ramp(3, 1, 10.0)
    ramp.on_cold(100.0)
    ramp.on_cold(95.0)
    assert ramp.concurrency_limit(109.0, 0.0) == 1


def test_idle_target_must_answer_before_it_gets_all_slots() -> None:
    """Guards against overloading a target that restarted while it had no requests."""
    lane = AdaptiveProfile().lane(3, 1, 10.0, 64)
    for _ in range(3):
        lane.offer(LaneRequest(10.0), 0.0)
    first = lane.start(0.0)
    assert first is not None
    assert lane.start(0.0) is None
    lane.finish(first, 0.02, answered=True)
    assert lane.start(0.02) is not None
    assert lane.start(0.02) is not None


def test_failed_request_does_not_verify_an_idle_target() -> None:
    """Guards against treating a target as warm after a request that failed without an answer."""
    lane = AdaptiveProfile().lane(3, 1, 10.0, 64)
    for _ in range(3):
        lane.offer(LaneRequest(10.0), 0.0)
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
def test_no_request_is_lost_and_the_concurrency_limit_holds(steps: list[tuple[str, float]]) -> None:
    """Guards against leaked slots and against starting a request above the concurrency limit."""
    lane = AdaptiveProfile().lane(3, 1, 5.0, 8)
    now, admitted, ended = 0.0, 0, 0
    for action, pause in steps:
        now += pause
        if action == "offer":
            admitted += lane.offer(LaneRequest(now + 3.0), now) is None
        elif action == "start":
            limit, running_before = lane.concurrency_limit(now), len(lane.running)
            if lane.start(now) is not None:
                assert running_before < limit
        elif action in ("finish", "break") and lane.running:
            lane.finish(lane.running[0], now, answered=action == "finish")
            ended += 1
        elif action == "cold":
            lane.on_cold(now)
        elif action == "expire":
            ended += len(lane.expire(now))
        assert admitted == ended + lane.outstanding
        assert len(lane.running) <= 3
