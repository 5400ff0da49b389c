"""Task that writes new rows of groups to the platform's table."""

from __future__ import annotations

import logging
from dataclasses import replace
from typing import TYPE_CHECKING

import trio

from radishshunt.errors import RadishshuntError
from radishshunt.logs import decision
from radishshunt.planner import View, plan, plan_row
from radishshunt.platform import Transaction
from radishshunt.platform.transactions import commit

if TYPE_CHECKING:
    from radishshunt.directory import Directory
    from radishshunt.dispatch.manager import DispatchManager
    from radishshunt.membership import Membership
    from radishshunt.model import GroupRow
    from radishshunt.platform import Table
    from radishshunt.sync import Sync

logger = logging.getLogger(__name__)

PLAN_INTERVAL_SECONDS = 0.3
# A started host waits this long for heartbeats before it plans, so that it sees the others.
PLAN_DELAY_SECONDS = 1.5


class Planning:
    """Plans on the live host with the lowest name, and for the groups dispatched here."""

    def __init__(
        self,
        host: str,
        directory: Directory,
        dispatch: DispatchManager,
        membership: Membership,
        sync: Sync,
        table: Table,
    ) -> None:
        self._host = host
        self._directory = directory
        self._dispatch = dispatch
        self._membership = membership
        self._sync = sync
        self._table = table

    async def run(self) -> None:
        """Write the rows that are due until cancelled."""
        await trio.sleep(PLAN_DELAY_SECONDS)
        while True:
            try:
                for row in self._planned_rows():
                    await self._write_row(row)
            except RadishshuntError as exc:
                logger.info("planning waits: %s", exc)
            await trio.sleep(PLAN_INTERVAL_SECONDS)

    def _planned_rows(self) -> list[GroupRow]:
        """Return the rows that this host should write now."""
        hosts = [info for info in self._membership.live_hosts() if not info.leaving]
        view = View(self._directory.catalog, hosts, self._directory.rows)
        if hosts and hosts[0].host == self._host:
            rows = plan(view)
            if rows:
                return rows
        changed = []
        for group, dispatcher in self._dispatch.groups.items():
            lost = frozenset(dispatcher.lost_targets())
            row = self._directory.rows.get(group)
            if lost and row is not None:
                own = replace(view, lost=lost, unsettled={group: dispatcher.unsettled()})
                following = plan_row(own, row, row.targets)
                if following is not row:
                    changed.append(following)
        return changed

    async def _write_row(self, row: GroupRow) -> None:
        key = row.group.row_key
        tx = Transaction(checks={key: row.version}, writes={key: row.to_json()})
        result = await commit(self._table, tx)
        decision(
            "row",
            service=row.group.service,
            group=row.group.group,
            generation=row.generation,
            dispatcher=row.dispatcher.host,
            reason=result.status.value,
        )
        if key in result.versions:
            await self._sync.announce_row(replace(row, version=result.versions[key]))
        else:
            await self._sync.refresh_row(row.group)
