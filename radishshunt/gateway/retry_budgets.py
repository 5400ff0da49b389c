"""This host's part of the retries that operators allow for each service."""

from __future__ import annotations

from copy import copy
from typing import TYPE_CHECKING

from radishshunt.policy.budgets import TokenBudget

if TYPE_CHECKING:
    from radishshunt.gateway.model import Route, Service
    from radishshunt.gateway.settings import HostSettings
    from radishshunt.gateway.target_choice import TargetChooser

# Share of the operators' retry budget that all hosts together use. The rest is a margin, since
# each host counts its retries independently.
RETRY_BUDGET_SHARE = 0.75
# Share of the full retry budget that is reserved for the most urgent routes of a service.
URGENT_RESERVE_SHARE = 0.25


class RetryBudgets:
    """Retry budgets of one host by service.

    :param chooser: Tells the number of hosts and which routes are urgent.
    """

    def __init__(self, cfg: HostSettings, chooser: TargetChooser) -> None:
        self._cfg = cfg
        self._chooser = chooser
        self._budgets: dict[str, TokenBudget] = {}

    def update_settings(self, cfg: HostSettings) -> None:
        """Apply changed bounds."""
        self._cfg = cfg
        for budget in self._budgets.values():
            # A new budget would be full, so that each reload would permit more retries.
            budget.resize(self._max_retries(), cfg.bounds.retry_ratio * RETRY_BUDGET_SHARE)

    def budget(self, service: Service) -> TokenBudget:
        """Return this host's share of the retry budget of all hosts."""
        slack = self._max_retries()
        budget = self._budgets.get(service.name)
        if budget is None:
            budget = self._budgets[service.name] = TokenBudget(
                self._cfg.bounds.retry_ratio * RETRY_BUDGET_SHARE, slack
            )
        elif budget.capacity != slack:
            budget.resize(slack)
        return budget

    def may_retry(self, route: Route, service: Service) -> bool:
        """Spend a retry from the budget; only the most urgent routes may use all of it."""
        budget = self.budget(service)
        urgent = self._chooser.is_urgent(route, service)
        return (
            urgent or budget.tokens >= URGENT_RESERVE_SHARE * budget.capacity
        ) and budget.spend()

    def trial(self, chooser: TargetChooser) -> RetryBudgets:
        """Return a copy that can be spent without effect on this object.

        :param chooser: Copy of the chooser.
        """
        other = RetryBudgets(self._cfg, chooser)
        other._budgets = {name: copy(budget) for name, budget in self._budgets.items()}
        return other

    def _max_retries(self) -> float:
        """Return this host's share of the retries that are allowed at once."""
        return self._cfg.bounds.retry_slack * RETRY_BUDGET_SHARE / self._chooser.hosts
