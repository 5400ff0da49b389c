"""Use of rate limits that all hosts share: what one host does with its part of an allowance.

Load pattern: as in :mod:`radishshunt.policy.shares`. A host that sees a workspace often holds
tokens for the time until its next report is answered. One that sees it rarely holds none and asks
for each request at once, since a token held by each of 195 hosts would exceed the burst of a
workspace with 10 requests per second.
"""

from __future__ import annotations

import math
from collections import deque
from copy import copy
from enum import Enum
from typing import TYPE_CHECKING

from radishshunt.policy.shares import CONTACT_SECONDS, LEASE_SECONDS, Demand
from radishshunt.util.random_copy import RandomCopy

if TYPE_CHECKING:
    from random import Random

    from radishshunt.policy.shares import Quota

# Time constant of the measured demand.
DEMAND_SECONDS = 1.0
# Time constant of the demand that decides whether tokens are held at all. With the shorter one, a
# single request would make a host hold a token.
USUAL_DEMAND_SECONDS = 4.0
# Time of a report and its answer on the slowest links, for which tokens are held in addition to
# the interval between reports.
EXCHANGE_SECONDS = 0.15
# Tokens held in addition, in standard deviations of the number of requests in that time.
DEVIATIONS = 1.0
# Round trip from which a request does not wait for an answer, and the expected requests from which
# tokens are held then.
SLOW_SECONDS = 0.2
MIN_EXPECTED_SLOW = 0.02
# Part of the bucket's capacity that all hosts together hold in advance if demand equals the rate. A
# quota without burst has room for half a second only. With the larger part, hosts send half as many
# urgent reports; after a shortage, it left too few tokens to the hosts that had requests.
HELD_SHARE = 0.5
SCARCE_HELD_SHARE = 0.15
# Time after a shortage for which the smaller part is held.
SCARCE_SECONDS = 4.0
# If the bucket's capacity is below the rate times this, each report states how many tokens have
# been used. Otherwise the leader may count them until their lease has ended.
TIGHT_SECONDS = 3.0
# After a shortage, a host asks again in this part of the time in which the rate fills the bucket's
# capacity, or at its next report. Tokens that were used but not reported take up the capacity; 75
# hosts got 0.8 of a quota without burst when they waited for their next report.
SHORT_SHARE = 0.5
# Tokens are given back if this many more are held than needed, relative to the need.
RETURN_FACTOR = 1.25
# Part of the bucket's capacity that all hosts on their safe shares use.
SAFE_SHARE = 0.5
# For this long after the last answer, which covers a change of the leader, hosts divide the rate by
# what they have let run before, and only EVEN_PART of it evenly. Demand differs by host: with even
# parts, two of three requests were refused in this time although the quota had room.
RECENT_SECONDS = 6.0
EVEN_PART = 0.15
# Time for which requests wait for a leader that has not answered lately.
UNANSWERED_SECONDS = 0.25
# Limits of Retry-After.
MIN_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 5.0


class Admission(Enum):
    """What to do with a request."""

    ADMIT = "admit"
    ADMIT_BY_SAFE_SHARE = "admit-by-safe-share"
    WAIT = "wait"
    REFUSE = "refuse"


