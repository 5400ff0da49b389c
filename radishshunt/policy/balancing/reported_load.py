"""Baseline: choose the target with the lowest reported load."""

from __future__ import annotations

from typing import TYPE_CHECKING

from radishshunt.policy.balancing import Balancing

if TYPE_CHECKING:
    from collections.abc import Sequence

    from radishshunt.policy.balancing import Candidate


class ReportedLoad(Balancing):
    """Chooses the target with the lowest load in its last report, which may be seconds old."""

    def __init__(self) -> None:
        self._loads: dict[str, float] = {}

    def on_report(self, target: str, load: float) -> None:
        self._loads[target] = load

    def pick(self, candidates: Sequence[Candidate]) -> Candidate:
        return min(candidates, key=lambda c: self._loads.get(c.name, 0.0))
