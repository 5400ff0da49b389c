"""Quotas of workspaces: whether a request may be sent to a target now."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from radishshunt.errors import NotRun
from radishshunt.logs import decision
from radishshunt.policy.shares import Quota
from radishshunt.shares.host_shares import ShareRefusal

if TYPE_CHECKING:
    from collections.abc import Callable

    from radishshunt.gateway.model import Configuration, Workspace
    from radishshunt.gateway.settings import Bounds
    from radishshunt.metrics import Metrics
    from radishshunt.shares.host_shares import HostShares, SharePreview, ShareToken

QUOTA_REASON = "quota"
TOO_MANY_REQUESTS_STATUS = 429
ALLOWANCE_PREFIX = "workspace/"
# Refusals of one workspace that are logged in a second. The first line of the next second tells
# how many were not.
LOGGED_REFUSALS_PER_SECOND = 5


@dataclass(slots=True)
class _RefusalLog:
    """Refusals of one workspace that were logged in the current second, and those that were not."""

    ends_at: float = float("-inf")
    logged: int = 0
    left_out: int = 0


class QuotaExceeded(NotRun):
    """The quota of the workspace has no token for the request.

    :param logged: Whether the refusal is to be logged.
    """

    def __init__(self, detail: str, retry_after: float, *, logged: bool) -> None:
        super().__init__(
            QUOTA_REASON, detail, status=TOO_MANY_REQUESTS_STATUS, retry_after=retry_after
        )
        self.logged = logged


def workspace_quota(workspace: Workspace, bounds: Bounds) -> Quota | None:
    """Return the quota of a workspace, ``None`` if it has none."""
    if math.isinf(workspace.requests_per_second):
        return None
    return Quota(
        workspace.requests_per_second,
        workspace.burst,
        bounds.quota_window_seconds,
        bounds.quota_excess,
        bounds.quota_slack,
    )


def find_quota(cfg: Configuration | None, allowance: str, bounds: Bounds) -> Quota | None:
    """Return the quota of an allowance by its name, ``None`` if there is none."""
    if cfg is None or not cfg.workspaces or not allowance.startswith(ALLOWANCE_PREFIX):
        return None
    workspace = cfg.workspaces.get(allowance[len(ALLOWANCE_PREFIX) :])
    return workspace_quota(workspace, bounds) if workspace is not None else None


class WorkspaceQuotas:
    """Admits the requests of workspaces within their quotas.

    :param bounds: Returns the bounds in force.
    """

    def __init__(self, shares: HostShares, bounds: Callable[[], Bounds], metrics: Metrics) -> None:
        self._shares = shares
        self._bounds = bounds
        self._metrics = metrics
        self._logs: dict[str, _RefusalLog] = {}

    async def acquire(
        self, workspace: Workspace, request_id: str, deadline: float
    ) -> ShareToken | None:
        """Return the token of a request, ``None`` if its workspace has no quota.

        :param deadline: Time on trio's clock until which the request may wait.
        :raises QuotaExceeded: If the quota of the workspace has no token for it.
        """
        quota = workspace_quota(workspace, self._bounds())
        if quota is None:
            return None
        name = ALLOWANCE_PREFIX + workspace.name
        result = await self._shares.acquire(name, quota, deadline)
        if isinstance(result, ShareRefusal):
            raise self._refuse(workspace, request_id, name, result)
        outcome = "safe-share" if result.deadline is None else "lease"
        self._metrics.count_quota_decision(workspace.name, outcome)
        return result

    def preview(self, workspace: Workspace) -> SharePreview | None:
        """Return what a request would get now, ``None`` if the workspace has no quota."""
        quota = workspace_quota(workspace, self._bounds())
        if quota is None:
            return None
        return self._shares.preview(ALLOWANCE_PREFIX + workspace.name, quota)

    def give_back(self, workspace: Workspace, token: ShareToken) -> None:
        """Return the token of a request that was not sent to any target."""
        self._metrics.count_quota_decision(workspace.name, "given-back")
        self._shares.give_back(token)

    def _refuse(
        self, workspace: Workspace, request_id: str, name: str, refusal: ShareRefusal
    ) -> QuotaExceeded:
        outcome = "refused" if refusal.in_contact else "refused-by-safe-share"
        self._metrics.count_quota_decision(workspace.name, outcome)
        detail = _refusal_detail(workspace, refusal)
        logged = self._log(workspace.name, request_id, name, refusal)
        return QuotaExceeded(detail, refusal.retry_after, logged=logged)

    def _log(self, workspace: str, request_id: str, name: str, refusal: ShareRefusal) -> bool:
        """Log a refusal unless too many were logged, and return whether it was."""
        now = trio.current_time()
        log = self._logs.setdefault(workspace, _RefusalLog())
        if now >= log.ends_at:
            log.ends_at, log.logged = now + 1.0, 0
        if log.logged >= LOGGED_REFUSALS_PER_SECOND:
            log.left_out += 1
            return False
        log.logged += 1
        age = refusal.answer_age
        decision(
            "quota-refused",
            request_id=request_id,
            workspace=workspace,
            tokens=self._shares.held(name),
            source="lease" if refusal.in_contact else "safe-share",
            waited=refusal.waited,
            answer_age=round(age, 3) if math.isfinite(age) else None,
            retry_after=round(refusal.retry_after, 2),
            left_out=log.left_out,
        )
        log.left_out = 0
        return True


def preview_refusal(workspace: Workspace, refusal: ShareRefusal) -> QuotaExceeded:
    """Return the error of a refusal that is not counted."""
    return QuotaExceeded(_refusal_detail(workspace, refusal), refusal.retry_after, logged=False)


def _refusal_detail(workspace: Workspace, refusal: ShareRefusal) -> str:
    if refusal.waited:
        return f"no tokens for workspace {workspace.name} came in time"
    source = "lease" if refusal.in_contact else "safe share"
    return f"the {source} of workspace {workspace.name} is used up on this host"
