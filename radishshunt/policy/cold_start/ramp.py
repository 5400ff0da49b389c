"""Use only the cold slots during a cold start, then add one slot at a time."""

from __future__ import annotations

from radishshunt.policy.cold_start import ColdStart

# Interval at which slots are added after the cold start.
STEP_SECONDS = 0.5
# A target that had no requests for longer than this may have restarted unnoticed. Equals three
# grant renewals, which carry the target's incarnation.
IDLE_SECONDS = 0.9


class Ramp(ColdStart):
    """Limits a cold target to its cold slots, and raises the limit in steps afterwards.

    :param slots: Number of requests that the target runs concurrently when it is warm.
    :param cold_slots: Number of requests that it can run concurrently during a cold start.
    :param cold_seconds: Length of a cold start.
    :param step_seconds: Interval at which slots are added after the cold start.
    :param idle_seconds: Idle time after which the target is treated as cold.
    """

    def __init__(
        self,
        slots: int,
        cold_slots: int,
        cold_seconds: float,
        step_seconds: float = STEP_SECONDS,
        idle_seconds: float = IDLE_SECONDS,
    ) -> None:
        self._slots = slots
        self._cold_slots = min(cold_slots, slots)
        self._cold_seconds = cold_seconds
        self._step_seconds = step_seconds
        self._idle_seconds = idle_seconds
        self._cold_since = float("-inf")

    def on_cold(self, now: float) -> None:
        self._cold_since = max(self._cold_since, now)

    def concurrency_limit(self, now: float, idle_seconds: float) -> int:
        if idle_seconds > self._idle_seconds:
            return self._cold_slots
        warm_seconds = now - self._cold_since - self._cold_seconds
        if warm_seconds < 0:
            return self._cold_slots
        if warm_seconds >= self._step_seconds * self._slots:
            return self._slots
        return min(self._slots, self._cold_slots + 1 + int(warm_seconds / self._step_seconds))
