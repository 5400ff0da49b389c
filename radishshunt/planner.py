"""Plans new rows of groups from catalog, live hosts and current rows, without I/O."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from radishshunt.assignment import assign_slices
from radishshunt.model import GroupId, GroupRow, HostRef, SliceAssignment

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from radishshunt.model import HostInfo
    from radishshunt.release.catalog import Catalog, ServiceSpec

TARGETS_PER_GROUP = 3
MAX_TARGETS_PER_GROUP = 4
# A group transfers slices to another one if its slices per target exceed the first multiple of the
# mean, and those of the other group are at most the second. The gap between the two keeps rounding
# from moving slices back and forth.
SOURCE_LOAD_RATIO = 1.2
DESTINATION_LOAD_RATIO = 0.85


@dataclass(frozen=True, slots=True)
class PlanningView:
    """Catalog, hosts, rows and target states that the planner decides from.

    :param hosts: Live hosts that are not leaving.
    :param rows: Current row of each group.
    :param lost: Targets that their dispatcher counts as lost.
    :param served_by_standby: Slices that standbys serve, for the groups that the planning host
        dispatches.
    """

    catalog: Catalog
    hosts: Sequence[HostInfo]
    rows: Mapping[GroupId, GroupRow]
    lost: frozenset[str] = frozenset()
    served_by_standby: Mapping[GroupId, frozenset[int]] = field(default_factory=dict)

    def usable(self, target: str) -> bool:
        """Return whether a target can own slices."""
        return self.catalog.takes_work(target) and target not in self.lost

    def live_host_refs(self) -> set[HostRef]:
        """Return the live hosts with their incarnations."""
        return {HostRef(info.host, info.incarnation) for info in self.hosts}

    def rows_of(self, service: str) -> dict[GroupId, GroupRow]:
        """Return the rows of a service, sorted by group."""
        return {g: row for g, row in sorted(self.rows.items()) if g.service == service}


def plan_new_groups(view: PlanningView) -> list[GroupRow]:
    """Return the initial rows of services without rows, and the rows of additional groups."""
    if not view.hosts:
        return []
    counts = _group_counts_by_host(view)
    created = []
    for name in sorted(view.catalog.services):
        service = view.catalog.services[name]
        rows = view.rows_of(name)
        if not rows:
            created += _first_rows(view, service, counts)
            continue
        surplus = _ungrouped_targets(view, name)[_free_member_count(view, rows) :]
        if len(surplus) >= TARGETS_PER_GROUP:
            group = GroupId(name, max(rows).group + 1)
            names = tuple(surplus[:MAX_TARGETS_PER_GROUP])
            created.append(_first_row(view, group, names, (), counts))
    return created


def plan_group(view: PlanningView, group: GroupId) -> GroupRow | None:
    """Return a group's next row, or ``None`` if the current one needs no change.

    :param group: Group that the planning host dispatches or repairs.
    """
    row = view.rows[group]
    if not view.hosts or group.service not in view.catalog.services:
        return None
    targets = _members(view, row)
    usable = [name for name in targets if view.usable(name)]
    slices: Mapping[int, SliceAssignment] = row.slices
    if row.slices and usable:
        domain_of = {name: view.catalog.targets[name].domain for name in usable}
        slices = assign_slices(
            row.slices, usable, domain_of, view.served_by_standby.get(group, frozenset())
        )
        # Otherwise, owners that take no work keep their slices until another target is usable.
    dispatcher, standby = _choose_dispatchers(view, row, targets)
    next_row = replace(
        row,
        generation=row.generation + 2,
        dispatcher=dispatcher,
        standby_dispatcher=standby,
        targets=_with_owners(targets, slices, row.targets),
        slices=slices,
    )
    same = replace(next_row, generation=row.generation) == row
    return None if same else next_row


def plan_transfer(view: PlanningView, group: GroupId) -> tuple[GroupRow, GroupRow] | None:
    """Return the next rows of a group and of the one that it transfers slices to, if any.

    :param group: Group that the planning host dispatches.
    """
    row = view.rows[group]
    if not row.slices:
        return None
    capacity = {
        g: _working_target_count(view, other) for g, other in view.rows_of(group.service).items()
    }
    total, targets = sum(len(view.rows[g].slices) for g in capacity), sum(capacity.values())
    destinations = [g for g in capacity if g != group and capacity[g]]
    if not destinations or not targets:
        return None
    mean = total / targets
    destination = min(destinations, key=lambda g: (len(view.rows[g].slices) / capacity[g], g))
    excess = len(row.slices) - int(mean * capacity[group])
    room = int(mean * capacity[destination]) - len(view.rows[destination].slices)
    if capacity[group]:
        overloaded = len(row.slices) > SOURCE_LOAD_RATIO * mean * capacity[group]
        if (
            not overloaded
            or len(view.rows[destination].slices)
            > DESTINATION_LOAD_RATIO * mean * capacity[destination]
        ):
            return None
    else:
        room = max(room, 1 + len(row.slices) // len(destinations))
    count = min(excess, room)
    return _build_transfer(view, row, view.rows[destination], count) if count > 0 else None


def former_targets(row: GroupRow, numbers: Iterable[int]) -> dict[str, set[int]]:
    """Return all targets that may hold grants for slices, judging by the row alone."""
    wanted = set(numbers)
    pending = {name: set(held) & wanted for name, held in row.unfenced.items()}
    for number in wanted & set(row.slices):
        pair = row.slices[number]
        for name in (pair.owner, pair.standby):
            if name:
                pending.setdefault(name, set()).add(number)
    return {name: held for name, held in sorted(pending.items()) if held}


def former_hosts(*rows: GroupRow) -> tuple[HostRef, ...]:
    """Return all host incarnations that may have issued grants up to the given rows."""
    refs = {ref for row in rows for ref in row.former_hosts}
    for row in rows:
        refs.add(row.dispatcher)
        if row.standby_dispatcher is not None:
            refs.add(row.standby_dispatcher)
    return tuple(sorted(refs, key=lambda ref: (ref.host, ref.incarnation)))


def merge_unfenced(*parts: Mapping[str, Iterable[int]]) -> dict[str, tuple[int, ...]]:
    """Return the union of several mappings from targets to slices."""
    merged: dict[str, set[int]] = {}
    for part in parts:
        for name, numbers in part.items():
            merged.setdefault(name, set()).update(numbers)
    return {name: tuple(sorted(held)) for name, held in sorted(merged.items()) if held}


def _build_transfer(
    view: PlanningView, row: GroupRow, destination: GroupRow, count: int
) -> tuple[GroupRow, GroupRow]:
    transferred = frozenset(sorted(row.slices)[-count:])
    generation = max(row.generation, destination.generation) + 2
    kept = {n: pair for n, pair in row.slices.items() if n not in transferred}
    targets = _members(view, destination)
    usable = [name for name in targets if view.usable(name)]
    domain_of = {name: view.catalog.targets[name].domain for name in usable}
    unassigned = dict(destination.slices.items()) | dict.fromkeys(
        transferred, SliceAssignment("", None)
    )
    slices = assign_slices(unassigned, usable, domain_of, frozenset())
    return (
        replace(row, generation=generation, slices=kept),
        replace(
            destination,
            generation=generation,
            slices=slices,
            targets=_with_owners(targets, slices, destination.targets),
        ),
    )


def _with_owners(
    targets: Sequence[str], slices: Mapping[int, SliceAssignment], former: Sequence[str]
) -> tuple[str, ...]:
    """Return a group's targets, including former ones that still own slices."""
    owners = {pair.owner for pair in slices.values()}
    return (*targets, *(n for n in former if n in owners and n not in targets))


