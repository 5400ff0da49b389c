"""This host's link to the leader, or to a backup host while the leader is silent."""

from __future__ import annotations

import logging
from dataclasses import replace
from typing import TYPE_CHECKING

import trio
from xxhash import xxh3_64_intdigest

from radishshunt.errors import ProtocolError
from radishshunt.gateway.frames import FrameReader
from radishshunt.gateway.leadership import takeover_capacity
from radishshunt.gateway.link_server import message_interval
from radishshunt.gateway.messages import Hello, Report, ReportAnswer, StateUpdate, encode
from radishshunt.gateway.report_answers import SentReports
from radishshunt.gateway.row_deltas import decode_deltas
from radishshunt.logs import decision
from radishshunt.util.remote_clock import RemoteClock
from radishshunt.util.streams import ConnectFailed, connect

if TYPE_CHECKING:
    from collections.abc import Callable

    from radishshunt.gateway.report_answers import AllowanceExchange
    from radishshunt.gateway.settings import HostSettings
    from radishshunt.gateway.suspect_exchange import SuspectExchange
    from radishshunt.gateway.view import View
    from radishshunt.target_model import TargetModel

logger = logging.getLogger(__name__)

# Hosts leave a leader this much before their state counts as old.
LEAVE_LEADER_MARGIN_SECONDS = 0.15
# Interval between the reports of a backup to a leader that has lost the store.
LOST_STORE_REPORT_SECONDS = 0.05
# Updates are overdue after this many intervals.
OVERDUE_INTERVALS = 2.5
CONNECT_TIMEOUT_SECONDS = 0.3
RECONNECT_DELAY_SECONDS = 0.15
# While a host follows a backup, it tries to reach the leader at this interval.
LEADER_CHECK_SECONDS = 1.0
# Time in which hosts that are named in the settings tell a starting host who leads. After that it
# reads the store. The whole system starts without a leader, which takes longer.
START_WAIT_SECONDS = 0.3
FIRST_START_WAIT_SECONDS = 3.0


