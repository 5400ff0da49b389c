"""New rows of groups from the catalog, the live hosts and the rows in force."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from radishshunt.model import GroupId, GroupRow, HostRef, SliceAssignment

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from radishshunt.model import HostInfo
    from radishshunt.release.catalog import Catalog, ServiceSpec

TARGETS_PER_GROUP = 3


@dataclass(frozen=True, slots=True)
class View:
    """What the planner decides from.

    :param hosts: Live hosts that are not leaving.
    :param lost: Targets that their dispatcher counts as lost.
    :param unsettled: For groups dispatched by the planning host, what its ownership state says
        has to be fenced; for other groups the planner assumes the most.
    """

    catalog: Catalog
    hosts: Sequence[HostInfo]
    rows: dict[GroupId, GroupRow]
    lost: frozenset[str] = frozenset()
    unsettled: dict[GroupId, dict[str, tuple[int, ...]]] = field(default_factory=dict)

    def usable(self, target: str) -> bool:
        """Return whether a target can own slices."""
        return self.catalog.takes_work(target) and target not in self.lost


def plan(view: View) -> list[GroupRow]:
    """Return the rows that have to change, each with its next generation.

    :param view: What is known; the same view gives the same rows.
    """
    if not view.hosts:
        return []
    dispatch_counts = Counter(row.dispatcher.host for row in view.rows.values())
    changed = []
    for name in sorted(view.catalog.services):
        service = view.catalog.services[name]
        rows = {g: r for g, r in view.rows.items() if g.service == name}
        if not rows:
            changed += _first_rows(view, service, dispatch_counts)
        else:
            changed += _repaired_rows(view, service, rows, dispatch_counts)
    return changed


def plan_row(view: View, row: GroupRow, targets: tuple[str, ...]) -> GroupRow:
    """Return a group's row for a set of targets, with the same generation if nothing changes.

    :param targets: Targets that the group shall have.
    """
    usable = [name for name in targets if view.usable(name)]
    domain_of = {name: view.catalog.targets[name].domain for name in usable}
    slices = _assign(row.slices, usable, domain_of)
    following = replace(row, targets=targets, slices=slices)
    if following == row:
        return row
    return replace(following, generation=row.generation + 2, unfenced=_unfenced(view, row, slices))


def _first_rows(view: View, service: ServiceSpec, counts: Counter[str]) -> list[GroupRow]:
    targets = [t for t in view.catalog.targets_of(service.name) if view.usable(t.name)]
    if not targets:
        return []
    number = max(1, len(targets) // TARGETS_PER_GROUP)
    by_domain = sorted(targets, key=lambda t: (t.domain, t.name))
    members = [tuple(t.name for t in by_domain[i::number]) for i in range(number)]
    rows = []
    first = 0
    for index, names in enumerate(members):
        last = first + len(names) * service.slices // len(targets)
        if index == number - 1:
            last = service.slices
        numbers = range(first, last) if service.keyed else range(0)
        first = last
        rows.append(_first_row(view, GroupId(service.name, index), names, numbers, counts))
    return rows


def _first_row(
    view: View, group: GroupId, names: tuple[str, ...], numbers: range, counts: Counter[str]
) -> GroupRow:
    domain_of = {name: view.catalog.targets[name].domain for name in names}
    dispatcher, standby = _pick_hosts(view, names, counts)
    unassigned = {number: SliceAssignment("", None) for number in numbers}
    return GroupRow(
        group=group,
        generation=2,
        dispatcher=dispatcher,
        standby_dispatcher=standby,
        targets=names,
        slices=_assign(unassigned, list(names), domain_of),
    )


def _repaired_rows(
    view: View, service: ServiceSpec, rows: dict[GroupId, GroupRow], counts: Counter[str]
) -> list[GroupRow]:
    listed = {t.name for t in view.catalog.targets_of(service.name)}
    members = {g: [n for n in row.targets if n in listed] for g, row in rows.items()}
    homeless = sorted(listed - {n for names in members.values() for n in names})
    for name in homeless:
        smallest = min(members, key=lambda g: (len(members[g]), g))
        members[smallest].append(name)
    live = {HostRef(h.host, h.incarnation) for h in view.hosts}
    changed = []
    for group, row in sorted(rows.items()):
        following = plan_row(view, row, tuple(members[group]))
        if row.dispatcher not in live or row.standby_dispatcher not in live:
            following = _with_hosts(view, row, following, live, counts)
        if following is not row:
            changed.append(following)
    return changed


def _with_hosts(
    view: View, row: GroupRow, following: GroupRow, live: set[HostRef], counts: Counter[str]
) -> GroupRow:
    dispatcher, standby = _pick_hosts(view, row.targets, counts)
    if row.dispatcher in live:
        dispatcher = row.dispatcher
        standby = _pick_standby(view, dispatcher.host, counts)
    elif row.standby_dispatcher in live:
        dispatcher = row.standby_dispatcher
        standby = _pick_standby(view, dispatcher.host, counts)
    if (dispatcher, standby) == (row.dispatcher, row.standby_dispatcher):
        return following
    return replace(
        following,
        generation=row.generation + 2,
        dispatcher=dispatcher,
        standby_dispatcher=standby,
        unfenced=_unfenced(view, row, following.slices),
    )


def _pick_hosts(
    view: View, names: Sequence[str], counts: Counter[str]
) -> tuple[HostRef, HostRef | None]:
    """Pick the least used hosts, outside the targets' domains where possible."""
    in_domain = Counter(
        view.catalog.targets[name].domain for name in names if name in view.catalog.targets
    )
    best = min(view.hosts, key=lambda h: (in_domain[h.domain], counts[h.host], h.host))
    counts[best.host] += 1
    return HostRef(best.host, best.incarnation), _pick_standby(view, best.host, counts)


