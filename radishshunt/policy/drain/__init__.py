"""Usable capacity of targets whose failure domain is taken out or brought back."""

from __future__ import annotations

from abc import ABC, abstractmethod


class Drain(ABC):
    """Derives a target's capacity for placement from the state of its failure domain."""

    @abstractmethod
    def capacity(
        self, *, takes_work: bool, concurrency_limit: int, slots: int, cold: bool
    ) -> float:
        """Return the usable share of a target's capacity, from 0 to 1.

        :param takes_work: Whether the target is listed, alive and in a failure domain that accepts
            work.
        :param concurrency_limit: Maximum number of requests that may run on the target now.
        :param slots: Number of requests that the target runs concurrently when it is warm.
        :param cold: Whether a cold start keeps the concurrency limit below the slots.
        """
