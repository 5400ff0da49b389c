"""Starts and stops the dispatchers of the groups that this host dispatches."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from radishshunt.dispatch.group import GroupDispatcher
from radishshunt.intent_log import IntentLog
from radishshunt.logs import decision
from radishshunt.quarantine import Quarantine
from radishshunt.wire.messages import GroupState

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from radishshunt.clock import Clock
    from radishshunt.directory import Directory
    from radishshunt.model import GroupId, GroupRow, HostRef
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
        *,
        log: IntentLog | None = None,
        quarantine: Quarantine | None = None,
    ) -> None:
        self._intent_log = log or IntentLog(me, None, clock)
        self._quarantine = quarantine or Quarantine()
        # For each group, the row at the last reconciliation: the previous row while a new one is
        # being applied.
        self._previous_rows: dict[GroupId, GroupRow] = {}
        self._local_address = local_address
        self._me = me
        self._directory = directory
        self._limits = limits
        self._clock = clock
        self._nursery: trio.Nursery | None = None
        self._draining: list[GroupDispatcher] = []
        self.groups: dict[GroupId, GroupDispatcher] = {}
        # For each group that this host stopped dispatching, its last generation and the time of the
        # stop. A host that was deposed or has handed over never uses that generation again.
        self.ended_generations: dict[GroupId, tuple[int, float]] = {}
        # Returns the end of the dispatch lease for a row, in seconds since the Unix epoch.
        self.lease_end: Callable[[GroupRow], float] | None = None
        # Returns whether new work may be sent at a time, in seconds since the Unix epoch.
        self.may_send: Callable[[float], bool] | None = None
        # Called with the previous row when a running dispatcher continues under a new row that
        # lists unfenced targets.
        self.on_row_replaced: Callable[[GroupDispatcher, GroupRow], Awaitable[None]] | None = None

    @property
    def busy(self) -> bool:
        """Whether any request is queued or running, also at dispatchers that have been stopped."""
        self._draining = [dispatcher for dispatcher in self._draining if dispatcher.load]
        return bool(self._draining) or any(g.load for g in self.groups.values())

    def states(self) -> list[GroupState]:
        """Return the state of each group that this host dispatches, for heartbeats."""
        return [
            GroupState(g.group.service, g.group.group, g.generation, g.load)
            for g in self.groups.values()
            if not g.deposed
        ]

    async def run(self) -> None:
        """Start and stop dispatchers as the directory changes, until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                for dispatcher in self.groups.values():
                    nursery.start_soon(dispatcher.run)
                while True:
                    self._reconcile()
                    with trio.move_on_after(RECONCILE_INTERVAL_SECONDS):
                        await self._directory.wait_changed()
        finally:
            self._nursery = None

    def start(self, row: GroupRow, generation: int, reason: str) -> GroupDispatcher | None:
        """Start dispatching a group.

        :return: The dispatcher, or ``None`` if this manager is not running or has already stopped
            dispatching the group under this or a later generation.
        """
        if (
            self._nursery is None
            or self.ended_generations.get(row.group, (0, 0.0))[0] >= generation
        ):
            return None
        dispatcher = GroupDispatcher(
            row,
            generation,
            self._directory,
            self._limits,
            self._clock,
            self._local_address,
            log=self._intent_log,
            quarantine=self._quarantine,
            former_hosts=self._other_hosts_of(self._previous_rows.get(row.group)),
        )
        dispatcher.grants.lease_end = self.lease_end
        dispatcher.may_send = self.may_send
        self.groups[row.group] = dispatcher
        self._nursery.start_soon(dispatcher.run)
        self._log_decision(dispatcher, reason)
        return dispatcher

    def stop(self, group: GroupId, reason: str) -> None:
        """Stop dispatching a group; its running requests continue."""
        dispatcher = self.groups.pop(group)
        self.ended_generations[group] = (dispatcher.generation, self._clock.now())
        dispatcher.stop()
        self._draining.append(dispatcher)
        self._log_decision(dispatcher, reason)

    def _reconcile(self) -> None:
        for group, row in self._directory.rows.items():
            self._intent_log.apply_row(row)
            running = self.groups.get(group)
            if running is not None and running.deposed:
                self.stop(group, "targets-fenced")
                running = None
            known_dispatcher = self._directory.dispatcher_of(group)
            superseded = known_dispatcher is not None and known_dispatcher.host != self._me.host
            if (
                running is not None
                and superseded
                and known_dispatcher.generation > running.generation
            ):
                self.stop(group, "taken-over")
                running = None
            if row.dispatcher == self._me:
                if running is None and not (
                    superseded and known_dispatcher.generation > row.generation
                ):
                    self.start(row, row.generation, "row-names-this-host")
                elif running is not None and running.generation < row.generation:
                    previous_row = running.row
                    running.update_row(row, row.generation)
                    self._log_decision(running, "new-row")
                    if (
                        row.unfenced
                        and previous_row.dispatcher == self._me
                        and self.on_row_replaced
                    ):
                        self._nursery.start_soon(self.on_row_replaced, running, previous_row)
            elif running is not None and running.generation < row.generation:
                self.stop(group, "row-names-another-host")
            self._previous_rows[group] = row
        for group in [g for g in self.groups if g not in self._directory.rows]:
            self.stop(group, "service-withdrawn")

    def _other_hosts_of(self, row: GroupRow | None) -> list[str]:
        """Return the other hosts that a row names."""
        refs = [row.dispatcher, row.standby_dispatcher] if row is not None else []
        return [ref.host for ref in refs if ref is not None and ref != self._me]

    def _log_decision(self, dispatcher: GroupDispatcher, reason: str) -> None:
        decision(
            "dispatcher",
            service=dispatcher.group.service,
            group=dispatcher.group.group,
            generation=dispatcher.generation,
            host=self._me.host,
            reason=reason,
        )
