"""A host's part of the rate that a cold target bears.

Load pattern: a third of the targets come back cold, and every host sends to them at once.
"""

from __future__ import annotations

from collections import deque

# Part of the bound that all hosts together use; the rest covers requests that were sent in one
# second and arrive in the next.
SAFE_PART = 0.7
WINDOW_SECONDS = 1.0


class ColdRate:
    """Counts requests to one cold target in a sliding window."""

    def __init__(self) -> None:
        self._sent: deque[float] = deque()

    def allows(self, limit: float, hosts: int, now: float) -> bool:
        """Return whether another request may be sent, and count it if so.

        :param limit: Requests in one second that all hosts together may send.
        :param hosts: Hosts that send.
        """
        share = max(1.0, SAFE_PART * limit / max(1, hosts))
        window = WINDOW_SECONDS * max(1.0, max(1, hosts) / max(1.0, SAFE_PART * limit))
        while self._sent and self._sent[0] <= now - window:
            self._sent.popleft()
        if len(self._sent) + 1 > share:
            return False
        self._sent.append(now)
        return True
