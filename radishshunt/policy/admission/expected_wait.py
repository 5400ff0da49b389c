"""Refuse a request at once when its deadline cannot be met."""

from __future__ import annotations

from typing import TYPE_CHECKING

from radishshunt.policy.admission.queue_limit import QueueLimit

if TYPE_CHECKING:
    from radishshunt.policy.admission import QueueView

# Longest expected wait; a longer queue adds latency and no throughput.
MAX_WAIT_SECONDS = 0.5


class ExpectedWait(QueueLimit):
    """Refuses when the expected wait is too long or leaves no time to run before the deadline.

    :param limit: Requests that may wait, whatever the expected wait.
    :param max_wait: Longest expected wait in seconds.
    """

    def __init__(self, limit: int, max_wait: float = MAX_WAIT_SECONDS) -> None:
        super().__init__(limit)
        self.max_wait = max_wait

    def refusal(self, view: QueueView, now: float, deadline: float) -> str | None:
        reason = super().refusal(view, now, deadline)
        if reason is not None or view.running + view.queued < view.bound:
            # A free slot is never refused: the estimate may be out of date, and only
            # requests that run correct it.
            return reason
        wait = view.expected_wait
        if now + wait + view.service_seconds > deadline:
            return "deadline-unreachable"
        return "overloaded" if wait > self.max_wait else None
