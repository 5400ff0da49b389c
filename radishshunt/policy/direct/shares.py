"""Traffic splitting: which service of a split route gets the next request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from radishshunt.gateway.model import Share


class SmoothWeightedRoundRobin:
    """Distributes requests among services by smooth weighted round robin.

    Unlike random selection, it matches the configured weights closely even over few requests. Each
    host of the router counts separately.
    """

    def __init__(self) -> None:
        self._credit: dict[str, dict[str, float]] = {}

    def next(self, route: str, shares: tuple[Share, ...]) -> str:
        """Return the service for the next request of a route."""
        if len(shares) == 1:
            return shares[0].service
        credit = self._credit.setdefault(route, {})
        total = sum(share.weight for share in shares) or 1.0
        for share in shares:
            credit[share.service] = credit.get(share.service, 0.0) + share.weight / total
        chosen = max(shares, key=lambda share: credit[share.service]).service
        credit[chosen] -= 1.0
        return chosen
