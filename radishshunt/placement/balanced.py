"""Balance the measured load of the targets with few moves of slices."""

from __future__ import annotations

from collections import defaultdict
from math import sqrt
from typing import TYPE_CHECKING

from radishshunt.placement import Move, Placement

if TYPE_CHECKING:
    from radishshunt.placement import PlacementTarget, PlacementView

# Utilisation relative to the mean above which slices move away from a target.
IMBALANCE_LIMIT = 1.08
# Utilisation relative to the mean up to which a target receives slices. With lower values, large
# slices fit on no target, and many small ones move instead.
FILL_LIMIT = 1.08
# Imbalance that is ignored as noise, in standard deviations of the counted requests.
NOISE_DEVIATIONS = 1.5
# Time for which a moved slice does not move again, unless its owner takes no work.
STAY_SECONDS = 5.0
# Maximum number of unforced moves in one round. The keys of a moved slice wait for one fence, one
# write and one grant.
MOVES_PER_ROUND = 64
# Busy share of a standby's slots up to which it receives slices while the platform's table is down.
MAX_STANDBY_UTILISATION = 0.9
# Largest slice, relative to a target's mean load, on a target that may receive a hot slice and
# give up its own slices afterwards.
MAX_DISPLACED_SLICE_SHARE = 0.25
# Gain in utilisation, relative to the mean, for which a slice moves to another group. A move within
# a group writes one row instead of two.
GROUP_PREFERENCE = 0.03


