"""Task that plans new rows of groups and writes them to the platform's table."""

from __future__ import annotations

import logging
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import trio

from radishshunt.errors import PlatformUnavailable, RadishshuntError
from radishshunt.logs import decision
from radishshunt.planner import (
    PlanningView,
    former_hosts,
    former_targets,
    merge_unfenced,
    plan_group,
    plan_new_groups,
    plan_transfer,
)
from radishshunt.platform import Transaction
from radishshunt.platform.transactions import commit, is_committed
from radishshunt.util.backoff import Backoff

if TYPE_CHECKING:
    from collections.abc import Sequence

    from radishshunt.directory import Directory
    from radishshunt.dispatch.group import GroupDispatcher
    from radishshunt.dispatch.manager import DispatchManager
    from radishshunt.dispatch.takeover import Takeover
    from radishshunt.membership import Membership
    from radishshunt.model import GroupId, GroupRow, HostInfo
    from radishshunt.platform import Table
    from radishshunt.sync import Sync

logger = logging.getLogger(__name__)

PLAN_INTERVAL_SECONDS = 0.3
# Delays between consecutive rows of a group, increasing while rows keep changing. Without them, new
# rows arrived faster than targets acknowledged the fences, and the group was never served.
FIRST_ROW_DELAY_SECONDS = 0.3
MAX_ROW_DELAY_SECONDS = 2.4
# A starting host waits this long for heartbeats before it plans, so that it knows other hosts.
STARTUP_DELAY_SECONDS = 1.5
# Time for the standby dispatcher to take over before a new row is written for the group.
TAKEOVER_TIMEOUT_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class _PlanInputs:
    """Inputs of a plan; while they are unchanged, the plan is not repeated.

    :param served_by_standby: Slices that standbys serve.
    """

    catalog_version: int
    rows_digest: int
    hosts: frozenset[HostInfo]
    lost: frozenset[str]
    served_by_standby: frozenset[int]


