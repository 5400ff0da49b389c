"""Straggler detection: targets that answer much slower than the others of their service."""

from __future__ import annotations

from abc import ABC, abstractmethod


class StragglerDetector(ABC):
    """Estimates how much slower each target is than the typical one."""

    @abstractmethod
    def on_answer(self, target: str, seconds: float) -> None:
        """Record the time between sending a request and its answer."""

    @abstractmethod
    def on_report(self, target: str, load: float) -> None:
        """Record the load that a target reports."""

    @abstractmethod
    def median_answer_seconds(self) -> float:
        """Return the median answer time of this group's targets, 0 if there is none yet."""

    @abstractmethod
    def set_typical_seconds(self, seconds: float) -> None:
        """Set the typical answer time, taken over all groups of the service."""

    @abstractmethod
    def slowness(self, target: str, in_flight_seconds: float = 0.0) -> float:
        """Return the target's answer time divided by the typical one; 1.0 if not a straggler.

        :param in_flight_seconds: Age of the newest running request if all slots of the target
            are in use, 0 if a slot is free.
        """