def _working_target_count(view: PlanningView, row: GroupRow) -> int:
    """Return how many targets of a group accept work, 0 if none of them answers.

    Lost targets are included as long as another target answers: they often return within seconds,
    and their slices would otherwise move between groups twice.
    """
    members = _members(view, row)
    if not any(view.usable(name) for name in members):
        return 0
    return sum(view.catalog.takes_work(name) for name in members)


def _members(view: PlanningView, row: GroupRow) -> tuple[str, ...]:
    """Return a group's targets that are still in the catalog, and the new ones that join it."""
    listed = view.catalog.targets
    service = row.group.service
    members = [n for n in row.targets if n in listed and listed[n].service == service]
    return (*members, *_joining_targets(view, service).get(row.group, ()))


def _ungrouped_targets(view: PlanningView, service: str) -> list[str]:
    grouped = {name for row in view.rows_of(service).values() for name in row.targets}
    names = [t.name for t in view.catalog.targets_of(service) if t.name not in grouped]
    return sorted(names, key=lambda name: (view.catalog.targets[name].domain, name))


def _free_member_count(view: PlanningView, rows: Mapping[GroupId, GroupRow]) -> int:
    sizes = (sum(n in view.catalog.targets for n in row.targets) for row in rows.values())
    return sum(max(0, MAX_TARGETS_PER_GROUP - size) for size in sizes)


