"""Circuit breaker in front of the platform's services."""

from __future__ import annotations

from contextlib import contextmanager
from random import Random
from typing import TYPE_CHECKING

import trio

from radishshunt.errors import PlatformUnavailable
from radishshunt.util.backoff import Backoff

if TYPE_CHECKING:
    from collections.abc import Iterator

# One lost answer must not stop the read that finds out how the call ended.
FAILURES_BEFORE_OPENING = 3
FIRST_PAUSE_SECONDS = 0.5
# With jitter at most 7.5 s, so that an operator is not refused for long after an outage.
LARGEST_PAUSE_SECONDS = 5.0


class CircuitBreaker:
    """Refuses calls for a while after failures in a row, then lets single ones through.

    All users of the platform on a host share it, so that their calls together do not hammer a
    platform that is down or overloaded.

    :param rng: Source of the jitter.
    """

    def __init__(self, rng: Random | None = None) -> None:
        self._rng = rng or Random()
        self._backoff = Backoff(FIRST_PAUSE_SECONDS, LARGEST_PAUSE_SECONDS, self._rng)
        self._failures = 0
        self._closed_until = float("-inf")
        self._trying = False

    @contextmanager
    def call(self) -> Iterator[None]:
        """Guard a call; it reports its end with :meth:`succeeded` or :meth:`failed`.

        :raises PlatformUnavailable: If the call must not be sent now.
        """
        if self._failures < FAILURES_BEFORE_OPENING and trio.current_time() >= self._closed_until:
            yield
            return
        wait = self._closed_until - trio.current_time()
        if wait > 0 or self._trying:
            raise PlatformUnavailable(f"not asked, next attempt in {max(wait, 0.0):.1f} s")
        self._trying = True
        try:
            yield
        finally:
            self._trying = False

    def succeeded(self) -> None:
        """Take that a call was answered."""
        self._failures = 0
        self._backoff.reset()
        self._closed_until = float("-inf")

    def failed(self, retry_after: float | None = None) -> None:
        """Take that a call was not answered, or was refused.

        :param retry_after: Seconds for which the platform asks not to be called.
        """
        self._failures += 1
        pause = 0.0
        if retry_after is not None:
            # Hosts that are refused together must not come back together.
            pause = min(retry_after, LARGEST_PAUSE_SECONDS) * self._rng.uniform(1.0, 1.5)
        if self._failures >= FAILURES_BEFORE_OPENING:
            pause = max(pause, self._backoff.next())
        if pause:
            self._closed_until = trio.current_time() + pause
