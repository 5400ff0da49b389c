"""How long a request waits for an owner of its key, and when its caller should come back.

Load pattern: targets are cut off or lost, and the keys of each have no usable owner for seconds. A
request that waits as long as a normal move takes, and is then refused, has lost the time in which
its caller could have tried again. A caller that comes back while the keys still have no owner has
spent one of its few retries.
"""

from __future__ import annotations

# Longest time that requests wait for a key that is being moved. A move takes a few hundred
# milliseconds, because the old owner first finishes its running requests.
MOVE_WAIT_SECONDS = 0.6
# An outage that has lasted this long is no move; requests for its keys are refused at once.
LONG_OUTAGE_SECONDS = 2.0
# The keys of a target that cannot be reached get another owner when its last grant has ended, which
# takes this long at most.
LOST_OWNER_SECONDS = 5.4
# Time until the next check of an outage that has lasted longer.
OVERDUE_RECHECK_SECONDS = 1.0
# An outage that no request has met for this long is forgotten.
FORGET_SECONDS = 5.0


class OwnerOutages:
    """Ranges of keys without a usable owner, and since when this host has known of each."""

    def __init__(self) -> None:
        # Start of each outage and the time at which a request last met it.
        self._outages: dict[tuple[str, int], tuple[float, float]] = {}

    def wait_until(self, service: str, first_key: int, now: float) -> float:
        """Return until when a request waits for an owner.

        :param first_key: First key of the range that has no usable owner.
        """
        started_at, last_met_at = self._outages.get((service, first_key), (now, now))
        if now - last_met_at > FORGET_SECONDS:
            started_at = now
        self._outages[service, first_key] = (started_at, now)
        if now - started_at >= LONG_OUTAGE_SECONDS:
            return now
        return now + MOVE_WAIT_SECONDS

    def expected_end(self, service: str, first_key: int, now: float) -> float:
        """Return the time at which a range is expected to have a usable owner.

        An outage that requests have met for longer than a move takes is that of a lost target.
        """
        started_at, _ = self._outages.get((service, first_key), (now, now))
        if now - started_at < MOVE_WAIT_SECONDS:
            return started_at + MOVE_WAIT_SECONDS
        return max(started_at + LOST_OWNER_SECONDS, now + OVERDUE_RECHECK_SECONDS)

    def end(self, service: str, first_key: int) -> None:
        """Record that a range has a usable owner."""
        self._outages.pop((service, first_key), None)

    def forget_old(self, now: float) -> None:
        """Forget outages that no request has met for :data:`FORGET_SECONDS`."""
        self._outages = {
            key: times for key, times in self._outages.items() if now - times[1] <= FORGET_SECONDS
        }
