"""HTTP/1.1 connections to one target, as an httpx transport.

The default transport of httpx supports any number of origins, proxies and protocols, which took
more than a quarter of a dispatcher's time. This one supports only plain connections to one address.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import h11
import httpx
import trio

from radishshunt.util.response_heads import next_response_event

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

READ_BYTES = 64 * 1024


class TargetTransport(httpx.AsyncBaseTransport):
    """Pool of connections to one address.

    :param address: ``ip:port``.
    :param max_connections: Maximum number of connections; further requests wait for a free one.
    :param idle_seconds: Time after which an idle connection is no longer reused.
    :param local_address: Local IP address of the connections.
    """

    def __init__(
        self,
        address: str,
        *,
        max_connections: int,
        idle_seconds: float,
        local_address: str | None = None,
    ) -> None:
        self._ip, _, port = address.rpartition(":")
        self._port = int(port)
        self._idle_seconds = idle_seconds
        self._local_address = local_address
        self._connection_limit = trio.Semaphore(max_connections, max_value=max_connections)
        self._idle: list[TargetConnection] = []

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        timeouts = request.extensions.get("timeout", {})
        return await self.request(
            request.method,
            request.url.raw_path,
            request.headers.raw,
            await request.aread(),
            seconds=timeouts.get("read"),
            connect_seconds=timeouts.get("connect"),
        )

    async def request(
        self,
        method: str,
        request_target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        *,
        seconds: float | None,
        connect_seconds: float | None,
        before_send: Callable[[], None] | None = None,
    ) -> httpx.Response:
        """Send a request and return its response as soon as the head has been received.

        :param request_target: Path and query, as they appear in the request line.
        :param seconds: Timeout of each step other than connecting, ``None`` for no limit.
        :param connect_seconds: Timeout of connecting, ``None`` for no limit.
        :param before_send: Called right before the first byte is written; nothing is sent if it
            raises an exception.
        :raises httpx.TransportError: Of the same classes as the default transport of httpx raises.
        """
        with trio.CancelScope(deadline=_deadline(seconds)) as scope:
            await self._connection_limit.acquire()
        if scope.cancelled_caught:
            raise httpx.PoolTimeout(f"no connection was free within {seconds} s")
        conn = None
        try:
            conn = self._pop_reusable() or await self._connect(connect_seconds)
            return await conn.exchange(method, request_target, headers, body, seconds, before_send)
        except BaseException:
            if conn is not None:
                conn.close()
            self._connection_limit.release()
            raise

    async def aclose(self) -> None:
        """Close the connections that are not in use."""
        while self._idle:
            self._idle.pop().close()

    def return_connection(self, conn: TargetConnection, *, reusable: bool) -> None:
        """Keep a connection for further requests, or close it if it is not reusable."""
        if reusable:
            conn.idle_since = trio.current_time()
            self._idle.append(conn)
        else:
            conn.close()
        self._connection_limit.release()

    def _pop_reusable(self) -> TargetConnection | None:
        while self._idle:
            conn = self._idle.pop()
            # A readable idle connection was closed by the target or carries bytes of no response.
            if (
                trio.current_time() - conn.idle_since < self._idle_seconds
                and conn.has_nothing_to_read()
            ):
                return conn
            conn.close()
        return None

    async def _connect(self, timeout: float | None) -> TargetConnection:
        stream = await open_stream(self._ip, self._port, timeout, self._local_address)
        return TargetConnection(self, stream)


async def open_stream(
    ip: str, port: int, timeout: float | None, local_address: str | None = None
) -> trio.SocketStream:
    """Connect to an address.

    :param timeout: Seconds, or ``None`` for no limit.
    :raises httpx.ConnectError: If the connection is refused or cannot be established.
    :raises httpx.ConnectTimeout: If it takes too long.
    """
    with trio.CancelScope(deadline=_deadline(timeout)):
        try:
            return await trio.open_tcp_stream(ip.strip("[]"), port, local_address=local_address)
        except OSError as exc:
            raise httpx.ConnectError(str(exc)) from exc
    raise httpx.ConnectTimeout(f"connection not established within {timeout} s")


class TargetConnection:
    """One HTTP/1.1 connection, used for one request at a time."""

    def __init__(self, transport: TargetTransport, stream: trio.SocketStream) -> None:
        self.transport = transport
        self.idle_since = 0.0
        self._stream = stream
        self._http = h11.Connection(h11.CLIENT)

    def has_nothing_to_read(self) -> bool:
        """Return whether there is nothing to read, neither data nor an end of stream."""
        return not self._stream.socket.is_readable()

    def close(self) -> None:
        """Close the connection."""
        self._stream.socket.close()

    async def exchange(
        self,
        method: str,
        request_target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        timeout: float | None,
        before_send: Callable[[], None] | None,
    ) -> httpx.Response:
        """Send a request and read the head of its response; see :meth:`TargetTransport.request`."""
        try:
            data = self._http.send(
                h11.Request(method=method, target=request_target, headers=headers)
            )
            if body:
                data += self._http.send(h11.Data(data=body))
            data += self._http.send(h11.EndOfMessage())
        except h11.LocalProtocolError as exc:
            raise httpx.LocalProtocolError(str(exc)) from exc
        if before_send is not None:
            before_send()
        with trio.CancelScope(deadline=_deadline(timeout)) as scope:
            try:
                await self._stream.send_all(data)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
                raise httpx.WriteError(str(exc)) from exc
        if scope.cancelled_caught:
            raise httpx.WriteTimeout(f"request not sent within {timeout} s")
        while True:
            event = await self.next_event(timeout)
            if isinstance(event, h11.Response):
                return httpx.Response(
                    event.status_code,
                    headers=event.headers.raw_items(),
                    stream=_Body(self, timeout),
                )
            if not isinstance(event, h11.InformationalResponse):
                raise httpx.RemoteProtocolError("the target closed the connection")

    async def next_event(self, timeout: float | None) -> h11.Event:
        """Return the next event of a response, reading from the socket as needed."""
        try:
            event = next_response_event(self._http)
            while event is h11.NEED_DATA:
                with trio.CancelScope(deadline=_deadline(timeout)) as scope:
                    data = await self._stream.receive_some(READ_BYTES)
                if scope.cancelled_caught:
                    raise httpx.ReadTimeout(f"no data received within {timeout} s")
                self._http.receive_data(data)
                event = next_response_event(self._http)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise httpx.ReadError(str(exc)) from exc
        except h11.RemoteProtocolError as exc:
            raise httpx.RemoteProtocolError(str(exc)) from exc
        return event

    def end_exchange(self) -> None:
        """Return the connection to its transport; it is reused if its response is complete."""
        reusable = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        if reusable:
            self._http.start_next_cycle()
        self.transport.return_connection(self, reusable=reusable)


class _Body(httpx.AsyncByteStream):
    """Body of a response; closing it before it was read to its end closes the connection."""

    def __init__(self, conn: TargetConnection, timeout: float | None) -> None:
        self._conn: TargetConnection | None = conn
        self._timeout = timeout

    async def __aiter__(self) -> AsyncIterator[bytes]:
        if self._conn is None:
            raise httpx.StreamClosed
        while True:
            event = await self._conn.next_event(self._timeout)
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise httpx.RemoteProtocolError("the target closed the connection")

    async def aclose(self) -> None:
        conn, self._conn = self._conn, None
        if conn is not None:
            conn.end_exchange()


def _deadline(seconds: float | None) -> float:
    return float("inf") if seconds is None else trio.current_time() + max(0.0, seconds)
