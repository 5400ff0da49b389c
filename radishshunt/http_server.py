"""HTTP/1.1 listeners based on hypercorn, with limits on connections, request heads and writes."""

from __future__ import annotations

import json
import logging
import socket
import ssl
import struct
from contextlib import suppress
from typing import TYPE_CHECKING, Any

import h11
import trio
from hypercorn.config import Config
from hypercorn.events import Closed, RawData, Updated
from hypercorn.protocol.events import Request as RequestEvent
from hypercorn.protocol.h11 import STREAM_ID, H11Protocol
from hypercorn.protocol.http_stream import HTTPStream
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.utils import parse_socket_addr

from radishshunt.errors import SettingsError
from radishshunt.http_requests import RequestTaskGroup
from radishshunt.logs import decision
from radishshunt.util.problems import CONTENT_TYPE, problem_document

if TYPE_CHECKING:

    from radishshunt.settings import TlsSection

logger = logging.getLogger(__name__)

READ_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024
# Time from the first to the last byte of a request head.
HEAD_TIMEOUT_SECONDS = 5.0
# Longer than the idle timeout of common load balancers, so that the balancer closes first.
IDLE_TIMEOUT_SECONDS = 75.0
# Time for which a stopping server waits for the first request of a new connection.
FIRST_REQUEST_SECONDS = 0.5
# A connection is reset if the peer does not accept a write within this time.
SEND_TIMEOUT_SECONDS = 10.0
# Larger parts of a body are written by themselves, since a slow peer would keep the copy that one
# write for all needs in memory.
MAX_COPIED_BYTES = 64 * 1024
# After an early response, the rest of the request body is read and discarded until nothing has
# arrived for this long, and at most for the second time, in which 60 MB arrive over 100 Mbit/s.
# Otherwise a TCP reset could destroy the response before the caller reads it.
DRAIN_TIMEOUT_SECONDS = 1.0
MAX_DRAIN_SECONDS = 5.0
TLS_HANDSHAKE_TIMEOUT_SECONDS = 5.0
LISTEN_BACKLOG = 1024


