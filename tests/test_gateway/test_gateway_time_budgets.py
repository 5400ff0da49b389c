"""Sums of the times within which hosts have to follow a change."""

from __future__ import annotations

import pytest

from radishshunt.gateway.settings import Bounds
from radishshunt.gateway.time_budgets import time_budgets

# Seconds within which a leaving target and a new configuration, and an evacuation, are followed in
# the users' deployments.
DEPLOYMENT_BOUNDS = [(2.0, 5.0), (2.5, 5.0), (3.0, 5.0)]


@pytest.mark.parametrize(("seconds", "evacuate_seconds"), DEPLOYMENT_BOUNDS)
def test_every_bound_in_time_leaves_a_reserve_for_lateness(
    seconds: float, evacuate_seconds: float
) -> None:
    """Guards against constants that are sensible alone and exceed a bound together."""
    bounds = Bounds(drain_seconds=seconds, apply_seconds=seconds, evacuate_seconds=evacuate_seconds)
    exceeded = {budget.name: budget.steps for budget in time_budgets(bounds) if not budget.is_kept}
    assert not exceeded


def test_shorter_bound_shortens_the_use_of_leaving_targets() -> None:
    """Guards against a time of use that does not follow the operators' settings."""
    assert Bounds(drain_seconds=1.0).leaving_use_seconds < 0.7


def test_bound_that_is_too_short_is_found() -> None:
    """Guards against a sum that no bound can exceed."""
    budgets = time_budgets(Bounds(evacuate_seconds=1.5))
    assert [b.name for b in budgets if not b.is_kept] == ["news of an evacuation"]
