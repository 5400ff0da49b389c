"""Bounds how many requests are sent again."""

from __future__ import annotations

# Share of requests that may be sent again in the long run. With more, retries of slow requests
# would add load when the targets can least bear it.
RETRY_RATIO = 0.1
RETRY_BURST = 20.0


class RetryBudget:
    """Allows a share of requests to be sent again.

    :param ratio: Retries for each request.
    :param burst: Retries that may be saved up.
    """

    def __init__(self, ratio: float = RETRY_RATIO, burst: float = RETRY_BURST) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    def note_request(self) -> None:
        """Count a request."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def take(self) -> bool:
        """Return whether a request may be sent again, and count the retry."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
