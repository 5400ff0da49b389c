"""Compare the answer times that the dispatcher itself sees."""

from __future__ import annotations

from statistics import median

from radishshunt.policy.stragglers import StragglerDetector

# Service time relative to the median of all targets from which one is a straggler.
ENTER_RATIO = 2.5
# Ratio below which it no longer is one.
LEAVE_RATIO = 1.5
# Weight of the newest answer in a target's average.
ANSWER_WEIGHT = 0.2
# Answers after which the median of all targets is taken anew.
MEDIAN_EVERY = 64


class Observed(StragglerDetector):
    """Averages answer times, and counts requests that have not been answered yet.

    Two stragglers in a group of three would make a straggler's time the median, so the usual
    time comes from all groups of the service as soon as it is known.

    Load reports are about 10 s late, so they name a straggler long after its queue is full.
    """

    def __init__(
        self,
        enter_ratio: float = ENTER_RATIO,
        leave_ratio: float = LEAVE_RATIO,
        answer_weight: float = ANSWER_WEIGHT,
    ) -> None:
        self._enter = enter_ratio
        self._leave = leave_ratio
        self._weight = answer_weight
        self._averages: dict[str, float] = {}
        self._slow: set[str] = set()
        self._usual = 0.0
        self._elsewhere = 0.0
        self._answers = 0

    def on_answer(self, target: str, seconds: float) -> None:
        known = self._averages.get(target)
        if known is None:
            known = seconds
            self._answers = 0
        average = known + self._weight * (seconds - known)
        self._averages[target] = average
        if self._answers % MEDIAN_EVERY == 0 and not self._elsewhere:
            self._usual = median(self._averages.values())
        self._answers += 1
        if average > self._enter * self._usual:
            self._slow.add(target)
        elif average < self._leave * self._usual:
            self._slow.discard(target)

    def on_report(self, target: str, load: float) -> None:
        pass

    def usual_seconds(self) -> float:
        return median(self._averages.values()) if self._averages else 0.0

    def on_usual(self, seconds: float) -> None:
        self._elsewhere = seconds
        self._usual = seconds

    def slowness(self, target: str, in_flight_seconds: float = 0.0) -> float:
        if self._usual <= 0:
            return 1.0
        if in_flight_seconds > 2 * self._enter * self._usual:
            return in_flight_seconds / self._usual
        if target not in self._slow:
            return 1.0
        return max(1.0, self._averages[target] / self._usual)