def _pick_standby(view: View, dispatcher: str, counts: Counter[str]) -> HostRef | None:
    domain_of = {h.host: h.domain for h in view.hosts}
    others = [h for h in view.hosts if h.host != dispatcher]
    if not others:
        return None
    best = min(
        others, key=lambda h: (h.domain == domain_of.get(dispatcher), counts[h.host], h.host)
    )
    return HostRef(best.host, best.incarnation)


def _assign(
    slices: Mapping[int, SliceAssignment], usable: list[str], domain_of: dict[str, str]
) -> dict[int, SliceAssignment]:
    """Keep what can stay, and spread the rest evenly over the usable targets."""
    if not usable:
        return slices
    owned: Counter[str] = Counter(dict.fromkeys(usable, 0))
    owned.update(pair.owner for pair in slices.values() if pair.owner in domain_of)
    backed: Counter[str] = Counter(dict.fromkeys(usable, 0))
    result = {}
    for number, pair in slices.items():
        owner = pair.owner
        if owner not in domain_of:
            owner = pair.standby if pair.standby in domain_of else None
            owner = owner or min(usable, key=lambda name: (owned[name], name))
            owned[owner] += 1
        standby = pair.standby
        if standby not in domain_of or standby == owner:
            standby = min(
                (name for name in usable if name != owner),
                key=lambda name: (domain_of[name] == domain_of[owner], backed[name], name),
                default=None,
            )
        backed[standby] += 1
        result[number] = SliceAssignment(owner, standby)
    return result


def _unfenced(
    view: View, row: GroupRow, slices: Mapping[int, SliceAssignment]
) -> dict[str, tuple[int, ...]]:
    """Return the targets that may hold grants of earlier generations for the next row's slices."""
    if row.group in view.unsettled:
        pending = {name: set(numbers) for name, numbers in view.unsettled[row.group].items()}
    else:
        pending = {name: set(numbers) for name, numbers in row.unfenced.items()}
        for number, pair in row.slices.items():
            for name in (pair.owner, pair.standby):
                if name:
                    pending.setdefault(name, set()).add(number)
    return {
        name: tuple(sorted(numbers & slices.keys()))
        for name, numbers in sorted(pending.items())
        if numbers & slices.keys()
    }
