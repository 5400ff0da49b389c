"""Baseline: first in, first out."""

from __future__ import annotations

from radishshunt.policy.queueing import QueueOrder


class Fifo(QueueOrder):
    """Serves in order of arrival."""

    def newest_first(self, oldest_wait: float) -> bool:
        return False
