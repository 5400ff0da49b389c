"""A second copy after a high percentile of the answer times, within a budget."""

from __future__ import annotations

from collections import deque

from radishshunt.policy.budgets import TokenBudget
from radishshunt.policy.hedging import Hedging

# Answer times that the percentile is taken from.
WINDOW = 256
# Share of answers that are slower than the delay.
SLOW_SHARE = 0.02
# Second copies relative to requests.
BUDGET_RATIO = 0.05
# Answers needed before anything is hedged.
MIN_ANSWERS = 32


class Budgeted(Hedging):
    """Hedges requests that take longer than most, and only a small share of them.

    :param slow_share: Share of answers that are slower than the delay.
    :param budget_ratio: Second copies relative to requests.
    """

    def __init__(self, slow_share: float = SLOW_SHARE, budget_ratio: float = BUDGET_RATIO) -> None:
        self._slow_share = slow_share
        self._budget = TokenBudget(budget_ratio)
        self._times: deque[float] = deque(maxlen=WINDOW)
        self._delay: float | None = None
        self._answers = 0

    def on_request(self) -> None:
        self._budget.earn()

    def on_answer(self, seconds: float) -> None:
        self._times.append(seconds)
        self._answers += 1
        if self._answers % MIN_ANSWERS == 0:
            ordered = sorted(self._times)
            self._delay = ordered[int(len(ordered) * (1 - self._slow_share))]

    def delay(self, *, idempotent: bool, keyed: bool) -> float | None:
        if keyed or not idempotent:
            return None
        return self._delay

    def spend(self) -> bool:
        return self._budget.spend()
