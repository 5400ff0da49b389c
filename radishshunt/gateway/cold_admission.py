"""Admission of requests to targets that are cold, or that may be without this host knowing."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from radishshunt.gateway.cold_shares import cold_allowance, cold_limit, cold_quota
from radishshunt.shares.host_shares import ShareRefusal

if TYPE_CHECKING:
    from collections.abc import Callable

    from radishshunt.gateway.cold_checks import ColdChecker
    from radishshunt.gateway.model import Service
    from radishshunt.gateway.settings import HostSettings
    from radishshunt.gateway.view import View
    from radishshunt.gateway.view_state import Target
    from radishshunt.policy.direct.cold_rate import ColdRateLimiter
    from radishshunt.shares.host_shares import HostShares


class ColdAdmission:
    """Limits requests to cold targets.

    A few hosts divide the limit of a target evenly. Many hosts take tokens from the leader.

    While changes of entries may not reach this host, a target that gets more than a cold one takes
    is asked first. If it does not answer it counts as cold.
    """

    def __init__(self, cfg: HostSettings, view: View, checker: ColdChecker) -> None:
        self._misses_changes: Callable[[], bool] = lambda: False
        self._shares: HostShares | None = None
        self._cfg = cfg
        self._view = view
        self._checker = checker

    def use_links(self, misses_changes: Callable[[], bool], shares: HostShares) -> None:
        """Set what this host learns over its links.

        :param misses_changes: Returns whether changes of entries may not reach this host now.
        """
        self._misses_changes = misses_changes
        self._shares = shares

    def update_settings(self, cfg: HostSettings) -> None:
        """Apply changed bounds."""
        self._cfg = cfg

    def needs_check(
        self, target: Target, service: Service, limiter: ColdRateLimiter, hosts: int
    ) -> bool:
        """Return whether the target has to be asked whether it is cold, before a request."""
        return (
            bool(service.cold_per_second)
            and not self._view.is_cold(target)
            and self._misses_changes()
            and not self._checker.is_known(target.entry)
            and not limiter.may_send(self._limit(service), hosts, trio.current_time())
        )

    async def check(self, target: Target, service: Service) -> None:
        """Ask a target whether it is cold."""
        await self._checker.check(target.entry, service.health_path)

    async def admit(
        self,
        target: Target,
        service: Service,
        limiter: ColdRateLimiter,
        hosts: int,
        deadline: float,
    ) -> bool:
        """Return whether a request may be sent to a target, and count it if so.

        :param limiter: Counts this host's requests to the target.
        :param hosts: Number of hosts that share the limit of a cold target.
        :param deadline: Time on trio's clock until which the request may wait.
        """
        limit = self._shared_limit(target, service, hosts)
        if not limit:
            return self._try_admit(target, service, limiter, hosts)
        name = cold_allowance(target.entry)
        token = await self._shares.acquire(name, cold_quota(limit), deadline, ask_first=True)
        if isinstance(token, ShareRefusal):
            return False
        limiter.record(trio.current_time(), cold=True)
        return True

    def try_admit(
        self, target: Target, service: Service, limiter: ColdRateLimiter, hosts: int
    ) -> bool | None:
        """Return whether a request may be sent now, and count it if so; ``None`` if it would wait.

        It takes no tokens that hosts share.
        """
        limit = self._shared_limit(target, service, hosts)
        if not limit:
            return self._try_admit(target, service, limiter, hosts)
        result = self._shares.preview(cold_allowance(target.entry), cold_quota(limit)).result
        return None if result is None else not isinstance(result, ShareRefusal)

    def _try_admit(
        self, target: Target, service: Service, limiter: ColdRateLimiter, hosts: int
    ) -> bool:
        now = trio.current_time()
        cold = self._counts_as_cold(target, service)
        if cold and not limiter.may_send(self._limit(service), hosts, now):
            return False
        limiter.record(now, cold=cold)
        return True

    def _shared_limit(self, target: Target, service: Service, hosts: int) -> float:
        """Return the limit whose tokens the leader divides, 0 if each host has its own share.

        If each of more hosts than the limit allows sends one request in a second, that is too many.
        Targets of which a host only does not know that they are warm need no tokens: the leader may
        be away, and they are asked before they get more than this host's share.
        """
        limit = self._limit(service)
        if self._shares is None or hosts <= limit or not self._view.is_cold(target):
            return 0.0
        return limit if service.cold_per_second else 0.0

    def _counts_as_cold(self, target: Target, service: Service) -> bool:
        """Return whether a target is cold, or may be without this host having heard of it."""
        if not service.cold_per_second:
            return False
        if self._view.is_cold(target):
            return True
        return self._misses_changes() and not self._checker.is_warm(target.entry)

    def _limit(self, service: Service) -> float:
        return cold_limit(service, self._cfg.bounds)
