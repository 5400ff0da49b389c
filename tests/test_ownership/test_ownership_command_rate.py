"""Tests of the command rate of one group, in steady state and with an unreachable target."""

from __future__ import annotations

import pytest

from radishshunt.emulator.grants import TargetGrants
from radishshunt.model import SliceAssignment
from radishshunt.ownership import (
    MOST_COMMANDS_PER_SECOND,
    RENEW_INTERVAL_SECONDS,
    GroupOwnership,
)
from tests.test_ownership.test_ownership_rules import NOW, deliver_due, make_row

STEP_SECONDS = 0.005


@pytest.fixture
def ownership() -> GroupOwnership:
    row = make_row({0: SliceAssignment("a", "b"), 1: SliceAssignment("b", "c")})
    return GroupOwnership(row, 2, 1.2)


def count_commands(
    ownership: GroupOwnership, targets: dict[str, TargetGrants], start: float, seconds: float
) -> dict[str, int]:
    """Return the number of commands sent to each target if all are answered without delay."""
    sent: dict[str, int] = dict.fromkeys("abc", 0)
    for index in range(int(seconds / STEP_SECONDS)):
        for command in deliver_due(ownership, targets, start + index * STEP_SECONDS, rounds=1):
            sent[command.target] += 1
    return sent


def test_targets_that_answer_are_not_fenced_without_end_beside_a_lost_one() -> None:
    # Guards against a loop in which the acknowledgements of two targets make each other's next
    # fence due immediately, as long as a lost target keeps the initial fences incomplete.
    row = make_row({0: SliceAssignment("a", "b")}, unfenced={"c": (0,)})
    ownership = GroupOwnership(row, 2, 1.2)
    targets = {"b": TargetGrants(2), "c": TargetGrants(3)}
    sent = count_commands(ownership, targets, NOW, 5.0)
    assert max(sent.values()) <= 5.0 * MOST_COMMANDS_PER_SECOND


def test_attempts_to_reach_a_lost_target_become_rarer(ownership) -> None:
    # Guards against retries at a constant rate, whose timeouts delay all other control calls.
    targets = {"b": TargetGrants(2), "c": TargetGrants(3)}
    early = count_commands(ownership, targets, NOW, 2.0)["a"]
    late = count_commands(ownership, targets, NOW + 2.0, 2.0)["a"]
    assert late < early
    assert late <= 2.0 / RENEW_INTERVAL_SECONDS


def test_calm_group_sends_renewals_only(ownership) -> None:
    # Guards against more than one command per target and renewal interval.
    targets = {name: TargetGrants(number) for number, name in enumerate("abc", 1)}
    count_commands(ownership, targets, NOW, 1.0)
    sent = count_commands(ownership, targets, NOW + 1.0, 3.0)
    assert max(sent.values()) <= 3.0 / RENEW_INTERVAL_SECONDS + 1


def test_late_host_takes_no_target_for_lost(ownership) -> None:
    # Guards against a host that was stalled and then counts its own delay as failures of targets.
    targets = {name: TargetGrants(number) for number, name in enumerate("abc", 1)}
    count_commands(ownership, targets, NOW, 1.0)
    deliver_due(ownership, {}, NOW + 1.3, rounds=1)
    resumed = NOW + 4.0
    assert ownership.lost_targets(resumed)
    ownership.on_host_stalled(resumed)
    assert not ownership.lost_targets(resumed)
    deliver_due(ownership, targets, resumed, rounds=2)
    assert not ownership.lost_targets(resumed + 1.0)
