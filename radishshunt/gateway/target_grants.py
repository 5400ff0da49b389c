"""Grants to one target; the commands that grant, renew and release them are serialized."""

from __future__ import annotations

import logging
from dataclasses import dataclass, replace
from functools import partial
from typing import TYPE_CHECKING

import trio

from radishshunt.gateway.exchange import ExchangeError
from radishshunt.gateway.target_pool import TargetPool
from radishshunt.logs import decision

if TYPE_CHECKING:
    from collections.abc import Callable

    from radishshunt.clock import Clock
    from radishshunt.gateway.exchange import Connection, HttpResponse, OutgoingRequest
    from radishshunt.gateway.model import KeyRange, TargetEntry
    from radishshunt.gateway.protocol import TargetProtocol
    from radishshunt.policy.direct.target_statements import TargetStatement

logger = logging.getLogger(__name__)

# Duration of a grant. It covers a change of the leader: expiry of the lease, takeover and the next
# renewal.
GRANT_SECONDS = 4.5
# Duration of a grant while the store does not answer; no other host can become the leader soon
# then. A new leader has to wait this long for owners that it cannot reach, which limits the value.
OUTAGE_GRANT_SECONDS = 7.5
MIN_GRANT_SECONDS = 0.1
RENEW_INTERVAL_SECONDS = 1.0
# Allowance for a slow clock of a target.
CLOCK_DRIFT_FACTOR = 1.02
# Allowance for the network delay to a target, added to each grant.
NETWORK_DELAY_SECONDS = 0.2
COMMAND_TIMEOUT_SECONDS = 0.6
# A target answers a release when its work on the keys has ended.
RELEASE_TIMEOUT_SECONDS = 2.5
# An identity check is also valid for a connection that is opened within this time after its answer.
IDENTITY_VALID_SECONDS = 0.25
# Time after which a target no longer holds keys by a command that was sent now.
MAX_GRANT_LIFETIME_SECONDS = (
    OUTAGE_GRANT_SECONDS * CLOCK_DRIFT_FACTOR + COMMAND_TIMEOUT_SECONDS + NETWORK_DELAY_SECONDS
)
STATUS_OK = 200
STATUS_CONFLICT = 409


@dataclass(slots=True)
class GrantExpiry:
    """Latest expiry of the grants with one fencing token.

    :param until: Time until which the target may hold keys by these grants.
    :param unanswered_until: Time until which an unanswered command may still take effect.
    :param accepted: Whether the target has accepted a grant with the token in this term.
    """

    until: float = float("-inf")
    unanswered_until: float = float("-inf")
    accepted: bool = False


@dataclass(frozen=True, slots=True, eq=False)
class GrantedRange:
    """A range that a target was granted in this term or before.

    :param expiry: Shared by the parts of a split range, since a command for the whole range may
        still be in flight.
    """

    keys: KeyRange
    expiry: GrantExpiry


@dataclass(frozen=True, slots=True)
class ReleaseResult:
    """Result of a release.

    :param done: Whether the target no longer holds the keys.
    :param until: Time until which the target may hold the keys if ``done`` is false.
    :param handover: Handover text in the answer, empty if there is none.
    """

    done: bool
    until: float
    handover: str = ""


class ClosedAfterIdentityCheck(ExchangeError):
    """The target closed a connection right after the identity check."""


class FenceTooLow(Exception):
    """The target has seen a higher fencing token on some of the keys.

    :param fence: Token that the target refused.
    """

    def __init__(self, fence: int) -> None:
        super().__init__(f"fencing token {fence} is too low")
        self.fence = fence


class _CommandConnection:
    """Carries several commands to a target in order, over one connection if that stays open."""

    def __init__(self, pool: TargetPool) -> None:
        self._pool = pool
        self._conn: Connection | None = None

    async def exchange(self, command: OutgoingRequest) -> HttpResponse:
        """Send a command and return its complete answer.

        :raises ExchangeError: If there is no complete answer.
        """
        if self._conn is not None and not self._conn.reusable:
            self.close()
        if self._conn is None:
            self._conn = await self._pool.acquire(set(), repeatable=True)
        return await self._conn.exchange(command)

    def close(self) -> None:
        """Give the connection back."""
        if self._conn is not None:
            self._pool.give_back(self._conn)
            self._conn = None


