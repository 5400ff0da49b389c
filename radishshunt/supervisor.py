"""Supervision of a host's components, which are restarted with backoff when they fail."""

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
# A component that fails this often within the window is reported as failing.
MAX_FAILURES = 5
FAILURE_WINDOW_SECONDS = 30.0

Component = Callable[[], Awaitable[None]]


class Supervisor:
    """Runs components and restarts those that fail.

    A component that fails again and again does not end the host: what makes it fail may be seen by
    all hosts, which would then end together. The other components still serve callers.

    :param on_failure: Called with the name of a component at each of its failures.
    """

    def __init__(
        self, clock: Clock, on_failure: Callable[[str], None] = lambda _component: None
    ) -> None:
        self._clock = clock
        self._on_failure = on_failure

    async def run(self, components: dict[str, Component]) -> None:
        """Run components until cancelled.

        :param components: Functions to run, by the names that log lines show.
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
                logger.exception("component %s failed, restarting it", name)
            self._on_failure(name)
            now = self._clock.now()
            failures.append(now)
            while failures[0] < now - FAILURE_WINDOW_SECONDS:
                failures.popleft()
            delay = INITIAL_BACKOFF_SECONDS * 2 ** (len(failures) - 1)
            if len(failures) == MAX_FAILURES:
                delay = MAX_BACKOFF_SECONDS
                logger.critical(
                    "component %s failed %d times in %g s, restarting it every %g s",
                    name,
                    MAX_FAILURES,
                    FAILURE_WINDOW_SECONDS,
                    MAX_BACKOFF_SECONDS,
                )
            await trio.sleep(delay)
