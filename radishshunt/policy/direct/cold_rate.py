"""Rate limit of one host for requests to a cold target.

Load pattern: a third of the targets return cold, and every host sends to them at once. A target
may also become cold while it is busy, so that what was sent to it in the last second counts.
"""

from __future__ import annotations

from collections import deque

# Share of the limit that all hosts together use. The rest covers requests that are sent in one
# second and arrive in the next.
SAFE_SHARE = 0.7
WINDOW_SECONDS = 1.0
# Number of requests that are remembered; more within the window exceed any share of the limit.
MAX_COUNTED_REQUESTS = 64


class ColdRateLimiter:
    """Limits requests to one target in a sliding window while it is cold."""

    def __init__(self) -> None:
        self._sent_at: deque[float] = deque(maxlen=MAX_COUNTED_REQUESTS)
        self._cold_sent_at = float("-inf")

    def record(self, now: float, *, cold: bool) -> None:
        """Count a request that is sent.

        :param cold: Whether the target counts as cold.
        """
        self._sent_at.append(now)
        if cold:
            self._cold_sent_at = now

    def may_send(self, limit: float, hosts: int, now: float) -> bool:
        """Return whether another request may be sent to the cold target.

        :param limit: Maximum number of requests per second from all hosts together.
        :param hosts: Number of hosts that share the limit.
        """
        host_limit = SAFE_SHARE * limit / max(1, hosts)
        # If not every host may send one request a second, each waits for longer.
        seconds_per_request = WINDOW_SECONDS * max(1.0, 1.0 / host_limit)
        if host_limit < 1.0 and now - self._cold_sent_at < seconds_per_request:
            return False
        recent = sum(sent_at > now - WINDOW_SECONDS for sent_at in self._sent_at)
        return recent + 1 <= max(1.0, host_limit)

    def try_acquire(self, limit: float, hosts: int, now: float) -> bool:
        """Return whether another request may be sent to the cold target, and count it if so.

        :param limit: Maximum number of requests per second from all hosts together.
        :param hosts: Number of hosts that share the limit.
        """
        if not self.may_send(limit, hosts, now):
            return False
        self.record(now, cold=True)
        return True
