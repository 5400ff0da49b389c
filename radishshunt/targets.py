"""Client for the HTTP interface of one target."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import httpx
import trio

from radishshunt.clock import CLOCK_SKEW_BOUND_SECONDS, Clock, SystemClock
from radishshunt.connections import Connection, ConnectionPool, NoConnectionFree
from radishshunt.control import (
    ControlClient,
    FenceAnswer,
    GrantRejected,
    TargetUnreachable,
)
from radishshunt.errors import NotRun, OutcomeOfRequestUnknown
from radishshunt.target_responses import REQUEST_ID_HEADER, TargetResponseBody
from radishshunt.util.headers import HOP_BY_HOP_HEADERS

if TYPE_CHECKING:
    from collections.abc import Callable

    from radishshunt.model import Request, Response
    from radishshunt.ownership_state import Fence, Grant
    from radishshunt.release.catalog import TargetSpec

__all__ = ["Envelope", "GrantRejected", "TargetClient", "TargetUnreachable"]

CONNECT_TIMEOUT_SECONDS = 0.5
# While a request has no answer, the target is asked at this interval whether it still runs it.
STALL_CHECK_INTERVAL_SECONDS = 0.3
# Time allowed for an answer in transit after the target reported that the request has ended.
ANSWER_GRACE_SECONDS = 0.1
# A request is not sent if less time than this is left before its deadline.
SEND_MARGIN_SECONDS = 0.002


class _DeadlinePassed(Exception):
    """The deadline passed before the first byte was written."""


@dataclass(frozen=True, slots=True)
class Envelope:
    """Grant under which a request is sent, passed to the target in headers.

    :param slice: Slice of the key, ``None`` for services without keys.
    :param deadline: Earlier of the deadlines of the request and the grant, in seconds since the
        Unix epoch.
    """

    group: int
    slice: int | None
    epoch: int
    deadline: float


@dataclass(slots=True)
class _ExchangeProgress:
    """Progress of the exchange of a request and its answer.

    :param sent: Whether the first byte may have been written.
    :param delivery_over: Whether no further byte of the request can reach the target, because it
        has answered or closed the connection.
    :param answer_lost: Whether the target no longer runs the request but its answer did not arrive.
    """

    sent: bool = False
    delivery_over: bool = False
    answer_lost: bool = False


class TargetClient:
    """Sends requests to one target and owns the connections to it.

    :ivar control: Client for the target's control endpoints.
    :param local_address: Local IP address of the connections.
    :param spawn: Starts a background task; raises ``RuntimeError`` if none can be started any more.
    """

    def __init__(
        self,
        spec: TargetSpec,
        local_address: str | None = None,
        *,
        clock: Clock | None = None,
        spawn: Callable[..., None] | None = None,
    ) -> None:
        self.spec = spec
        self.pool = ConnectionPool(spec, local_address)
        self.control = ControlClient(spec, self.pool)
        self._clock = clock or SystemClock()
        self._spawn = spawn

    async def aclose(self) -> None:
        """Close all connections."""
        await self.pool.aclose()

    async def fence(self, service: str, group: int, command: Fence) -> FenceAnswer:
        """Fence the target; see :meth:`ControlClient.fence`."""
        return await self.control.fence(service, group, command)

    async def grant(self, service: str, group: int, command: Grant) -> None:
        """Grant slices to the target; see :meth:`ControlClient.grant`."""
        await self.control.grant(service, group, command)

    async def send(
        self, req: Request, body: bytes, envelope: Envelope, on_ended: Callable[[], None]
    ) -> Response:
        """Send a request and return the answer as soon as its head has been received.

        :param on_ended: Called once when it is certain that the target no longer runs the request.
        :raises NotRun: If the target did not run the request.
        :raises OutcomeOfRequestUnknown: If the request may have run.
        """
        try:
            conn = await self.pool.acquire()
        except NoConnectionFree as exc:
            on_ended()
            raise NotRun("connect-failed", str(exc)) from exc
        except BaseException:
            on_ended()
            raise
        progress = _ExchangeProgress()
        try:
            resp = await self._exchange(conn, req, body, envelope, progress)
        except BaseException as exc:
            if progress.answer_lost:
                await self.pool.close_idle()
            await self._abandon(conn, req.id, envelope.deadline, progress, on_ended)
            error = self._request_error(exc, progress)
            if error is None:
                raise
            raise error from exc
        return await self._check_answer(conn, req, resp, envelope, on_ended)

    async def _exchange(
        self,
        conn: Connection,
        req: Request,
        body: bytes,
        envelope: Envelope,
        progress: _ExchangeProgress,
    ) -> httpx.Response:
        left = envelope.deadline - self._clock.now()
        if left <= SEND_MARGIN_SECONDS:
            raise _DeadlinePassed

        def before_send() -> None:
            if self._clock.now() + SEND_MARGIN_SECONDS >= envelope.deadline:
                raise _DeadlinePassed
            progress.sent = True

        resp: httpx.Response | None = None
        failure: Exception | None = None
        with trio.fail_after(left):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._detect_lost_answer, req.id, progress, nursery.cancel_scope)
                try:
                    resp = await conn.transport.request(
                        req.method,
                        req.path.encode("latin-1"),
                        _headers(req, self.spec.address, envelope, body),
                        body,
                        seconds=left,
                        connect_seconds=min(CONNECT_TIMEOUT_SECONDS, left),
                        before_send=before_send,
                    )
                except (httpx.HTTPError, _DeadlinePassed) as exc:
                    failure = exc
                    progress.delivery_over = not isinstance(exc, httpx.TimeoutException)
                nursery.cancel_scope.cancel()
        if resp is None:
            raise failure or httpx.ReadError("the connection delivers no data")
        return resp

    async def _detect_lost_answer(
        self, request_id: str, progress: _ExchangeProgress, scope: trio.CancelScope
    ) -> None:
        """Cancel an exchange whose answer was lost because its connection is silent.

        The target is asked on a new connection whether it still runs the request, so that a
        long-running request on a working connection is not interrupted.
        """
        while True:
            await trio.sleep(STALL_CHECK_INTERVAL_SECONDS)
            if progress.sent and await self.control.is_running(request_id) is False:
                await trio.sleep(ANSWER_GRACE_SECONDS)
                progress.answer_lost = True
                scope.cancel()
                return

    def _request_error(
        self, exc: BaseException, progress: _ExchangeProgress
    ) -> NotRun | OutcomeOfRequestUnknown | None:
        name = self.spec.name
        if isinstance(exc, (httpx.LocalProtocolError, UnicodeError)):
            # Raised while the request head is serialized, before anything is written.
            return NotRun("invalid-request", f"the request is not valid HTTP: {exc}", status=400)
        if isinstance(exc, _DeadlinePassed):
            return NotRun("deadline", "the deadline passed before sending", status=504)
        if not isinstance(exc, (httpx.HTTPError, trio.TooSlowError)):
            return None
        if not progress.sent:
            return NotRun("connect-failed", f"cannot connect to target {name}: {exc!r}")
        if progress.answer_lost:
            return OutcomeOfRequestUnknown(
                "connection-silent", f"the connection to target {name} stopped delivering data"
            )
        if isinstance(exc, (trio.TooSlowError, httpx.TimeoutException)):
            return OutcomeOfRequestUnknown("no-answer", f"target {name} did not answer in time")
        return OutcomeOfRequestUnknown(
            "connection-broke", f"the connection to target {name} failed: {exc!r}", status=502
        )

    async def _abandon(
        self,
        conn: Connection,
        request_id: str,
        deadline: float,
        progress: _ExchangeProgress,
        on_ended: Callable[[], None],
    ) -> None:
        """Close the connection of an incomplete exchange and cancel its request if it was sent."""
        try:
            await self.pool.discard(conn)
        finally:
            if progress.sent:
                self._start_cancel(request_id, deadline, progress.delivery_over, on_ended)
            else:
                on_ended()

    def _start_cancel(
        self, request_id: str, deadline: float, delivery_over: bool, on_ended: Callable[[], None]
    ) -> None:
        try:
            if self._spawn is None:
                raise RuntimeError("no background tasks")
            self._spawn(self._cancel, request_id, deadline, delivery_over, on_ended)
        except RuntimeError:
            on_ended()

    async def _cancel(
        self, request_id: str, deadline: float, delivery_over: bool, on_ended: Callable[[], None]
    ) -> None:
        """Cancel a request at the target and wait until it is certain that it has ended there.

        Status 204 means that the request was running and has been cancelled, 404 that it is not
        running. Unless the target guarantees that it will not run later, a request that is still in
        transit may arrive until its deadline, which the target enforces itself.
        """
        try:
            status, will_not_run = await self.control.cancel(request_id)
            ended = status == 204 or (status == 404 and (delivery_over or will_not_run))
        except (httpx.HTTPError, NoConnectionFree):
            ended = False
        try:
            if not ended:
                await self._clock.sleep_until(deadline + CLOCK_SKEW_BOUND_SECONDS)
        finally:
            on_ended()

    async def _check_answer(
        self,
        conn: Connection,
        req: Request,
        resp: httpx.Response,
        envelope: Envelope,
        on_ended: Callable[[], None],
    ) -> Response:
        """Return the answer if its head is valid; its body then releases the connection.

        :raises NotRun: If the target did not run the request.
        :raises OutcomeOfRequestUnknown: If the answer cannot be used.
        """

        async def finish(complete: bool) -> None:
            if complete:
                on_ended()
                await self.pool.release(conn)
            else:
                progress = _ExchangeProgress(sent=True, delivery_over=True)
                await self._abandon(conn, req.id, envelope.deadline, progress, on_ended)

        body = TargetResponseBody(self.spec.name, resp, finish)
        try:
            body.check_head(req)
        except NotRun:
            await body.drain()
            raise
        except BaseException:
            await body.aclose()
            raise
        return body.to_response()


def _headers(
    req: Request, address: str, envelope: Envelope, body: bytes
) -> list[tuple[bytes, bytes]]:
    headers = [("host", address)]
    headers += [(n, v) for n, v in req.headers if n not in HOP_BY_HOP_HEADERS]
    if body or req.method in ("POST", "PUT", "PATCH"):
        headers.append(("content-length", str(len(body))))
    headers += [
        (REQUEST_ID_HEADER, req.id),
        ("radishshunt-service", req.service),
        ("radishshunt-key", req.key),
        ("radishshunt-group", str(envelope.group)),
        ("radishshunt-epoch", str(envelope.epoch)),
        ("radishshunt-deadline", f"{envelope.deadline:.6f}"),
    ]
    if envelope.slice is not None:
        headers.append(("radishshunt-slice", str(envelope.slice)))
    if req.idempotency_key:
        headers.append(("idempotency-key", req.idempotency_key))
    # Latin-1 and not ASCII, because field values may contain any byte (RFC 9110, section 5.5).
    return [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers]
