"""Estimation of the slices' request rates from periodic counts."""

from __future__ import annotations

from collections import deque
from math import sqrt
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

# Averaging window while the load does not shift.
AVERAGE_SECONDS = 8.0
# Window of the recent counts that are compared with the average to detect a shift.
RECENT_SECONDS = 0.5
# Difference between recent count and average, in standard deviations, above which a slice's load
# has shifted and its average is reset.
SHIFT_DEVIATIONS = 4.0
# Number of shifted slices from which the averages of all slices are reset. The smaller changes of
# the same shift cannot be told from noise slice by slice, and old rates would otherwise remain for
# the averaging window.
SHIFT_SLICES = 1


class RequestRateEstimator:
    """Averages request rates over a long window, or since the last shift of the load."""

    def __init__(
        self,
        average_seconds: float = AVERAGE_SECONDS,
        recent_seconds: float = RECENT_SECONDS,
        shift_deviations: float = SHIFT_DEVIATIONS,
        shift_slices: int = SHIFT_SLICES,
    ) -> None:
        self._average_seconds = average_seconds
        self._recent_seconds = recent_seconds
        self._shift_deviations = shift_deviations
        self._shift_slices = shift_slices
        self._rates: dict[int, float] = {}
        self._windows: dict[int, float] = {}
        self._recent: deque[tuple[Mapping[int, int], float]] = deque()

    def update(self, counts: Mapping[int, int], seconds: float) -> None:
        """Add the number of requests of each slice in the last interval.

        :param seconds: Length of the interval.
        """
        span = self._add_recent(counts, seconds)
        totals: dict[int, int] = {}
        for interval_counts, _ in self._recent:
            for slice_number, requests in interval_counts.items():
                totals[slice_number] = totals.get(slice_number, 0) + requests
        shifted = self._shifted_slices(totals, span)
        if len(shifted) >= self._shift_slices:
            shifted = set(self._rates.keys() | totals.keys())
        for slice_number in self._rates.keys() | counts.keys():
            if slice_number in shifted:
                self._rates[slice_number] = totals.get(slice_number, 0) / span
                self._windows[slice_number] = span
                continue
            average = self._rates.get(slice_number, 0.0)
            window = min(self._windows.get(slice_number, 0.0) + seconds, self._average_seconds)
            rate = counts.get(slice_number, 0) / seconds
            self._rates[slice_number] = average + min(1.0, seconds / window) * (rate - average)
            self._windows[slice_number] = window

    def rates(self) -> dict[int, float]:
        """Return the requests per second of each slice."""
        return self._rates

    def sample_requests(self, targets: int) -> float:
        """Return the mean number of requests per target from which the rates were estimated.

        :param targets: Number of targets.
        """
        total = sum(
            rate * self._windows[slice_number] for slice_number, rate in self._rates.items()
        )
        return total / max(1, targets)

    def _add_recent(self, counts: Mapping[int, int], seconds: float) -> float:
        """Add an interval to the recent counts and return the seconds that they cover."""
        self._recent.append((counts, seconds))
        span = sum(interval_seconds for _, interval_seconds in self._recent)
        while span - self._recent[0][1] >= self._recent_seconds - 1e-9:
            span -= self._recent.popleft()[1]
        return span

    def _shifted_slices(self, totals: Mapping[int, int], span: float) -> set[int]:
        """Return the slices whose recent count differs significantly from their average."""
        shifted = set()
        for slice_number, rate in self._rates.items():
            if self._windows[slice_number] <= span:
                continue
            expected = rate * span
            observed = totals.get(slice_number, 0)
            if abs(observed - expected) > self._shift_deviations * sqrt(
                max(expected, observed, 1.0)
            ):
                shifted.add(slice_number)
        return shifted
