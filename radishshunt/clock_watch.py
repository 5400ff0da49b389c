"""Monitoring of the offsets between the clocks of hosts."""

from __future__ import annotations

import logging

from radishshunt.clock import CLOCK_SKEW_BOUND

logger = logging.getLogger(__name__)

WARNING_INTERVAL_SECONDS = 60.0


class ClockWatch:
    """Offsets of the clocks of peers from the clock of this host.

    :ivar differences: Latest offset of each peer in seconds, positive if its clock is ahead.
    """

    def __init__(self) -> None:
        self.differences: dict[str, float] = {}
        self._warned_at: dict[str, float] = {}

    def forget(self, host: str) -> None:
        """Discard the offset of a host's clock."""
        self.differences.pop(host, None)
        self._warned_at.pop(host, None)

    def record(self, host: str, sent_at: float, received_at: float, peer_at: float) -> None:
        """Record the offset that a heartbeat and its answer show, and warn if it is too large.

        :param sent_at: Time on this host's clock at which the heartbeat was sent.
        :param received_at: Time on this host's clock at which the answer was received.
        :param peer_at: Time on the peer's clock at which it answered.
        """
        difference = peer_at - (sent_at + received_at) / 2
        self.differences[host] = difference
        # The peer may have answered at any time in between, so the offset is only known to within
        # half of the round-trip time.
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