def tls_context(tls: TlsSection) -> ssl.SSLContext:
    """Return the TLS context of a listener.

    :raises SettingsError: If a certificate or key file can't be loaded.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(["http/1.1"])
    try:
        context.load_cert_chain(tls.certificate, tls.key)
        if tls.client_ca is not None:
            context.load_verify_locations(tls.client_ca)
            context.verify_mode = ssl.CERT_REQUIRED
    except (OSError, ssl.SSLError) as exc:
        raise SettingsError([f"tls {tls.certificate}: {exc}"]) from exc
    return context


class HttpServer:
    """Serves an ASGI application on one address.

    :param name: Name of the listener in log lines, for example ``callers``.
    :param max_connections: Limit of open connections. Further ones are closed; without TLS they
        get a response with status 503 first.
    :param head_timeout_seconds: Time limit for the arrival of a request head.
    :ivar close_after_response: Whether connections are closed after their current response.
    :ivar failed_connections: Number of connections that ended with an unexpected exception.
    """

    def __init__(
        self,
        app: Any,
        address: str,
        *,
        name: str,
        tls: TlsSection | None = None,
        max_connections: int = 4096,
        head_timeout_seconds: float = HEAD_TIMEOUT_SECONDS,
    ) -> None:
        self.name = name
        self.close_after_response = False
        self.failed_connections = 0
        self.head_timeout_seconds = head_timeout_seconds
        self._app = app
        self._address = address
        self._tls = tls_context(tls) if tls is not None else None
        self._max_connections = max_connections
        self._connections: set[_Connection] = set()
        self._serve_scope = trio.CancelScope()
        self._accept_scope = trio.CancelScope()
        self._listeners: list[trio.SocketListener] = []
        self._nursery: trio.Nursery | None = None
        self._config = Config()
        self._config.include_server_header = False
        self._config.accesslog = None
        self._config.errorlog = logging.getLogger("radishshunt.http")
        self._config.h11_max_incomplete_size = MAX_HEAD_BYTES
        self._context = WorkerContext(None)

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled or until :meth:`abort` is called.

        :raises OSError: If the address cannot be listened on. The server can be run again.
        """
        try:
            await self._run(task_status)
        finally:
            # A scope can be entered only once.
            self._serve_scope, self._accept_scope = trio.CancelScope(), trio.CancelScope()
            self._listeners = []

    async def _run(self, task_status: trio.TaskStatus[None]) -> None:
        ip, _, port = self._address.rpartition(":")
        with self._serve_scope:
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(
                    int(port), host=ip.strip("[]"), backlog=LISTEN_BACKLOG
                )
                task_status.started()
                with self._accept_scope:
                    self._listeners, self._nursery = listeners, nursery
                    # stop_accepting() closes the sockets at once.
                    with suppress(trio.ClosedResourceError):
                        await trio.serve_listeners(
                            self._serve_connection, listeners, handler_nursery=nursery
                        )

    @property
    def is_listening(self) -> bool:
        """Whether the server has opened its address, and has not failed since."""
        return bool(self._listeners)

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    async def stop_accepting(self) -> None:
        """Stop accepting connections; open connections continue.

        Connections that the system has already established are served, since closing the socket
        would reset them.
        """
        for listener in self._listeners:
            while self._nursery is not None and listener.socket.is_readable():
                self._nursery.start_soon(self._serve_connection, await listener.accept())
            self._accept_scope.cancel()
            listener.socket.close()
        await trio.lowlevel.checkpoint()

    def close_idle(self) -> None:
        """Close all connections without a request in progress."""
        for conn in list(self._connections):
            conn.close_idle()

    def abort(self) -> None:
        """Stop at once and reset all connections, as the system does for a killed process."""
        for conn in list(self._connections):
            conn.reset()
        self._serve_scope.cancel()

    def refused(self, status: int, reason: str, detail: str) -> None:
        """Log a request that the listener refused without passing it to the application."""
        decision(
            "refuse", listener=self.name, status=status, reason=reason, detail=detail, service=""
        )

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        if len(self._connections) >= self._max_connections:
            detail = "too many connections are open"
            self.refused(503, "too-many-connections", detail)
            if self._tls is None:
                with trio.move_on_after(SEND_TIMEOUT_SECONDS):
                    await stream.send_all(
                        _raw_problem_response(503, "too-many-connections", detail)
                    )
            await trio.aclose_forcefully(stream)
            return
        secure_stream: Any = stream
        if self._tls is not None:
            secure_stream = trio.SSLStream(
                stream, self._tls, server_side=True, https_compatible=True
            )
        conn = _Connection(self, self._app, self._config, self._context, secure_stream, stream)
        self._connections.add(conn)
        try:
            await conn.run()
        except* Exception as group:
            # An exception in one connection must not stop the listener.
            self.failed_connections += 1
            logger.error(
                "listener %s: unexpected exception in a connection", self.name, exc_info=group
            )
        finally:
            self._connections.discard(conn)


