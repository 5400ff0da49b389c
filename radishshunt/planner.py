"""New rows of groups from the catalog, the live hosts and the rows in force, free of I/O."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from radishshunt.assignment import assign
from radishshunt.model import GroupId, GroupRow, HostRef, SliceAssignment

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from radishshunt.model import HostInfo
    from radishshunt.release.catalog import Catalog, ServiceSpec

TARGETS_PER_GROUP = 3
MOST_TARGETS_PER_GROUP = 4
# A group gives slices to another one if it has this much more than the mean for each target, and
# the other this much less. The gap keeps rounding from moving slices back and forth.
GIVING_RATIO = 1.2
TAKING_RATIO = 0.85


@dataclass(frozen=True, slots=True)
class View:
    """What the planner decides from.

    :param hosts: Live hosts that are not leaving.
    :param lost: Targets that their dispatcher counts as lost.
    :param moved: For groups dispatched by the planning host, the slices that standbys serve.
    """

    catalog: Catalog
    hosts: Sequence[HostInfo]
    rows: Mapping[GroupId, GroupRow]
    lost: frozenset[str] = frozenset()
    moved: Mapping[GroupId, frozenset[int]] = field(default_factory=dict)

    def usable(self, target: str) -> bool:
        """Return whether a target can own slices."""
        return self.catalog.takes_work(target) and target not in self.lost

    def live_refs(self) -> set[HostRef]:
        """Return the live runs of hosts."""
        return {HostRef(info.host, info.incarnation) for info in self.hosts}

    def rows_of(self, service: str) -> dict[GroupId, GroupRow]:
        """Return a service's rows in order of their groups."""
        return {g: row for g, row in sorted(self.rows.items()) if g.service == service}


def plan_new_groups(view: View) -> list[GroupRow]:
    """Return the first rows of services that have none, and rows of additional groups."""
    if not view.hosts:
        return []
    counts = _host_counts(view)
    created = []
    for name in sorted(view.catalog.services):
        service = view.catalog.services[name]
        rows = view.rows_of(name)
        if not rows:
            created += _first_rows(view, service, counts)
            continue
        crowded = _homeless(view, name)[_free_places(view, rows) :]
        if len(crowded) >= TARGETS_PER_GROUP:
            group = GroupId(name, max(rows).group + 1)
            names = tuple(crowded[:MOST_TARGETS_PER_GROUP])
            created.append(_first_row(view, group, names, (), counts))
    return created


def plan_group(view: View, group: GroupId) -> GroupRow | None:
    """Return a group's next row, or ``None`` if the present one is right.

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
        slices = assign(row.slices, usable, domain_of, view.moved.get(group, frozenset()))
        # Owners that take no work stay listed until another target is usable.
    dispatcher, standby = _hosts_of(view, row, targets)
    following = replace(
        row,
        generation=row.generation + 2,
        dispatcher=dispatcher,
        standby_dispatcher=standby,
        targets=_with_owners(targets, slices, row.targets),
        slices=slices,
    )
    same = replace(following, generation=row.generation) == row
    return None if same else following


def plan_exchange(view: View, group: GroupId) -> tuple[GroupRow, GroupRow] | None:
    """Return the next rows of a group and of one that takes slices from it, if any should.

    :param group: Group that the planning host dispatches.
    """
    row = view.rows[group]
    if not row.slices:
        return None
    capacity = {g: _capacity(view, other) for g, other in view.rows_of(group.service).items()}
    total, targets = sum(len(view.rows[g].slices) for g in capacity), sum(capacity.values())
    takers = [g for g in capacity if g != group and capacity[g]]
    if not takers or not targets:
        return None
    mean = total / targets
    taker = min(takers, key=lambda g: (len(view.rows[g].slices) / capacity[g], g))
    excess = len(row.slices) - int(mean * capacity[group])
    room = int(mean * capacity[taker]) - len(view.rows[taker].slices)
    if capacity[group]:
        crowded = len(row.slices) > GIVING_RATIO * mean * capacity[group]
        if not crowded or len(view.rows[taker].slices) > TAKING_RATIO * mean * capacity[taker]:
            return None
    else:
        room = max(room, 1 + len(row.slices) // len(takers))
    number = min(excess, room)
    return _exchange(view, row, view.rows[taker], number) if number > 0 else None


def former_targets(row: GroupRow, numbers: Iterable[int]) -> dict[str, set[int]]:
    """Return all targets that may hold grants for slices, if nothing else is known."""
    wanted = set(numbers)
    pending = {name: set(held) & wanted for name, held in row.unfenced.items()}
    for number in wanted & set(row.slices):
        pair = row.slices[number]
        for name in (pair.owner, pair.standby):
            if name:
                pending.setdefault(name, set()).add(number)
    return {name: held for name, held in sorted(pending.items()) if held}


def former_hosts(*rows: GroupRow) -> tuple[HostRef, ...]:
    """Return all runs of hosts that may have issued grants up to the given rows."""
    runs = {run for row in rows for run in row.former_hosts}
    for row in rows:
        runs.add(row.dispatcher)
        if row.standby_dispatcher is not None:
            runs.add(row.standby_dispatcher)
    return tuple(sorted(runs, key=lambda run: (run.host, run.incarnation)))


def merge_unfenced(*parts: Mapping[str, Iterable[int]]) -> dict[str, tuple[int, ...]]:
    """Return the union of several maps from targets to slices."""
    merged: dict[str, set[int]] = {}
    for part in parts:
        for name, numbers in part.items():
            merged.setdefault(name, set()).update(numbers)
    return {name: tuple(sorted(held)) for name, held in sorted(merged.items()) if held}


def _exchange(view: View, row: GroupRow, taker: GroupRow, number: int) -> tuple[GroupRow, GroupRow]:
    moving = frozenset(sorted(row.slices)[-number:])
    generation = max(row.generation, taker.generation) + 2
    kept = {n: pair for n, pair in row.slices.items() if n not in moving}
    targets = _members(view, taker)
    usable = [name for name in targets if view.usable(name)]
    domain_of = {name: view.catalog.targets[name].domain for name in usable}
    unassigned = dict(taker.slices.items()) | dict.fromkeys(moving, SliceAssignment("", None))
    slices = assign(unassigned, usable, domain_of, frozenset())
    return (
        replace(row, generation=generation, slices=kept),
        replace(
            taker,
            generation=generation,
            slices=slices,
            targets=_with_owners(targets, slices, taker.targets),
        ),
    )


def _with_owners(
    targets: Sequence[str], slices: Mapping[int, SliceAssignment], former: Sequence[str]
) -> tuple[str, ...]:
    """Return a group's targets, with former ones that still own slices."""
    owners = {pair.owner for pair in slices.values()}
    return (*targets, *(n for n in former if n in owners and n not in targets))


