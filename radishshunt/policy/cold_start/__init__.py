"""Concurrency limits for targets in a cold start."""

from __future__ import annotations

from abc import ABC, abstractmethod


class ColdStart(ABC):
    """Concurrency limit of one target."""

    @abstractmethod
    def on_cold(self, now: float) -> None:
        """Record that the target is cold: it is new, has restarted or reports a cold start."""

    @abstractmethod
    def concurrency_limit(self, now: float, idle_seconds: float) -> int:
        """Return how many requests may be sent to the target at once.

        :param idle_seconds: How long the target had no requests before those that run now, or
            until now if none run; 0 once one of those that run now was answered.
        """