class RowPlanner:
    """Plans rows of the groups that this host dispatches.

    The live host with the lowest name also plans new groups and repairs groups without a
    dispatcher.
    """

    def __init__(
        self,
        host: str,
        directory: Directory,
        dispatch: DispatchManager,
        membership: Membership,
        sync: Sync,
        table: Table,
        takeover: Takeover,
    ) -> None:
        self._host = host
        self._directory = directory
        self._dispatch = dispatch
        self._membership = membership
        self._sync = sync
        self._table = table
        self._takeover = takeover
        self._undispatched_since: dict[GroupId, float] = {}
        self._row_backoffs: dict[GroupId, Backoff] = {}
        self._next_row_at: dict[GroupId, float] = {}
        # Inputs with which a group's row, or for ``None`` the set of groups, needed no change.
        self._settled_inputs: dict[GroupId | None, _PlanInputs] = {}

    async def run(self) -> None:
        """Plan and write rows until cancelled."""
        await trio.sleep(STARTUP_DELAY_SECONDS)
        while True:
            try:
                await self._plan()
            except RadishshuntError as exc:
                logger.info("planning failed, retrying in the next interval: %s", exc)
            await trio.sleep(PLAN_INTERVAL_SECONDS)

    async def _plan(self) -> None:
        hosts = [info for info in self._membership.live_hosts() if not info.leaving]
        if not hosts:
            return
        view = PlanningView(self._directory.catalog, hosts, dict(self._directory.rows))
        inputs = self._plan_inputs(view)
        if hosts[0].host == self._host and self._settled_inputs.get(None) != inputs:
            created = plan_new_groups(view)
            for row in created:
                await self._commit_rows([row])
            if not created:
                self._settled_inputs[None] = inputs
        for group in self._groups_to_repair(hosts[0].host == self._host):
            row = self._directory.rows[group]
            next_row = plan_group(view, group) or replace(row, generation=row.generation + 2)
            former = former_targets(row, next_row.slices)
            granting_hosts = former_hosts(row)
            next_row = replace(next_row, former_hosts=granting_hosts)
            await self._commit_rows([replace(next_row, unfenced=merge_unfenced(former))])
        for group, dispatcher in list(self._dispatch.groups.items()):
            await self._plan_dispatched_group(view, group, dispatcher)

    async def _plan_dispatched_group(
        self, view: PlanningView, group: GroupId, dispatcher: GroupDispatcher
    ) -> None:
        row = self._directory.rows.get(group)
        if row is None or dispatcher.generation < row.generation or dispatcher.deposed:
            return
        grants = dispatcher.grants
        if not grants.can_detect_losses:
            return
        if dispatcher.generation > row.generation and not grants.all_started():
            # Slices whose targets can't be fenced wait until the former dispatcher has stopped. A
            # new row would make them wait for the end of this host's generation as well.
            return
        if trio.current_time() < self._next_row_at.get(group, 0.0):
            return
        group_view = replace(
            view,
            rows=dict(self._directory.rows),
            lost=frozenset(grants.lost_targets()),
            served_by_standby={group: grants.slices_served_by_standby()},
        )
        inputs = self._plan_inputs(group_view)
        if self._settled_inputs.get(group) == inputs:
            return
        next_row = plan_group(group_view, group)
        rows = [next_row] if next_row is not None else list(plan_transfer(group_view, group) or ())
        if not rows:
            self._settled_inputs[group] = inputs
            return
        takeover_ruled_out = (
            dispatcher.generation > row.generation or await self._takeover.ask_not_to_take_over(row)
        )
        targets_to_fence = grants.targets_to_fence(takeover_ruled_out=takeover_ruled_out)
        if self._would_block_slices(dispatcher, targets_to_fence):
            grants.clear_exclusions()
            logger.info("new row of %s postponed: a lost target can't be fenced", group)
            return
        try:
            checked = []
            if set(rows[0].targets) - set(row.targets):
                # Checking the other rows keeps two groups from adding the same new targets.
                checked = list(group_view.rows_of(group.service).values())
            if await self._commit_rows(self._with_unfenced(rows, row, targets_to_fence), checked):
                self._delay_next_row(group)
                return
        except PlatformUnavailable:
            grants.clear_exclusions()
            raise
        grants.clear_exclusions()

    def _plan_inputs(self, view: PlanningView) -> _PlanInputs:
        """Return the inputs of planning, to skip it while they are unchanged."""
        return _PlanInputs(
            view.catalog.version,
            self._directory.rows_digest,
            frozenset(view.hosts),
            view.lost,
            frozenset(n for numbers in view.served_by_standby.values() for n in numbers),
        )

    def _delay_next_row(self, group: GroupId) -> None:
        """Delay the row after the one that was just written."""
        now = trio.current_time()
        backoff = self._row_backoffs.setdefault(
            group, Backoff(FIRST_ROW_DELAY_SECONDS, MAX_ROW_DELAY_SECONDS)
        )
        if now > self._next_row_at.get(group, 0.0) + MAX_ROW_DELAY_SECONDS:
            backoff.reset()
        self._next_row_at[group] = now + backoff.next_delay()

    def _would_block_slices(
        self, dispatcher: GroupDispatcher, targets_to_fence: dict[str, tuple[int, ...]]
    ) -> bool:
        """Return whether a new row would make servable slices wait for a lost target."""
        unservable = dispatcher.grants.unservable_slices()
        lost = dispatcher.grants.lost_targets()
        return any(set(targets_to_fence.get(name, ())) - unservable for name in lost)

    def _with_unfenced(
        self, rows: Sequence[GroupRow], row: GroupRow, targets_to_fence: dict[str, tuple[int, ...]]
    ) -> list[GroupRow]:
        """Add to planned rows the targets to fence and the hosts that may have granted to them."""
        result = []
        for next_row in rows:
            to_fence = {
                name: [n for n in numbers if n in next_row.slices]
                for name, numbers in targets_to_fence.items()
            }
            others = {}
            if next_row.group != row.group:
                # All targets of the destination group are listed; its own dispatcher determines
                # which of them need no fence.
                destination = self._directory.rows[next_row.group]
                others = former_targets(destination, destination.slices)
            unfenced = merge_unfenced(to_fence, others)
            hosts = former_hosts(row, self._directory.rows[next_row.group]) if unfenced else ()
            result.append(replace(next_row, unfenced=unfenced, former_hosts=hosts))
        return result

    def _groups_to_repair(self, lowest_host: bool) -> list[GroupId]:
        """Return the groups without a dispatcher for which this host has to write a new row.

        If the host that the row names is live but no longer dispatches the group, it writes the
        row itself; otherwise the live host with the lowest name does.

        :param lowest_host: Whether this host has the lowest name of the live hosts.
        """
        live = {info.host: info.incarnation for info in self._membership.live_hosts()}
        now = trio.current_time()
        groups = []
        for group, row in self._directory.rows.items():
            dispatcher = self._directory.dispatcher_of(group)
            dispatcher_live = live.get(row.dispatcher.host) == row.dispatcher.incarnation
            standby = row.standby_dispatcher
            standby_live = standby is not None and live.get(standby.host) == standby.incarnation
            taken_over = dispatcher is not None and dispatcher.generation > row.generation
            relinquished = dispatcher_live and row.dispatcher.host == self._host
            relinquished = relinquished and group not in self._dispatch.groups
            if (standby_live if taken_over else dispatcher_live) and not (
                relinquished and not taken_over
            ):
                self._undispatched_since.pop(group, None)
                continue
            since = self._undispatched_since.setdefault(group, now)
            grace_seconds = TAKEOVER_TIMEOUT_SECONDS if standby_live else PLAN_INTERVAL_SECONDS
            if now - since >= grace_seconds and (
                relinquished or (lowest_host and not dispatcher_live)
            ):
                groups.append(group)
        return groups

    async def _commit_rows(
        self, rows: Sequence[GroupRow], checked: Sequence[GroupRow] = ()
    ) -> bool:
        """Write rows in one transaction.

        :param checked: Further rows that must not have changed in the table.
        :return: Whether the rows were written.
        """
        tx = Transaction(
            checks={row.group.row_key: row.version for row in (*checked, *rows)},
            writes={row.group.row_key: row.to_json() for row in rows},
        )
        result = await commit(self._table, tx)
        for row in rows:
            decision(
                "row",
                service=row.group.service,
                group=row.group.group,
                generation=row.generation,
                dispatcher=row.dispatcher.host,
                reason=result.status.value,
            )
        if not is_committed(result):
            for row in rows:
                await self._sync.refresh_row(row.group)
            return False
        for row in rows:
            version = result.versions[row.group.row_key]
            await self._sync.announce_row(replace(row, version=version))
        return True
