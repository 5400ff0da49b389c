"""Dispatchers that take over from each other, on a simulated clock and a lossy network."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import trio

from radishshunt.clock import TrioClock
from radishshunt.dispatch.at_most_once import AtMostOnceRunner
from radishshunt.dispatch.replication import Replicator
from radishshunt.emulator.history import CallerAnswer, Execution, History
from radishshunt.errors import (
    NotOwner,
    NotRun,
    OutcomeOfRequestUnknown,
    PeerUnavailable,
    RequestError,
)
from radishshunt.intent_log import IntentLog
from radishshunt.intents import RecordHorizon, new_request_id
from radishshunt.model import GroupId, GroupRow, HostRef, Request, Response, body_of, read_body

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from radishshunt.wire.messages import Message

GROUP = GroupId("permits", 0)
SLICE = 5
GRANT_SECONDS = 1.2


class _ReplyStream:
    """Stream stub that keeps the message sent as the answer to a call."""

    def __init__(self) -> None:
        self.message: Message | None = None

    async def send(self, msg: Message) -> None:
        self.message = msg


class HostNetwork:
    """A host's interface to the simulated network."""

    def __init__(self, simulation: Simulation, name: str) -> None:
        self._simulation = simulation
        self.name = self.peer_name = name
        self.handlers: dict[type, Callable[..., Awaitable[None]]] = {}

    def register(self, message_type: type, handler: Callable[..., Awaitable[None]]) -> None:
        self.handlers[message_type] = handler

    async def call(self, host: str, msg: Message, timeout_seconds: float) -> Message:
        """Call another host; the request or its answer may be delayed or lost."""
        sim = self._simulation
        with trio.move_on_after(timeout_seconds):
            await sim.delay()
            peer = sim.hosts.get(host)
            if peer is None or not peer.alive:
                raise PeerUnavailable(f"{host} is not running", may_have_arrived=False)
            if sim.random.random() < sim.loss:
                await trio.sleep_forever()
            reply = _ReplyStream()
            await peer.network.handlers[type(msg)](self, reply, msg)
            await sim.delay()
            if not peer.alive or sim.random.random() < sim.loss:
                await trio.sleep_forever()
            return reply.message
        raise PeerUnavailable(f"{host} did not answer", may_have_arrived=True)


class SimulatedHost:
    """A host that can be the dispatcher of the group."""

    def __init__(self, simulation: Simulation, name: str, incarnation: int) -> None:
        self.simulation = simulation
        self.ref = HostRef(name, incarnation)
        self.network = HostNetwork(simulation, name)
        self.log = IntentLog(self.ref, self.network, simulation.clock)
        self.alive = True
        self.scope = trio.CancelScope()
        self.runner: AtMostOnceRunner | None = None
        self.replicator: Replicator | None = None
        self.horizon: RecordHorizon | None = None
        self.generation = 0
        self._nursery: trio.Nursery | None = None

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        with self.scope:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                task_status.started()
                await trio.sleep_forever()

    def kill(self) -> None:
        self.alive = False
        self.scope.cancel()

    async def become_dispatcher(
        self, row: GroupRow, generation: int, former_hosts: tuple[str, ...] = ()
    ) -> None:
        """Become the dispatcher: fetch missing records, fence the target and serve requests.

        :param former_hosts: Hosts that earlier records can be fetched from.
        """
        sim = self.simulation
        self.generation = generation
        continues = self.log.continues_as_dispatcher(GROUP, generation)
        has_all_records = self.log.become_dispatcher(GROUP, generation, first=generation == 2)
        if self.runner is not None:
            if not continues:
                self.horizon.reset(has_all_records)
                self.replicator.resync()
            self.replicator.update_row(row, generation)
            sim.fence = max(sim.fence, generation)
            return
        self.horizon = horizon = RecordHorizon(has_all_records)
        if not has_all_records and former_hosts:
            horizon.has_all_records = await self.log.fetch(GROUP, generation, former_hosts)
        self.replicator = Replicator(
            row, generation, self.log, sim.clock, has_all_records=lambda: horizon.has_all_records
        )
        self.runner = AtMostOnceRunner(
            GROUP,
            self.log,
            self.replicator,
            horizon,
            sim.clock,
            self._nursery.start_soon,
            lambda: GRANT_SECONDS,
        )
        self._nursery.start_soon(self.replicator.run)
        await sim.delay()
        sim.fence = max(sim.fence, generation)
        horizon.add_served_slices([SLICE], sim.clock.now())

    async def handle(self, req: Request, body: bytes) -> Response:
        if self.runner is None:
            raise NotOwner("not-dispatcher")
        return await self.runner.handle(req, body, SLICE, self._send)

    async def _send(
        self, req: Request, body: bytes, before_send: Callable[[], Awaitable[None]]
    ) -> Response:
        sim = self.simulation
        await before_send()
        # The process may be paused here: the request is recorded but not sent yet.
        await trio.sleep(sim.random.choice([0.0, 0.0, 0.0, 0.3, 1.5]))
        if sim.fence > self.generation:
            raise NotRun("wrong-epoch", "the target is fenced")
        return await sim.execute(req, body)


