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
    RanWithoutRecord,
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
    from radishshunt.dispatch.replication import Replicator, Ticket
    from radishshunt.intent_log import IntentLog
    from radishshunt.intents import KnowledgeHorizon
    from radishshunt.model import GroupId, Request

    Send = Callable[[Request, bytes, Callable[[], Awaitable[None]]], Awaitable[Response]]

logger = logging.getLogger(__name__)

# A request that nobody waits for and nobody can ask for again is cancelled after this time. An
# entry host whose connection broke asks again within it.
ABANDONED_SECONDS = 1.0
# Time for a former dispatcher's report of how a request ended, after the request's grant.
REPORT_SECONDS = 0.3


@dataclass(slots=True)
class _Run:
    """A request that is being run here.

    :ivar ticket: Its record on the way to the standby dispatcher, once it has a slot.
    :ivar stream: Answer too large to record, for the one waiter who takes it.
    :ivar ready: Set when there is a record, an error or a stream.
    """

    record: Intent
    ticket: Ticket | None = None
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    ready: trio.Event = field(default_factory=trio.Event)
    done: trio.Event = field(default_factory=trio.Event)
    stream: Response | None = None
    error: RequestError | None = None
    waiters: int = 0


class OnceRunner:
    """Records, runs and remembers the non-idempotent requests of one group.

    :param spawn: Starts a task that outlives the caller's.
    :param grant_seconds: Returns the length of a grant, which bounds how long a request runs.
    """

    def __init__(
        self,
        group: GroupId,
        log: IntentLog,
        replicator: Replicator,
        horizon: KnowledgeHorizon,
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
        self._runs: dict[str, _Run] = {}

    async def handle(
        self, req: Request, body: bytes, slice_number: int | None, send: Send
    ) -> Response:
        """Run a request, or answer it from its record.

        :param send: Runs the request; awaits its last argument before the first byte is sent.
        :raises RequestError: If there is no answer; ``not-run`` holds for all earlier attempts.
        """
        print_ = fingerprint(req.service, req.method, req.path, req.key, body)
        while True:
            run = self._runs.get(req.record_key)
            first = run is None
            if run is None:
                record = await self._settled_record(req, print_)
                if req.record_key in self._runs:
                    continue
                if record is not None:
                    return recorded_answer(record)
                run = self._start(req, body, print_, slice_number, send)
            elif run.record.fingerprint != print_:
                raise _key_reused()
            try:
                return await self._answer_of(run, req)
            except NotOwner:
                raise
            except NotRun:
                # The attempt that this request has joined did not run, so it may run itself.
                if first:
                    raise

    async def _settled_record(self, req: Request, print_: int) -> Intent | None:
        """Return the record of an earlier attempt, waiting for one that may still run elsewhere."""
        while True:
            now = self._clock.now()
            record = self._log.store.get(req.service, req.record_key, now)
            if record is None:
                return None
            if record.fingerprint != print_:
                raise _key_reused()
            ends_at = record.created_at + self._grant_seconds() + REPORT_SECONDS
            left = min(ends_at, req.deadline) - now
            if record.state != SENT or left <= 0:
                return record
            with trio.move_on_after(left):
                await self._log.wait_changed()

    def _start(
        self, req: Request, body: bytes, print_: int, slice_number: int | None, send: Send
    ) -> _Run:
        now = self._clock.now()
        self._horizon.check(
            slice_number, req.record_key, now, from_caller=bool(req.idempotency_key)
        )
        if req.query:
            raise NotRun("not-sent", "the request was never sent to a target")
        self._replicator.check_available()
        record = Intent(
            service=req.service,
            group=self._group.group,
            generation=self._replicator.generation,
            idempotency_key=req.record_key,
            fingerprint=print_,
            created_at=now,
            state=QUEUED,
        )
        self._log.store.add(record, now)
        run = self._runs[req.record_key] = _Run(record)
        try:
            self._spawn(self._execute, run, req, body, send)
        except RuntimeError:
            del self._runs[req.record_key]
            self._log.settle(replace(record, state=NOT_RUN))
            raise NotOwner("not-dispatcher", "this host no longer dispatches") from None
        return run

    async def _execute(self, run: _Run, req: Request, body: bytes, send: Send) -> None:
        sent = False

        async def before_send() -> None:
            nonlocal sent
            # Not before the request has a slot: if the dispatcher is lost, requests that were
            # still queued have no record, and the next dispatcher can run them.
            if run.record.state == QUEUED:
                run.record = replace(run.record, state=SENT)
                self._log.store.add(run.record, self._clock.now())
                run.ticket = self._replicator.submit(run.record)
            ticket = run.ticket
            assert ticket is not None
            await self._replicator.wait(ticket, req.deadline)
            sent = True

        state = UNKNOWN
        try:
            with run.scope:
                try:
                    resp = await send(req, body, before_send)
                    await self._record_answer(run, resp, req.deadline)
                    state = run.record.state
                except NotRun as exc:
                    state, run.error = NOT_RUN, exc
                except RequestError as exc:
                    run.error = exc
                except Exception as exc:
                    logger.exception("running a request of %s failed", self._group)
                    run.error = OutcomeOfRequestUnknown("internal", repr(exc), status=500)
        finally:
            if run.record.state in (QUEUED, SENT):
                if run.error is None:
                    # Cancelled: before the record was taken nothing was sent.
                    state = UNKNOWN if sent else NOT_RUN
                    run.error = _cancelled(sent)
                self._settle(run, replace(run.record, state=state))
            del self._runs[req.record_key]
            run.ready.set()
            run.done.set()

    async def _record_answer(self, run: _Run, resp: Response, deadline: float) -> None:
        """Read an answer and record it; one that is too large is handed to a waiter."""
        chunks: list[bytes] = []
        size = 0
        try:
            async for chunk in resp.body:
                chunks.append(chunk)
                size += len(chunk)
                if size > MAX_ANSWER_BYTES:
                    await self._hand_over(run, resp, chunks, deadline)
                    return
        finally:
            with trio.CancelScope(shield=True):
                await resp.body.aclose()
        self._settle(
            run,
            replace(
                run.record,
                state=ANSWERED,
                status=resp.status,
                headers=resp.headers,
                body=b"".join(chunks),
            ),
        )

    async def _hand_over(
        self, run: _Run, resp: Response, chunks: list[bytes], deadline: float
    ) -> None:
        sender, receiver = trio.open_memory_channel[bytes](0)
        ended = trio.Event()
        if run.waiters:
            run.stream = Response(resp.status, resp.headers, _HandedOver(receiver, ended))
            run.ready.set()
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
                    pass  # Nobody reads it any more; the rest is read without a waiter.
                else:
                    ended.set()
            async for _ in resp.body:
                pass
        if scope.cancelled_caught:
            raise OutcomeOfRequestUnknown("answer-cut", "the answer was not read in time")
        self._settle(run, replace(run.record, state=RAN))

    async def _answer_of(self, run: _Run, req: Request) -> Response:
        run.waiters += 1
        try:
            with trio.move_on_after(max(0.0, req.deadline - self._clock.now())):
                await run.ready.wait()
                if run.stream is not None:
                    stream, run.stream = run.stream, None
                    return stream
                await run.done.wait()
        finally:
            run.waiters -= 1
            if not run.waiters and run.stream is not None:
                await run.stream.body.aclose()
            if not run.waiters and not run.done.is_set() and not req.idempotency_key:
                self._spawn_quietly(self._cancel_abandoned, run)
        if not run.done.is_set():
            raise OutcomeOfRequestUnknown("no-answer", "no answer before the deadline")
        if run.error is not None:
            raise _copy_of(run.error)
        return recorded_answer(run.record)

    async def _cancel_abandoned(self, run: _Run) -> None:
        await trio.sleep(ABANDONED_SECONDS)
        if not run.waiters and not run.ready.is_set():
            run.scope.cancel()

    def _settle(self, run: _Run, record: Intent) -> None:
        run.record = record
        self._log.settle(record)
        if run.ticket is not None:
            self._replicator.submit(record)

    def _spawn_quietly(self, *args: object) -> None:
        try:
            self._spawn(*args)
        except RuntimeError:
            logger.debug("the dispatcher of %s has ended", self._group)


class _HandedOver:
    """Body of an answer that is too large to record.

    :param ended: Set when all of the answer has been sent.
    """

    def __init__(self, receiver: trio.MemoryReceiveChannel[bytes], ended: trio.Event) -> None:
        self._receiver = receiver
        self._ended = ended

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        try:
            return await self._receiver.receive()
        except trio.EndOfChannel:
            if not self._ended.is_set():
                raise OutcomeOfRequestUnknown(
                    "answer-cut", "the target cut its answer", status=502
                ) from None
            raise StopAsyncIteration from None

    async def aclose(self) -> None:
        """Stop reading; has no checkpoint, so that it also works in a cancelled task."""
        self._receiver.close()


def _key_reused() -> NotRun:
    return NotRun("key-reused", "the idempotency key belongs to another request", status=422)


def _cancelled(sent: bool) -> RequestError:
    if sent:
        return OutcomeOfRequestUnknown("cancelled", "the request was cancelled while it ran")
    return NotRun("cancelled", "the request was cancelled before it was sent")


def _copy_of(error: RequestError) -> RequestError:
    """Return an error that several waiters can raise, each with its own traceback."""
    if isinstance(error, RanWithoutRecord):
        return RanWithoutRecord(error.reason, error.detail, status=error.status)
    if isinstance(error, NotRun):
        cls = NotOwner if isinstance(error, NotOwner) else NotRun
        return cls(error.reason, error.detail, status=error.status, retry_after=error.retry_after)
    return OutcomeOfRequestUnknown(error.reason, error.detail, status=error.status)
