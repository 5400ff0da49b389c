"""Starts and stops the dispatchers of the groups that this host dispatches."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from radishshunt.dispatch.group import GroupDispatcher
from radishshunt.logs import decision
from radishshunt.wire.messages import GroupState

if TYPE_CHECKING:
    from radishshunt.clock import Clock
    from radishshunt.directory import Directory
    from radishshunt.model import GroupId, HostRef
    from radishshunt.settings import LimitsSection

RECONCILE_INTERVAL_SECONDS = 0.2


class DispatchManager:
    """Owns the group dispatchers of a host."""

    def __init__(
        self,
        me: HostRef,
        directory: Directory,
        limits: LimitsSection,
        clock: Clock,
        local_address: str | None = None,
    ) -> None:
        self._local_address = local_address
        self._me = me
        self._directory = directory
        self._limits = limits
        self._clock = clock
        self.groups: dict[GroupId, GroupDispatcher] = {}

    def states(self) -> list[GroupState]:
        """Return the groups that this host dispatches, for heartbeats."""
        return [
            GroupState(g.group.service, g.group.group, g.generation, g.load)
            for g in self.groups.values()
            if not g.deposed
        ]

    async def run(self) -> None:
        """Follow the directory until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                self._reconcile(nursery)
                with trio.move_on_after(RECONCILE_INTERVAL_SECONDS):
                    await self._directory.wait_changed()

    def _reconcile(self, nursery: trio.Nursery) -> None:
        for group, row in self._directory.rows.items():
            running = self.groups.get(group)
            if row.dispatcher == self._me:
                if running is None:
                    running = GroupDispatcher(
                        row,
                        row.generation,
                        self._directory,
                        self._limits,
                        self._clock,
                        self._local_address,
                    )
                    self.groups[group] = running
                    nursery.start_soon(running.run)
                    self._log(running, "row-names-this-host")
                elif running.generation < row.generation:
                    running.update_row(row, row.generation)
                    self._log(running, "new-row")
            elif running is not None and running.generation < row.generation:
                self._stop(group, "row-names-another-host")
        for group in [g for g in self.groups if g not in self._directory.rows]:
            self._stop(group, "service-withdrawn")

    def _stop(self, group: GroupId, reason: str) -> None:
        dispatcher = self.groups.pop(group)
        dispatcher.stop()
        self._log(dispatcher, reason)

    def _log(self, dispatcher: GroupDispatcher, reason: str) -> None:
        decision(
            "dispatcher",
            service=dispatcher.group.service,
            group=dispatcher.group.group,
            generation=dispatcher.generation,
            host=self._me.host,
            reason=reason,
        )
