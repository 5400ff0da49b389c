"""Watch over the differences between the clocks of hosts."""

from __future__ import annotations

import logging

from radishshunt.clock import CLOCK_SKEW_BOUND

logger = logging.getLogger(__name__)

WARNING_INTERVAL_SECONDS = 60.0


class ClockWatch:
    """Differences between the clocks of this host and its peers."""

    def __init__(self) -> None:
        self.differences: dict[str, float] = {}
        self._warned_at: dict[str, float] = {}

    def forget(self, host: str) -> None:
        """Drop what is known of a host's clock."""
        self.differences.pop(host, None)
        self._warned_at.pop(host, None)

    def note(self, host: str, sent_at: float, received_at: float, peer_at: float) -> None:
        """Take the times of a heartbeat and of its answer."""
        difference = peer_at - (sent_at + received_at) / 2
        self.differences[host] = difference
        # The answer was written at some time between the two, so half of that is uncertain.
        if abs(difference) - (received_at - sent_at) / 2 <= CLOCK_SKEW_BOUND:
            return
        if received_at - self._warned_at.get(host, float("-inf")) >= WARNING_INTERVAL_SECONDS:
            self._warned_at[host] = received_at
            logger.warning(
                "clock of host %s differs by %.3f s, more than %.1f s",
                host,
                difference,
                CLOCK_SKEW_BOUND,
            )
