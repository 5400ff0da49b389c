"""Move few slices, and only as far as measured load asks for."""

from __future__ import annotations

from collections import defaultdict
from math import sqrt
from typing import TYPE_CHECKING

from radishshunt.placement import Move, Placement

if TYPE_CHECKING:
    from radishshunt.placement import Place, PlacementView

# Utilisation relative to the mean from which a target gives slices away.
IMBALANCE_LIMIT = 1.08
# Utilisation relative to the mean up to which a target is filled. Lower values leave no room for
# large slices, so that many small ones move in their place.
FILL_LIMIT = 1.08
# Standard deviations of the counted requests that a difference must exceed.
NOISE_DEVIATIONS = 1.5
# A slice that has moved stays for this long, unless its owner takes no work.
STAY_SECONDS = 5.0
# Unforced moves in one round. Each makes its keys wait for one fence, one write and one grant.
MOVES_PER_ROUND = 64
# Busy share of its slots up to which a standby takes slices over while the table is down.
AGREED_UTILISATION = 0.9
# Largest slice, relative to a target's mean load, of a target that can make room for a hot one.
ROOM_SHARE = 0.25
# Difference between two targets' utilisation, relative to the mean, that a slice changes its
# group for. A move within a group writes one row instead of two.
GROUP_PREFERENCE = 0.03


class Balanced(Placement):
    """Takes the largest slices that fit from the most used targets.

    Taking large slices first keeps the number of moves near the least possible.
    """

    def __init__(
        self,
        imbalance_limit: float = IMBALANCE_LIMIT,
        fill_limit: float = FILL_LIMIT,
        noise_deviations: float = NOISE_DEVIATIONS,
        stay_seconds: float = STAY_SECONDS,
        moves_per_round: int = MOVES_PER_ROUND,
        group_preference: float = GROUP_PREFERENCE,
    ) -> None:
        self._imbalance_limit = imbalance_limit
        self._fill_limit = fill_limit
        self._noise_deviations = noise_deviations
        self._stay_seconds = stay_seconds
        self._moves_per_round = moves_per_round
        self._group_preference = group_preference

    def moves(self, view: PlacementView) -> list[Move]:
        if not any(place.capacity > 0 for place in view.places):
            return []
        state = _State(view, self._group_preference)
        result = self._evacuate(view, state)
        if state.mean <= 0:
            return result
        noise = self._noise_deviations / sqrt(max(view.counted, 1.0))
        limit = max(self._imbalance_limit, 1.0 + noise) * state.mean
        fill = self._fill_limit * state.mean
        settled = {
            number
            for number in view.owners
            if view.now - view.moved_at.get(number, float("-inf")) >= self._stay_seconds
        }
        full: set[str] = set()
        for _ in range(self._moves_per_round):
            move = self._relieve(state, limit, fill, settled, full)
            if move is None:
                break
            result.append(move)
        return result

    def _evacuate(self, view: PlacementView, state: _State) -> list[Move]:
        """Move everything from targets that take no work, large slices first."""
        numbers = [number for number, owner in view.owners.items() if state.capacity(owner) <= 0]
        result = []
        for number in sorted(numbers, key=lambda n: (-state.load(n), n)):
            to = state.receiver(number, float("inf"))
            if to is not None:
                result.append(state.move(number, to, forced=True))
        return result

    def _relieve(
        self, state: _State, limit: float, fill: float, settled: set[int], full: set[str]
    ) -> Move | None:
        """Return a move away from the most used target that can be relieved."""
        while True:
            source = state.most_used(full)
            if source is None or state.used[source] <= limit:
                return None
            excess = (state.used[source] - state.mean) * state.capacity(source)
            candidates = [n for n in state.owned[source] if n in settled and state.load(n) > 0]
            candidates.sort(key=lambda n: (state.load(n) > excess * 1.1, -state.load(n), n))
            for number in candidates:
                if number in state.moved:
                    continue
                # A slice that is larger than the excess may only go where it ends up less used.
                bound = fill if state.load(number) <= excess * 1.1 else state.used[source] * 0.95
                to = state.receiver(number, bound)
                if to is not None:
                    return state.move(number, to, forced=False)
            full.add(source)
            move = self._make_room(state, source, candidates, limit, settled)
            if move is not None:
                return move

    def _make_room(
        self,
        state: _State,
        source: str,
        candidates: list[int],
        limit: float,
        settled: set[int],
    ) -> Move | None:
        """Move a hot slice to a target without hot slices, which is relieved of others next.

        Without this, two hot slices on one target stay together: no other target has room for
        either while its own small slices are in place.
        """
        for number in sorted(candidates, key=lambda n: (state.load(n), n)):
            if number in state.moved or state.load(number) >= state.mean:
                continue
            to = state.roomiest(number, limit, settled)
            if to is not None:
                return state.move(number, to, forced=False)
        return None


