"""Fake target on in-memory streams, so that its timing follows trio's test clock."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import h11
import trio
import trio.testing

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    import pytest

REQUEST_ID = b"radishshunt-request-id"


class _Socket:
    """Socket stub of an in-memory stream."""

    def __init__(self, stream: _ClientStream) -> None:
        self._stream = stream

    def is_readable(self) -> bool:
        return False

    def close(self) -> None:
        self._stream.close()


class _ClientStream(trio.abc.Stream):
    def __init__(self, inner: trio.abc.Stream, on_close: Callable[[], None]) -> None:
        self._inner = inner
        self._on_close: Callable[[], None] | None = on_close
        self.socket = _Socket(self)

    def setsockopt(self, *_option: object) -> None:
        pass

    async def send_all(self, data: bytes) -> None:
        await self._inner.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        await self._inner.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        return await self._inner.receive_some(max_bytes)

    def close(self) -> None:
        if self._on_close is not None:
            self._on_close()
            self._on_close = None
        self._inner.send_stream.close()
        self._inner.receive_stream.close()

    async def aclose(self) -> None:
        self.close()
        await trio.lowlevel.checkpoint()


class Exchange:
    """One request that the fake target received, with the means to answer it.

    :ivar headers: Values by header name in lower case.
    """

    def __init__(self, conn: ServerConnection, request: h11.Request, body: bytes) -> None:
        self.conn = conn
        self.method = request.method.decode()
        self.path = request.target.decode()
        self.headers = dict(request.headers)
        self.raw_headers = list(request.headers)
        self.body = body

    @property
    def id(self) -> str:
        return self.headers.get(REQUEST_ID, b"").decode()

    async def answer(
        self, body: bytes = b"done", status: int = 200, headers: dict[str, str] | None = None
    ) -> None:
        """Send a complete answer."""
        fields = {"Radishshunt-Request-Id": self.id, "Content-Length": str(len(body))}
        fields.update(headers or {})
        header_lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        await self.send_raw(f"HTTP/1.1 {status} X\r\n{header_lines}\r\n".encode() + body)

    async def send_raw(self, data: bytes) -> None:
        """Send bytes unchanged, for example a malformed answer."""
        await self.conn.stream.send_all(data)

    async def close(self) -> None:
        """Close the connection."""
        await self.conn.stream.aclose()


class ServerConnection:
    """The target's end of a connection.

    :ivar silent: Whether bytes and requests that arrive from now on are ignored.
    """

    def __init__(self, number: int, stream: trio.abc.Stream) -> None:
        self.number = number
        self.stream = stream
        self.silent = False


class MemoryTarget:
    """Serves HTTP on the connections that ``trio.open_tcp_stream`` opens to its address.

    :ivar request_handler: Answers a request that is not a control call.
    :ivar running: Cancel scopes of the running requests, by request id.
    :ivar received_requests: Requests received, without control calls and refused requests.
    :ivar refuses_connections: Whether new connections are refused.
    :ivar frozen: Whether requests and control calls get no answer.
    :ivar reports_request_state: Whether the state of a request can be queried.
    :ivar confirms_cancellation: Whether a cancellation is confirmed and a cancelled request refused
        on arrival.
    """

    def __init__(
        self, nursery: trio.Nursery, monkeypatch: pytest.MonkeyPatch, ip: str = "127.0.0.1"
    ) -> None:
        self._nursery = nursery
        self.request_handler: Callable[[Exchange], Awaitable[None]] = self.run_and_answer
        self.service_seconds = 0.01
        self.connections: list[ServerConnection] = []
        self.open_connections = 0
        self.max_open_connections = 0
        self.running: dict[str, trio.CancelScope] = {}
        self.max_running = 0
        self.received_requests: list[Exchange] = []
        self.cancelled: list[str] = []
        self.incarnation = 1
        self.has_grant = True
        self.refuses_connections = False
        self.frozen = False
        self.reports_request_state = True
        self.confirms_cancellation = False
        self.on_connect: Callable[[], None] = lambda: None
        original_open_tcp_stream = trio.open_tcp_stream

        async def open_tcp_stream(host: str, *args: object, **options: object) -> trio.abc.Stream:
            if host == ip:
                return await self._open_connection()
            return await original_open_tcp_stream(host, *args, **options)

        monkeypatch.setattr(trio, "open_tcp_stream", open_tcp_stream)

    def silence_open_connections(self) -> None:
        """Ignore all that arrives from now on over the connections that are open."""
        for conn in self.connections:
            conn.silent = True

    async def run_and_answer(self, exchange: Exchange) -> None:
        """Answer a request after ``service_seconds``; a cancelled request gets no answer."""
        with trio.CancelScope() as scope:
            self.running[exchange.id] = scope
            self.max_running = max(self.max_running, len(self.running))
            try:
                await trio.sleep(self.service_seconds)
            finally:
                del self.running[exchange.id]
            await exchange.answer()

    async def crash(self) -> None:
        """Close all connections and restart with a new incarnation and no grant."""
        self.incarnation += 1
        self.has_grant = False
        for conn in self.connections:
            await conn.stream.aclose()

    async def _open_connection(self) -> _ClientStream:
        await trio.lowlevel.checkpoint()
        self.on_connect()
        if self.refuses_connections:
            raise OSError("connection refused")
        client, server = trio.testing.memory_stream_pair()
        conn = ServerConnection(len(self.connections), server)
        self.connections.append(conn)
        self.open_connections += 1
        self.max_open_connections = max(self.max_open_connections, self.open_connections)
        self._nursery.start_soon(self._serve_connection, conn)
        return _ClientStream(client, self._on_close)

    def _on_close(self) -> None:
        self.open_connections -= 1

    async def _serve_connection(self, conn: ServerConnection) -> None:
        protocol = h11.Connection(h11.SERVER)
        try:
            while (exchange := await self._read_request(conn, protocol)) is not None:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._serve_request, exchange)
                protocol = h11.Connection(h11.SERVER)
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    async def _read_request(
        self, conn: ServerConnection, protocol: h11.Connection
    ) -> Exchange | None:
        request = None
        body = b""
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                data = await conn.stream.receive_some()
                if conn.silent:
                    if not data:
                        return None
                    continue
                protocol.receive_data(data)
                if not data:
                    return None
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return Exchange(conn, request, body)
            else:
                return None

    async def _serve_request(self, exchange: Exchange) -> None:
        if self.frozen or exchange.conn.silent:
            await trio.sleep_forever()
        if not exchange.path.startswith("/_target/"):
            cancelled = self.confirms_cancellation and exchange.id in self.cancelled
            if cancelled or not self.has_grant:
                reason = "cancelled" if cancelled else "no-grant"
                await exchange.answer(b"", 409, {"Radishshunt-Not-Run": reason})
                return
            self.received_requests.append(exchange)
            await self.request_handler(exchange)
            return
        request_id = exchange.path.rpartition("/")[2]
        if exchange.method == "DELETE":
            self.cancelled.append(request_id)
            scope = self.running.get(request_id)
            if scope is not None:
                scope.cancel()
            ended_header = {"Radishshunt-Ended": "true"} if self.confirms_cancellation else {}
            await exchange.answer(b"", 204 if scope else 404, ended_header)
        elif exchange.path.startswith("/_target/requests/"):
            doc = {"running": request_id in self.running, "incarnation": self.incarnation}
            await exchange.answer(
                json.dumps(doc).encode(), 200 if self.reports_request_state else 404
            )
        else:
            doc = {"incarnation": self.incarnation}
            status = 200
            if exchange.path == "/_target/grant":
                self.has_grant = json.loads(exchange.body)["incarnation"] == self.incarnation
                if not self.has_grant:
                    status, doc["reason"] = 409, "incarnation"
            await exchange.answer(json.dumps(doc).encode(), status)
