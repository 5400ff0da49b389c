"""Occupancy of targets of which a host hears too seldom.

Load pattern: 66 hosts send 98 requests per second to ten targets, so that a host hears of one
target every few seconds, while requests of 0.1 s come and go and the demand of a domain moves by
half within 15 s. Without a recent report a host would take every target for idle and keep sending
into a domain that is full. Its reports from all targets of the domain together are recent enough to
tell how busy the domain is.
"""

from __future__ import annotations

import math

# Weight of the newest report in the mean of a domain. A host with 1.5 responses per second follows
# a wave of 15 s with a delay of a few seconds. With 0.15, replays sent a third more bytes
# elsewhere.
MEAN_WEIGHT = 0.1
# Time in which the difference of a target from the mean of its domain falls to a third.
DECAY_SECONDS = 0.7


class DomainOccupancy:
    """Estimates the other hosts' requests at the targets of each domain and service."""

    def __init__(self) -> None:
        self._means: dict[tuple[str, str], float] = {}

    def record(self, service: str, domain: str, requests_per_slot: float) -> None:
        """Record a report.

        :param requests_per_slot: Other hosts' requests at the target, per slot.
        """
        key = (service, domain)
        mean = self._means.get(key, requests_per_slot)
        self._means[key] = mean + MEAN_WEIGHT * (requests_per_slot - mean)

    def other_requests(
        self, service: str, domain: str, slots: int, report: tuple[float, float] | None, now: float
    ) -> float:
        """Return the expected number of other hosts' requests at a target.

        :param report: Number of them in the target's last report, and the time of that report.
        """
        mean = self._means.get((service, domain), 0.0) * slots
        if report is None:
            return mean
        requests, received_at = report
        return mean + (requests - mean) * math.exp((received_at - now) / DECAY_SECONDS)

    def retain(self, services: set[str]) -> None:
        """Forget all services but these."""
        self._means = {key: mean for key, mean in self._means.items() if key[0] in services}
