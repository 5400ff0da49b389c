"""Baseline: choose the targets in turn."""

from __future__ import annotations

from typing import TYPE_CHECKING

from radishshunt.policy.balancing import Balancing

if TYPE_CHECKING:
    from collections.abc import Sequence

    from radishshunt.policy.balancing import Candidate


class RoundRobin(Balancing):
    """Cycles through the targets, whatever their load."""

    def __init__(self) -> None:
        self._picks = 0

    def on_report(self, target: str, load: float) -> None:
        pass

    def pick(self, candidates: Sequence[Candidate]) -> Candidate:
        self._picks += 1
        return candidates[self._picks % len(candidates)]
