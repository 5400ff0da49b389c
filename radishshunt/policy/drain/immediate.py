"""Baseline: full capacity or none."""

from __future__ import annotations

from radishshunt.policy.drain import Drain


class ImmediateDrain(Drain):
    """Gives a target its full capacity as soon as its failure domain accepts work."""

    def capacity(
        self, *, takes_work: bool, concurrency_limit: int, slots: int, cold: bool
    ) -> float:
        return 1.0 if takes_work else 0.0
