"""Counts a group's load for the planner."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from radishshunt.placement.load_report import GroupLoad, TargetLoad
from radishshunt.policy.capacity import capacity_of

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from radishshunt.clock import Clock
    from radishshunt.dispatch.lane import Lane
    from radishshunt.policy.drain import Drain
    from radishshunt.policy.stragglers import StragglerDetector


class LoadCounter:
    """Requests of each slice since the last report."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._counts: Counter[int] = Counter()
        self._since = clock.now()

    def count(self, slice_number: int | None) -> None:
        """Count a request."""
        if slice_number is not None:
            self._counts[slice_number] += 1

    def take(
        self,
        lanes: Mapping[str, Lane],
        stragglers: StragglerDetector,
        drain: Drain,
        takes_work: Callable[[str], bool],
    ) -> GroupLoad:
        """Return the load since the last call and start a new interval.

        :param lanes: Lanes of the group's targets in the order of its row.
        """
        now = self._clock.now()
        targets = tuple(
            TargetLoad(
                lane.running,
                lane.queued,
                capacity_of(name, lane.state, stragglers, drain, takes_work(name), now),
            )
            for name, lane in lanes.items()
        )
        load = GroupLoad(now - self._since, now, targets, dict(self._counts))
        self._counts.clear()
        self._since = now
        return load
