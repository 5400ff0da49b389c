"""Whether a request is sent to a second target while the first has not answered."""

from __future__ import annotations

from abc import ABC, abstractmethod


class Hedging(ABC):
    """Decides about a second copy of a request.

    Only idempotent requests of services without keys may be hedged: a key has one owner, and
    another request must not run twice.
    """

    @abstractmethod
    def on_request(self) -> None:
        """Count a request that was sent for the first time."""

    @abstractmethod
    def on_answer(self, seconds: float) -> None:
        """Take the time between sending a request and its answer."""

    @abstractmethod
    def delay(self, *, idempotent: bool, keyed: bool) -> float | None:
        """Return the seconds after which a second copy is due, or ``None`` for never."""

    @abstractmethod
    def spend(self) -> bool:
        """Return whether a second copy may be sent now, and count it if so."""
