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
        """Return the maximum number of requests that may run on the target now.

        :param idle_seconds: Time for which the target had no requests before the present ones, or
            until now if none run; 0 once one of the present requests was answered.
        """
