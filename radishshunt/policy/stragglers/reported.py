"""Baseline: believe the targets' load reports."""

from __future__ import annotations

from statistics import median

from radishshunt.policy.stragglers import StragglerDetector

# Reported load relative to the others from which a target counts as a straggler.
REPORTED_RATIO = 2.0


class Reported(StragglerDetector):
    """Compares reported loads, which are seconds old."""

    def __init__(self) -> None:
        self._loads: dict[str, float] = {}

    def on_answer(self, target: str, seconds: float) -> None:
        pass

    def on_report(self, target: str, load: float) -> None:
        self._loads[target] = load

    def usual_seconds(self) -> float:
        return 0.0

    def on_usual(self, seconds: float) -> None:
        pass

    def slowness(self, target: str, in_flight_seconds: float = 0.0) -> float:
        usual = median(self._loads.values()) if self._loads else 0.0
        ratio = self._loads.get(target, 0.0) / usual if usual > 0 else 1.0
        return ratio if ratio >= REPORTED_RATIO else 1.0
