"""Takeover of groups by their standby dispatchers, and handing over."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio

from radishshunt.clock import CLOCK_SKEW_BOUND
from radishshunt.directory import Dispatcher
from radishshunt.errors import PeerUnavailable, RadishshuntError
from radishshunt.model import GroupId
from radishshunt.wire.messages import Acknowledge, Notice

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from radishshunt.clock import Clock
    from radishshunt.directory import Directory
    from radishshunt.dispatch.group import GroupDispatcher
    from radishshunt.dispatch.manager import DispatchManager
    from radishshunt.membership import Membership
    from radishshunt.model import GroupRow, HostRef
    from radishshunt.peers import PeerNetwork
    from radishshunt.wire.connection import PeerConnection, Stream
    from radishshunt.wire.messages import Message

logger = logging.getLogger(__name__)

WATCH_INTERVAL_SECONDS = 0.05
CHECK_INTERVAL_SECONDS = 0.2
NOTICE_TIMEOUT_SECONDS = 0.5
# Other hosts hear of a takeover after its first grant, or after this time without one.
ANNOUNCE_AFTER_SECONDS = 0.3
# A started host has not heard its peers yet, so it judges nobody for this long.
QUIET_SECONDS = 1.5
# Length of a dispatch lease, counted from the sending of the heartbeat that was answered.
LEASE_SECONDS = 1.5

TAKEN_OVER = "taken-over"
HAND_OVER = "hand-over"
HOLD = "hold"


class Takeover:
    """Takes groups over whose dispatcher is lost or leaves.

    :param refresh: Reads a group's row from the platform.
    """

    def __init__(
        self,
        me: HostRef,
        directory: Directory,
        dispatch: DispatchManager,
        membership: Membership,
        network: PeerNetwork,
        clock: Clock,
        refresh: Callable[[GroupId], Awaitable[None]],
    ) -> None:
        self._refresh = refresh
        self._confirming: set[GroupId] = set()
        self._me = me
        self._directory = directory
        self._dispatch = dispatch
        self._membership = membership
        self._network = network
        self._clock = clock
        # Generation of the row of each group under which this host has agreed not to take over.
        self._held: dict[GroupId, int] = {}
        self._checked_at: dict[str, float] = {}
        self._known: set[str] = set()
        self._settled: dict[GroupId, int] = {}
        self._lease_waited: dict[GroupId, int] = {}
        self._nursery: trio.Nursery | None = None
        self._ended_at: dict[HostRef, float] = {}
        dispatch.lease_of = self.lease_of
        dispatch.on_replaced = self._on_replaced
        network.register(Notice, self._answer)

    def holds(self, row: GroupRow) -> bool:
        """Return whether this host has agreed not to take over under a row."""
        return self._held.get(row.group, 0) >= row.generation

    def lease_of(self, row: GroupRow) -> float:
        """Return until when this host may use targets that check no fences.

        The standby dispatcher takes over only after the lease has expired, which it counts from
        the arrival of the same heartbeats.

        :return: Seconds since the Unix epoch; infinite if no other host may take over.
        """
        standby = row.standby_dispatcher
        if standby is None or standby.host == self._me.host or row.dispatcher != self._me:
            return float("inf")
        known = self._directory.dispatcher_of(row.group)
        if known is not None and known.generation > row.generation:
            return 0.0
        return self._membership.answered_at(standby.host) + LEASE_SECONDS

    async def run(self) -> None:
        """Watch the dispatchers that this host stands by for, until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                await trio.sleep(QUIET_SECONDS)
                while True:
                    self._watch(nursery)
                    await trio.sleep(WATCH_INTERVAL_SECONDS)
        finally:
            self._nursery = None

    async def ask_to_hold(self, row: GroupRow) -> bool:
        """Ask the standby dispatcher not to take over under a row that is being replaced.

        :return: Whether it has agreed, there is none, or its run ended so long ago that grants
            it might have issued have expired.
        """
        standby = row.standby_dispatcher
        if standby is None or standby == row.dispatcher:
            return True
        if self._has_ended(standby):
            seconds = self._directory.catalog.services[row.group.service].grant_seconds
            since = self._ended_at.setdefault(standby, self._clock.now())
            return self._clock.now() > since + seconds + 2 * CLOCK_SKEW_BOUND
        notice = self._notice(HOLD, row.group, row.generation)
        return bool(await self._notify(standby.host, notice))

    async def hand_over_all(self) -> None:
        """Hand every group over to its standby dispatcher."""
        async with trio.open_nursery() as nursery:
            for dispatcher in list(self._dispatch.groups.values()):
                nursery.start_soon(self._hand_over, dispatcher)

    async def _hand_over(self, dispatcher: GroupDispatcher) -> None:
        row = dispatcher.row
        standby = row.standby_dispatcher
        if standby is None or row.dispatcher != self._me or row.generation != dispatcher.generation:
            return
        if self._incarnations().get(standby.host) != standby.incarnation:
            return
        grants = dispatcher.grants
        grants.paused = True
        msg = self._notice(HAND_OVER, row.group, row.generation, grants.latest_deadline)
        accepted = await self._notify(standby.host, msg)
        if accepted:
            news = Dispatcher(standby.host, row.generation + 1)
            self._directory.update_dispatcher(row.group, news)
        if accepted is False:
            grants.paused = False
        elif self._dispatch.groups.get(row.group) is dispatcher:
            # Without an answer, the standby dispatcher may rely on this host having stopped.
            self._dispatch.stop(row.group, "handed-over" if accepted else "hand-over-unknown")

    async def _on_replaced(self, dispatcher: GroupDispatcher, former: GroupRow) -> None:
        if await self.ask_to_hold(former) and dispatcher.row.generation > former.generation:
            dispatcher.grants.on_former_rival_stopped()

    def _has_ended(self, run: HostRef) -> bool:
        """Return whether a host restarted, or left the platform's list after it was known."""
        self._known |= self._network.hosts.keys()
        running = self._incarnations().get(run.host)
        if running is not None:
            return running != run.incarnation
        return run.host in self._known and run.host not in self._network.hosts

    def _watch(self, nursery: trio.Nursery) -> None:
        self._known |= self._network.hosts.keys()
        incarnations = self._incarnations()
        suspected: dict[str, list[GroupRow]] = {}
        for running in self._dispatch.groups.values():
            self._settle(running.row, running)
        for group, row in list(self._directory.rows.items()):
            if row.standby_dispatcher != self._me or row.dispatcher.host == self._me.host:
                continue
            if group not in self._dispatch.groups and not self.holds(row):
                host = row.dispatcher.host
                now_running = incarnations.get(host)
                if now_running not in (None, row.dispatcher.incarnation):
                    self._take_over(row, "dispatcher-restarted")
                elif not self._membership.is_live(host):
                    suspected.setdefault(host, []).append(row)
        now = self._clock.now()
        for host, rows in suspected.items():
            if now - self._checked_at.get(host, 0.0) >= CHECK_INTERVAL_SECONDS:
                self._checked_at[host] = now
                nursery.start_soon(self._check, host, rows)

    async def _check(self, host: str, rows: list[GroupRow]) -> None:
        if not await self._membership.confirmed_lost(host):
            return
        for row in rows:
            current = self._directory.rows.get(row.group)
            if current is row and row.group not in self._dispatch.groups and not self.holds(row):
                self._take_over(row, "dispatcher-lost")

    def _take_over(self, row: GroupRow, reason: str) -> GroupDispatcher | None:
        dispatcher = self._dispatch.start(row, row.generation + 1, reason)
        if dispatcher is not None and self._nursery is not None:
            self._nursery.start_soon(self._announce, dispatcher)
        return dispatcher

    def _settle(self, row: GroupRow, running: GroupDispatcher) -> None:
        """Find out whether the former dispatcher's grants end without fences."""
        taken_over = running.generation > row.generation
        if self._settled.get(row.group) == running.generation:
            return
        rivals = set(row.former_hosts) - {self._me}
        if taken_over:
            rivals.add(row.dispatcher)
        if not taken_over and not row.unfenced:
            return
        host = row.dispatcher.host
        if all(self._has_ended(run) for run in rivals):
            if row.group not in self._confirming and self._nursery is not None:
                self._confirming.add(row.group)
                self._nursery.start_soon(self._confirm_end, row, running)
        elif (
            taken_over
            and running.leased
            and self._lease_waited.get(row.group) != running.generation
        ):
            self._lease_waited[row.group] = running.generation
            # Without a lease, the former dispatcher neither sends nor renews.
            lease_end = self._membership.heard_at(host) + LEASE_SECONDS + CLOCK_SKEW_BOUND
            ends = dict.fromkeys(running.unchecked, lease_end)
            end = lease_end + running.grant_seconds
            running.grants.on_rivals_stopped(end, ends, only_row=True)

    async def _confirm_end(self, row: GroupRow, running: GroupDispatcher) -> None:
        """Settle a row whose former hosts have ended, unless it has been replaced.

        This host may have missed a later row. The fences that would show this are not needed any
        more once the former hosts have ended, so the table has to be asked.
        """
        try:
            await self._refresh(row.group)
            current = self._directory.rows.get(row.group)
            if current is not None and current.generation == row.generation:
                # The last grant was sent before now.
                running.grants.on_rivals_stopped(self._clock.now() + running.grant_seconds)
                self._settled[row.group] = running.generation
        except RadishshuntError as exc:
            logger.debug("row of %s: %s", row.group, exc)
            await trio.sleep(CHECK_INTERVAL_SECONDS)
        finally:
            self._confirming.discard(row.group)

    async def _announce(self, dispatcher: GroupDispatcher) -> None:
        with trio.move_on_after(ANNOUNCE_AFTER_SECONDS):
            await dispatcher.grants.granted.wait()
        if dispatcher.deposed:
            return
        group = dispatcher.group
        news = Dispatcher(self._me.host, dispatcher.generation)
        self._directory.update_dispatcher(group, news)
        msg = self._notice(TAKEN_OVER, group, dispatcher.generation)
        async with trio.open_nursery() as nursery:
            for host in list(self._network.hosts):
                nursery.start_soon(self._notify, host, msg)

    async def _answer(self, conn: PeerConnection, stream: Stream, msg: Message) -> None:
        assert isinstance(msg, Notice)
        group = GroupId(msg.service, msg.group)
        accepted = True
        if msg.kind == TAKEN_OVER:
            news = Dispatcher(conn.peer_name, msg.generation)
            self._directory.update_dispatcher(group, news)
        else:
            accepted = self._accept(msg, group, conn.peer_name)
        await stream.send(Acknowledge(accepted))

    def _accept(self, msg: Notice, group: GroupId, sender: str) -> bool:
        row = self._directory.rows.get(group)
        running = self._dispatch.groups.get(group)
        used = max(running.generation if running else 0, self._dispatch.ended.get(group, (0, 0))[0])
        if msg.kind == HOLD:
            if used > msg.generation:
                return False
            self._held[group] = max(self._held.get(group, 0), msg.generation)
            return True
        expected = (
            row is not None
            and row.generation == msg.generation
            and row.dispatcher.host == sender
            and row.standby_dispatcher == self._me
        )
        if msg.kind != HAND_OVER or not expected or self.holds(row):
            return False
        running = running or self._take_over(row, "handed-over")
        if running is None:
            return False
        running.grants.on_rivals_stopped(msg.deadline, only_row=True)
        return True

    def _incarnations(self) -> dict[str, int]:
        return {info.host: info.incarnation for info in self._membership.live_hosts()}

    def _notice(self, kind: str, group: GroupId, generation: int, deadline: float = 0.0) -> Notice:
        return Notice(kind, group.service, group.group, generation, deadline)

    async def _notify(self, host: str, msg: Notice) -> bool | None:
        """Send a notice and return whether it was accepted, ``None`` if nobody can say."""
        try:
            answer = await self._network.call(host, msg, NOTICE_TIMEOUT_SECONDS)
        except PeerUnavailable as exc:
            logger.debug("notice %s of %s to %s: %s", msg.kind, msg.service, host, exc)
            return None if exc.may_have_arrived else False
        return isinstance(answer, Acknowledge) and answer.accepted
