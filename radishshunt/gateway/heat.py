"""Load by key and work time by target, as all hosts report them to the leader."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from radishshunt.gateway.coordinator import HeatSource
from radishshunt.placement.key_ranges import Heat
from radishshunt.policy.direct.target_load import FIRST_WORK_SECONDS

if TYPE_CHECKING:
    from radishshunt.clock import Clock
    from radishshunt.gateway.messages import Report

# Time over which requests are averaged: long enough for some tens of requests of a target,
# short against the seconds for which keys stay busy.
WINDOW_SECONDS = 1.5
# Rates below this are forgotten.
LOWEST_RATE = 0.02
# Weight of one answer in a target's mean work time, and of a whole report at the most.
SAMPLE_WEIGHT = 0.05
LARGEST_WEIGHT = 0.5


class MeasuredHeat(HeatSource):
    """Collects the reports of all hosts."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._rates: dict[str, dict[int, float]] = {}
        self._work: dict[str, float] = {}
        self._decayed_at = clock.now()

    def take(self, report: Report) -> None:
        """Add a host's report."""
        self._decay()
        for service, counts in report.heat.items():
            rates = self._rates.setdefault(service, {})
            for key, count in counts.items():
                rates[key] = rates.get(key, 0.0) + count / WINDOW_SECONDS
        for item in report.work:
            old = self._work.get(item.target, FIRST_WORK_SECONDS)
            weight = min(LARGEST_WEIGHT, SAMPLE_WEIGHT * item.samples)
            self._work[item.target] = old + weight * (item.seconds - old)

    def heat(self, service: str) -> Heat:
        self._decay()
        return Heat(self._rates.get(service, {}))

    def work_seconds(self, target: str) -> float:
        return self._work.get(target, FIRST_WORK_SECONDS)

    def _decay(self) -> None:
        now = self._clock.now()
        elapsed = now - self._decayed_at
        if elapsed < 0.1:
            return
        self._decayed_at = now
        factor = math.exp(-elapsed / WINDOW_SECONDS)
        for service, rates in self._rates.items():
            self._rates[service] = {
                key: rate * factor for key, rate in rates.items() if rate * factor > LOWEST_RATE
            }
