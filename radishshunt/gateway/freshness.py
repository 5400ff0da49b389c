"""How recent the rows of a host are, by its own reads and by the updates of other hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from radishshunt.gateway.rows import Topic

if TYPE_CHECKING:
    from radishshunt.clock import Clock

# A gap of more than this between two answers of the store counts as an outage.
STORE_OUTAGE_SECONDS = 2.5


class Freshness:
    """Times at which a host had all rows of the store; all of them on the host's clock.

    Ages are counted from the arrival of an answer of the store. :meth:`complete_until` also
    excludes the time that the answer took, and the lateness of the process that read it.

    :ivar outage_ended_at: Time at which the store answered again after its last outage.
    :ivar store_answered_at: Time of the last answer of the store, direct or through another host.
    """

    def __init__(self, clock: Clock) -> None:
        self.outage_ended_at = float("-inf")
        self.store_answered_at = clock.now()
        self._clock = clock
        self._followed_at = dict.fromkeys(Topic, float("-inf"))
        self._read_until = dict.fromkeys(Topic, float("-inf"))
        # The same of the host that this one follows, for the rows of operators and targets.
        self._linked_at = float("-inf")
        self._linked_until = float("-inf")

    def record_read(self, topic: Topic, read_at: float) -> None:
        """Record that this host has read all changes of a topic from the store.

        :param read_at: Time at which the store read them.
        """
        self._followed_at[topic] = self._clock.now()
        self._read_until[topic] = max(self._read_until[topic], read_at)

    def record_linked_state(self, followed_at: float, complete_until: float) -> None:
        """Record that another host has told this one all changes by operators and targets.

        :param followed_at: Time at which the other host last had all changes.
        :param complete_until: Time at which the store had no others.
        """
        self._linked_at = max(self._linked_at, followed_at)
        self._linked_until = max(self._linked_until, complete_until)

    def record_store_answer(self, age: float) -> float:
        """Record an answer of the store, direct or through a host that follows it.

        :param age: Seconds since the answer.
        :return: Seconds between the last answer and this one.
        """
        answered_at = self._clock.now() - age
        gap = answered_at - self.store_answered_at
        if gap > STORE_OUTAGE_SECONDS:
            self.outage_ended_at = self._clock.now()
        self.store_answered_at = max(self.store_answered_at, answered_at)
        return gap

    def complete_until(self, topic: Topic) -> float:
        """Return the time up to which this host knows all changes of a topic."""
        return max(self._read_until[topic], self._linked_until)

    @property
    def followed_age(self) -> float:
        """Seconds since this host itself last had all changes by operators and targets."""
        oldest = min(self._followed_at[Topic.OPERATOR], self._followed_at[Topic.TARGETS])
        return self._clock.now() - oldest

    @property
    def linked_age(self) -> float:
        """Seconds since the host that this one follows last had all changes in the store."""
        return self._clock.now() - self._linked_at

    @property
    def seconds_since_store_answer(self) -> float:
        """Seconds since the last answer of the store, direct or through another host."""
        return self._clock.now() - self.store_answered_at
