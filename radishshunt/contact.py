"""Whether this host has been in touch with the system recently enough to send new work."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from radishshunt.clock import CLOCK_SKEW_BOUND

if TYPE_CHECKING:
    from radishshunt.directory import Directory
    from radishshunt.members import Members

# A taken-out domain and a withdrawn target receive no new work after 3 s; a host that hears of
# neither stops after 2 s, which leaves a second for the way of the note to the hosts it hears.
ISOLATION_SECONDS = 2.0


class Contact:
    """Latest contact with a peer or the platform that showed this host's release to be current.

    A contact counts from the time when the question was sent: an answer that is read after a
    pause of this host says nothing about the time since. A contact with somebody who knows a newer
    release counts as soon as that release is in force here.
    """

    def __init__(self, directory: Directory, members: Members) -> None:
        self._directory = directory
        self._members = members
        self._at = -math.inf
        self._waiting: dict[int, float] = {}

    def note(self, at: float, version: int) -> None:
        """Take a contact.

        :param at: Seconds since the Unix epoch at which the other side is known to have been in
            touch.
        :param version: Version of the release that it knows.
        """
        if version <= self._directory.catalog.version:
            self._at = max(self._at, at)
        else:
            self._waiting[version] = max(at, self._waiting.get(version, at))

    def last_at(self) -> float:
        """Return the time of the latest contact that counts, ``-inf`` for none."""
        version = self._directory.catalog.version
        for reached in [v for v in self._waiting if v <= version]:
            self._at = max(self._at, self._waiting.pop(reached))
        return self._at

    def may_send_new_work(self, now: float) -> bool:
        """Return whether new work may be sent to targets.

        :param now: Seconds since the Unix epoch.
        """
        if self._members.only_host:
            return True
        # A contact in the future shows that the clock was set back since; it proves nothing.
        age = now - self.last_at()
        return -CLOCK_SKEW_BOUND <= age <= ISOLATION_SECONDS
