"""One request and its answer on a connection to a target."""

from __future__ import annotations

import socket
import struct
from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING

import h11
import trio

from radishshunt.errors import RadishshuntError

if TYPE_CHECKING:
    from collections.abc import Callable

READ_BYTES = 64 * 1024
# Bodies up to this size fit into the buffers of a connection, so that sending them does not wait.
SMALL_BODY_BYTES = 16 * 1024
# Answers are held whole, so that a cut one can be replaced; larger ones are refused.
MAX_ANSWER_BYTES = 32 * 1024 * 1024
# On, with no time to linger.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Answers to earlier requests that are skipped before a connection is given up.
MAX_STRAY_ANSWERS = 3


class ExchangeError(RadishshuntError):
    """A request got no whole answer.

    :param sent: Whether the target may have received the request.
    """

    category = "no answer"

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer of a target.

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
    """A request as it is written to a target.

    :param echo: Header by which an answer names its request, and the value it must have.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    echo: tuple[bytes, bytes] | None = None


class Connection:
    """A connection to a target; carries one request at a time.

    :ivar reusable: Whether another request may follow.
    :ivar idle_since: Moment on trio's clock of its last answer.
    :ivar idle_limit: Seconds for which the target keeps it open unused.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self.reusable = False
        self.idle_since = trio.current_time()
        self.idle_limit = float("inf")
        self._stream = stream
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=READ_BYTES)

    def is_quiet(self) -> bool:
        """Return whether the target has sent nothing, not even the end of the connection."""
        return not self._stream.socket.is_readable() and not self._http.trailing_data[0]

    def close(self) -> None:
        """Close the connection at once."""
        self.reusable = False
        self._stream.socket.close()

    def abort(self) -> None:
        """Reset the connection, so that bytes that have not arrived never do.

        After a plain close the system goes on sending them, for many seconds once a cut path heals.
        """
        with suppress(OSError):
            self._stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self.close()

    async def exchange(
        self, req: OutgoingRequest, on_send: Callable[[], None] | None = None
    ) -> Answer:
        """Send a request and return its whole answer.

        :param on_send: Called right before the first byte is written.
        :raises ExchangeError: If there is no whole answer.
        """
        self.reusable = False
        data = self._encode(self._http, req)
        if on_send is not None:
            on_send()
        try:
            if len(req.body) <= SMALL_BODY_BYTES:
                await self._stream.send_all(data)
                answer = await self._receive(req)
                whole = True
            else:
                answer, whole = await self._send_while_receiving(req, data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise ExchangeError(f"connection broke: {exc.__cause__ or exc}", sent=True) from exc
        except h11.RemoteProtocolError as exc:
            raise ExchangeError(f"malformed answer: {exc}", sent=True) from exc
        self._finish(answer, whole)
        return answer

    async def _send_while_receiving(self, req: OutgoingRequest, data: bytes) -> tuple[Answer, bool]:
        """Exchange a large body; the target may answer before it has read all of it."""
        whole = False
        answers: list[Answer] = []
        failures: list[Exception] = []

        async def send() -> None:
            nonlocal whole
            try:
                await self._stream.send_all(data)
                whole = True
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                # The answer may have arrived before the target closed the connection.
                whole = False

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            try:
                answers.append(await self._receive(req))
            except (trio.BrokenResourceError, ExchangeError, h11.RemoteProtocolError) as exc:
                failures.append(exc)
            nursery.cancel_scope.cancel()
        if failures:
            raise failures[0]
        return answers[0], whole

    def _encode(self, http: h11.Connection, req: OutgoingRequest) -> bytes:
        data = http.send(h11.Request(method=req.method, target=req.target, headers=req.headers))
        if req.body:
            data += http.send(h11.Data(data=req.body))
        return data + http.send(h11.EndOfMessage())

    async def _receive(self, req: OutgoingRequest) -> Answer:
        for _ in range(MAX_STRAY_ANSWERS):
            answer = await self._receive_one()
            if req.echo is None or answer.header(req.echo[0]) in (None, req.echo[1]):
                return answer
            # A second answer to an earlier request; the one to this request follows it.
            rest = self._http.trailing_data[0]
            if self._http.their_state is not h11.DONE:
                break
            self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=READ_BYTES)
            self._encode(self._http, req)
            if rest:
                self._http.receive_data(rest)
        raise ExchangeError("answers to other requests", sent=True)

    async def _receive_one(self) -> Answer:
        head: h11.Response | None = None
        body = bytearray()
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._http.receive_data(await self._stream.receive_some(READ_BYTES))
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_ANSWER_BYTES:
                    raise ExchangeError("answer is too large", sent=True)
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return Answer(head.status_code, list(head.headers), bytes(body))
            elif not isinstance(event, h11.InformationalResponse):
                raise ExchangeError("connection closed without an answer", sent=True)

    def _finish(self, answer: Answer, whole: bool) -> None:
        http = self._http
        self.reusable = (
            whole
            and _has_length(answer)
            and http.our_state is h11.DONE
            and http.their_state is h11.DONE
            and not http.trailing_data[0]
        )
        if not self.reusable:
            self.close()
            return
        http.start_next_cycle()
        self.idle_since = trio.current_time()
        self.idle_limit = _keep_alive_seconds(answer)


def _has_length(answer: Answer) -> bool:
    """Return whether an answer's end does not depend on the end of its connection."""
    return (
        answer.status in (204, 304)
        or answer.header(b"content-length") is not None
        or answer.header(b"transfer-encoding") is not None
    )


def _keep_alive_seconds(answer: Answer) -> float:
    """Return how long the target keeps the connection open unused."""
    value = answer.header(b"keep-alive") or b""
    for part in value.decode("latin-1").split(","):
        name, _, number = part.strip().partition("=")
        if name.lower() == "timeout" and number.isdigit():
            return float(number)
    return float("inf")
