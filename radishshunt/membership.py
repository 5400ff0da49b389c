"""Heartbeats between hosts and the view of which hosts are live."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio

from radishshunt.clock import CLOCK_SKEW_BOUND
from radishshunt.clock_watch import ClockWatch
from radishshunt.errors import PeerUnavailable
from radishshunt.members import Members, State
from radishshunt.model import HostInfo
from radishshunt.probing import PROBE_TIMEOUT_SECONDS, ask_for_contact
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
# Short enough that a silent connection is replaced and used before its host counts as lost.
HEARTBEAT_TIMEOUT_SECONDS = 0.3
RETRY_SECONDS = 0.02
# Silence after which a host counts as lost.
LOST_AFTER_SECONDS = 0.7
# A turn of the membership task that comes this much later than planned shows that the host itself
# was held up: what the others sent meanwhile has not been read yet.
LATE_SECONDS = 0.2
# With more hosts than a full mesh takes, heartbeats of about 220 bytes go to eight peers at this
# interval, and pulses of about 70 bytes at the short one to hosts that share a group; more would
# exceed 4 KB/s. News does not wait for the next heartbeat.
SLOW_INTERVAL_SECONDS = 3.0
SLOW_LOST_AFTER_SECONDS = 7.5
# In a full mesh, a loss is confirmed and told to the others after this time.
REPORT_AFTER_SECONDS = 2.5
# Without contact for this long, a host asks one peer after another, so that a host of a large
# system does not count as isolated between two heartbeats.
CONTACT_AFTER_SECONDS = 0.8
# A host that was heard this recently counts as live without a probe of its own.
FRESH_SECONDS = 0.3
# Hosts asked about another one, and how many of them have to report no contact.
PROBED_HOSTS = 5
REPORTS_NEEDED = 2


class Membership:
    """Sends heartbeats to this host's peers and remembers who answers.

    :param describe: Returns the heartbeat that describes this host now.
    :param on_heartbeat: Called with every heartbeat received.
    :param members: News of all hosts; by default a view of its own.
    :param contact: Told of every contact with a peer.
    :param pairs: Returns the hosts that share a group with this one as dispatcher and standby
        dispatcher; they exchange heartbeats at the short interval whatever the number of hosts.
    """

    def __init__(
        self,
        network: PeerNetwork,
        clock: Clock,
        describe: Callable[[], Heartbeat],
        on_heartbeat: Callable[[Heartbeat], None],
        members: Members | None = None,
        contact: Contact | None = None,
        pairs: Callable[[], Iterable[str]] = tuple,
    ) -> None:
        self.members = members or Members(network.me, network, clock)
        self._network = network
        self._clock = clock
        self._describe = describe
        self._on_heartbeat = on_heartbeat
        self._contact = contact
        self._pairs = pairs
        self._heard_at: dict[str, float] = {}
        self._asked_at: dict[str, float] = {}
        self._waiting_since: dict[str, float] = {}
        self._last: dict[str, Heartbeat] = {}
        # By host, when the last question or answer that it has confirmed was sent here, the time
        # in its last answer, and when and with which content the last heartbeat was sent to it.
        self._answered_at: dict[str, float] = {}
        self._echo: dict[str, float] = {}
        self._told: dict[str, tuple[float, tuple]] = {}
        self._by_host: tuple[dict, ...] = (
            *(self._heard_at, self._asked_at, self._waiting_since, self._last),
            *(self._answered_at, self._echo, self._told),
        )
        self._beating: dict[str, trio.CancelScope] = {}
        self._checking: set[str] = set()
        self._turn = 0
        # When this host last resumed after it was held up; silence before that proves nothing.
        self._resumed_at = 0.0
        self._clocks = ClockWatch()
        network.register(Heartbeat, self._answer)
        network.register(Pulse, self._answer_pulse)
        network.register(Probe, self._answer_probe)

    def heard_at(self, host: str) -> float:
        """Return when a host was last heard, in seconds since the Unix epoch; 0 for never."""
        return self._heard_at.get(host, 0.0)

    def answered_at(self, host: str) -> float:
        """Return when this host last sent what another one has confirmed to have received.

        :return: Seconds since the Unix epoch, 0 for never.
        """
        return self._answered_at.get(host, 0.0)

    def is_live(self, host: str) -> bool:
        """Return whether a host is live.

        A host that exchanges heartbeats with this one has to have been heard recently; of another
        one, the news decides.
        """
        if host == self._network.me.host:
            return True
        heard_at = self.heard_at(host)
        since = max(heard_at, self._resumed_at) if heard_at else 0.0
        if self._clock.now() - since <= self._lost_after(host):
            return True
        if host in self._beating:
            return False
        return self.members.exists(host)

    def last_heartbeat(self, host: str) -> Heartbeat | None:
        """Return the last heartbeat of a host, or ``None`` if there was none."""
        return self._last.get(host)

    async def ask(self, host: str) -> Heartbeat | None:
        """Exchange heartbeats with a host now; return its own, or ``None`` without an answer."""
        return self._last.get(host) if await self._call(host) else None

    def live_hosts(self) -> list[HostInfo]:
        """Return the live hosts and this one, in order of name, with their incarnations."""
        me = self._network.me
        infos = [HostInfo(me.host, me.domain, me.address, me.incarnation, self._describe().leaving)]
        for member in self.members.records():
            host = member.host
            if host == me.host or member.state in (State.LISTED, State.GONE):
                continue
            if self.is_live(host):
                beat = self._last.get(host)
                leaving = member.state == State.LEAVING or (beat is not None and beat.leaving)
                infos.append(
                    HostInfo(host, member.domain, member.address, member.incarnation, leaving)
                )
        return sorted(infos, key=lambda info: info.host)

    def clock_differences(self) -> dict[str, float]:
        """Return by how many seconds the clocks of heard hosts are ahead of this host's."""
        return dict(self._clocks.differences)

    async def confirmed_lost(self, host: str) -> bool:
        """Return whether this host and two others have no contact with a host.

        Where fewer than two others exist, all of them have to report no contact; hosts whose loss
        was confirmed before don't count. A host that does not answer reports nothing, so a host
        that is cut off from all others confirms no loss.
        """
        if self.is_live(host):
            return False
        others = self._hosts_to_ask(host)
        reports = await ask_for_contact(self._network, self._clock, host, others)
        needed = min(REPORTS_NEEDED, len(others))
        lost, seen = reports.count(False), reports.count(True)
        logger.info(
            "host %s: %d of %d hosts asked report no contact, %d report contact",
            host,
            lost,
            len(others),
            seen,
        )
        return lost >= needed and seen < REPORTS_NEEDED and not self.is_live(host)

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        self.members.declare()
        try:
            async with trio.open_nursery() as nursery:
                while True:
                    self._start_and_stop(nursery)
                    self._check_silent(nursery)
                    self._keep_contact(nursery)
                    planned = trio.current_time() + HEARTBEAT_INTERVAL_SECONDS
                    await trio.sleep_until(planned)
                    if trio.current_time() > planned + LATE_SECONDS:
                        self._resumed_at = self._clock.now()
        finally:
            self._beating.clear()

    def _start_and_stop(self, nursery: trio.Nursery) -> None:
        known = self._network.hosts
        wanted = {h for h in (*self.members.peers, *self._pairs()) if h in known}
        for host in wanted - self._beating.keys():
            scope = self._beating[host] = trio.CancelScope()
            # A new peer has as long as a lost one before it counts as silent.
            self._waiting_since[host] = self._clock.now()
            nursery.start_soon(self._beat, host, scope)
        for host in self._beating.keys() - wanted:
            self._beating.pop(host).cancel()
        for host in [h for h in self._heard_at if h not in known]:
            self._forget(host)

    def _forget(self, host: str) -> None:
        for table in self._by_host:
            table.pop(host, None)
        self._clocks.forget(host)

    def _check_silent(self, nursery: trio.Nursery) -> None:
        """Have the loss of silent peers confirmed, and tell the hosts that don't see it."""
        now = self._clock.now()
        large = not self.members.topology.full_mesh
        limit = SLOW_LOST_AFTER_SECONDS if large else REPORT_AFTER_SECONDS
        for host in self.members.peers:
            since = max(self.heard_at(host), self._waiting_since.get(host, now), self._resumed_at)
            silent = now - since > limit
            if silent and host not in self._checking and self.members.exists(host):
                self._checking.add(host)
                nursery.start_soon(self._check, host)

    async def _check(self, host: str) -> None:
        try:
            if await self.confirmed_lost(host):
                self.members.report_lost(host)
            else:
                # Another check follows after another period of silence.
                self._waiting_since[host] = self._clock.now()
        finally:
            self._checking.discard(host)

    def _keep_contact(self, nursery: trio.Nursery) -> None:
        peers = [h for h in self.members.peers if h in self._beating]
        if self._contact is None or not peers or self.members.topology.full_mesh:
            return
        if self._clock.now() - self._contact.last_at() > CONTACT_AFTER_SECONDS:
            self._turn += 1
            nursery.start_soon(self._send_pulse, peers[self._turn % len(peers)])

    def _is_fast(self, host: str) -> bool:
        return self.members.topology.full_mesh or host in self._pairs()

    def _lost_after(self, host: str) -> float:
        return LOST_AFTER_SECONDS if self._is_fast(host) else SLOW_LOST_AFTER_SECONDS

    async def _beat(self, host: str, scope: trio.CancelScope) -> None:
        with scope:
            while True:
                fast = self._is_fast(host)
                interval = HEARTBEAT_INTERVAL_SECONDS if fast else SLOW_INTERVAL_SECONDS
                answered = True
                if self._is_heartbeat_due(host):
                    answered = await self._call(host)
                elif fast and not self._peer_asks(host, interval):
                    answered = await self._send_pulse(host)
                if answered:
                    await self._pause(host, interval)
                elif self.heard_at(host) < self._clock.now() - interval:
                    await trio.sleep(interval)
                else:
                    # After the first failure a new connection is tried at once.
                    await trio.sleep(RETRY_SECONDS)

    async def _pause(self, host: str, interval: float) -> None:
        """Wait for an interval, or less if there is news for a host."""
        deadline = trio.current_time() + interval
        await trio.sleep(HEARTBEAT_INTERVAL_SECONDS)
        with trio.move_on_at(deadline):
            while not self.members.has_news(host):
                await self.members.wait_news()

    def _is_heartbeat_due(self, host: str) -> bool:
        """Return whether this host has to send a heartbeat, and not a pulse or nothing."""
        if self.members.topology.full_mesh or self.members.has_news(host):
            return True
        told_at, content = self._told.get(host, (0.0, ()))
        if content != self._describe().urgent() and self._is_fast(host):
            return True
        since = self._clock.now() - told_at
        if self._peer_asks(host, SLOW_INTERVAL_SECONDS):
            return False
        return since >= 0.9 * SLOW_INTERVAL_SECONDS

    def _peer_asks(self, host: str, interval: float) -> bool:
        """Return whether the peer sends the heartbeats and pulses between the two hosts.

        With many hosts only the one with the smaller name sends, and the other one answers; it
        sends itself as soon as it has not been asked for longer than an interval.
        """
        if self.members.topology.full_mesh or self._network.me.host < host:
            return False
        asked_at = self._asked_at.get(host, 0.0)
        return host in self._last and self._clock.now() - asked_at < 1.5 * interval

    async def _call(self, host: str) -> bool:
        beat = self._own_beat(host)
        sent_at = beat.sent_at = self._clock.now()
        try:
            answer = await self._network.call(host, beat, HEARTBEAT_TIMEOUT_SECONDS)
        except PeerUnavailable:
            self.members.return_news(host, beat.members)
            return False
        if isinstance(answer, Heartbeat) and answer.host == host:
            self._confirm(host, sent_at, answer.sent_at)
            self._receive(answer, sent_at)
        return True

    async def _send_pulse(self, host: str) -> bool:
        pulse = self._own_pulse(host)
        try:
            answer = await self._network.call(host, pulse, HEARTBEAT_TIMEOUT_SECONDS)
        except PeerUnavailable:
            return False
        if isinstance(answer, Pulse) and not self.members.is_gone(host):
            self._confirm(host, pulse.sent_at, answer.sent_at)
            self._receive_pulse(host, answer, pulse.sent_at)
        return True

    def _confirm(self, host: str, sent_at: float, peer_at: float) -> None:
        """Take an answer to what this host sent."""
        self._answered_at[host] = max(sent_at, self.answered_at(host))
        self._echo[host] = peer_at
        self._clocks.note(host, sent_at, self._clock.now(), peer_at)

    def _take_echo(self, host: str, echo: float) -> None:
        """Take that an answer of this host has arrived."""
        if echo <= self._clock.now():
            self._answered_at[host] = max(echo, self.answered_at(host))

    async def _answer_pulse(self, conn: PeerConnection, stream: Stream, msg: Message) -> None:
        assert isinstance(msg, Pulse)
        host = conn.peer_name
        if not self.members.is_gone(host):
            self._asked_at[host] = self._clock.now()
            self._take_echo(host, msg.echo)
            contact_at = min(msg.sent_at, self._clock.now()) - CLOCK_SKEW_BOUND
            self._receive_pulse(host, msg, contact_at)
        await stream.send(self._own_pulse(host))

    def _receive_pulse(self, host: str, pulse: Pulse, contact_at: float) -> None:
        self._heard_at[host] = self._clock.now()
        if self._contact is not None:
            self._contact.note(contact_at, pulse.catalog_version)
        if pulse.catalog_version > self._describe().catalog_version:
            # A heartbeat has the peer's answer compared with what is known here.
            self._told.pop(host, None)

    def _own_pulse(self, host: str) -> Pulse:
        version = self._describe().catalog_version
        return Pulse(self._clock.now(), self._echo.get(host, 0.0), version)

    def _own_beat(self, host: str) -> Heartbeat:
        beat = self._describe()
        self._told[host] = (self._clock.now(), beat.urgent())
        beat.echo = self._echo.get(host, 0.0)
        beat.members = self.members.take_news(host)
        beat.members_digest = self.members.digest
        return beat

    async def _answer(self, _conn: PeerConnection, stream: Stream, msg: Message) -> None:
        assert isinstance(msg, Heartbeat)
        self._asked_at[msg.host] = self._clock.now()
        self._take_echo(msg.host, msg.echo)
        # The news that came with the question is taken first, so that the answer is up to date. A
        # question can have waited in a buffer while this host was paused, so the contact counts
        # from the time that the sender gives.
        self._receive(msg, min(msg.sent_at, self._clock.now()) - CLOCK_SKEW_BOUND)
        await stream.send(self._own_beat(msg.host))

    def _receive(self, beat: Heartbeat, contact_at: float) -> None:
        info = HostInfo(beat.host, beat.domain, beat.address, beat.incarnation, beat.leaving)
        if beat.host == self._network.me.host or not self.members.hear(info):
            return
        self._heard_at[beat.host] = self._clock.now()
        self._last[beat.host] = beat
        self.members.merge(beat.members, beat.host)
        if self._contact is not None:
            self._contact.note(contact_at, beat.catalog_version)
        self._on_heartbeat(beat)

    def _hosts_to_ask(self, host: str) -> list[str]:
        """Return other hosts that are likely to have contact with a host, its peers first."""
        me = self._network.me.host
        candidates = (*self.members.topology.peers_of(host), *self.members.peers)
        others = [
            h for h in dict.fromkeys(candidates) if h not in (me, host) and self.members.exists(h)
        ]
        return sorted(others, key=lambda h: not self.is_live(h))[:PROBED_HOSTS]

    async def _answer_probe(self, _conn: PeerConnection, stream: Stream, msg: Message) -> None:
        assert isinstance(msg, Probe)
        host = msg.host
        now = self._clock.now()
        if host == self._network.me.host:
            heard_at = now
        else:
            if now - self.heard_at(host) > FRESH_SECONDS and host in self._network.hosts:
                with trio.move_on_after(PROBE_TIMEOUT_SECONDS * 0.75):
                    await self._call(host)
            heard_at = self.heard_at(host)
        await stream.send(ProbeAnswer(heard_at))
