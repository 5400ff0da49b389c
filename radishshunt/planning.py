"""Task that writes new rows of groups to the platform's table."""

from __future__ import annotations

import logging
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import trio

from radishshunt.errors import PlatformUnavailable, RadishshuntError
from radishshunt.logs import decision
from radishshunt.planner import (
    View,
    former_hosts,
    former_targets,
    merge_unfenced,
    plan_exchange,
    plan_group,
    plan_new_groups,
)
from radishshunt.platform import Transaction
from radishshunt.platform.transactions import commit, committed
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
# Pauses after a group's new row, growing while rows follow each other. Without them, rows came
# faster than their fences were answered, and the group was never served.
FIRST_ROW_PAUSE_SECONDS = 0.3
LONGEST_ROW_PAUSE_SECONDS = 2.4
# A started host waits this long for heartbeats before it plans, so that it sees the others.
PLAN_DELAY_SECONDS = 1.5
# The standby dispatcher has this long to take over before a group is repaired through the table.
TAKEOVER_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class _Basis:
    """Everything that a plan depends on.

    :param moved: Slices that standbys serve.
    """

    catalog_version: int
    rows_digest: int
    hosts: frozenset[HostInfo]
    lost: frozenset[str]
    moved: frozenset[int]


class Planning:
    """Plans for the groups dispatched here, and on the live host with the lowest name the rest."""

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
        self._broken_since: dict[GroupId, float] = {}
        self._row_pauses: dict[GroupId, Backoff] = {}
        self._next_row_at: dict[GroupId, float] = {}
        # What was looked at when a group's row, or the set of groups, was last found to be right.
        self._unchanged: dict[GroupId | None, _Basis] = {}

    async def run(self) -> None:
        """Write the rows that are due until cancelled."""
        await trio.sleep(PLAN_DELAY_SECONDS)
        while True:
            try:
                await self._plan()
            except RadishshuntError as exc:
                logger.info("planning waits: %s", exc)
            await trio.sleep(PLAN_INTERVAL_SECONDS)

    async def _plan(self) -> None:
        hosts = [info for info in self._membership.live_hosts() if not info.leaving]
        if not hosts:
            return
        view = View(self._directory.catalog, hosts, dict(self._directory.rows))
        basis = self._basis(view)
        if hosts[0].host == self._host and self._unchanged.get(None) != basis:
            created = plan_new_groups(view)
            for row in created:
                await self._write([row])
            if not created:
                self._unchanged[None] = basis
        for group in self._broken_groups(hosts[0].host == self._host):
            row = self._directory.rows[group]
            following = plan_group(view, group) or replace(row, generation=row.generation + 2)
            former = former_targets(row, following.slices)
            hosts_before = former_hosts(row)
            following = replace(following, former_hosts=hosts_before)
            await self._write([replace(following, unfenced=merge_unfenced(former))])
        for group, dispatcher in list(self._dispatch.groups.items()):
            await self._plan_own(view, group, dispatcher)

    async def _plan_own(self, view: View, group: GroupId, dispatcher: GroupDispatcher) -> None:
        row = self._directory.rows.get(group)
        if row is None or dispatcher.generation < row.generation or dispatcher.deposed:
            return
        grants = dispatcher.grants
        if not grants.knows_losses:
            return
        if dispatcher.generation > row.generation and not grants.all_begun():
            # Slices whose targets can't be fenced wait for the end of the former dispatcher. A new
            # row would only make them wait for this host's generation, too.
            return
        if trio.current_time() < self._next_row_at.get(group, 0.0):
            return
        own = replace(
            view,
            rows=dict(self._directory.rows),
            lost=frozenset(grants.lost_targets()),
            moved={group: grants.moved_slices()},
        )
        basis = self._basis(own)
        if self._unchanged.get(group) == basis:
            return
        following = plan_group(own, group)
        rows = [following] if following is not None else list(plan_exchange(own, group) or ())
        if not rows:
            self._unchanged[group] = basis
            return
        held = dispatcher.generation > row.generation or await self._takeover.ask_to_hold(row)
        unsettled = grants.unsettled(rivals_stopped=held)
        if self._would_strand(dispatcher, unsettled):
            grants.lift_bars()
            logger.info("row of %s waits: a lost target can't be fenced", group)
            return
        try:
            checked = []
            if set(rows[0].targets) - set(row.targets):
                # No other group may take in the same new targets.
                checked = list(own.rows_of(group.service).values())
            if await self._write(self._with_unfenced(rows, row, unsettled), checked):
                self._pause_rows(group)
                return
        except PlatformUnavailable:
            grants.lift_bars()
            raise
        grants.lift_bars()

    def _basis(self, view: View) -> _Basis:
        """Return what planning depends on, so that it is not repeated while nothing changes."""
        return _Basis(
            view.catalog.version,
            self._directory.rows_digest,
            frozenset(view.hosts),
            view.lost,
            frozenset(n for numbers in view.moved.values() for n in numbers),
        )

    def _pause_rows(self, group: GroupId) -> None:
        """Put off the row after the one that was just written."""
        now = trio.current_time()
        pauses = self._row_pauses.setdefault(
            group, Backoff(FIRST_ROW_PAUSE_SECONDS, LONGEST_ROW_PAUSE_SECONDS)
        )
        if now > self._next_row_at.get(group, 0.0) + LONGEST_ROW_PAUSE_SECONDS:
            pauses.reset()
        self._next_row_at[group] = now + pauses.next()

    def _would_strand(
        self, dispatcher: GroupDispatcher, unsettled: dict[str, tuple[int, ...]]
    ) -> bool:
        """Return whether slices that are served would wait for a target that does not answer."""
        stranded = dispatcher.grants.stranded_slices()
        lost = dispatcher.grants.lost_targets()
        return any(set(unsettled.get(name, ())) - stranded for name in lost)

    def _with_unfenced(
        self, rows: Sequence[GroupRow], row: GroupRow, unsettled: dict[str, tuple[int, ...]]
    ) -> list[GroupRow]:
        """Add to planned rows the targets that their dispatchers have to fence."""
        result = []
        for following in rows:
            known = {
                name: [n for n in numbers if n in following.slices]
                for name, numbers in unsettled.items()
            }
            others = {}
            if following.group != row.group:
                # The dispatcher of the group that takes the slices finds out what it can drop.
                taker = self._directory.rows[following.group]
                others = former_targets(taker, taker.slices)
            unfenced = merge_unfenced(known, others)
            before = former_hosts(row, self._directory.rows[following.group]) if unfenced else ()
            result.append(replace(following, unfenced=unfenced, former_hosts=before))
        return result

    def _broken_groups(self, lowest: bool) -> list[GroupId]:
        """Return the groups without a dispatcher that this host has to repair.

        That is the host that the row names, if it lives but gave the group up, and otherwise the
        live host with the lowest name.
        """
        live = {info.host: info.incarnation for info in self._membership.live_hosts()}
        now = trio.current_time()
        broken = []
        for group, row in self._directory.rows.items():
            known = self._directory.dispatcher_of(group)
            named = live.get(row.dispatcher.host) == row.dispatcher.incarnation
            standby = row.standby_dispatcher
            stands_by = standby is not None and live.get(standby.host) == standby.incarnation
            at_standby = known is not None and known.generation > row.generation
            gave_up = named and row.dispatcher.host == self._host
            gave_up = gave_up and group not in self._dispatch.groups
            if (stands_by if at_standby else named) and not (gave_up and not at_standby):
                self._broken_since.pop(group, None)
                continue
            since = self._broken_since.setdefault(group, now)
            patience = TAKEOVER_SECONDS if stands_by else PLAN_INTERVAL_SECONDS
            if now - since >= patience and (gave_up or (lowest and not named)):
                broken.append(group)
        return broken

    async def _write(self, rows: Sequence[GroupRow], checked: Sequence[GroupRow] = ()) -> bool:
        """Write rows in one transaction.

        :param checked: Rows that must not have changed.
        :return: Whether they were written.
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
        if not committed(result):
            for row in rows:
                await self._sync.refresh_row(row.group)
            return False
        for row in rows:
            version = result.versions[row.group.row_key]
            await self._sync.announce_row(replace(row, version=version))
        return True
