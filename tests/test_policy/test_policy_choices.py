"""Tests of straggler detection, load balancing, hedging, budgets and usable capacity."""

from __future__ import annotations

import pytest

from radishshunt.policy.balancing import Candidate
from radishshunt.policy.balancing.expected_wait import EarliestCompletion
from radishshunt.policy.balancing.reported_load import ReportedLoad
from radishshunt.policy.balancing.round_robin import RoundRobin
from radishshunt.policy.budgets import TokenBudget
from radishshunt.policy.capacity import STRAGGLER_SHARE, capacity_of
from radishshunt.policy.drain.staged import StagedDrain
from radishshunt.policy.hedging.budgeted import BudgetedHedging
from radishshunt.policy.profile import AdaptiveProfile
from radishshunt.policy.stragglers.observed import ObservedStragglers
from radishshunt.policy.stragglers.reported import ReportedStragglers


def detector_with_answers(slow_seconds: float, answers: int) -> ObservedStragglers:
    detector = ObservedStragglers()
    for _ in range(100):
        for name in ("a", "b", "c"):
            detector.on_answer(name, 0.02)
    for _ in range(answers):
        detector.on_answer("c", slow_seconds)
    return detector


def test_straggler_is_detected_after_a_few_answers() -> None:
    """Guards against late detection: load reports arrive about 10 s late."""
    assert detector_with_answers(0.1, 4).slowness("c") > 2.5
    assert detector_with_answers(0.1, 4).slowness("a") == 1.0


def test_one_slow_answer_is_not_a_straggler() -> None:
    """Guards against moving slices because of a single slow request."""
    assert detector_with_answers(0.1, 1).slowness("c") == 1.0


def test_recovery_of_a_straggler_is_detected() -> None:
    """Guards against avoiding a target permanently after it has recovered."""
    detector = detector_with_answers(0.4, 10)
    assert detector.slowness("c") > 1.0
    for _ in range(20):
        detector.on_answer("c", 0.02)
    assert detector.slowness("c") == 1.0


def test_unresponsive_target_is_a_straggler() -> None:
    """Guards against a frozen target that is not detected because it never answers."""
    assert detector_with_answers(0.02, 0).slowness("c", in_flight_seconds=0.5) > 2.5


def test_two_stragglers_in_a_group_of_three_are_detected() -> None:
    """Guards against using a group's median where stragglers are the majority of the group."""
    detector = ObservedStragglers()
    for _ in range(50):
        detector.on_answer("a", 0.02)
        detector.on_answer("b", 0.3)
        detector.on_answer("c", 0.3)
    detector.set_typical_seconds(0.02)
    for name in ("b", "c"):
        detector.on_answer(name, 0.3)
    assert detector.slowness("b") > 1.0
    assert detector.slowness("a") == 1.0


def test_reported_baseline_uses_load_reports() -> None:
    """Guards against a baseline that does not implement the policy it is compared as."""
    detector = ReportedStragglers()
    for name, load in (("a", 0.5), ("b", 0.6), ("c", 3.0)):
        detector.on_report(name, load)
    assert detector.slowness("c") > 2
    assert detector.slowness("a") == 1.0


def test_balancing_avoids_stragglers_and_full_targets() -> None:
    """Guards against queueing requests at a straggler or a full target while others are free."""
    balancing = EarliestCompletion()
    straggler = Candidate("slow", 0, 3, 10.0)
    busy = Candidate("busy", 5, 3)
    free = Candidate("free", 1, 3)
    assert balancing.pick([straggler, busy, free]) is free
    assert balancing.pick([straggler, busy]) is busy


def test_balancing_respects_the_concurrency_limit_of_a_cold_target() -> None:
    """Guards against preferring a cold target because it has few outstanding requests."""
    cold = Candidate("cold", 1, 1)
    warm = Candidate("warm", 2, 3)
    assert EarliestCompletion().pick([cold, warm]) is warm


def test_straggler_is_probed() -> None:
    """Guards against a straggler that gets no requests, so that its recovery goes unnoticed."""
    balancing = EarliestCompletion(probe_every=10)
    candidates = [Candidate("slow", 0, 3, 10.0), Candidate("fast", 0, 3)]
    picks = [balancing.pick(candidates).name for _ in range(100)]
    assert picks.count("slow") == 10


def test_baselines_of_balancing() -> None:
    """Guards against baselines that use outstanding requests or answer times."""
    candidates = [Candidate("a", 9, 3, 10.0), Candidate("b", 0, 3)]
    round_robin = RoundRobin()
    assert {round_robin.pick(candidates).name for _ in range(2)} == {"a", "b"}
    reported_load = ReportedLoad()
    reported_load.on_report("b", 2.0)
    assert reported_load.pick(candidates).name == "a"


@pytest.mark.parametrize(("idempotent", "keyed"), [(False, False), (True, True), (False, True)])
def test_only_idempotent_requests_without_keys_are_hedged(idempotent: bool, keyed: bool) -> None:
    """Guards against running a request twice or on a target that does not own its key."""
    hedging = BudgetedHedging()
    for _ in range(100):
        hedging.on_answer(0.02)
    assert hedging.delay(idempotent=True, keyed=False) is not None
    assert hedging.delay(idempotent=idempotent, keyed=keyed) is None


def test_hedged_requests_stay_within_their_budget() -> None:
    """Guards against hedging that doubles the load when all targets are slow."""
    hedging = BudgetedHedging(budget_ratio=0.05)
    copies = 0
    for _ in range(2000):
        hedging.on_request()
        copies += hedging.spend()
    assert copies <= 0.05 * 2000 + 20


def test_budget_limits_repeated_requests() -> None:
    """Guards against retries that multiply the load of overloaded targets."""
    budget = TokenBudget(0.1, max_tokens=5)
    assert sum(budget.spend() for _ in range(100)) == 5
    for _ in range(100):
        budget.earn()
    assert sum(budget.spend() for _ in range(100)) == 5


def test_capacity_depends_on_domain_cold_start_and_slowness() -> None:
    """Guards against placing slices on drained, cold or slow targets as on warm ones."""
    lane = AdaptiveProfile().lane(3, 1, 10.0, 64)
    detector = detector_with_answers(0.4, 10)
    drain = StagedDrain()
    assert capacity_of("a", lane, detector, drain, False, 5.0) == 0.0
    assert capacity_of("a", lane, detector, drain, True, 5.0) == 1.0
    assert capacity_of("c", lane, detector, drain, True, 5.0) == STRAGGLER_SHARE
    lane.on_cold(5.0)
    assert 0.0 < capacity_of("a", lane, detector, drain, True, 6.0) <= 1 / 3
