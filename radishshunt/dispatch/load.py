"""Measures a group's load for the planner."""

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
    """Counts the requests of each slice since the last report."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._request_counts: Counter[int] = Counter()
        self._interval_start = clock.now()

    def count(self, slice_number: int | None) -> None:
        """Count a request; ignored for services without keys."""
        if slice_number is not None:
            self._request_counts[slice_number] += 1

    def collect(
        self,
        lanes: Mapping[str, Lane],
        stragglers: StragglerDetector,
        drain: Drain,
        takes_work: Callable[[str], bool],
    ) -> GroupLoad:
        """Return the load since the last call and start a new interval.

        :param lanes: Lanes of the group's targets by name, in the order of the row.
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
        load = GroupLoad(now - self._interval_start, now, targets, dict(self._request_counts))
        self._request_counts.clear()
        self._interval_start = now
        return load
