"""How many requests at once a target may get while it is cold."""

from __future__ import annotations

from abc import ABC, abstractmethod


class ColdStart(ABC):
    """Bound on the requests at once of one target."""

    @abstractmethod
    def on_cold(self, now: float) -> None:
        """Take evidence that the target is cold: new, restarted, or it said so."""

    @abstractmethod
    def bound(self, now: float, idle_seconds: float) -> int:
        """Return how many requests at once the target may get.

        :param idle_seconds: How long the target was idle before the requests that run or would
            run now, 0 once one of them was answered.
        """
