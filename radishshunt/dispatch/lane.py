"""Slots and queue of one target."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from radishshunt.errors import NotRun
from radishshunt.policy.lane_state import Waiter

if TYPE_CHECKING:
    from radishshunt.clock import Clock
    from radishshunt.policy.lane_state import LaneState

# Pause after which a raised bound of a cold target is noticed without any other event.
BOUND_POLL_SECONDS = 0.25

_DETAILS = {
    "queue-full": "too many requests wait for the target",
    "overloaded": "the wait for the target would be too long",
    "deadline-unreachable": "the deadline would pass while the request waits",
}


class Turn(Waiter):
    """A request's place in a lane."""

    __slots__ = ("event",)

    def __init__(self, deadline: float) -> None:
        super().__init__(deadline)
        self.event = trio.Event()


class Lane:
    """Gives out a target's slots; the decisions are those of its state.

    :param state: Slots, queue and policies of the target.
    """

    def __init__(self, state: LaneState[Turn], clock: Clock) -> None:
        self.state = state
        self._clock = clock

    @property
    def slots(self) -> int:
        """Requests that the target runs at once when it is warm."""
        return self.state.slots

    @property
    def running(self) -> int:
        """Number of requests that have a slot."""
        return len(self.state.running)

    @property
    def queued(self) -> int:
        """Number of requests that wait."""
        return len(self.state.waiting)

    @property
    def load(self) -> float:
        """Requests running and waiting, divided by the slots."""
        return self.state.outstanding / self.state.slots

    async def acquire(self, deadline: float) -> Turn:
        """Take a slot, or wait for one.

        :param deadline: Seconds since the Unix epoch.
        :return: The slot, to be given to :meth:`release`.
        :raises NotRun: If the request is refused or the deadline passes first.
        """
        turn = Turn(deadline)
        reason = self.state.offer(turn, self._clock.now())
        if reason is not None:
            raise NotRun(reason, _DETAILS[reason], retry_after=1.0)
        self._start()
        try:
            while not turn.event.is_set():
                remaining = deadline - self._clock.now()
                if remaining <= 0:
                    break
                with trio.move_on_after(min(remaining, BOUND_POLL_SECONDS)):
                    await turn.event.wait()
                self._start()
        except BaseException:
            self._leave(turn)
            raise
        if not turn.event.is_set():
            self._leave(turn)
            raise NotRun("deadline", "the deadline passed while the request waited", status=504)
        return turn

    def release(self, turn: Turn, *, answered: bool = True) -> None:
        """Give a slot back.

        :param answered: Whether the target ran the request and answered.
        """
        self.state.finish(turn, self._clock.now(), answered=answered)
        self._start()

    def on_cold(self) -> None:
        """Take evidence that the target is cold: it is new, was restarted, or said so."""
        self.state.on_cold(self._clock.now())

    def _start(self) -> None:
        while (turn := self.state.start(self._clock.now())) is not None:
            turn.event.set()

    def _leave(self, turn: Turn) -> None:
        if turn.event.is_set():
            self.release(turn, answered=False)
        else:
            self.state.withdraw(turn)
