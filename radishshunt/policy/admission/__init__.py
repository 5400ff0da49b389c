"""Whether a request may wait for a target."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class QueueView:
    """A target's queue as an admission decision sees it.

    :param bound: Requests that may be sent at once now.
    :param service_seconds: Estimated time that a request occupies a slot.
    """

    running: int
    queued: int
    bound: int
    service_seconds: float

    @property
    def expected_wait(self) -> float:
        """Seconds that a request arriving now is expected to wait in order of arrival."""
        ahead = self.running + self.queued - self.bound + 1
        return max(0, ahead) * self.service_seconds / self.bound


class Admission(ABC):
    """Decides about a request that arrives at a target's queue."""

    @abstractmethod
    def refusal(self, view: QueueView, now: float, deadline: float) -> str | None:
        """Return the reason to refuse the request, or ``None`` to let it wait.

        :param now: Seconds since the Unix epoch.
        :param deadline: Seconds since the Unix epoch.
        """
