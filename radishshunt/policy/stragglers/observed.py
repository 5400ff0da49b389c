"""Detect stragglers by the answer times that the dispatcher observes."""

from __future__ import annotations

from statistics import median

from radishshunt.policy.stragglers import StragglerDetector

# Ratio of a target's answer time to the typical one above which it becomes a straggler.
ENTER_RATIO = 2.5
# Ratio below which it is no longer a straggler.
LEAVE_RATIO = 1.5
# Weight of the newest answer in a target's moving average.
ANSWER_WEIGHT = 0.2
# Number of answers after which the median of all targets is computed anew.
MEDIAN_UPDATE_ANSWERS = 64


class ObservedStragglers(StragglerDetector):
    """Averages answer times, and takes the age of unanswered requests into account.

    With two stragglers in a group of three, the median would be a straggler's time. The typical
    time is therefore taken over all groups of the service as soon as it is known.

    Load reports are not used: they are about 10 s late and show a straggler long after its queue
    is full.
    """

    def __init__(
        self,
        enter_ratio: float = ENTER_RATIO,
        leave_ratio: float = LEAVE_RATIO,
        answer_weight: float = ANSWER_WEIGHT,
    ) -> None:
        self._enter_ratio = enter_ratio
        self._leave_ratio = leave_ratio
        self._answer_weight = answer_weight
        self._averages: dict[str, float] = {}
        self._stragglers: set[str] = set()
        self._typical_seconds = 0.0
        # Typical answer time over all groups of the service, 0 while unknown.
        self._service_seconds = 0.0
        # Number of answers since the first answer of the target that was added last.
        self._answers = 0

    def on_answer(self, target: str, seconds: float) -> None:
        previous = self._averages.get(target)
        if previous is None:
            previous = seconds
            self._answers = 0
        average = previous + self._answer_weight * (seconds - previous)
        self._averages[target] = average
        if self._answers % MEDIAN_UPDATE_ANSWERS == 0 and not self._service_seconds:
            self._typical_seconds = median(self._averages.values())
        self._answers += 1
        if average > self._enter_ratio * self._typical_seconds:
            self._stragglers.add(target)
        elif average < self._leave_ratio * self._typical_seconds:
            self._stragglers.discard(target)

    def on_report(self, target: str, load: float) -> None:
        pass

    def median_answer_seconds(self) -> float:
        return median(self._averages.values()) if self._averages else 0.0

    def set_typical_seconds(self, seconds: float) -> None:
        self._service_seconds = seconds
        self._typical_seconds = seconds

    def slowness(self, target: str, in_flight_seconds: float = 0.0) -> float:
        if self._typical_seconds <= 0:
            return 1.0
        if in_flight_seconds > 2 * self._enter_ratio * self._typical_seconds:
            return in_flight_seconds / self._typical_seconds
        if target not in self._stragglers:
            return 1.0
        return max(1.0, self._averages[target] / self._typical_seconds)
