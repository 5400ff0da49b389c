"""Heartbeats between hosts and the view of which hosts are live."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio

from radishshunt.clock import CLOCK_SKEW_BOUND_SECONDS
from radishshunt.clock_offsets import ClockOffsets
from radishshunt.errors import PeerUnavailable
from radishshunt.members import Members, State
from radishshunt.model import HostInfo
from radishshunt.probing import PROBE_TIMEOUT_SECONDS, collect_contact_reports
from radishshunt.wire.messages import Heartbeat, Probe, ProbeAnswer, Pulse

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from radishshunt.clock import Clock
    from radishshunt.contact import Contact
    from radishshunt.peers import PeerNetwork
    from radishshunt.wire.connection import PeerConnection, Stream
    from radishshunt.wire.messages import Message

logger = logging.getLogger(__name__)

HEARTBEAT_INTERVAL_SECONDS = 0.2
# Short enough to replace a silent connection and use the new one before the host counts as lost.
HEARTBEAT_TIMEOUT_SECONDS = 0.3
RECONNECT_PAUSE_SECONDS = 0.02
# Silence after which a host counts as lost.
LOST_AFTER_SECONDS = 0.7
# If the membership task wakes up this much later than planned, this host itself was stalled, and
# has not yet read what other hosts sent in the meantime.
STALL_SECONDS = 0.2
# Beyond the size of a full mesh, a host sends heartbeats of about 220 bytes to eight peers at this
# interval, and pulses of about 70 bytes at the short interval to hosts that share a group with it;
# more would exceed 4 KB/s. State updates do not wait for the next regular heartbeat.
SLOW_HEARTBEAT_INTERVAL_SECONDS = 3.0
# Silence after which a host that sends heartbeats at the slow interval counts as lost.
SLOW_LOST_AFTER_SECONDS = 7.5
# Silence after which, in a full mesh, a host asks others to confirm a loss and then reports it.
CONFIRM_LOSS_AFTER_SECONDS = 2.5
# Without contact for this long, a host sends pulses to its peers in turn, so that a host of a large
# system does not count as isolated between two heartbeats.
MAX_CONTACT_AGE_SECONDS = 0.8
# A probe about a host that was heard this recently is answered without contacting that host.
PROBE_UNHEARD_AFTER_SECONDS = 0.3
# Maximum number of hosts that are asked about a silent host, and how many of them must report no
# contact with the silent host.
MAX_PROBED_HOSTS = 5
REQUIRED_REPORTS = 2


class Membership:
    """Exchanges heartbeats with this host's peers and tracks which hosts are live.

    :param build_heartbeat: Returns the heartbeat that describes this host now.
    :param on_heartbeat: Called with every heartbeat received.
    :param members: Records of all hosts; by default a new, separate set of records.
    :param contact: Records every contact with a peer.
    :param group_partners: Returns the hosts that share a group with this one as dispatcher and
        standby dispatcher; they exchange heartbeats or pulses at the short interval, whatever the
        number of hosts.
    """

    def __init__(
        self,
        network: PeerNetwork,
        clock: Clock,
        build_heartbeat: Callable[[], Heartbeat],
        on_heartbeat: Callable[[Heartbeat], None],
        members: Members | None = None,
        contact: Contact | None = None,
        group_partners: Callable[[], Iterable[str]] = tuple,
    ) -> None:
        self.members = members or Members(network.me, network, clock)
        self._network = network
        self._clock = clock
        self._build_local_heartbeat = build_heartbeat
        self._on_heartbeat = on_heartbeat
        self._contact = contact
        self._group_partners = group_partners
        self._heard_at: dict[str, float] = {}
        self._request_received_at: dict[str, float] = {}
        self._silence_counted_from: dict[str, float] = {}
        self._last_heartbeats: dict[str, Heartbeat] = {}
        # Per host: when this host sent the last message whose receipt the host has confirmed; the
        # send time in the host's last answer; and when the last heartbeat was sent to the host,
        # with the part of its content that has to be sent without delay.
        self._confirmed_sent_at: dict[str, float] = {}
        self._peer_sent_at: dict[str, float] = {}
        self._last_sent: dict[str, tuple[float, tuple]] = {}
        self._host_tables: tuple[dict, ...] = (
            *(
                self._heard_at,
                self._request_received_at,
                self._silence_counted_from,
                self._last_heartbeats,
            ),
            *(self._confirmed_sent_at, self._peer_sent_at, self._last_sent),
        )
        self._heartbeat_scopes: dict[str, trio.CancelScope] = {}
        self._loss_checks: set[str] = set()
        self._pulse_count = 0
        # When this host last resumed after a stall; silence before that time proves nothing.
        self._resumed_at = 0.0
        self._clock_offsets = ClockOffsets()
        network.register(Heartbeat, self._answer_heartbeat)
        network.register(Pulse, self._answer_pulse)
        network.register(Probe, self._answer_probe)

    def heard_at(self, host: str) -> float:
        """Return when this host last heard a host, in seconds since the Unix epoch; 0 for never."""
        return self._heard_at.get(host, 0.0)

    def confirmed_sent_at(self, host: str) -> float:
        """Return when this host sent the latest message whose receipt another host has confirmed.

        :return: Seconds since the Unix epoch, 0 for never.
        """
        return self._confirmed_sent_at.get(host, 0.0)

    def is_live(self, host: str) -> bool:
        """Return whether a host is live.

        A host that exchanges heartbeats with this one must have been heard recently. For any other
        host, its member record decides.
        """
        if host == self._network.me.host:
            return True
        heard_at = self.heard_at(host)
        since = max(heard_at, self._resumed_at) if heard_at else 0.0
        if self._clock.now() - since <= self._lost_after(host):
            return True
        if host in self._heartbeat_scopes:
            return False
        return self.members.is_recorded_alive(host)

    def last_heartbeat(self, host: str) -> Heartbeat | None:
        """Return the last heartbeat of a host, or ``None`` if there was none."""
        return self._last_heartbeats.get(host)

    async def exchange_heartbeats(self, host: str) -> Heartbeat | None:
        """Exchange heartbeats with a host now.

        :return: The heartbeat of the host, or ``None`` if it did not answer.
        """
        return self._last_heartbeats.get(host) if await self._exchange_heartbeats(host) else None

    def live_hosts(self) -> list[HostInfo]:
        """Return this host and the other live hosts, sorted by name, with their incarnations."""
        me = self._network.me
        infos = [
            HostInfo(
                me.host,
                me.domain,
                me.address,
                me.incarnation,
                self._build_local_heartbeat().leaving,
            )
        ]
        for member in self.members.records():
            host = member.host
            if host == me.host or member.state in (State.LISTED, State.GONE):
                continue
            if self.is_live(host):
                heartbeat = self._last_heartbeats.get(host)
                leaving = member.state == State.LEAVING or (
                    heartbeat is not None and heartbeat.leaving
                )
                infos.append(
                    HostInfo(host, member.domain, member.address, member.incarnation, leaving)
                )
        return sorted(infos, key=lambda info: info.host)

    def clock_differences(self) -> dict[str, float]:
        """Return, for each host heard, by how many seconds its clock is ahead of this host's."""
        return dict(self._clock_offsets.offsets)

    async def confirm_lost(self, host: str) -> bool:
        """Return whether this host and two others have no contact with a host.

        If fewer than two others exist, all of them must report no contact; hosts whose loss was
        confirmed earlier do not count. A host that does not answer counts as no report, so a host
        that is cut off from all others confirms no loss.
        """
        if self.is_live(host):
            return False
        others = self._hosts_to_probe(host)
        reports = await collect_contact_reports(self._network, self._clock, host, others)
        needed = min(REQUIRED_REPORTS, len(others))
        lost, seen = reports.count(False), reports.count(True)
        logger.info(
            "loss check of host %s: %d of %d probed hosts report no contact, %d report contact",
            host,
            lost,
            len(others),
            seen,
        )
        return lost >= needed and seen < REQUIRED_REPORTS and not self.is_live(host)

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        self.members.announce_self()
        try:
            async with trio.open_nursery() as nursery:
                while True:
                    self._update_heartbeat_tasks(nursery)
                    self._start_loss_checks(nursery)
                    self._renew_contact(nursery)
                    planned = trio.current_time() + HEARTBEAT_INTERVAL_SECONDS
                    await trio.sleep_until(planned)
                    if trio.current_time() > planned + STALL_SECONDS:
                        self._resumed_at = self._clock.now()
        finally:
            self._heartbeat_scopes.clear()

    def _update_heartbeat_tasks(self, nursery: trio.Nursery) -> None:
        known = self._network.hosts
        wanted = {h for h in (*self.members.peers, *self._group_partners()) if h in known}
        for host in wanted - self._heartbeat_scopes.keys():
            scope = self._heartbeat_scopes[host] = trio.CancelScope()
            # A new peer may stay silent as long as a known one before its loss is checked.
            self._silence_counted_from[host] = self._clock.now()
            nursery.start_soon(self._run_heartbeats, host, scope)
        for host in self._heartbeat_scopes.keys() - wanted:
            self._heartbeat_scopes.pop(host).cancel()
        for host in [h for h in self._heard_at if h not in known]:
            self._forget(host)

    def _forget(self, host: str) -> None:
        for table in self._host_tables:
            table.pop(host, None)
        self._clock_offsets.forget(host)

    def _start_loss_checks(self, nursery: trio.Nursery) -> None:
        """Start a loss check for each silent peer; a confirmed loss is reported to other hosts."""
        now = self._clock.now()
        large = not self.members.topology.full_mesh
        limit = SLOW_LOST_AFTER_SECONDS if large else CONFIRM_LOSS_AFTER_SECONDS
        for host in self.members.peers:
            since = max(
                self.heard_at(host), self._silence_counted_from.get(host, now), self._resumed_at
            )
            silent = now - since > limit
            if silent and host not in self._loss_checks and self.members.is_recorded_alive(host):
                self._loss_checks.add(host)
                nursery.start_soon(self._confirm_loss, host)

    async def _confirm_loss(self, host: str) -> None:
        try:
            if await self.confirm_lost(host):
                self.members.report_lost(host)
            else:
                # The next check follows after another full period of silence.
                self._silence_counted_from[host] = self._clock.now()
        finally:
            self._loss_checks.discard(host)

    def _renew_contact(self, nursery: trio.Nursery) -> None:
        peers = [h for h in self.members.peers if h in self._heartbeat_scopes]
        if self._contact is None or not peers or self.members.topology.full_mesh:
            return
        if self._clock.now() - self._contact.last_at() > MAX_CONTACT_AGE_SECONDS:
            self._pulse_count += 1
            nursery.start_soon(self._send_pulse, peers[self._pulse_count % len(peers)])

    def _uses_short_interval(self, host: str) -> bool:
        return self.members.topology.full_mesh or host in self._group_partners()

    def _lost_after(self, host: str) -> float:
        return LOST_AFTER_SECONDS if self._uses_short_interval(host) else SLOW_LOST_AFTER_SECONDS

    async def _run_heartbeats(self, host: str, scope: trio.CancelScope) -> None:
        with scope:
            while True:
                short = self._uses_short_interval(host)
                interval = HEARTBEAT_INTERVAL_SECONDS if short else SLOW_HEARTBEAT_INTERVAL_SECONDS
                answered = True
                if self._is_heartbeat_due(host):
                    answered = await self._exchange_heartbeats(host)
                elif short and not self._peer_initiates(host, interval):
                    answered = await self._send_pulse(host)
                if answered:
                    await self._wait_for_interval(host, interval)
                elif self.heard_at(host) < self._clock.now() - interval:
                    await trio.sleep(interval)
                else:
                    # After the first failure, retry almost at once: the next call uses a new
                    # connection if the present one is silent.
                    await trio.sleep(RECONNECT_PAUSE_SECONDS)

    async def _wait_for_interval(self, host: str, interval: float) -> None:
        """Wait for an interval, or less if there are state updates for a host."""
        deadline = trio.current_time() + interval
        await trio.sleep(HEARTBEAT_INTERVAL_SECONDS)
        with trio.move_on_at(deadline):
            while not self.members.has_updates(host):
                await self.members.wait_updates()

    def _is_heartbeat_due(self, host: str) -> bool:
        """Return whether a host must be sent a full heartbeat, rather than a pulse or nothing."""
        if self.members.topology.full_mesh or self.members.has_updates(host):
            return True
        last_sent_at, content = self._last_sent.get(host, (0.0, ()))
        if content != self._build_local_heartbeat().urgent_fields() and self._uses_short_interval(
            host
        ):
            return True
        since = self._clock.now() - last_sent_at
        if self._peer_initiates(host, SLOW_HEARTBEAT_INTERVAL_SECONDS):
            return False
        return since >= 0.9 * SLOW_HEARTBEAT_INTERVAL_SECONDS

    def _peer_initiates(self, host: str, interval: float) -> bool:
        """Return whether the peer initiates the heartbeats and pulses between the two hosts.

        Outside a full mesh, only the host with the smaller name initiates and the other one
        answers. The host with the larger name initiates too until it has received a first heartbeat
        from the peer, and whenever it has received no request for 1.5 intervals.
        """
        if self.members.topology.full_mesh or self._network.me.host < host:
            return False
        requested_at = self._request_received_at.get(host, 0.0)
        return host in self._last_heartbeats and self._clock.now() - requested_at < 1.5 * interval

    async def _exchange_heartbeats(self, host: str) -> bool:
        heartbeat = self._build_heartbeat(host)
        sent_at = heartbeat.sent_at = self._clock.now()
        try:
            answer = await self._network.call(host, heartbeat, HEARTBEAT_TIMEOUT_SECONDS)
        except PeerUnavailable:
            self.members.requeue_updates(host, heartbeat.members)
            return False
        if isinstance(answer, Heartbeat) and answer.host == host:
            self._record_answer(host, sent_at, answer.sent_at)
            self._apply_heartbeat(answer, sent_at)
        return True

    async def _send_pulse(self, host: str) -> bool:
        pulse = self._build_pulse(host)
        try:
            answer = await self._network.call(host, pulse, HEARTBEAT_TIMEOUT_SECONDS)
        except PeerUnavailable:
            return False
        if isinstance(answer, Pulse) and not self.members.is_gone(host):
            self._record_answer(host, pulse.sent_at, answer.sent_at)
            self._apply_pulse(host, answer, pulse.sent_at)
        return True

    def _record_answer(self, host: str, sent_at: float, peer_sent_at: float) -> None:
        """Record that a host answered a message of this host.

        :param sent_at: When this host sent the message.
        :param peer_sent_at: When the host sent its answer, by its own clock.
        """
        self._confirmed_sent_at[host] = max(sent_at, self.confirmed_sent_at(host))
        self._peer_sent_at[host] = peer_sent_at
        self._clock_offsets.record(host, sent_at, self._clock.now(), peer_sent_at)

    def _record_echo(self, host: str, echo: float) -> None:
        """Record that a host confirmed the receipt of an answer that was sent at ``echo``.

        A time in the future is ignored.
        """
        if echo <= self._clock.now():
            self._confirmed_sent_at[host] = max(echo, self.confirmed_sent_at(host))

    async def _answer_pulse(self, conn: PeerConnection, stream: Stream, msg: Message) -> None:
        assert isinstance(msg, Pulse)
        host = conn.peer_name
        if not self.members.is_gone(host):
            self._request_received_at[host] = self._clock.now()
            self._record_echo(host, msg.echo)
            contact_at = min(msg.sent_at, self._clock.now()) - CLOCK_SKEW_BOUND_SECONDS
            self._apply_pulse(host, msg, contact_at)
        await stream.send(self._build_pulse(host))

    def _apply_pulse(self, host: str, pulse: Pulse, contact_at: float) -> None:
        self._heard_at[host] = self._clock.now()
        if self._contact is not None:
            self._contact.record(contact_at, pulse.catalog_version)
        if pulse.catalog_version > self._build_local_heartbeat().catalog_version:
            # Makes a heartbeat due, whose answer is compared with the local view; the newer release
            # is then fetched.
            self._last_sent.pop(host, None)

    def _build_pulse(self, host: str) -> Pulse:
        version = self._build_local_heartbeat().catalog_version
        return Pulse(self._clock.now(), self._peer_sent_at.get(host, 0.0), version)

    def _build_heartbeat(self, host: str) -> Heartbeat:
        heartbeat = self._build_local_heartbeat()
        self._last_sent[host] = (self._clock.now(), heartbeat.urgent_fields())
        heartbeat.echo = self._peer_sent_at.get(host, 0.0)
        heartbeat.members = self.members.take_updates(host)
        heartbeat.members_digest = self.members.digest
        return heartbeat

    async def _answer_heartbeat(self, _conn: PeerConnection, stream: Stream, msg: Message) -> None:
        assert isinstance(msg, Heartbeat)
        self._request_received_at[msg.host] = self._clock.now()
        self._record_echo(msg.host, msg.echo)
        # The updates in the request are applied first, so that the answer is up to date. A request
        # can have waited in a buffer while this host was paused, so the contact counts from the
        # send time that the request gives.
        self._apply_heartbeat(msg, min(msg.sent_at, self._clock.now()) - CLOCK_SKEW_BOUND_SECONDS)
        await stream.send(self._build_heartbeat(msg.host))

    def _apply_heartbeat(self, heartbeat: Heartbeat, contact_at: float) -> None:
        info = HostInfo(
            heartbeat.host,
            heartbeat.domain,
            heartbeat.address,
            heartbeat.incarnation,
            heartbeat.leaving,
        )
        if heartbeat.host == self._network.me.host or not self.members.record_heartbeat(info):
            return
        self._heard_at[heartbeat.host] = self._clock.now()
        self._last_heartbeats[heartbeat.host] = heartbeat
        self.members.merge(heartbeat.members, heartbeat.host)
        if self._contact is not None:
            self._contact.record(contact_at, heartbeat.catalog_version)
        self._on_heartbeat(heartbeat)

    def _hosts_to_probe(self, host: str) -> list[str]:
        """Return the hosts to probe about a host.

        Live hosts come first, and among them the peers of the host, which are likely to have
        contact with it, before the peers of this host.
        """
        me = self._network.me.host
        candidates = (*self.members.topology.peers_of(host), *self.members.peers)
        others = [
            h
            for h in dict.fromkeys(candidates)
            if h not in (me, host) and self.members.is_recorded_alive(h)
        ]
        return sorted(others, key=lambda h: not self.is_live(h))[:MAX_PROBED_HOSTS]

    async def _answer_probe(self, _conn: PeerConnection, stream: Stream, msg: Message) -> None:
        assert isinstance(msg, Probe)
        host = msg.host
        now = self._clock.now()
        if host == self._network.me.host:
            heard_at = now
        else:
            if (
                now - self.heard_at(host) > PROBE_UNHEARD_AFTER_SECONDS
                and host in self._network.hosts
            ):
                with trio.move_on_after(PROBE_TIMEOUT_SECONDS * 0.75):
                    await self._exchange_heartbeats(host)
            heard_at = self.heard_at(host)
        await stream.send(ProbeAnswer(heard_at))
