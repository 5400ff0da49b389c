"""Which of the learned speeds are stated in a state update.

Bytes between failure domains are billed and each update goes to all hosts, so an update has only
speeds that have changed by more than their noise, and a bounded number of them.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from radishshunt.logs import decision

if TYPE_CHECKING:
    from radishshunt.clock import Clock
    from radishshunt.gateway.messages import TargetSpeed

# Change of a ratio from which it is stated: this share of it, or of its standard error if that is
# larger, since estimates of new targets change with each answer.
MIN_CHANGE = 0.05
MIN_CHANGE_ERRORS = 0.5
# A speed that is still measured is stated again after this time, so that hosts know its age.
RESTATE_SECONDS = 6.0
# Shortest time between two updates with speeds, and the largest number of speeds in one. An entry
# takes about 60 bytes, so that 360 targets cause at most 5 kB/s for each host.
MIN_INTERVAL_SECONDS = 0.4
MAX_ENTRIES = 32
# Largest number of speeds in the first update of a link.
MAX_FIRST_ENTRIES = 512
# Change of a ratio from which it is logged, since work moves, and the time between two lines of
# a target and of all targets.
LOGGED_CHANGE = 0.25
TARGET_LOG_SECONDS = 2.0
LOG_SECONDS = 0.25


@dataclass(slots=True)
class _Stated:
    speed: TargetSpeed
    stated_at: float
    logged_ratio: float
    logged_limit: float
    logged_at: float


class SpeedChanges:
    """Remembers what has been stated to all linked hosts.

    :ivar stated: Number of speeds stated so far.
    """

    def __init__(self, clock: Clock) -> None:
        self.stated = 0
        self._clock = clock
        self._stated: dict[str, _Stated] = {}
        self._sent_at = float("-inf")
        self._logged_at = float("-inf")

    def due(self) -> bool:
        """Return whether enough time has passed since the last update with speeds."""
        return self._clock.now() - self._sent_at >= MIN_INTERVAL_SECONDS

    def next_update(self, speeds: list[TargetSpeed]) -> tuple[TargetSpeed, ...]:
        """Return the speeds for the next update to all hosts, the most changed ones first.

        :param speeds: Current speeds of all targets.
        """
        now = self._clock.now()
        if not self.due():
            return ()
        self._sent_at = now
        current = {speed.target for speed in speeds}
        self._stated = {name: item for name, item in self._stated.items() if name in current}
        ranked = sorted(
            ((self._urgency(speed, now), speed) for speed in speeds),
            key=lambda item: -item[0],
        )
        chosen = tuple(speed for urgency, speed in ranked[:MAX_ENTRIES] if urgency >= 1.0)
        for speed in chosen:
            self._record(speed, now)
        self.stated += len(chosen)
        return chosen

    def _urgency(self, speed: TargetSpeed, now: float) -> float:
        """Return how much a speed has changed, relative to the change from which it is stated."""
        item = self._stated.get(speed.target)
        if item is None or item.speed.incarnation != speed.incarnation:
            return math.inf
        relative_error = speed.error / speed.work_ratio
        threshold = max(MIN_CHANGE, MIN_CHANGE_ERRORS * relative_error)
        urgency = abs(math.log(speed.work_ratio / item.speed.work_ratio)) / threshold
        if speed.in_progress != item.speed.in_progress:
            urgency = max(urgency, 1.0)
        age = now - item.stated_at
        if speed.age < age:
            urgency = max(urgency, age / RESTATE_SECONDS)
        return urgency

    def _record(self, speed: TargetSpeed, now: float) -> None:
        item = self._stated.get(speed.target)
        if item is None or item.speed.incarnation != speed.incarnation:
            item = _Stated(speed, now, 1.0, math.inf, float("-inf"))
            self._stated[speed.target] = item
        item.speed, item.stated_at = speed, now
        moved = abs(math.log(speed.work_ratio / item.logged_ratio)) >= math.log1p(LOGGED_CHANGE)
        limited = speed.in_progress < item.logged_limit and not math.isinf(item.logged_limit)
        if (
            (moved or limited)
            and now - item.logged_at >= TARGET_LOG_SECONDS
            and now - self._logged_at >= LOG_SECONDS
        ):
            decision(
                "target-speed",
                target=speed.target,
                ratio=round(speed.work_ratio, 3),
                before=round(item.logged_ratio, 3),
                error=round(speed.error, 3),
                limit=speed.in_progress,
            )
            item.logged_ratio, item.logged_at, self._logged_at = speed.work_ratio, now, now
            item.logged_limit = speed.in_progress
        elif math.isinf(item.logged_limit) or speed.in_progress > item.logged_limit:
            item.logged_limit = speed.in_progress
