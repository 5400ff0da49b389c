"""Client of one target's HTTP interface."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import httpx
import trio

from radishshunt.answers import REQUEST_ID_HEADER, TargetAnswer
from radishshunt.clock import CLOCK_SKEW_BOUND, Clock, SystemClock
from radishshunt.connections import Connection, ConnectionPool, NoConnectionFree
from radishshunt.control import (
    ControlClient,
    FenceAnswer,
    GrantRejected,
    TargetUnreachable,
)
from radishshunt.errors import NotRun, OutcomeOfRequestUnknown
from radishshunt.util.headers import HOP_HEADERS

if TYPE_CHECKING:
    from collections.abc import Callable

    from radishshunt.model import Request, Response
    from radishshunt.ownership_state import Fence, Grant
    from radishshunt.release.catalog import TargetSpec

__all__ = ["Envelope", "GrantRejected", "TargetClient", "TargetUnreachable"]

CONNECT_TIMEOUT_SECONDS = 0.5
# A request without an answer for this long makes the client ask the target about it.
STALL_SECONDS = 0.3
# Time for an answer that was under way while the target said that the request no longer runs.
ANSWER_GRACE_SECONDS = 0.1
# A request is not sent if less than this is left of its time.
SEND_MARGIN_SECONDS = 0.002


class _TooLate(Exception):
    """The deadline passed before the first byte was written."""


@dataclass(frozen=True, slots=True)
class Envelope:
    """Grant that a request is sent under.

    :param slice: Slice of the key, ``None`` for services without keys.
    :param deadline: End of the request's and the grant's time, seconds since the Unix epoch.
    """

    group: int
    slice: int | None
    epoch: int
    deadline: float


@dataclass(slots=True)
class _Progress:
    """How far an exchange has come.

    :param sent: Whether the first byte may have been written.
    :param arrived: Whether nothing of the request can reach the target later, because it has
        answered or has closed the connection.
    :param silent: Whether the target no longer runs the request and no answer has come.
    """

    sent: bool = False
    arrived: bool = False
    silent: bool = False


class TargetClient:
    """Owns the connections to one target.

    :ivar control: Client of the target's control endpoints.
    :param local_address: IP number that connections come from.
    :param spawn: Starts a background task, or raises ``RuntimeError`` if that is over.
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
        """Send a request and return the answer as soon as its head is here.

        :param on_ended: Called once when the target has surely ended the request.
        :raises NotRun: If the target did not run the request.
        :raises OutcomeOfRequestUnknown: If it may have run.
        """
        try:
            conn = await self.pool.take()
        except NoConnectionFree as exc:
            on_ended()
            raise NotRun("connect-failed", str(exc)) from exc
        except BaseException:
            on_ended()
            raise
        progress = _Progress()
        try:
            resp = await self._exchange(conn, req, body, envelope, progress)
        except BaseException as exc:
            if progress.silent:
                await self.pool.renew()
            await self._abandon(conn, req.id, envelope.deadline, progress, on_ended)
            error = self._error_of(exc, progress)
            if error is None:
                raise
            raise error from exc
        return await self._check_answer(conn, req, resp, envelope, on_ended)

    async def _exchange(
        self, conn: Connection, req: Request, body: bytes, envelope: Envelope, progress: _Progress
    ) -> httpx.Response:
        left = envelope.deadline - self._clock.now()
        if left <= SEND_MARGIN_SECONDS:
            raise _TooLate

        def before_send() -> None:
            if self._clock.now() + SEND_MARGIN_SECONDS >= envelope.deadline:
                raise _TooLate
            progress.sent = True

        resp: httpx.Response | None = None
        failure: Exception | None = None
        with trio.fail_after(left):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch, req.id, progress, nursery.cancel_scope)
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
                except (httpx.HTTPError, _TooLate) as exc:
                    failure = exc
                    progress.arrived = not isinstance(exc, httpx.TimeoutException)
                nursery.cancel_scope.cancel()
        if resp is None:
            raise failure or httpx.ReadError("the connection is silent")
        return resp

    async def _watch(self, request_id: str, progress: _Progress, scope: trio.CancelScope) -> None:
        """Cancel an exchange whose connection has gone silent.

        The target says on a new connection whether it still runs the request; a long-running
        request on a working connection is left alone.
        """
        while True:
            await trio.sleep(STALL_SECONDS)
            if progress.sent and await self.control.runs(request_id) is False:
                await trio.sleep(ANSWER_GRACE_SECONDS)
                progress.silent = True
                scope.cancel()
                return

    def _error_of(
        self, exc: BaseException, progress: _Progress
    ) -> NotRun | OutcomeOfRequestUnknown | None:
        name = self.spec.name
        if isinstance(exc, (httpx.LocalProtocolError, UnicodeError)):
            # Raised while the head is put together, before anything is written.
            return NotRun("invalid-request", f"the request is no valid HTTP: {exc}", status=400)
        if isinstance(exc, _TooLate):
            return NotRun("deadline", "the deadline passed before sending", status=504)
        if not isinstance(exc, (httpx.HTTPError, trio.TooSlowError)):
            return None
        if not progress.sent:
            return NotRun("connect-failed", f"target {name}: {exc!r}")
        if progress.silent:
            return OutcomeOfRequestUnknown(
                "connection-silent", f"a connection to target {name} went silent"
            )
        if isinstance(exc, (trio.TooSlowError, httpx.TimeoutException)):
            return OutcomeOfRequestUnknown("no-answer", f"target {name} gave no answer in time")
        return OutcomeOfRequestUnknown(
            "connection-broke", f"target {name} broke the connection: {exc!r}", status=502
        )

    async def _abandon(
        self,
        conn: Connection,
        request_id: str,
        deadline: float,
        progress: _Progress,
        on_ended: Callable[[], None],
    ) -> None:
        try:
            await self.pool.drop(conn)
        finally:
            if progress.sent:
                self._start_ending(request_id, deadline, progress.arrived, on_ended)
            else:
                on_ended()

    def _start_ending(
        self, request_id: str, deadline: float, arrived: bool, on_ended: Callable[[], None]
    ) -> None:
        try:
            if self._spawn is None:
                raise RuntimeError("no background tasks")
            self._spawn(self._end, request_id, deadline, arrived, on_ended)
        except RuntimeError:
            on_ended()

    async def _end(
        self, request_id: str, deadline: float, arrived: bool, on_ended: Callable[[], None]
    ) -> None:
        """Cancel a request at the target and wait until it has surely ended there.

        Status 204 means that it ran and was cancelled, 404 that it does not run. After any other
        result it may still arrive or run until its deadline, which the target checks itself.
        """
        try:
            status = await self.control.cancel(request_id)
            ended = status == 204 or (arrived and status == 404)
        except (httpx.HTTPError, NoConnectionFree):
            ended = False
        try:
            if not ended:
                await self._clock.sleep_until(deadline + CLOCK_SKEW_BOUND)
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
        async def finish(whole: bool) -> None:
            if whole:
                on_ended()
                await self.pool.give_back(conn)
            else:
                progress = _Progress(sent=True, arrived=True)
                await self._abandon(conn, req.id, envelope.deadline, progress, on_ended)

        answer = TargetAnswer(self.spec.name, resp, finish)
        try:
            answer.check(req)
        except NotRun:
            await answer.drain()
            raise
        except BaseException:
            await answer.aclose()
            raise
        return answer.response()


def _headers(
    req: Request, address: str, envelope: Envelope, body: bytes
) -> list[tuple[bytes, bytes]]:
    headers = [("host", address)]
    headers += [(n, v) for n, v in req.headers if n not in HOP_HEADERS]
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
    # Not ASCII, since values may hold any byte (RFC 9110, section 5.5).
    return [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers]
