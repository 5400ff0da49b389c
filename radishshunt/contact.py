"""Isolation check: whether this host had contact recently enough to send new work."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from radishshunt.clock import CLOCK_SKEW_BOUND_SECONDS

if TYPE_CHECKING:
    from radishshunt.directory import Directory
    from radishshunt.members import Members

# A domain that was taken out and a withdrawn target must receive no new work after 3 s. A host
# without contact stops sending after 2 s, which leaves 1 s for the release note to reach the hosts
# that it had contact with.
ISOLATION_SECONDS = 2.0


class Contact:
    """Tracks the latest contact with a peer or the platform that confirmed the release in force.

    A contact counts from the time when the request was sent: an answer that is read after a pause
    of this host proves nothing about the time since the request. A contact with a peer or a
    platform that has a newer release counts only once that release is in force here.
    """

    def __init__(self, directory: Directory, members: Members) -> None:
        self._directory = directory
        self._members = members
        self._last_at = -math.inf
        # Latest contact with a holder of each release that is not yet in force here.
        self._pending: dict[int, float] = {}

    def record(self, at: float, version: int) -> None:
        """Record a contact.

        :param at: Time from which the contact counts, in seconds since the Unix epoch.
        :param version: Version of the release that the other side has.
        """
        if version <= self._directory.catalog.version:
            self._last_at = max(self._last_at, at)
        else:
            self._pending[version] = max(at, self._pending.get(version, at))

    def last_at(self) -> float:
        """Return the time of the latest contact that counts, ``-inf`` for none."""
        version = self._directory.catalog.version
        for in_force in [v for v in self._pending if v <= version]:
            self._last_at = max(self._last_at, self._pending.pop(in_force))
        return self._last_at

    def may_send_new_work(self, now: float) -> bool:
        """Return whether new work may be sent to targets.

        :param now: Seconds since the Unix epoch.
        """
        if self._members.only_host:
            return True
        # A contact in the future means that the clock was set back since; it proves nothing.
        age = now - self.last_at()
        return -CLOCK_SKEW_BOUND_SECONDS <= age <= ISOLATION_SECONDS
