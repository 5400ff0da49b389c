"""Baseline: all or nothing."""

from __future__ import annotations

from radishshunt.policy.drain import Drain


class Immediate(Drain):
    """A target whose domain is in has its full capacity from the first moment."""

    def capacity(self, *, takes_work: bool, bound: int, slots: int, cold: bool) -> float:
        return 1.0 if takes_work else 0.0
