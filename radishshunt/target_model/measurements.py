"""Work times that this host has measured since its last report."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from radishshunt.policy.target_speed import RouteWorkTimes

if TYPE_CHECKING:
    from collections.abc import Container


# Answers of a target that are kept until the work time of their routes is known.
MAX_KEPT_ANSWERS = 32


@dataclass(slots=True)
class _Measured:
    """Answers of a target since the last report.

    :ivar seconds: Sum of their work times.
    :ivar kept: Route, service and logarithm of the work time of those whose ratio is not reported
        yet.
    """

    seconds: float = 0.0
    answers: int = 0
    kept: list[tuple[str, str, float]] = field(default_factory=list)


class WorkMeasurements:
    """Collects the work times of answers for the next report, relative to those expected.

    :ivar routes: Work times expected at a target of usual speed.
    """

    def __init__(self) -> None:
        self.routes = RouteWorkTimes()
        self._targets: dict[str, _Measured] = {}

    def on_work(
        self, target: str, route: str, service: str, seconds: float, slowdown: float, ratio: float
    ) -> None:
        """Record the work time of an answer.

        :param slowdown: Factor by which noise made it longer.
        :param ratio: Learned work ratio of the target.
        """
        self._add(target, route, service, seconds, slowdown)
        self.routes.on_work(route, service, seconds, slowdown, ratio)

    def on_no_answer(self, target: str, route: str, service: str, seconds: float) -> None:
        """Record a request that was given up, which took at least this long."""
        self._add(target, route, service, seconds, 1.0)

    def _add(self, target: str, route: str, service: str, seconds: float, slowdown: float) -> None:
        measured = self._targets.setdefault(target, _Measured())
        measured.seconds += seconds
        measured.answers += 1
        if len(measured.kept) < MAX_KEPT_ANSWERS:
            logarithm = math.log(seconds / slowdown)
            measured.kept.append((route, service, logarithm))

    def take(self, target: str) -> tuple[float, float, int] | None:
        """Return the measurements of a target since the last call and forget them.

        Answers of a route whose work time is not known yet count in a later call, since a host that
        has just started would else lose its first second of answers.

        :return: Mean work time in seconds, geometric mean of the ratios of observed to expected
            work time (0 if none is expected yet) and number of answers; ``None`` if there are none.
        """
        measured = self._targets.get(target)
        if measured is None or not measured.answers:
            return None
        sum_of_ratios, ratios, kept = 0.0, 0, []
        for route, service, logarithm in measured.kept:
            expected = self.routes.expected(route, service)
            if expected is None:
                kept.append((route, service, logarithm))
            else:
                sum_of_ratios += logarithm - math.log(expected)
                ratios += 1
        seconds, answers = measured.seconds / measured.answers, measured.answers
        if kept:
            self._targets[target] = _Measured(kept=kept)
        else:
            del self._targets[target]
        return seconds, math.exp(sum_of_ratios / ratios) if ratios else 0.0, answers

    def forget(self, current: Container[str]) -> None:
        """Drop the answers of targets that are gone."""
        for target in [name for name in self._targets if name not in current]:
            del self._targets[target]
