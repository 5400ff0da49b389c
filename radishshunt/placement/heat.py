"""Request rates of slices from periodic counts."""

from __future__ import annotations

from math import exp, sqrt
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

# Averaging times of the fast and of the slow estimate.
FAST_SECONDS = 1.0
SLOW_SECONDS = 8.0
# Standard deviations between the estimates from which the slow one is given up.
SHIFT_DEVIATIONS = 4.0


class HeatEstimator:
    """Follows shifts of the load quickly without taking noise for a shift.

    A slow average has little noise but follows a shift late. Each slice uses the slow average
    until the fast one differs from it by more than chance explains.
    """

    def __init__(
        self,
        fast_seconds: float = FAST_SECONDS,
        slow_seconds: float = SLOW_SECONDS,
        shift_deviations: float = SHIFT_DEVIATIONS,
    ) -> None:
        self._fast_seconds = fast_seconds
        self._slow_seconds = slow_seconds
        self._deviations = shift_deviations
        self._fast: dict[int, float] = {}
        self._slow: dict[int, float] = {}
        self._elapsed = 0.0
        self._window: dict[int, float] = {}

    def update(self, counts: Mapping[int, int], seconds: float) -> None:
        """Take the requests of each slice in the last interval.

        :param seconds: Length of the interval.
        """
        fast_weight = 1 - exp(-seconds / self._fast_seconds)
        for number in counts.keys() | self._slow.keys():
            rate = counts.get(number, 0) / seconds
            if number not in self._slow:
                self._fast[number] = self._slow[number] = rate
                self._window[number] = seconds
                continue
            # A slice's first answers count fully: its window grows up to the slow one.
            window = min(self._window[number] + seconds, self._slow_seconds)
            self._window[number] = window
            fast = self._fast[number] + fast_weight * (rate - self._fast[number])
            slow = self._slow[number] + min(1.0, seconds / window) * (rate - self._slow[number])
            noise = sqrt(max(slow, fast, 1.0) / (2 * self._fast_seconds))
            if abs(fast - slow) > self._deviations * noise:
                slow = fast
                self._window[number] = 2 * self._fast_seconds
            self._fast[number], self._slow[number] = fast, slow

    def rates(self) -> dict[int, float]:
        """Return the requests per second of each slice."""
        return self._slow

    def counted(self, targets: int) -> float:
        """Return how many requests the rates of one average target are based on."""
        total = sum(rate * self._window[number] for number, rate in self._slow.items())
        return total / max(1, targets)
