"""Placement of key ranges on targets by measured load.

Load pattern: neighbouring keys become many times busier than the others for some seconds, targets
differ in speed, and targets leave, join and start cold. Ranges are split by measured load, and a
piece moves only if that clearly lowers the higher utilization of the two targets. One key alone may
be asked for more than any target can serve.
"""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right
from dataclasses import dataclass
from typing import TYPE_CHECKING

from radishshunt.gateway.model import KEY_COUNT, LAST_KEY
from radishshunt.policy.direct.overload import ADMITTED_LOAD_RATIO, SHEDDING_LOAD_RATIO

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from radishshunt.gateway.model import KeyRange

# Load that is assumed in addition to the measured one, so that keys without measurements are spread
# evenly; requests per second over all keys.
BASE_REQUESTS_PER_SECOND = 20.0
# Keys move away from a target whose utilization exceeds both this multiple of the mean and this
# value.
RELIEF_FACTOR = 1.35
RELIEF_UTILIZATION = 0.4
# Time constant of the measured request rates: short compared with the seconds for which keys stay
# busy.
RATE_WINDOW_SECONDS = 1.5
# A wide piece moves away from a target only if its load exceeds the limit by more than this many
# standard deviations of the measurement. Slow targets get so few requests in the time window that
# chance alone makes one of them seem overloaded in each round.
CERTAINTY_DEVIATIONS = 1.25
# A piece of at most this share of a target's mean number of keys is not wide.
NARROW_SHARE = 0.125
# A move must lower the higher utilization of its two targets by at least this much.
MIN_UTILIZATION_GAIN = 0.08
# A key that alone exceeds the capacity of its next owner moves only if that lowers the utilization
# by this share. The measured speed of an overloaded target varies by a few percent, and each move
# of such a key interrupts its service.
MIN_OVERLOAD_GAIN_SHARE = 0.25
# Limit of the moves that one round starts: the larger of a fixed number and a number per target,
# because the hot keys of a large service are spread over more targets.
MIN_MOVE_LIMIT = 12
MOVES_PER_TARGET = 0.25
# Pieces into which the keys of a lost target are split.
LOST_TARGET_PIECES = 4


@dataclass(slots=True)
class RangeTarget:
    """A target that can own key ranges.

    :param capacity: Requests per second that the target can serve.
    :param accepts_keys: Whether it may receive further keys.
    :param keeps_keys: Whether it may keep the keys that it owns.
    :param load_limit: Requests per second that a cold target must not exceed.
    :param named_limit: Whether the capacity is that which the target has named. Hosts keep to it
        without the load being known.
    :param cold_limit: Requests per second of all hosts from which they shed load, as a cold target
        fails beyond it.
    :param load: Requests per second for the keys that it owns or receives.
    """

    id: str
    capacity: float
    accepts_keys: bool = True
    keeps_keys: bool = True
    load_limit: float = float("inf")
    named_limit: bool = False
    cold_limit: float = float("inf")
    load: float = 0.0

    @property
    def utilization(self) -> float:
        """Load relative to the capacity."""
        return self.load / self.capacity

    @property
    def certain_utilization(self) -> float:
        """Utilization that the measured load exceeds, leaving the deviation by chance aside."""
        deviation = math.sqrt(self.load / (2 * RATE_WINDOW_SECONDS))
        return max(0.0, self.load - CERTAINTY_DEVIATIONS * deviation) / self.capacity

    def spare_load(self, max_utilization: float) -> float:
        """Return the load that can be added until the target reaches a utilization or its limit."""
        return max(0.0, min(max_utilization * self.capacity, self.load_limit) - self.load)


@dataclass(frozen=True, slots=True)
class KeyRangeMove:
    """Assignment of the keys from ``first`` to ``last``, both included, to a target.

    :param source: Target that owned the keys before, empty if none did.
    :param to: Target that gets the keys.
    """

    first: int
    last: int
    source: str
    to: str


