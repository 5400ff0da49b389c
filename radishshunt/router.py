"""Finds the dispatcher of a request and forwards the request to it."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import trio

from radishshunt.errors import (
    NotOwner,
    NotRun,
    OutcomeOfRequestUnknown,
    PeerUnavailable,
    ProtocolError,
)
from radishshunt.hashing import key_hash, slice_of
from radishshunt.logs import decision
from radishshunt.model import GroupId, Request, Response
from radishshunt.wire.connection import CHUNK_BYTES
from radishshunt.wire.messages import Chunk, End, Failure, RequestHead, ResponseHead

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from radishshunt.clock import Clock
    from radishshunt.directory import Directory, Location
    from radishshunt.dispatch.manager import DispatchManager
    from radishshunt.memory import BodyLease, BodyMemory
    from radishshunt.metrics import Metrics
    from radishshunt.peers import PeerNetwork
    from radishshunt.wire.connection import PeerConnection, Stream
    from radishshunt.wire.messages import Message

RETRY_PAUSE_SECONDS = 0.05
# Bodies up to this size are kept, so that a request that did not run can be sent again.
REPLAY_BYTES = 64 * 1024


class Router:
    """Routes requests of this host's callers, and serves those that peers forward."""

    def __init__(
        self,
        host: str,
        directory: Directory,
        dispatch: DispatchManager,
        network: PeerNetwork,
        clock: Clock,
        metrics: Metrics,
        memory: BodyMemory,
        random: Random | None = None,
    ) -> None:
        self._host = host
        self._directory = directory
        self._dispatch = dispatch
        self._network = network
        self._clock = clock
        self._metrics = metrics
        self._memory = memory
        self._random = random or Random()
        network.register(RequestHead, self._serve_peer)

    async def route(self, req: Request) -> Response:
        """Serve a caller's request.

        :raises NotRun: If the request did not run.
        :raises OutcomeOfRequestUnknown: If it may have run.
        """
        if req.service not in self._directory.catalog.services:
            raise NotRun("unknown-service", f"there is no service {req.service}", status=404)
        if self._directory.catalog.services[req.service].keyed and not req.key:
            raise NotRun("no-key", f"service {req.service} needs a key", status=400)
        body = ReplayableBody(req.body)
        while True:
            location = await self._locate(req)
            req.body = body.chunks()
            try:
                return await self._send(req, location)
            except NotRun as exc:
                retryable = isinstance(exc, NotOwner) or exc.reason == "peer-unavailable"
                if not retryable or not body.replayable or self._too_late(req):
                    raise
            except OutcomeOfRequestUnknown as exc:
                if not req.idempotent or not body.replayable or self._too_late(req):
                    raise
                decision(
                    "retry", service=req.service, key_hash=key_hash(req.key), reason=exc.reason
                )
            await trio.sleep(RETRY_PAUSE_SECONDS)

    async def _locate(self, req: Request) -> Location:
        while True:
            if self._directory.catalog.services[req.service].keyed:
                location = self._directory.locate(req.service, req.key)
            else:
                location = self._pick_group(req.service)
            if location is not None:
                return location
            if self._too_late(req):
                raise NotRun("no-dispatcher", "no host dispatches the key yet", retry_after=1.0)
            await trio.sleep(RETRY_PAUSE_SECONDS)

    def _pick_group(self, service: str) -> Location | None:
        groups = list(self._directory.candidates(service))
        pair = self._random.sample(groups, min(2, len(groups)))
        return min(pair, key=lambda location: location.dispatcher.load, default=None)

    def _too_late(self, req: Request) -> bool:
        return self._clock.now() + RETRY_PAUSE_SECONDS >= req.deadline

    async def _send(self, req: Request, location: Location) -> Response:
        host = location.dispatcher.host
        decision(
            "route",
            service=req.service,
            key_hash=key_hash(req.key),
            slice=location.slice,
            group=location.group.group,
            generation=location.dispatcher.generation,
            dispatcher=host,
            request_id=req.id,
            reason="local" if host == self._host else "forward",
        )
        if host == self._host:
            return await self._handle_here(req, location.group, location.slice)
        self._metrics.forwarded.labels(req.service).inc()
        return await self._forward(req, location)

    async def _handle_here(
        self, req: Request, group: GroupId, slice_number: int | None
    ) -> Response:
        dispatcher = self._dispatch.groups.get(group)
        if dispatcher is None:
            raise NotOwner("not-dispatcher", f"this host does not dispatch {group}")
        return await dispatcher.handle(req, slice_number)

    async def _forward(self, req: Request, location: Location) -> Response:
        try:
            conn = await self._network.connection(location.dispatcher.host)
        except PeerUnavailable as exc:
            raise NotRun("peer-unavailable", str(exc), retry_after=1.0) from exc
        try:
            stream = await conn.open_stream(_head_of(req, location.group))
        except PeerUnavailable as exc:
            raise NotRun("peer-unavailable", str(exc), retry_after=1.0) from exc
        try:
            with trio.fail_after(max(0.0, req.deadline - self._clock.now())):
                head = await _exchange(stream, req)
        except trio.TooSlowError as exc:
            stream.cancel()
            raise OutcomeOfRequestUnknown("deadline", "no answer before the deadline") from exc
        except (PeerUnavailable, ProtocolError) as exc:
            stream.cancel()
            raise OutcomeOfRequestUnknown("dispatcher-lost", str(exc)) from exc
        except BaseException:
            stream.cancel()
            raise
        return Response(head.status, head.headers, _answer_body(stream))

    async def _serve_peer(self, _conn: PeerConnection, stream: Stream, msg: Message) -> None:
        assert isinstance(msg, RequestHead)
        lease = self._memory.lease()
        try:
            await self._serve_forwarded(stream, msg, lease)
        finally:
            lease.close()

    async def _serve_forwarded(self, stream: Stream, msg: RequestHead, lease: BodyLease) -> None:
        body = _request_body(stream)
        req = Request(
            id=msg.id,
            service=msg.service,
            key=msg.key,
            method=msg.method,
            path=msg.path,
            headers=msg.headers,
            body=_leased(body, lease),
            deadline=msg.deadline,
            idempotency_key=msg.idempotency_key,
        )
        try:
            spec = self._directory.catalog.services.get(msg.service)
            if spec is None:
                raise NotOwner("unknown-service", "the dispatcher does not know the service yet")
            number = slice_of(msg.key, spec.slices) if spec.keyed else None
            group = GroupId(msg.service, msg.group)
            resp = await self._handle_here(req, group, number)
        except (NotRun, OutcomeOfRequestUnknown) as exc:
            lease.close()
            await stream.send(_failure_of(exc))
            # The peer reads the failure only after it has sent the whole body.
            async for _ in body:
                pass
            return
        await _send_answer(stream, resp)


