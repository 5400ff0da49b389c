"""Admission by expected wait: refuse a request at once if its deadline cannot be met."""

from __future__ import annotations

from typing import TYPE_CHECKING

from radishshunt.policy.admission.queue_limit import QueueLimit

if TYPE_CHECKING:
    from radishshunt.policy.admission import QueueView

# Longest expected wait; a longer queue adds latency and no throughput.
MAX_WAIT_SECONDS = 0.5


class ExpectedWait(QueueLimit):
    """Refuses a request if its expected wait is too long or leaves too little time to run it.

    :param limit: Maximum number of waiting requests, even if the expected wait is short.
    :param max_wait: Longest expected wait in seconds.
    """

    def __init__(self, limit: int, max_wait: float = MAX_WAIT_SECONDS) -> None:
        super().__init__(limit)
        self.max_wait = max_wait

    def refusal(self, view: QueueView, now: float, deadline: float) -> str | None:
        reason = super().refusal(view, now, deadline)
        if reason is not None or view.running + view.queued < view.concurrency_limit:
            # A request is not refused while a slot is free: the service time estimate may be
            # out of date, and only requests that run can correct it.
            return reason
        wait = view.expected_wait
        if now + wait + view.service_seconds > deadline:
            return "deadline-unreachable"
        return "overloaded" if wait > self.max_wait else None
