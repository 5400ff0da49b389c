"""Budgets of the times within which all hosts have to follow a change.

Each budget is a sum of the longest steps on the way from the store's acknowledgement of a change to
the last request that ignores it. What is left of the limit is for processes, links and connections
that are late.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from radishshunt.gateway.follower import NEED_CHECK_SECONDS
from radishshunt.gateway.leadership import (
    LEASE_SECONDS,
    POLL_INTERVAL_SECONDS,
    TAKEOVER_JITTER_SECONDS,
)
from radishshunt.gateway.settings import LATENESS_RESERVE_SECONDS
from radishshunt.gateway.target_grants import GRANT_SECONDS, RENEW_INTERVAL_SECONDS
from radishshunt.logs import decision
from radishshunt.workspaces.authentication import REVOKE_MARGIN_SECONDS

if TYPE_CHECKING:
    from collections.abc import Mapping

    from radishshunt.gateway.settings import Bounds

# Time that a store without disruption takes for an answer, with the way there and back.
STORE_ANSWER_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class TimeBudget:
    """Limit on the time of a change, and the steps that use it up.

    :param limit_seconds: Time within which the change has to be followed.
    :param steps: Longest time of each step without lateness, in seconds, by name.
    :param needed_reserve_seconds: Time that has to be left for lateness.
    """

    name: str
    limit_seconds: float
    steps: Mapping[str, float]
    needed_reserve_seconds: float = LATENESS_RESERVE_SECONDS

    @property
    def reserve_seconds(self) -> float:
        """Time that is left for lateness, in seconds."""
        return self.limit_seconds - sum(self.steps.values())

    @property
    def is_kept(self) -> bool:
        """Whether the time that is left suffices."""
        # Sums of decimal fractions are not exact.
        return self.reserve_seconds > self.needed_reserve_seconds - 1e-6


def time_budgets(bounds: Bounds) -> tuple[TimeBudget, ...]:
    """Return the budgets of all times that the operators limit, and of a change of the leader."""
    # A host to which neither the leader nor a backup passes changes on reads the store itself.
    news = {
        "state counts as old": bounds.max_state_age_seconds,
        "check whether to read the store": NEED_CHECK_SECONDS,
        "answer of the store": STORE_ANSWER_SECONDS,
    }
    leaving_use = {"use of the owner": bounds.leaving_use_seconds}
    # A host that does not delay its takeover for a stronger one.
    takeover = {
        "age of the grants": RENEW_INTERVAL_SECONDS,
        "lease": LEASE_SECONDS,
        "jitter": TAKEOVER_JITTER_SECONDS,
        "check of the lease": POLL_INTERVAL_SECONDS,
        "acquisition and reading of the rows": 2 * STORE_ANSWER_SECONDS,
    }
    unconfirmed_use = {"use of unconfirmed keys": bounds.revoke_seconds - REVOKE_MARGIN_SECONDS}
    return (
        TimeBudget("news of a configuration", bounds.apply_seconds, news),
        TimeBudget("news of a leaving target", bounds.drain_seconds, news),
        TimeBudget("use of a leaving target", bounds.drain_seconds, leaving_use),
        TimeBudget("news of an evacuation", bounds.evacuate_seconds, news),
        TimeBudget(
            "use of an evacuated domain",
            bounds.evacuate_seconds,
            {"use of the owner": bounds.evacuated_use_seconds},
        ),
        # Every host counts it from before the confirmation was asked for, until the first byte.
        TimeBudget(
            "use of a revoked key", bounds.revoke_seconds, unconfirmed_use, REVOKE_MARGIN_SECONDS
        ),
        TimeBudget("grants without a leader", GRANT_SECONDS, takeover),
    )


def log_exceeded_budgets(bounds: Bounds) -> None:
    """Log the budgets that leave too little time with the operators' bounds."""
    for budget in time_budgets(bounds):
        if not budget.is_kept:
            decision(
                "budget-exceeded",
                budget=budget.name,
                limit=budget.limit_seconds,
                reserve=round(budget.reserve_seconds, 3),
            )
