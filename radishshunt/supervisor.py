"""Supervision of a host's components: restart with backoff, or stop the host."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from radishshunt.clock import Clock

logger = logging.getLogger(__name__)

INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 5.0
# A component that fails this often within the window stops the host.
MAX_FAILURES = 5
FAILURE_WINDOW_SECONDS = 30.0

Component = Callable[[], Awaitable[None]]


class Supervisor:
    """Runs components and restarts those that fail."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock

    async def run(self, components: dict[str, Component]) -> None:
        """Run components until cancelled.

        :param components: Functions to run, by the names that log lines show.
        :raises ExceptionGroup: With the last failure of a component that failed too often.
        """
        async with trio.open_nursery() as nursery:
            for name, component in components.items():
                nursery.start_soon(self._run_restarting, name, component, name=name)

    async def _run_restarting(self, name: str, component: Component) -> None:
        failures: deque[float] = deque(maxlen=MAX_FAILURES)
        while True:
            try:
                await component()
                return
            except Exception:
                now = self._clock.now()
                failures.append(now)
                if len(failures) == MAX_FAILURES and now - failures[0] < FAILURE_WINDOW_SECONDS:
                    logger.critical(
                        "component %s failed %d times, stopping the host", name, MAX_FAILURES
                    )
                    raise
                logger.exception("component %s failed, restarting it", name)
            delay = INITIAL_BACKOFF_SECONDS * 2 ** (len(failures) - 1)
            await trio.sleep(min(delay, MAX_BACKOFF_SECONDS))
