"""Tests of slice placement, request rate estimates, hot keys and load reports."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishshunt.errors import ProtocolError
from radishshunt.placement import PlacementTarget, PlacementView
from radishshunt.placement.balanced import BalancedPlacement
from radishshunt.placement.hot_keys import SpaceSaving
from radishshunt.placement.load_report import GroupLoad, TargetLoad
from radishshunt.placement.request_rates import RequestRateEstimator
from radishshunt.placement.static_hash import StaticHash

NAMES = [f"t{i}" for i in range(6)]


def view(
    load: dict[int, float] | None = None,
    capacity: dict[str, float] | None = None,
    **fields: object,
) -> PlacementView:
    """Return six targets with ten slices each; a slice has load 1 unless ``load`` changes it."""
    targets = [
        PlacementTarget(name, index // 3, f"d{index % 3}", (capacity or {}).get(name, 1.0))
        for index, name in enumerate(NAMES)
    ]
    owners = {number: NAMES[number // 10] for number in range(60)}
    standbys = {number: NAMES[(number // 30) * 3 + (number // 10 + 1) % 3] for number in range(60)}
    slice_loads = dict.fromkeys(range(60), 1.0) | (load or {})
    all_fields = {"now": 1000.0, "standbys": standbys, "sample_requests": 1e6} | fields
    return PlacementView(targets=targets, owners=owners, load=slice_loads, **all_fields)


def loads_after(before: PlacementView, moves: list) -> Counter[str]:
    """Return the load of each target after the moves."""
    owners = dict(before.owners) | {move.slice: move.to for move in moves}
    result: Counter[str] = Counter(dict.fromkeys(NAMES, 0.0))
    for number, owner in owners.items():
        result[owner] += before.load[number]
    return result


def test_even_load_moves_nothing() -> None:
    """Guards against unnecessary moves."""
    assert BalancedPlacement().moves(view()) == []


def test_differences_within_noise_move_nothing() -> None:
    """Guards against moving slices because of random differences in the counts."""
    assert BalancedPlacement().moves(view({0: 2.5}, sample_requests=50.0)) == []


def test_hot_target_is_relieved_with_few_moves() -> None:
    """Guards against an imbalance that persists and against more moves than necessary."""
    before = view({0: 6.0, 1: 4.0})
    moves = BalancedPlacement().moves(before)
    after = loads_after(before, moves)
    assert max(after.values()) / (sum(after.values()) / 6) <= 1.1
    assert len(moves) <= 9


def test_two_hot_slices_are_separated() -> None:
    """Guards against two hot slices that stay on one target because no other has room."""
    before = view({0: 8.0, 1: 8.0} | dict.fromkeys(range(2, 10), 0.01))
    moves = BalancedPlacement().moves(before)
    after = loads_after(before, moves)
    assert max(after.values()) / (sum(after.values()) / 6) <= 1.15


def test_single_hot_slice_does_not_move() -> None:
    """Guards against moving a slice back and forth if it overloads any target."""
    before = view({0: 50.0})
    assert 0 not in {move.slice for move in BalancedPlacement().moves(before)}


def test_recently_moved_slice_does_not_move_again() -> None:
    """Guards against moving a slice back and forth in short order."""
    moved_at = dict.fromkeys(range(10), 999.0)
    assert not BalancedPlacement().moves(view({0: 6.0}, moved_at=moved_at))


def test_all_slices_of_a_target_without_capacity_move_at_once() -> None:
    """Guards against sending requests to a domain that operators have taken out."""
    before = view(
        capacity={"t0": 0.0}, moved_at=dict.fromkeys(range(60), 999.9), sample_requests=1.0
    )
    moves = BalancedPlacement(moves_per_round=1).moves(before)
    forced = {move.slice for move in moves if move.forced}
    assert forced == set(range(10))
    assert "t0" not in {move.to for move in moves}


def test_load_of_a_cold_target_is_limited_by_its_capacity() -> None:
    """Guards against giving a returning target its full share while it is cold."""
    before = view(capacity={"t0": 0.2}, load=dict.fromkeys(range(60), 1.0))
    after = loads_after(before, BalancedPlacement().moves(before))
    assert after["t0"] <= 0.2 * 60 / 5.2 * 1.5


def test_only_standbys_receive_while_the_table_is_down() -> None:
    """Guards against moves to targets that no row names as owner or standby."""
    before = view({0: 6.0}, capacity={"t3": 0.0}, standbys_only=True)
    moves = BalancedPlacement().moves(before)
    assert moves
    assert all(move.to == before.standbys[move.slice] for move in moves)


def test_without_usable_targets_nothing_moves() -> None:
    """Guards against an exception when all targets are lost at the same time."""
    assert BalancedPlacement().moves(view(capacity=dict.fromkeys(NAMES, 0.0))) == []


def test_static_baseline_fails_over_and_back() -> None:
    """Guards against a baseline that does not fail over to the standbys or does not return."""
    failover_moves = StaticHash().moves(view(capacity={"t0": 0.0}))
    assert {move.slice for move in failover_moves} == set(range(10))
    assert all(move.forced for move in failover_moves)
    normal = view()
    owners = dict(normal.owners) | {0: "t5"}
    failback_moves = StaticHash().moves(
        PlacementView(normal.targets, owners, normal.load, now=0.0, standbys=normal.standbys)
    )
    assert [(move.slice, move.to) for move in failback_moves] == [(0, "t0")]


@settings(max_examples=100, deadline=None)
@given(
    st.dictionaries(st.integers(0, 59), st.floats(0, 50), max_size=20),
    st.dictionaries(st.sampled_from(NAMES), st.sampled_from([0.0, 0.02, 0.2, 1.0]), max_size=5),
    st.booleans(),
)
def test_moves_are_consistent(
    load: dict[int, float], capacity: dict[str, float], standbys_only: bool
) -> None:
    """Guards against moving a slice twice in one round or to a target without capacity."""
    before = view(load, capacity, standbys_only=standbys_only)
    moves = BalancedPlacement().moves(before)
    assert len({move.slice for move in moves}) == len(moves)
    for move in moves:
        assert before.owners[move.slice] == move.source != move.to
        assert capacity.get(move.to, 1.0) > 0


def test_rates_are_averaged_while_the_load_does_not_shift() -> None:
    """Guards against rates that follow random differences between intervals."""
    estimator = RequestRateEstimator()
    for step in range(40):
        estimator.update({1: 10 + step % 3}, 0.5)
    assert estimator.rates()[1] == pytest.approx(22, rel=0.05)


def test_rates_follow_a_shift_of_the_load_at_once() -> None:
    """Guards against rates from before a shift that persist for the averaging window."""
    estimator = RequestRateEstimator()
    for _ in range(40):
        estimator.update({1: 10, 2: 10, 3: 10}, 0.5)
    estimator.update({1: 100, 2: 0, 3: 10}, 0.5)
    assert estimator.rates()[1] == pytest.approx(200)
    assert estimator.rates()[2] == 0.0
    assert estimator.sample_requests(1) == pytest.approx(110)


def test_hot_key_is_isolated_and_merged_again() -> None:
    """Guards against slices that cannot be balanced because of a hot key in them.

    Also guards against rows that only grow, because keys stay isolated after they are no longer
    hot.
    """
    hot_keys = SpaceSaving(sketch_keys=8)

    def count_interval(hot_requests: int, now: float) -> list:
        for number in range(200):
            hot_keys.count(1000 + number % 50)
            if number < hot_requests:
                hot_keys.count(7)
        return hot_keys.changes(target_mean=100.0, seconds=1.0, now=now)

    assert [(c.key_hash, c.isolate) for c in count_interval(150, 0.0)] == [(7, True)]
    assert count_interval(150, 1.0) == []
    assert count_interval(0, 2.0) == []
    assert [(c.key_hash, c.isolate) for c in count_interval(0, 40.0)] == [(7, False)]


def test_number_of_isolated_keys_is_limited() -> None:
    """Guards against rows that grow with the number of moderately hot keys."""
    hot_keys = SpaceSaving(max_isolated_keys=3)
    for _ in range(100):
        for key in range(10):
            hot_keys.count(key)
    assert len(hot_keys.changes(target_mean=100.0, seconds=1.0, now=0.0)) == 3


LOADS = st.builds(
    GroupLoad,
    st.sampled_from([0.5, 1.0]),
    st.floats(1.6e9, 2e9),
    st.lists(
        st.builds(
            TargetLoad,
            st.integers(0, 65535),
            st.integers(0, 65535),
            st.sampled_from([0.0, 0.5, 1.0]),
        ),
        max_size=4,
    ).map(tuple),
    st.dictionaries(st.integers(0, 65535), st.integers(0, 1 << 40), max_size=50),
)


@given(LOADS)
def test_load_report_round_trip(load: GroupLoad) -> None:
    """Guards against an encoding that assigns counts to a different slice."""
    assert GroupLoad.decode(load.encode()) == load


@given(LOADS, st.binary(max_size=40), st.integers(0, 60))
def test_malformed_load_reports_are_refused(load: GroupLoad, junk: bytes, length: int) -> None:
    """Guards against an uncaught exception when a peer sends malformed bytes."""
    for data in (junk, load.encode()[:length] + junk):
        try:
            GroupLoad.decode(data)
        except ProtocolError:
            continue


def test_load_report_is_compact() -> None:
    """Guards against heartbeats that exceed the limit of 4 KB per second and host."""
    load = GroupLoad(0.5, 1.7e9, (TargetLoad(3, 9, 1.0),) * 3, dict.fromkeys(range(100), 300))
    assert len(load.encode()) <= 350
