"""HTTP requests and responses on a connection to a target."""

from __future__ import annotations

import socket
import struct
from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING

import h11
import trio

from radishshunt.body_memory import body_buffer, buffered_body
from radishshunt.errors import NotRun, RadishshuntError
from radishshunt.util.response_heads import next_response_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from radishshunt.body_memory import BodyReservation

READ_BYTES = 64 * 1024
# Bodies up to this size fit into the socket buffers, so that sending them does not block.
SMALL_BODY_BYTES = 16 * 1024
# Responses are buffered completely, so that a request with a truncated response can be retried.
# Larger responses are rejected.
MAX_RESPONSE_BYTES = 32 * 1024 * 1024
# Bytes of a response besides its body: heads, and the framing of chunks, which may be of one byte.
MAX_FRAMING_BYTES = 256 * 1024
MAX_FRAMING_BYTES_PER_BODY_BYTE = 8
# SO_LINGER enabled with a timeout of zero: closing the socket resets the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Number of interim responses (status 1xx) after which an exchange fails.
MAX_INTERIM_RESPONSES = 8
# Time in which the end of a request is noticed that was sent before the end of its response.
SENT_GRACE_SECONDS = 0.05
# Number of responses to earlier requests after which an exchange fails.
MAX_STALE_RESPONSES = 3


class ExchangeError(RadishshuntError):
    """A request got no complete response.

    :param sent: Whether the target may have received the request.
    """

    category = "no answer"

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response of a target.

    :param headers: Pairs of lower-case name and value.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header, or ``None``."""
        return next((value for key, value in self.headers if key == name), None)


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request in the form in which it is sent to a target.

    :param target: Request target of HTTP: path and query.
    :param echo: Header that the target copies from the request to its response, and its value;
        it identifies the request that a response belongs to.
    :param memory: Reservation that the body of the response is charged to.
    :param success_header: Header that every successful response to the request has.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    echo: tuple[bytes, bytes] | None = None
    memory: BodyReservation | None = None
    success_header: bytes | None = None


class Connection:
    """A connection to a target; carries one request at a time.

    :ivar reusable: Whether the connection can carry another request.
    :ivar idle_since: Time of the last response on trio's clock.
    :ivar keep_alive_seconds: Seconds for which the target keeps an idle connection open.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self.reusable = False
        self.idle_since = trio.current_time()
        self.keep_alive_seconds = float("inf")
        self._stream = stream
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=READ_BYTES)

    def has_no_input(self) -> bool:
        """Return whether there is no unread input, neither data nor the end of the stream."""
        return not self._stream.socket.is_readable() and not self._http.trailing_data[0]

    def close(self) -> None:
        """Close the connection immediately."""
        self.reusable = False
        self._stream.socket.close()

    def abort(self) -> None:
        """Reset the connection, so that bytes not yet received by the target are never delivered.

        After a plain close the kernel keeps retransmitting them, for many seconds after an
        interrupted network path recovers.
        """
        with suppress(OSError):
            self._stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self.close()

    async def exchange(
        self, req: OutgoingRequest, on_send: Callable[[], None] | None = None
    ) -> HttpResponse:
        """Send a request and return its complete response.

        :param on_send: Called right before the first byte is written. If it raises an exception,
            nothing is sent.
        :raises ExchangeError: If there is no complete response.
        """
        self.reusable = False
        try:
            parts = self._encode(self._http, req)
        except h11.LocalProtocolError as exc:
            raise ExchangeError(f"request cannot be sent: {exc}", sent=False) from exc
        if on_send is not None:
            try:
                on_send()
            except BaseException:
                # Nothing has been sent, so that there is nothing to reset.
                self.close()
                raise
        try:
            if len(req.body) <= SMALL_BODY_BYTES:
                await self._stream.send_all(b"".join(parts))
                response = await self._receive_matching_response(req)
                request_sent = True
            else:
                response, request_sent = await self._send_while_receiving(req, parts)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise ExchangeError(f"connection failed: {exc.__cause__ or exc}", sent=True) from exc
        except h11.RemoteProtocolError as exc:
            # h11 leaves a reference to the exception in its traceback, which would keep the body
            # alive until the next garbage collection.
            cause = exc.with_traceback(None)
            raise ExchangeError(f"malformed response: {exc}", sent=True) from cause
        self._finish_exchange(response, request_sent)
        return response

    async def _send_while_receiving(
        self, req: OutgoingRequest, parts: list[bytes]
    ) -> tuple[HttpResponse, bool]:
        """Send a large request while receiving, as the target may respond before reading it all.

        :return: The response, and whether the request was sent completely.
        """
        request_sent = False
        sender_ended = trio.Event()
        responses: list[HttpResponse] = []
        failures: list[Exception] = []

        async def send() -> None:
            nonlocal request_sent
            try:
                for part in parts:
                    await self._stream.send_all(part)
                request_sent = True
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                # The response may have arrived before the target closed the connection.
                request_sent = False
            sender_ended.set()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            try:
                response = await self._receive_matching_response(req)
                if not _is_self_delimiting(response):
                    with trio.move_on_after(SENT_GRACE_SECONDS):
                        await sender_ended.wait()
                    self._check_not_reset(request_sent=request_sent)
                responses.append(response)
            except (trio.BrokenResourceError, ExchangeError, h11.RemoteProtocolError) as exc:
                failures.append(exc)
            nursery.cancel_scope.cancel()
        if failures:
            # A reference to it from its own traceback would keep the body alive.
            raise failures.pop()
        return responses[0], request_sent

    def _check_not_reset(self, *, request_sent: bool) -> None:
        """Check that the end of the connection was the end of a response without a length.

        A connection that ends before the request was sent counts as reset, since the target cannot
        have read it. A reset is reported once, to whoever sends or receives next; the other one
        sees a regular end.

        :raises ExchangeError: If the connection may have been reset.
        """
        if not request_sent or self._stream.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            raise ExchangeError("connection reset during a response without a length", sent=True)

    def _encode(self, http: h11.Connection, req: OutgoingRequest) -> list[bytes]:
        """Return the parts of an encoded request. The body is not copied."""
        head = h11.Request(method=req.method, target=req.target, headers=req.headers)
        parts = [http.send(head)]
        if req.body:
            parts += http.send_with_data_passthrough(h11.Data(data=req.body))
        return [*parts, http.send(h11.EndOfMessage())]

    async def _receive_matching_response(self, req: OutgoingRequest) -> HttpResponse:
        for _ in range(MAX_STALE_RESPONSES):
            response = await self._receive_response(req.memory)
            if _is_response_to(req, response):
                if _is_unmarked_success(req, response):
                    raise ExchangeError("success without the header of the target", sent=True)
                return response
            # Additional bytes, or a duplicate response to an earlier request. The response to this
            # request follows.
            remaining = self._http.trailing_data[0]
            if self._http.their_state is not h11.DONE:
                break
            self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=READ_BYTES)
            self._encode(self._http, req)
            if remaining:
                self._http.receive_data(remaining)
        raise ExchangeError("received only responses to other requests", sent=True)

    async def _receive_response(self, memory: BodyReservation | None) -> HttpResponse:
        head: h11.Response | None = None
        body, size = body_buffer(None), 0
        interim_responses = 0
        received = 0
        while True:
            event = next_response_event(self._http)
            if event is h11.NEED_DATA:
                data = await self._stream.receive_some(READ_BYTES)
                received += len(data)
                if received > MAX_FRAMING_BYTES + MAX_FRAMING_BYTES_PER_BODY_BYTE * size:
                    raise ExchangeError("response has too little body for its size", sent=True)
                self._http.receive_data(data)
            elif isinstance(event, h11.Response):
                head = event
                body = body_buffer(_content_length(event))
            elif isinstance(event, h11.Data):
                _reserve(memory, len(event.data))
                size += body.write(event.data)
                if size > MAX_RESPONSE_BYTES:
                    raise ExchangeError("response body is too large", sent=True)
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return HttpResponse(head.status_code, list(head.headers), buffered_body(body))
            elif isinstance(event, h11.InformationalResponse):
                interim_responses += 1
                if interim_responses > MAX_INTERIM_RESPONSES:
                    raise ExchangeError("too many interim responses", sent=True)
            else:
                raise ExchangeError("connection closed before a complete response", sent=True)

    def _finish_exchange(self, response: HttpResponse, request_sent: bool) -> None:
        http = self._http
        self.reusable = (
            request_sent
            and _is_self_delimiting(response)
            and http.our_state is h11.DONE
            and http.their_state is h11.DONE
            and not http.trailing_data[0]
        )
        if not self.reusable:
            self.close()
            return
        http.start_next_cycle()
        self.idle_since = trio.current_time()
        self.keep_alive_seconds = _keep_alive_seconds(response)


