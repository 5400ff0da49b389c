"""First in, first out until the queue stands, then last in, first out."""

from __future__ import annotations

from radishshunt.policy.queueing import QueueOrder

# Oldest wait that counts as overload.
OVERLOAD_WAIT_SECONDS = 0.2


class AdaptiveLifo(QueueOrder):
    """Serves the newest request first while the oldest has waited too long.

    Under overload some requests miss their deadline whatever the order. Serving the newest
    first makes the others fast, where first in, first out makes all of them slow.

    :param overload_wait: Seconds that the oldest request waits before the order changes.
    """

    def __init__(self, overload_wait: float = OVERLOAD_WAIT_SECONDS) -> None:
        self._overload_wait = overload_wait

    def newest_first(self, oldest_wait: float) -> bool:
        return oldest_wait > self._overload_wait