class TargetGrants:
    """Owns the grants of one incarnation of a target.

    :param is_leader: Returns whether this host is still the leader.
    :param on_statement: Called with what the target states about itself in its answers.
    :ivar process_ended: Whether another process has been found at the target's address.
    :ivar latest_expiry: Time until which the target may hold any keys, as far as this host knows.
    :ivar failing_since: Time of the first of the current consecutive failures, ``None`` after a
        success.
    :ivar renewed_ranges: Ranges that are renewed, by first and last key.
    """

    def __init__(
        self,
        entry: TargetEntry,
        protocol: TargetProtocol,
        clock: Clock,
        is_leader: Callable[[], bool],
        health_path: str,
        on_statement: Callable[[TargetStatement], None] | None = None,
    ) -> None:
        self.entry = entry
        self._on_statement = on_statement
        self.process_ended = False
        self.latest_expiry = float("-inf")
        self._health_path = health_path
        self._verified_at = float("-inf")
        self.failing_since: float | None = None
        self.renewed_ranges: dict[tuple[int, int], GrantedRange] = {}
        self._protocol = protocol
        self._clock = clock
        self._is_leader = is_leader
        self._pool = TargetPool(entry.address, self._verify)
        self._lock = trio.Lock()

    def record_earlier_grant(self, keys: KeyRange, until: float) -> None:
        """Record a range that an earlier leader may have granted.

        :param until: Time until which the target may hold the range.
        """
        self.latest_expiry = max(self.latest_expiry, until)
        self.renewed_ranges[keys.first, keys.last] = GrantedRange(keys, GrantExpiry(until, until))

    def forget_ranges(self) -> None:
        """Stop renewing all ranges, at the start of a term that records them again.

        A range that stayed recorded beside a part of itself would still be renewed after the part
        was released.
        """
        self.renewed_ranges.clear()

    def has_accepted(self, keys: KeyRange) -> bool:
        """Return whether the target has accepted a renewal of a range in this term."""
        return any(
            first <= keys.first and keys.last <= last and granted.expiry.accepted
            for (first, last), granted in self.renewed_ranges.items()
        )

    def close(self) -> None:
        """Close the connections."""
        self._pool.close()

    async def check_reachable(self) -> None:
        """Ask the target for its registration, over a new connection if none is usable.

        The answer ends a series of failures, also of a target that holds no keys and so gets no
        other commands. That of another process sets :attr:`process_ended`.
        """
        await self._send(
            self._protocol.identity_check(self.entry.address, self._health_path),
            COMMAND_TIMEOUT_SECONDS,
        )

    async def renew(self, seconds: float) -> None:
        """Renew the grants of all ranges.

        :raises FenceTooLow: If a range needs a higher fencing token.
        """
        for granted in list(self.renewed_ranges.values()):
            async with self._lock:
                if self.renewed_ranges.get((granted.keys.first, granted.keys.last)) is granted:
                    await self._grant(granted, seconds, "")

    async def grant(
        self, keys: KeyRange, seconds: float, handover: str, held_until: float = float("-inf")
    ) -> bool:
        """Grant a range for the first time and add it to the renewed ranges.

        :param held_until: Time until which the target may hold the keys by grants with lower
            tokens, which can last longer than this one.
        :return: Whether the target confirmed the grant.
        """
        granted = GrantedRange(keys, GrantExpiry(held_until))
        async with self._lock:
            self.renewed_ranges[keys.first, keys.last] = granted
            return await self._grant(granted, seconds, handover) == STATUS_OK

    def stop_renewing(self, first: int, last: int) -> GrantedRange | None:
        """Stop renewing a part of a range; the rest of the range is still renewed.

        :return: The part, ``None`` if no renewed range contains it.
        """
        for granted in list(self.renewed_ranges.values()):
            keys = granted.keys
            if keys.first <= first and last <= keys.last:
                del self.renewed_ranges[keys.first, keys.last]
                for start, end in ((keys.first, first - 1), (last + 1, keys.last)):
                    if start <= end:
                        part = replace(keys, first=start, last=end)
                        self.renewed_ranges[start, end] = GrantedRange(part, granted.expiry)
                return GrantedRange(replace(keys, first=first, last=last), granted.expiry)
        return None

    async def release(
        self, granted_range: GrantedRange, allocate_fence: Callable[[], int]
    ) -> ReleaseResult:
        """Release a range that is no longer renewed, after raising its fencing token.

        The target then refuses grants with earlier tokens, whether they are still on their way or
        come from a host with an outdated key map. Both commands go over one connection, so that the
        release follows the grant also if a second copy of an earlier answer passes for that to the
        grant. Copies of the answers to earlier releases come in the place of that answer, too.

        :param allocate_fence: Returns a fencing token that has never been used.
        """
        # Waits for a renewal of the whole range that is in flight; if it arrived after the release,
        # it would grant the keys again.
        async with self._lock:
            expiry = replace(granted_range.expiry)
        keys = replace(granted_range.keys, fence=allocate_fence())
        regranted = GrantedRange(keys, GrantExpiry())
        may_be_pending = self._clock.now() < expiry.unanswered_until
        commands = _CommandConnection(self._pool)
        try:
            status = await self._grant(regranted, self._remaining_seconds(expiry), "", commands)
            expiry.until = max(expiry.until, regranted.expiry.until)
            if not status or (may_be_pending and status != STATUS_OK):
                return ReleaseResult(False, expiry.until)
            command = self._protocol.release(self.entry.address, keys)
            answer = await self._send(command, RELEASE_TIMEOUT_SECONDS, commands)
        except FenceTooLow:
            return ReleaseResult(False, expiry.until)
        finally:
            commands.close()
        if answer is None or answer.status != STATUS_OK:
            return ReleaseResult(False, expiry.until)
        return ReleaseResult(True, expiry.until, self._protocol.handover(answer))

    def _remaining_seconds(self, expiry: GrantExpiry) -> float:
        """Return the duration of a grant that ends when the grants of before do.

        A longer one would delay a move whose release fails, a shorter one would end running work.
        """
        remaining = expiry.until - self._clock.now() - COMMAND_TIMEOUT_SECONDS
        seconds = (remaining - NETWORK_DELAY_SECONDS) / CLOCK_DRIFT_FACTOR
        return min(GRANT_SECONDS, max(MIN_GRANT_SECONDS, seconds))

    async def _grant(
        self,
        granted: GrantedRange,
        seconds: float,
        handover: str,
        commands: _CommandConnection | None = None,
    ) -> int:
        """Send a grant, and return the status of its answer; 0 if there is none."""
        if self.process_ended or not self._is_leader():
            return 0
        expiry = granted.expiry
        command = self._protocol.grant(self.entry.address, granted.keys, seconds, handover)
        lifetime = seconds * CLOCK_DRIFT_FACTOR + NETWORK_DELAY_SECONDS
        expiry.until = max(expiry.until, self._clock.now() + COMMAND_TIMEOUT_SECONDS + lifetime)
        self.latest_expiry = max(self.latest_expiry, expiry.until)
        answer = await self._send(command, COMMAND_TIMEOUT_SECONDS, commands)
        if answer is None:
            # The command may have arrived as late as the end of its timeout.
            expiry.unanswered_until = max(expiry.unanswered_until, expiry.until)
            return 0
        if answer.status == STATUS_CONFLICT:
            raise FenceTooLow(granted.keys.fence)
        expiry.accepted = expiry.accepted or answer.status == STATUS_OK
        return answer.status

    async def _verify(self, conn: Connection) -> None:
        """Check that the connected process is the one that was granted the keys.

        An address may be reused after its process has ended, and a new process would accept grants
        that were meant for the earlier one.
        """
        check = self._protocol.identity_check(self.entry.address, self._health_path)
        if self._clock.now() < self._verified_at + IDENTITY_VALID_SECONDS:
            return
        answer = await conn.exchange(check)
        self._record_statement(answer)
        registration = self._protocol.identity(answer)
        if registration != self.entry.id:
            self.process_ended = bool(registration)
            raise ExchangeError(
                f"the process at the address is {registration or 'unnamed'}", sent=False
            )
        if not conn.reusable:
            # A draining target closes each connection after one answer.
            self._verified_at = self._clock.now()
            raise ClosedAfterIdentityCheck("connection closed after the identity check", sent=False)

    def _record_statement(self, answer: HttpResponse) -> None:
        statement = self._protocol.statement(answer, self.entry)
        if statement is not None and self._on_statement is not None:
            self._on_statement(statement)

    async def _send(
        self,
        command: OutgoingRequest,
        seconds: float,
        commands: _CommandConnection | None = None,
    ) -> HttpResponse | None:
        """Send a command; ``None`` means that it is unknown whether it takes effect.

        :param commands: Connection to use; any one if it is ``None``.
        """
        exchange = partial(self._pool.exchange, repeatable=True)
        if commands is not None:
            exchange = commands.exchange
        try:
            with trio.move_on_after(seconds):
                try:
                    answer = await exchange(command)
                except ClosedAfterIdentityCheck:
                    answer = await exchange(command)
                self.failing_since = None
                self._record_statement(answer)
                return answer
            error = f"no answer within {seconds} s"
        except ExchangeError as exc:
            error = str(exc)
        if self.failing_since is None:
            self.failing_since = self._clock.now()
        decision("order-failed", target=self.entry.id, order=command.target.decode(), error=error)
        return None
