"""Hedged requests: send a copy to a second target while the first has not answered."""

from __future__ import annotations

from abc import ABC, abstractmethod


class Hedging(ABC):
    """Decides whether and when a second copy of a request is sent.

    Only idempotent requests of services without keys may be hedged: a key has a single owner, and
    a non-idempotent request must not run twice.
    """

    @abstractmethod
    def on_request(self) -> None:
        """Count a request that was sent for the first time."""

    @abstractmethod
    def on_answer(self, seconds: float) -> None:
        """Record the time between sending a request and its answer."""

    @abstractmethod
    def delay(self, *, idempotent: bool, keyed: bool) -> float | None:
        """Return the seconds after which to send a second copy, or ``None`` to send none."""

    @abstractmethod
    def spend(self) -> bool:
        """Return whether the budget allows a second copy now, and count the copy if so."""
