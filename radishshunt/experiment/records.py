"""What is recorded of a run, and the figures made from it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import numpy as np


@dataclass(slots=True)
class Records:
    """Ends of requests and changes of ownership in one run.

    :ivar repeated: Repeated calls by callers.
    :ivar imbalances: Time and max/mean load of the targets in full service.
    :ivar usable: Time and capacity of the targets that take work, relative to that of all.
    :ivar moved: Time, slice, number of its keys, and whether the move was forced.
    :ivar waits: Time of a loss, and seconds until the keys of a slice were served again, with
        their number.
    """

    arrived: list[float] = field(default_factory=list)
    latencies: list[float] = field(default_factory=list)
    refused: int = 0
    expired: int = 0
    unknown: int = 0
    repeated: int = 0
    imbalances: list[tuple[float, float]] = field(default_factory=list)
    usable: list[tuple[float, float]] = field(default_factory=list)
    moved: list[tuple[float, int, int, bool]] = field(default_factory=list)
    least_moves: float = 0.0
    unavailable_key_seconds: float = 0.0
    waits: list[tuple[float, int]] = field(default_factory=list)

    def add(self, arrived_at: float, latency: float | None, how: str) -> None:
        """Record the end of a request.

        :param latency: Seconds until the caller had the answer, ``None`` without one.
        """
        self.arrived.append(arrived_at)
        if latency is None:
            self.latencies.append(np.nan)
            if how == "refused":
                self.refused += 1
            elif how == "expired":
                self.expired += 1
            else:
                self.unknown += 1
        else:
            self.latencies.append(latency)

    def figures(self, first: float, last: float) -> dict[str, Any]:
        """Return the figures of the requests that arrived in a period.

        Percentiles are those of all requests; one without an answer counts as slower than all
        others, as its caller has waited for nothing. They are capped at the caller's timeout.
        """
        arrived = np.array(self.arrived)
        latencies = np.array(self.latencies)
        chosen = latencies[(arrived >= first) & (arrived < last)]
        answered = chosen[~np.isnan(chosen)]
        filled = np.where(np.isnan(chosen), 2.0, chosen)
        result: dict[str, Any] = {
            "requests": len(chosen),
            "service_percent": 100 * len(answered) / max(1, len(chosen)),
            "goodput": len(answered) / (last - first),
        }
        for name, percent in (("p50", 50), ("p99", 99), ("p999", 99.9)):
            result[f"{name}_ms"] = 1000 * float(np.percentile(filled, percent))
            if len(answered):
                result[f"{name}_answered_ms"] = 1000 * float(np.percentile(answered, percent))
        moved = [m for m in self.moved if first <= m[0] < last]
        result["slices_moved"] = len(moved)
        result["keys_moved"] = sum(m[2] for m in moved)
        result["unavailable_key_seconds"] = self.unavailable_key_seconds
        samples = [value for time, value in self.imbalances if first <= time < last]
        if samples:
            result["imbalance"] = float(np.mean(samples))
            result["imbalance_max"] = float(np.max(samples))
        return result

    def served_again(self, percent: float) -> float | None:
        """Return a percentile over keys of the seconds until they were served after a loss."""
        if not self.waits:
            return None
        ordered = sorted(self.waits)
        total = sum(keys for _, keys in ordered)
        seen = 0
        for seconds, keys in ordered:
            seen += keys
            if seen >= total * percent / 100:
                return seconds
        return ordered[-1][0]
