"""Dispatcher of one group: owns its grants and slots, and sends its requests to targets."""

from __future__ import annotations

from dataclasses import replace
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import trio

from radishshunt.dispatch.at_most_once import AtMostOnceRunner
from radishshunt.dispatch.grants import GrantController
from radishshunt.dispatch.group_targets import GroupTargets
from radishshunt.dispatch.replication import Replicator
from radishshunt.errors import NotOwner, NotRun, OutcomeOfRequestUnknown
from radishshunt.hashing import fingerprint, key_hash
from radishshunt.intent_log import IntentLog
from radishshunt.intents import RecordHorizon
from radishshunt.logs import decision
from radishshunt.model import read_body
from radishshunt.policy.budgets import REFUSAL_RATIO, RETRY_RATIO, TokenBudget
from radishshunt.quarantine import Quarantine
from radishshunt.targets import Envelope

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from radishshunt.clock import Clock
    from radishshunt.directory import Directory
    from radishshunt.model import GroupRow, Request, Response
    from radishshunt.ownership_state import ServingGrant
    from radishshunt.placement.load_report import GroupLoad
    from radishshunt.settings import LimitsSection

FIRST_GENERATION = 2
# Interval at which a dispatcher without all earlier records checks whether they have expired.
HORIZON_CHECK_INTERVAL_SECONDS = 5.0
# Time to replicate the outcomes of the last requests after the dispatcher has stopped.
OUTCOME_REPLICATION_SECONDS = 1.0
# Pause before each further attempt of a request.
RETRY_PAUSE_SECONDS = 0.05
# Least time that must be left before the deadline, so that the answer can still arrive.
SEND_MARGIN_SECONDS = 0.002
# Failures of targets and connections after which another attempt may succeed: of requests that did
# not run, and of idempotent requests that may have run.
_RETRYABLE_NOT_RUN_REASONS = frozenset({"wrong-epoch", "no-grant", "connect-failed", "cold"})
_RETRYABLE_UNKNOWN_REASONS = frozenset(
    {"no-answer", "connection-silent", "connection-broke", "wrong-answer"}
)


class _TargetStoppedServing(NotRun):
    """The target stopped serving the slice while the request waited for a slot."""


