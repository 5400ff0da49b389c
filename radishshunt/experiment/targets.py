"""Simulated target with one queue, a few slots, cold starts and slowdowns."""

from __future__ import annotations

from heapq import heapify, heappop, heappush, heapreplace

from radishshunt.experiment.deployments import (
    COLD_SECONDS,
    COLD_SLOTS,
    COLD_SLOWDOWN,
    NEW_CONNECTION_SECONDS,
    SLOTS,
)

KEEPALIVE_SECONDS = 4.0


class SimulatedTarget:
    """A target that computes the end time of each request on its arrival.

    Requests must arrive in order of time.

    :ivar over_cold_limit: Number of requests that arrived while the target was cold and already had
        :data:`~radishshunt.experiment.deployments.COLD_SLOTS` requests.
    :ivar refuses_when_cold: Whether a cold target refuses requests above
        :data:`~radishshunt.experiment.deployments.COLD_SLOTS`.
    :ivar max_outstanding_cold: Largest number of running and waiting requests while the target was
        cold.
    :ivar max_outstanding: Largest number of running and waiting requests.
    :ivar opened_connections: Number of connections opened to the target.
    """

    def __init__(self, name: str, domain: str, group: int) -> None:
        self.name = name
        self.domain = domain
        self.group = group
        self.incarnation = 0
        self.alive = True
        self.slowdown = 1.0
        self.cold_until = float("-inf")
        self.refuses_when_cold = False
        self.over_cold_limit = 0
        self.max_outstanding_cold = 0
        self.max_outstanding = 0
        self.opened_connections = 0
        self._slot_free_at = [0.0] * SLOTS
        self._end_times: list[float] = []
        self._idle_connections: dict[int, list[tuple[float, int]]] = {}

    @property
    def outstanding(self) -> int:
        """Number of running and waiting requests at the time of the last arrival."""
        return len(self._end_times)

    def load(self, now: float) -> float:
        """Return the number of running and waiting requests, divided by the slots."""
        self._remove_finished(now)
        return len(self._end_times) / SLOTS

    def acquire_connection(self, now: float, sender: int = 0) -> tuple[float, bool]:
        """Take a connection from the sender's pool, or open a new one.

        :param sender: Number of the sending host.
        :return: Seconds that connecting takes, and whether the connection belongs to an earlier
            incarnation of the target.
        """
        idle_connections = self._idle_connections.get(sender)
        while idle_connections:
            used_at, incarnation = idle_connections.pop()
            if now - used_at < KEEPALIVE_SECONDS:
                return 0.0, incarnation != self.incarnation
        self.opened_connections += 1
        return NEW_CONNECTION_SECONDS, False

    def release_connection(self, now: float, incarnation: int, sender: int = 0) -> None:
        """Return a connection to the sender's pool."""
        self._idle_connections.setdefault(sender, []).append((now, incarnation))

    def on_arrival(self, now: float, service_seconds: float) -> float | None:
        """Accept a request and compute when it ends.

        :param service_seconds: Service time on a warm target.
        :return: The time at which the request ends, or ``None`` if the target is cold and
            refuses it.
        """
        self._remove_finished(now)
        outstanding = len(self._end_times)
        seconds = service_seconds * self.slowdown
        if now < self.cold_until:
            if outstanding >= COLD_SLOTS:
                self.over_cold_limit += 1
                if self.refuses_when_cold:
                    return None
            self.max_outstanding_cold = max(self.max_outstanding_cold, outstanding + 1)
            # Requests above the limit of a cold target slow it down in proportion.
            seconds *= COLD_SLOWDOWN * max(1.0, (outstanding + 1) / COLD_SLOTS)
        start = max(now, self._slot_free_at[0])
        end = start + seconds
        heapreplace(self._slot_free_at, end)
        heappush(self._end_times, end)
        self.max_outstanding = max(self.max_outstanding, outstanding + 1)
        return end

    def restart(self, now: float, *, alive: bool = True) -> None:
        """Drop all requests and start cold under a new incarnation.

        :param alive: Whether the target comes back; otherwise it stays down.
        """
        self.incarnation += 1
        self.alive = alive
        self._end_times.clear()
        self._slot_free_at = [now] * SLOTS
        heapify(self._slot_free_at)
        if alive:
            self.become_cold(now)

    def become_cold(self, now: float) -> None:
        """Begin a cold start."""
        self.cold_until = now + COLD_SECONDS

    def _remove_finished(self, now: float) -> None:
        end_times = self._end_times
        while end_times and end_times[0] <= now:
            heappop(end_times)
