"""State of targets and of requests while these are being sent."""

from __future__ import annotations

from copy import copy, deepcopy
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from radishshunt.errors import NotRun, OutcomeOfRequestUnknown, RequestError
from radishshunt.policy.direct.cold_rate import ColdRateLimiter
from radishshunt.policy.direct.lane import Lane
from radishshunt.policy.direct.overload import OverloadGate
from radishshunt.policy.direct.request_limit import RequestLimiter

if TYPE_CHECKING:
    from collections.abc import Callable

    from radishshunt.gateway.exchange import Connection
    from radishshunt.gateway.repeats import Repeats
    from radishshunt.gateway.target_pool import TargetPool
    from radishshunt.policy.direct.target_load import TargetLoadEstimate
    from radishshunt.workspaces.authentication import KeyRefusal

# Consecutive failures after which a target is avoided for requests without a key, and for how
# long.
AVOID_AFTER_FAILURES = 2
AVOID_SECONDS = 1.0
# Time for which no further connection to a target is tried after one could not be established.
UNREACHABLE_SECONDS = 0.4


@dataclass(slots=True)
class TargetState:
    """State of a target as observed through this host's own requests.

    :ivar queue: Requests of this host that wait for the target.
    :ivar exchanges: Number of running exchanges with the target, silent ones included.
    :ivar failures: Consecutive failed requests.
    :ivar avoid_until: Time on trio's clock until which other targets are preferred.
    :ivar unreachable_until: Time on trio's clock until which connections are not expected to
        succeed.
    """

    pool: TargetPool
    load: TargetLoadEstimate
    queue: Lane = field(default_factory=Lane)
    cold_rate_limiter: ColdRateLimiter = field(default_factory=ColdRateLimiter)
    overload_gate: OverloadGate = field(default_factory=OverloadGate)
    request_limiter: RequestLimiter = field(default_factory=RequestLimiter)
    exchanges: int = 0
    failures: int = 0
    avoid_until: float = float("-inf")
    unreachable_until: float = float("-inf")

    def trial(self) -> TargetState:
        """Return a copy for decisions without effect; it shares the pool, which is not to be used.

        Random generators are copied, so that the same decision on this object has the same result.
        Copying all of them at once took 0.3 ms for each target, mostly for the generators.
        """
        return replace(
            self,
            load=copy(self.load),
            queue=deepcopy(self.queue),
            cold_rate_limiter=deepcopy(self.cold_rate_limiter),
            overload_gate=self.overload_gate.trial(),
            request_limiter=self.request_limiter.trial(),
        )

    def on_failure(self, now: float, *, connected: bool) -> None:
        """Record a request without a complete response.

        :param connected: Whether there was a connection to the target.
        """
        self.failures += 1
        if not connected:
            self.unreachable_until = now + UNREACHABLE_SECONDS
        if self.failures >= AVOID_AFTER_FAILURES or not connected:
            self.avoid_until = now + AVOID_SECONDS

    def on_response(self) -> None:
        """Record a complete response."""
        self.failures = 0
        self.unreachable_until = float("-inf")


@dataclass(slots=True, eq=False)
class RequestAttempts:
    """Attempts to send one request.

    :param key_refusal: See :class:`~radishshunt.gateway.protocol.CallerRequest`.
    :ivar sends: Number of attempts to send the request so far.
    :ivar may_have_run: Whether a target may have run the request.
    :ivar possible_runners: Targets that may have run the request.
    :ivar connections: Connections that have carried the request.
    :ivar refused_by: Targets that refused the request or could not be reached.
    :ivar retry_reserved: Whether the budget has been charged for another attempt already.
    :ivar last_non_owner: Registration and incarnation of the last target that reported not to hold
        the key.
    :ivar repeats: Starts a further attempt beside the current one.
    """

    fingerprint: int
    key_refusal: Callable[[], KeyRefusal | None] | None = None
    repeats: Repeats = field(init=False)
    sends: int = 0
    may_have_run: bool = False
    possible_runners: set[str] = field(default_factory=set)
    connections: set[Connection] = field(default_factory=set)
    refused_by: set[str] = field(default_factory=set)
    retry_reserved: bool = False
    last_non_owner: tuple[str, int] | None = None

    def mark_sent(self) -> None:
        """Record that a target may run the request from now on.

        This is recorded before the first byte is written, since a cancelled exchange does not
        tell how much was sent.

        :raises RequestError: If the request may not be sent any more, see :meth:`check_key`.
        """
        self.check_key()
        self.may_have_run = True

    def check_key(self) -> None:
        """Check whether the request may be sent to a target with its API key.

        :raises NotRun: If it may not.
        :raises OutcomeOfRequestUnknown: If it may not, and a target may have run it.
        """
        refusal = self.key_refusal() if self.key_refusal is not None else None
        if refusal is not None:
            raise self.error(refusal.reason, refusal.detail, refusal.retry_after)

    def error(self, reason: str, detail: str, retry_after: float) -> RequestError:
        """Return the error that ends the request: not run, if that is certain.

        :param retry_after: Seconds after which the caller may try again if the request has not run.
        """
        if self.may_have_run:
            return OutcomeOfRequestUnknown(reason, detail, status=502)
        return NotRun(reason, detail, retry_after=retry_after)
