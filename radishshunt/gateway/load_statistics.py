"""Request rates of keys and work times of targets, reported to the leader by all hosts."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from radishshunt.gateway.coordinator import LoadStatistics
from radishshunt.placement.key_ranges import RATE_WINDOW_SECONDS, KeyRates
from radishshunt.policy.direct.target_load import DEFAULT_WORK_SECONDS

if TYPE_CHECKING:
    from radishshunt.clock import Clock
    from radishshunt.gateway.messages import Report
    from radishshunt.gateway.model import TargetEntry
    from radishshunt.target_model import TargetModel

# Lower rates are dropped.
MIN_REQUESTS_PER_SECOND = 0.02
# Weight of one answer in a target's mean work time, and the limit on the weight of a report.
SAMPLE_WEIGHT = 0.05
MAX_REPORT_WEIGHT = 0.5


class ReportedLoadStatistics(LoadStatistics):
    """Aggregates the load reports of all hosts.

    :param target_model: Learned speeds, if they may be used.
    """

    def __init__(self, clock: Clock, target_model: TargetModel | None = None) -> None:
        self._clock = clock
        self._target_model = target_model
        self._rates: dict[str, dict[int, float]] = {}
        self._work_seconds: dict[str, float] = {}
        self._request_limits: dict[str, float] = {}
        self._decayed_at = clock.now()

    def add_report(self, report: Report) -> None:
        """Add the report of a host."""
        if self._target_model is not None:
            self._target_model.add_report(report)
        self._decay()
        for service, counts in report.request_counts.items():
            rates = self._rates.setdefault(service, {})
            for key, count in counts.items():
                rates[key] = rates.get(key, 0.0) + count / RATE_WINDOW_SECONDS
        for work in report.work_times:
            previous = self._work_seconds.setdefault(work.target, work.seconds)
            self._request_limits[work.target] = work.request_limit
            weight = min(MAX_REPORT_WEIGHT, SAMPLE_WEIGHT * work.samples)
            self._work_seconds[work.target] = previous + weight * (work.seconds - previous)

    def key_rates(self, service: str) -> KeyRates:
        self._decay()
        return KeyRates(self._rates.get(service, {}))

    def work_seconds(self, target: str) -> float:
        if self._target_model is not None:
            learned = self._target_model.planned_work_seconds(target)
            if learned is not None:
                return learned
        if target in self._work_seconds:
            return self._work_seconds[target]
        known = self._work_seconds.values()
        return sum(known) / len(known) if known else DEFAULT_WORK_SECONDS

    def usable_slots(self, entry: TargetEntry) -> float:
        if self._target_model is None:
            return entry.slots
        return self._target_model.planned_slots(entry)

    def request_limit(self, target: str) -> float:
        return self._request_limits.get(target, math.inf)

    def _decay(self) -> None:
        now = self._clock.now()
        elapsed = now - self._decayed_at
        if elapsed < 0.1:
            return
        self._decayed_at = now
        factor = math.exp(-elapsed / RATE_WINDOW_SECONDS)
        for service, rates in self._rates.items():
            self._rates[service] = {
                key: rate * factor
                for key, rate in rates.items()
                if rate * factor > MIN_REQUESTS_PER_SECOND
            }
