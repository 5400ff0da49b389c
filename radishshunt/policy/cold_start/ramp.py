"""Cold bound for the length of a cold start, then one more slot at a time."""

from __future__ import annotations

from radishshunt.policy.cold_start import ColdStart

# Pause between two additional slots after the cold start.
STEP_SECONDS = 0.5
# After this long without a request the target may have been restarted unnoticed. The time is
# that of three grant renewals, which name the target's incarnation.
IDLE_SECONDS = 0.9


class Ramp(ColdStart):
    """Keeps a cold target at its cold bound.

    :param slots: Requests at once that a warm target runs.
    :param cold_slots: Requests at once that it bears in a cold start.
    :param cold_seconds: Length of a cold start.
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

    def bound(self, now: float, idle_seconds: float) -> int:
        if idle_seconds > self._idle_seconds:
            return self._cold_slots
        warm_for = now - self._cold_since - self._cold_seconds
        if warm_for < 0:
            return self._cold_slots
        if warm_for >= self._step_seconds * self._slots:
            return self._slots
        return min(self._slots, self._cold_slots + 1 + int(warm_for / self._step_seconds))
