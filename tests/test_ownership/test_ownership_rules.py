"""Tests of individual rules for grants, fences and takeover."""

from __future__ import annotations

import time

import pytest

from radishshunt.emulator.grants import CommandRejected, TargetGrants
from radishshunt.model import GroupId, GroupRow, HostRef, SliceAssignment
from radishshunt.ownership import GroupOwnership
from radishshunt.ownership_state import Fence, Grant

NOW = 1000.0
KEY = ("s", 0)


def make_row(slices: dict[int, SliceAssignment], **members) -> GroupRow:
    names = sorted({n for p in slices.values() for n in (p.owner, p.standby) if n})
    return GroupRow(
        GroupId("s", 0),
        2,
        HostRef("d", 1),
        HostRef("h", 1),
        members.pop("targets", tuple(names)),
        slices,
        **members,
    )


def deliver_due(
    ownership: GroupOwnership,
    targets: dict[str, TargetGrants],
    now: float,
    rounds: int = 5,
) -> list[Fence | Grant]:
    """Deliver the commands that are due and return them.

    Commands to targets that are not given fail.
    """
    sent = []
    for _ in range(rounds):
        for command in ownership.commands(now):
            sent.append(command)
            target = targets.get(command.target)
            if target is None:
                ownership.on_failure(command, now)
                continue
            try:
                if isinstance(command, Fence):
                    result = target.fence(KEY, command.generation, command.slices)
                    held = frozenset(result.held_standby)
                    ownership.on_fenced(command, target.incarnation, held, result.busy, now)
                else:
                    owned = [n for n, step in command.steps.items() if step == 0]
                    taken = [n for n, step in command.steps.items() if step == 1]
                    target.grant(
                        KEY,
                        command.generation,
                        command.incarnation,
                        owned,
                        taken,
                        command.deadline,
                    )
                    ownership.on_granted(command, now)
            except CommandRejected as exc:
                if exc.reason == "incarnation":
                    ownership.on_restarted(command, target.incarnation, now)
    return sent


def run_for(ownership: GroupOwnership, targets: dict, start: float, seconds: float) -> float:
    """Deliver due commands every 50 ms and return the time at the end."""
    for index in range(1, int(seconds / 0.05) + 1):
        deliver_due(ownership, targets, start + index * 0.05, rounds=2)
    return start + int(seconds / 0.05) * 0.05


@pytest.fixture
def targets() -> dict[str, TargetGrants]:
    return {"a": TargetGrants(1), "b": TargetGrants(2)}


@pytest.fixture
def row() -> GroupRow:
    return make_row({0: SliceAssignment("a", "b")})


def test_standby_serves_after_the_owners_last_grant_expired(row, targets) -> None:
    # Guards against a failover that waits for renewals which were never sent, or that starts
    # before the owner's last grant has expired.
    ownership = GroupOwnership(row, 2, 1.2)
    deliver_due(ownership, targets, NOW)
    assert ownership.serving(0, NOW).epoch == 4
    del targets["a"]
    now = run_for(ownership, targets, NOW, 1.25)
    assert ownership.serving(0, now) is None
    now = run_for(ownership, targets, now, 0.6)
    serving = ownership.serving(0, now)
    assert (serving.target, serving.epoch) == ("b", 5)


def test_restarted_owner_is_followed_at_once(row, targets) -> None:
    # Guards against waiting for the expiry of a grant that ended with the owner's process.
    ownership = GroupOwnership(row, 2, 1.2)
    deliver_due(ownership, targets, NOW)
    targets["a"] = TargetGrants(11)
    deliver_due(ownership, targets, NOW + 0.3)
    assert ownership.serving(0, NOW + 0.3).target == "b"


def test_running_request_of_a_lower_epoch_delays_a_changed_owner_only(targets) -> None:
    # Guards against two targets that run requests for a key at once, because a new owner starts
    # while the former one still runs a request.
    row = make_row(
        {0: SliceAssignment("a", "b"), 1: SliceAssignment("b", "a")},
        unfenced={"a": (0, 1), "b": (0, 1)},
    )
    targets["a"].grant(KEY, 1, 1, [0, 1], [], NOW + 1)
    targets["a"].add_running("r0", KEY, 0, 2, NOW + 0.8)
    targets["a"].add_running("r1", KEY, 1, 2, NOW + 0.8)
    ownership = GroupOwnership(row, 2, 1.2)
    deliver_due(ownership, targets, NOW)
    assert ownership.serving(0, NOW).target == "a"
    assert ownership.serving(1, NOW) is None
    now = run_for(ownership, targets, NOW, 1.0)
    assert ownership.serving(1, now).target == "b"


