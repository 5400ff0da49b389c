"""Queue order: which waiting request gets a free slot."""

from __future__ import annotations

from abc import ABC, abstractmethod


class QueueOrder(ABC):
    """Order in which the requests that wait for one target are served."""

    @abstractmethod
    def newest_first(self, oldest_wait: float) -> bool:
        """Return whether the newest request is served next instead of the oldest.

        :param oldest_wait: Seconds that the oldest request has waited.
        """
