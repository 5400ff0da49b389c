"""Baseline: no hedging."""

from __future__ import annotations

from radishshunt.policy.hedging import Hedging


class NoHedging(Hedging):
    """Sends every request once."""

    def on_request(self) -> None:
        pass

    def on_answer(self, seconds: float) -> None:
        pass

    def delay(self, *, idempotent: bool, keyed: bool) -> float | None:
        return None

    def spend(self) -> bool:
        return False
