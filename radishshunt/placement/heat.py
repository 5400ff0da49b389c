"""Request rates of slices from periodic counts."""

from __future__ import annotations

from collections import deque
from math import sqrt
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

# Averaging time while nothing shifts.
AVERAGE_SECONDS = 8.0
# Time whose counts are compared with the average to notice a shift.
RECENT_SECONDS = 0.5
# Standard deviations of the recent count from which a slice's average starts anew.
SHIFT_DEVIATIONS = 4.0
# Slices shifting at once from which all averages start anew: the smaller changes that belong to
# the same shift can't be told from noise one by one, and would stay for the averaging time.
SHIFT_SLICES = 1


class HeatEstimator:
    """Averages over a long time, and over the time since a shift if there was one."""

    def __init__(
        self,
        average_seconds: float = AVERAGE_SECONDS,
        recent_seconds: float = RECENT_SECONDS,
        shift_deviations: float = SHIFT_DEVIATIONS,
        shift_slices: int = SHIFT_SLICES,
    ) -> None:
        self._average_seconds = average_seconds
        self._recent_seconds = recent_seconds
        self._deviations = shift_deviations
        self._shift_slices = shift_slices
        self._rates: dict[int, float] = {}
        self._windows: dict[int, float] = {}
        self._recent: deque[tuple[Mapping[int, int], float]] = deque()

    def update(self, counts: Mapping[int, int], seconds: float) -> None:
        """Take the requests of each slice in the last interval.

        :param seconds: Length of the interval.
        """
        span = self._remember(counts, seconds)
        totals: dict[int, int] = {}
        for interval, _ in self._recent:
            for number, requests in interval.items():
                totals[number] = totals.get(number, 0) + requests
        shifted = self._shifted(totals, span)
        if len(shifted) >= self._shift_slices:
            shifted = set(self._rates.keys() | totals.keys())
        for number in self._rates.keys() | counts.keys():
            if number in shifted:
                self._rates[number] = totals.get(number, 0) / span
                self._windows[number] = span
                continue
            known = self._rates.get(number, 0.0)
            window = min(self._windows.get(number, 0.0) + seconds, self._average_seconds)
            rate = counts.get(number, 0) / seconds
            self._rates[number] = known + min(1.0, seconds / window) * (rate - known)
            self._windows[number] = window

    def rates(self) -> dict[int, float]:
        """Return the requests per second of each slice."""
        return self._rates

    def counted(self, targets: int) -> float:
        """Return how many requests the rates of one average target are based on."""
        total = sum(rate * self._windows[number] for number, rate in self._rates.items())
        return total / max(1, targets)

    def _remember(self, counts: Mapping[int, int], seconds: float) -> float:
        """Add an interval to the recent ones and return the time that they cover."""
        self._recent.append((counts, seconds))
        span = sum(length for _, length in self._recent)
        while span - self._recent[0][1] >= self._recent_seconds - 1e-9:
            span -= self._recent.popleft()[1]
        return span

    def _shifted(self, totals: Mapping[int, int], span: float) -> set[int]:
        shifted = set()
        for number, rate in self._rates.items():
            if self._windows[number] <= span:
                continue
            expected = rate * span
            seen = totals.get(number, 0)
            if abs(seen - expected) > self._deviations * sqrt(max(expected, seen, 1.0)):
                shifted.add(number)
        return shifted
