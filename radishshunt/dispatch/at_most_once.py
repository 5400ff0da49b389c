"""Runs each non-idempotent request of a group at most once."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import trio

from radishshunt.errors import (
    NotOwner,
    NotRun,
    OutcomeOfRequestUnknown,
    RanWithoutResponse,
    RequestError,
)
from radishshunt.hashing import fingerprint
from radishshunt.intents import (
    ANSWERED,
    MAX_ANSWER_BYTES,
    NOT_RUN,
    QUEUED,
    RAN,
    SENT,
    UNKNOWN,
    recorded_answer,
)
from radishshunt.model import Response
from radishshunt.wire.messages import Intent

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from radishshunt.clock import Clock
    from radishshunt.dispatch.replication import PendingRecord, Replicator
    from radishshunt.intent_log import IntentLog
    from radishshunt.intents import RecordHorizon
    from radishshunt.model import GroupId, Request

    SendRequest = Callable[[Request, bytes, Callable[[], Awaitable[None]]], Awaitable[Response]]

logger = logging.getLogger(__name__)

# A request without an idempotency key that no host waits for is cancelled after this time. An entry
# host whose connection broke asks for the request again within this time.
ABANDONED_REQUEST_SECONDS = 1.0
# Time to wait after the end of a request's grant for a former dispatcher to report its outcome.
OUTCOME_REPORT_SECONDS = 0.3


@dataclass(slots=True)
class _Execution:
    """A request that is being run by this host.

    :ivar pending_record: Record being replicated to the standby dispatcher; set once the request
        has a slot.
    :ivar ready: Set when there is a recorded answer, an error or a stream.
    :ivar done: Set when the outcome is recorded.
    :ivar stream: Answer that is too large to record; only one waiter can take it.
    :ivar waiters: Number of callers that wait for the answer.
    """

    record: Intent
    pending_record: PendingRecord | None = None
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    ready: trio.Event = field(default_factory=trio.Event)
    done: trio.Event = field(default_factory=trio.Event)
    stream: Response | None = None
    error: RequestError | None = None
    waiters: int = 0


class AtMostOnceRunner:
    """Runs the non-idempotent requests of one group and records their outcomes.

    :param spawn: Starts a task that may outlive the caller's task.
    :param grant_seconds: Returns the length of a grant, which bounds how long a request runs.
    """

    def __init__(
        self,
        group: GroupId,
        log: IntentLog,
        replicator: Replicator,
        horizon: RecordHorizon,
        clock: Clock,
        spawn: Callable[..., None],
        grant_seconds: Callable[[], float],
    ) -> None:
        self._group = group
        self._log = log
        self._replicator = replicator
        self._horizon = horizon
        self._clock = clock
        self._spawn = spawn
        self._grant_seconds = grant_seconds
        self._executions: dict[str, _Execution] = {}

    async def handle(
        self, req: Request, body: bytes, slice_number: int | None, send: SendRequest
    ) -> Response:
        """Run a request, or answer it from its record.

        :param send: Runs the request; awaits its last argument before the first byte is sent.
        :raises RequestError: If there is no answer. ``not-run`` means that no earlier attempt ran
            either.
        """
        request_fingerprint = fingerprint(req.service, req.method, req.path, req.key, body)
        while True:
            execution = self._executions.get(req.record_key)
            started_here = execution is None
            if execution is None:
                record = await self._find_earlier_record(req, request_fingerprint)
                if req.record_key in self._executions:
                    continue
                if record is not None:
                    return recorded_answer(record)
                execution = self._start_execution(
                    req, body, request_fingerprint, slice_number, send
                )
            elif execution.record.fingerprint != request_fingerprint:
                raise _key_reused_error()
            try:
                return await self._wait_for_answer(execution, req)
            except NotOwner:
                raise
            except NotRun:
                # The execution that this request waited for did not run, so it can be started anew.
                if started_here:
                    raise

    async def _find_earlier_record(self, req: Request, request_fingerprint: int) -> Intent | None:
        """Return the record of an earlier attempt.

        While that attempt may still run under another dispatcher, wait for its outcome.
        """
        while True:
            now = self._clock.now()
            record = self._log.store.get(req.service, req.record_key, now)
            if record is None:
                return None
            if record.fingerprint != request_fingerprint:
                raise _key_reused_error()
            ends_at = record.created_at + self._grant_seconds() + OUTCOME_REPORT_SECONDS
            remaining = min(ends_at, req.deadline) - now
            if record.state != SENT or remaining <= 0:
                return record
            with trio.move_on_after(remaining):
                await self._log.wait_changed()

    def _start_execution(
        self,
        req: Request,
        body: bytes,
        request_fingerprint: int,
        slice_number: int | None,
        send: SendRequest,
    ) -> _Execution:
        now = self._clock.now()
        self._horizon.check_never_sent(
            slice_number, req.record_key, now, from_caller=bool(req.idempotency_key)
        )
        if req.lookup_only:
            raise NotRun("not-sent", "the request was never sent to a target")
        self._replicator.check_available()
        record = Intent(
            service=req.service,
            group=self._group.group,
            generation=self._replicator.generation,
            idempotency_key=req.record_key,
            fingerprint=request_fingerprint,
            created_at=now,
            state=QUEUED,
        )
        self._log.store.add(record, now)
        execution = self._executions[req.record_key] = _Execution(record)
        try:
            self._spawn(self._execute, execution, req, body, send)
        except RuntimeError:
            del self._executions[req.record_key]
            self._log.record_outcome(replace(record, state=NOT_RUN))
            raise NotOwner("not-dispatcher", "this host no longer dispatches the group") from None
        return execution

    async def _execute(
        self, execution: _Execution, req: Request, body: bytes, send: SendRequest
    ) -> None:
        sent = False

        async def before_send() -> None:
            nonlocal sent
            # The record is replicated only once the request has a slot: if the dispatcher is lost,
            # queued requests have no record elsewhere, so the next dispatcher can run them.
            if execution.record.state == QUEUED:
                execution.record = replace(execution.record, state=SENT)
                self._log.store.add(execution.record, self._clock.now())
                execution.pending_record = self._replicator.submit(execution.record)
            pending_record = execution.pending_record
            assert pending_record is not None
            await self._replicator.wait(pending_record, req.deadline)
            sent = True

        state = UNKNOWN
        try:
            with execution.scope:
                try:
                    resp = await send(req, body, before_send)
                    await self._record_answer(execution, resp, req.deadline)
                    state = execution.record.state
                except NotRun as exc:
                    state, execution.error = NOT_RUN, exc
                except RequestError as exc:
                    execution.error = exc
                except Exception as exc:
                    logger.exception("running a request of group %s failed", self._group)
                    execution.error = OutcomeOfRequestUnknown("internal", repr(exc), status=500)
        finally:
            if execution.record.state in (QUEUED, SENT):
                if execution.error is None:
                    # Cancelled. Nothing is sent before the standby dispatcher has the record.
                    state = UNKNOWN if sent else NOT_RUN
                    execution.error = _cancellation_error(sent)
                self._record_outcome(execution, replace(execution.record, state=state))
            del self._executions[req.record_key]
            execution.ready.set()
            execution.done.set()

    async def _record_answer(self, execution: _Execution, resp: Response, deadline: float) -> None:
        """Read an answer and record it; stream one that is too large to a waiter."""
        chunks: list[bytes] = []
        size = 0
        try:
            async for chunk in resp.body:
                chunks.append(chunk)
                size += len(chunk)
                if size > MAX_ANSWER_BYTES:
                    await self._stream_answer(execution, resp, chunks, deadline)
                    return
        finally:
            with trio.CancelScope(shield=True):
                await resp.body.aclose()
        self._record_outcome(
            execution,
            replace(
                execution.record,
                state=ANSWERED,
                status=resp.status,
                headers=resp.headers,
                body=b"".join(chunks),
            ),
        )

    async def _stream_answer(
        self, execution: _Execution, resp: Response, chunks: list[bytes], deadline: float
    ) -> None:
        sender, receiver = trio.open_memory_channel[bytes](0)
        completed = trio.Event()
        if execution.waiters:
            execution.stream = Response(
                resp.status, resp.headers, _StreamedBody(receiver, completed)
            )
            execution.ready.set()
        else:
            receiver.close()
        with trio.move_on_after(max(0.0, deadline - self._clock.now())) as scope:
            async with sender:
                try:
                    for chunk in chunks:
                        await sender.send(chunk)
                    async for chunk in resp.body:
                        await sender.send(chunk)
                except trio.BrokenResourceError:
                    pass  # The waiter has stopped reading; the rest is read and discarded.
                else:
                    completed.set()
            async for _ in resp.body:
                pass
        if scope.cancelled_caught:
            raise OutcomeOfRequestUnknown("answer-cut", "the answer was not read in time")
        self._record_outcome(execution, replace(execution.record, state=RAN))

    async def _wait_for_answer(self, execution: _Execution, req: Request) -> Response:
        execution.waiters += 1
        try:
            with trio.move_on_after(max(0.0, req.deadline - self._clock.now())):
                await execution.ready.wait()
                if execution.stream is not None:
                    stream, execution.stream = execution.stream, None
                    return stream
                await execution.done.wait()
        finally:
            execution.waiters -= 1
            if not execution.waiters and execution.stream is not None:
                await execution.stream.body.aclose()
            if not execution.waiters and not execution.done.is_set() and not req.idempotency_key:
                self._spawn_unless_stopped(self._cancel_abandoned, execution)
        if not execution.done.is_set():
            raise OutcomeOfRequestUnknown("no-answer", "no answer before the deadline")
        if execution.error is not None:
            raise _copy_error(execution.error)
        return recorded_answer(execution.record)

    async def _cancel_abandoned(self, execution: _Execution) -> None:
        await trio.sleep(ABANDONED_REQUEST_SECONDS)
        if not execution.waiters and not execution.ready.is_set():
            execution.scope.cancel()

    def _record_outcome(self, execution: _Execution, record: Intent) -> None:
        execution.record = record
        self._log.record_outcome(record)
        if execution.pending_record is not None:
            self._replicator.submit(record)

    def _spawn_unless_stopped(self, *args: object) -> None:
        try:
            self._spawn(*args)
        except RuntimeError:
            logger.debug("the dispatcher of group %s has stopped", self._group)


class _StreamedBody:
    """Body of an answer that is too large to record, streamed to one waiter.

    :param completed: Set when the whole answer has been sent.
    """

    def __init__(self, receiver: trio.MemoryReceiveChannel[bytes], completed: trio.Event) -> None:
        self._receiver = receiver
        self._completed = completed

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        try:
            return await self._receiver.receive()
        except trio.EndOfChannel:
            if not self._completed.is_set():
                raise OutcomeOfRequestUnknown(
                    "answer-cut", "the target cut its answer", status=502
                ) from None
            raise StopAsyncIteration from None

    async def aclose(self) -> None:
        """Stop reading. Has no checkpoint, so that it also works in a cancelled task."""
        self._receiver.close()


def _key_reused_error() -> NotRun:
    return NotRun("key-reused", "the idempotency key belongs to another request", status=422)


def _cancellation_error(sent: bool) -> RequestError:
    if sent:
        return OutcomeOfRequestUnknown("cancelled", "the request was cancelled while it ran")
    return NotRun("cancelled", "the request was cancelled before it was sent")


def _copy_error(error: RequestError) -> RequestError:
    """Return a copy of an error, so that each of several waiters raises its own traceback."""
    if isinstance(error, RanWithoutResponse):
        return RanWithoutResponse(error.reason, error.detail, status=error.status)
    if isinstance(error, NotRun):
        cls = NotOwner if isinstance(error, NotOwner) else NotRun
        return cls(error.reason, error.detail, status=error.status, retry_after=error.retry_after)
    return OutcomeOfRequestUnknown(error.reason, error.detail, status=error.status)
