"""Division of rate limits that all hosts share: the leader's token bucket of one allowance.

Load pattern: up to 80 workspaces with rates from 10 to several hundred requests per second, spread
unevenly over 11 to 300 hosts, so that a host sees some workspaces many times a second and others
once in ten seconds. Demand jumps to 20 times its usual value, at a few hosts or at all.

**Bound.** The potential of an allowance is what its bucket holds plus what hosts may hold of it.
Only refilling raises the potential, at most at the rate, and never above ``Quota.capacity``; grants
and returned tokens only move it. The requests that hosts let run with leased tokens between t and
t + W are therefore at most potential(t) + rate x W <= rate x W + burst + 0.7 x tolerance, and
0.2 x tolerance more if another leader takes over within W. What
hosts hold is known exactly enough: a host has one demand under way at a time, states what it still
holds, and can only use tokens up between two reports.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

# Part of the operators' tolerance that the bucket uses. The rest is for requests that wait inside a
# host after they took their token, and for the time that messages take when hosts change between
# leases and safe shares.
TOLERANCE_SHARE = 0.7
# Part of the tolerance with which the buckets of a new leader start. Hosts hold tokens until their
# next report is answered; with empty buckets, all were refused until these had been earned.
INITIAL_TOLERANCE_SHARE = 0.2
# Tokens are valid for this long after the report that asked for them was sent.
LEASE_SECONDS = 1.5
# A host whose last answered report was sent before this time uses its safe share.
CONTACT_SECONDS = 1.0
# The leader keeps the share of a host that it cannot hear for this long, since the host may use
# its safe share meanwhile.
KNOWN_SECONDS = 60.0
# Time for which a stated want counts in the division; hosts repeat it within 0.4 s.
WANT_SECONDS = 0.5
# While tokens are short, a host gets this multiple of its proportional part of what is in the
# bucket. The more, the fewer tokens lie in the bucket; with 1, 75 hosts got 0.6 of a quota without
# burst, as tokens in the bucket and on hosts filled its capacity.
PART_FACTOR = 4.0
# No such multiple exceeds this part of the bucket, so that a few hosts leave tokens to each other.
MAX_PART = 0.5
# Interval at which expired holdings and wants are dropped, and hosts are counted.
TIDY_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class Quota:
    """Quota of an allowance over all hosts.

    :param rate: Tokens per second.
    :param burst: Tokens that may exceed the rate at once.
    :param window_seconds: Time window in which operators count.
    :param excess: Share by which the tokens used in a window may exceed the quota.
    :param slack: Tokens by which they may exceed it in addition.
    :param starts_full: Whether the tokens since the start of the leader's term may be granted when
        the allowance is first used.
    """

    rate: float
    burst: float
    window_seconds: float = 5.0
    excess: float = 0.1
    slack: float = 20.0
    starts_full: bool = True

    @property
    def tolerance(self) -> float:
        """Tokens by which the quota may be exceeded in one window."""
        return self.excess * (self.rate * self.window_seconds + self.burst) + self.slack

    @property
    def capacity(self) -> float:
        """Largest number of unused tokens in the bucket and on all hosts together."""
        return self.burst + TOLERANCE_SHARE * self.tolerance


@dataclass(frozen=True, slots=True)
class Demand:
    """What a host states of an allowance in one report.

    :param wanted: Whole tokens that it wants in addition to those that it holds.
    :param returned: Tokens that it gives back; negative for tokens of its safe share that it has
        used while it reported to the leader.
    :param held: Tokens that it still holds, without those that it gives back.
    """

    wanted: float
    returned: float = 0.0
    held: float = 0.0


class ReportingHosts:
    """Hosts that report to the leader, and those that may be on their safe share.

    :param known: Number of hosts that the previous leader stated, this one included.
    :param known_until: Time until which at least so many hosts are assumed.
    """

    def __init__(self, known: int, known_until: float) -> None:
        self._stated = max(1, known)
        self._stated_until = known_until
        self._linked_until: dict[str, float] = {}
        self._share = 0.0
        self._share_until = float("-inf")

    def record(self, host: str, now: float) -> None:
        """Record a report of a host."""
        if host not in self._linked_until:
            self._share_until = float("-inf")
        self._linked_until[host] = now + CONTACT_SECONDS

    def linked_share(self, now: float) -> float:
        """Return the share of the known hosts that take part in leases, from 0 to 1."""
        if now >= self._share_until:
            self._share_until = now + TIDY_SECONDS
            forgotten_at = now - KNOWN_SECONDS
            for host in [h for h, until in self._linked_until.items() if until < forgotten_at]:
                del self._linked_until[host]
            known = len(self._linked_until)
            if now < self._stated_until:
                known = max(known, self._stated)
            linked = sum(until > now for until in self._linked_until.values())
            self._share = linked / max(1, known)
        return self._share


class SharedBucket:
    """Token bucket of one allowance, from which the leader leases tokens to hosts.

    It starts with few tokens, since hosts may hold those of an earlier leader. The share of hosts
    that cannot be heard is neither refilled nor kept in the bucket: they use it themselves.

    :ivar quota: Rate and burst in force.
    :ivar tokens: Tokens in the bucket; negative if hosts used more from their safe shares.
    :ivar held: Upper bound of the tokens that hosts hold.
    :ivar wanted: Sum of the tokens that hosts have wanted recently and not got.
    """

    def __init__(self, quota: Quota, now: float) -> None:
        self.quota = quota
        self.tokens = 0.0
        self.held = 0.0
        self.wanted = 0.0
        self._refilled_at = now
        # Share of the hosts for which the bucket has got its first tokens.
        self._started_share = 0.0
        # Tokens and the end of their lease, and the last want and the end of its validity, by host.
        self._holdings: dict[str, tuple[float, float]] = {}
        self._wants: dict[str, tuple[float, float]] = {}
        self._tidy_at = now

    def resize(self, quota: Quota, now: float, linked_share: float) -> None:
        """Change rate and burst; tokens above the new capacity are lost, and none are added."""
        self._refill(now, linked_share)
        self.quota = quota
        self._limit(linked_share)

    def exchange(self, host: str, demand: Demand, now: float, linked_share: float) -> int:
        """Take a host's demand and return the whole tokens that it gets.

        :param linked_share: Share of the known hosts that take part in leases.
        """
        self._refill(now, linked_share)
        earlier = self._holdings.get(host, (0.0, 0.0))[0]
        # What this leader has not granted came from an earlier one, whose bucket is gone.
        self.tokens += min(_finite(demand.returned), earlier)
        held = max(0.0, _finite(demand.held))
        self._hold(host, held, now)
        self._limit(linked_share)
        wanted = max(0.0, _finite(demand.wanted))
        self._want(host, wanted, now)
        granted = self._part(wanted)
        if granted:
            self.tokens -= granted
            self._hold(host, held + granted, now)
            self._want(host, wanted - granted, now)
        return granted

    def _part(self, wanted: float) -> int:
        """Return a host's part of the tokens, in proportion to the wants if they are too few.

        A host gets whole tokens, since a part of a token would expire unused.
        """
        available = math.floor(self.tokens)
        whole = math.floor(wanted)
        if whole <= 0 or available <= 0:
            return 0
        if self.wanted <= available:
            return whole
        share = whole / self.wanted
        part = available * min(PART_FACTOR * share, max(MAX_PART, share))
        return min(whole, available, max(1, math.floor(part)))

    def _refill(self, now: float, linked_share: float) -> None:
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = max(now, self._refilled_at)
        self.tokens += elapsed * self.quota.rate * linked_share
        if linked_share > self._started_share:
            first = INITIAL_TOLERANCE_SHARE * self.quota.tolerance
            self.tokens += first * (linked_share - self._started_share)
            self._started_share = linked_share
        if now >= self._tidy_at:
            self._tidy(now)
        self._limit(linked_share)

    def _limit(self, linked_share: float) -> None:
        room = self.quota.capacity * linked_share - self.held
        self.tokens = min(self.tokens, max(0.0, room))
        # A debt beyond one second would outlast what caused it.
        self.tokens = max(self.tokens, -self.quota.rate)

    def _hold(self, host: str, tokens: float, now: float) -> None:
        earlier = self._holdings.pop(host, (0.0, 0.0))[0]
        self.held = max(0.0, self.held + tokens - earlier)
        if tokens > 0.0:
            self._holdings[host] = (tokens, now + LEASE_SECONDS)

    def _want(self, host: str, tokens: float, now: float) -> None:
        earlier = self._wants.pop(host, (0.0, 0.0))[0]
        self.wanted = max(tokens, self.wanted + tokens - earlier)
        if tokens > 0.0:
            self._wants[host] = (tokens, now + WANT_SECONDS)

    def _tidy(self, now: float) -> None:
        self._tidy_at = now + TIDY_SECONDS
        self._holdings = {h: entry for h, entry in self._holdings.items() if entry[1] > now}
        self._wants = {h: entry for h, entry in self._wants.items() if entry[1] > now}
        self.held = sum(tokens for tokens, _ in self._holdings.values())
        self.wanted = sum(tokens for tokens, _ in self._wants.values())


def _finite(value: float) -> float:
    """Return a number from a message, 0 for what is no number."""
    return value if math.isfinite(value) else 0.0
