"""Time limits that do not count the time in which the process itself was held up."""

from __future__ import annotations

from contextlib import contextmanager
from heapq import heappop, heappush
from itertools import count
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Iterator

# Longest time that counts between two looks of the process at its connections. Half of the shortest
# limit that is used with this module would be too coarse; 20 ms costs about 50 wake-ups a second.
TICK_SECONDS = 0.02


class _Progress:
    """Counts the time during which the tasks of this trio run got their turns."""

    def __init__(self) -> None:
        self.seconds = 0.0
        self._scopes: list[tuple[float, int, trio.CancelScope]] = []
        self._numbers = count()
        self._added = trio.Event()

    def add(self, seconds: float, scope: trio.CancelScope) -> None:
        heappush(self._scopes, (self.seconds + seconds, next(self._numbers), scope))
        self._added.set()

    async def run(self) -> None:
        """Cancel the scopes whose time has passed, until the trio run ends."""
        while True:
            if not self._scopes:
                self._added = trio.Event()
                await self._added.wait()
            began = trio.current_time()
            await trio.sleep(TICK_SECONDS)
            self.seconds += min(trio.current_time() - began, TICK_SECONDS)
            while self._scopes and self._scopes[0][0] <= self.seconds:
                heappop(self._scopes)[2].cancel()


_progress: trio.lowlevel.RunVar[_Progress] = trio.lowlevel.RunVar("radishshunt_progress")


@contextmanager
def patient_fail_after(seconds: float) -> Iterator[trio.CancelScope]:
    """Limit a block like :func:`trio.fail_after`, but in time during which this process ran.

    An answer that arrived while the process was suspended or overloaded is read before the limit
    applies, so that the peer does not seem silent.

    :param seconds: Limit; the block ends up to 20 ms later even if the process is never held up.
    :raises trio.TooSlowError: If the block does not end in time.
    """
    try:
        progress = _progress.get()
    except LookupError:
        progress = _Progress()
        _progress.set(progress)
        trio.lowlevel.spawn_system_task(progress.run)
    with trio.CancelScope() as scope:
        progress.add(seconds, scope)
        yield scope
    if scope.cancelled_caught:
        raise trio.TooSlowError
