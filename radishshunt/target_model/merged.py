"""The leader's estimates of all targets, merged from the reports of the hosts."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from radishshunt.gateway.messages import TargetSpeed
from radishshunt.policy.concurrency_limit import DECISION_SECONDS, ConcurrencyLimit
from radishshunt.policy.direct.lane import SEND_AHEAD_REQUESTS
from radishshunt.policy.target_speed import (
    MAX_RATIO,
    MIN_RATIO,
    ServiceSpeeds,
    SpeedEstimate,
    start_estimate,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from radishshunt.clock import Clock
    from radishshunt.gateway.messages import Report
    from radishshunt.gateway.model import TargetEntry
    from radishshunt.target_model.speed_copy import SpeedCopy

# A leader adds its own load every 0.2 s. After a longer pause another host has led meanwhile, and
# its last statements are newer than the estimates here.
TERM_GAP_SECONDS = 2.0
# Standard error added to a speed that another leader has learned.
HANDOVER_ERROR = 0.1
# Answers of a service before its mean work time is used.
MIN_SERVICE_ANSWERS = 20
# Reports of more answers than this count as this many.
MAX_REPORT_ANSWERS = 10


@dataclass(slots=True)
class _MergedTarget:
    """Estimates of one target and the sums of its answers since the last decision on its limit."""

    service: str
    incarnation: int
    speed: SpeedEstimate
    limit: ConcurrencyLimit
    seconds: float = 0.0
    logarithms: float = 0.0
    answers: int = 0


@dataclass(slots=True)
class _MergedService:
    speeds: ServiceSpeeds = field(default_factory=ServiceSpeeds)
    targets: dict[str, _MergedTarget] = field(default_factory=dict)


class MergedSpeeds:
    """Speeds and limits of all targets, while this host leads.

    :param entry: Returns the current entry of a target, ``None`` if it is gone.
    :param copy: Speeds that another leader has stated, to start from.
    :ivar steps: Number of steps found in the speed of targets.
    """

    def __init__(
        self, clock: Clock, entry: Callable[[str], TargetEntry | None], copy: SpeedCopy
    ) -> None:
        self.steps = 0
        self._clock = clock
        self._entry = entry
        self._copy = copy
        self._services: dict[str, _MergedService] = {}
        self._updated_at = clock.now()
        self._last_report_at = clock.now()

    def add_report(self, report: Report) -> None:
        """Merge the measurements of a host."""
        now = self._clock.now()
        if now - self._last_report_at > TERM_GAP_SECONDS:
            self._services.clear()
        self._last_report_at = now
        for work in report.work_times:
            # A faulty report must not spread: NaN and infinity fail the comparison.
            if not MIN_RATIO / 10 < work.ratio < MAX_RATIO * 10 or not 0.0 < work.seconds < 60.0:
                continue
            entry = self._entry(work.target)
            if entry is not None and work.samples > 0:
                self._add(entry, work.seconds, work.ratio, min(work.samples, MAX_REPORT_ANSWERS))
        if now - self._updated_at >= DECISION_SECONDS:
            self._update(now)

    def _add(self, entry: TargetEntry, seconds: float, ratio: float, answers: int) -> None:
        now = self._clock.now()
        service = self._services.setdefault(entry.service, _MergedService())
        target = service.targets.get(entry.id)
        if target is None or target.incarnation != entry.incarnation:
            target = service.targets[entry.id] = self._start(entry, service.speeds)
        if target.speed.add(ratio, answers, seconds / ratio, service.speeds, now):
            self.steps += 1
        relative = math.exp(target.speed.mean - service.speeds.centre)
        service.speeds.add_work(seconds, relative, answers)
        target.seconds += seconds * answers
        target.logarithms += (math.log(ratio) - service.speeds.centre) * answers
        target.answers += answers

    def _start(self, entry: TargetEntry, speeds: ServiceSpeeds) -> _MergedTarget:
        now = self._clock.now()
        estimate, limit = start_estimate(speeds, now), math.inf
        known = self._copy.fresh(entry.id, entry.incarnation)
        if known is not None:
            estimate.mean = speeds.centre + math.log(known.ratio)
            estimate.variance = (known.error / known.ratio) ** 2 + HANDOVER_ERROR**2
            limit = known.limit
        return _MergedTarget(
            entry.service,
            entry.incarnation,
            estimate,
            ConcurrencyLimit(entry.slots, SEND_AHEAD_REQUESTS, now, limit),
        )

    def _update(self, now: float) -> None:
        """Drop targets that are gone, and adjust the limits and the services' distributions."""
        elapsed, self._updated_at = now - self._updated_at, now
        for service in self._services.values():
            for name, target in list(service.targets.items()):
                entry = self._entry(name)
                if entry is None or entry.incarnation != target.incarnation:
                    del service.targets[name]
                    continue
                answers = max(1, target.answers)
                target.limit.update(
                    target.seconds / elapsed,
                    target.logarithms / answers,
                    target.answers,
                    math.sqrt(service.speeds.variance),
                    now,
                )
                target.seconds = target.logarithms = 0.0
                target.answers = 0
            service.speeds.update([target.speed for target in service.targets.values()])

    def speeds(self) -> list[TargetSpeed]:
        """Return the current estimates of all targets that have answered."""
        now = self._clock.now()
        speeds = []
        for service in self._services.values():
            centre = service.speeds.centre
            for name, target in service.targets.items():
                ratio = math.exp(target.speed.mean - centre)
                speeds.append(
                    TargetSpeed(
                        name,
                        target.incarnation,
                        ratio,
                        ratio * target.speed.error,
                        float(target.limit.limit),
                        now - target.speed.measured_at,
                    )
                )
        return speeds

    def work_seconds(self, target: str) -> float | None:
        """Return the expected mean work time of a target, ``None`` if it is not known."""
        entry = self._entry(target)
        service = self._services.get(entry.service) if entry is not None else None
        if entry is None or service is None or service.speeds.answers < MIN_SERVICE_ANSWERS:
            return None
        known = service.targets.get(target)
        if known is None or known.incarnation != entry.incarnation:
            return service.speeds.seconds
        relative = known.speed.mean - service.speeds.centre
        # A limit that has helped makes the target as fast as at low load. The slowness before would
        # count the same cause twice.
        at_low_load = known.limit.logarithm_at_low_load
        if at_low_load is not None:
            relative = min(relative, at_low_load)
        return service.speeds.seconds * math.exp(relative)

    def limit(self, target: str) -> float:
        """Return the number of requests in progress that a target takes, infinite if unknown."""
        entry = self._entry(target)
        service = self._services.get(entry.service) if entry is not None else None
        known = service.targets.get(target) if service is not None else None
        if entry is None or known is None or known.incarnation != entry.incarnation:
            return math.inf
        return float(known.limit.limit)
