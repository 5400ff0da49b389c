"""Slots and request queue of one target."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from radishshunt.errors import NotRun
from radishshunt.policy.lane_state import LaneRequest

if TYPE_CHECKING:
    from radishshunt.clock import Clock
    from radishshunt.policy.lane_state import LaneState

# Interval of checks for free slots: the bound of a cold target rises over time without an event.
BOUND_POLL_SECONDS = 0.25

_REFUSAL_DETAILS = {
    "queue-full": "too many requests wait for the target",
    "overloaded": "the wait for the target would be too long",
    "deadline-unreachable": "the deadline would pass while the request waits",
}


class LaneWaiter(LaneRequest):
    """A request that waits for a slot or has one.

    :ivar event: Set when the request gets a slot.
    """

    __slots__ = ("event",)

    def __init__(self, deadline: float) -> None:
        super().__init__(deadline)
        self.event = trio.Event()


class Lane:
    """Slots and request queue of one target; assigns the slots to the waiting requests.

    :param state: Slots, queue and policies of the target.
    """

    def __init__(self, state: LaneState[LaneWaiter], clock: Clock) -> None:
        self.state = state
        self._clock = clock

    @property
    def slots(self) -> int:
        """Number of requests that the target runs concurrently when it is warm."""
        return self.state.slots

    @property
    def running(self) -> int:
        """Number of requests that hold a slot."""
        return len(self.state.running)

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self.state.waiting)

    @property
    def load(self) -> float:
        """Number of running and waiting requests, divided by the number of slots."""
        return self.state.outstanding / self.state.slots

    async def acquire(self, deadline: float) -> LaneWaiter:
        """Acquire a slot, waiting for one if necessary.

        :param deadline: Seconds since the Unix epoch.
        :return: The holder of the slot, to be passed to :meth:`release`.
        :raises NotRun: If the request is refused or the deadline passes first.
        """
        waiter = LaneWaiter(deadline)
        reason = self.state.offer(waiter, self._clock.now())
        if reason is not None:
            raise NotRun(reason, _REFUSAL_DETAILS[reason], retry_after=1.0)
        self._start_waiters()
        try:
            while not waiter.event.is_set():
                remaining = deadline - self._clock.now()
                if remaining <= 0:
                    break
                with trio.move_on_after(min(remaining, BOUND_POLL_SECONDS)):
                    await waiter.event.wait()
                self._start_waiters()
        except BaseException:
            self._abandon(waiter)
            raise
        if not waiter.event.is_set():
            self._abandon(waiter)
            raise NotRun("deadline", "the deadline passed while the request waited", status=504)
        return waiter

    def release(self, waiter: LaneWaiter, *, answered: bool = True) -> None:
        """Release a slot.

        :param answered: Whether the target ran the request and answered.
        """
        self.state.finish(waiter, self._clock.now(), answered=answered)
        self._start_waiters()

    def on_cold(self) -> None:
        """Record that the target seems cold: it is new, has restarted or reports a cold start."""
        self.state.on_cold(self._clock.now())

    def _start_waiters(self) -> None:
        while (waiter := self.state.start(self._clock.now())) is not None:
            waiter.event.set()

    def _abandon(self, waiter: LaneWaiter) -> None:
        if waiter.event.is_set():
            self.release(waiter, answered=False)
        else:
            self.state.withdraw(waiter)