class KeyRates:
    """Request rates of the keys, including the assumed base load.

    :param rates: Measured requests per second of each key that had any.
    :ivar total: Requests per second over all keys.
    """

    def __init__(self, rates: dict[int, float]) -> None:
        self._keys = sorted(rates)
        self._cumulative_rates = [0.0]
        for key in self._keys:
            self._cumulative_rates.append(self._cumulative_rates[-1] + rates[key])
        self.total = self._cumulative_rates[-1] + BASE_REQUESTS_PER_SECOND

    def load(self, first: int, last: int) -> float:
        """Return the requests per second of the keys from ``first`` to ``last``, both included."""
        low, high = bisect_left(self._keys, first), bisect_right(self._keys, last)
        return (
            self._cumulative_rates[high]
            - self._cumulative_rates[low]
            + BASE_REQUESTS_PER_SECOND * (last - first + 1) / KEY_COUNT
        )

    def split_key(self, first: int, last: int, load: float) -> int:
        """Return the last key of the shortest piece at the start of a range with at least a load.

        It is the last key of the range if the whole range has less load.
        """
        low, high = first, last
        while low < high:
            middle = (low + high) // 2
            if self.load(first, middle) < load:
                low = middle + 1
            else:
                high = middle
        return low

    def split_key_from_end(self, first: int, last: int, load: float) -> int:
        """Return the first key of the shortest piece at the end of a range with at least a load.

        It is the first key of the range if the whole range has less load.
        """
        low, high = first, last
        while low < high:
            middle = (low + high + 1) // 2
            if self.load(middle, last) < load:
                high = middle - 1
            else:
                low = middle
        return low


def plan_initial_moves(targets: Iterable[RangeTarget], key_rates: KeyRates) -> list[KeyRangeMove]:
    """Return the initial assignment of all keys of a service whose keys have no owner.

    Each accepting target gets a range in proportion to its capacity.
    """
    accepting = [target for target in targets if target.accepts_keys]
    if not accepting:
        return []
    total_capacity = sum(target.capacity for target in accepting)
    moves: list[KeyRangeMove] = []
    first = 0
    for number, target in enumerate(accepting, 1):
        last = LAST_KEY
        if number < len(accepting):
            last = min(
                LAST_KEY,
                key_rates.split_key(
                    first, LAST_KEY, key_rates.total * target.capacity / total_capacity
                ),
            )
        if first > last:
            break
        moves.append(KeyRangeMove(first, last, "", target.id))
        first = last + 1
    return moves


def plan_moves(
    ranges: Iterable[KeyRange],
    targets: dict[str, RangeTarget],
    key_rates: KeyRates,
    *,
    balance: bool = True,
) -> list[KeyRangeMove]:
    """Return the moves of one round and add their load to the targets.

    :param ranges: Ranges that are not being moved already.
    :param targets: Targets by name; their load must include that of the keys which are moving to
        them.
    :param balance: Whether keys may move away from targets that can keep them.
    """
    owned: dict[str, list[tuple[int, int, float]]] = {}
    orphans: list[tuple[int, int, str]] = []
    for item in ranges:
        target = targets.get(item.target)
        if target is None or not target.keeps_keys:
            orphans.append((item.first, item.last, item.target))
            continue
        load = key_rates.load(item.first, item.last)
        target.load += load
        owned.setdefault(item.target, []).append((item.first, item.last, load))
    moves = _place_orphans(orphans, targets, key_rates)
    if balance:
        moves += _balance(owned, targets, key_rates)
    return moves


def overload_ratios(
    ranges: Iterable[KeyRange], targets: Mapping[str, RangeTarget], key_rates: KeyRates
) -> dict[str, float]:
    """Return the targets whose offered load is so high that hosts must shed requests.

    :param ranges: Ranges that are not being moved.
    :return: Ratio of offered load to capacity by target.
    """
    loads: dict[str, float] = {}
    for item in ranges:
        if item.target in targets and not targets[item.target].named_limit:
            loads[item.target] = loads.get(item.target, 0.0) + key_rates.load(item.first, item.last)
    ratios = {name: _load_ratio(targets[name], load) for name, load in loads.items()}
    return {name: ratio for name, ratio in ratios.items() if ratio >= SHEDDING_LOAD_RATIO}


def _load_ratio(target: RangeTarget, load: float) -> float:
    """Return a load relative to the capacity, or so that hosts admit a cold target's limit."""
    ratio = load / target.capacity
    if load > target.cold_limit:
        ratio = max(ratio, SHEDDING_LOAD_RATIO, ADMITTED_LOAD_RATIO * load / target.cold_limit)
    return ratio


def _place_orphans(
    orphans: list[tuple[int, int, str]], targets: dict[str, RangeTarget], key_rates: KeyRates
) -> list[KeyRangeMove]:
    """Move ranges whose target cannot keep them to accepting targets, in pieces if they are large.

    :param orphans: First key, last key and former target of each range.
    """
    moves: list[KeyRangeMove] = []
    accepting = [target for target in targets.values() if target.accepts_keys]
    if not accepting:
        return moves
    piece_loads: dict[str, float] = {}
    for first, last, source in orphans:
        piece_loads[source] = (
            piece_loads.get(source, 0.0) + key_rates.load(first, last) / LOST_TARGET_PIECES
        )
    for first, last, source in orphans:
        while first <= last:
            # Small ranges are not split, so that the number of ranges does not grow with each loss.
            whole = key_rates.load(first, last) <= 1.5 * piece_loads[source]
            end = last if whole else key_rates.split_key(first, last, piece_loads[source])
            load = key_rates.load(first, end)
            target = min(accepting, key=lambda h: _placement_cost(h, load))
            target.load += load
            moves.append(KeyRangeMove(first, end, source, target.id))
            first = end + 1
    return moves


