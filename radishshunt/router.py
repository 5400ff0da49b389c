"""Routing of requests to the dispatcher of their group, on this host or on a peer."""

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
    ForwardedResponseBody,
    ReplayableBody,
    RequestSender,
    failure_from_error,
    request_body,
    request_head_message,
    send_response,
    with_reserved_memory,
)
from radishshunt.hashing import key_hash, rendezvous_group, slice_of
from radishshunt.logs import decision
from radishshunt.model import GroupId, Request, Response
from radishshunt.policy.budgets import RETRY_RATIO, TokenBudget
from radishshunt.wire.messages import RequestHead

if TYPE_CHECKING:
    from radishshunt.body_memory import BodyMemory, BodyReservation
    from radishshunt.clock import Clock
    from radishshunt.directory import Directory, Location
    from radishshunt.dispatch.manager import DispatchManager
    from radishshunt.metrics import Metrics
    from radishshunt.peers import PeerNetwork
    from radishshunt.wire.connection import PeerConnection, Stream
    from radishshunt.wire.messages import Message

RETRY_PAUSE_SECONDS = 0.05
# Minimum time for forwarding a response, so that a response that arrives just before the deadline
# is not truncated.
MIN_RESPONSE_SECONDS = 0.5
_DISPATCHER_LOST = "dispatcher-lost"
_PEER_UNAVAILABLE = "peer-unavailable"
# Reasons of refusals by this host itself. Such a refusal says nothing about earlier attempts,
# because no dispatcher has looked up its request records.
_LOCAL_REFUSAL_REASONS = frozenset(
    {_PEER_UNAVAILABLE, "no-dispatcher", "group-changed", "deadline"}
)


