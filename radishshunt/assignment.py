"""Assignment of a group's slices to its targets with few moves."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from radishshunt.model import SliceAssignment

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

# Slices are rebalanced only if a target owns more than one slice above this multiple of the mean,
# since requests for a slice wait briefly while it moves.
REBALANCE_RATIO = 1.1


def assign_slices(
    slices: Mapping[int, SliceAssignment],
    usable: Sequence[str],
    domain_of: Mapping[str, str],
    served_by_standby: frozenset[int],
) -> dict[int, SliceAssignment]:
    """Return new assignments that keep existing ones where possible.

    The remaining slices are spread evenly over the usable targets.

    :param usable: Targets that can own slices; at least one.
    :param domain_of: Failure domain of each usable target.
    :param served_by_standby: Slices that their standby already serves; the standby is preferred as
        their owner.
    """
    owners = _choose_owners(slices, usable, served_by_standby)
    _rebalance(owners, slices, usable)
    standby_counts: Counter[str] = Counter(dict.fromkeys(usable, 0))
    result = {}
    for number, owner in owners.items():
        pair = slices[number]
        standby = pair.standby if pair.owner == owner else None
        if pair.standby == owner and pair.owner in domain_of:
            standby = pair.owner  # Owner and standby have swapped roles.
        if not _is_valid_standby(standby, owner, domain_of):
            standby = min(
                (name for name in usable if name != owner),
                key=lambda n, o=owner: (domain_of[n] == domain_of[o], standby_counts[n], n),
                default=None,
            )
        if standby is not None:
            standby_counts[standby] += 1
        result[number] = SliceAssignment(owner, standby)
    return result


def _is_valid_standby(standby: str | None, owner: str, domain_of: Mapping[str, str]) -> bool:
    if standby is None or standby == owner or standby not in domain_of:
        return False
    return domain_of[standby] != domain_of[owner] or len(set(domain_of.values())) == 1


def _choose_owners(
    slices: Mapping[int, SliceAssignment], usable: Sequence[str], served_by_standby: frozenset[int]
) -> dict[int, str]:
    chosen: dict[int, str | None] = {}
    for number, pair in slices.items():
        candidates = (
            (pair.standby, pair.owner)
            if number in served_by_standby
            else (pair.owner, pair.standby)
        )
        chosen[number] = next((name for name in candidates if name in usable), None)
    owned = Counter(dict.fromkeys(usable, 0))
    owned.update(name for name in chosen.values() if name is not None)
    for number, name in chosen.items():
        if name is None:
            chosen[number] = best = min(usable, key=lambda n: (owned[n], n))
            owned[best] += 1
    return chosen


def _rebalance(
    owners: dict[int, str], slices: Mapping[int, SliceAssignment], usable: Sequence[str]
) -> None:
    """Move slices from targets with many to targets with few, to their standby if possible."""
    numbers_of: dict[str, list[int]] = {name: [] for name in usable}
    for number, name in owners.items():
        numbers_of[name].append(number)
    mean = len(owners) / len(usable)
    if max(len(numbers) for numbers in numbers_of.values()) <= REBALANCE_RATIO * mean + 1:
        return
    room = {n: int(mean) - len(numbers) for n, numbers in numbers_of.items()}
    for prefer_standby in (True, False):
        for name in usable:
            for number in list(numbers_of[name]):
                if len(numbers_of[name]) <= mean:
                    break
                pair = slices[number]
                recipients = [n for n in usable if room[n] > 0 and n != name]
                if prefer_standby:
                    recipients = [n for n in recipients if n in (pair.standby, pair.owner)]
                if recipients:
                    recipient = max(recipients, key=lambda n: (room[n], n))
                    numbers_of[name].remove(number)
                    owners[number] = recipient
                    room[recipient] -= 1
