"""Slots and queue of one target."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import trio

from radishshunt.errors import NotRun

if TYPE_CHECKING:
    from radishshunt.clock import Clock


class Lane:
    """Gives out a target's slots in order of arrival.

    :param slots: Requests that the target runs at once.
    :param queue_limit: Requests that may wait.
    """

    def __init__(self, slots: int, queue_limit: int, clock: Clock) -> None:
        self.slots = slots
        self.queue_limit = queue_limit
        self.running = 0
        self._clock = clock
        self._waiting: deque[trio.Event] = deque()

    @property
    def queued(self) -> int:
        """Number of requests that wait."""
        return len(self._waiting)

    @property
    def load(self) -> float:
        """Requests running and waiting, divided by the slots."""
        return (self.running + self.queued) / self.slots

    async def acquire(self, deadline: float) -> None:
        """Take a slot, or wait for one.

        :param deadline: Seconds since the Unix epoch.
        :raises NotRun: If the queue is full or the deadline passes first.
        """
        if self.running < self.slots and not self._waiting:
            self.running += 1
            return
        if self.queued >= self.queue_limit:
            raise NotRun("queue-full", "too many requests wait for the target", retry_after=1.0)
        turn = trio.Event()
        self._waiting.append(turn)
        try:
            with trio.move_on_after(max(0.0, deadline - self._clock.now())):
                await turn.wait()
        except BaseException:
            self._leave(turn)
            raise
        if not turn.is_set():
            self._leave(turn)
            raise NotRun("deadline", "the deadline passed while the request waited", status=504)

    def release(self) -> None:
        """Give a slot back."""
        self.running -= 1
        while self._waiting and self.running < self.slots:
            self.running += 1
            self._waiting.popleft().set()

    def _leave(self, turn: trio.Event) -> None:
        if turn.is_set():
            self.release()
        else:
            self._waiting.remove(turn)
