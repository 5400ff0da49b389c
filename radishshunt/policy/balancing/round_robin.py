"""Baseline: one target after the other."""

from __future__ import annotations

from typing import TYPE_CHECKING

from radishshunt.policy.balancing import Balancing

if TYPE_CHECKING:
    from collections.abc import Sequence

    from radishshunt.policy.balancing import Candidate


class RoundRobin(Balancing):
    """Ignores load."""

    def __init__(self) -> None:
        self._next = 0

    def on_report(self, target: str, load: float) -> None:
        pass

    def pick(self, candidates: Sequence[Candidate]) -> Candidate:
        self._next += 1
        return candidates[self._next % len(candidates)]
