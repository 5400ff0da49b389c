"""Placement of slices on targets by measured load, free of I/O."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence


@dataclass(frozen=True, slots=True)
class PlacementTarget:
    """A target that can own slices.

    :param group: Number of its dispatch group.
    :param domain: Failure domain of the target.
    :param capacity: Usable share of a warm target's capacity, 0 if it takes no work.
    """

    name: str
    group: int
    domain: str
    capacity: float = 1.0


@dataclass(frozen=True, slots=True)
class PlacementView:
    """Input of a placement decision.

    :param owners: Owner of each slice.
    :param load: Requests per second of each slice; slices without requests may be left out.
    :param now: Seconds since the Unix epoch.
    :param sample_requests: Mean number of requests per target in the load measurement. Load
        differences within the sampling error of so many requests are ignored.
    :param moved_at: Time of the last move of each slice, in seconds since the Unix epoch.
    :param standbys: Standby of each slice.
    :param standbys_only: Whether slices may only move to their standby, because the platform's
        table, which stores the rows, is unavailable.
    :param utilisation: Busy share of an average target's slots.
    """

    targets: Sequence[PlacementTarget]
    owners: Mapping[int, str]
    load: Mapping[int, float]
    now: float
    sample_requests: float = 1000.0
    moved_at: Mapping[int, float] = field(default_factory=dict)
    standbys: Mapping[int, str] = field(default_factory=dict)
    standbys_only: bool = False
    utilisation: float = 0.5


@dataclass(frozen=True, slots=True)
class Move:
    """Change of a slice's owner.

    :param forced: Whether the slice must move because the source takes no work any more.
    """

    slice: int
    source: str
    to: str
    forced: bool = False


class Placement(ABC):
    """Decides which slices change their owner."""

    @abstractmethod
    def moves(self, view: PlacementView) -> list[Move]:
        """Return the moves to make now, most urgent first.

        :param view: Input of the decision; the same input gives the same moves.
        """
