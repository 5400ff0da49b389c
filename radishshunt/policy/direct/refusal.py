"""Whether a request is offered to a target or refused at once.

Load pattern: more requests than the targets can serve in time. Requests that can't be answered
before their deadline are refused when that is known; under pressure the less urgent kinds are
refused first.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

# Share of the time left that may pass in a target's queue, for the most urgent kinds and for
# the others. The rest is for the work itself.
URGENT_WAIT_SHARE = 0.7
OTHER_WAIT_SHARE = 0.45
# Bounds of the time after which a refused caller may come back.
SHORTEST_RETRY_SECONDS = 0.1
LONGEST_RETRY_SECONDS = 1.0
# Returns are spread over this factor, so that they do not come as one wave.
RETRY_SPREAD = 0.6


def may_offer(wait: float, work: float, left: float, *, urgent: bool) -> bool:
    """Return whether a request can be answered in time.

    :param wait: Expected seconds until a target begins it.
    :param work: Expected seconds of work.
    :param left: Seconds until the request's deadline.
    :param urgent: Whether no kind of its service is more urgent.
    """
    if left <= 0:
        return False
    if wait <= 0:
        return True
    share = URGENT_WAIT_SHARE if urgent else OTHER_WAIT_SHARE
    return wait <= left * share and wait + work <= left


def retry_after(wait: float, rng: Random) -> float:
    """Return the seconds after which a refused caller finds a free slot."""
    mean = min(LONGEST_RETRY_SECONDS, max(SHORTEST_RETRY_SECONDS, wait))
    return mean * rng.uniform(1.0, 1.0 + RETRY_SPREAD)
