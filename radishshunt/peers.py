"""Connections between this host and all others, dialled on demand."""

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
# A replaced connection that still has open streams is closed after this time without incoming data,
# so that the requests on it end.
REPLACED_SILENT_SECONDS = 1.0
# The side that dialled a connection closes it after IDLE_SECONDS without streams and data. The
# accepting side waits for PEER_IDLE_SECONDS, in case the other one vanished without closing it.
IDLE_SECONDS = 30.0
PEER_IDLE_SECONDS = 60.0
CONNECTION_CHECK_INTERVAL_SECONDS = 0.25

Handler = Callable[[PeerConnection, Stream, Message], Awaitable[None]]


class PeerNetwork:
    """Owns the connections between this host and the others.

    :param me: This host, with the address at which others reach it.
    :param listen_address: ``ip:port`` to bind; outgoing connections use this IP address as source.
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
        """Register the handler of streams whose first message is of a given type."""
        self._handlers[message] = handler

    def update_hosts(self, hosts: list[HostInfo]) -> None:
        """Add or update hosts; a connection to the former address of a host is closed."""
        for info in hosts:
            if info.host == self.me.host:
                continue
            known = self._hosts.get(info.host)
            if known is not None and known.address != info.address:
                self.forget(info.host)
            self._hosts[info.host] = info

    def forget(self, host: str) -> None:
        """Remove a host and close the connection to it."""
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
        """Accept connections of peers and run all connections until cancelled."""
        ip, _, port = self._listen_address.rpartition(":")
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._check_connections)
            listeners = await trio.open_tcp_listeners(int(port), host=ip, backlog=LISTEN_BACKLOG)
            task_status.started()
            await trio.serve_listeners(self._accept, listeners, handler_nursery=nursery)

    async def connection(self, host: str) -> PeerConnection:
        """Return an open connection to a host; dial one if there is none.

        :raises PeerUnavailable: If the host is unknown or cannot be reached.
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

        If the call times out and nothing at all has arrived on the connection since it began, the
        connection is presumed dead: the next call uses a new one, and the old one is closed unless
        it has open streams.

        :param timeout_seconds: Time limit for the answer, without the time for dialling.
        :raises PeerUnavailable: If the host cannot be reached or does not answer in time.
        """
        # Dialling has its own time limit. Under the limit for the answer, which suits nearby hosts,
        # a connection to a distant host could never be established.
        conn = await self.connection(host)
        started_at = trio.current_time()
        try:
            with trio.fail_after(timeout_seconds):
                return await conn.call(msg)
        except trio.TooSlowError:
            if conn.last_received_at < started_at:
                self._replace_connection(host, conn)
            raise PeerUnavailable(
                f"host {host} did not answer within {timeout_seconds} s", may_have_arrived=True
            ) from None

    async def identify(self, address: str) -> HostInfo:
        """Dial an address to find out which host it belongs to, and add that host.

        :param address: ``ip:port`` of a peer listener.
        :raises PeerUnavailable: If no host answers there.
        """
        conn = await self._open_connection(address)
        assert conn.peer is not None
        info = HostInfo(conn.peer.host, conn.peer.domain, address, conn.peer.incarnation)
        conn.abort()
        self.update_hosts([info])
        return info

    def _replace_connection(self, host: str, conn: PeerConnection) -> None:
        """Make the next call dial a new connection, and close this one unless it has streams."""
        if self._dialled.get(host) is conn:
            del self._dialled[host]
        if conn.open_stream_count:
            self._replaced.add(conn)
        else:
            conn.abort()
        logger.info("the connection to %s is silent and is replaced", host)

    async def _check_connections(self) -> None:
        """Close silent and idle connections until cancelled."""
        while True:
            await trio.sleep(CONNECTION_CHECK_INTERVAL_SECONDS)
            now = trio.current_time()
            for conn in list(self._replaced):
                silent = now - conn.last_received_at > REPLACED_SILENT_SECONDS
                if conn.closed or silent or not conn.open_stream_count:
                    self._replaced.discard(conn)
                    conn.abort()
            for host, conn in list(self._dialled.items()):
                if conn.closed or (
                    not conn.open_stream_count and now - conn.last_received_at > IDLE_SECONDS
                ):
                    del self._dialled[host]
                    conn.abort()
            for conn in list(self._accepted):
                if not conn.open_stream_count and now - conn.last_received_at > PEER_IDLE_SECONDS:
                    logger.info("closed the idle connection from %s", conn.peer_name)
                    conn.abort()

    async def _dial(self, host: str) -> PeerConnection:
        info = self._hosts.get(host)
        if info is None:
            raise PeerUnavailable(f"host {host} is unknown", may_have_arrived=False)
        conn = await self._open_connection(info.address)
        if conn.peer is None or conn.peer.host != host:
            conn.abort()
            raise PeerUnavailable(f"{info.address} is not host {host}", may_have_arrived=False)
        return conn

    async def _open_connection(self, address: str) -> PeerConnection:
        """Dial an address and return the connection once the peer's hello has arrived.

        :raises PeerUnavailable: If the address cannot be reached or sends no hello in time.
        """
        if self._nursery is None:
            raise PeerUnavailable("the peer network is not running", may_have_arrived=False)
        ip, _, port = address.rpartition(":")
        conn = None
        try:
            with trio.fail_after(DIAL_TIMEOUT_SECONDS):
                sock = await trio.open_tcp_stream(
                    ip, int(port), local_address=ip_of(self._listen_address)
                )
                sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
                conn = PeerConnection(sock, self._hello, self._dispatch_message, opens_even=False)
                self._nursery.start_soon(self._run_connection, conn)
                await conn.ready.wait()
        except (OSError, trio.TooSlowError) as exc:
            if conn is not None:
                conn.abort()
            raise PeerUnavailable(
                f"could not connect to {address}: {exc!r}", may_have_arrived=False
            ) from exc
        except trio.Cancelled:
            # The time limit of the calling task has passed; without a hello, the connection would
            # stay open unused.
            if conn is not None:
                conn.abort()
            raise
        if conn.peer is None:
            raise PeerUnavailable(
                f"{address} closed the connection before its hello", may_have_arrived=False
            )
        return conn

    async def _accept(self, sock: trio.SocketStream) -> None:
        sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
        conn = PeerConnection(sock, self._hello, self._dispatch_message, opens_even=True)
        self._accepted.add(conn)
        try:
            await self._run_connection(conn)
        finally:
            self._accepted.discard(conn)

    async def _run_connection(self, conn: PeerConnection) -> None:
        try:
            await conn.run()
        except* ProtocolError as group:
            logger.warning("cut the connection to %s: %s", conn.peer_name, group.exceptions[0])

    async def _dispatch_message(self, conn: PeerConnection, stream: Stream, msg: Message) -> None:
        handler = self._handlers.get(type(msg))
        if handler is None:
            raise ProtocolError(f"no handler for streams that begin with {type(msg).__name__}")
        await handler(conn, stream, msg)
