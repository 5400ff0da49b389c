"""Pauses between attempts that grow and differ from host to host."""

from __future__ import annotations

from random import Random


class Backoff:
    """Pauses after failures in a row: each about twice the one before, up to a limit.

    :param first_seconds: Mean of the first pause.
    :param largest_seconds: Mean of the longest pause.
    :param rng: Source of the jitter; hosts that fail together must not try again together.
    """

    def __init__(
        self, first_seconds: float, largest_seconds: float, rng: Random | None = None
    ) -> None:
        self._first = first_seconds
        self._largest = largest_seconds
        self._rng = rng or Random()
        self.failures = 0

    def reset(self) -> None:
        """Begin again after a success."""
        self.failures = 0

    def next(self) -> float:
        """Count a failure and return the pause in seconds."""
        mean = min(self._largest, self._first * 2 ** min(self.failures, 32))
        self.failures += 1
        return mean * self._rng.uniform(0.5, 1.5)
