"""Requests and responses on the streams between an entry host and a dispatcher.

The entry host is the one that a caller sent the request to.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from radishshunt.errors import (
    NotOwner,
    NotRun,
    OutcomeOfRequestUnknown,
    PeerUnavailable,
    ProtocolError,
    RanWithoutResponse,
    RequestError,
)
from radishshunt.hashing import FINGERPRINT_BODY_BYTES
from radishshunt.wire.connection import CHUNK_BYTES
from radishshunt.wire.messages import Chunk, End, Failure, RequestHead, ResponseHead

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from radishshunt.body_memory import BodyReservation
    from radishshunt.model import GroupId, Request, Response
    from radishshunt.wire.connection import Stream
    from radishshunt.wire.messages import Message

# Bodies up to this size are buffered, so that a request can be sent again. The fingerprint covers
# as many bytes, so the outcome of a request with a longer body can still be queried.
REPLAY_BYTES = FINGERPRINT_BODY_BYTES


class ReplayableBody:
    """Request body that can be read several times if it is small.

    :param source: Chunks of the body as they arrive.
    """

    def __init__(self, source: AsyncIterator[bytes]) -> None:
        self._source = source
        self._buffered: list[bytes] = []
        self._received_bytes = 0
        self._interrupted = False

    @property
    def replayable(self) -> bool:
        """Whether :meth:`chunks` can yield the body from its start once more."""
        return self._received_bytes <= REPLAY_BYTES and not self._interrupted

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body from its start.

        :raises ProtocolError: If the body is too large to be buffered, or if an earlier read of the
            source was interrupted.
        """
        if not self.replayable:
            raise ProtocolError("the request body can't be read a second time")
        for chunk in list(self._buffered):
            yield chunk
        while True:
            try:
                chunk = await self._source.__anext__()
            except StopAsyncIteration:
                return
            except BaseException:
                # Reading an interrupted generator again looks like a normal end of the body.
                self._interrupted = True
                raise
            if self._received_bytes < REPLAY_BYTES:
                self._buffered.append(chunk)
            self._received_bytes += len(chunk)
            yield chunk

    async def buffered_start(self) -> AsyncIterator[bytes]:
        """Yield the buffered start of the body, which the fingerprint covers."""
        for chunk in list(self._buffered):
            yield chunk


class RequestSender:
    """Sends a request body and receives the head of the response.

    :ivar body_sent: Whether the end of the body may have reached the dispatcher. The dispatcher
        does not run a request before it has received the whole body.
    """

    def __init__(self, stream: Stream, body: AsyncIterator[bytes]) -> None:
        self._stream = stream
        self._body = body
        self._error: Exception | None = None
        self.body_sent = False

    async def send_and_receive_head(self) -> ResponseHead:
        """Send the body and return the head of the response.

        :raises RequestError: If the body can't be read, or if the dispatcher reports a failure.
        :raises PeerUnavailable: If the connection broke.
        :raises ProtocolError: If the dispatcher violated the protocol.
        """
        first: Message | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_body, nursery.cancel_scope)
            try:
                first = await self._stream.receive()
            except PeerUnavailable as exc:
                self._error = exc
            nursery.cancel_scope.cancel()
        if self._error is not None and first is None:
            raise self._error
        if isinstance(first, Failure):
            raise error_from_failure(first)
        if not isinstance(first, ResponseHead):
            raise ProtocolError(f"expected the head of a response, got {type(first).__name__}")
        return first

    async def _send_body(self, scope: trio.CancelScope) -> None:
        try:
            async for data in self._body:
                for start in range(0, len(data), CHUNK_BYTES):
                    await self._stream.send(Chunk(data[start : start + CHUNK_BYTES]))
            self.body_sent = True
            await self._stream.send(End())
        except (PeerUnavailable, RequestError) as exc:
            self._error = exc
            scope.cancel()


