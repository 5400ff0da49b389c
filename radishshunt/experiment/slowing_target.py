"""Replay of one target that slows down when half of its slots are in use, among usual ones.

Its share of the load follows the capacity that the leader plans for it, so that its speed, its
limit and its load act on each other. Hosts do not keep to the limit, as they do not know each
other's requests in progress.
"""

from __future__ import annotations

import heapq
import math

from radishshunt.experiment.speed_replay import REPORT_SECONDS, SLOTS, Kind, SpeedReplay

TARGETS = 20
RATE = 8.0
KIND = Kind(0.15, 0.5, 0.02)
TIMEOUT_SECONDS = 1.0
# Share of the difference to the planned rate that moves in one interval of reports.
MOVED_SHARE = 0.3


class SlowingTarget:
    """Requests at the slow target.

    :param slowdown: Factor on the work time of a request that starts beside another one.
    :param learned: Whether capacities are learned, or taken from the moving averages.
    :ivar rates: Requests per second that the target was sent, after each interval.
    """

    def __init__(self, seed: int, slowdown: float, *, learned: bool) -> None:
        self._replay = SpeedReplay(seed, targets=TARGETS, kinds=(KIND,), noise=False)
        self._learned = learned
        self._slowdown = slowdown
        self._name = self._replay.names[0]
        self._replay.speeds[self._name] = 1.0
        self._running: list[tuple[float, float, float]] = []
        self._waiting: list[float] = []
        self._arrival = 0.0
        self._rate = RATE
        self._arrived = self._in_time = 0
        self.rates: list[float] = []

    def run(self, until: float) -> float:
        """Replay until a time and return the share of the requests answered in time."""
        replay = self._replay
        while replay.clock.time < until:
            works = self._serve(replay.clock.time + REPORT_SECONDS)
            replay.run_round(answers={self._name: works})
            capacities = (
                replay.learned_capacities() if self._learned else replay.averaged_capacities()
            )
            planned = TARGETS * RATE * capacities[self._name] / sum(capacities.values())
            self._rate += MOVED_SHARE * (planned - self._rate)
            self.rates.append(self._rate)
        return self._in_time / self._arrived

    def _serve(self, until: float) -> list[float]:
        """Serve requests until a time and return the work times of the answered ones."""
        rng, works = self._replay.rng, []
        while True:
            now = min(self._arrival, self._running[0][0] if self._running else math.inf)
            if now > until:
                return works
            if now == self._arrival:
                self._arrival = now + rng.expovariate(self._rate)
                self._arrived += 1
                self._waiting.append(now)
            else:
                _, started_at, arrived_at = heapq.heappop(self._running)
                works.append(now - started_at)
                self._in_time += now - arrived_at <= TIMEOUT_SECONDS
            # Hosts refuse what cannot be answered in time.
            self._waiting = [item for item in self._waiting if now - item < 0.7 * TIMEOUT_SECONDS]
            while self._waiting and len(self._running) < SLOTS:
                factor = self._slowdown if len(self._running) + 1 > SLOTS / 2 else 1.0
                end = now + factor * KIND.work(rng)
                heapq.heappush(self._running, (end, now, self._waiting.pop(0)))