class ReplayableBody:
    """A request body that can be read again if it is small.

    :param source: The body as it arrives.
    """

    def __init__(self, source: AsyncIterator[bytes]) -> None:
        self._source = source
        self._kept: list[bytes] = []
        self._size = 0

    @property
    def replayable(self) -> bool:
        """Whether :meth:`chunks` can begin again."""
        return self._size <= REPLAY_BYTES

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body from its start."""
        for chunk in list(self._kept):
            yield chunk
        async for chunk in self._source:
            self._size += len(chunk)
            if self.replayable:
                self._kept.append(chunk)
            else:
                self._kept.clear()
            yield chunk


def _head_of(req: Request, group: GroupId) -> RequestHead:
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
    )


def _failure_of(exc: NotRun | OutcomeOfRequestUnknown) -> Failure:
    outcome = "not-owner" if isinstance(exc, NotOwner) else exc.outcome
    retry_after = -1.0 if exc.retry_after is None else exc.retry_after
    return Failure(outcome, exc.reason, exc.detail, exc.status, retry_after)


def _error_of(msg: Failure) -> NotRun | OutcomeOfRequestUnknown:
    if msg.outcome == "unknown":
        return OutcomeOfRequestUnknown(msg.reason, msg.detail, status=msg.status)
    cls = NotOwner if msg.outcome == "not-owner" else NotRun
    retry_after = None if msg.retry_after < 0 else msg.retry_after
    return cls(msg.reason, msg.detail, status=msg.status, retry_after=retry_after)


async def _send_body(stream: Stream, body: AsyncIterator[bytes]) -> None:
    async for data in body:
        for start in range(0, len(data), CHUNK_BYTES):
            await stream.send(Chunk(data[start : start + CHUNK_BYTES]))
    await stream.send(End())


async def _send_answer(stream: Stream, resp: Response) -> None:
    await stream.send(ResponseHead(resp.status, resp.headers))
    try:
        await _send_body(stream, resp.body)
    except OutcomeOfRequestUnknown as exc:
        await stream.send(_failure_of(exc))
    finally:
        with trio.CancelScope(shield=True):
            await resp.body.aclose()


async def _request_body(stream: Stream) -> AsyncIterator[bytes]:
    while True:
        msg = await stream.receive()
        if isinstance(msg, End):
            return
        if not isinstance(msg, Chunk):
            raise ProtocolError(f"{type(msg).__name__} within a body")
        yield msg.data


async def _leased(body: AsyncIterator[bytes], lease: BodyLease) -> AsyncIterator[bytes]:
    async for data in body:
        lease.add(len(data))
        yield data


async def _exchange(stream: Stream, req: Request) -> ResponseHead:
    """Send a request and return the head of its answer."""
    await _send_body(stream, req.body)
    first = await stream.receive()
    if isinstance(first, Failure):
        raise _error_of(first)
    if not isinstance(first, ResponseHead):
        raise ProtocolError(f"expected an answer, not {type(first).__name__}")
    return first


async def _answer_body(stream: Stream) -> AsyncIterator[bytes]:
    try:
        while True:
            msg = await stream.receive()
            if isinstance(msg, End):
                stream.finish()
                return
            if isinstance(msg, Failure):
                raise _error_of(msg)
            if not isinstance(msg, Chunk):
                raise ProtocolError(f"{type(msg).__name__} within a body")
            yield msg.data
    except (PeerUnavailable, ProtocolError) as exc:
        raise OutcomeOfRequestUnknown("answer-cut", str(exc), status=502) from exc
    finally:
        stream.cancel()
