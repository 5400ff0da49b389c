"""Queue of one host's requests for a target, ordered by priority and deadline.

Load pattern: more requests than a target has slots. A request in the target's own queue can be
neither reordered nor sent elsewhere when its key moves, so only a few requests beyond the slots
are sent. The others wait at the host: the most urgent first and, at equal priority, the earliest
deadline first.
"""

from __future__ import annotations

import math
from bisect import insort

# Number of requests that are sent beyond the slots, so that a free slot does not stay empty for a
# round trip.
SEND_AHEAD_REQUESTS = 2
# Number of requests, over all hosts and for each slot, that are sent to a target without a recent
# report of its load. Each host may send one.
UNREPORTED_REQUESTS_PER_SLOT = 8
# Up to this number of hosts for each slot, one request of each of them does not overload a target.
FEW_HOSTS_PER_SLOT = 4


class Lane:
    """Queue of this host's requests for one target, and the decision which of them may be sent.

    An entry of the queue is a request's priority, deadline and sequence number.
    """

    def __init__(self) -> None:
        self._waiting: list[tuple[int, float, int]] = []
        self._last_sequence = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def enqueue(self, priority: int, deadline: float) -> tuple[int, float, int]:
        """Add a request and return its entry.

        :param priority: Rank of its route, 0 is the most urgent.
        :param deadline: Time at which the request expires.
        """
        self._last_sequence += 1
        entry = (priority, deadline, self._last_sequence)
        insort(self._waiting, entry)
        return entry

    def remove(self, entry: tuple[int, float, int]) -> None:
        """Remove a request that is sent to the target or given up."""
        self._waiting.remove(entry)

    def may_send(
        self,
        entry: tuple[int, float, int],
        occupancy: float,
        slots: int,
        own_requests: int,
        *,
        reported: bool = True,
        hosts: int = 1,
        limit: float = math.inf,
    ) -> bool:
        """Return whether a request is first in the queue and may be sent to the target now.

        Without a recent report, a host sends one request or a few to learn the load: the other
        hosts may have found the same target at the same time. A few hosts together may also send
        one each to a target that was full, as its queue has room for them and their view may be out
        of date.

        :param occupancy: Expected number of requests of all hosts at the target.
        :param slots: Number of requests that the target runs concurrently.
        :param own_requests: Number of requests of this host at the target.
        :param reported: Whether the target has reported its load recently.
        :param hosts: Number of hosts that may send to the target.
        :param limit: Number of requests in progress that the target takes well.
        """
        if self._waiting and self._waiting[0] != entry:
            return False
        if not reported:
            return own_requests < max(1, UNREPORTED_REQUESTS_PER_SLOT * slots // hosts)
        if own_requests == 0 and hosts <= FEW_HOSTS_PER_SLOT * slots:
            return True
        return occupancy < min(slots + SEND_AHEAD_REQUESTS, limit)

    def count_ahead(self, priority: int, deadline: float) -> int:
        """Return how many waiting requests would be sent before a new one."""
        return sum(1 for entry in self._waiting if entry[:2] <= (priority, deadline))
