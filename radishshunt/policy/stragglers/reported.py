"""Baseline: detect stragglers by the targets' load reports."""

from __future__ import annotations

from statistics import median

from radishshunt.policy.stragglers import StragglerDetector

# Ratio of a target's reported load to the median from which it is a straggler.
STRAGGLER_LOAD_RATIO = 2.0


class ReportedStragglers(StragglerDetector):
    """Compares reported loads, which are seconds old."""

    def __init__(self) -> None:
        self._loads: dict[str, float] = {}

    def on_answer(self, target: str, seconds: float) -> None:
        pass

    def on_report(self, target: str, load: float) -> None:
        self._loads[target] = load

    def median_answer_seconds(self) -> float:
        return 0.0

    def set_typical_seconds(self, seconds: float) -> None:
        pass

    def slowness(self, target: str, in_flight_seconds: float = 0.0) -> float:
        typical = median(self._loads.values()) if self._loads else 0.0
        ratio = self._loads.get(target, 0.0) / typical if typical > 0 else 1.0
        return ratio if ratio >= STRAGGLER_LOAD_RATIO else 1.0
