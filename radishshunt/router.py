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
    RequestError,
)
from radishshunt.forwarding import (
    ForwardedAnswer,
    ReplayableBody,
    RequestSender,
    failure_of,
    head_of,
    leased,
    request_body,
    send_answer,
)
from radishshunt.hashing import key_hash, preferred, slice_of
from radishshunt.logs import decision
from radishshunt.model import GroupId, Request, Response
from radishshunt.policy.budgets import RETRY_RATIO, TokenBudget
from radishshunt.wire.messages import RequestHead

if TYPE_CHECKING:
    from radishshunt.clock import Clock
    from radishshunt.directory import Directory, Location
    from radishshunt.dispatch.manager import DispatchManager
    from radishshunt.memory import BodyLease, BodyMemory
    from radishshunt.metrics import Metrics
    from radishshunt.peers import PeerNetwork
    from radishshunt.wire.connection import PeerConnection, Stream
    from radishshunt.wire.messages import Message

RETRY_PAUSE_SECONDS = 0.05
# Time for an answer that came right before its deadline.
MIN_ANSWER_SECONDS = 0.5
_LOST = "dispatcher-lost"
_UNREACHABLE = "peer-unavailable"
# Refusals of this host, which say nothing about earlier attempts.
_REFUSED_HERE = frozenset({_UNREACHABLE, "no-dispatcher", "group-changed", "deadline"})


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
        self._budget = TokenBudget(RETRY_RATIO)
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
        self._budget.earn()
        body = ReplayableBody(req.body)
        attempted: OutcomeOfRequestUnknown | None = None
        location: Location | None = None
        while True:
            try:
                location = await self._locate(req, location)
                # What became of a request whose body is not kept can still be asked.
                req.query = attempted is not None and not body.replayable
                req.body = body.start() if req.query else body.chunks()
                return await self._send(req, location)
            except NotRun as exc:
                refused_here = isinstance(exc, NotOwner) or exc.reason in _REFUSED_HERE
                if not refused_here and not req.idempotent:
                    # The dispatcher has looked up its records: this holds for all attempts.
                    raise
                again = isinstance(exc, NotOwner) or exc.reason == _UNREACHABLE
                if not again or not (body.replayable or req.query) or self._too_late(req):
                    raise _combined(attempted, exc) from exc
            except OutcomeOfRequestUnknown as exc:
                if exc.reason != _LOST or self._too_late(req):
                    raise
                if req.idempotent and not (body.replayable and self._budget.spend()):
                    raise
                attempted = exc
                decision(
                    "retry", service=req.service, key_hash=key_hash(req.key), reason=exc.reason
                )
            await trio.sleep(RETRY_PAUSE_SECONDS)

    async def _locate(self, req: Request, former: Location | None) -> Location:
        """Return where a request goes.

        :param former: Where it went before; a non-idempotent one stays in its group, because only
            that group's dispatchers have its record.
        """
        while True:
            if self._directory.catalog.services[req.service].keyed:
                location = self._directory.locate(req.service, req.key)
            else:
                location = self._pick_group(req, former)
            if location is not None:
                moved = former is not None and former.group != location.group
                if moved and not req.idempotent:
                    raise NotRun("group-changed", "the key has moved to another group")
                return location
            if self._too_late(req):
                raise NotRun("no-dispatcher", "no host dispatches the key yet", retry_after=1.0)
            await trio.sleep(RETRY_PAUSE_SECONDS)

    def _pick_group(self, req: Request, former: Location | None) -> Location | None:
        groups = {location.group: location for location in self._directory.candidates(req.service)}
        if not req.idempotent and former is not None:
            return groups.get(former.group)
        if not req.idempotent and req.idempotency_key:
            # A repetition has to meet the record of the first attempt, at whatever host it enters.
            names = self._directory.groups_of(req.service)
            return groups.get(preferred(names, req.idempotency_key)) if names else None
        pair = self._random.sample(list(groups.values()), min(2, len(groups)))
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
            stream = await conn.open_stream(head_of(req, location.group))
        except PeerUnavailable as exc:
            raise NotRun(_UNREACHABLE, str(exc), retry_after=1.0) from exc
        sender = RequestSender(stream, req.body)
        try:
            with trio.fail_after(max(0.0, req.deadline - self._clock.now())):
                head = await sender.exchange()
        except trio.TooSlowError as exc:
            stream.cancel()
            if not sender.complete:
                raise NotRun("deadline", "the deadline passed while sending", status=504) from exc
            raise OutcomeOfRequestUnknown("deadline", "no answer before the deadline") from exc
        except (PeerUnavailable, ProtocolError) as exc:
            stream.cancel()
            if not sender.complete:
                raise NotRun(_UNREACHABLE, str(exc), retry_after=1.0) from exc
            raise OutcomeOfRequestUnknown(_LOST, str(exc)) from exc
        except RequestError:
            stream.finish()
            raise
        except BaseException:
            stream.cancel()
            raise
        return Response(head.status, head.headers, ForwardedAnswer(stream))

    async def _serve_peer(self, _conn: PeerConnection, stream: Stream, msg: Message) -> None:
        assert isinstance(msg, RequestHead)
        lease = self._memory.lease()
        try:
            await self._serve_forwarded(stream, msg, lease)
        finally:
            lease.close()

    async def _serve_forwarded(self, stream: Stream, msg: RequestHead, lease: BodyLease) -> None:
        req = Request(
            id=msg.id,
            service=msg.service,
            key=msg.key,
            method=msg.method,
            path=msg.path,
            headers=msg.headers,
            body=leased(request_body(stream), lease),
            deadline=msg.deadline,
            idempotency_key=msg.idempotency_key,
            query=msg.query,
        )
        try:
            spec = self._directory.catalog.services.get(msg.service)
            if spec is None:
                raise NotOwner("unknown-service", "the dispatcher does not know the service yet")
            number = slice_of(msg.key, spec.slices) if spec.keyed else None
            group = GroupId(msg.service, msg.group)
            resp = await self._handle_here(req, group, number)
        except RequestError as exc:
            lease.close()
            await stream.send(failure_of(exc))
            return
        await send_answer(stream, resp, max(MIN_ANSWER_SECONDS, req.deadline - self._clock.now()))


def _combined(attempted: OutcomeOfRequestUnknown | None, refusal: NotRun) -> RequestError:
    """Return the error for a request whose last attempt did not run.

    :param attempted: How an earlier attempt that may have run has ended, if there was one.
    """
    if attempted is None:
        return refusal
    return OutcomeOfRequestUnknown(
        attempted.reason, f"{attempted.detail}; then: {refusal.detail}", status=attempted.status
    )
