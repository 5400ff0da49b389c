"""Heartbeats between hosts and the view of which hosts are live."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from radishshunt.errors import PeerUnavailable
from radishshunt.model import HostInfo
from radishshunt.wire.messages import Heartbeat, Probe, ProbeAnswer

if TYPE_CHECKING:
    from collections.abc import Callable

    from radishshunt.clock import Clock
    from radishshunt.peers import PeerNetwork
    from radishshunt.wire.connection import PeerConnection, Stream
    from radishshunt.wire.messages import Message

HEARTBEAT_INTERVAL_SECONDS = 0.2
HEARTBEAT_TIMEOUT_SECONDS = 0.5
# Silence after which a host counts as lost.
LOST_AFTER_SECONDS = 0.7
CONFIRM_TIMEOUT_SECONDS = 0.4
# Other hosts that have to report no contact, where there are as many.
REPORTS_NEEDED = 2
PROBED_HOSTS = 5


class Membership:
    """Sends heartbeats to all known hosts and remembers who answers.

    :param describe: Returns the heartbeat that describes this host now.
    :param on_heartbeat: Called with every heartbeat received.
    """

    def __init__(
        self,
        network: PeerNetwork,
        clock: Clock,
        describe: Callable[[], Heartbeat],
        on_heartbeat: Callable[[Heartbeat], None],
    ) -> None:
        self._network = network
        self._clock = clock
        self._describe = describe
        self._on_heartbeat = on_heartbeat
        self._heard_at: dict[str, float] = {}
        self._last: dict[str, Heartbeat] = {}
        self._answered_at: dict[str, float] = {}
        network.register(Heartbeat, self._answer)
        network.register(Probe, self._answer_probe)

    def heard_at(self, host: str) -> float:
        """Return when a host was last heard, in seconds since the Unix epoch; 0 for never."""
        return self._heard_at.get(host, 0.0)

    def answered_at(self, host: str) -> float:
        """Return when the last heartbeat that a host has answered was sent; 0 for never."""
        return self._answered_at.get(host, 0.0)

    async def confirmed_lost(self, host: str) -> bool:
        """Return whether this host and two others have no contact with a host.

        Where fewer than two others are live, all of them have to report no contact.
        """
        if self.is_live(host):
            return False
        me = self._network.me.host
        others = [i.host for i in self.live_hosts() if i.host not in (me, host)][:PROBED_HOSTS]
        reports: list[bool] = []
        with trio.move_on_after(CONFIRM_TIMEOUT_SECONDS):
            async with trio.open_nursery() as nursery:
                for other in others:
                    nursery.start_soon(self._ask, other, host, reports)
        needed = min(REPORTS_NEEDED, len(others))
        lost, seen = reports.count(False), reports.count(True)
        return lost >= needed and seen < REPORTS_NEEDED and not self.is_live(host)

    async def _ask(self, other: str, host: str, reports: list[bool]) -> None:
        try:
            answer = await self._network.call(other, Probe(host), CONFIRM_TIMEOUT_SECONDS)
        except PeerUnavailable:
            return
        if isinstance(answer, ProbeAnswer):
            reports.append(self._clock.now() - answer.heard_at <= LOST_AFTER_SECONDS)

    async def _answer_probe(self, _conn: PeerConnection, stream: Stream, msg: Message) -> None:
        assert isinstance(msg, Probe)
        await stream.send(ProbeAnswer(self.heard_at(msg.host)))

    def is_live(self, host: str) -> bool:
        """Return whether a host was heard within :data:`LOST_AFTER_SECONDS`."""
        if host == self._network.me.host:
            return True
        return self._clock.now() - self.heard_at(host) <= LOST_AFTER_SECONDS

    def live_hosts(self) -> list[HostInfo]:
        """Return the live hosts and this one, in order of name, with their incarnations."""
        me = self._network.me
        infos = [HostInfo(me.host, me.domain, me.address, me.incarnation, self._describe().leaving)]
        for host, beat in self._last.items():
            if self.is_live(host):
                infos.append(
                    HostInfo(host, beat.domain, beat.address, beat.incarnation, beat.leaving)
                )
        return sorted(infos, key=lambda info: info.host)

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        async with trio.open_nursery() as nursery:
            started: set[str] = set()
            while True:
                for host in set(self._network.hosts) - started:
                    started.add(host)
                    nursery.start_soon(self._beat, host)
                await trio.sleep(HEARTBEAT_INTERVAL_SECONDS)

    async def _beat(self, host: str) -> None:
        while True:
            if host in self._network.hosts:
                sent_at = self._clock.now()
                try:
                    answer = await self._network.call(
                        host, self._describe(), HEARTBEAT_TIMEOUT_SECONDS
                    )
                    self._answered_at[host] = sent_at
                    self._receive(answer)
                except PeerUnavailable:
                    pass
            await trio.sleep(HEARTBEAT_INTERVAL_SECONDS)

    async def _answer(self, _conn: PeerConnection, stream: Stream, msg: Message) -> None:
        await stream.send(self._describe())
        self._receive(msg)

    def _receive(self, msg: Message) -> None:
        if not isinstance(msg, Heartbeat):
            return
        self._heard_at[msg.host] = self._clock.now()
        self._last[msg.host] = msg
        self._network.update_hosts(
            [HostInfo(msg.host, msg.domain, msg.address, msg.incarnation, msg.leaving)]
        )
        self._on_heartbeat(msg)
