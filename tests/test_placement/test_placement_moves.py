"""Moves of slices, estimates of heat, hot keys and load reports."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishshunt.errors import ProtocolError
from radishshunt.placement import Place, PlacementView
from radishshunt.placement.balanced import Balanced
from radishshunt.placement.heat import HeatEstimator
from radishshunt.placement.hot_keys import SpaceSaving
from radishshunt.placement.load_report import GroupLoad, TargetLoad
from radishshunt.placement.static_hash import StaticHash

NAMES = [f"t{i}" for i in range(6)]


def view(
    load: dict[int, float] | None = None,
    capacity: dict[str, float] | None = None,
    **others: object,
) -> PlacementView:
    places = [
        Place(name, index // 3, f"d{index % 3}", (capacity or {}).get(name, 1.0))
        for index, name in enumerate(NAMES)
    ]
    owners = {number: NAMES[number // 10] for number in range(60)}
    standbys = {number: NAMES[(number // 30) * 3 + (number // 10 + 1) % 3] for number in range(60)}
    filled = dict.fromkeys(range(60), 1.0) | (load or {})
    settings_ = {"now": 1000.0, "standbys": standbys, "counted": 1e6} | others
    return PlacementView(places=places, owners=owners, load=filled, **settings_)


def loads_after(seen: PlacementView, moves: list) -> Counter[str]:
    owners = dict(seen.owners) | {move.slice: move.to for move in moves}
    result: Counter[str] = Counter(dict.fromkeys(NAMES, 0.0))
    for number, owner in owners.items():
        result[owner] += seen.load[number]
    return result


def test_even_load_moves_nothing() -> None:
    """Guards against churn without a reason."""
    assert Balanced().moves(view()) == []


def test_differences_within_noise_move_nothing() -> None:
    """Guards against moving slices after chance."""
    assert Balanced().moves(view({0: 2.5}, counted=50.0)) == []


def test_hot_target_is_relieved_with_few_moves() -> None:
    """Guards against an imbalance that stays, and against moving more than needed."""
    seen = view({0: 6.0, 1: 4.0})
    moves = Balanced().moves(seen)
    after = loads_after(seen, moves)
    assert max(after.values()) / (sum(after.values()) / 6) <= 1.1
    assert len(moves) <= 9


def test_two_hot_slices_part() -> None:
    """Guards against two hot slices that stay together because no target has room."""
    seen = view({0: 8.0, 1: 8.0} | dict.fromkeys(range(2, 10), 0.01))
    moves = Balanced().moves(seen)
    after = loads_after(seen, moves)
    assert max(after.values()) / (sum(after.values()) / 6) <= 1.15


def test_lone_hot_slice_stays() -> None:
    """Guards against moving a slice back and forth that overloads any target."""
    seen = view({0: 50.0})
    assert 0 not in {move.slice for move in Balanced().moves(seen)}


def test_moved_slice_stays_for_a_while() -> None:
    """Guards against moving a slice back too soon."""
    moved_at = dict.fromkeys(range(10), 999.0)
    assert not Balanced().moves(view({0: 6.0}, moved_at=moved_at))


def test_target_without_capacity_is_emptied_at_once() -> None:
    """Guards against work for a domain that operators have taken out."""
    seen = view(capacity={"t0": 0.0}, moved_at=dict.fromkeys(range(60), 999.9), counted=1.0)
    moves = Balanced(moves_per_round=1).moves(seen)
    forced = {move.slice for move in moves if move.forced}
    assert forced == set(range(10))
    assert "t0" not in {move.to for move in moves}


def test_cold_target_gets_what_it_bears() -> None:
    """Guards against a returning target that gets its full share while it is cold."""
    seen = view(capacity={"t0": 0.2}, load=dict.fromkeys(range(60), 1.0))
    after = loads_after(seen, Balanced().moves(seen))
    assert after["t0"] <= 0.2 * 60 / 5.2 * 1.5


def test_only_standbys_receive_while_the_table_is_down() -> None:
    """Guards against moves that no row has agreed to."""
    seen = view({0: 6.0}, capacity={"t3": 0.0}, agreed_only=True)
    moves = Balanced().moves(seen)
    assert moves
    assert all(move.to == seen.standbys[move.slice] for move in moves)


def test_nothing_usable_moves_nothing() -> None:
    """Guards against an error when all targets are lost at once."""
    assert Balanced().moves(view(capacity=dict.fromkeys(NAMES, 0.0))) == []


def test_static_baseline_returns_slices_to_their_place() -> None:
    """Guards against a baseline that doesn't fail over, or doesn't come back."""
    out = StaticHash().moves(view(capacity={"t0": 0.0}))
    assert {move.slice for move in out} == set(range(10))
    assert all(move.forced for move in out)
    moved = view()
    owners = dict(moved.owners) | {0: "t5"}
    back = StaticHash().moves(
        PlacementView(moved.places, owners, moved.load, now=0.0, standbys=moved.standbys)
    )
    assert [(move.slice, move.to) for move in back] == [(0, "t0")]


@settings(max_examples=100, deadline=None)
@given(
    st.dictionaries(st.integers(0, 59), st.floats(0, 50), max_size=20),
    st.dictionaries(st.sampled_from(NAMES), st.sampled_from([0.0, 0.02, 0.2, 1.0]), max_size=5),
    st.booleans(),
)
def test_moves_are_consistent(
    load: dict[int, float], capacity: dict[str, float], agreed_only: bool
) -> None:
    """Guards against two moves of a slice in one round, and moves to targets without capacity."""
    seen = view(load, capacity, agreed_only=agreed_only)
    moves = Balanced().moves(seen)
    assert len({move.slice for move in moves}) == len(moves)
    for move in moves:
        assert seen.owners[move.slice] == move.source != move.to
        assert capacity.get(move.to, 1.0) > 0


def test_heat_averages_while_nothing_shifts() -> None:
    """Guards against following noise."""
    heat = HeatEstimator()
    for step in range(40):
        heat.update({1: 10 + step % 3}, 0.5)
    assert heat.rates()[1] == pytest.approx(22, rel=0.05)


def test_heat_follows_a_shift_at_once() -> None:
    """Guards against rates from before a shift that last for the averaging time."""
    heat = HeatEstimator()
    for _ in range(40):
        heat.update({1: 10, 2: 10, 3: 10}, 0.5)
    heat.update({1: 100, 2: 0, 3: 10}, 0.5)
    assert heat.rates()[1] == pytest.approx(200)
    assert heat.rates()[2] == 0.0
    assert heat.counted(1) == pytest.approx(110)


def test_hot_key_becomes_a_slice_and_returns() -> None:
    """Guards against a hot key that keeps its neighbours from moving, and rows that only grow."""
    hot = SpaceSaving(sketch_keys=8)

    def interval(hot_requests: int, now: float) -> list:
        for number in range(200):
            hot.count(1000 + number % 50)
            if number < hot_requests:
                hot.count(7)
        return hot.changes(target_mean=100.0, seconds=1.0, now=now)

    assert [(c.key_hash, c.isolate) for c in interval(150, 0.0)] == [(7, True)]
    assert interval(150, 1.0) == []
    assert interval(0, 2.0) == []
    assert [(c.key_hash, c.isolate) for c in interval(0, 40.0)] == [(7, False)]


def test_number_of_isolated_keys_is_bounded() -> None:
    """Guards against rows that grow with the number of warm keys."""
    hot = SpaceSaving(max_isolated=3)
    for _ in range(100):
        for key in range(10):
            hot.count(key)
    assert len(hot.changes(target_mean=100.0, seconds=1.0, now=0.0)) == 3


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
def test_load_report_survives_encoding(load: GroupLoad) -> None:
    """Guards against counts that arrive at another slice."""
    assert GroupLoad.decode(load.encode()) == load


@given(LOADS, st.binary(max_size=40), st.integers(0, 60))
def test_malformed_load_reports_are_refused(load: GroupLoad, junk: bytes, cut: int) -> None:
    """Guards against a host that fails because of a peer's bytes."""
    for data in (junk, load.encode()[:cut] + junk):
        try:
            GroupLoad.decode(data)
        except ProtocolError:
            continue


def test_load_report_is_compact() -> None:
    """Guards against heartbeats that exceed the 4 KB per second of a node."""
    load = GroupLoad(0.5, 1.7e9, (TargetLoad(3, 9, 1.0),) * 3, dict.fromkeys(range(100), 300))
    assert len(load.encode()) <= 350
