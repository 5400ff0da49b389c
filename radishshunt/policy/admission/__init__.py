"""Admission control: whether a request may wait for a target."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class QueueView:
    """State of a target's queue at an admission decision.

    :param concurrency_limit: Maximum number of requests that may run on the target now.
    :param service_seconds: Estimated time that a request occupies a slot.
    """

    running: int
    queued: int
    concurrency_limit: int
    service_seconds: float

    @property
    def expected_wait(self) -> float:
        """Expected wait in seconds of a request that arrives now, if served in arrival order."""
        ahead = self.running + self.queued - self.concurrency_limit + 1
        return max(0, ahead) * self.service_seconds / self.concurrency_limit


class Admission(ABC):
    """Decides whether a request may enter a target's queue."""

    @abstractmethod
    def refusal(self, view: QueueView, now: float, deadline: float) -> str | None:
        """Return the reason to refuse the request, or ``None`` to let it wait.

        :param now: Seconds since the Unix epoch.
        :param deadline: Seconds since the Unix epoch.
        """
