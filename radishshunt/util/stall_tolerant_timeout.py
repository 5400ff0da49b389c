"""Timeouts that do not count the time during which the process itself was stalled."""

from __future__ import annotations

from contextlib import contextmanager
from heapq import heappop, heappush
from itertools import count
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Iterator

# Interval at which running time is measured, and the most that one interval adds, however long it
# took. Half of the shortest timeout used with this module would be too coarse; 20 ms costs about 50
# wake-ups per second.
TICK_SECONDS = 0.02


class _RunningTime:
    """Measures the time during which the tasks of this trio run were scheduled.

    :ivar seconds: Running time so far.
    """

    def __init__(self) -> None:
        self.seconds = 0.0
        self._scopes: list[tuple[float, int, trio.CancelScope]] = []
        self._sequence_numbers = count()
        self._scope_added = trio.Event()

    def cancel_after(self, seconds: float, scope: trio.CancelScope) -> None:
        """Cancel a scope after the given running time."""
        heappush(self._scopes, (self.seconds + seconds, next(self._sequence_numbers), scope))
        self._scope_added.set()

    async def run(self) -> None:
        """Measure running time and cancel expired scopes, until the trio run ends."""
        while True:
            if not self._scopes:
                self._scope_added = trio.Event()
                await self._scope_added.wait()
            started_at = trio.current_time()
            await trio.sleep(TICK_SECONDS)
            self.seconds += min(trio.current_time() - started_at, TICK_SECONDS)
            while self._scopes and self._scopes[0][0] <= self.seconds:
                heappop(self._scopes)[2].cancel()


_running_time: trio.lowlevel.RunVar[_RunningTime] = trio.lowlevel.RunVar("radishshunt_progress")


@contextmanager
def fail_after_running_time(seconds: float) -> Iterator[trio.CancelScope]:
    """Limit a block like :func:`trio.fail_after`, counting only the time in which the process ran.

    An answer that arrived while the process was suspended or overloaded is read before the timeout
    takes effect, so that the peer is not considered silent.

    :param seconds: Timeout; it takes effect up to 20 ms late even if the process never stalls.
    :raises trio.TooSlowError: If the block does not end in time.
    """
    try:
        running_time = _running_time.get()
    except LookupError:
        running_time = _RunningTime()
        _running_time.set(running_time)
        trio.lowlevel.spawn_system_task(running_time.run)
    with trio.CancelScope() as scope:
        running_time.cancel_after(seconds, scope)
        yield scope
    if scope.cancelled_caught:
        raise trio.TooSlowError
