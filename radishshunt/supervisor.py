"""Supervision of a host's parts: restart with backoff, or take the host down."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from radishshunt.clock import Clock

logger = logging.getLogger(__name__)

FIRST_BACKOFF_SECONDS = 0.1
LARGEST_BACKOFF_SECONDS = 5.0
# A part that fails this often within the window takes the host down.
MAX_FAILURES = 5
FAILURE_WINDOW_SECONDS = 30.0

Part = Callable[[], Awaitable[None]]


class Supervisor:
    """Runs parts and restarts those that fail."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock

    async def run(self, parts: dict[str, Part]) -> None:
        """Run parts by name until cancelled.

        :raises ExceptionGroup: With the last failure of a part that kept failing.
        """
        async with trio.open_nursery() as nursery:
            for name, part in parts.items():
                nursery.start_soon(self._keep, name, part, name=name)

    async def _keep(self, name: str, part: Part) -> None:
        failures: deque[float] = deque(maxlen=MAX_FAILURES)
        while True:
            try:
                await part()
                return
            except Exception:
                now = self._clock.now()
                failures.append(now)
                if len(failures) == MAX_FAILURES and now - failures[0] < FAILURE_WINDOW_SECONDS:
                    logger.critical("part %s failed %d times, giving up", name, MAX_FAILURES)
                    raise
                logger.exception("part %s failed and is restarted", name)
            pause = FIRST_BACKOFF_SECONDS * 2 ** (len(failures) - 1)
            await trio.sleep(min(pause, LARGEST_BACKOFF_SECONDS))
