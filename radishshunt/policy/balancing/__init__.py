"""Which target of a group gets a request of a service without keys."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target that may get the request.

    :param outstanding: Requests running on it or waiting for it.
    :param bound: Requests at once that it may get now.
    :param slowness: Its service time relative to the usual one.
    """

    name: str
    outstanding: int
    bound: int
    slowness: float = 1.0


class Balancing(ABC):
    """Chooses one of several targets."""

    @abstractmethod
    def pick(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return the target that gets the request.

        :param candidates: At least one target.
        """

    @abstractmethod
    def on_report(self, target: str, load: float) -> None:
        """Take a target's own load report."""
