"""Which target owns which slice, decided from measured load and free of I/O."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence


@dataclass(frozen=True, slots=True)
class Place:
    """A target as placement sees it.

    :param group: Number of its dispatch group.
    :param capacity: Usable share of a warm target's capacity, 0 if it takes no work.
    """

    name: str
    group: int
    domain: str
    capacity: float = 1.0


@dataclass(frozen=True, slots=True)
class PlacementView:
    """What placement decides from.

    :param owners: Owner of each slice.
    :param load: Requests per second of each slice; a missing one has none.
    :param counted: Requests that the figures of one average target are based on; placement
        ignores differences that may be noise.
    :param moved_at: Time of the last move of a slice, in seconds since the Unix epoch.
    :param standbys: Standby of each slice.
    :param agreed_only: Whether the platform's table is down, so that a slice can only move to
        its standby.
    :param utilisation: Busy share of the slots of an average target.
    :param now: Seconds since the Unix epoch.
    """

    places: Sequence[Place]
    owners: Mapping[int, str]
    load: Mapping[int, float]
    now: float
    counted: float = 1000.0
    moved_at: Mapping[int, float] = field(default_factory=dict)
    standbys: Mapping[int, str] = field(default_factory=dict)
    agreed_only: bool = False
    utilisation: float = 0.5


@dataclass(frozen=True, slots=True)
class Move:
    """A slice's change of owner.

    :param forced: Whether the source takes no work any more.
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

        :param view: What is known; the same view gives the same moves.
        """
