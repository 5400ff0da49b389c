"""Number of requests in progress that a target takes well.

Load pattern: a target with a few slots works several times slower once half of them are in use, so
that filling them lowers its throughput and makes every request late. Its speed at low load says
nothing about that, and a target that is slow at any load must not be mistaken for one.

The number in progress is the product of rate and work time (Little's law) in the reports of all
hosts. When the work ratio exceeds that at low load by more than chance while the target is busy,
the limit falls by one request at once. It grows by one after a pause, which doubles each time that
this makes the target slow again, and is long while the target is not busy, since nothing shows then
that it would take more.
"""

from __future__ import annotations

import math

# Time between two decisions: about 7 answers at usual load.
DECISION_SECONDS = 1.0
# Increase of the work ratio over that at low load from which the limit is lowered, as a logarithm,
# and standard errors by which it must be exceeded. Of three slots, one gives the throughput of all
# at three times the work time; in the replay, limits at 1.5 times it lost requests.
TOLERATED_INCREASE = math.log(2.0)
CERTAINTY_ERRORS = 1.64
# Requests that began before a change of the limit end within this time.
HOLD_SECONDS = 1.5
# Pause before the limit grows by one: at first, and at most after repeated slowness.
MIN_PROBE_SECONDS = 4.0
MAX_PROBE_SECONDS = 32.0
# Load, as a share of the slots, up to which work is not slowed down by other requests. With 0.4, a
# target whose two requests kept each other slow counted as slow at low load.
LOW_LOAD = 0.3
# Share of the limit above which the number in progress may be the cause of slow work.
BUSY_SHARE = 0.3
# Logarithm of the ratio at low load assumed at most for a target that has been busy since its first
# answer, relative to its service: 1.6, the slowest usual target.
MAX_INITIAL_BASELINE = 0.47
# Weight of a second's answers in the recent ratio, and in that at low load. With 0.15, the ratio at
# low load took over the slowness of a busy target in its calmer seconds.
RECENT_WEIGHT = 0.5
BASELINE_WEIGHT = 0.05


class ConcurrencyLimit:
    """Learns the limit of one target.

    :param slots: Number of requests that the target runs concurrently.
    :param queue: Number of requests that it is sent beyond its slots.
    :param limit: Limit to start from, for example that which another leader has learned.
    :ivar limit: Current limit, from 1 to the sum of slots and queue.
    """

    def __init__(self, slots: int, queue: int, now: float, limit: float = math.inf) -> None:
        self._slots = slots
        self._max = slots + queue
        self.limit = int(min(self._max, max(1.0, limit)))
        self._held_until = now
        self._probe_seconds = MIN_PROBE_SECONDS
        self._probe_at = now + MIN_PROBE_SECONDS
        self._lowered_at = -math.inf
        self._baseline: float | None = None
        self._slow = False
        self._recent = 0.0
        self._recent_answers = 0.0

    def update(
        self, in_progress: float, logarithm: float, answers: int, deviation: float, now: float
    ) -> bool:
        """Record the answers of the last :data:`DECISION_SECONDS` and adjust the limit.

        :param in_progress: Mean number of requests that the target was running.
        :param logarithm: Mean logarithm of the work ratio, relative to the service.
        :param deviation: Standard deviation of one answer's logarithm.
        :return: Whether the limit has changed.
        """
        if now < self._held_until or self._slots == 1:
            return False
        if not answers:
            return self._grow(now, busy=False)
        if self._baseline is None:
            self._baseline = min(logarithm, MAX_INITIAL_BASELINE)
        if not self._recent_answers:
            self._recent, self._recent_answers = logarithm, float(answers)
        self._recent += RECENT_WEIGHT * (logarithm - self._recent)
        self._recent_answers += RECENT_WEIGHT * (answers - self._recent_answers)
        limited = self.limit < self._slots
        low = not limited and in_progress <= LOW_LOAD * self._slots
        if low or logarithm < self._baseline:
            self._baseline += BASELINE_WEIGHT * (logarithm - self._baseline)
        # The recent ratio has about three times the answers of one second.
        error = deviation / math.sqrt(3.0 * max(1.0, self._recent_answers))
        running = min(self.limit, self._slots)
        busy = in_progress > BUSY_SHARE * running
        tolerated = TOLERATED_INCREASE + CERTAINTY_ERRORS * error
        self._slow = self._recent - self._baseline > tolerated
        if not self._slow:
            return self._grow(now, busy=busy)
        if self.limit == 1 and in_progress <= LOW_LOAD * self._slots:
            # Fewer requests in progress did not help, so they are not the cause. Hosts that do not
            # know of each other's requests may exceed the limit; then this is not known.
            self._baseline, self._probe_seconds = self._recent, MIN_PROBE_SECONDS
            self._set(self._max, now)
            return True
        if not busy or self.limit == 1:
            return self._grow(now, busy=False)
        if now - self._lowered_at < 2.0 * MAX_PROBE_SECONDS:
            self._probe_seconds = min(MAX_PROBE_SECONDS, 2.0 * self._probe_seconds)
        else:
            self._probe_seconds = MIN_PROBE_SECONDS
        self._lowered_at = now
        self._set(max(1, running - 1), now)
        return True

    def _set(self, limit: int, now: float) -> None:
        self.limit = limit
        self._held_until = now + HOLD_SECONDS
        self._probe_at = now + self._probe_seconds
        self._recent_answers = 0.0

    @property
    def logarithm_at_low_load(self) -> float | None:
        """Logarithm of the work ratio at low load, if a limit below the slots has helped."""
        return self._baseline if self.limit < self._slots and not self._slow else None

    def _grow(self, now: float, *, busy: bool) -> bool:
        """Raise the limit by one if the pause has ended."""
        pause = 0.0 if busy else MAX_PROBE_SECONDS
        if self.limit == self._max or now < self._probe_at + pause:
            return False
        self._set(self.limit + 1, now)
        return True
