"""Exponential backoff with jitter."""

from __future__ import annotations

from random import Random


class Backoff:
    """Delays after consecutive failures: each about twice the previous one, up to a limit.

    :param initial_seconds: Mean of the first delay.
    :param max_seconds: Mean of the longest delay.
    :param rng: Source of the jitter, which keeps hosts that fail together from retrying together.
    """

    def __init__(
        self, initial_seconds: float, max_seconds: float, rng: Random | None = None
    ) -> None:
        self._initial_seconds = initial_seconds
        self._max_seconds = max_seconds
        self._rng = rng or Random()
        self.failures = 0

    def reset(self) -> None:
        """Return to the first delay after a success."""
        self.failures = 0

    def next_delay(self) -> float:
        """Count a failure and return the delay before the next attempt, in seconds."""
        mean = min(self._max_seconds, self._initial_seconds * 2 ** min(self.failures, 32))
        self.failures += 1
        return mean * self._rng.uniform(0.5, 1.5)