def _joining_targets(view: PlanningView, service: str) -> dict[GroupId, list[str]]:
    """Return the new targets that join each group.

    A target joins the smallest group, on a tie the one with the fewest targets in its domain.
    """
    rows = view.rows_of(service)
    members = {g: [n for n in row.targets if n in view.catalog.targets] for g, row in rows.items()}
    joining: dict[GroupId, list[str]] = {}
    ungrouped = _ungrouped_targets(view, service)
    form_group = len(ungrouped) - _free_member_count(view, rows) >= TARGETS_PER_GROUP
    for name in ungrouped:
        domain = view.catalog.targets[name].domain

        def rank(g: GroupId, domain: str = domain) -> tuple[int, int, GroupId]:
            same = sum(view.catalog.targets[n].domain == domain for n in members[g])
            return len(members[g]), same, g

        best = min(members, key=rank)
        # New targets beyond the free member count form a group of their own if there are enough of
        # them; otherwise they join full groups.
        if len(members[best]) >= MAX_TARGETS_PER_GROUP and form_group:
            continue
        members[best].append(name)
        joining.setdefault(best, []).append(name)
    return joining


def _first_rows(view: PlanningView, service: ServiceSpec, counts: Counter[str]) -> list[GroupRow]:
    targets = [t for t in view.catalog.targets_of(service.name) if view.usable(t.name)]
    if not targets:
        return []
    group_count = max(1, len(targets) // TARGETS_PER_GROUP)
    by_domain = sorted(targets, key=lambda t: (t.domain, t.name))
    members = [tuple(t.name for t in by_domain[i::group_count]) for i in range(group_count)]
    rows = []
    first = 0
    for index, names in enumerate(members):
        last = first + len(names) * service.slices // len(targets)
        if index == group_count - 1:
            last = service.slices
        numbers = range(first, last) if service.keyed else range(0)
        first = last
        rows.append(_first_row(view, GroupId(service.name, index), names, numbers, counts))
    return rows


def _first_row(
    view: PlanningView,
    group: GroupId,
    names: tuple[str, ...],
    numbers: Iterable[int],
    counts: Counter[str],
) -> GroupRow:
    domain_of = {name: view.catalog.targets[name].domain for name in names}
    dispatcher = _pick_host(view, names, counts, avoid=None)
    counts[dispatcher.host] += 1
    unassigned = {number: SliceAssignment("", None) for number in numbers}
    return GroupRow(
        group=group,
        generation=2,
        dispatcher=dispatcher,
        standby_dispatcher=_pick_host(view, names, counts, avoid=dispatcher.host),
        targets=names,
        slices=assign_slices(unassigned, list(names), domain_of, frozenset()),
    )


def _group_counts_by_host(view: PlanningView) -> Counter[str]:
    return Counter(row.dispatcher.host for row in view.rows.values())


def _choose_dispatchers(
    view: PlanningView, row: GroupRow, targets: Sequence[str]
) -> tuple[HostRef, HostRef | None]:
    """Return a group's dispatchers, keeping those that are live."""
    live = view.live_host_refs()
    counts = _group_counts_by_host(view)
    dispatcher, standby = row.dispatcher, row.standby_dispatcher
    if dispatcher not in live:
        if standby in live:
            dispatcher, standby = standby, None
        else:
            dispatcher = _pick_host(view, targets, counts, avoid=None)
    if standby not in live or standby.host == dispatcher.host:
        standby = _pick_host(view, targets, counts, avoid=dispatcher.host)
    return dispatcher, standby


def _pick_host(
    view: PlanningView, targets: Sequence[str], counts: Counter[str], avoid: str | None
) -> HostRef | None:
    """Return the host with the fewest groups, outside the targets' domains where possible.

    :param avoid: Host that must not be chosen and whose domain is avoided where possible.
    """
    domain_of = {info.host: info.domain for info in view.hosts}
    listed = view.catalog.targets
    in_domain = Counter(listed[name].domain for name in targets if name in listed)
    others = [info for info in view.hosts if info.host != avoid]
    best = min(
        others,
        key=lambda h: (
            avoid is not None and h.domain == domain_of.get(avoid),
            in_domain[h.domain],
            counts[h.host],
            h.host,
        ),
        default=None,
    )
    return HostRef(best.host, best.incarnation) if best else None
