"""Release of keys by their former owners before they move."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from radishshunt.gateway.target_grants import GrantedRange, GrantExpiry
from radishshunt.logs import decision

if TYPE_CHECKING:
    from collections.abc import Callable

    from radishshunt.clock import Clock
    from radishshunt.gateway.model import KeyRange
    from radishshunt.gateway.service_keys import ServiceKeys
    from radishshunt.gateway.target_grants import TargetGrants
    from radishshunt.gateway.view import View

# A release without an answer is sent again after this time. It begins with a grant that must not
# prolong the hold, so it is not sent again when less than MIN_RETRY_HOLD_SECONDS are left.
RETRY_SECONDS = 0.4
MIN_RETRY_HOLD_SECONDS = 1.6
# Interval at which the address of an owner that seems to be replaced is asked for its process.
ASK_INTERVAL_SECONDS = 0.4


class KeyReleaser:
    """Makes sure that former owners no longer hold keys.

    :param grants: Grants by registration and incarnation of a target, in the current term.
    :param unknown_expiry: Returns until when a target may hold keys by a grant that this term has
        no record of.
    """

    def __init__(
        self,
        view: View,
        clock: Clock,
        grants: dict[tuple[str, int], TargetGrants],
        unknown_expiry: Callable[[], float],
    ) -> None:
        self._view = view
        self._clock = clock
        self._grants = grants
        self._unknown_expiry = unknown_expiry

    async def release(self, keys: ServiceKeys, owner: KeyRange) -> str:
        """Wait until a former owner no longer holds a range, and return its handover text."""
        handover, reason = await self._end_hold(keys, owner)
        decision(
            "keys-free",
            target=owner.target,
            first=owner.first,
            last=owner.last,
            fence=owner.fence,
            reason=reason,
        )
        return handover

    async def _end_hold(self, keys: ServiceKeys, owner: KeyRange) -> tuple[str, str]:
        """Release a range, or wait until its owner cannot hold it any more.

        :return: Handover text, empty if there is none, and the reason why the range is free.
        """
        grants = self._grants.get((owner.target, owner.incarnation))
        if grants is None:
            await self._wait_for_expiry(self._unknown_expiry(), owner)
            return "", "no-record"
        granted_range = grants.stop_renewing(owner.first, owner.last)
        if granted_range is None:
            await self._wait_for_expiry(self._unknown_expiry(), owner)
            return "", "no-record"
        released_from: set[int] = set()
        while not self._owner_process_ended(owner):
            incarnation = self._current_incarnation(owner)
            released_from.add(incarnation)
            release = await grants.release(granted_range, keys.allocate_fence)
            if release.done:
                current = incarnation == owner.incarnation
                return release.handover if current else "", "released"
            decision("release-failed", target=owner.target, first=owner.first, last=owner.last)
            # Commands of the failed release may still take effect.
            granted_range = GrantedRange(
                granted_range.keys, GrantExpiry(release.until, release.until)
            )
            await self._wait_for_expiry(
                release.until, owner, released_from, self._retry_at(release.until)
            )
            if self._clock.now() >= release.until:
                return "", "expired"
        return "", "process-ended"

    def _retry_at(self, until: float) -> float:
        """Return the time at which a failed release is sent again, infinite if it is not.

        :param until: Time until which the owner may hold the keys.
        """
        now = self._clock.now()
        return now + RETRY_SECONDS if until - now > MIN_RETRY_HOLD_SECONDS else math.inf

    def _current_incarnation(self, owner: KeyRange) -> int:
        """Return the incarnation that is registered under the name of a range's owner."""
        target = self._view.targets.get(owner.target)
        return target.entry.incarnation if target is not None else owner.incarnation

    async def _wait_for_expiry(
        self,
        expiry: float,
        owner: KeyRange,
        released_from: set[int] | None = None,
        retry_at: float = math.inf,
    ) -> None:
        """Wait until grants have expired, the owner's process has ended, or it has restarted.

        :param released_from: Incarnations to which a release has been sent already; ``None`` if
            restarts are to be ignored.
        :param retry_at: Time at which to return in any case.
        """
        wait_until, ask_at = min(expiry, retry_at), float("-inf")
        while self._clock.now() < wait_until and not self._owner_process_ended(owner):
            if released_from is not None and self._current_incarnation(owner) not in released_from:
                return
            if self._clock.now() >= ask_at:
                ask_at = self._clock.now() + ASK_INTERVAL_SECONDS
                await self._ask_for_process(owner)
            await trio.sleep(0.1)

    def _owner_process_ended(self, owner: KeyRange) -> bool:
        """Return whether another process has answered at the owner's address.

        Entries prove nothing, since they may come from other writers. A target that restarted
        under its name at its address may have taken a renewal that was meant for its earlier
        process, so it has to release the keys.
        """
        grants = self._grants.get((owner.target, owner.incarnation))
        return grants is not None and grants.process_ended

    async def _ask_for_process(self, owner: KeyRange) -> None:
        """Ask which process is at the owner's address if an entry hints at another one."""
        grants = self._grants.get((owner.target, owner.incarnation))
        if grants is not None and self._seems_replaced(owner):
            await grants.check_reachable()

    def _seems_replaced(self, owner: KeyRange) -> bool:
        """Return whether a later process is registered at the owner's address, or it elsewhere."""
        return any(
            entry.incarnation > owner.incarnation
            and (entry.id == owner.target) != (entry.address == owner.address)
            for entry in (target.entry for target in self._view.targets.values())
        )
