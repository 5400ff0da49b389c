"""Records of one run and the figures computed from them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import numpy as np


@dataclass(slots=True)
class Records:
    """Outcomes of requests and changes of slice ownership in one run.

    :ivar arrival_times: Arrival time of each request in seconds.
    :ivar latencies: Latency of each request in seconds, NaN without an answer.
    :ivar caller_repeats: Requests that callers repeated.
    :ivar imbalances: Time, and largest load relative to the mean of the warm targets that serve
        at normal speed.
    :ivar usable_capacity: Time, and capacity of the targets that take work relative to that of
        all targets.
    :ivar moves: Time, slice, number of its keys, and whether the move was forced.
    :ivar reference_moves: Moves of a reference planner; 0 if the scenario has no reference.
    :ivar recovery_times: Seconds from the loss of a target until a slice was served again, and
        the number of its keys.
    """

    arrival_times: list[float] = field(default_factory=list)
    latencies: list[float] = field(default_factory=list)
    refused: int = 0
    expired: int = 0
    unknown: int = 0
    caller_repeats: int = 0
    imbalances: list[tuple[float, float]] = field(default_factory=list)
    usable_capacity: list[tuple[float, float]] = field(default_factory=list)
    moves: list[tuple[float, int, int, bool]] = field(default_factory=list)
    reference_moves: float = 0.0
    unavailable_key_seconds: float = 0.0
    recovery_times: list[tuple[float, int]] = field(default_factory=list)

    def add_request(self, arrived_at: float, latency: float | None, outcome: str) -> None:
        """Record the outcome of a request.

        :param latency: Seconds until the caller had the answer, ``None`` without one.
        :param outcome: Counted for requests without an answer: ``refused``, ``expired`` or
            ``unknown``.
        """
        self.arrival_times.append(arrived_at)
        if latency is None:
            self.latencies.append(np.nan)
            if outcome == "refused":
                self.refused += 1
            elif outcome == "expired":
                self.expired += 1
            else:
                self.unknown += 1
        else:
            self.latencies.append(latency)

    def figures(self, first: float, last: float) -> dict[str, Any]:
        """Return the figures of the requests that arrived in a period.

        Percentiles cover all requests. A request without an answer counts with the caller's
        timeout, because its caller waited in vain, so percentiles are capped at this timeout.
        """
        arrival_times = np.array(self.arrival_times)
        latencies = np.array(self.latencies)
        in_period = latencies[(arrival_times >= first) & (arrival_times < last)]
        answered = in_period[~np.isnan(in_period)]
        with_timeouts = np.where(np.isnan(in_period), 2.0, in_period)
        result: dict[str, Any] = {
            "requests": len(in_period),
            "service_percent": 100 * len(answered) / max(1, len(in_period)),
            "goodput": len(answered) / (last - first),
        }
        for name, percent in (("p50", 50), ("p99", 99), ("p999", 99.9)):
            result[f"{name}_ms"] = 1000 * float(np.percentile(with_timeouts, percent))
            if len(answered):
                result[f"{name}_answered_ms"] = 1000 * float(np.percentile(answered, percent))
        moves = [m for m in self.moves if first <= m[0] < last]
        result["slices_moved"] = len(moves)
        result["keys_moved"] = sum(m[2] for m in moves)
        result["unavailable_key_seconds"] = self.unavailable_key_seconds
        samples = [value for time, value in self.imbalances if first <= time < last]
        if samples:
            result["imbalance"] = float(np.mean(samples))
            result["imbalance_max"] = float(np.max(samples))
        return result

    def recovery_percentile(self, percent: float) -> float | None:
        """Return a percentile, weighted by keys, of the recovery time after a loss in seconds."""
        if not self.recovery_times:
            return None
        ordered = sorted(self.recovery_times)
        total = sum(keys for _, keys in ordered)
        seen = 0
        for seconds, keys in ordered:
            seen += keys
            if seen >= total * percent / 100:
                return seconds
        return ordered[-1][0]
