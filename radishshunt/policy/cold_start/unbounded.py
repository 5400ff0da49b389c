"""Baseline: a cold target gets as many requests as a warm one."""

from __future__ import annotations

from radishshunt.policy.cold_start import ColdStart


class UnlimitedColdStart(ColdStart):
    """Always allows all slots."""

    def __init__(self, slots: int) -> None:
        self._slots = slots

    def on_cold(self, now: float) -> None:
        pass

    def concurrency_limit(self, now: float, idle_seconds: float) -> int:
        return self._slots