def _reserve(memory: BodyReservation | None, size: int) -> None:
    """Charge bytes of a response body to a reservation.

    :raises ExchangeError: If all bodies together would exceed the memory of the host.
    """
    if memory is None:
        return
    try:
        memory.add(size)
    except NotRun as exc:
        raise ExchangeError("response body exceeds the memory for bodies", sent=True) from exc


def _is_response_to(req: OutgoingRequest, response: HttpResponse) -> bool:
    """Return whether a response belongs to a request.

    A successful response to a request without an id is recognised by the header that it must have.
    """
    if req.echo is None:
        return not _is_unmarked_success(req, response)
    return response.header(req.echo[0]) == req.echo[1]


def _is_unmarked_success(req: OutgoingRequest, response: HttpResponse) -> bool:
    """Return whether a successful response lacks the header that the target adds to each."""
    return (
        req.success_header is not None
        and 200 <= response.status < 300
        and response.header(req.success_header) is None
    )


def _is_self_delimiting(response: HttpResponse) -> bool:
    """Return whether the end of a response is known without the connection being closed."""
    return (
        response.status in (204, 304)
        or response.header(b"content-length") is not None
        or response.header(b"transfer-encoding") is not None
    )


def _content_length(head: h11.Response) -> int | None:
    """Return the length of a response's body in bytes, or ``None`` if it is not known."""
    for name, value in head.headers:
        if name == b"content-length":
            return int(value)
    return None


def _keep_alive_seconds(response: HttpResponse) -> float:
    """Return the seconds for which the target keeps an idle connection open."""
    value = response.header(b"keep-alive") or b""
    for part in value.decode("latin-1").split(","):
        name, _, number = part.strip().partition("=")
        if name.lower() == "timeout" and number.isascii() and number.isdigit():
            return float(number)
    return float("inf")
