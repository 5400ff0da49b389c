"""Load balancing among the targets of a group, for services without keys."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target that the request may be sent to.

    :param outstanding: Requests that run on the target or wait for it.
    :param concurrency_limit: Maximum number of requests that may run on the target now.
    :param slowness: Service time of the target relative to the typical one, 1.0 if it is not a
        straggler.
    """

    name: str
    outstanding: int
    concurrency_limit: int
    slowness: float = 1.0


class Balancing(ABC):
    """Chooses one of several targets."""

    @abstractmethod
    def pick(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return the target to send the request to.

        :param candidates: At least one target.
        """

    @abstractmethod
    def on_report(self, target: str, load: float) -> None:
        """Record the load that a target reports."""
