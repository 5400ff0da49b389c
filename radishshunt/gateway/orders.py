"""Grants to one target: sent, renewed and released one after the other."""

from __future__ import annotations

import logging
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import trio

from radishshunt.gateway.exchange import ExchangeError
from radishshunt.gateway.target_pool import TargetPool
from radishshunt.logs import decision

if TYPE_CHECKING:
    from collections.abc import Callable

    from radishshunt.clock import Clock
    from radishshunt.gateway.exchange import Answer, Connection, OutgoingRequest
    from radishshunt.gateway.model import KeyRange, TargetEntry
    from radishshunt.gateway.protocol import TargetProtocol

logger = logging.getLogger(__name__)

# Time of a grant. It covers a change of the leader: lease, takeover and the next renewal.
HOLD_SECONDS = 4.5
# While the store does not answer no other host can lead soon, so that grants last longer. A new
# leader has to wait this long for owners that it does not reach, which bounds it from above.
LONG_HOLD_SECONDS = 7.5
RENEW_SECONDS = 1.0
# A target's clock may run this much slow.
CLOCK_FACTOR = 1.02
# Time on the way to a target, added to each grant.
TRAVEL_SECONDS = 0.2
ORDER_SECONDS = 0.6
# A release is answered when the work on its keys has ended.
RELEASE_SECONDS = 2.5
# An identity check holds for a connection that is opened this soon after it.
VERIFIED_SECONDS = 0.25
OK = 200
CONFLICT = 409


@dataclass(slots=True)
class HoldTimes:
    """What is known of the grants with one fencing token.

    :param until: Moment until which the target may hold keys of them.
    :param late_until: Moment until which an order without an answer may still take effect.
    """

    until: float = float("-inf")
    late_until: float = float("-inf")


@dataclass(frozen=True, slots=True, eq=False)
class Held:
    """A range that a target was granted in this term or before.

    :param times: Shared by the parts of one grant, since an order for the whole of it may still
        be on its way.
    """

    keys: KeyRange
    times: HoldTimes


@dataclass(frozen=True, slots=True)
class Release:
    """How a release ended.

    :param done: Whether the target no longer holds the keys.
    :param until: Moment until which it may hold them otherwise.
    """

    done: bool
    until: float
    handover: str = ""


class ConnectionEnded(ExchangeError):
    """The target closed a connection right after it had named itself."""


class FenceTooLow(Exception):
    """The target has seen a higher fencing token on some of the keys.

    :param fence: Token that it refused.
    """

    def __init__(self, fence: int) -> None:
        super().__init__(f"fencing token {fence} is too low")
        self.fence = fence


