"""How many requests at once a target may get while it is cold."""

from __future__ import annotations

from abc import ABC, abstractmethod


class ColdStart(ABC):
    """Bound on the requests at once of one target."""

    @abstractmethod
    def on_cold(self, now: float) -> None:
        """Take evidence that the target is cold: new, restarted, or it said so."""

    @abstractmethod
    def bound(self, now: float, idle_since: float | None) -> int:
        """Return how many requests at once the target may get.

        :param idle_since: When the last request ended, ``None`` while requests run.
        """
