"""One host's part in rate limits that all hosts share: leases tokens from the leader."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

import trio

from radishshunt.gateway.link_server import message_interval
from radishshunt.gateway.messages import AllowanceDemand
from radishshunt.gateway.report_answers import AllowanceExchange
from radishshunt.policy.share_leases import Admission, LeaderContact, ShareLease
from radishshunt.util.random_copy import RandomCopy

if TYPE_CHECKING:
    from collections.abc import Callable

    from radishshunt.clock import Clock
    from radishshunt.gateway.messages import AllowanceGrant
    from radishshunt.policy.shares import Quota

# Longest time for which a request waits for tokens.
WAIT_SECONDS = 0.25
# Age of the last answer from which a host that uses allowances asks for another one. The leader
# answers reports without demands only together with its regular updates, up to 0.4 s later.
REFRESH_SECONDS = 0.45
# Interval at which a host that does not lead checks whether it does now.
IDLE_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class ShareToken:
    """Permission for one request.

    :param deadline: End of its lease, ``None`` if it is one of the host's safe share.
    """

    allowance: str
    deadline: float | None


@dataclass(frozen=True, slots=True)
class ShareRefusal:
    """Why a request gets no token.

    :param in_contact: Whether the leader's tokens are used, and not the host's safe share.
    :param answer_age: Seconds since the last answered report was sent, infinite if none was.
    :param waited: Whether the leader did not answer an urgent demand in time.
    """

    retry_after: float
    in_contact: bool
    answer_age: float
    waited: bool = False


@dataclass(frozen=True, slots=True)
class SharePreview:
    """What a request would get now.

    :param result: Token or refusal, ``None`` if the request would wait for the leader.
    :param held: Number of valid tokens.
    :param retry_bounds: Bounds of the random ``Retry-After`` of a refusal.
    """

    result: ShareToken | ShareRefusal | None
    held: int
    retry_bounds: tuple[float, float]


@dataclass(slots=True, eq=False)
class _Waiter:
    """Request that waits for a token."""

    decided: trio.Event = field(default_factory=trio.Event)
    result: ShareToken | ShareRefusal | None = None


@dataclass(slots=True)
class _Allowance:
    lease: ShareLease
    waiters: deque[_Waiter] = field(default_factory=deque)


class HostShares(AllowanceExchange):
    """Leases of all allowances on one host.

    :param clock: Boot clock, so that leases end also while the machine is suspended.
    :param hosts: Returns the number of hosts that share the allowances.
    """

    def __init__(self, clock: Clock, hosts: Callable[[], int], rng: Random | None = None) -> None:
        self._clock = clock
        self._hosts = hosts
        self._rng = rng or Random()
        self._contact = LeaderContact()
        self._allowances: dict[str, _Allowance] = {}
        self._asked: tuple[str, ...] = ()
        self._urgent = trio.Event()

    async def acquire(
        self, name: str, quota: Quota, deadline: float, *, ask_first: bool = False
    ) -> ShareToken | ShareRefusal:
        """Return a token for a request, or why it gets none.

        :param name: Name of the allowance.
        :param deadline: Time on trio's clock until which the request may wait.
        :param ask_first: Whether the leader is asked before the safe share is used, although it
            has not answered lately. For allowances that are seldom used.
        """
        allowance, now = self._allowance(name, quota), self._clock.now()
        allowance.lease.count_request(now)
        result = None
        if not (ask_first and self._contact.begin_wait(now)):
            result = self._decide(name, allowance, now)
        if result is not None:
            return result
        waiter = _Waiter()
        allowance.waiters.append(waiter)
        allowance.lease.waiting += 1
        self._ask(now)
        try:
            with trio.move_on_at(min(deadline, trio.current_time() + WAIT_SECONDS)):
                await waiter.decided.wait()
        except trio.Cancelled:
            if isinstance(waiter.result, ShareToken):
                self.give_back(waiter.result)
            raise
        finally:
            if waiter.result is None:
                allowance.waiters.remove(waiter)
                allowance.lease.waiting -= 1
        return waiter.result or self._refuse(allowance, self._clock.now(), waited=True)

    def preview(self, name: str, quota: Quota) -> SharePreview:
        """Return what :meth:`acquire` would decide now, without effect."""
        now, known = self._clock.now(), self._allowances.get(name)
        if known is None:
            lease = ShareLease(quota, RandomCopy(self._rng), now)
        else:
            lease = known.lease.trial()
            lease.quota = quota
        held = lease.held(now)
        lease.count_request(now)
        result = self._decide(name, _Allowance(lease), now)
        bounds = lease.retry_bounds(self._hosts(), in_contact=now < self._contact.until)
        return SharePreview(result, held, bounds)

    def give_back(self, token: ShareToken) -> None:
        """Return the token of a request that was not sent to any target."""
        allowance = self._allowances.get(token.allowance)
        if allowance is not None:
            now = self._clock.now()
            allowance.lease.give_back(now, token.deadline)
            self._serve_waiters(token.allowance, allowance, now)

    def held(self, name: str) -> int:
        """Return the number of valid tokens of an allowance."""
        allowance = self._allowances.get(name)
        return allowance.lease.held(self._clock.now()) if allowance is not None else 0

    def start_link(self) -> None:
        """Record that the following demands go over a new link, maybe to another host.

        The leader has kept back the share of a host without a link, so the tokens that it has used
        of its safe share are accounted for.
        """
        now = self._clock.now()
        self._contact.start_link(now)
        for name, allowance in self._allowances.items():
            allowance.lease.safe_share_used = 0
            self._serve_waiters(name, allowance, now)

    def next_demands(self, sent_at: float) -> tuple[AllowanceDemand, ...]:
        """Return the demands for a report that is about to be sent, none while some are under way.

        :param sent_at: Time of the host's boot clock.
        """
        if not self._allowances or not self._contact.may_ask(sent_at):
            return ()
        self._urgent = trio.Event()
        self._forget_idle(sent_at)
        interval = message_interval(self._hosts())
        demands = []
        for name, allowance in self._allowances.items():
            demand = allowance.lease.demand(sent_at, interval, self._contact.round_trip)
            if demand is not None:
                demands.append(AllowanceDemand(name, demand.wanted, demand.returned, demand.held))
        if (
            not demands
            and self._allowances
            and self._contact.answer_age(sent_at) >= REFRESH_SECONDS
        ):
            name, allowance = next(iter(self._allowances.items()))
            demands.append(AllowanceDemand(name, 0.0, 0.0, allowance.lease.held(sent_at)))
        if demands:
            self._asked = tuple(item.allowance for item in demands)
            self._contact.on_asked(sent_at)
        return tuple(demands)

    def add_grants(
        self, grants: tuple[AllowanceGrant, ...], sent_at: float, *, leading: bool
    ) -> None:
        """Take over the grants of an answered report, and let waiting requests run.

        :param sent_at: Time of the host's boot clock at which the report was sent.
        :param leading: Whether the host that answered leads; a backup grants nothing.
        """
        now = self._clock.now()
        asked_at = self._contact.on_answer(sent_at, now) if leading else None
        if asked_at is None:
            return
        asked, self._asked = self._asked, ()
        tokens = {grant.allowance: grant.tokens for grant in grants}
        interval = message_interval(self._hosts())
        still_waiting = False
        for name in asked:
            allowance = self._allowances.get(name)
            if allowance is not None:
                allowance.lease.on_answer(tokens.get(name, 0.0), asked_at, now, interval)
        for name, allowance in self._allowances.items():
            self._serve_waiters(name, allowance, now)
            still_waiting = still_waiting or bool(allowance.waiters)
        if still_waiting:
            self._ask(now)

    async def wait_until_urgent(self) -> None:
        """Return once there is demand that must not wait for the next regular report."""
        await self._urgent.wait()

    async def serve_own_leader(
        self,
        leads: Callable[[], bool],
        grant_tokens: Callable[[tuple[AllowanceDemand, ...]], tuple[AllowanceGrant, ...]],
    ) -> None:
        """Lease tokens from this host itself while it leads; run until cancelled.

        :param grant_tokens: Returns the tokens that this host may use.
        """
        led = False
        while True:
            if not leads():
                led = False
                await trio.sleep(IDLE_SECONDS)
                continue
            if not led:
                led = True
                self.start_link()
            now = self._clock.now()
            demands = self.next_demands(now)
            self.add_grants(grant_tokens(demands), now, leading=True)
            with trio.move_on_after(message_interval(1)):
                await self.wait_until_urgent()

    def _allowance(self, name: str, quota: Quota) -> _Allowance:
        allowance = self._allowances.get(name)
        if allowance is None:
            lease = ShareLease(quota, self._rng, self._clock.now())
            allowance = self._allowances[name] = _Allowance(lease)
        elif allowance.lease.quota != quota:
            allowance.lease.quota = quota
        return allowance

    def _decide(
        self, name: str, allowance: _Allowance, now: float
    ) -> ShareToken | ShareRefusal | None:
        """Return what to do with a request, ``None`` if it waits for the leader."""
        lease = allowance.lease
        until = self._contact.leases_until(scarce=lease.is_scarce(now))
        decided = lease.admit(now, self._hosts(), until)
        if decided is Admission.ADMIT:
            return ShareToken(name, lease.taken_until)
        if decided is Admission.ADMIT_BY_SAFE_SHARE:
            return ShareToken(name, None)
        if decided is Admission.WAIT:
            return None
        return self._refuse(allowance, now)

    def _refuse(self, allowance: _Allowance, now: float, *, waited: bool = False) -> ShareRefusal:
        in_contact = now < self._contact.until
        retry_after = allowance.lease.retry_after(self._hosts(), in_contact=in_contact)
        return ShareRefusal(retry_after, in_contact, self._contact.answer_age(now), waited)

    def _serve_waiters(self, name: str, allowance: _Allowance, now: float) -> None:
        """Decide on waiting requests, the oldest first, until one has to wait on."""
        while allowance.waiters:
            result = self._decide(name, allowance, now)
            if result is None:
                return
            waiter = allowance.waiters.popleft()
            allowance.lease.waiting -= 1
            waiter.result = result
            waiter.decided.set()

    def _ask(self, now: float) -> None:
        """Send a report at once, or as soon as the demand that is under way is answered."""
        if self._contact.may_ask(now):
            self._urgent.set()

    def _forget_idle(self, now: float) -> None:
        """Drop allowances that are not in use; without contact, safe shares have to be kept."""
        if now >= self._contact.until:
            return
        for name in [n for n, a in self._allowances.items() if a.lease.idle(now)]:
            del self._allowances[name]
