"""Grants to one target: sent, renewed and released one after the other."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from radishshunt.gateway.exchange import ExchangeError
from radishshunt.gateway.target_pool import TargetPool
from radishshunt.logs import decision

if TYPE_CHECKING:
    from collections.abc import Callable

    from radishshunt.clock import Clock
    from radishshunt.gateway.exchange import Answer, OutgoingRequest
    from radishshunt.gateway.model import KeyRange, TargetEntry
    from radishshunt.gateway.protocol import TargetProtocol

logger = logging.getLogger(__name__)

# Time of a grant. It covers a change of the leader: lease, takeover and the next renewal.
HOLD_SECONDS = 4.5
# While the store does not answer no other host can lead soon, so that grants last longer.
LONG_HOLD_SECONDS = 9.8
RENEW_SECONDS = 1.0
# A target's clock may run this much slow.
CLOCK_FACTOR = 1.02
# Time on the way to a target, added to each grant.
TRAVEL_SECONDS = 0.2
ORDER_SECONDS = 0.6
# A release is answered when the work on its keys has ended.
RELEASE_SECONDS = 2.5
OK = 200
CONFLICT = 409


@dataclass(slots=True)
class Held:
    """A range that a target was granted in this term or before.

    :param until: Moment until which the target may hold it.
    :param late_until: Moment until which an order without an answer may still take effect.
    """

    keys: KeyRange
    until: float
    late_until: float


class FenceTooLow(Exception):
    """The target has seen a higher fencing token on some of the keys."""


class TargetOrders:
    """Owns the grants of one life of a target.

    :param may_order: Whether this host still leads.
    :ivar failing_since: Moment of the first failure in a row, ``None`` after a success.
    """

    def __init__(
        self,
        entry: TargetEntry,
        protocol: TargetProtocol,
        clock: Clock,
        may_order: Callable[[], bool],
    ) -> None:
        self.entry = entry
        self.failing_since: float | None = None
        self.held: dict[tuple[int, int], Held] = {}
        self._protocol = protocol
        self._clock = clock
        self._may_order = may_order
        self._pool = TargetPool(entry.address)
        self._lock = trio.Lock()

    def adopt(self, keys: KeyRange, until: float) -> None:
        """Take a range that an earlier leader may have granted until a moment."""
        self.held[keys.first, keys.last] = Held(keys, until, until)

    def close(self) -> None:
        """Close the connections."""
        self._pool.close()

    async def renew(self, seconds: float) -> None:
        """Renew all ranges.

        :raises FenceTooLow: If a range needs a higher fencing token.
        """
        for held in list(self.held.values()):
            if self.held.get((held.keys.first, held.keys.last)) is held:
                await self._grant(held, seconds, "")

    async def grant(self, keys: KeyRange, seconds: float, handover: str) -> bool:
        """Grant a range for the first time and keep it for renewals.

        :return: Whether the target has answered that it holds the keys.
        """
        held = Held(keys, float("-inf"), float("-inf"))
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
                        self.held[start, end] = Held(
                            _part(keys, start, end), held.until, held.late_until
                        )
                return Held(_part(keys, first, last), held.until, held.late_until)
        return None

    async def release(self, piece: Held, next_fence: Callable[[], int]) -> str | None:
        """Take back a piece that was cut out.

        :param next_fence: Draws a fencing token that was never used.
        :return: The handover, or ``None`` if the target may hold the keys until ``piece.until``.
        """
        try:
            if self._clock.now() < piece.late_until:
                # A grant without an answer may take effect after the release; a higher token
                # makes the target refuse it.
                keys = piece.keys
                sealed = Held(
                    type(keys)(keys.first, keys.last, keys.target, keys.life, next_fence()),
                    piece.until,
                    float("-inf"),
                )
                done = await self._grant(sealed, HOLD_SECONDS, "")
                piece.until = max(piece.until, sealed.until)
                if not done:
                    return None
                piece.keys = sealed.keys
            order = self._protocol.release(self.entry.address, piece.keys)
            answer = await self._send(order, RELEASE_SECONDS)
        except FenceTooLow:
            return None
        if answer is None or answer.status != OK:
            return None
        return self._protocol.handover(answer)

    async def _grant(self, held: Held, seconds: float, handover: str) -> bool:
        if not self._may_order():
            return False
        order = self._protocol.grant(self.entry.address, held.keys, seconds, handover)
        lasts = seconds * CLOCK_FACTOR + TRAVEL_SECONDS
        held.until = max(held.until, self._clock.now() + ORDER_SECONDS + lasts)
        answer = await self._send(order, ORDER_SECONDS)
        ended_at = self._clock.now()
        if answer is None:
            held.late_until = ended_at + lasts
            held.until = max(held.until, ended_at + lasts)
            return False
        held.until = max(ended_at + lasts, held.late_until)
        if answer.status == CONFLICT:
            raise FenceTooLow
        return answer.status == OK

    async def _send(self, order: OutgoingRequest, seconds: float) -> Answer | None:
        """Send an order; ``None`` means that nobody knows whether it takes effect."""
        try:
            with trio.move_on_after(seconds):
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


def _part(keys: KeyRange, first: int, last: int) -> KeyRange:
    return type(keys)(first, last, keys.target, keys.life, keys.fence)
