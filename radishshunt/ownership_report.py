"""What the ownership of a group tells those who plan its next row."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from radishshunt.model import GroupRow
    from radishshunt.ownership_state import Bundle, TargetState


class OwnershipReport:
    """Part of :class:`~radishshunt.ownership.GroupOwnership` that planning asks."""

    row: GroupRow
    generation: int
    _bundles: list[Bundle]
    _targets: dict[str, TargetState]

    @property
    def taken_over(self) -> bool:
        """Whether this is the standby dispatcher's generation."""
        return self.generation > self.row.generation

    def lost_targets(self, now: float) -> set[str]:
        """Return the targets that do not answer."""
        return {name for name, state in self._targets.items() if state.failed(now)}

    def moved_slices(self) -> frozenset[int]:
        """Return the slices that the standby serves."""
        return frozenset(n for b in self._bundles if b.step == 1 for n in b.slices)

    def stranded_slices(self, now: float) -> frozenset[int]:
        """Return the slices that no target can serve again under this generation."""
        return frozenset(
            n for b in self._bundles if b.stranded(self._targets, now) for n in b.slices
        )

    def begun_slices(self) -> frozenset[int]:
        """Return the slices for which the fences before the first grant are complete."""
        return frozenset(n for b in self._bundles if b.step is not None for n in b.slices)

    def latest_deadlines(self) -> dict[str, float]:
        """Return the end of the last grant sent to each target, 0 for none."""
        return {name: state.sent_deadline for name, state in self._targets.items()}

    def unsettled(self, now: float, *, rivals_stopped: bool) -> dict[str, tuple[int, ...]]:
        """Return the targets that a following generation has to fence, with their slices.

        :param rivals_stopped: Whether the standby dispatcher has confirmed that it does not use
            its generation of the row. A dispatcher that has taken over needs no confirmation: the
            fences before its first grant of a slice ended the former dispatcher's grants.
        """
        pending: dict[str, set[int]] = defaultdict(set)
        for bundle in self._bundles:
            names = self._unsettled_names(bundle, now, rivals_stopped)
            # Bars add up, since an earlier row may still be written after its answer was lost.
            self._bar(bundle, bundle.barred | (bundle.names - names))
            for name in names:
                pending[name] |= bundle.slices
        return {name: tuple(sorted(numbers)) for name, numbers in sorted(pending.items())}

    def lift_bars(self) -> None:
        """Take the news that the row for which :meth:`unsettled` was asked is not written."""
        for bundle in self._bundles:
            self._bar(bundle, set())

    def _bar(self, bundle: Bundle, names: set[str]) -> None:
        bundle.barred = frozenset(names)
        for name in bundle.names:
            self._targets[name].steps = None

    def _unsettled_names(self, bundle: Bundle, now: float, rivals_stopped: bool) -> set[str]:
        if bundle.step is None:
            # Without a grant of its own, a dispatcher only passes on what others may have granted.
            unknown = self.taken_over or not rivals_stopped
            names = bundle.names if unknown else bundle.former
            return {name for name in names if not bundle.rivals_ended(name, now)}
        if not self.taken_over and not rivals_stopped:
            return bundle.pair
        return bundle.exposed(self._targets, now)
