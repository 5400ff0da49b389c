"""Baseline: refuse a request if the queue is full."""

from __future__ import annotations

from typing import TYPE_CHECKING

from radishshunt.policy.admission import Admission

if TYPE_CHECKING:
    from radishshunt.policy.admission import QueueView


class QueueLimit(Admission):
    """Bounds the number of waiting requests.

    :param limit: Maximum number of waiting requests.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit

    def refusal(self, view: QueueView, now: float, deadline: float) -> str | None:
        return "queue-full" if view.queued >= self.limit else None
