"""Which waiting request a freed slot goes to."""

from __future__ import annotations

from abc import ABC, abstractmethod


class QueueOrder(ABC):
    """Order in which the requests waiting for one target are served."""

    @abstractmethod
    def newest_first(self, oldest_wait: float) -> bool:
        """Return whether the newest request is served next instead of the oldest.

        :param oldest_wait: Seconds that the oldest request has waited.
        """
