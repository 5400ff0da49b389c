"""Which targets answer much slower than the others of their service."""

from __future__ import annotations

from abc import ABC, abstractmethod


class StragglerDetector(ABC):
    """Estimates how much slower than usual each target is."""

    @abstractmethod
    def on_answer(self, target: str, seconds: float) -> None:
        """Take the time between sending a request and its answer."""

    @abstractmethod
    def on_report(self, target: str, load: float) -> None:
        """Take a target's own load report."""

    @abstractmethod
    def usual_seconds(self) -> float:
        """Return the usual answer time of this group's targets, 0 if there is none yet."""

    @abstractmethod
    def on_usual(self, seconds: float) -> None:
        """Take the usual answer time over all groups of the service."""

    @abstractmethod
    def slowness(self, target: str, in_flight_seconds: float = 0.0) -> float:
        """Return the target's service time divided by the usual one; 1.0 if not a straggler.

        :param in_flight_seconds: Age of the youngest request running on a fully occupied
            target, 0 if a slot is free.
        """