class _State:
    """Loads as they will be after the moves chosen so far."""

    def __init__(self, view: PlacementView, group_preference: float) -> None:
        self._load = view.load
        self._standbys = view.standbys
        self._agreed_only = view.agreed_only
        self._places: dict[str, Place] = {place.name: place for place in view.places}
        self._usable = [place for place in view.places if place.capacity > 0]
        self._owner = dict(view.owners)
        self.moved: set[int] = set()
        self.owned: dict[str, set[int]] = defaultdict(set)
        for number, owner in view.owners.items():
            self.owned[owner].add(number)
        capacity = sum(place.capacity for place in self._usable)
        self.mean = sum(view.load.get(n, 0.0) for n in view.owners) / capacity
        self._preference = group_preference * self.mean
        self._agreed_bound = self.mean * AGREED_UTILISATION / max(view.utilisation, 0.01)
        self.used = {
            place.name: sum(self.load(n) for n in self.owned[place.name]) / place.capacity
            for place in self._usable
        }

    def load(self, number: int) -> float:
        return self._load.get(number, 0.0)

    def capacity(self, name: str) -> float:
        place = self._places.get(name)
        return place.capacity if place is not None else 0.0

    def most_used(self, skipped: set[str]) -> str | None:
        names = [name for name in self.used if name not in skipped]
        return max(names, key=lambda name: (self.used[name], name), default=None)

    def receiver(self, number: int, bound: float) -> str | None:
        """Return the target that a slice fits best, or ``None`` if it fits none.

        The standby is preferred at equal use, because it needs no new pair of targets.

        :param bound: Use that the receiving target may reach.
        """
        standby = self._standbys.get(number)
        if self._agreed_only:
            # The only choice need not be a good one, but a move can't be taken back before the
            # table is up, so it must not overload the standby either.
            source_use = self.used.get(self._owner[number], float("inf"))
            bound = max(bound, min(0.95 * source_use, self._agreed_bound))
        owner = self._places.get(self._owner[number])
        group = owner.group if owner is not None else -1
        best, best_use = None, float("inf")
        for place in self._usable:
            if place.name == self._owner[number]:
                continue
            if self._agreed_only and place.name != standby:
                continue
            after = self.used[place.name] + self.load(number) / place.capacity
            if after > bound:
                continue
            if place.name == standby:
                after -= 2 * self._preference
            elif place.group == group:
                after -= self._preference
            if after < best_use:
                best, best_use = place.name, after
        return best

    def roomiest(self, number: int, limit: float, settled: set[int]) -> str | None:
        """Return the least used target whose largest slice fits beside this one.

        Its slices that may move must be enough to bring it back under the limit.
        """
        best = None
        for place in [] if self._agreed_only else self._usable:
            if place.capacity < 1.0 or place.name == self._owner[number]:
                continue
            largest = max((self.load(n) for n in self.owned[place.name]), default=0.0)
            if largest > ROOM_SHARE * self.mean or largest + self.load(number) > limit:
                continue
            staying = sum(
                self.load(n) for n in self.owned[place.name] if n not in settled or n in self.moved
            )
            if staying + self.load(number) > limit:
                continue
            if best is None or self.used[place.name] < self.used[best]:
                best = place.name
        return best

    def move(self, number: int, to: str, *, forced: bool) -> Move:
        source = self._owner[number]
        load = self.load(number)
        self.owned[source].discard(number)
        if source in self.used:
            self.used[source] -= load / self.capacity(source)
        self.owned[to].add(number)
        self.used[to] += load / self.capacity(to)
        self._owner[number] = to
        self.moved.add(number)
        return Move(number, source, to, forced=forced)