class _Protocol(H11Protocol):
    """HTTP/1.1 protocol without upgrades that rejects invalid requests with problem documents."""

    server_connection: _Connection
    _unsent_head = b""
    head_deadline = float("inf")

    async def handle(self, event: Any) -> None:
        if isinstance(event, RawData) and event.data and self.stream is None:
            started = self.head_deadline < float("inf")
            await super().handle(event)
            if self.stream is not None or not self.connection.trailing_data[0]:
                self.head_deadline = float("inf")
            elif not started:
                self.head_deadline = (
                    trio.current_time() + self.server_connection.http_server.head_timeout_seconds
                )
            return
        await super().handle(event)

    async def _send_h11_event(self, event: Any) -> None:
        """Send an event, but hold a response head back until the first part of the body.

        Separate writes for head, body and end took a sixth of an entry host's time.
        """
        try:
            parts = self.connection.send_with_data_passthrough(event) or []
        except h11.LocalProtocolError:
            if self.connection.their_state != h11.ERROR:
                raise
            return
        if isinstance(event, h11.Response):
            self._unsent_head = b"".join(parts)
            return
        parts.insert(0, self._unsent_head)
        self._unsent_head = b""
        if isinstance(event, h11.Data) and len(event.data) > MAX_COPIED_BYTES:
            for part in parts:
                if part:
                    await self.send(RawData(data=part))
        elif data := b"".join(parts):
            await self.send(RawData(data=data))

    async def stream_send(self, event: Any) -> None:
        if self.server_connection.http_server.close_after_response:
            # Reaching this limit makes hypercorn add ``Connection: close`` to the response.
            self.keep_alive_requests = self.config.keep_alive_max_requests
        await super().stream_send(event)

    async def refuse(self, status: int, reason: str, detail: str) -> None:
        """Respond with a problem document to a request that is not passed to the application."""
        self.server_connection.http_server.refused(status, reason, detail)
        body = json.dumps(problem_document(status, reason, detail, "not-run")).encode()
        headers = _problem_headers(body) + self.config.response_headers("h11")
        await self._send_h11_event(h11.Response(headers=headers, status_code=status))
        await self._send_h11_event(h11.Data(data=body))
        await self._send_h11_event(h11.EndOfMessage())

    async def _send_error_response(self, status_code: int) -> None:
        if status_code == 431:
            await self.refuse(431, "head-too-large", f"the head is over {MAX_HEAD_BYTES} bytes")
        else:
            await self.refuse(status_code, "malformed-request", "the request is not valid HTTP/1.1")

    async def _check_protocol(self, event: h11.Request) -> None:
        """Treat every request as HTTP/1.1; a server may ignore ``Upgrade`` (RFC 9110, 7.8)."""

    async def _create_stream(self, request: h11.Request) -> None:
        # h11 limits the size only of heads that arrive in several reads.
        if sum(len(name) + len(value) for name, value in request.headers) > MAX_HEAD_BYTES:
            await self._send_error_response(431)
            await self.send(Closed())
            return
        self.server_connection.served_request = True
        self.stream = HTTPStream(
            self.app,
            self.config,
            self.context,
            self.task_group,
            self.ssl,
            self.client,
            self.server,
            self.stream_send,
            STREAM_ID,
        )
        event = RequestEvent(
            stream_id=STREAM_ID,
            headers=list(request.headers),
            http_version=request.http_version.decode(),
            method=request.method.decode("ascii"),
            raw_path=request.target,
            state=self.connection_state,
        )
        await self.stream.handle(event)
        self.keep_alive_requests = 0


