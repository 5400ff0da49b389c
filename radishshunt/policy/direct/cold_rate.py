"""Rate limit of one host for requests to a cold target.

Load pattern: a third of the targets return cold, and every host sends to them at once.
"""

from __future__ import annotations

from collections import deque

# Share of the limit that all hosts together use. The rest covers requests that are sent in one
# second and arrive in the next.
SAFE_SHARE = 0.7
WINDOW_SECONDS = 1.0


class ColdRateLimiter:
    """Limits requests to one cold target in a sliding window."""

    def __init__(self) -> None:
        self._sent_at: deque[float] = deque()

    def try_acquire(self, limit: float, hosts: int, now: float) -> bool:
        """Return whether another request may be sent, and count it if so.

        :param limit: Maximum number of requests per second from all hosts together.
        :param hosts: Number of hosts that share the limit.
        """
        host_limit = max(1.0, SAFE_SHARE * limit / max(1, hosts))
        window = WINDOW_SECONDS * max(1.0, max(1, hosts) / max(1.0, SAFE_SHARE * limit))
        while self._sent_at and self._sent_at[0] <= now - window:
            self._sent_at.popleft()
        if len(self._sent_at) + 1 > host_limit:
            return False
        self._sent_at.append(now)
        return True
