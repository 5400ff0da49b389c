"""Queue of one host's requests for a target, ordered by priority and deadline.

Load pattern: more requests than a target has slots. A request in the target's own queue can be
neither reordered nor sent elsewhere when its key moves, so only a few requests beyond the slots
are sent. The others wait at the host: the most urgent first and, at equal priority, the earliest
deadline first.
"""

from __future__ import annotations

from bisect import insort

# Number of requests that are sent beyond the slots, so that a free slot does not stay empty for a
# round trip.
SEND_AHEAD_REQUESTS = 2


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
        self, entry: tuple[int, float, int], occupancy: float, slots: int, own_requests: int
    ) -> bool:
        """Return whether a request is first in the queue and may be sent to the target now.

        A host without requests at the target may always send one, because its view of the other
        hosts' requests can be out of date.

        :param occupancy: Expected number of requests of all hosts at the target.
        :param slots: Number of requests that the target runs concurrently.
        :param own_requests: Number of requests of this host at the target.
        """
        if self._waiting and self._waiting[0] != entry:
            return False
        return own_requests == 0 or occupancy < slots + SEND_AHEAD_REQUESTS

    def count_ahead(self, priority: int, deadline: float) -> int:
        """Return how many waiting requests would be sent before a new one."""
        return sum(1 for entry in self._waiting if entry[:2] <= (priority, deadline))
