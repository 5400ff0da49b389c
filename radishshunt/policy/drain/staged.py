"""Drain a target at once, and return it with the capacity of a cold target."""

from __future__ import annotations

from radishshunt.policy.drain import Drain

# Share of a cold target's concurrency limit that placement uses. A cold target answers slower than
# a warm one, and a single slot has no reserve for bursts.
COLD_SHARE = 0.6


class StagedDrain(Drain):
    """Gives a returning target capacity in proportion to its concurrency limit.

    :param cold_share: Share of a cold target's concurrency limit that is used.
    """

    def __init__(self, cold_share: float = COLD_SHARE) -> None:
        self._cold_share = cold_share

    def capacity(
        self, *, takes_work: bool, concurrency_limit: int, slots: int, cold: bool
    ) -> float:
        if not takes_work:
            return 0.0
        share = concurrency_limit / slots
        return share * self._cold_share if cold else share
