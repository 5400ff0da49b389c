"""Which keys move to which target, for services whose targets hold ranges of keys.

Load pattern: neighbouring keys become many times busier than the others for some seconds, targets
differ in speed, and targets leave, come and start cold. Ranges are cut where the measured load
says, and a piece moves only if the busiest target gains clearly.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from dataclasses import dataclass
from typing import TYPE_CHECKING

from radishshunt.gateway.model import KEYS, LAST_KEY
from radishshunt.policy.direct.overload import SHEDDING_LOAD_RATIO

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from radishshunt.gateway.model import KeyRange

# Load assumed for each key besides the measured one, so that keys without measurements are
# spread evenly; requests a second over all keys.
BASE_RATE = 20.0
# A target is relieved when its utilization is above the mean by this factor and above this value.
RELIEF_FACTOR = 1.35
RELIEF_UTILIZATION = 0.4
# A move must bring the two targets closer by this much utilization.
MIN_GAIN = 0.08
# Moves that one round starts: at least so many, and this many for each target, since a hot set of
# keys of a large service is spread over more targets. Parts in which the keys of a lost target are
# spread.
MAX_MOVES = 12
MOVES_PER_TARGET = 0.25
ORPHAN_PARTS = 4


@dataclass(slots=True)
class Holder:
    """A target as placement sees it.

    :param capacity: Requests a second that it can serve.
    :param accepts: Whether it may get further keys.
    :param keeps: Whether it may keep those that it has.
    :param limit: Requests a second that it must not exceed, for cold targets.
    """

    id: str
    capacity: float
    accepts: bool = True
    keeps: bool = True
    limit: float = float("inf")
    load: float = 0.0

    @property
    def utilization(self) -> float:
        """Load relative to the capacity."""
        return self.load / self.capacity

    def room(self, level: float) -> float:
        """Return the load that the target can take up to a utilization."""
        return max(0.0, min(level * self.capacity, self.limit) - self.load)


@dataclass(frozen=True, slots=True)
class Move:
    """Keys that go to another target."""

    first: int
    last: int
    source: str
    to: str


class Heat:
    """Measured load by key.

    :param rates: Requests a second of each key that had any.
    """

    def __init__(self, rates: dict[int, float]) -> None:
        self._keys = sorted(rates)
        self._sums = [0.0]
        for key in self._keys:
            self._sums.append(self._sums[-1] + rates[key])
        self.total = self._sums[-1] + BASE_RATE

    def load(self, first: int, last: int) -> float:
        """Return the load of the keys from ``first`` to ``last``."""
        low, high = bisect_left(self._keys, first), bisect_right(self._keys, last)
        return self._sums[high] - self._sums[low] + BASE_RATE * (last - first + 1) / KEYS

    def cut(self, first: int, last: int, load: float) -> int:
        """Return the last key of the piece at the start of a range that has about this load."""
        low, high = first, last
        while low < high:
            middle = (low + high) // 2
            if self.load(first, middle) < load:
                low = middle + 1
            else:
                high = middle
        return low


def plan_first(holders: Iterable[Holder], heat: Heat) -> list[Move]:
    """Return the owners of all keys for a service whose keys nobody holds."""
    chosen = [holder for holder in holders if holder.accepts]
    if not chosen:
        return []
    total = sum(holder.capacity for holder in chosen)
    moves: list[Move] = []
    first = 0
    for number, holder in enumerate(chosen, 1):
        last = LAST_KEY
        if number < len(chosen):
            last = min(LAST_KEY, heat.cut(first, LAST_KEY, heat.total * holder.capacity / total))
        if first > last:
            break
        moves.append(Move(first, last, "", holder.id))
        first = last + 1
    return moves


def plan_moves(
    ranges: Iterable[KeyRange], holders: dict[str, Holder], heat: Heat, *, balance: bool = True
) -> list[Move]:
    """Return the moves of one round.

    :param ranges: Ranges that are not being moved already. The loads of the holders must include
        what is moving to them.
    :param balance: Whether keys may move away from targets that can keep them.
    """
    held: dict[str, list[tuple[int, int, float]]] = {}
    orphans: list[tuple[int, int, str]] = []
    for item in ranges:
        holder = holders.get(item.target)
        if holder is None or not holder.keeps:
            orphans.append((item.first, item.last, item.target))
            continue
        load = heat.load(item.first, item.last)
        holder.load += load
        held.setdefault(item.target, []).append((item.first, item.last, load))
    moves = _place_orphans(orphans, holders, heat)
    if balance:
        moves += _relieve(held, holders, heat)
    return moves


def overloaded(
    ranges: Iterable[KeyRange], holders: Mapping[str, Holder], heat: Heat
) -> dict[str, float]:
    """Return the load of the targets that get more requests than they can serve.

    :param ranges: Ranges that are not being moved.
    :return: Offered load relative to the capacity, by target.
    """
    loads: dict[str, float] = {}
    for item in ranges:
        if item.target in holders:
            loads[item.target] = loads.get(item.target, 0.0) + heat.load(item.first, item.last)
    ratios = {name: load / holders[name].capacity for name, load in loads.items()}
    return {name: ratio for name, ratio in ratios.items() if ratio >= SHEDDING_LOAD_RATIO}


def _place_orphans(
    orphans: list[tuple[int, int, str]], holders: dict[str, Holder], heat: Heat
) -> list[Move]:
    moves: list[Move] = []
    accepting = [holder for holder in holders.values() if holder.accepts]
    if not accepting:
        return moves
    parts: dict[str, float] = {}
    for first, last, source in orphans:
        parts[source] = parts.get(source, 0.0) + heat.load(first, last) / ORPHAN_PARTS
    for first, last, source in orphans:
        while first <= last:
            # Small ranges move whole, so that losses do not leave ever more ranges behind.
            whole = heat.load(first, last) <= 1.5 * parts[source]
            end = last if whole else heat.cut(first, last, parts[source])
            load = heat.load(first, end)
            holder = min(accepting, key=lambda h: _cost(h, load))
            holder.load += load
            moves.append(Move(first, end, source, holder.id))
            first = end + 1
    return moves


def _cost(holder: Holder, load: float) -> float:
    over = max(0.0, holder.load + load - holder.limit)
    return (holder.load + load) / holder.capacity + 10.0 * over


def _relieve(
    held: dict[str, list[tuple[int, int, float]]], holders: dict[str, Holder], heat: Heat
) -> list[Move]:
    """Move pieces from the busiest targets to those with the most room."""
    moves: list[Move] = []
    mean = sum(h.load for h in holders.values()) / sum(h.capacity for h in holders.values())
    most = max(MAX_MOVES, int(MOVES_PER_TARGET * len(holders)))
    while len(moves) < most:
        sources = [h for h in holders.values() if held.get(h.id)]
        if not sources:
            break
        source = max(sources, key=lambda h: max(h.utilization, h.load / h.limit))
        busiest = max(source.utilization, source.load / source.limit)
        accepting = [h for h in holders.values() if h.accepts and h is not source]
        if busiest < max(RELIEF_UTILIZATION, RELIEF_FACTOR * mean) or not accepting:
            break
        to = max(accepting, key=lambda h: h.room(mean))
        excess = source.load - min(mean * source.capacity, source.limit)
        wanted = min(excess, max(to.room(mean), 0.25 * mean * to.capacity, 0.5))
        move = _piece(held[source.id], wanted, heat, source, to)
        if move is None:
            held.pop(source.id)
            continue
        moves.append(move)
    return moves


def _piece(
    ranges: list[tuple[int, int, float]], wanted: float, heat: Heat, source: Holder, to: Holder
) -> Move | None:
    """Take a piece of about the wanted load from a target's busiest range."""
    at = max(range(len(ranges)), key=lambda i: ranges[i][2])
    first, last, load = ranges[at]
    before = max(source.utilization, to.utilization)

    def gain(end: int) -> float:
        moved = heat.load(first, end)
        if to.load + moved > to.limit:
            return float("-inf")
        left = (source.load - moved) / source.capacity
        return before - max(left, (to.load + moved) / to.capacity)

    if load <= wanted * 1.25 or first == last:
        end = last
    else:
        end = heat.cut(first, last, wanted)
        # The last key of the piece alone may be far more than wanted, but if it is the hot one, a
        # piece without it gains nothing.
        if end > first:
            end = max(end, end - 1, key=gain)
    if gain(end) < MIN_GAIN:
        return None
    piece = heat.load(first, end)
    source.load -= piece
    to.load += piece
    if end == last:
        ranges.pop(at)
    else:
        ranges[at] = (end + 1, last, load - piece)
    return Move(first, end, source.id, to.id)
