"""Tests of the rows planned after targets or hosts are lost or return, and after releases."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

from radishshunt.model import HostInfo
from radishshunt.planner import (
    PlanningView,
    former_targets,
    plan_group,
    plan_new_groups,
    plan_transfer,
)
from radishshunt.release.catalog import Catalog, DomainState, ServiceSpec, TargetSpec

DOMAINS = ("akl-a", "akl-b", "akl-c", "akl-d")
SLICES = 1024


def make_catalog(targets: int, **states: DomainState) -> Catalog:
    names = [f"permits-{n:02d}" for n in range(1, targets + 1)]
    return Catalog(
        version=1,
        domains=dict.fromkeys(DOMAINS, DomainState.IN) | states,
        services={"permits": ServiceSpec("permits", keyed=True, slices=SLICES)},
        targets={
            name: TargetSpec(name, "permits", f"127.0.0.1:{9000 + i}", DOMAINS[i % 3])
            for i, name in enumerate(names)
        },
    )


def make_hosts(count: int = 4) -> list[HostInfo]:
    return [
        HostInfo(f"host-{n:02d}", DOMAINS[n % 4], f"127.0.0.{n}:1", incarnation=n + 1)
        for n in range(count)
    ]


def make_view(targets: int = 6, hosts: int = 4) -> PlanningView:
    view = PlanningView(make_catalog(targets), make_hosts(hosts), {})
    return replace(view, rows={row.group: row for row in plan_new_groups(view)})


def count_slices_by_owner(row) -> Counter:
    return Counter(pair.owner for pair in row.slices.values())


def count_owner_changes(before, after) -> int:
    return sum(before.slices[n].owner != pair.owner for n, pair in after.slices.items())


@pytest.fixture
def view() -> PlanningView:
    return make_view()


def test_first_rows_cover_every_slice_once_and_spread_domains(view) -> None:
    # Guards against slices without a group, and against owner and standby, or a dispatcher and its
    # standby or targets, in the same domain.
    numbers = sorted(n for row in view.rows.values() for n in row.slices)
    assert numbers == list(range(SLICES))
    domain_of = {name: t.domain for name, t in view.catalog.targets.items()}
    host_domain = {h.host: h.domain for h in view.hosts}
    for row in view.rows.values():
        assert all(domain_of[p.owner] != domain_of[p.standby] for p in row.slices.values())
        used = {domain_of[name] for name in row.targets}
        assert host_domain[row.dispatcher.host] not in used
        assert host_domain[row.standby_dispatcher.host] != host_domain[row.dispatcher.host]


def test_planning_is_stable_and_deterministic(view) -> None:
    # Guards against rows that are rewritten although nothing has changed.
    assert plan_new_groups(view) == []
    assert all(plan_group(view, g) is None and plan_transfer(view, g) is None for g in view.rows)


def test_lost_target_hands_its_slices_to_standbys_and_takes_few_back(view) -> None:
    # Guards against moves of slices that the lost target did not own.
    group, row = next(iter(view.rows.items()))
    lost = row.targets[0]
    served_by_standby = frozenset(n for n, p in row.slices.items() if p.owner == lost)
    next_row = plan_group(
        replace(view, lost=frozenset({lost}), served_by_standby={group: served_by_standby}), group
    )
    assert next_row.generation == row.generation + 2
    assert lost not in {n for p in next_row.slices.values() for n in (p.owner, p.standby)}
    assert all(next_row.slices[n].owner == row.slices[n].standby for n in served_by_standby)
    assert count_owner_changes(row, next_row) == len(served_by_standby)
    returned = plan_group(replace(view, rows={**view.rows, group: next_row}), group)
    shares = count_slices_by_owner(returned)
    assert max(shares.values()) - min(shares.values()) <= 2
    assert count_owner_changes(next_row, returned) <= len(served_by_standby) + 2


def test_lost_dispatcher_is_followed_by_the_standby_dispatcher(view) -> None:
    # Guards against choosing a third host although the standby dispatcher has the intents.
    group, row = next(iter(view.rows.items()))
    hosts = [h for h in view.hosts if h.host != row.dispatcher.host]
    next_row = plan_group(replace(view, hosts=hosts), group)
    assert next_row.dispatcher == row.standby_dispatcher
    assert next_row.standby_dispatcher.host not in (
        row.dispatcher.host,
        next_row.dispatcher.host,
    )
    assert next_row.slices == row.slices


def test_restarted_host_counts_as_lost(view) -> None:
    # Guards against a host that continues under its old generation after a restart.
    group, row = next(iter(view.rows.items()))
    hosts = [replace(h, incarnation=99) if h.host == row.dispatcher.host else h for h in view.hosts]
    next_row = plan_group(replace(view, hosts=hosts), group)
    assert next_row.dispatcher == row.standby_dispatcher


def test_loss_of_both_dispatchers_names_live_ones_in_two_domains(view) -> None:
    # Guards against a group left without a dispatcher.
    group, row = next(iter(view.rows.items()))
    gone = (row.dispatcher.host, row.standby_dispatcher.host)
    hosts = [h for h in view.hosts if h.host not in gone]
    next_row = plan_group(replace(view, hosts=hosts), group)
    assert {next_row.dispatcher.host, next_row.standby_dispatcher.host} == {h.host for h in hosts}


def test_domain_taken_out_and_brought_back_moves_only_its_slices(view) -> None:
    # Guards against moves of other slices, and against owners in a domain that takes no work.
    out = replace(view, catalog=make_catalog(6, **{"akl-a": DomainState.OUT}))
    rows = {}
    for group, row in view.rows.items():
        next_row = plan_group(out, group)
        inside = [n for n in row.targets if view.catalog.targets[n].domain == "akl-a"]
        assert not set(inside) & set(count_slices_by_owner(next_row))
        assert set(inside) <= set(next_row.targets)
        affected = sum(p.owner in inside for p in row.slices.values())
        assert count_owner_changes(row, next_row) == affected
        rows[group] = next_row
    for group in rows:
        back = plan_group(replace(view, rows=rows), group)
        assert (
            max(count_slices_by_owner(back).values()) - min(count_slices_by_owner(back).values())
            <= 2
        )
        assert (
            count_owner_changes(rows[group], back) <= max(count_slices_by_owner(back).values()) + 2
        )


def test_domain_stays_owner_if_nothing_else_is_left(view) -> None:
    # Guards against slices without an owner: they keep theirs, and requests wait until a domain
    # takes work again.
    states = dict.fromkeys(DOMAINS, DomainState.OUT)
    out = replace(view, catalog=make_catalog(6, **states))
    for group, row in view.rows.items():
        next_row = plan_group(out, group) or row
        assert next_row.slices == row.slices


def test_withdrawn_target_leaves_and_new_ones_join_the_smallest_group(view) -> None:
    # Guards against targets that belong to no group or to two.
    catalog = make_catalog(8)
    first = next(iter(view.rows.values())).targets[0]
    targets = {n: t for n, t in catalog.targets.items() if n != first}
    changed = replace(view, catalog=replace(catalog, targets=targets))
    rows = {g: plan_group(changed, g) or row for g, row in view.rows.items()}
    members = [name for row in rows.values() for name in row.targets]
    assert sorted(members) == sorted(targets)
    assert all(set(count_slices_by_owner(row)) == set(row.targets) for row in rows.values())


def test_many_new_targets_form_a_group_that_takes_its_share() -> None:
    # Guards against groups of unlimited size, and against new groups that receive no slices.
    view = make_view(targets=6)
    view = replace(view, catalog=make_catalog(12))
    created = plan_new_groups(view)
    rows = dict(view.rows) | {row.group: row for row in created}
    for _ in range(20):
        changed = False
        for group in sorted(rows):
            now = replace(view, rows=rows)
            next_row = plan_group(now, group)
            batch = [next_row] if next_row else list(plan_transfer(now, group) or ())
            rows |= {row.group: row for row in batch}
            changed = changed or bool(batch)
        if not changed:
            break
    assert not changed
    assert sorted(n for row in rows.values() for n in row.slices) == list(range(SLICES))
    shares = Counter()
    for row in rows.values():
        shares.update(count_slices_by_owner(row))
    assert len(shares) == 12
    assert max(shares.values()) <= 1.4 * SLICES / 12


def test_move_between_groups_raises_both_generations_over_both(view) -> None:
    # Guards against a generation of the receiving group that is lower than that of the source
    # group: the former owner would reject its fence.
    first, second = view.rows
    destination_row = replace(view.rows[first], generation=10)
    lost = frozenset(view.rows[second].targets)
    view = replace(view, rows={first: view.rows[first], second: view.rows[second]}, lost=lost)
    rows = {first: destination_row, second: view.rows[second]}
    source, destination = plan_transfer(replace(view, rows=rows), second)
    assert source.generation == destination.generation == 12
    assert not source.slices
    assert len(destination.slices) == SLICES


def test_former_targets_lists_pairs_and_unfenced_ones(view) -> None:
    # Guards against a repaired row that does not fence a target with a valid grant.
    row = next(iter(view.rows.values()))
    number = next(iter(row.slices))
    row = replace(row, unfenced={"old": (number, 5000)})
    pair = row.slices[number]
    assert former_targets(row, [number]) == {
        name: {number} for name in sorted({"old", pair.owner, pair.standby})
    }
