"""Requests and answers on the streams between an entry host and a dispatcher."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from radishshunt.errors import (
    NotOwner,
    NotRun,
    OutcomeOfRequestUnknown,
    PeerUnavailable,
    ProtocolError,
    RanWithoutRecord,
    RequestError,
)
from radishshunt.hashing import FINGERPRINT_BODY_BYTES
from radishshunt.wire.connection import CHUNK_BYTES
from radishshunt.wire.messages import Chunk, End, Failure, RequestHead, ResponseHead

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from radishshunt.memory import BodyLease
    from radishshunt.model import GroupId, Request, Response
    from radishshunt.wire.connection import Stream
    from radishshunt.wire.messages import Message

# Bodies up to this size are kept, so that a request can be sent again. The fingerprint takes as
# much, so that what became of a longer request can still be asked.
REPLAY_BYTES = FINGERPRINT_BODY_BYTES


class ReplayableBody:
    """A request body that can be read again if it is small.

    :param source: The body as it arrives.
    """

    def __init__(self, source: AsyncIterator[bytes]) -> None:
        self._source = source
        self._kept: list[bytes] = []
        self._size = 0
        self._broken = False

    @property
    def replayable(self) -> bool:
        """Whether :meth:`chunks` can begin again."""
        return self._size <= REPLAY_BYTES and not self._broken

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body from its start.

        :raises ProtocolError: If reading the source was interrupted before.
        """
        if not self.replayable:
            raise ProtocolError("the body cannot be read again")
        for chunk in list(self._kept):
            yield chunk
        while True:
            try:
                chunk = await self._source.__anext__()
            except StopAsyncIteration:
                return
            except BaseException:
                # An interrupted generator seems to end normally when it is read again.
                self._broken = True
                raise
            if self._size < REPLAY_BYTES:
                self._kept.append(chunk)
            self._size += len(chunk)
            yield chunk

    async def start(self) -> AsyncIterator[bytes]:
        """Yield the part of the body that its fingerprint is made of."""
        for chunk in list(self._kept):
            yield chunk


class RequestSender:
    """Sends a request's body and takes the first message of the answer.

    :ivar complete: Whether the end of the body may have reached the dispatcher, which begins
        nothing before it has the whole body.
    """

    def __init__(self, stream: Stream, body: AsyncIterator[bytes]) -> None:
        self._stream = stream
        self._body = body
        self._error: Exception | None = None
        self.complete = False

    async def exchange(self) -> ResponseHead:
        """Return the head of the answer.

        :raises RequestError: If the dispatcher says that there is none.
        :raises PeerUnavailable: If the connection broke.
        :raises ProtocolError: If the dispatcher broke the protocol.
        """
        first: Message | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send, nursery.cancel_scope)
            try:
                first = await self._stream.receive()
            except PeerUnavailable as exc:
                self._error = exc
            nursery.cancel_scope.cancel()
        if self._error is not None and first is None:
            raise self._error
        if isinstance(first, Failure):
            raise error_of(first)
        if not isinstance(first, ResponseHead):
            raise ProtocolError(f"expected an answer, not {type(first).__name__}")
        return first

    async def _send(self, scope: trio.CancelScope) -> None:
        try:
            async for data in self._body:
                for start in range(0, len(data), CHUNK_BYTES):
                    await self._stream.send(Chunk(data[start : start + CHUNK_BYTES]))
            self.complete = True
            await self._stream.send(End())
        except (PeerUnavailable, RequestError) as exc:
            self._error = exc
            scope.cancel()


class ForwardedAnswer:
    """Body of an answer that a dispatcher sends."""

    def __init__(self, stream: Stream) -> None:
        self._stream = stream
        self._ended = False

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        if self._ended:
            raise StopAsyncIteration
        try:
            msg = await self._stream.receive()
        except PeerUnavailable as exc:
            raise OutcomeOfRequestUnknown("answer-cut", str(exc), status=502) from exc
        if isinstance(msg, Chunk):
            return msg.data
        if isinstance(msg, End):
            self._ended = True
            self._stream.finish()
            raise StopAsyncIteration
        if isinstance(msg, Failure):
            raise error_of(msg)
        raise OutcomeOfRequestUnknown(
            "answer-cut", f"{type(msg).__name__} within a body", status=502
        )

    async def aclose(self) -> None:
        """End the stream; the dispatcher is told if the answer was not read to its end."""
        if not self._ended:
            self._ended = True
            self._stream.cancel()


async def request_body(stream: Stream) -> AsyncIterator[bytes]:
    """Yield the body of a request that a peer forwards.

    :raises PeerUnavailable: If the connection broke before the end of the body.
    """
    while True:
        msg = await stream.receive()
        if isinstance(msg, End):
            return
        if not isinstance(msg, Chunk):
            raise ProtocolError(f"{type(msg).__name__} within a body")
        yield msg.data


async def leased(body: AsyncIterator[bytes], lease: BodyLease) -> AsyncIterator[bytes]:
    """Yield a body and count its memory.

    :raises NotRun: If there is no memory for it.
    """
    async for data in body:
        lease.add(len(data))
        yield data


async def send_answer(stream: Stream, resp: Response, seconds: float) -> None:
    """Send an answer to the entry host.

    :param seconds: Time after which an answer that is not read is cut.
    """
    try:
        with trio.move_on_after(seconds) as scope:
            await stream.send(ResponseHead(resp.status, resp.headers))
            async for data in resp.body:
                for start in range(0, len(data), CHUNK_BYTES):
                    await stream.send(Chunk(data[start : start + CHUNK_BYTES]))
            await stream.send(End())
        if scope.cancelled_caught:
            await stream.send(Failure("unknown", "answer-cut", "not read in time", 504))
    except RequestError as exc:
        await stream.send(failure_of(exc))
    finally:
        with trio.CancelScope(shield=True):
            await resp.body.aclose()


def head_of(req: Request, group: GroupId) -> RequestHead:
    """Return the message that begins a forwarded request."""
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
        query=req.query,
    )


def failure_of(exc: RequestError) -> Failure:
    """Return an error as a message."""
    outcome = "not-owner" if isinstance(exc, NotOwner) else exc.outcome
    retry_after = -1.0 if exc.retry_after is None else exc.retry_after
    return Failure(outcome, exc.reason, exc.detail, exc.status, retry_after)


def error_of(msg: Failure) -> RequestError:
    """Return the error that a message stands for; ``unknown`` for outcomes of newer versions."""
    retry_after = None if msg.retry_after < 0 else msg.retry_after
    if msg.outcome in ("not-run", "not-owner"):
        cls = NotOwner if msg.outcome == "not-owner" else NotRun
        return cls(msg.reason, msg.detail, status=msg.status, retry_after=retry_after)
    if msg.outcome == "ran":
        return RanWithoutRecord(msg.reason, msg.detail, status=msg.status)
    return OutcomeOfRequestUnknown(msg.reason, msg.detail, status=msg.status)