class Router:
    """Routes requests of this host's callers and serves requests that peers forward."""

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
        network.register(RequestHead, self._on_request_head)

    async def route(self, req: Request) -> Response:
        """Send a caller's request to its dispatcher and return the answer.

        Retries when no attempt has run, when the request is idempotent, or when the dispatcher can
        look up what became of an earlier attempt.

        :raises NotRun: If the request did not run.
        :raises OutcomeOfRequestUnknown: If the request may have run.
        """
        if req.service not in self._directory.catalog.services:
            raise NotRun("unknown-service", f"there is no service {req.service}", status=404)
        if self._directory.catalog.services[req.service].keyed and not req.key:
            raise NotRun("no-key", f"service {req.service} needs a key", status=400)
        self._budget.earn()
        body = ReplayableBody(req.body)
        unknown_attempt: OutcomeOfRequestUnknown | None = None
        location: Location | None = None
        while True:
            try:
                location = await self._locate(req, location)
                # A body that was not kept cannot be sent again, but the dispatcher can still look
                # up what became of the request.
                req.lookup_only = unknown_attempt is not None and not body.replayable
                req.body = body.buffered_start() if req.lookup_only else body.chunks()
                return await self._send(req, location)
            except NotRun as exc:
                records_unchecked = (
                    isinstance(exc, NotOwner) or exc.reason in _LOCAL_REFUSAL_REASONS
                )
                if not records_unchecked and not req.idempotent:
                    # The dispatcher has checked its records, so no earlier attempt has run either.
                    raise
                retryable = isinstance(exc, NotOwner) or exc.reason == _PEER_UNAVAILABLE
                if (
                    not retryable
                    or not (body.replayable or req.lookup_only)
                    or self._no_time_to_retry(req)
                ):
                    raise _merge_errors(unknown_attempt, exc) from exc
            except OutcomeOfRequestUnknown as exc:
                if exc.reason != _DISPATCHER_LOST or self._no_time_to_retry(req):
                    raise
                if req.idempotent and not (body.replayable and self._budget.spend()):
                    raise
                unknown_attempt = exc
                decision(
                    "retry", service=req.service, key_hash=key_hash(req.key), reason=exc.reason
                )
            await trio.sleep(RETRY_PAUSE_SECONDS)

    async def _locate(self, req: Request, previous: Location | None) -> Location:
        """Return the group and dispatcher for a request, waiting until a dispatcher is known.

        :param previous: Location of the previous attempt. A non-idempotent request stays in that
            group, because only its dispatchers have the request's record.
        :raises NotRun: If no dispatcher is known in time, or if the key of a non-idempotent request
            has moved to another group.
        """
        while True:
            if self._directory.catalog.services[req.service].keyed:
                location = self._directory.locate(req.service, req.key)
            else:
                location = self._pick_group(req, previous)
            if location is not None:
                moved = previous is not None and previous.group != location.group
                if moved and not req.idempotent:
                    raise NotRun("group-changed", "the key has moved to another group")
                return location
            if self._no_time_to_retry(req):
                raise NotRun(
                    "no-dispatcher", "no dispatcher is known for the request yet", retry_after=1.0
                )
            await trio.sleep(RETRY_PAUSE_SECONDS)

    def _pick_group(self, req: Request, previous: Location | None) -> Location | None:
        """Return the location for a request to a service without keys.

        Retries of a non-idempotent request stay in one group; any other request goes to the less
        loaded of two random groups.
        """
        groups = {
            location.group: location for location in self._directory.unkeyed_locations(req.service)
        }
        if not req.idempotent and previous is not None:
            return groups.get(previous.group)
        if not req.idempotent and req.idempotency_key:
            # A caller's retry has to reach the group that has the first attempt's record, even if
            # another host receives it.
            known = self._directory.groups_of(req.service)
            return groups.get(rendezvous_group(known, req.idempotency_key)) if known else None
        sample = self._random.sample(list(groups.values()), min(2, len(groups)))
        return min(sample, key=lambda location: location.dispatcher.load, default=None)

    def _no_time_to_retry(self, req: Request) -> bool:
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
            return await self._dispatch_locally(req, location.group, location.slice)
        self._metrics.forwarded.labels(req.service).inc()
        return await self._forward(req, location)

    async def _dispatch_locally(
        self, req: Request, group: GroupId, slice_number: int | None
    ) -> Response:
        dispatcher = self._dispatch.groups.get(group)
        if dispatcher is None:
            raise NotOwner("not-dispatcher", f"this host does not dispatch {group}")
        return await dispatcher.handle(req, slice_number)

    async def _forward(self, req: Request, location: Location) -> Response:
        try:
            conn = await self._network.connection(location.dispatcher.host)
            stream = await conn.open_stream(request_head_message(req, location.group))
        except PeerUnavailable as exc:
            raise NotRun(_PEER_UNAVAILABLE, str(exc), retry_after=1.0) from exc
        sender = RequestSender(stream, req.body)
        try:
            with trio.fail_after(max(0.0, req.deadline - self._clock.now())):
                head = await sender.send_and_receive_head()
        except trio.TooSlowError as exc:
            stream.cancel()
            if not sender.body_sent:
                raise NotRun("deadline", "the deadline passed while sending", status=504) from exc
            raise OutcomeOfRequestUnknown("deadline", "no answer before the deadline") from exc
        except (PeerUnavailable, ProtocolError) as exc:
            stream.cancel()
            if not sender.body_sent:
                raise NotRun(_PEER_UNAVAILABLE, str(exc), retry_after=1.0) from exc
            raise OutcomeOfRequestUnknown(_DISPATCHER_LOST, str(exc)) from exc
        except RequestError:
            stream.finish()
            raise
        except BaseException:
            stream.cancel()
            raise
        return Response(head.status, head.headers, ForwardedResponseBody(stream))

    async def _on_request_head(self, _conn: PeerConnection, stream: Stream, msg: Message) -> None:
        assert isinstance(msg, RequestHead)
        reservation = self._memory.reserve()
        try:
            await self._serve_forwarded(stream, msg, reservation)
        finally:
            reservation.close()

    async def _serve_forwarded(
        self, stream: Stream, msg: RequestHead, reservation: BodyReservation
    ) -> None:
        req = Request(
            id=msg.id,
            service=msg.service,
            key=msg.key,
            method=msg.method,
            path=msg.path,
            headers=msg.headers,
            body=with_reserved_memory(request_body(stream), reservation),
            deadline=msg.deadline,
            idempotency_key=msg.idempotency_key,
            lookup_only=msg.query,
        )
        try:
            spec = self._directory.catalog.services.get(msg.service)
            if spec is None:
                raise NotOwner("unknown-service", "the dispatcher does not know the service yet")
            number = slice_of(msg.key, spec.slices) if spec.keyed else None
            group = GroupId(msg.service, msg.group)
            resp = await self._dispatch_locally(req, group, number)
        except RequestError as exc:
            reservation.close()
            await stream.send(failure_from_error(exc))
            return
        await send_response(
            stream, resp, max(MIN_RESPONSE_SECONDS, req.deadline - self._clock.now())
        )


def _merge_errors(unknown_attempt: OutcomeOfRequestUnknown | None, refusal: NotRun) -> RequestError:
    """Return the error for a request whose last attempt did not run.

    :param unknown_attempt: Error of an earlier attempt that may have run, or ``None``.
    :param refusal: Error of the last attempt.
    """
    if unknown_attempt is None:
        return refusal
    return OutcomeOfRequestUnknown(
        unknown_attempt.reason,
        f"{unknown_attempt.detail}; then: {refusal.detail}",
        status=unknown_attempt.status,
    )
