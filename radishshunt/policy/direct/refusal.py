"""Early refusal of requests that cannot be answered before their deadline.

Load pattern: more requests than the targets can serve in time. A request that cannot be answered
before its deadline is refused as soon as that is known. Under overload, less urgent requests are
refused first.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

# Shares of the time until the deadline that a request may wait in a target's queue, for the most
# urgent requests and for the others. The rest is for the work itself.
URGENT_WAIT_SHARE = 0.7
NON_URGENT_WAIT_SHARE = 0.45
# Bounds of the delay after which a refused caller may retry, before jitter.
MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 1.0
# Callers come back after at most this share of the time that they have left. A later answer is
# worth less, but until keys have moved there is none.
MAX_RETRY_SHARE = 1 / 3
# Shortest delay after which keys that had to be moved may have a new owner.
MIN_MOVE_RETRY_SECONDS = 0.3
MAX_MOVE_RETRY_SECONDS = 1.6
# Part of the time until keys are expected to have an owner over which callers' returns are spread.
RETURN_SPREAD_SHARE = 0.25
# Jitter as a share of the delay, so that refused callers do not all retry at once.
RETRY_JITTER_SHARE = 0.6


def can_meet_deadline(
    wait_seconds: float, work_seconds: float, remaining_seconds: float, *, urgent: bool
) -> bool:
    """Return whether a request can be answered before its deadline.

    :param wait_seconds: Expected time until a target starts the request.
    :param work_seconds: Expected time that the target works on it.
    :param remaining_seconds: Time until the request's deadline.
    :param urgent: Whether no route of the service is more urgent.
    """
    if remaining_seconds <= 0:
        return False
    if wait_seconds <= 0:
        return True
    share = URGENT_WAIT_SHARE if urgent else NON_URGENT_WAIT_SHARE
    return (
        wait_seconds <= remaining_seconds * share
        and wait_seconds + work_seconds <= remaining_seconds
    )


def retry_after(wait_seconds: float, rng: Random) -> float:
    """Return the delay in seconds after which a refused caller should retry.

    :param wait_seconds: Expected time until a target has a free slot.
    """
    delay = min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, wait_seconds))
    return delay * rng.uniform(1.0, 1.0 + RETRY_JITTER_SHARE)


def limit_retry_after(wait_seconds: float, rng: Random) -> float:
    """Return the delay after which a caller should retry whose target takes no more requests now.

    :param wait_seconds: Time until this host may send the next request to the target.
    """
    return max(MIN_RETRY_SECONDS, wait_seconds) * rng.uniform(1.0, 1.0 + RETRY_JITTER_SHARE)


def move_retry_after(
    remaining_seconds: float, rng: Random, expected_seconds: float = MAX_MOVE_RETRY_SECONDS
) -> float:
    """Return the delay after which a caller should retry whose key needs another owner.

    A caller has few retries, and one that comes back before its key has moved is refused again.

    :param remaining_seconds: Time for which the caller still waits.
    :param expected_seconds: Time until the key is expected to have another owner.
    """
    limit = max(0.0, remaining_seconds) * MAX_RETRY_SHARE
    if expected_seconds * (1.0 + RETURN_SPREAD_SHARE) <= limit:
        delay = expected_seconds * rng.uniform(1.0, 1.0 + RETURN_SPREAD_SHARE)
        return max(MIN_MOVE_RETRY_SECONDS, delay)
    delay = min(limit, expected_seconds)
    return max(MIN_MOVE_RETRY_SECONDS, delay) * rng.uniform(0.7, 1.0)
