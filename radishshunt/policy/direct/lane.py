"""Order in which requests of one host wait for a target.

Load pattern: more requests than a target has slots. A request in the target's own queue can be
neither reordered nor sent elsewhere when its key moves, so only a few are sent ahead of the slots;
the others wait at the host, the most urgent first and, among equals, the one whose time ends first.
"""

from __future__ import annotations

from bisect import insort

# Requests that are sent beyond the slots, so that a slot does not stay empty for a round trip.
AHEAD = 2


class Lane:
    """Requests of this host that wait for one target."""

    def __init__(self) -> None:
        self._waiting: list[tuple[int, float, int]] = []
        self._numbers = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def join(self, priority: int, deadline: float) -> tuple[int, float, int]:
        """Add a request and return its place.

        :param priority: Rank of its kind, 0 is the most urgent.
        :param deadline: Moment at which its time ends.
        """
        self._numbers += 1
        place = (priority, deadline, self._numbers)
        insort(self._waiting, place)
        return place

    def leave(self, place: tuple[int, float, int]) -> None:
        """Remove a request that goes to the target or is given up."""
        self._waiting.remove(place)

    def may_go(self, place: tuple[int, float, int], occupancy: float, slots: int, own: int) -> bool:
        """Return whether a request may go to the target now.

        A host that has nothing at the target always may send one request, since what it believes
        of other hosts' requests can be out of date.
        """
        if self._waiting and self._waiting[0] != place:
            return False
        return own == 0 or occupancy < slots + AHEAD

    def ahead(self, priority: int, deadline: float) -> int:
        """Return how many waiting requests go before a new one."""
        return sum(1 for place in self._waiting if place[:2] <= (priority, deadline))
