"""Baseline: distribute slices evenly by number, whatever their load."""

from __future__ import annotations

from typing import TYPE_CHECKING

from radishshunt.placement import Move, Placement

if TYPE_CHECKING:
    from radishshunt.placement import PlacementView


class StaticHash(Placement):
    """Assigns each target about the same number of consecutive slices.

    A slice whose target takes no work moves to its standby.
    """

    def moves(self, view: PlacementView) -> list[Move]:
        names = [target.name for target in view.targets]
        usable = {target.name for target in view.targets if target.capacity > 0}
        slices = len(view.owners)
        result = []
        for index, slice_number in enumerate(sorted(view.owners)):
            to = names[index * len(names) // slices]
            if to not in usable:
                to = view.standbys.get(slice_number, to)
            owner = view.owners[slice_number]
            if to != owner and to in usable:
                result.append(Move(slice_number, owner, to, forced=owner not in usable))
        return result