class ForwardedResponseBody:
    """Response body that a dispatcher sends to the entry host."""

    def __init__(self, stream: Stream) -> None:
        self._stream = stream
        self._finished = False

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        if self._finished:
            raise StopAsyncIteration
        try:
            msg = await self._stream.receive()
        except PeerUnavailable as exc:
            raise OutcomeOfRequestUnknown("answer-cut", str(exc), status=502) from exc
        if isinstance(msg, Chunk):
            return msg.data
        if isinstance(msg, End):
            self._finished = True
            self._stream.finish()
            raise StopAsyncIteration
        if isinstance(msg, Failure):
            raise error_from_failure(msg)
        raise OutcomeOfRequestUnknown(
            "answer-cut",
            f"unexpected {type(msg).__name__} message within a response body",
            status=502,
        )

    async def aclose(self) -> None:
        """Close the stream; cancel it at the dispatcher if the body was not read to its end."""
        if not self._finished:
            self._finished = True
            self._stream.cancel()


async def request_body(stream: Stream) -> AsyncIterator[bytes]:
    """Yield the body of a request that a peer forwards.

    :raises PeerUnavailable: If the connection broke before the end of the body.
    :raises ProtocolError: If another message arrives within the body.
    """
    while True:
        msg = await stream.receive()
        if isinstance(msg, End):
            return
        if not isinstance(msg, Chunk):
            raise ProtocolError(f"unexpected {type(msg).__name__} message within a request body")
        yield msg.data


async def with_reserved_memory(
    body: AsyncIterator[bytes], reservation: BodyReservation
) -> AsyncIterator[bytes]:
    """Yield a body and reserve memory for its chunks.

    :raises NotRun: If the memory limit is reached.
    """
    async for data in body:
        reservation.add(len(data))
        yield data


async def send_response(stream: Stream, resp: Response, seconds: float) -> None:
    """Send a response to the entry host.

    :param seconds: Time limit, after which the response is truncated.
    """
    try:
        with trio.move_on_after(seconds) as scope:
            await stream.send(ResponseHead(resp.status, resp.headers))
            async for data in resp.body:
                for start in range(0, len(data), CHUNK_BYTES):
                    await stream.send(Chunk(data[start : start + CHUNK_BYTES]))
            await stream.send(End())
        if scope.cancelled_caught:
            await stream.send(
                Failure("unknown", "answer-cut", "the response was not read in time", 504)
            )
    except RequestError as exc:
        await stream.send(failure_from_error(exc))
    finally:
        with trio.CancelScope(shield=True):
            await resp.body.aclose()


def request_head_message(req: Request, group: GroupId) -> RequestHead:
    """Return the first message of a forwarded request."""
    return RequestHead(
        id=req.id,
        service=req.service,
        key=req.key,
        method=req.method,
        path=req.path,
        headers=req.headers,
        deadline=req.deadline,
        idempotency_key=req.idempotency_key,
        group=group.group,
        query=req.lookup_only,
    )


def failure_from_error(exc: RequestError) -> Failure:
    """Return the message that reports an error to the entry host."""
    outcome = "not-owner" if isinstance(exc, NotOwner) else exc.outcome
    retry_after = -1.0 if exc.retry_after is None else exc.retry_after
    return Failure(outcome, exc.reason, exc.detail, exc.status, retry_after)


def error_from_failure(msg: Failure) -> RequestError:
    """Return the error that a message reports.

    Outcomes that only newer versions know count as ``unknown``.
    """
    retry_after = None if msg.retry_after < 0 else msg.retry_after
    if msg.outcome in ("not-run", "not-owner"):
        cls = NotOwner if msg.outcome == "not-owner" else NotRun
        return cls(msg.reason, msg.detail, status=msg.status, retry_after=retry_after)
    if msg.outcome == "ran":
        return RanWithoutResponse(msg.reason, msg.detail, status=msg.status)
    return OutcomeOfRequestUnknown(msg.reason, msg.detail, status=msg.status)
