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

# A single lost answer must not block the read that finds out the outcome of its call.
FAILURES_BEFORE_OPENING = 3
FIRST_PAUSE_SECONDS = 0.5
# With jitter at most 7.5 s, so that an operator is not refused for long after an outage.
LARGEST_PAUSE_SECONDS = 5.0


class CircuitBreaker:
    """Rejects calls for a pause after consecutive failures, then lets one at a time through.

    All users of the platform on a host share it, so that together they do not flood a platform
    that is down or overloaded with calls.

    :param rng: Random source of the jitter.
    """

    def __init__(self, rng: Random | None = None) -> None:
        self._rng = rng or Random()
        self._backoff = Backoff(FIRST_PAUSE_SECONDS, LARGEST_PAUSE_SECONDS, self._rng)
        self._consecutive_failures = 0
        self._open_until = float("-inf")
        self._probing = False

    @contextmanager
    def call(self) -> Iterator[None]:
        """Guard a call that ends with :meth:`record_success` or :meth:`record_failure`.

        :raises PlatformUnavailable: If the call must not be sent now.
        """
        if (
            self._consecutive_failures < FAILURES_BEFORE_OPENING
            and trio.current_time() >= self._open_until
        ):
            yield
            return
        wait = self._open_until - trio.current_time()
        if wait > 0 or self._probing:
            raise PlatformUnavailable(f"call not sent; next attempt in {max(wait, 0.0):.1f} s")
        self._probing = True
        try:
            yield
        finally:
            self._probing = False

    def record_success(self) -> None:
        """Close the circuit breaker after an answered call."""
        self._consecutive_failures = 0
        self._backoff.reset()
        self._open_until = float("-inf")

    def record_failure(self, retry_after: float | None = None) -> None:
        """Count a failed or refused call, and set the pause that follows it, if any.

        :param retry_after: Seconds for which the platform asks not to be called.
        """
        self._consecutive_failures += 1
        pause = 0.0
        if retry_after is not None:
            # Hosts that are refused at the same time must not retry at the same time.
            pause = min(retry_after, LARGEST_PAUSE_SECONDS) * self._rng.uniform(1.0, 1.5)
        if self._consecutive_failures >= FAILURES_BEFORE_OPENING:
            pause = max(pause, self._backoff.next_delay())
        if pause:
            self._open_until = trio.current_time() + pause