class TargetOrders:
    """Owns the grants of one life of a target.

    :param may_order: Whether this host still leads.
    :ivar ended: Whether another process has been found at the target's address.
    :ivar bound: Moment until which the target may hold any keys by what this host knows.
    :ivar failing_since: Moment of the first failure in a row, ``None`` after a success.
    """

    def __init__(
        self,
        entry: TargetEntry,
        protocol: TargetProtocol,
        clock: Clock,
        may_order: Callable[[], bool],
        health_path: str,
    ) -> None:
        self.entry = entry
        self.ended = False
        self.bound = float("-inf")
        self._health_path = health_path
        self._verified_at = float("-inf")
        self.failing_since: float | None = None
        self.held: dict[tuple[int, int], Held] = {}
        self._protocol = protocol
        self._clock = clock
        self._may_order = may_order
        self._pool = TargetPool(entry.address, self._verify)
        self._lock = trio.Lock()

    def adopt(self, keys: KeyRange, until: float) -> None:
        """Take a range that an earlier leader may have granted until a moment."""
        self.bound = max(self.bound, until)
        self.held[keys.first, keys.last] = Held(keys, HoldTimes(until, until))

    def covers(self, first: int, last: int) -> bool:
        """Return whether the keys are among the ranges that are renewed."""
        return any(
            held.keys.first <= first and last <= held.keys.last for held in self.held.values()
        )

    def close(self) -> None:
        """Close the connections."""
        self._pool.close()

    async def renew(self, seconds: float) -> None:
        """Renew all ranges.

        :raises FenceTooLow: If a range needs a higher fencing token.
        """
        for held in list(self.held.values()):
            async with self._lock:
                if self.held.get((held.keys.first, held.keys.last)) is held:
                    await self._grant(held, seconds, "")

    async def grant(self, keys: KeyRange, seconds: float, handover: str) -> bool:
        """Grant a range for the first time and keep it for renewals.

        :return: Whether the target has answered that it holds the keys.
        """
        held = Held(keys, HoldTimes())
        async with self._lock:
            self.held[keys.first, keys.last] = held
            return await self._grant(held, seconds, handover)

    def cut(self, first: int, last: int) -> Held | None:
        """Take a piece out of the renewals; the rest of its range stays."""
        for held in list(self.held.values()):
            keys = held.keys
            if keys.first <= first and last <= keys.last:
                del self.held[keys.first, keys.last]
                for start, end in ((keys.first, first - 1), (last + 1, keys.last)):
                    if start <= end:
                        part = replace(keys, first=start, last=end)
                        self.held[start, end] = Held(part, held.times)
                return Held(replace(keys, first=first, last=last), held.times)
        return None

    async def release(self, piece: Held, next_fence: Callable[[], int]) -> Release:
        """Take back a piece that was cut out.

        :param next_fence: Draws a fencing token that was never used.
        """
        # A renewal of the whole range that is on its way would give the piece back.
        async with self._lock:
            times = replace(piece.times)
        keys = piece.keys
        try:
            if self._clock.now() < times.late_until:
                # A grant without an answer may take effect after the release; a higher token
                # makes the target refuse it.
                keys = replace(keys, fence=next_fence())
                sealed = Held(keys, HoldTimes())
                done = await self._grant(sealed, HOLD_SECONDS, "")
                times.until = max(times.until, sealed.times.until)
                if not done:
                    return Release(False, times.until)
            order = self._protocol.release(self.entry.address, keys)
            answer = await self._send(order, RELEASE_SECONDS)
        except FenceTooLow:
            return Release(False, times.until)
        if answer is None or answer.status != OK:
            return Release(False, times.until)
        return Release(True, times.until, self._protocol.handover(answer))

    async def _grant(self, held: Held, seconds: float, handover: str) -> bool:
        if self.ended or not self._may_order():
            return False
        times = held.times
        order = self._protocol.grant(self.entry.address, held.keys, seconds, handover)
        lasts = seconds * CLOCK_FACTOR + TRAVEL_SECONDS
        times.until = max(times.until, self._clock.now() + ORDER_SECONDS + lasts)
        self.bound = max(self.bound, times.until)
        answer = await self._send(order, ORDER_SECONDS)
        if answer is None:
            # The order may have arrived as late as the moment at which it was given up.
            times.late_until = max(times.late_until, times.until)
            return False
        if answer.status == CONFLICT:
            raise FenceTooLow(held.keys.fence)
        return answer.status == OK

    async def _verify(self, conn: Connection) -> None:
        """Check that the process at the other end is the one that was granted the keys.

        An address is used again after its process has ended, and a new process takes grants that
        were meant for the earlier one.
        """
        check = self._protocol.identity_check(self.entry.address, self._health_path)
        now = self._clock.now()
        if now < self._verified_at + VERIFIED_SECONDS:
            return
        name = self._protocol.identity(await conn.exchange(check))
        if name != self.entry.id:
            self.ended = bool(name)
            raise ExchangeError(f"the process at the address is {name or 'unnamed'}", sent=False)
        if not conn.reusable:
            # A leaving target closes each connection after one answer.
            self._verified_at = now
            raise ConnectionEnded("connection closed after the identity check", sent=False)

    async def _send(self, order: OutgoingRequest, seconds: float) -> Answer | None:
        """Send an order; ``None`` means that nobody knows whether it takes effect."""
        try:
            with trio.move_on_after(seconds):
                try:
                    answer = await self._pool.exchange(order, repeatable=True)
                except ConnectionEnded:
                    answer = await self._pool.exchange(order, repeatable=True)
                self.failing_since = None
                return answer
            error = f"no answer within {seconds} s"
        except ExchangeError as exc:
            error = str(exc)
        if self.failing_since is None:
            self.failing_since = self._clock.now()
        decision("order-failed", target=self.entry.id, order=order.target.decode(), error=error)
        return None
