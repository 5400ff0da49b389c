"""Moves of key ranges under load patterns."""

from __future__ import annotations

from itertools import groupby

import pytest

from radishshunt.gateway.model import LAST_KEY, KeyRange
from radishshunt.placement.key_ranges import Heat, Holder, Move, plan_first, plan_moves

TARGETS = [f"t{number}" for number in range(12)]
CAPACITY = 25.0


def _holders(**limits: float) -> dict[str, Holder]:
    return {name: Holder(name, CAPACITY, limit=limits.get(name, float("inf"))) for name in TARGETS}


def _even_ranges() -> list[KeyRange]:
    moves = plan_first(_holders().values(), Heat({}))
    return [KeyRange(m.first, m.last, m.to, 1, 1) for m in moves]


def _carry_out(ranges: list[KeyRange], moves: list[Move]) -> list[KeyRange]:
    owner = [""] * (LAST_KEY + 1)
    for item in [*ranges, *moves]:
        name = item.to if isinstance(item, Move) else item.target
        owner[item.first : item.last + 1] = [name] * (item.last - item.first + 1)
    result: list[KeyRange] = []
    for name, keys in groupby(owner):
        first = result[-1].last + 1 if result else 0
        result.append(KeyRange(first, first + len(list(keys)) - 1, name, 1, 1))
    return result


def _busiest(ranges: list[KeyRange], heat: Heat) -> float:
    loads = dict.fromkeys(TARGETS, 0.0)
    for item in ranges:
        loads[item.target] += heat.load(item.first, item.last)
    return max(loads.values()) / (sum(loads.values()) / len(loads))


def _replay(ranges: list[KeyRange], heat: Heat, rounds: int, *, balance: bool) -> list[KeyRange]:
    for _ in range(rounds):
        ranges = _carry_out(ranges, plan_moves(ranges, _holders(), heat, balance=balance))
    return ranges


def _hot(first: int, keys: int) -> Heat:
    """Return 150 requests a second, 0.4 of them for neighbouring keys."""
    rates = dict.fromkeys(range(0, LAST_KEY, LAST_KEY // 1000), 90.0 / 1000)
    rates.update({first + key: 60.0 / keys for key in range(keys)})
    return Heat(rates)


def test_first_division_covers_all_keys_evenly() -> None:
    """Guards against gaps, and targets without keys, at the first start."""
    ranges = _even_ranges()
    assert ranges[0].first == 0
    assert ranges[-1].last == LAST_KEY
    assert {item.target for item in ranges} == set(TARGETS)
    assert _busiest(ranges, Heat({})) < 1.01


def test_hot_neighbouring_keys_are_spread() -> None:
    """Guards against one target that gets most of the traffic while the others idle."""
    heat = _hot(30_000, 60)
    assert _busiest(_replay(_even_ranges(), heat, 4, balance=False), heat) > 4
    assert _busiest(_replay(_even_ranges(), heat, 4, balance=True), heat) < 1.6


def test_hot_keys_that_move_are_spread_again() -> None:
    """Guards against ranges cut for keys that are no longer hot."""
    ranges = _replay(_even_ranges(), _hot(30_000, 60), 4, balance=True)
    heat = _hot(5_000, 200)
    assert _busiest(_replay(ranges, heat, 4, balance=True), heat) < 1.6


@pytest.mark.parametrize("keys", [60, 200])
def test_hot_keys_of_a_large_service_are_spread_within_a_second(
    keys: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against single keys that are hotter than the room of any target, which ended the
    moves, and against too few moves a round; a round takes 0.2 s."""
    monkeypatch.setitem(globals(), "TARGETS", [f"t{number}" for number in range(157)])
    monkeypatch.setitem(globals(), "CAPACITY", 15.0)
    rates = dict.fromkeys(range(0, LAST_KEY, 33), 640.0 / 2000)
    rates.update({30_000 + key: 360.0 / keys for key in range(keys)})
    heat = Heat(rates)
    assert _busiest(_replay(_even_ranges(), heat, 5, balance=False), heat) > 20
    assert _busiest(_replay(_even_ranges(), heat, 5, balance=True), heat) < 2.0


def test_even_load_moves_nothing() -> None:
    """Guards against moves that cost more than they gain."""
    rates = dict.fromkeys(range(0, LAST_KEY, LAST_KEY // 1000), 0.15)
    assert plan_moves(_even_ranges(), _holders(), Heat(rates)) == []


def test_keys_of_a_lost_target_are_spread_over_several() -> None:
    """Guards against a neighbour that is overloaded by all keys of a lost target."""
    holders = _holders()
    del holders["t3"]
    moves = plan_moves(_even_ranges(), holders, Heat({}))
    assert {move.source for move in moves} == {"t3"}
    assert len({move.to for move in moves}) >= 3


def test_cold_target_gets_no_more_than_its_limit() -> None:
    """Guards against a cold target that crashes under its keys."""
    holders = _holders(t1=3.5)
    ranges = [item for item in _even_ranges() if item.target != "t1"]
    moves = plan_moves(ranges, holders, _hot(30_000, 60))
    assert holders["t1"].load <= 3.5
    assert any(move.to == "t1" for move in moves) or holders["t1"].load == 0
