"""Slots and queue of one target, free of I/O."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Generic, TypeVar

from radishshunt.policy.admission import QueueView

if TYPE_CHECKING:
    from radishshunt.policy.admission import Admission
    from radishshunt.policy.cold_start import ColdStart
    from radishshunt.policy.queueing import QueueOrder

# Weight of the newest answer in the estimate of the service time.
SERVICE_WEIGHT = 0.1
# Estimate before the first answer.
FIRST_SERVICE_SECONDS = 0.02


class Waiter:
    """A request at a lane.

    :param deadline: Seconds since the Unix epoch.
    """

    __slots__ = ("arrived_at", "deadline", "sent_at")

    def __init__(self, deadline: float) -> None:
        self.deadline = deadline
        self.arrived_at = 0.0
        self.sent_at = 0.0


W = TypeVar("W", bound=Waiter)


class LaneState(Generic[W]):
    """Gives out a target's slots.

    Every admitted waiter ends with one call of :meth:`finish` if it was returned by
    :meth:`start`, and otherwise by :meth:`expire` or :meth:`withdraw`.

    :param slots: Requests that the target runs at once when it is warm.
    :param send_ahead: Requests sent beyond the slots while the target is warm. They keep the
        slots busy during the round trip, but need a target with a queue of its own.
    """

    def __init__(
        self,
        slots: int,
        admission: Admission,
        order: QueueOrder,
        cold_start: ColdStart,
        send_ahead: int = 0,
    ) -> None:
        self.slots = slots
        self._send_ahead = send_ahead
        self.service_seconds = FIRST_SERVICE_SECONDS
        self.running: list[W] = []
        self.waiting: deque[W] = deque()
        self._admission = admission
        self._order = order
        self._cold_start = cold_start
        self._idle_since = float("-inf")
        # Idle time before the requests that run now, 0 once one of them was answered.
        self._unproven_seconds = 0.0

    @property
    def outstanding(self) -> int:
        """Number of requests that run or wait."""
        return len(self.running) + len(self.waiting)

    def bound(self, now: float) -> int:
        """Return how many requests may run at once now."""
        idle = self._unproven_seconds if self.running else now - self._idle_since
        bound = self._cold_start.bound(now, idle)
        return bound if bound < self.slots else bound + self._send_ahead

    def cold(self, now: float) -> bool:
        """Return whether the bound is lowered because of a cold start."""
        return self._cold_start.bound(now, 0.0) < self.slots

    def offer(self, waiter: W, now: float) -> str | None:
        """Let a request wait.

        :return: The reason to refuse it, or ``None`` if it was admitted.
        """
        running = len(self.running)
        view = QueueView(running, len(self.waiting), self.bound(now), self.service_seconds)
        reason = self._admission.refusal(view, now, waiter.deadline)
        if reason is None:
            waiter.arrived_at = now
            self.waiting.append(waiter)
        return reason

    def start(self, now: float) -> W | None:
        """Return the next waiter that gets a slot, or ``None``."""
        waiting = self.waiting
        if not waiting or len(self.running) >= self.bound(now):
            return None
        newest = self._order.newest_first(now - waiting[0].arrived_at)
        waiter = waiting.pop() if newest else waiting.popleft()
        waiter.sent_at = now
        if not self.running:
            self._unproven_seconds = now - self._idle_since
        self.running.append(waiter)
        return waiter

    def expire(self, now: float, needed: float = 0.0) -> list[W]:
        """Remove the waiters that cannot be answered in time.

        :param needed: Seconds that a request needs after it was given a slot.
        """
        latest = now + needed
        expired = [w for w in self.waiting if w.deadline <= latest]
        for waiter in expired:
            self.waiting.remove(waiter)
        return expired

    def withdraw(self, waiter: W) -> None:
        """Remove a waiter that gave up."""
        self.waiting.remove(waiter)

    def finish(self, waiter: W, now: float, *, answered: bool) -> None:
        """Take a slot back.

        :param answered: Whether the target ran the request and answered.
        """
        self.running.remove(waiter)
        if not self.running:
            self._idle_since = now
        if answered:
            self._unproven_seconds = 0.0
            seconds = now - waiter.sent_at
            self.service_seconds += SERVICE_WEIGHT * (seconds - self.service_seconds)

    def on_cold(self, now: float) -> None:
        """Take evidence that the target is cold."""
        self._cold_start.on_cold(now)

    def stuck_seconds(self, now: float) -> float:
        """Return the age of the youngest request if all allowed slots are in use, else 0."""
        if not self.running or len(self.running) < self.bound(now):
            return 0.0
        return now - max(w.sent_at for w in self.running)
