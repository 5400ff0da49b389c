"""Baseline: slices in equal shares, whatever their load."""

from __future__ import annotations

from typing import TYPE_CHECKING

from radishshunt.placement import Move, Placement

if TYPE_CHECKING:
    from radishshunt.placement import PlacementView


class StaticHash(Placement):
    """Returns every slice to the target that its number maps to.

    A slice whose target takes no work goes to its standby.
    """

    def moves(self, view: PlacementView) -> list[Move]:
        names = [place.name for place in view.places]
        usable = {place.name for place in view.places if place.capacity > 0}
        slices = len(view.owners)
        result = []
        for index, number in enumerate(sorted(view.owners)):
            to = names[index * len(names) // slices]
            if to not in usable:
                to = view.standbys.get(number, to)
            owner = view.owners[number]
            if to != owner and to in usable:
                result.append(Move(number, owner, to, forced=owner not in usable))
        return result
