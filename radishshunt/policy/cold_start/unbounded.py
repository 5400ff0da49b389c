"""Baseline: a cold target gets what a warm one gets."""

from __future__ import annotations

from radishshunt.policy.cold_start import ColdStart


class Unbounded(ColdStart):
    """Always allows all slots."""

    def __init__(self, slots: int) -> None:
        self._slots = slots

    def on_cold(self, now: float) -> None:
        pass

    def bound(self, now: float, idle_seconds: float) -> int:
        return self._slots
