"""First in, first out in normal operation; last in, first out under overload."""

from __future__ import annotations

from radishshunt.policy.queueing import QueueOrder

# The queue is overloaded if the oldest request has waited longer than this.
OVERLOAD_WAIT_SECONDS = 0.2


class AdaptiveLifo(QueueOrder):
    """Serves the newest request first while the oldest has waited too long.

    Under overload, some requests miss their deadline in any order. Serving the newest first keeps
    the others fast, whereas first in, first out makes all of them slow.

    :param overload_wait: Wait of the oldest request in seconds above which the order changes.
    """

    def __init__(self, overload_wait: float = OVERLOAD_WAIT_SECONDS) -> None:
        self._overload_wait = overload_wait

    def newest_first(self, oldest_wait: float) -> bool:
        return oldest_wait > self._overload_wait
