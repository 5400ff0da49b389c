"""The leader's part in rate limits that all hosts share: answers their demands."""

from __future__ import annotations

from typing import TYPE_CHECKING

from radishshunt.gateway.messages import AllowanceGrant
from radishshunt.policy.shares import KNOWN_SECONDS, Demand, ReportingHosts, SharedBucket

if TYPE_CHECKING:
    from collections.abc import Callable

    from radishshunt.clock import Clock
    from radishshunt.gateway.host_count import HostCount
    from radishshunt.gateway.messages import AllowanceDemand
    from radishshunt.policy.shares import Quota

# Time for which a leader that has heard of no other one relies on the assumed number of hosts. All
# hosts that it can hear report within a second.
UNREPORTED_SECONDS = 6.0


class LeaderShares:
    """Token buckets of all allowances, for one term of the leader after the other.

    :param clock: Boot clock.
    :param find_quota: Returns the quota of an allowance by its name, ``None`` if it has none.
    :param term: Returns the identifier of this host's term.
    :param host_count: Number of hosts that the previous leader has stated.
    """

    def __init__(
        self,
        clock: Clock,
        find_quota: Callable[[str], Quota | None],
        term: Callable[[], str],
        host_count: HostCount,
    ) -> None:
        self._clock = clock
        self._find_quota = find_quota
        self._term = term
        self._host_count = host_count
        self._buckets_term = ""
        self._term_started_at = clock.now()
        self._buckets: dict[str, SharedBucket] = {}
        self._hosts = ReportingHosts(1, clock.now())

    def record_report(self, host: str) -> None:
        """Record that a host has reported to this one, which leads."""
        now = self._clock.now()
        self._start_term(now)
        self._hosts.record(host, now)

    def grant_tokens(
        self, host: str, demands: tuple[AllowanceDemand, ...]
    ) -> tuple[AllowanceGrant, ...]:
        """Return the tokens that a host may use; allowances without tokens for it are left out."""
        now = self._clock.now()
        self._start_term(now)
        linked_share = self._hosts.linked_share(now)
        grants = []
        for item in demands:
            bucket = self._bucket(item.allowance, now, linked_share)
            if bucket is None:
                continue
            demand = Demand(item.wanted, item.returned, item.held)
            tokens = bucket.exchange(host, demand, now, linked_share)
            if tokens:
                grants.append(AllowanceGrant(item.allowance, tokens))
        return tuple(grants)

    def _bucket(self, allowance: str, now: float, linked_share: float) -> SharedBucket | None:
        quota = self._find_quota(allowance)
        if quota is None:
            return None
        bucket = self._buckets.get(allowance)
        if bucket is None:
            # Nothing has been granted of it in this term, so all since then may be.
            since = self._term_started_at if quota.starts_full else now
            bucket = self._buckets[allowance] = SharedBucket(quota, since)
        elif bucket.quota != quota:
            bucket.resize(quota, now, linked_share)
        return bucket

    def _start_term(self, now: float) -> None:
        """Start with empty buckets if this host's term is a new one."""
        term = self._term()
        if term != self._buckets_term:
            self._buckets_term = term
            self._term_started_at = now
            self._buckets = {}
            count = self._host_count
            seconds = KNOWN_SECONDS if count.reported else UNREPORTED_SECONDS
            self._hosts = ReportingHosts(count.largest, now + seconds)
