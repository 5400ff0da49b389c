"""Takeover of groups by their standby dispatchers, and planned handover of groups."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio

from radishshunt.clock import CLOCK_SKEW_BOUND_SECONDS
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

DISPATCHER_CHECK_INTERVAL_SECONDS = 0.05
LOSS_CHECK_INTERVAL_SECONDS = 0.2
NOTICE_TIMEOUT_SECONDS = 0.5
# A takeover is announced to other hosts after its first grant, or after this time without one.
ANNOUNCE_AFTER_SECONDS = 0.3
# A host that has just started has received no heartbeats yet, so it does not check dispatchers for
# this long.
STARTUP_GRACE_SECONDS = 1.5
# Length of a dispatch lease, counted from when the latest answered heartbeat was sent.
DISPATCH_LEASE_SECONDS = 1.5

# Kinds of notices between hosts.
TAKEN_OVER = "taken-over"
HAND_OVER = "hand-over"
HOLD = "hold"


class Takeover:
    """Takes over groups from other dispatchers, and hands over the groups of this host.

    A group is taken over if its dispatcher is lost or hands the group over.

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
        # Groups whose rows are being read to confirm the end of all former hosts' grants.
        self._confirming_end: set[GroupId] = set()
        self._me = me
        self._directory = directory
        self._dispatch = dispatch
        self._membership = membership
        self._network = network
        self._clock = clock
        # For each group, the generation of the latest row under which this host has agreed not to
        # take over.
        self._held_generations: dict[GroupId, int] = {}
        self._loss_checked_at: dict[str, float] = {}
        self._known_hosts: set[str] = set()
        # For each group, the generation of this host for which the end of all former hosts' grants
        # is recorded.
        self._settled_generations: dict[GroupId, int] = {}
        # For each group, the generation of this host for which the lease end is recorded.
        self._lease_applied_generations: dict[GroupId, int] = {}
        self._nursery: trio.Nursery | None = None
        # When this host first saw that a run of another host has ended.
        self._end_seen_at: dict[HostRef, float] = {}
        dispatch.lease_end = self.lease_end
        dispatch.on_row_replaced = self._on_row_replaced
        network.register(Notice, self._answer_notice)

    def has_agreed_not_to_take_over(self, row: GroupRow) -> bool:
        """Return whether this host has agreed not to take a group over under a row."""
        return self._held_generations.get(row.group, 0) >= row.generation

    def lease_end(self, row: GroupRow) -> float:
        """Return until when this host may use targets that do not check fences.

        The standby dispatcher uses these targets only after the lease has expired. It counts the
        lease from the arrival of the heartbeats, and this host from their sending.

        :return: Seconds since the Unix epoch; infinite if no other host may take over.
        """
        standby = row.standby_dispatcher
        if standby is None or standby.host == self._me.host or row.dispatcher != self._me:
            return float("inf")
        known = self._directory.dispatcher_of(row.group)
        if known is not None and known.generation > row.generation:
            return 0.0
        return self._membership.confirmed_sent_at(standby.host) + DISPATCH_LEASE_SECONDS

    async def run(self) -> None:
        """Check the dispatchers that this host is standby dispatcher for, until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                await trio.sleep(STARTUP_GRACE_SECONDS)
                while True:
                    self._check_dispatchers(nursery)
                    await trio.sleep(DISPATCHER_CHECK_INTERVAL_SECONDS)
        finally:
            self._nursery = None

    async def ask_not_to_take_over(self, row: GroupRow) -> bool:
        """Ask the standby dispatcher not to take over under a row that is being replaced.

        :return: Whether takeover is ruled out: the standby dispatcher has agreed, there is none,
            or its process ended so long ago that any grants it issued have expired.
        """
        standby = row.standby_dispatcher
        if standby is None or standby == row.dispatcher:
            return True
        if self._has_ended(standby):
            seconds = self._directory.catalog.services[row.group.service].grant_seconds
            since = self._end_seen_at.setdefault(standby, self._clock.now())
            return self._clock.now() > since + seconds + 2 * CLOCK_SKEW_BOUND_SECONDS
        notice = self._make_notice(HOLD, row.group, row.generation)
        return bool(await self._send_notice(standby.host, notice))

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
        if self._live_incarnations().get(standby.host) != standby.incarnation:
            return
        grants = dispatcher.grants
        grants.paused = True
        msg = self._make_notice(HAND_OVER, row.group, row.generation, grants.latest_deadline)
        accepted = await self._send_notice(standby.host, msg)
        if accepted:
            new_dispatcher = Dispatcher(standby.host, row.generation + 1)
            self._directory.update_dispatcher(row.group, new_dispatcher)
        if accepted is False:
            grants.paused = False
        elif self._dispatch.groups.get(row.group) is dispatcher:
            # Without an answer, the standby dispatcher may have accepted and may rely on this host
            # having stopped.
            self._dispatch.stop(row.group, "handed-over" if accepted else "hand-over-unknown")

    async def _on_row_replaced(self, dispatcher: GroupDispatcher, previous: GroupRow) -> None:
        if (
            await self.ask_not_to_take_over(previous)
            and dispatcher.row.generation > previous.generation
        ):
            dispatcher.grants.on_previous_standby_stopped()

    def _has_ended(self, ref: HostRef) -> bool:
        """Return whether a run of a host has ended: it restarted or left the platform's list."""
        self._known_hosts |= self._network.hosts.keys()
        current_incarnation = self._live_incarnations().get(ref.host)
        if current_incarnation is not None:
            return current_incarnation != ref.incarnation
        return ref.host in self._known_hosts and ref.host not in self._network.hosts

    def _check_dispatchers(self, nursery: trio.Nursery) -> None:
        self._known_hosts |= self._network.hosts.keys()
        incarnations = self._live_incarnations()
        suspected: dict[str, list[GroupRow]] = {}
        for running in self._dispatch.groups.values():
            self._check_former_hosts(running.row, running)
        for group, row in list(self._directory.rows.items()):
            if row.standby_dispatcher != self._me or row.dispatcher.host == self._me.host:
                continue
            if group not in self._dispatch.groups and not self.has_agreed_not_to_take_over(row):
                host = row.dispatcher.host
                current_incarnation = incarnations.get(host)
                if current_incarnation not in (None, row.dispatcher.incarnation):
                    self._take_over(row, "dispatcher-restarted")
                elif not self._membership.is_live(host):
                    suspected.setdefault(host, []).append(row)
        now = self._clock.now()
        for host, rows in suspected.items():
            if now - self._loss_checked_at.get(host, 0.0) >= LOSS_CHECK_INTERVAL_SECONDS:
                self._loss_checked_at[host] = now
                nursery.start_soon(self._take_over_if_lost, host, rows)

    async def _take_over_if_lost(self, host: str, rows: list[GroupRow]) -> None:
        if not await self._membership.confirm_lost(host):
            return
        for row in rows:
            current = self._directory.rows.get(row.group)
            if (
                current is row
                and row.group not in self._dispatch.groups
                and not self.has_agreed_not_to_take_over(row)
            ):
                self._take_over(row, "dispatcher-lost")

    def _take_over(self, row: GroupRow, reason: str) -> GroupDispatcher | None:
        dispatcher = self._dispatch.start(row, row.generation + 1, reason)
        if dispatcher is not None and self._nursery is not None:
            self._nursery.start_soon(self._announce_takeover, dispatcher)
        return dispatcher

    def _check_former_hosts(self, row: GroupRow, running: GroupDispatcher) -> None:
        """Check whether the former dispatchers' grants have a known end without further fences."""
        taken_over = running.generation > row.generation
        if self._settled_generations.get(row.group) == running.generation:
            return
        former_dispatchers = set(row.former_hosts) - {self._me}
        if taken_over:
            former_dispatchers.add(row.dispatcher)
        if not taken_over and not row.unfenced:
            return
        host = row.dispatcher.host
        if all(self._has_ended(ref) for ref in former_dispatchers):
            if row.group not in self._confirming_end and self._nursery is not None:
                self._confirming_end.add(row.group)
                self._nursery.start_soon(self._confirm_former_hosts_ended, row, running)
        elif (
            taken_over
            and running.needs_lease
            and self._lease_applied_generations.get(row.group) != running.generation
        ):
            self._lease_applied_generations[row.group] = running.generation
            # Without a lease, the former dispatcher neither sends requests nor renews grants.
            lease_end = (
                self._membership.heard_at(host) + DISPATCH_LEASE_SECONDS + CLOCK_SKEW_BOUND_SECONDS
            )
            deadline_of = dict.fromkeys(running.targets_without_fencing, lease_end)
            latest_deadline = lease_end + running.grant_seconds
            running.grants.on_other_dispatchers_stopped(latest_deadline, deadline_of, only_row=True)

    async def _confirm_former_hosts_ended(self, row: GroupRow, running: GroupDispatcher) -> None:
        """Record the end of all former hosts' grants, unless the row has been replaced.

        This host may have missed a later row. A rejected fence would show this, but fences are not
        needed any more once the former hosts have ended, so the row is read from the table.
        """
        try:
            await self._refresh(row.group)
            current = self._directory.rows.get(row.group)
            if current is not None and current.generation == row.generation:
                # The former hosts sent their last grants before now.
                running.grants.on_other_dispatchers_stopped(
                    self._clock.now() + running.grant_seconds
                )
                self._settled_generations[row.group] = running.generation
        except RadishshuntError as exc:
            logger.debug("reading the row of %s failed: %s", row.group, exc)
            await trio.sleep(LOSS_CHECK_INTERVAL_SECONDS)
        finally:
            self._confirming_end.discard(row.group)

    async def _announce_takeover(self, dispatcher: GroupDispatcher) -> None:
        with trio.move_on_after(ANNOUNCE_AFTER_SECONDS):
            await dispatcher.grants.first_grant_acknowledged.wait()
        if dispatcher.deposed:
            return
        group = dispatcher.group
        new_dispatcher = Dispatcher(self._me.host, dispatcher.generation)
        self._directory.update_dispatcher(group, new_dispatcher)
        msg = self._make_notice(TAKEN_OVER, group, dispatcher.generation)
        async with trio.open_nursery() as nursery:
            for host in list(self._network.hosts):
                nursery.start_soon(self._send_notice, host, msg)

    async def _answer_notice(self, conn: PeerConnection, stream: Stream, msg: Message) -> None:
        assert isinstance(msg, Notice)
        group = GroupId(msg.service, msg.group)
        accepted = True
        if msg.kind == TAKEN_OVER:
            new_dispatcher = Dispatcher(conn.peer_name, msg.generation)
            self._directory.update_dispatcher(group, new_dispatcher)
        else:
            accepted = self._accept_notice(msg, group, conn.peer_name)
        await stream.send(Acknowledge(accepted))

    def _accept_notice(self, msg: Notice, group: GroupId, sender: str) -> bool:
        row = self._directory.rows.get(group)
        running = self._dispatch.groups.get(group)
        highest_used_generation = max(
            running.generation if running else 0,
            self._dispatch.ended_generations.get(group, (0, 0))[0],
        )
        if msg.kind == HOLD:
            if highest_used_generation > msg.generation:
                return False
            self._held_generations[group] = max(
                self._held_generations.get(group, 0), msg.generation
            )
            return True
        expected = (
            row is not None
            and row.generation == msg.generation
            and row.dispatcher.host == sender
            and row.standby_dispatcher == self._me
        )
        if msg.kind != HAND_OVER or not expected or self.has_agreed_not_to_take_over(row):
            return False
        running = running or self._take_over(row, "handed-over")
        if running is None:
            return False
        running.grants.on_other_dispatchers_stopped(msg.deadline, only_row=True)
        return True

    def _live_incarnations(self) -> dict[str, int]:
        return {info.host: info.incarnation for info in self._membership.live_hosts()}

    def _make_notice(
        self, kind: str, group: GroupId, generation: int, deadline: float = 0.0
    ) -> Notice:
        return Notice(kind, group.service, group.group, generation, deadline)

    async def _send_notice(self, host: str, msg: Notice) -> bool | None:
        """Send a notice and return whether it was accepted, ``None`` if that is unknown."""
        try:
            answer = await self._network.call(host, msg, NOTICE_TIMEOUT_SECONDS)
        except PeerUnavailable as exc:
            logger.debug("notice %s for %s to host %s failed: %s", msg.kind, msg.service, host, exc)
            return None if exc.may_have_arrived else False
        return isinstance(answer, Acknowledge) and answer.accepted
