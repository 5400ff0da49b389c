"""Admission of requests to targets that are cold, or that may be without this host knowing."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Callable

    from radishshunt.gateway.cold_checks import ColdChecker
    from radishshunt.gateway.model import Service
    from radishshunt.gateway.settings import HostSettings
    from radishshunt.gateway.view import View
    from radishshunt.gateway.view_state import Target
    from radishshunt.policy.direct.cold_rate import ColdRateLimiter


class ColdAdmission:
    """Limits requests to cold targets.

    While changes of entries may not reach this host, a target that gets more than a cold one takes
    is asked first. If it does not answer it counts as cold.

    :ivar misses_changes: Returns whether changes of entries may not reach this host now.
    """

    def __init__(self, cfg: HostSettings, view: View, checker: ColdChecker) -> None:
        self.misses_changes: Callable[[], bool] = lambda: False
        self._cfg = cfg
        self._view = view
        self._checker = checker

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
            and self.misses_changes()
            and not self._checker.is_known(target.entry)
            and not limiter.may_send(self._limit(service), hosts, trio.current_time())
        )

    async def check(self, target: Target, service: Service) -> None:
        """Ask a target whether it is cold."""
        await self._checker.check(target.entry, service.health_path)

    def try_admit(
        self, target: Target, service: Service, limiter: ColdRateLimiter, hosts: int
    ) -> bool:
        """Return whether a request may be sent to a target, and count it if so.

        :param limiter: Counts this host's requests to the target.
        :param hosts: Number of hosts that share the limit of a cold target.
        """
        now = trio.current_time()
        cold = self._counts_as_cold(target, service)
        if cold and not limiter.may_send(self._limit(service), hosts, now):
            return False
        limiter.record(now, cold=cold)
        return True

    def _counts_as_cold(self, target: Target, service: Service) -> bool:
        """Return whether a target is cold, or may be without this host having heard of it."""
        if not service.cold_per_second:
            return False
        if self._view.is_cold(target):
            return True
        return self.misses_changes() and not self._checker.is_warm(target.entry)

    def _limit(self, service: Service) -> float:
        """Return the requests per second that a cold target takes from all hosts together."""
        bounds = self._cfg.bounds
        return service.cold_per_second * bounds.cold_multiplier + bounds.cold_slack