def test_takeover_keeps_the_standby_that_held_a_step_1_grant(row, targets) -> None:
    # Guards against slices that stay unserved because their lost owner can't be fenced.
    former = GroupOwnership(row, 2, 1.2)
    deliver_due(former, targets, NOW)
    del targets["a"]
    now = run_for(former, targets, NOW, 2.0)
    assert former.serving(0, now).target == "b"
    ownership = GroupOwnership(row, 3, 1.2)
    deliver_due(ownership, targets, now)
    assert (ownership.serving(0, now).target, ownership.serving(0, now).epoch) == ("b", 7)


def test_step_1_grant_of_an_earlier_row_proves_nothing(targets) -> None:
    # Guards against a takeover that relies on a step-1 grant of an earlier row: the present owner
    # may have been granted the slice since.
    targets["b"].grant(KEY, 2, 2, [], [0], NOW)
    row = make_row({0: SliceAssignment("a", "b")}, targets=("a", "b"))
    ownership = GroupOwnership(row, 5, 1.2)
    del targets["a"]
    deliver_due(ownership, targets, NOW)
    assert ownership.serving(0, NOW) is None


def test_takeover_serves_without_the_owner_once_the_former_dispatcher_stopped(row, targets) -> None:
    # Guards against slices that are never served again after dispatcher and owner are lost at the
    # same time.
    former = GroupOwnership(row, 2, 1.2)
    deliver_due(former, targets, NOW)
    del targets["a"]
    ownership = GroupOwnership(row, 3, 1.2)
    now = run_for(ownership, targets, NOW, 3.0)
    assert ownership.serving(0, now) is None
    ownership.on_other_dispatchers_stopped(NOW + 1.2)
    now = run_for(ownership, targets, now, 0.2)
    assert ownership.serving(0, now).target == "b"


def test_unchecked_targets_wait_for_the_former_dispatcher(row, targets) -> None:
    # Guards against two dispatchers that send requests to a target that checks no fences.
    ownership = GroupOwnership(row, 3, 1.2, frozenset({"a"}))
    now = run_for(ownership, targets, NOW, 1.0)
    assert ownership.serving(0, now) is None
    ownership.on_other_dispatchers_stopped(now)
    now = run_for(ownership, targets, now, 0.3)
    assert ownership.serving(0, now).target == "a"


def test_fence_for_a_slice_ends_the_grant_of_another_group(targets) -> None:
    # Guards against two owners of a slice after it moved to another group.
    target = targets["a"]
    target.grant(KEY, 2, 1, [0, 1], [], NOW + 1)
    target.fence(("s", 1), 6, [0])
    assert target.valid_epoch(KEY, 0, NOW) is None
    assert target.valid_epoch(KEY, 1, NOW) == 4
    with pytest.raises(CommandRejected):
        target.grant(KEY, 2, 1, [0, 1], [], NOW + 2)


def test_following_row_need_not_fence_a_lost_owner(row, targets) -> None:
    # Guards against a new row that waits for the fence of a lost target.
    ownership = GroupOwnership(row, 2, 1.2)
    deliver_due(ownership, targets, NOW)
    del targets["a"]
    now = run_for(ownership, targets, NOW, 2.0)
    assert ownership.targets_to_fence(now, takeover_ruled_out=False) == {"a": (0,), "b": (0,)}
    assert ownership.targets_to_fence(now, takeover_ruled_out=True) == {"b": (0,)}


def test_target_left_out_of_a_row_gets_no_grant_until_the_row_is_dropped(row, targets) -> None:
    # Guards against a grant to a target that a row being written does not list for fencing.
    ownership = GroupOwnership(row, 2, 1.2)
    deliver_due(ownership, targets, NOW)
    standby = targets.pop("b")
    now = run_for(ownership, targets, NOW, 1.0)
    assert ownership.targets_to_fence(now, takeover_ruled_out=True) == {"a": (0,)}
    targets = {"b": standby}
    now = run_for(ownership, targets, now, 3.0)
    assert ownership.serving(0, now) is None
    ownership.clear_exclusions()
    # Further grants were sent to the owner meanwhile, so the last one has to expire first.
    now = run_for(ownership, targets, now, 1.5)
    assert ownership.serving(0, now).target == "b"


def test_tick_costs_no_scan_of_the_slices() -> None:
    # Guards against a loop over all slices whenever due commands are computed: 64 times as many
    # slices may cost only little more.
    def cost(slices: int) -> float:
        names = ("a", "b", "c")
        pairs = {
            n: SliceAssignment(names[n % 3], names[(n + 1 + n // 3 % 2) % 3]) for n in range(slices)
        }
        ownership = GroupOwnership(make_row(pairs), 2, 1.2)
        targets = {name: TargetGrants(i) for i, name in enumerate(names, start=1)}
        deliver_due(ownership, targets, NOW)
        best = float("inf")
        for _ in range(5):
            started = time.perf_counter()
            for _ in range(200):
                ownership.commands(NOW)
                ownership.serving(5, NOW)
            best = min(best, time.perf_counter() - started)
        return best

    assert cost(65_536) < 4 * cost(1_024)