class LinkClient:
    """This host's link to the host that sends it state updates.

    :param build_report: Returns the load since the last report.
    :param suspects: Suspects that are exchanged with other hosts.
    :param allowances: Demands that reports state, and grants of their answers, if there are any.
    :param target_model: Learned speeds, if they may be used.
    :param is_leader: Returns whether this host leads.
    :ivar backups: Addresses of the hosts that read the store while the leader is silent.
    :ivar hosts: Number of hosts connected to the leader, including the leader.
    """

    def __init__(
        self,
        cfg: HostSettings,
        view: View,
        build_report: Callable[[], Report],
        suspects: SuspectExchange,
        allowances: AllowanceExchange | None = None,
        target_model: TargetModel | None = None,
        is_leader: Callable[[], bool] = lambda: False,
    ) -> None:
        self.backups: tuple[str, ...] = ()
        self.hosts = 0
        self._is_leader = is_leader
        self._cfg = cfg
        self._view = view
        self._build_report = build_report
        self._suspects = suspects
        self._allowances = allowances
        # Reports on the current link, and whether its other end leads.
        self._sent_reports = SentReports()
        self._leader_answers = False
        self._target_model = target_model
        self._own_address = f"{cfg.ip}:{cfg.peer_port}"
        self._seeds = [f"{ip}:{cfg.peer_port}" for ip in cfg.seed_ips if ip != cfg.ip]
        # Clock of the other end of the current link.
        self._remote_clock = RemoteClock()
        # Time of the last update on the current link, infinitely long ago without a link.
        self._heard_at = float("-inf")
        self._was_fresh = False
        self._leader_avoided_until = float("-inf")
        wait = FIRST_START_WAIT_SECONDS if cfg.first_start else START_WAIT_SECONDS
        if cfg.ip in cfg.seed_ips or not self._seeds:
            wait = 0.0
        self._store_unneeded_until = view.clock.now() + wait

    def update_settings(self, cfg: HostSettings) -> None:
        """Apply changed bounds."""
        self._cfg = cfg

    @property
    def fresh(self) -> bool:
        """Whether the received updates are recent enough to be used instead of the store."""
        fresh = self.state_age < self._cfg.bounds.max_state_age_seconds
        if fresh != self._was_fresh:
            self._was_fresh = fresh
            if fresh:
                decision("leader-heard", leader=self._view.leader.host)
            else:
                decision("leader-silent", leader=self._view.leader.host)
        return fresh

    @property
    def store_needed(self) -> bool:
        """Whether this host, which does not lead, has to read the store itself."""
        if self.fresh:
            return self.is_backup and (self._source_lacks_store or self.source_lost)
        if not self._view.complete and self._view.leader.address != self._own_address:
            return self._view.clock.now() >= self._store_unneeded_until
        return True

    @property
    def _source_lacks_store(self) -> bool:
        """Whether the host that this one follows seems to have lost the store."""
        return self.state_age > self._cfg.bounds.lost_store_age_seconds

    @property
    def source_lost(self) -> bool:
        """Whether this host's link has closed, or its updates are overdue."""
        overdue_seconds = OVERDUE_INTERVALS * message_interval(self.hosts)
        return self._view.clock.now() - self._heard_at > overdue_seconds

    @property
    def misses_changes(self) -> bool:
        """Whether changes in the store may not reach this host through others at this moment."""
        live_age = self._cfg.bounds.live_state_age_seconds + message_interval(self.hosts)
        return self.source_lost or self.state_age > live_age

    @property
    def is_backup(self) -> bool:
        """Whether other hosts follow this one while the leader is silent."""
        return self._own_address in self.backups

    @property
    def state_age(self) -> float:
        """Seconds since the updates received so far last included all changes in the store."""
        return self._view.freshness.linked_age

    async def run(self) -> None:
        """Keep a link to the leader or to a backup until cancelled."""
        while True:
            leader = self._view.leader.address
            if leader == self._own_address:
                if not self._is_leader():
                    # The term has ended, and no other host leads yet that this one knows of.
                    await self._follow_other_host()
                await trio.sleep(RECONNECT_DELAY_SECONDS)
                continue
            if leader and self._view.clock.now() >= self._leader_avoided_until:
                await self._follow(leader, follow=False)
            self._view.overloaded = {}
            if self._view.leader.address == leader and not self.is_backup:
                await self._follow_other_host()
            if self._view.leader.address == leader:
                await trio.sleep(RECONNECT_DELAY_SECONDS)

    async def _follow_other_host(self) -> None:
        """Follow a backup, or ask the hosts of the settings who leads."""
        if not self.backups and not self._view.leader.host:
            for address in self._seeds:
                await self._follow(address, follow=False)
                if self._view.leader.host:
                    return
            return
        others = [*self.backups, *(seed for seed in self._seeds if seed not in self.backups)]
        # Hosts start with different backups, so that these share the links.
        start = xxh3_64_intdigest(self._cfg.name.encode()) % max(1, len(self.backups))
        leader = self._view.leader.address
        for address in others[start:] + others[:start]:
            if address not in (self._own_address, leader):
                await self._follow(address, follow=True)
            if self._view.leader.address != leader or self.fresh:
                return

    async def _follow(self, address: str, *, follow: bool) -> None:
        """Apply the updates of another host until the link ends.

        :param follow: Whether the other host's updates are wanted although it does not lead.
        """
        try:
            await self._connect(address, follow=follow)
        except* (
            ConnectFailed,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            ProtocolError,
        ) as group:
            logger.info("link to host %s closed: %r", address, group.exceptions[0])

    async def _connect(self, address: str, *, follow: bool) -> None:
        stream = await connect(address, CONNECT_TIMEOUT_SECONDS)
        self._sent_reports, self._leader_answers = SentReports(), False
        self._remote_clock = RemoteClock()
        if self._allowances is not None:
            self._allowances.start_link()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_reports, stream, follow)
                if follow:
                    nursery.start_soon(self._check_leader, nursery.cancel_scope)
                await self._receive(stream, address, follow=follow)
                nursery.cancel_scope.cancel()
        finally:
            self._heard_at = float("-inf")
            stream.socket.close()

    async def _send_reports(self, stream: trio.SocketStream, follow: bool) -> None:
        hello: Hello | None = Hello(
            address=self._own_address,
            domain=self._cfg.domain,
            capacity=takeover_capacity(self._cfg),
            follow=follow,
            versions=dict(self._view.versions),
        )
        regular_at = float("-inf")
        while True:
            cfg = self._view.cfg
            sent_at = self._view.clock.now()
            # Without workspaces, only demands are answered.
            numbered = cfg is None or cfg.workspaces is not None
            demands = ()
            if self._allowances is not None:
                demands = self._allowances.next_demands(sent_at)
            regular = trio.current_time() >= regular_at
            if regular:
                report = replace(
                    self._build_report(),
                    suspects=self._suspects.next_report(first=hello is not None),
                    statements=self._view.statements.next_report(sent_at, first=hello is not None),
                    hello=hello,
                )
            else:
                # Urgent demands come tens of times a second; the load waits for its interval.
                report = Report(self._cfg.name, {})
            report = replace(
                report,
                configuration=cfg.version if cfg else 0,
                followed_age=max(0.0, self._view.freshness.followed_age),
                number=self._sent_reports.add(sent_at) if numbered or demands else 0,
                demands=demands,
            )
            await stream.send_all(encode(report))
            hello = None
            if regular:
                regular_at = trio.current_time() + self._report_interval
            await self._wait_for_next_report(regular_at)

    @property
    def _report_interval(self) -> float:
        """Seconds until the next report of the load."""
        if self.is_backup and self._source_lacks_store:
            return LOST_STORE_REPORT_SECONDS
        return message_interval(self.hosts)

    async def _wait_for_next_report(self, regular_at: float) -> None:
        if self._allowances is None:
            await trio.sleep_until(regular_at)
            return
        with trio.move_on_at(regular_at):
            await self._allowances.wait_until_urgent()

    async def _check_leader(self, scope: trio.CancelScope) -> None:
        """Cancel a scope when the leader can be followed again."""
        leader = self._view.leader.address
        checked_at = trio.current_time()
        while self._view.leader.address == leader and not self._is_leader():
            await trio.sleep(RECONNECT_DELAY_SECONDS)
            if (
                leader == self._own_address
                or trio.current_time() - checked_at < LEADER_CHECK_SECONDS
                or not leader
            ):
                continue
            checked_at = trio.current_time()
            try:
                stream = await connect(leader, CONNECT_TIMEOUT_SECONDS)
            except ConnectFailed:
                continue
            stream.socket.close()
            break
        scope.cancel()

    async def _receive(self, stream: trio.SocketStream, address: str, *, follow: bool) -> None:
        reader = FrameReader(stream)
        while follow or self._view.leader.address in ("", address):
            msg = await reader.read()
            if isinstance(msg, ReportAnswer):
                self.apply_answer(msg)
                continue
            if not isinstance(msg, StateUpdate):
                return
            if not msg.leading and not follow:
                self._apply_hint(msg)
                return
            self._leader_answers = msg.leading
            self.apply_update(msg)
            leave_age = self._cfg.bounds.max_state_age_seconds - LEAVE_LEADER_MARGIN_SECONDS
            if msg.leading and msg.followed_age > leave_age and self.backups:
                # The leader has lost the store; a backup reads it.
                self._leader_avoided_until = self._view.clock.now() + LEADER_CHECK_SECONDS
                return

    def _apply_changes(self, update: StateUpdate) -> float:
        """Apply the rows of an update.

        :return: Seconds by which this host's clock is ahead of the sender's.
        """
        sent_at = now = self._view.clock.now()
        if update.sent_at:
            # Earlier builds do not state it.
            sent_at = self._remote_clock.local_time(update.sent_at, now)
        clock_difference = sent_at - update.sent_at
        for change in update.changes:
            decoded = decode_deltas(change, self._view.rows[change.topic])
            self._view.apply(decoded.with_clock_shifted(clock_difference))
        return clock_difference

    def _apply_hint(self, update: StateUpdate) -> None:
        """Learn from a host that does not lead who does.

        If the host led until now, the update has the last rows that it wrote, maybe as deltas.

        :raises ProtocolError: If it contains a delta to a row that this host does not have.
        """
        self._apply_changes(update)
        if self.is_backup:
            # The backups lead next; the others wait for the end of the lease.
            self._view.record_resignation(update.resigned_term)
        if not self.backups:
            self.backups = update.backups

    def apply_update(self, update: StateUpdate) -> None:
        """Apply an update from the leader or from a backup.

        :raises ProtocolError: If it contains a delta to a row that this host does not have.
        """
        clock_difference = self._apply_changes(update)
        self._heard_at = self._view.clock.now()
        self._view.set_moving(update.moving)
        self._view.overloaded = update.overloaded
        self._suspects.merge(update.suspects)
        self._view.record_statements(update.statements, own=False)
        if self._target_model is not None:
            self._target_model.apply(update.target_speeds)
        self.hosts = update.hosts
        self.backups = update.backups
        if all(self._view.versions.values()):
            self._view.freshness.record_linked_state(
                update.sent_at + clock_difference - update.followed_age,
                update.complete_until + clock_difference,
            )
            if update.followed_age < self._cfg.bounds.max_state_age_seconds:
                self._view.record_store_answer(update.followed_age)

    def apply_answer(self, answer: ReportAnswer) -> None:
        """Apply the answer to a report of the current link; any other one says nothing.

        The sender's rows were complete ``state_age`` before it answered, which it cannot have done
        before the report was sent, however long both messages took.
        """
        sent_at = self._sent_reports.take(answer.report)
        if sent_at is None:
            return
        if answer.state_age >= 0.0:
            self._view.confirmation.confirm(sent_at - answer.state_age)
        if self._allowances is not None:
            self._allowances.add_grants(answer.grants, sent_at, leading=self._leader_answers)
