"""Heartbeats between hosts and the view of which hosts are live."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from radishshunt.errors import PeerUnavailable
from radishshunt.model import HostInfo
from radishshunt.wire.messages import Heartbeat

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
        network.register(Heartbeat, self._answer)

    def heard_at(self, host: str) -> float:
        """Return when a host was last heard, in seconds since the Unix epoch; 0 for never."""
        return self._heard_at.get(host, 0.0)

    def is_live(self, host: str) -> bool:
        """Return whether a host was heard within :data:`LOST_AFTER_SECONDS`."""
        if host == self._network.me.host:
            return True
        return self._clock.now() - self.heard_at(host) <= LOST_AFTER_SECONDS

    def last_heartbeat(self, host: str) -> Heartbeat | None:
        """Return the last heartbeat of a host, or ``None`` if there was none."""
        return self._last.get(host)

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
                try:
                    answer = await self._network.call(
                        host, self._describe(), HEARTBEAT_TIMEOUT_SECONDS
                    )
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