def _capacity(view: View, row: GroupRow) -> int:
    """Return how many targets of a group take work, 0 if none of them answers.

    A lost target counts as long as others answer, since it often returns within seconds, and its
    slices would then move between groups twice.
    """
    members = _members(view, row)
    if not any(view.usable(name) for name in members):
        return 0
    return sum(view.catalog.takes_work(name) for name in members)


def _members(view: View, row: GroupRow) -> tuple[str, ...]:
    """Return a group's listed targets and the new ones that join it."""
    listed = view.catalog.targets
    service = row.group.service
    members = [n for n in row.targets if n in listed and listed[n].service == service]
    return (*members, *_joining(view, service).get(row.group, ()))


def _homeless(view: View, service: str) -> list[str]:
    housed = {name for row in view.rows_of(service).values() for name in row.targets}
    names = [t.name for t in view.catalog.targets_of(service) if t.name not in housed]
    return sorted(names, key=lambda name: (view.catalog.targets[name].domain, name))


def _free_places(view: View, rows: Mapping[GroupId, GroupRow]) -> int:
    sizes = (sum(n in view.catalog.targets for n in row.targets) for row in rows.values())
    return sum(max(0, MOST_TARGETS_PER_GROUP - size) for size in sizes)


def _joining(view: View, service: str) -> dict[GroupId, list[str]]:
    """Return the new targets that join each group: the smallest, one without their domain."""
    rows = view.rows_of(service)
    members = {g: [n for n in row.targets if n in view.catalog.targets] for g, row in rows.items()}
    joining: dict[GroupId, list[str]] = {}
    homeless = _homeless(view, service)
    own_group = len(homeless) - _free_places(view, rows) >= TARGETS_PER_GROUP
    for name in homeless:
        domain = view.catalog.targets[name].domain

        def rank(g: GroupId, domain: str = domain) -> tuple[int, int, GroupId]:
            same = sum(view.catalog.targets[n].domain == domain for n in members[g])
            return len(members[g]), same, g

        best = min(members, key=rank)
        # Enough targets without a place form a group of their own; a few fit in with the others.
        if len(members[best]) >= MOST_TARGETS_PER_GROUP and own_group:
            continue
        members[best].append(name)
        joining.setdefault(best, []).append(name)
    return joining


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
    view: View,
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
        slices=assign(unassigned, list(names), domain_of, frozenset()),
    )


def _host_counts(view: View) -> Counter[str]:
    return Counter(row.dispatcher.host for row in view.rows.values())


def _hosts_of(view: View, row: GroupRow, targets: Sequence[str]) -> tuple[HostRef, HostRef | None]:
    """Return a group's dispatchers, keeping those that are live."""
    live = view.live_refs()
    counts = _host_counts(view)
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
    view: View, targets: Sequence[str], counts: Counter[str], avoid: str | None
) -> HostRef | None:
    """Pick the host with the fewest groups, outside the targets' domains where possible.

    :param avoid: Host whose domain the picked one should not share, and which it can't be.
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
