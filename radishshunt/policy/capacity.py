"""Usable capacity of a target, from the drain, cold start and straggler policies."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from radishshunt.policy.drain import Drain
    from radishshunt.policy.lane_state import LaneState
    from radishshunt.policy.stragglers import StragglerDetector

# Share of a straggler's capacity that placement uses; enough requests to detect its recovery.
STRAGGLER_SHARE = 0.02


def capacity_of(
    name: str,
    state: LaneState,
    stragglers: StragglerDetector,
    drain: Drain,
    takes_work: bool,
    now: float,
    straggler_share: float = STRAGGLER_SHARE,
) -> float:
    """Return the share of a warm target's capacity that placement may use, from 0 to 1.

    :param takes_work: Whether the target is listed, alive and in a failure domain that accepts
        work.
    :param now: Seconds since the Unix epoch.
    :param straggler_share: Share of a straggler's capacity that is used.
    """
    cold = state.is_cold(now)
    limit = state.concurrency_limit(now) if cold else state.slots
    share = drain.capacity(
        takes_work=takes_work, concurrency_limit=limit, slots=state.slots, cold=cold
    )
    if share > 0 and stragglers.slowness(name, state.stuck_seconds(now)) > 1.0:
        return min(share, straggler_share)
    return share
