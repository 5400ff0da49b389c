"""Drain at once, return with what a cold target bears."""

from __future__ import annotations

from radishshunt.policy.drain import Drain

# Share of its cold bound that a cold target is given work for. It answers slower than a warm
# one, and a single slot has no reserve for bursts.
COLD_SHARE = 0.6


class Staged(Drain):
    """Lets a returning target have work in proportion to its bound.

    :param cold_share: Share of the cold bound that is used.
    """

    def __init__(self, cold_share: float = COLD_SHARE) -> None:
        self._cold_share = cold_share

    def capacity(self, *, takes_work: bool, bound: int, slots: int, cold: bool) -> float:
        if not takes_work:
            return 0.0
        share = bound / slots
        return share * self._cold_share if cold else share