class SafeShare:
    """Part of one host in an allowance while it does not hear the leader.

    The leader keeps back an even part for each host that it does not hear, so that the sum of all
    safe shares and leases stays below the rate. Right after the last answer the parts follow what
    the hosts have let run until then, whose sum is below the rate too. The tokens in advance of all
    hosts are at most half of the bucket's capacity. If that is less than one token per host, a
    token is valid only for as long as all hosts together need to earn so many; the random time of
    the first one keeps the hosts from getting theirs at the same moment.

    :param rng: Source of the time of the first token.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._tokens = 0.0
        self._refilled_at = float("-inf")
        self._valid_until = float("-inf")

    def trial(self, rng: Random) -> SafeShare:
        """Return a copy that can be taken from without effect on this object.

        :param rng: Copy of the random generator.
        """
        other = copy(self)
        other._rng = rng
        return other

    def try_take(self, quota: Quota, part: float, since: float, now: float) -> bool:
        """Return whether a request may run, and take a token if so.

        :param part: Part of this host in the rate, from 0 to 1.
        :param since: Time from which the share is in use, without interruption; minus infinity if
            the leader was never heard.
        """
        self._refill(quota, part, since, now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def give_back(self) -> None:
        """Return the token of a request that was not sent."""
        if self._tokens < 1.0:
            self._tokens += 1.0
            self._valid_until = self._refilled_at + CONTACT_SECONDS

    def _refill(self, quota: Quota, part: float, since: float, now: float) -> None:
        rate = quota.rate * part
        in_advance = SAFE_SHARE * quota.capacity * part
        if math.isinf(self._refilled_at) or self._refilled_at < since:
            self._refilled_at = now if math.isinf(since) else since
            self._tokens = self._rng.random() if in_advance < 1.0 else 0.0
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = max(now, self._refilled_at)
        earned = self._tokens + elapsed * rate
        if in_advance >= 1.0 or rate <= 0.0:
            self._tokens = min(earned, max(1.0, in_advance))
            return
        if self._tokens >= 1.0:
            if now < self._valid_until:
                self._refilled_at -= elapsed
                return
            earned = self._tokens - 1.0 + elapsed * rate
        # Tokens that were earned and expired unseen leave only the part towards the next one.
        since_last = (earned % 1.0) / rate
        valid_seconds = in_advance / rate
        if earned >= 1.0 and since_last < valid_seconds:
            self._tokens = 1.0
            self._valid_until = now - since_last + valid_seconds
            self._refilled_at = now - since_last
        else:
            self._tokens = earned % 1.0


class ShareLease:
    """Tokens of one allowance on one host.

    :ivar waiting: Number of requests that wait for tokens.
    :ivar safe_share_used: Tokens of the safe share that no report has stated.
    :ivar taken_until: End of the lease of the token that was taken last.
    """

    def __init__(self, quota: Quota, rng: Random, now: float) -> None:
        self.quota = quota
        self.waiting = 0
        self.safe_share_used = 0
        self.taken_until = float("-inf")
        self._rng = rng
        self._safe_share = SafeShare(rng)
        # Numbers of tokens and the ends of their leases, the oldest first.
        self._leases: deque[tuple[int, float]] = deque()
        self._demand = self._usual_demand = self._admitted = 0.0
        self._granted = 0.0
        self._measured_at = now
        # Time until which the leader is known to have no more tokens.
        self._short_until = float("-inf")
        self._scarce_until = float("-inf")
        self._asked = 0
        # Tokens that the leader counts as held here.
        self._stated = 0

    def trial(self) -> ShareLease:
        """Return a copy that decides as this object would, without effect on it."""
        other = copy(self)
        other._rng = RandomCopy(self._rng)
        other._safe_share = self._safe_share.trial(other._rng)
        other._leases = self._leases.copy()
        return other

    def held(self, now: float) -> int:
        """Return the number of tokens that are still valid."""
        while self._leases and self._leases[0][1] <= now:
            self._leases.popleft()
        return sum(tokens for tokens, _ in self._leases)

    def is_scarce(self, now: float) -> bool:
        """Return whether the leader has lately had fewer tokens than this host wanted."""
        return now < self._scarce_until

    def idle(self, now: float) -> bool:
        """Return whether nothing would be lost if the state were dropped."""
        self._decay(now)
        return self._demand < 0.001 and not self.waiting and not self.held(now)

    def count_request(self, now: float) -> None:
        """Measure the demand with a request that has arrived."""
        self._decay(now)
        self._demand += 1.0 / DEMAND_SECONDS
        self._usual_demand += 1.0 / USUAL_DEMAND_SECONDS

    def admit(self, now: float, hosts: int, contact_until: float) -> Admission:
        """Decide on a request, and take a token if it may run.

        :param hosts: Number of hosts that share the allowance.
        :param contact_until: End of the time for which the leader's last answer counts.
        """
        self._decay(now)
        if self._take(now):
            self._admitted += 1.0 / USUAL_DEMAND_SECONDS
            return Admission.ADMIT
        if now >= contact_until:
            part = self._safe_part(now, hosts, contact_until)
            if self._safe_share.try_take(self.quota, part, contact_until, now):
                self._admitted += 1.0 / USUAL_DEMAND_SECONDS
                self.safe_share_used += 1
                return Admission.ADMIT_BY_SAFE_SHARE
            return Admission.REFUSE
        return Admission.REFUSE if now < self._short_until else Admission.WAIT

    def _safe_part(self, now: float, hosts: int, contact_until: float) -> float:
        """Return the part of this host in the rate while it does not hear the leader."""
        even = 1.0 / max(1, hosts)
        if now >= contact_until + RECENT_SECONDS or self.is_scarce(now):
            return even
        own = min(1.0, self._admitted / max(1e-3, self.quota.rate))
        return EVEN_PART * even + (1.0 - EVEN_PART) * own

    def give_back(self, now: float, deadline: float | None) -> None:
        """Return the token of a request that was not sent.

        :param deadline: End of the token's lease, ``None`` for a token of the safe share.
        """
        if deadline is None:
            self.safe_share_used = max(0, self.safe_share_used - 1)
            self._safe_share.give_back()
        elif deadline > now:
            self._leases.appendleft((1, deadline))

    def demand(self, now: float, interval: float, round_trip: float = 0.0) -> Demand | None:
        """Return what to state in a report that is about to be sent, ``None`` for nothing.

        Tokens that are given back cannot be used any more. Tokens whose lease ends before the next
        report is answered are exchanged, so that they do not expire unused.

        :param interval: Seconds between reports.
        :param round_trip: Seconds until the last report was answered.
        """
        self._decay(now)
        held = self.held(now)
        needed = self._needed(now, interval, round_trip)
        keep = min(held, math.ceil(RETURN_FACTOR * needed))
        ending = sum(
            tokens
            for tokens, ends_at in self._leases
            if ends_at <= now + interval + max(EXCHANGE_SECONDS, round_trip)
        )
        returned = self._drop(max(held - keep, ending))
        held -= returned
        self._asked = max(0, needed + self.waiting - held)
        used = min(self.safe_share_used, math.ceil(self.quota.rate))
        self.safe_share_used = 0
        outdated = held < self._stated and self.quota.capacity < TIGHT_SECONDS * self.quota.rate
        if not (self._asked or returned or used or outdated):
            return None
        self._stated = held
        return Demand(self._asked, returned - used, held)

    def on_answer(self, tokens: float, sent_at: float, now: float, interval: float) -> None:
        """Record the tokens that the leader has granted for the last demand.

        :param sent_at: Time at which the report was sent.
        """
        granted = max(0, math.floor(tokens)) if math.isfinite(tokens) else 0
        self._decay(now)
        self._granted += granted / DEMAND_SECONDS
        self._stated += granted
        if granted and sent_at + LEASE_SECONDS > now:
            self._leases.append((granted, sent_at + LEASE_SECONDS))
        if granted < self._asked:
            room_seconds = SHORT_SHARE * self.quota.capacity / max(1e-3, self.quota.rate)
            self._short_until = sent_at + min(interval, room_seconds)
            self._scarce_until = now + SCARCE_SECONDS
        else:
            self._short_until = float("-inf")
        self._asked = 0

    def retry_after(self, hosts: int, *, in_contact: bool) -> float:
        """Return the seconds after which a refused caller may try again.

        Callers come back evenly over the time that it takes to serve the requests refused in one
        second at the rate at which tokens arrive.
        """
        return MIN_RETRY_SECONDS + self._rng.random() * self._retry_spread(hosts, in_contact)

    def retry_bounds(self, hosts: int, *, in_contact: bool) -> tuple[float, float]:
        """Return the bounds of :meth:`retry_after`."""
        return MIN_RETRY_SECONDS, MIN_RETRY_SECONDS + self._retry_spread(hosts, in_contact)

    def _retry_spread(self, hosts: int, in_contact: bool) -> float:
        rate = self._granted if in_contact else self.quota.rate / max(1, hosts)
        surplus = max(1.0, (self._demand - rate) * DEMAND_SECONDS)
        return max(MIN_RETRY_SECONDS, min(MAX_RETRY_SECONDS, surplus / max(rate, 1e-3)))

    def _needed(self, now: float, interval: float, round_trip: float) -> int:
        """Return the tokens for the time until the next report will have been answered."""
        expected = self._demand * (interval + max(EXCHANGE_SECONDS, round_trip))
        if round_trip > SLOW_SECONDS:
            # An urgent demand would be answered too late.
            return math.ceil(expected) if expected > MIN_EXPECTED_SLOW else 0
        share = SCARCE_HELD_SHARE if now < self._scarce_until else HELD_SHARE
        held_seconds = share * self.quota.capacity / max(1e-3, self.quota.rate)
        # The usual demand stays high for seconds after a surge.
        if min(self._usual_demand, self._demand) * held_seconds < 1.0:
            return 0
        most = max(1.0, self._demand * held_seconds)
        return math.ceil(min(expected + DEVIATIONS * math.sqrt(expected), most))

    def _take(self, now: float) -> bool:
        self.held(now)
        if not self._leases:
            return False
        tokens, ends_at = self._leases[0]
        self.taken_until = ends_at
        if tokens > 1:
            self._leases[0] = (tokens - 1, ends_at)
        else:
            self._leases.popleft()
        return True

    def _drop(self, number: int) -> int:
        """Give up the tokens whose leases end first."""
        left = number
        while left and self._leases:
            tokens, ends_at = self._leases.popleft()
            if tokens > left:
                self._leases.appendleft((tokens - left, ends_at))
                return number
            left -= tokens
        return number - left

    def _decay(self, now: float) -> None:
        factor = math.exp(min(0.0, self._measured_at - now) / DEMAND_SECONDS)
        self._demand *= factor
        usual_factor = math.exp(min(0.0, self._measured_at - now) / USUAL_DEMAND_SECONDS)
        self._usual_demand *= usual_factor
        self._admitted *= usual_factor
        self._granted *= factor
        self._measured_at = max(now, self._measured_at)


class LeaderContact:
    """When this host last heard the leader, and since when a demand is under way.

    One demand is under way at a time, so that the leader knows what a host holds. An answer that
    comes later than :data:`~radishshunt.policy.shares.CONTACT_SECONDS` after its demand is ignored:
    the host may use its safe share by then.

    :ivar until: End of the time for which leases are used, from the last answer.
    :ivar round_trip: Seconds between the last answered demand and its answer.
    """

    def __init__(self) -> None:
        self.until = float("-inf")
        self.round_trip = 0.0
        # Time at which the link ended over which the leader has answered last.
        self._link_ended_at = float("inf")
        self._asked_at: float | None = None
        self._wait_began_at = float("-inf")

    def start_link(self, now: float) -> None:
        """Record a new link: a demand that is under way will not be answered."""
        self._asked_at = None
        self._link_ended_at = min(self._link_ended_at, now)

    def leases_until(self, *, scarce: bool) -> float:
        """Return the end of the time for which a host waits for leases, and uses no safe share.

        The leader may grant the part of a host that has lost its link to others for as long as
        :attr:`until`. While tokens are not scarce, they have no use for it.
        """
        return self.until if scarce else min(self.until, self._link_ended_at)

    def may_ask(self, now: float) -> bool:
        """Return whether no demand is under way."""
        return self._asked_at is None or now >= self._asked_at + CONTACT_SECONDS

    def begin_wait(self, now: float) -> bool:
        """Return whether a request waits for the leader although it has not answered lately.

        It was not asked lately either if nothing needed tokens, so that its silence says nothing.
        Requests wait in the first part of each :data:`~radishshunt.policy.shares.CONTACT_SECONDS`;
        in the rest, the host uses its safe share.
        """
        if now < self.until:
            return False
        if now >= self._wait_began_at + CONTACT_SECONDS:
            self._wait_began_at = now
        return now < self._wait_began_at + UNANSWERED_SECONDS

    def on_asked(self, now: float) -> None:
        """Record a report that states demands."""
        self._asked_at = now

    def answer_age(self, now: float) -> float:
        """Return the seconds since the last answered report was sent, infinite if none was."""
        return now - self.until + CONTACT_SECONDS

    def on_answer(self, sent_at: float, now: float) -> float | None:
        """Record the leader's answer to a report.

        :param sent_at: Time at which the last report that the leader had was sent.
        :return: Time at which the answered demand was sent, ``None`` if no valid grants come with
            the answer.
        """
        self.until = max(self.until, sent_at + CONTACT_SECONDS)
        self._link_ended_at = float("inf")
        if self._asked_at is None or sent_at < self._asked_at:
            return None
        asked_at, self._asked_at = self._asked_at, None
        if now >= asked_at + CONTACT_SECONDS:
            return None
        self.round_trip = now - asked_at
        return asked_at
