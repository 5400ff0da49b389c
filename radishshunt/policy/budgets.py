"""Token budgets that limit repeated requests to a share of the first attempts."""

from __future__ import annotations

# Maximum ratio of retries to first attempts, apart from the initial tokens.
RETRY_RATIO = 0.1
# Maximum ratio of resent requests to first attempts, for requests that a target refused, apart from
# the initial tokens.
REFUSAL_RATIO = 0.2
# Maximum number of tokens: enough to resend all running requests of a group whose targets fail at
# the same time.
MAX_TOKENS = 20.0


class TokenBudget:
    """Limits repeated requests to a share of first attempts, and allows a few at low request rates.

    :param ratio: Tokens earned with each first attempt.
    :param max_tokens: Maximum number of tokens; the budget starts with all of them.
    """

    def __init__(self, ratio: float, max_tokens: float = MAX_TOKENS) -> None:
        self._ratio = ratio
        self._max_tokens = max_tokens
        self._tokens = max_tokens

    @property
    def tokens(self) -> float:
        """Tokens left; each repeated request takes one."""
        return self._tokens

    @property
    def capacity(self) -> float:
        """Maximum number of tokens."""
        return self._max_tokens

    def resize(self, max_tokens: float, ratio: float | None = None) -> None:
        """Change the maximum number of tokens; tokens above it are lost, and none are added.

        :param ratio: New number of tokens earned with each first attempt, if it changes.
        """
        self._ratio = self._ratio if ratio is None else ratio
        self._max_tokens = max_tokens
        self._tokens = min(self._tokens, max_tokens)

    def earn(self) -> None:
        """Add the tokens of one first attempt."""
        self._tokens = min(self._max_tokens, self._tokens + self._ratio)

    def spend(self) -> bool:
        """Return whether a request may be repeated, and take a token if so."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
