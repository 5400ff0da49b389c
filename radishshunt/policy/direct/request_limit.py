"""Rate limit of one host for requests to a target that has named a limit for all hosts.

Load pattern: most targets of a service name limits far below what callers ask of them. Every host
has requests for each of them, and no host knows what the others send at the same moment.
"""

from __future__ import annotations

import math
from collections import deque
from copy import copy
from dataclasses import dataclass
from random import Random

from radishshunt.util.random_copy import RandomCopy

# Operators allow, within any such window, this multiple of the limit and a few requests more.
WINDOW_SECONDS = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_REQUESTS = 5.0
# Share of what operators allow that all hosts together use. The rest is for requests that are sent
# in one window and arrive in the next.
SAFE_SHARE = 0.95
# Rate of all hosts together, relative to the limit. A host that has no request for a while loses a
# part of its rate, so that all together send less than the sum of their rates.
RATE_FACTOR = 1.1
# Requests that a host may send faster than its rate, as callers' requests come irregularly.
BURST_REQUESTS = 3.0
# A target that takes nothing still gets a request now and then, whose answer tells when that ends.
MIN_REQUESTS_PER_SECOND = 0.1
# Share of a host's rate that requests of less urgent routes get at least.
MIN_NON_URGENT_SHARE = 0.15
# Time constant of the measured rate of urgent requests.
URGENT_RATE_SECONDS = 8.0


@dataclass(frozen=True, slots=True)
class HostShare:
    """Part of one host in the requests that a target takes.

    :param rate: Requests per second in the long run.
    :param requests: Maximum number of requests in any window.
    :param window_seconds: Length of the window. It is longer than that of the operators if there
        are so many hosts that a single request of each of them exceeds what they allow.
    """

    rate: float
    requests: int
    window_seconds: float

    @classmethod
    def of(cls, limit: float, hosts: int) -> HostShare:
        """Return the part of each of a number of hosts.

        :param limit: Requests per second from all hosts together.
        """
        hosts = max(1, hosts)
        allowed = SAFE_SHARE * (ALLOWED_FACTOR * limit * WINDOW_SECONDS + ALLOWED_REQUESTS)
        requests = max(1, math.floor(allowed / hosts))
        stretch = max(1.0, hosts / allowed)
        return cls(RATE_FACTOR * limit / hosts, requests, WINDOW_SECONDS * stretch)


class RequestLimiter:
    """Admits this host's part of the requests that a target takes, the urgent ones first.

    The part is the same for all hosts, so that the bound holds without any message between them.
    Each host sends a few requests at most in any window, and in the long run at its part of the
    limit.

    :param rng: Source of the initial tokens, which differ so that the first requests of many hosts
        are spread over time.
    :ivar limit: Requests per second from all hosts together, infinite if the target names none.
    """

    def __init__(self, rng: Random | None = None) -> None:
        self.limit = math.inf
        self._rng = rng or Random()
        self._incarnation = 0
        self._sent_at: deque[float] = deque()
        self._tokens = 0.0
        self._non_urgent_tokens = 0.0
        self._refilled_at = 0.0
        self._urgent_rate = 0.0
        self._measured_at = 0.0

    def trial(self) -> RequestLimiter:
        """Return a copy that admits the same requests without effect on this object."""
        other = copy(self)
        other._rng = RandomCopy(self._rng)
        other._sent_at = self._sent_at.copy()
        return other

    def on_limit(self, limit: float, incarnation: int, now: float) -> bool:
        """Record the limit that an answer names, and return whether it has changed.

        :param limit: Requests per second from all hosts together, infinite if there is no limit.
        :param incarnation: Start of the target's process; a limit ends with its process.
        :param now: Time on trio's clock.
        """
        limit = max(MIN_REQUESTS_PER_SECOND, limit)
        self._incarnation = incarnation
        if limit == self.limit:
            return False
        if math.isinf(self.limit):
            self._refilled_at = self._measured_at = now
            self._urgent_rate = 0.0
            self._tokens = self._non_urgent_tokens = math.inf
        self.limit = limit
        return True

    def is_limited(self, incarnation: int) -> bool:
        """Return whether a process of the target has named a limit."""
        return not math.isinf(self.limit) and incarnation == self._incarnation

    def count_request(self, now: float, *, urgent: bool) -> None:
        """Measure the demand with a request that wants to be sent."""
        self._decay(now)
        self._urgent_rate += urgent / URGENT_RATE_SECONDS

    def seconds_until_free(self, hosts: int, now: float, *, urgent: bool) -> float:
        """Return the seconds until a request may be sent, 0 if it may be sent now.

        :param hosts: Number of hosts that may send to the target.
        :param urgent: Whether no route of the service is more urgent.
        """
        share = HostShare.of(self.limit, hosts)
        non_urgent_rate = self._refill(share, now)
        wait = (1.0 - self._tokens) / share.rate
        if not urgent:
            wait = max(wait, (1.0 - self._non_urgent_tokens) / non_urgent_rate)
        while self._sent_at and self._sent_at[0] <= now - share.window_seconds:
            self._sent_at.popleft()
        if len(self._sent_at) >= share.requests:
            wait = max(wait, self._sent_at[-share.requests] + share.window_seconds - now)
        return max(0.0, wait)

    def try_acquire(self, hosts: int, now: float, *, urgent: bool) -> bool:
        """Return whether a request may be sent, and count it if so."""
        if self.seconds_until_free(hosts, now, urgent=urgent) > 0.0:
            return False
        self._sent_at.append(now)
        self._tokens -= 1.0
        if not urgent:
            self._non_urgent_tokens -= 1.0
        return True

    def _refill(self, share: HostShare, now: float) -> float:
        """Add the tokens since the last call, and return the rate of less urgent requests."""
        self._decay(now)
        non_urgent_rate = max(MIN_NON_URGENT_SHARE * share.rate, share.rate - self._urgent_rate)
        if math.isinf(self._tokens):
            # Only the window of each of a few hosts is short enough to keep all to the limit.
            few_hosts = share.window_seconds <= WINDOW_SECONDS
            self._tokens = BURST_REQUESTS if few_hosts else self._rng.random()
            self._non_urgent_tokens = BURST_REQUESTS if few_hosts else self._rng.random()
        elapsed = now - self._refilled_at
        self._refilled_at = now
        self._tokens = min(BURST_REQUESTS, self._tokens + elapsed * share.rate)
        self._non_urgent_tokens = min(
            BURST_REQUESTS, self._non_urgent_tokens + elapsed * non_urgent_rate
        )
        return non_urgent_rate

    def _decay(self, now: float) -> None:
        self._urgent_rate *= math.exp((self._measured_at - now) / URGENT_RATE_SECONDS)
        self._measured_at = now
