"""Connections to all other hosts, dialled on demand."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable

import trio

from radishshunt.errors import PeerUnavailable, ProtocolError
from radishshunt.model import HostInfo, ip_of
from radishshunt.wire.connection import PeerConnection, Stream
from radishshunt.wire.messages import PROTOCOL_VERSION, Hello, Message

logger = logging.getLogger(__name__)

DIAL_TIMEOUT_SECONDS = 0.5
LISTEN_BACKLOG = 256
# A connection with open streams that has been replaced, and on which nothing has arrived for this
# long, is closed, so that the requests on it end.
SILENT_SECONDS = 1.0
# Connections without streams are closed by the side that dialled, and later by the other one, in
# case the first is gone without a trace.
IDLE_SECONDS = 30.0
PEER_IDLE_SECONDS = 60.0
CHECK_INTERVAL_SECONDS = 0.25

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
        self._replaced: set[PeerConnection] = set()
        self._accepted: set[PeerConnection] = set()
        self._locks: dict[str, trio.Lock] = {}
        self._nursery: trio.Nursery | None = None

    def register(self, message: type, handler: Handler) -> None:
        """Name the handler of streams that begin with a kind of message."""
        self._handlers[message] = handler

    def update_hosts(self, hosts: list[HostInfo]) -> None:
        """Take the addresses of other hosts."""
        for info in hosts:
            if info.host == self.me.host:
                continue
            known = self._hosts.get(info.host)
            if known is not None and known.address != info.address:
                self.forget(info.host)
            self._hosts[info.host] = info

    def forget(self, host: str) -> None:
        """Drop a host that the platform's list no longer holds."""
        self._hosts.pop(host, None)
        self._locks.pop(host, None)
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
            nursery.start_soon(self._check_connections)
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

        If nothing at all arrives on the connection in the meantime, it may have gone silent. The
        next call then uses a new connection, and the old one is closed unless its streams go on.

        :param timeout_seconds: Time for the answer, apart from dialling.
        :raises PeerUnavailable: If there is no answer in time.
        """
        # Dialling has a time limit of its own: a limit for the answer of a near host would never
        # let a connection to a distant one come about.
        conn = await self.connection(host)
        started_at = trio.current_time()
        try:
            with trio.fail_after(timeout_seconds):
                return await conn.call(msg)
        except trio.TooSlowError:
            if conn.received_at < started_at:
                self._replace(host, conn)
            raise PeerUnavailable(
                f"host {host} did not answer within {timeout_seconds} s", may_have_arrived=True
            ) from None

    async def learn(self, address: str) -> HostInfo:
        """Find out which host is at an address, and remember it.

        :param address: ``ip:port`` of a peer listener.
        :raises PeerUnavailable: If no host answers there.
        """
        conn = await self._open(address)
        assert conn.peer is not None
        info = HostInfo(conn.peer.host, conn.peer.domain, address, conn.peer.incarnation)
        conn.abort()
        self.update_hosts([info])
        return info

    def _replace(self, host: str, conn: PeerConnection) -> None:
        if self._dialled.get(host) is conn:
            del self._dialled[host]
        if conn.streams:
            self._replaced.add(conn)
        else:
            conn.abort()
        logger.info("the connection to %s is silent and is replaced", host)

    async def _check_connections(self) -> None:
        """Close silent and idle connections until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_SECONDS)
            now = trio.current_time()
            for conn in list(self._replaced):
                silent = now - conn.received_at > SILENT_SECONDS
                if conn.closed or silent or not conn.streams:
                    self._replaced.discard(conn)
                    conn.abort()
            for host, conn in list(self._dialled.items()):
                if conn.closed or (not conn.streams and now - conn.received_at > IDLE_SECONDS):
                    del self._dialled[host]
                    conn.abort()
            for conn in list(self._accepted):
                if not conn.streams and now - conn.received_at > PEER_IDLE_SECONDS:
                    logger.info("closed the silent connection from %s", conn.peer_name)
                    conn.abort()

    async def _dial(self, host: str) -> PeerConnection:
        info = self._hosts.get(host)
        if info is None:
            raise PeerUnavailable(f"host {host} is not known", may_have_arrived=False)
        conn = await self._open(info.address)
        if conn.peer is None or conn.peer.host != host:
            conn.abort()
            raise PeerUnavailable(f"{info.address} is not host {host}", may_have_arrived=False)
        return conn

    async def _open(self, address: str) -> PeerConnection:
        """Return a new connection whose peer has said its name."""
        if self._nursery is None:
            raise PeerUnavailable("this host does not run", may_have_arrived=False)
        ip, _, port = address.rpartition(":")
        conn = None
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
            if conn is not None:
                conn.abort()
            raise PeerUnavailable(f"{address}: {exc!r}", may_have_arrived=False) from exc
        except trio.Cancelled:
            # The caller's time is over; a connection without a hello would stay open unused.
            if conn is not None:
                conn.abort()
            raise
        if conn.peer is None:
            raise PeerUnavailable(f"{address} closed the connection", may_have_arrived=False)
        return conn

    async def _accept(self, sock: trio.SocketStream) -> None:
        sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
        conn = PeerConnection(sock, self._hello, self._handle, opens_even=True)
        self._accepted.add(conn)
        try:
            await self._carry(conn)
        finally:
            self._accepted.discard(conn)

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
