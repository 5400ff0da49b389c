"""Slots and request queue of one target (its lane), free of I/O."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Generic, TypeVar

from radishshunt.policy.admission import QueueView

if TYPE_CHECKING:
    from radishshunt.policy.admission import Admission
    from radishshunt.policy.cold_start import ColdStart
    from radishshunt.policy.queueing import QueueOrder

# Weight of the newest answer in the moving average of the service time.
SERVICE_TIME_WEIGHT = 0.1
# Service time assumed before the first answer.
INITIAL_SERVICE_SECONDS = 0.02


class LaneRequest:
    """A request that waits in a lane or runs on its target.

    :param deadline: Seconds since the Unix epoch.
    :ivar arrived_at: Time at which the request was queued, in seconds since the Unix epoch.
    :ivar sent_at: Time at which the request got a slot, in seconds since the Unix epoch.
    """

    __slots__ = ("arrived_at", "deadline", "sent_at")

    def __init__(self, deadline: float) -> None:
        self.deadline = deadline
        self.arrived_at = 0.0
        self.sent_at = 0.0


W = TypeVar("W", bound=LaneRequest)


class LaneState(Generic[W]):
    """Slots of one target and the queue of requests that wait for a slot.

    Every admitted request leaves the lane by one call of :meth:`finish` if :meth:`start` returned
    it, and otherwise by :meth:`expire` or :meth:`withdraw`.

    :param slots: Number of requests that the target runs concurrently when it is warm.
    :param send_ahead: Maximum number of requests sent beyond the slots while the target is warm.
        They keep the slots busy during a round trip, but require a target that queues requests
        itself.
    :ivar service_seconds: Moving average of the service time.
    :ivar running: Requests that have a slot.
    :ivar waiting: Requests that wait for a slot, in order of arrival.
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
        self.service_seconds = INITIAL_SERVICE_SECONDS
        self.running: list[W] = []
        self.waiting: deque[W] = deque()
        self._admission = admission
        self._order = order
        self._cold_start = cold_start
        self._idle_since = float("-inf")
        # Idle time before the requests that run now; 0 once one of them was answered, because an
        # answer reveals a restart.
        self._unverified_idle_seconds = 0.0

    @property
    def outstanding(self) -> int:
        """Number of requests that run or wait."""
        return len(self.running) + len(self.waiting)

    def concurrency_limit(self, now: float) -> int:
        """Return the maximum number of requests that may run concurrently now."""
        idle = self._unverified_idle_seconds if self.running else now - self._idle_since
        limit = self._cold_start.concurrency_limit(now, idle)
        return limit if limit < self.slots else limit + self._send_ahead

    def is_cold(self, now: float) -> bool:
        """Return whether a cold start lowers the concurrency limit."""
        return self._cold_start.concurrency_limit(now, 0.0) < self.slots

    def offer(self, req: W, now: float) -> str | None:
        """Add a request to the queue if admission control allows it.

        :return: The reason for the refusal, or ``None`` if the request was admitted.
        """
        running = len(self.running)
        view = QueueView(
            running, len(self.waiting), self.concurrency_limit(now), self.service_seconds
        )
        reason = self._admission.refusal(view, now, req.deadline)
        if reason is None:
            req.arrived_at = now
            self.waiting.append(req)
        return reason

    def start(self, now: float) -> W | None:
        """Assign a slot to the next request and return it, or ``None`` if none can start."""
        waiting = self.waiting
        if not waiting or len(self.running) >= self.concurrency_limit(now):
            return None
        newest = self._order.newest_first(now - waiting[0].arrived_at)
        req = waiting.pop() if newest else waiting.popleft()
        req.sent_at = now
        if not self.running:
            self._unverified_idle_seconds = now - self._idle_since
        self.running.append(req)
        return req

    def expire(self, now: float, needed: float = 0.0) -> list[W]:
        """Remove and return the waiting requests that cannot be answered before their deadline.

        :param needed: Seconds that a request needs after it was assigned a slot.
        """
        min_deadline = now + needed
        expired = [w for w in self.waiting if w.deadline <= min_deadline]
        for req in expired:
            self.waiting.remove(req)
        return expired

    def withdraw(self, req: W) -> None:
        """Remove a waiting request that was given up."""
        self.waiting.remove(req)

    def finish(self, req: W, now: float, *, answered: bool) -> None:
        """Release the slot of a request that ended.

        :param answered: Whether the target ran the request and answered.
        """
        self.running.remove(req)
        if not self.running:
            self._idle_since = now
        if answered:
            self._unverified_idle_seconds = 0.0
            seconds = now - req.sent_at
            self.service_seconds += SERVICE_TIME_WEIGHT * (seconds - self.service_seconds)

    def on_cold(self, now: float) -> None:
        """Record that the target is cold."""
        self._cold_start.on_cold(now)

    def stuck_seconds(self, now: float) -> float:
        """Return the age of the youngest request if all allowed slots are in use, else 0."""
        if not self.running or len(self.running) < self.concurrency_limit(now):
            return 0.0
        return now - max(w.sent_at for w in self.running)