class _Connection(TCPServer):
    """One connection of a listener."""

    def __init__(
        self,
        http_server: HttpServer,
        app: Any,
        config: Config,
        context: WorkerContext,
        stream: Any,
        transport: trio.SocketStream,
    ) -> None:
        super().__init__(app, config, context, {}, stream)
        self.http_server = http_server
        self._transport = transport
        self._receive_scope = trio.CancelScope()
        self._drain_deadline = float("inf")
        self._last_drain_deadline = float("inf")
        self._sending_ended = False
        self._protocol_started = False
        self.served_request = False
        self._first_request_expected_until = trio.current_time() + FIRST_REQUEST_SECONDS
        self._idle_deadline = trio.current_time() + IDLE_TIMEOUT_SECONDS

    def close_idle(self) -> None:
        """Close the connection if no request is in progress on it.

        A new connection stays open for a moment, since its first request is probably on its way.
        Bytes that arrive before the close takes effect are served.
        """
        if (
            not self._protocol_started
            or self.protocol.stream is not None
            or self.protocol.head_deadline < float("inf")
            or self._has_input()
        ):
            return
        close_at = (
            trio.current_time() if self.served_request else self._first_request_expected_until
        )
        self._idle_deadline = min(self._idle_deadline, close_at)
        self._update_receive_deadline()

    def _has_input(self) -> bool:
        sock = self._transport.socket
        return sock.fileno() >= 0 and sock.is_readable()

    def reset(self) -> None:
        """Close the connection with a TCP reset."""
        sock = self._transport.socket
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError as exc:
            logger.debug("setting SO_LINGER failed: %s", exc)
        sock.close()

    async def run(self) -> None:
        try:
            if not await self._do_tls_handshake():
                return
            sock = self._transport.socket
            client = parse_socket_addr(sock.family, sock.getpeername())
            server = parse_socket_addr(sock.family, sock.getsockname())
            async with RequestTaskGroup() as task_group:
                self._task_group = task_group
                self.protocol = _Protocol(
                    self.app,
                    self.config,
                    self.context,
                    task_group,
                    {},
                    self.stream is not self._transport,
                    client,
                    server,
                    self.protocol_send,
                )
                self.protocol.server_connection = self
                self._protocol_started = True
                await self._read_data()
        except OSError as exc:
            logger.debug("listener %s: connection failed: %s", self.http_server.name, exc)
        finally:
            await trio.aclose_forcefully(self.stream)

    async def protocol_send(self, event: Any) -> None:
        if isinstance(event, RawData):
            async with self.send_lock:
                if self._sending_ended:
                    return
                try:
                    with trio.fail_after(SEND_TIMEOUT_SECONDS):
                        await self.stream.send_all(event.data)
                except trio.TooSlowError:
                    logger.info(
                        "listener %s: write timed out, resetting the connection",
                        self.http_server.name,
                    )
                    self.reset()
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    await self.protocol.handle(Closed())
        elif isinstance(event, Closed):
            await self._finish_sending()
            await self.protocol.handle(Closed())
        elif isinstance(event, Updated):
            seconds = IDLE_TIMEOUT_SECONDS if event.idle else float("inf")
            self._idle_deadline = trio.current_time() + seconds
            self._update_receive_deadline()

    async def _do_tls_handshake(self) -> bool:
        if self.stream is self._transport:
            return True
        try:
            with trio.fail_after(TLS_HANDSHAKE_TIMEOUT_SECONDS):
                await self.stream.do_handshake()
        except (trio.BrokenResourceError, trio.TooSlowError) as exc:
            cause = exc.__cause__ or exc
            logger.info("listener %s: TLS handshake failed: %s", self.http_server.name, cause)
            return False
        return True

    async def _finish_sending(self) -> None:
        now = trio.current_time()
        self._last_drain_deadline = now + MAX_DRAIN_SECONDS
        self._drain_until(now + DRAIN_TIMEOUT_SECONDS)
        if self.stream is not self._transport:
            return
        async with self.send_lock:
            self._sending_ended = True
            try:
                await self._transport.send_eof()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                self._drain_until(trio.current_time())

    def _drain_until(self, deadline: float) -> None:
        self._drain_deadline = deadline
        self._update_receive_deadline()

    def _update_receive_deadline(self) -> None:
        """Set the time limit of the current or next wait for bytes."""
        # A connection on which a head has begun is not idle.
        head_deadline = self.protocol.head_deadline
        idle_until = self._idle_deadline if head_deadline == float("inf") else head_deadline
        self._receive_scope.deadline = min(idle_until, self._drain_deadline)

    async def _read_data(self) -> None:
        while True:
            self._receive_scope = trio.CancelScope()
            self._update_receive_deadline()
            # Only the wait for bytes has a time limit: cancelling the protocol would lose events.
            with self._receive_scope:
                try:
                    data = await self.stream.receive_some(READ_BYTES)
                except (trio.ClosedResourceError, trio.BrokenResourceError):
                    break
            draining = self._drain_deadline < float("inf")
            if self._receive_scope.cancelled_caught:
                if draining or self.protocol.head_deadline == float("inf"):
                    break
                detail = (
                    f"the head did not arrive within {self.http_server.head_timeout_seconds:g} s"
                )
                await self.protocol.refuse(408, "slow-head", detail)
                self.protocol.head_deadline = float("inf")
                await self._finish_sending()
            else:
                if not draining:
                    await self.protocol.handle(RawData(bytes(data)))
                elif trio.current_time() < self._drain_deadline:
                    extended = trio.current_time() + DRAIN_TIMEOUT_SECONDS
                    self._drain_until(min(extended, self._last_drain_deadline))
                if not data:
                    break
        await self.protocol.handle(Closed())


def _problem_headers(body: bytes) -> list[tuple[bytes, bytes]]:
    return [
        (b"content-type", CONTENT_TYPE.encode()),
        (b"content-length", str(len(body)).encode()),
        (b"connection", b"close"),
    ]


def _raw_problem_response(status: int, reason: str, detail: str) -> bytes:
    body = json.dumps(problem_document(status, reason, detail, "not-run")).encode()
    lines = [f"HTTP/1.1 {status} Unavailable".encode(), b"retry-after: 1"]
    lines += [name + b": " + value for name, value in _problem_headers(body)]
    return b"\r\n".join([*lines, b"", body])
