"""Budgets that keep repeated work in proportion to first attempts."""

from __future__ import annotations

# Retries relative to first attempts.
RETRY_RATIO = 0.1
# Repeated sends after refusals by targets, relative to first sends.
REFUSAL_RATIO = 0.2
# Tokens that can be saved; enough for the requests of all slots of a group that is lost at once.
MAX_TOKENS = 20.0


class TokenBudget:
    """Allows a share of repeated work, and a few repetitions at low rates.

    :param ratio: Tokens earned with each first attempt.
    :param max_tokens: Tokens that can be saved; the budget starts with all of them.
    """

    def __init__(self, ratio: float, max_tokens: float = MAX_TOKENS) -> None:
        self._ratio = ratio
        self._max = max_tokens
        self._tokens = max_tokens

    @property
    def tokens(self) -> float:
        """Repetitions that are allowed now."""
        return self._tokens

    @property
    def capacity(self) -> float:
        """Tokens that can be saved."""
        return self._max

    def resize(self, max_tokens: float) -> None:
        """Change the number of tokens that can be saved."""
        self._max = max_tokens
        self._tokens = min(self._tokens, max_tokens)

    def earn(self) -> None:
        """Count a first attempt."""
        self._tokens = min(self._max, self._tokens + self._ratio)

    def spend(self) -> bool:
        """Return whether one repetition is allowed, and count it if so."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
