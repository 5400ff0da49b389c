"""Queries on the ownership state of a group for planning its next row."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from radishshunt.model import GroupRow
    from radishshunt.ownership_state import SliceBundle, TargetState


class OwnershipReport:
    """Queries of :class:`~radishshunt.ownership.GroupOwnership` that planning uses."""

    row: GroupRow
    generation: int
    _bundles: list[SliceBundle]
    _targets: dict[str, TargetState]

    @property
    def taken_over(self) -> bool:
        """Whether this is the standby dispatcher's generation."""
        return self.generation > self.row.generation

    def lost_targets(self, now: float) -> set[str]:
        """Return the targets that do not answer."""
        return {name for name, state in self._targets.items() if state.is_lost(now)}

    def slices_served_by_standby(self) -> frozenset[int]:
        """Return the slices that are served by their standby."""
        return frozenset(n for b in self._bundles if b.step == 1 for n in b.slices)

    def unservable_slices(self, now: float) -> frozenset[int]:
        """Return the slices that no target can serve again under this generation."""
        return frozenset(
            n for b in self._bundles if b.is_unservable(self._targets, now) for n in b.slices
        )

    def started_slices(self) -> frozenset[int]:
        """Return the slices for which all fences before the first grant are complete."""
        return frozenset(n for b in self._bundles if b.step is not None for n in b.slices)

    def latest_deadlines(self) -> dict[str, float]:
        """Return the deadline of the last grant sent to each target, 0 for none."""
        return {name: state.sent_deadline for name, state in self._targets.items()}

    def targets_to_fence(
        self, now: float, *, takeover_ruled_out: bool
    ) -> dict[str, tuple[int, ...]]:
        """Return the targets that the next generation has to fence, with their slices.

        All other targets are excluded from grants until :meth:`clear_exclusions`.

        :param takeover_ruled_out: Whether the standby dispatcher has confirmed that it does not use
            its generation of the row. A dispatcher that has taken over needs no confirmation: the
            fences before its first grant of a slice ended the former dispatcher's grants.
        """
        pending: dict[str, set[int]] = defaultdict(set)
        for bundle in self._bundles:
            names = self._bundle_targets_to_fence(bundle, now, takeover_ruled_out)
            # Exclusions accumulate, since an earlier write whose answer was lost may still succeed.
            self._exclude(bundle, bundle.excluded_targets | (bundle.possible_targets - names))
            for name in names:
                pending[name] |= bundle.slices
        return {name: tuple(sorted(numbers)) for name, numbers in sorted(pending.items())}

    def clear_exclusions(self) -> None:
        """Clear the exclusions after a row planned with :meth:`targets_to_fence` is not written."""
        for bundle in self._bundles:
            self._exclude(bundle, set())

    def _exclude(self, bundle: SliceBundle, names: set[str]) -> None:
        bundle.excluded_targets = frozenset(names)
        for name in bundle.possible_targets:
            self._targets[name].cached_steps = None

    def _bundle_targets_to_fence(
        self, bundle: SliceBundle, now: float, takeover_ruled_out: bool
    ) -> set[str]:
        if bundle.step is None:
            # This dispatcher has granted nothing itself, so it only passes on the targets to which
            # others may have issued grants.
            others_granted = self.taken_over or not takeover_ruled_out
            names = bundle.possible_targets if others_granted else bundle.former
            return {name for name in names if not bundle.competing_grants_expired(name, now)}
        if not self.taken_over and not takeover_ruled_out:
            return bundle.pair
        return bundle.possible_holders(self._targets, now)
