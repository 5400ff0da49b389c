"""Hedge requests that are slower than a high percentile of the answer times, within a budget."""

from __future__ import annotations

from collections import deque

from radishshunt.policy.budgets import TokenBudget
from radishshunt.policy.hedging import Hedging

# Number of the newest answer times from which the percentile is taken.
WINDOW_ANSWERS = 256
# Share of answers that take longer than the hedging delay.
SLOW_SHARE = 0.02
# Maximum ratio of second copies to requests, apart from the initial tokens of the budget.
BUDGET_RATIO = 0.05
# The delay is recomputed after every this many answers. No request is hedged until it has been
# computed once.
DELAY_UPDATE_ANSWERS = 32


class BudgetedHedging(Hedging):
    """Hedges requests that take longer than most, up to a small share of all requests.

    :param slow_share: Share of answers that take longer than the hedging delay.
    :param budget_ratio: Maximum ratio of second copies to requests.
    """

    def __init__(self, slow_share: float = SLOW_SHARE, budget_ratio: float = BUDGET_RATIO) -> None:
        self._slow_share = slow_share
        self._budget = TokenBudget(budget_ratio)
        self._answer_seconds: deque[float] = deque(maxlen=WINDOW_ANSWERS)
        self._delay: float | None = None
        self._answer_count = 0

    def on_request(self) -> None:
        self._budget.earn()

    def on_answer(self, seconds: float) -> None:
        self._answer_seconds.append(seconds)
        self._answer_count += 1
        if self._answer_count % DELAY_UPDATE_ANSWERS == 0:
            ordered = sorted(self._answer_seconds)
            self._delay = ordered[int(len(ordered) * (1 - self._slow_share))]

    def delay(self, *, idempotent: bool, keyed: bool) -> float | None:
        if keyed or not idempotent:
            return None
        return self._delay

    def spend(self) -> bool:
        return self._budget.spend()