class Simulation:
    """A group with one target, and hosts that are started and killed.

    :ivar fence: Lowest generation that the target accepts.
    :ivar loss: Share of messages that are lost.
    """

    def __init__(self, random: Random, loss: float = 0.02) -> None:
        self.random = random
        self.loss = loss
        self.clock = TrioClock(offset=1_790_000_000.0)
        self.hosts: dict[str, SimulatedHost] = {}
        self.fence = 0
        self.history = History()
        self.dispatcher = ""
        self.nursery: trio.Nursery | None = None
        self.service_seconds = 0.3
        self._incarnations = 0

    async def delay(self) -> None:
        """Wait for the network delay of one message."""
        await trio.sleep(self.random.choice([0.001, 0.002, 0.02]))

    async def add_host(self, name: str) -> SimulatedHost:
        """Start a host, or a new incarnation of one that was killed."""
        self._incarnations += 1
        host = self.hosts[name] = SimulatedHost(self, name, self._incarnations)
        await self.nursery.start(host.run)
        return host

    def row(self, generation: int, dispatcher: str, standby: str | None) -> GroupRow:
        """Return the group's row with a dispatcher and a standby dispatcher."""
        return GroupRow(
            GROUP,
            generation,
            self.hosts[dispatcher].ref,
            self.hosts[standby].ref if standby else None,
            ("permits-01",),
        )

    async def execute(self, req: Request, body: bytes) -> Response:
        """Run a request on the target; it completes even if its dispatcher is killed."""
        execution = Execution(
            target="permits-01",
            incarnation=1,
            service=req.service,
            key=req.key,
            slice=SLICE,
            method=req.method,
            request_id=req.id,
            idempotency_key=req.idempotency_key,
            call=dict(req.headers)["call"],
            epoch=0,
            started_at=self.clock.now(),
        )
        self.history.executions.append(execution)
        await trio.sleep(self.service_seconds * self.random.random())
        execution.ended_at = self.clock.now()
        execution.complete = True
        doc = f'{{"key": "{req.key}", "call": "{execution.call}"}}'
        return Response(200, [], body_of(doc.encode()))

    async def call(self, call: str, idempotency_key: str, seconds: float) -> CallerAnswer:
        """Send a caller's request with the retries of an entry host, and record the answer."""
        now = self.clock.now()
        req = Request(
            new_request_id(now, self.random.getrandbits(74)),
            "permits",
            "kauri",
            "POST",
            "/fee",
            [("call", call)],
            body_of(b""),
            now + seconds,
            idempotency_key,
        )
        answer = await self._send_with_retries(req, call)
        self.history.answers.append(answer)
        return answer

    async def _send_with_retries(self, req: Request, call: str) -> CallerAnswer:
        dispatcher_lost: RequestError | None = None
        while True:
            error: RequestError
            try:
                body = await self._attempt(req)
                return self._caller_answer(req, call, status=200, body=body)
            except NotOwner as exc:
                error = dispatcher_lost or exc
            except OutcomeOfRequestUnknown as exc:
                error = exc
                if exc.reason != "dispatcher-lost":
                    return self._caller_answer(req, call, error=exc)
                dispatcher_lost = exc
            except RequestError as exc:
                return self._caller_answer(req, call, error=exc)
            if self.clock.now() + 0.05 >= req.deadline:
                return self._caller_answer(req, call, error=error)
            await trio.sleep(0.05)

    async def _attempt(self, req: Request) -> bytes:
        host = self.hosts.get(self.dispatcher)
        if host is None or not host.alive:
            raise NotOwner("peer-unavailable")
        result: list[bytes] = []
        errors: list[RequestError] = []

        async def run_request(scope: trio.CancelScope) -> None:
            try:
                resp = await host.handle(replace(req), b"")
                result.append(await read_body(resp.body, 1 << 20))
            except RequestError as exc:
                errors.append(exc)
            scope.cancel()

        async def cancel_when_killed(scope: trio.CancelScope) -> None:
            while host.alive:
                await trio.sleep(0.01)
            scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_request, nursery.cancel_scope)
            nursery.start_soon(cancel_when_killed, nursery.cancel_scope)
        if host.alive and errors:
            raise errors[0]
        if not result:
            raise OutcomeOfRequestUnknown("dispatcher-lost")
        return result[0]

    def _caller_answer(
        self,
        req: Request,
        call: str,
        *,
        status: int = 503,
        body: bytes = b"",
        error: RequestError | None = None,
    ) -> CallerAnswer:
        return CallerAnswer(
            call=call,
            service=req.service,
            key=req.key,
            method=req.method,
            ended_at=self.clock.now(),
            status=status,
            idempotency_key=req.idempotency_key,
            outcome=error.outcome if error else "",
            reason=error.reason if error else "",
            body=body,
        )
