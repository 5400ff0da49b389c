"""Number of hosts that share the operators' bounds."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from radishshunt.clock import Clock

# Time for which a larger number still counts.
WINDOW_SECONDS = 6.0
# Assumed before the first report.
INITIAL_HOSTS = 12


class HostCount:
    """Largest number of hosts that was reported recently.

    A new leader counts only the hosts that have connected to it so far. With that number, each host
    would take a part of the operators' bounds that is several times too large.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._reported: deque[tuple[float, int]] = deque()

    def record(self, hosts: int) -> None:
        """Record a reported number; 0 if there is none."""
        now = self._clock.now()
        while self._reported and self._reported[0][0] < now - WINDOW_SECONDS:
            self._reported.popleft()
        if hosts and (not self._reported or self._reported[-1][1] != hosts):
            self._reported.append((now, hosts))
        elif self._reported:
            self._reported[-1] = (now, self._reported[-1][1])

    @property
    def reported(self) -> bool:
        """Whether any number was reported within :data:`WINDOW_SECONDS`."""
        return bool(self._reported)

    @property
    def largest(self) -> int:
        """Largest number within :data:`WINDOW_SECONDS`."""
        return max((hosts for _, hosts in self._reported), default=INITIAL_HOSTS)