class GroupDispatcher:
    """Sends a group's requests to its targets.

    :param row: The group's row.
    :param generation: Generation that this host uses for the group.
    :param local_address: Source IP address of connections to targets.
    :param log: This host's records of non-idempotent requests.
    :param former_hosts: Hosts that may hold the group's records from earlier dispatchers.
    """

    def __init__(
        self,
        row: GroupRow,
        generation: int,
        directory: Directory,
        limits: LimitsSection,
        clock: Clock,
        local_address: str | None = None,
        *,
        log: IntentLog | None = None,
        quarantine: Quarantine | None = None,
        former_hosts: Iterable[str] = (),
    ) -> None:
        self._intent_log = log = log or IntentLog(row.dispatcher, None, clock)
        self._quarantine = quarantine or Quarantine()
        self._former_hosts = tuple(former_hosts)
        self._nursery: trio.Nursery | None = None
        self._retry_budget = TokenBudget(RETRY_RATIO)
        self._suspect_locks: dict[str, trio.Lock] = {}
        self.row = row
        self.group = row.group
        self._directory = directory
        self._limits = limits
        self._clock = clock
        self._targets = GroupTargets(
            directory, limits.queue_per_target, clock, self._spawn, local_address
        )
        self._refusal_budget = TokenBudget(REFUSAL_RATIO)
        self._changed = trio.Event()
        # Returns whether this host's view of withdrawn targets is recent enough to send new work at
        # a time, in seconds since the Unix epoch.
        self.may_send: Callable[[float], bool] | None = None
        self._targets.add((*row.targets, *row.unfenced))
        self._grants = GrantController(
            row,
            generation,
            self._grant_seconds(),
            self._targets.clients,
            clock,
            self._on_grants_changed,
            self._targets.on_incarnation,
        )
        self._scope = trio.CancelScope()
        has_all_records = log.become_dispatcher(
            self.group, generation, first=row.generation == FIRST_GENERATION
        )
        self._horizon = RecordHorizon(has_all_records)
        self._records_ready = trio.Event()
        self._replicator = Replicator(
            row, generation, log, clock, has_all_records=lambda: self._horizon.has_all_records
        )
        self._at_most_once_runner = AtMostOnceRunner(
            self.group,
            log,
            self._replicator,
            self._horizon,
            clock,
            self._spawn,
            self._grant_seconds,
        )

    @property
    def generation(self) -> int:
        """Generation that this host uses for the group."""
        return self._grants.generation

    @property
    def deposed(self) -> bool:
        """Whether another host has taken the group over."""
        return self._grants.deposed

    @property
    def load(self) -> float:
        """Mean load of the group's targets: requests running and waiting, divided by the slots."""
        return self._targets.load(self.row.targets)

    def collect_load(self) -> GroupLoad:
        """Return the group's load since the last call."""
        return self._targets.collect_load(self.row.targets, self._takes_work)

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return self._targets.queued

    def serving(self, slice_number: int) -> ServingGrant | None:
        """Return the target that may serve a slice now, or ``None`` if none may."""
        return self._serving(slice_number)

    def lost_targets(self) -> set[str]:
        """Return the targets that count as lost."""
        return self._grants.lost_targets()

    @property
    def grant_seconds(self) -> float:
        """Length of a grant in seconds."""
        return self._grant_seconds()

    @property
    def targets_without_fencing(self) -> frozenset[str]:
        """Targets that do not check fences."""
        return self._grants.targets_without_fencing()

    @property
    def needs_lease(self) -> bool:
        """Whether dispatching needs a lease, because a target of slices does not check fences."""
        return bool(self.targets_without_fencing) and bool(self.row.slices)

    @property
    def grants(self) -> GrantController:
        """The group's grants."""
        return self._grants

    def update_row(self, row: GroupRow, generation: int) -> None:
        """Continue under a new row."""
        kept = self.row.slices.keys() & row.slices.keys()
        gained = row.slices.keys() - kept
        self.row = row
        for name in self._targets.add((*row.targets, *row.unfenced)):
            # A target that joins the group of a running dispatcher is assumed to be cold.
            self._targets.lanes[name].on_cold()
        continues = self._intent_log.continues_as_dispatcher(self.group, generation)
        has_all_records = self._intent_log.become_dispatcher(self.group, generation, first=False)
        if not continues:
            self._horizon.reset(has_all_records)
            self._replicator.resync()
        if gained:
            # Records stay with the group that a slice came from, so a request with an older key of
            # such a slice may have run there.
            self._horizon.add_gained_slices(gained, kept)
            self._intent_log.mark_incomplete(self.group)
            self._replicator.resync()
        self._replicator.update_row(row, generation)
        self._grants.update_row(row, generation, self._grant_seconds())

    def stop(self) -> None:
        """Stop renewing grants and sending new requests.

        :meth:`run` returns when the requests that still run have ended.
        """
        self._grants.deposed = True
        self._scope.cancel()
        self._on_grants_changed()

    async def run(self) -> None:
        """Renew the group's grants until stopped, and then wait for the running requests."""
        try:
            async with trio.open_nursery() as record_tasks:
                record_tasks.start_soon(self._replicate_records)
                async with trio.open_nursery() as request_tasks:
                    self._nursery = request_tasks
                    with self._scope:
                        await self._grants.run()
                await self._replicator.drain(OUTCOME_REPLICATION_SECONDS)
                record_tasks.cancel_scope.cancel()
        finally:
            await self._targets.aclose()

    async def handle(self, req: Request, slice_number: int | None) -> Response:
        """Run a request and return its answer.

        :raises NotRun: If the request did not run.
        :raises OutcomeOfRequestUnknown: If the request may have run.
        """
        body = await read_body(req.body, self._limits.body_bytes)
        if body is None:
            raise NotRun("body-too-large", "the body is over the limit", status=413)
        self._refusal_budget.earn()
        self._retry_budget.earn()
        self._targets.count(slice_number)
        if req.idempotent:
            return await self._run_with_retries(req, body, slice_number, _no_preparation)
        with trio.move_on_after(max(0.0, req.deadline - self._clock.now())):
            await self._records_ready.wait()

        async def send(
            req: Request, body: bytes, before_send: Callable[[], Awaitable[None]]
        ) -> Response:
            return await self._run_with_retries(req, body, slice_number, before_send)

        return await self._at_most_once_runner.handle(req, body, slice_number, send)

    async def _run_with_retries(
        self,
        req: Request,
        body: bytes,
        slice_number: int | None,
        before_send: Callable[[], Awaitable[None]],
    ) -> Response:
        """Send a request to the target that serves it, and retry where that is safe.

        :param before_send: Awaited while the request holds a slot, before its first byte is sent.
        """
        request_fingerprint = fingerprint(req.service, req.method, req.path, req.key, body)
        earlier_outcome: OutcomeOfRequestUnknown | None = None
        original_id, attempts = req.id, 0
        while True:
            try:
                return await self._attempt(
                    req, body, slice_number, request_fingerprint, before_send
                )
            except NotRun as exc:
                if not self._should_retry_refusal(req, exc):
                    # If an earlier attempt may have run, "not-run" would be wrong.
                    raise _final_error(earlier_outcome, exc) from exc
            except OutcomeOfRequestUnknown as exc:
                retryable = req.idempotent and exc.reason in _RETRYABLE_UNKNOWN_REASONS
                if (
                    not retryable
                    or self._retry_would_be_too_late(req)
                    or not self._retry_budget.spend()
                ):
                    raise
                earlier_outcome = exc
                attempts += 1
                # The target may have been told to refuse the previous id if it arrives late.
                req = replace(req, id=f"{original_id}.{attempts}")
                decision(
                    "retry", service=req.service, key_hash=key_hash(req.key), reason=exc.reason
                )
            await trio.sleep(RETRY_PAUSE_SECONDS)

    def _should_retry_refusal(self, req: Request, exc: NotRun) -> bool:
        if isinstance(exc, _TargetStoppedServing):
            return not self._retry_would_be_too_late(req)
        if exc.reason not in _RETRYABLE_NOT_RUN_REASONS or self._retry_would_be_too_late(req):
            return False
        # Other refusals end with a failover or a move of the slice. A cold target refuses for
        # longer, so these retries are limited by a budget.
        return exc.reason != "cold" or self._refusal_budget.spend()

    async def _attempt(
        self,
        req: Request,
        body: bytes,
        slice_number: int | None,
        request_fingerprint: int,
        before_send: Callable[[], Awaitable[None]],
    ) -> Response:
        self._quarantine.check(request_fingerprint, req.idempotency_key, self._clock.now())
        serving = await self._wait_for_serving_target(slice_number, req.deadline)
        now = self._clock.now()
        self._quarantine.check(request_fingerprint, req.idempotency_key, now)
        if not self._quarantine.count_losses(request_fingerprint, req.idempotency_key, now):
            return await self._send_in_slot(
                req, body, slice_number, request_fingerprint, serving, before_send
            )
        # Suspects run one at a time on each target. Otherwise a harmless request that ran during a
        # crash could run beside the request that causes the crashes again, and be quarantined too.
        lock = self._suspect_locks.setdefault(serving.target, trio.Lock())
        with trio.move_on_after(max(0.0, req.deadline - now)) as scope:
            await lock.acquire()
        if scope.cancelled_caught:
            raise NotRun("deadline", "the deadline passed while the request waited", status=504)
        try:
            self._quarantine.check(request_fingerprint, req.idempotency_key, self._clock.now())
            resp = await self._send_in_slot(
                req, body, slice_number, request_fingerprint, serving, before_send
            )
            if resp.status < HTTPStatus.INTERNAL_SERVER_ERROR:
                self._quarantine.record_answer(request_fingerprint, req.idempotency_key)
            return resp
        finally:
            lock.release()

    async def _send_in_slot(
        self,
        req: Request,
        body: bytes,
        slice_number: int | None,
        request_fingerprint: int,
        serving: ServingGrant,
        before_send: Callable[[], Awaitable[None]],
    ) -> Response:
        lane = self._targets.lanes[serving.target]
        client = self._targets.clients[serving.target]
        waiter = await lane.acquire(req.deadline)
        release_delegated = answered = False

        def release() -> None:
            lane.release(waiter, answered=answered)

        try:
            await before_send()
            current = self._serving(slice_number, serving.target)
            if current is None:
                raise _TargetStoppedServing(
                    "no-grant", "the target no longer serves the key", retry_after=1.0
                )
            release_delegated = True
            incarnation = client.control.incarnation
            resp = await self._send(req, body, slice_number, current, release)
            answered = True
            return resp
        except NotRun as exc:
            self._targets.on_refusal(serving.target, exc.reason)
            raise
        except OutcomeOfRequestUnknown as exc:
            # Without a known incarnation, the target was not seen running since its last loss, so
            # this request did not cause it.
            connection_broke = bool(incarnation) and exc.reason == "connection-broke"
            if connection_broke and await client.control.has_incarnation_ended(incarnation):
                self._record_suspect(req, request_fingerprint, serving.target, incarnation)
            raise
        finally:
            if not release_delegated:
                release()

    def _record_suspect(
        self, req: Request, request_fingerprint: int, target: str, incarnation: int
    ) -> None:
        self._quarantine.record_loss(
            request_fingerprint, req.idempotency_key, incarnation, self._clock.now()
        )
        decision(
            "suspect",
            service=req.service,
            key_hash=key_hash(req.key),
            target=target,
            fingerprint=f"{request_fingerprint:016x}",
            reason="target-lost-while-running",
        )

    async def _send(
        self,
        req: Request,
        body: bytes,
        slice_number: int | None,
        serving: ServingGrant,
        on_ended: Callable[[], None] = lambda: None,
    ) -> Response:
        now = self._clock.now()
        deadline = min(req.deadline, serving.deadline)
        try:
            if deadline - now < SEND_MARGIN_SECONDS:
                raise NotRun("deadline", "the deadline passed before sending", status=504)
            if self.may_send is not None and not self.may_send(now):
                raise NotRun("isolated", "no recent contact with other hosts", retry_after=1.0)
        except NotRun:
            on_ended()
            raise
        decision(
            "send",
            service=req.service,
            key_hash=key_hash(req.key),
            slice=slice_number,
            group=self.group.group,
            epoch=serving.epoch,
            target=serving.target,
            request_id=req.id,
            reason="owner" if slice_number is not None else "least-loaded",
        )
        envelope = Envelope(self.group.group, slice_number, serving.epoch, deadline)
        resp = await self._targets.clients[serving.target].send(req, body, envelope, on_ended)
        self._targets.on_answer(serving.target, self._clock.now() - now)
        return resp

    async def _replicate_records(self) -> None:
        """Fetch the former dispatcher's records, then replicate to the standby dispatcher."""
        if not self._horizon.has_all_records and self._former_hosts:
            generation = self.generation
            if await self._intent_log.fetch(self.group, generation, self._former_hosts):
                self._horizon.has_all_records = True
        self._records_ready.set()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._replicator.run)
            while True:
                await trio.sleep(HORIZON_CHECK_INTERVAL_SECONDS)
                if self._horizon.missing_records_expired(
                    self.row.slices or (None,), self._clock.now()
                ):
                    self._horizon.has_all_records = True
                    self._intent_log.mark_complete(self.group)
                    self._replicator.resync()

    def _retry_would_be_too_late(self, req: Request) -> bool:
        return self._clock.now() + RETRY_PAUSE_SECONDS >= req.deadline

    def _spawn(self, *args: Any) -> None:
        if self._nursery is None:
            raise RuntimeError("the dispatcher is not running yet")
        self._nursery.start_soon(*args)

    async def _wait_for_serving_target(
        self, slice_number: int | None, deadline: float
    ) -> ServingGrant:
        while True:
            serving = self._serving(slice_number)
            if serving is not None:
                return serving
            if self.deposed:
                raise NotOwner("not-dispatcher", "another host dispatches the group")
            if self._clock.now() >= deadline:
                raise NotRun("no-owner", "no target holds a valid grant", retry_after=1.0)
            with trio.move_on_after(RETRY_PAUSE_SECONDS):
                await self._changed.wait()

    def _serving(self, slice_number: int | None, target: str | None = None) -> ServingGrant | None:
        catalog = self._directory.catalog
        if slice_number is not None:
            serving = self._grants.serving(slice_number)
            if serving is None or (target and serving.target != target):
                return None
            return serving if catalog.takes_work(serving.target) else None
        names = [target] if target else self.row.targets
        candidates = {
            name: serving
            for name in names
            if catalog.takes_work(name) and (serving := self._grants.serving_unkeyed(name))
        }
        if not candidates:
            return None
        return candidates[self._targets.pick(candidates)]

    def _takes_work(self, target: str) -> bool:
        return self._directory.catalog.takes_work(target) and target not in self.lost_targets()

    def _grant_seconds(self) -> float:
        return self._directory.catalog.services[self.group.service].grant_seconds

    def _on_grants_changed(self) -> None:
        if not self._horizon.has_all_records:
            slice_numbers = self.row.slices or ([None] if self._grants.all_fenced() else [])
            self._horizon.add_served_slices(
                [n for n in slice_numbers if n is None or self._serving(n) is not None],
                self._clock.now(),
            )
        self._changed.set()
        self._changed = trio.Event()


async def _no_preparation() -> None:
    await trio.lowlevel.checkpoint()


def _final_error(earlier_outcome: OutcomeOfRequestUnknown | None, refusal: NotRun) -> Exception:
    """Return the error to report for a request whose last attempt did not run.

    :param earlier_outcome: Error of an earlier attempt that may have run, if there was one.
    """
    if earlier_outcome is None:
        return refusal
    detail = f"{earlier_outcome.detail}; the next attempt was refused: {refusal.detail}"
    return OutcomeOfRequestUnknown(refusal.reason, detail, status=refusal.status)