class BalancedPlacement(Placement):
    """Moves the largest slices that fit away from the most loaded targets.

    Moving large slices first keeps the number of moves close to the minimum.
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
        if not any(target.capacity > 0 for target in view.targets):
            return []
        state = _PlannedState(view, self._group_preference)
        result = self._evacuate(view, state)
        if state.mean_load <= 0:
            return result
        noise = self._noise_deviations / sqrt(max(view.sample_requests, 1.0))
        limit = max(self._imbalance_limit, 1.0 + noise) * state.mean_load
        fill_limit = self._fill_limit * state.mean_load
        movable = {
            slice_number
            for slice_number in view.owners
            if view.now - view.moved_at.get(slice_number, float("-inf")) >= self._stay_seconds
        }
        exhausted: set[str] = set()
        for _ in range(self._moves_per_round):
            move = self._next_move(state, limit, fill_limit, movable, exhausted)
            if move is None:
                break
            result.append(move)
        return result

    def _evacuate(self, view: PlacementView, state: _PlannedState) -> list[Move]:
        """Move all slices away from targets that take no work, the largest first."""
        evacuated_slices = [
            slice_number
            for slice_number, owner in view.owners.items()
            if state.capacity(owner) <= 0
        ]
        result = []
        for slice_number in sorted(evacuated_slices, key=lambda n: (-state.load(n), n)):
            to = state.best_receiver(slice_number, float("inf"))
            if to is not None:
                result.append(state.move(slice_number, to, forced=True))
        return result

    def _next_move(
        self,
        state: _PlannedState,
        limit: float,
        fill_limit: float,
        movable: set[int],
        exhausted: set[str],
    ) -> Move | None:
        """Return a move away from the most loaded target that can give up a slice.

        :param limit: Scaled load above which slices move away from a target.
        :param fill_limit: Scaled load up to which a target receives slices.
        :param movable: Slices that have not moved recently.
        :param exhausted: Targets whose slices fit on no other target; extended by the call.
        """
        while True:
            source = state.most_loaded(exhausted)
            if source is None or state.scaled_load[source] <= limit:
                return None
            excess = (state.scaled_load[source] - state.mean_load) * state.capacity(source)
            candidates = [n for n in state.owned[source] if n in movable and state.load(n) > 0]
            candidates.sort(key=lambda n: (state.load(n) > excess * 1.1, -state.load(n), n))
            for slice_number in candidates:
                if slice_number in state.moved:
                    continue
                # A slice that is larger than the excess may only move to a target that ends up
                # less loaded than the source is now.
                max_scaled_load = (
                    fill_limit
                    if state.load(slice_number) <= excess * 1.1
                    else state.scaled_load[source] * 0.95
                )
                to = state.best_receiver(slice_number, max_scaled_load)
                if to is not None:
                    return state.move(slice_number, to, forced=False)
            exhausted.add(source)
            move = self._displacing_move(state, source, candidates, limit, movable)
            if move is not None:
                return move

    def _displacing_move(
        self,
        state: _PlannedState,
        source: str,
        candidates: list[int],
        limit: float,
        movable: set[int],
    ) -> Move | None:
        """Move a hot slice to a target without hot slices, whose other slices move away next.

        Without this, two hot slices on one target stay together: no other target has room for
        either of them until its own small slices have moved.
        """
        for slice_number in sorted(candidates, key=lambda n: (state.load(n), n)):
            if slice_number in state.moved or state.load(slice_number) >= state.mean_load:
                continue
            to = state.receiver_for_hot_slice(slice_number, limit, movable)
            if to is not None:
                return state.move(slice_number, to, forced=False)
        return None


class _PlannedState:
    """Owners of the slices and load of the targets after the moves chosen so far.

    :ivar moved: Slices that have been moved in this round.
    :ivar owned: Slices of each target.
    :ivar mean_load: Total load divided by the total capacity.
    :ivar scaled_load: Load of each usable target divided by its capacity.
    """

    def __init__(self, view: PlacementView, group_preference: float) -> None:
        self._load = view.load
        self._standbys = view.standbys
        self._standbys_only = view.standbys_only
        self._targets: dict[str, PlacementTarget] = {target.name: target for target in view.targets}
        self._usable = [target for target in view.targets if target.capacity > 0]
        self._owner = dict(view.owners)
        self.moved: set[int] = set()
        self.owned: dict[str, set[int]] = defaultdict(set)
        for slice_number, owner in view.owners.items():
            self.owned[owner].add(slice_number)
        capacity = sum(target.capacity for target in self._usable)
        self.mean_load = sum(view.load.get(n, 0.0) for n in view.owners) / capacity
        self._group_preference = group_preference * self.mean_load
        self._max_standby_load = (
            self.mean_load * MAX_STANDBY_UTILISATION / max(view.utilisation, 0.01)
        )
        self.scaled_load = {
            target.name: sum(self.load(n) for n in self.owned[target.name]) / target.capacity
            for target in self._usable
        }

    def load(self, slice_number: int) -> float:
        return self._load.get(slice_number, 0.0)

    def capacity(self, name: str) -> float:
        target = self._targets.get(name)
        return target.capacity if target is not None else 0.0

    def most_loaded(self, skipped: set[str]) -> str | None:
        names = [name for name in self.scaled_load if name not in skipped]
        return max(names, key=lambda name: (self.scaled_load[name], name), default=None)

    def best_receiver(self, slice_number: int, max_scaled_load: float) -> str | None:
        """Return the target that a slice should move to, or ``None`` if it fits on none.

        The standby is preferred at similar load, because the slice then needs no new pair of
        targets.

        :param max_scaled_load: Scaled load that the receiving target may reach.
        """
        standby = self._standbys.get(slice_number)
        if self._standbys_only:
            # The standby is the only choice, so a higher load is accepted. The standby must not be
            # overloaded, because the move cannot be undone before the table is up again.
            source_scaled_load = self.scaled_load.get(self._owner[slice_number], float("inf"))
            max_scaled_load = max(
                max_scaled_load, min(0.95 * source_scaled_load, self._max_standby_load)
            )
        owner = self._targets.get(self._owner[slice_number])
        group = owner.group if owner is not None else -1
        best, best_score = None, float("inf")
        for target in self._usable:
            if target.name == self._owner[slice_number]:
                continue
            if self._standbys_only and target.name != standby:
                continue
            score = self.scaled_load[target.name] + self.load(slice_number) / target.capacity
            if score > max_scaled_load:
                continue
            if target.name == standby:
                score -= 2 * self._group_preference
            elif target.group == group:
                score -= self._group_preference
            if score < best_score:
                best, best_score = target.name, score
        return best

    def receiver_for_hot_slice(
        self, slice_number: int, limit: float, movable: set[int]
    ) -> str | None:
        """Return the least loaded target that can give up slices for a hot one.

        The hot slice must be within the limit both together with the target's largest slice and
        together with all slices of the target that cannot move.
        """
        best = None
        for target in [] if self._standbys_only else self._usable:
            if target.capacity < 1.0 or target.name == self._owner[slice_number]:
                continue
            largest = max((self.load(n) for n in self.owned[target.name]), default=0.0)
            if (
                largest > MAX_DISPLACED_SLICE_SHARE * self.mean_load
                or largest + self.load(slice_number) > limit
            ):
                continue
            unmovable_load = sum(
                self.load(n) for n in self.owned[target.name] if n not in movable or n in self.moved
            )
            if unmovable_load + self.load(slice_number) > limit:
                continue
            if best is None or self.scaled_load[target.name] < self.scaled_load[best]:
                best = target.name
        return best

    def move(self, slice_number: int, to: str, *, forced: bool) -> Move:
        """Apply a move to the planned state and return it."""
        source = self._owner[slice_number]
        load = self.load(slice_number)
        self.owned[source].discard(slice_number)
        if source in self.scaled_load:
            self.scaled_load[source] -= load / self.capacity(source)
        self.owned[to].add(slice_number)
        self.scaled_load[to] += load / self.capacity(to)
        self._owner[slice_number] = to
        self.moved.add(slice_number)
        return Move(slice_number, source, to, forced=forced)
