"""Which share of its capacity placement uses of a target whose domain leaves or returns."""

from __future__ import annotations

from abc import ABC, abstractmethod


class Drain(ABC):
    """Turns the state of a failure domain into capacity for placement."""

    @abstractmethod
    def capacity(self, *, takes_work: bool, bound: int, slots: int, cold: bool) -> float:
        """Return the usable share of a target's capacity, from 0 to 1.

        :param takes_work: Whether the target is listed and its domain is in.
        :param bound: Requests at once that the target may get now.
        :param slots: Requests at once that it runs when it is warm.
        :param cold: Whether the bound is below the slots because of a cold start.
        """
