"""Emulated target: one queue, a few slots, cold starts and slow phases."""

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


class EmulatedTarget:
    """A target that finishes each request at a time known when it arrives.

    Requests must arrive in order of time.

    :ivar over_bound: Requests that arrived at a cold target that already had its bound.
    :ivar most_cold: Most requests that a cold target had at once.
    """

    def __init__(self, name: str, domain: str, group: int) -> None:
        self.name = name
        self.domain = domain
        self.group = group
        self.incarnation = 0
        self.alive = True
        self.slowdown = 1.0
        self.cold_until = float("-inf")
        self.sheds_when_cold = False
        self.over_bound = 0
        self.most_cold = 0
        self.most_at_once = 0
        self.connects = 0
        self._free = [0.0] * SLOTS
        self._ends: list[float] = []
        self._idle: dict[int, list[tuple[float, int]]] = {}

    @property
    def present(self) -> int:
        """Number of requests that run or wait here, as of the last arrival."""
        return len(self._ends)

    def load(self, now: float) -> float:
        """Return the requests here divided by the slots."""
        self._forget(now)
        return len(self._ends) / SLOTS

    def connect(self, now: float, sender: int = 0) -> tuple[float, bool]:
        """Take a connection out of the sender's pool, or open one.

        :param sender: Number of the host that sends.
        :return: The seconds that it takes, and whether it was one to an earlier incarnation.
        """
        idle = self._idle.get(sender)
        while idle:
            used_at, incarnation = idle.pop()
            if now - used_at < KEEPALIVE_SECONDS:
                return 0.0, incarnation != self.incarnation
        self.connects += 1
        return NEW_CONNECTION_SECONDS, False

    def put_back(self, now: float, incarnation: int, sender: int = 0) -> None:
        """Return a connection to the pool."""
        self._idle.setdefault(sender, []).append((now, incarnation))

    def arrive(self, now: float, service: float) -> float | None:
        """Take a request.

        :return: The time at which it ends, or ``None`` if the target is cold and sheds it.
        """
        self._forget(now)
        present = len(self._ends)
        seconds = service * self.slowdown
        if now < self.cold_until:
            if present >= COLD_SLOTS:
                self.over_bound += 1
                if self.sheds_when_cold:
                    return None
            self.most_cold = max(self.most_cold, present + 1)
            # More requests than a cold target bears slow all of them down.
            seconds *= COLD_SLOWDOWN * max(1.0, (present + 1) / COLD_SLOTS)
        start = max(now, self._free[0])
        end = start + seconds
        heapreplace(self._free, end)
        heappush(self._ends, end)
        self.most_at_once = max(self.most_at_once, present + 1)
        return end

    def restart(self, now: float, *, alive: bool = True) -> None:
        """Lose all requests and go on cold, or stay away."""
        self.incarnation += 1
        self.alive = alive
        self._ends.clear()
        self._free = [now] * SLOTS
        heapify(self._free)
        if alive:
            self.become_cold(now)

    def become_cold(self, now: float) -> None:
        """Begin a cold start."""
        self.cold_until = now + COLD_SECONDS

    def _forget(self, now: float) -> None:
        ends = self._ends
        while ends and ends[0] <= now:
            heappop(ends)