def _placement_cost(target: RangeTarget, load: float) -> float:
    """Return the utilization with an added load, plus a penalty if it exceeds the limit."""
    excess = max(0.0, target.load + load - target.load_limit)
    return (target.load + load) / target.capacity + 10.0 * excess


def _balance(
    owned: dict[str, list[tuple[int, int, float]]],
    targets: dict[str, RangeTarget],
    key_rates: KeyRates,
) -> list[KeyRangeMove]:
    """Move pieces from the busiest targets to those with the most spare load.

    :param owned: First key, last key and load of each range by target; updated.
    """
    moves: list[KeyRangeMove] = []
    if not targets:
        return moves
    mean = sum(h.load for h in targets.values()) / sum(h.capacity for h in targets.values())
    move_limit = max(MIN_MOVE_LIMIT, int(MOVES_PER_TARGET * len(targets)))
    while len(moves) < move_limit:
        sources = [h for h in targets.values() if owned.get(h.id)]
        if not sources:
            break
        source = max(sources, key=lambda h: max(h.utilization, h.load / h.load_limit))
        source_load_ratio = max(source.utilization, source.load / source.load_limit)
        relief_ratio = max(RELIEF_UTILIZATION, RELIEF_FACTOR * mean)
        accepting = [h for h in targets.values() if h.accepts_keys and h is not source]
        if source_load_ratio < relief_ratio or not accepting:
            break
        to = max(accepting, key=lambda h: h.spare_load(mean))
        excess = source.load - min(mean * source.capacity, source.load_limit)
        wanted_load = min(excess, max(to.spare_load(mean), 0.25 * mean * to.capacity, 0.5))
        certain = max(source.certain_utilization, source.load / source.load_limit) >= relief_ratio
        max_keys = KEY_COUNT if certain else int(NARROW_SHARE * KEY_COUNT / len(targets))
        move = _move_piece(owned[source.id], wanted_load, max_keys, key_rates, source, to)
        if move is None:
            owned.pop(source.id)
            continue
        moves.append(move)
    return moves


def _move_piece(
    ranges: list[tuple[int, int, float]],
    wanted_load: float,
    max_keys: int,
    key_rates: KeyRates,
    source: RangeTarget,
    to: RangeTarget,
) -> KeyRangeMove | None:
    """Move a piece of about the wanted load from a target's busiest range, if that gains enough.

    :param max_keys: Maximum number of keys to move.
    """
    index = max(range(len(ranges)), key=lambda i: ranges[i][2])
    first, last, load = ranges[index]
    utilization_before = max(source.utilization, to.utilization)

    def gain(piece: tuple[int, int]) -> float:
        moved_load = key_rates.load(*piece)
        if to.load + moved_load > to.load_limit:
            return float("-inf")
        source_utilization = (source.load - moved_load) / source.capacity
        gained = utilization_before - max(source_utilization, (to.load + moved_load) / to.capacity)
        one_key = piece[0] == piece[1]
        if (
            one_key
            and moved_load > to.capacity
            and gained < MIN_OVERLOAD_GAIN_SHARE * utilization_before
        ):
            return float("-inf")
        return gained

    pieces = [(first, last)]
    if load > wanted_load * 1.25 and first != last:
        end = key_rates.split_key(first, last, wanted_load)
        start = key_rates.split_key_from_end(first, last, wanted_load)
        # The inner key of a piece alone may exceed the wanted load by far. But if it is the hot
        # key, a piece without it gains nothing.
        pieces = [
            max(((first, end), (first, max(first, end - 1))), key=gain),
            max(((start, last), (min(last, start + 1), last)), key=gain),
        ]
    pieces = [
        piece
        for piece in pieces
        if piece[1] - piece[0] < max_keys and gain(piece) >= MIN_UTILIZATION_GAIN
    ]
    if not pieces:
        return None
    # Moves are paid by the number of keys.
    start, end = min(pieces, key=lambda piece: piece[1] - piece[0])
    piece_load = key_rates.load(start, end)
    source.load -= piece_load
    to.load += piece_load
    if (start, end) == (first, last):
        ranges.pop(index)
    elif start == first:
        ranges[index] = (end + 1, last, load - piece_load)
    else:
        ranges[index] = (first, start - 1, load - piece_load)
    return KeyRangeMove(start, end, source.id, to.id)
