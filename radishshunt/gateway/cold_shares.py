"""Allowances by which many hosts together keep to the limit of a cold target."""

from __future__ import annotations

from typing import TYPE_CHECKING

from radishshunt.policy.shares import TOLERANCE_SHARE, Quota

if TYPE_CHECKING:
    from radishshunt.gateway.model import Service, TargetEntry
    from radishshunt.gateway.settings import Bounds
    from radishshunt.gateway.view import View

PREFIX = "cold/"
# Parts of the limit that are the rate of the allowance, and the tokens that may be unused. The
# requests in one second are at most their sum, and another sixteenth if the leader changes.
RATE_SHARE = 0.6
CAPACITY_SHARE = 0.3


def cold_limit(service: Service, bounds: Bounds) -> float:
    """Return the requests per second that a cold target takes from all hosts together.

    :return: 0 if the service has no limit.
    """
    if not service.cold_per_second:
        return 0.0
    return service.cold_per_second * bounds.cold_multiplier + bounds.cold_slack


def cold_allowance(entry: TargetEntry) -> str:
    """Return the name of the allowance of a target's process."""
    return f"{PREFIX}{entry.incarnation}/{entry.id}"


def cold_quota(limit: float) -> Quota:
    """Return the quota that keeps hosts below a limit of requests in any second."""
    return Quota(
        rate=RATE_SHARE * limit,
        burst=0.0,
        window_seconds=1.0,
        excess=0.0,
        slack=CAPACITY_SHARE / TOLERANCE_SHARE * limit,
        # The target may have been busy until it became cold.
        starts_full=False,
    )


def find_cold_quota(view: View, allowance: str, bounds: Bounds) -> Quota | None:
    """Return the quota of an allowance by its name, ``None`` if no such target is known."""
    target = view.targets.get(allowance.removeprefix(PREFIX).partition("/")[2])
    if view.cfg is None or target is None or cold_allowance(target.entry) != allowance:
        return None
    service = view.cfg.services.get(target.entry.service)
    limit = cold_limit(service, bounds) if service is not None else 0.0
    return cold_quota(limit) if limit else None
