"""Connections to all other hosts, dialled on demand."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import trio

from radishshunt.errors import PeerUnavailable, ProtocolError
from radishshunt.model import ip_of
from radishshunt.wire.connection import PeerConnection, Stream
from radishshunt.wire.messages import PROTOCOL_VERSION, Hello, Message

if TYPE_CHECKING:
    from radishshunt.model import HostInfo

logger = logging.getLogger(__name__)

DIAL_TIMEOUT_SECONDS = 0.5
LISTEN_BACKLOG = 256

Handler = Callable[[PeerConnection, Stream, Message], Awaitable[None]]


class PeerNetwork:
    """Owns the sockets between this host and the others.

    :param me: This host, with the address that others reach it at.
    :param listen_address: ``ip:port`` to bind; outgoing connections come from this IP number.
    """

    def __init__(self, me: HostInfo, listen_address: str) -> None:
        self.me = me
        self._listen_address = listen_address
        self._hello = Hello(PROTOCOL_VERSION, me.host, me.incarnation, me.domain)
        self._handlers: dict[type, Handler] = {}
        self._hosts: dict[str, HostInfo] = {}
        self._dialled: dict[str, PeerConnection] = {}
        self._locks: dict[str, trio.Lock] = {}
        self._nursery: trio.Nursery | None = None

    def register(self, message: type, handler: Handler) -> None:
        """Name the handler of streams that begin with a kind of message."""
        self._handlers[message] = handler

    def update_hosts(self, hosts: list[HostInfo]) -> None:
        """Take the addresses of other hosts."""
        for info in hosts:
            if info.host != self.me.host:
                self._hosts[info.host] = info

    def forget(self, host: str) -> None:
        """Drop a host that the platform's list no longer holds."""
        self._hosts.pop(host, None)
        conn = self._dialled.pop(host, None)
        if conn is not None:
            conn.abort()

    @property
    def hosts(self) -> dict[str, HostInfo]:
        """Known hosts other than this one, by name."""
        return self._hosts

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Listen for peers and carry all connections until cancelled."""
        ip, _, port = self._listen_address.rpartition(":")
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            listeners = await trio.open_tcp_listeners(int(port), host=ip, backlog=LISTEN_BACKLOG)
            task_status.started()
            await trio.serve_listeners(self._accept, listeners, handler_nursery=nursery)

    async def connection(self, host: str) -> PeerConnection:
        """Return a working connection to a host.

        :raises PeerUnavailable: If the host is unknown or can't be reached.
        """
        conn = self._dialled.get(host)
        if conn is not None and not conn.closed:
            return conn
        async with self._locks.setdefault(host, trio.Lock()):
            conn = self._dialled.get(host)
            if conn is None or conn.closed:
                conn = self._dialled[host] = await self._dial(host)
            return conn

    async def call(self, host: str, msg: Message, timeout_seconds: float) -> Message:
        """Send a message to a host and return its answer.

        A connection that does not answer in time is closed, since it may have gone silent.

        :raises PeerUnavailable: If there is no answer in time.
        """
        conn = None
        try:
            with trio.fail_after(timeout_seconds):
                conn = await self.connection(host)
                return await conn.call(msg)
        except trio.TooSlowError:
            if conn is not None:
                conn.abort()
            raise PeerUnavailable(
                f"host {host} did not answer within {timeout_seconds} s", may_have_arrived=True
            ) from None

    async def _dial(self, host: str) -> PeerConnection:
        info = self._hosts.get(host)
        if info is None or self._nursery is None:
            raise PeerUnavailable(f"host {host} is not known", may_have_arrived=False)
        ip, _, port = info.address.rpartition(":")
        try:
            with trio.fail_after(DIAL_TIMEOUT_SECONDS):
                sock = await trio.open_tcp_stream(
                    ip, int(port), local_address=ip_of(self._listen_address)
                )
                sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
                conn = PeerConnection(sock, self._hello, self._handle, opens_even=False)
                self._nursery.start_soon(self._carry, conn)
                await conn.ready.wait()
        except (OSError, trio.TooSlowError) as exc:
            raise PeerUnavailable(f"host {host}: {exc!r}", may_have_arrived=False) from exc
        if conn.peer is None or conn.peer.host != host:
            conn.abort()
            raise PeerUnavailable(f"{info.address} is not host {host}", may_have_arrived=False)
        return conn

    async def _accept(self, sock: trio.SocketStream) -> None:
        sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
        await self._carry(PeerConnection(sock, self._hello, self._handle, opens_even=True))

    async def _carry(self, conn: PeerConnection) -> None:
        try:
            await conn.run()
        except* ProtocolError as group:
            logger.warning("cut the connection to %s: %s", conn.peer_name, group.exceptions[0])

    async def _handle(self, conn: PeerConnection, stream: Stream, msg: Message) -> None:
        handler = self._handlers.get(type(msg))
        if handler is None:
            raise ProtocolError(f"no handler for {type(msg).__name__}")
        await handler(conn, stream, msg)
