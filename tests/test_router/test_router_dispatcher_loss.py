"""Loss of a dispatcher: retries of the entry host and the outcomes that it reports."""

from __future__ import annotations

import os
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest
import trio

from radishshunt.body_memory import BodyMemory
from radishshunt.clock import SystemClock
from radishshunt.directory import Directory
from radishshunt.errors import NotOwner, NotRun, OutcomeOfRequestUnknown, ProtocolError
from radishshunt.forwarding import ReplayableBody
from radishshunt.metrics import Metrics
from radishshunt.model import (
    GroupId,
    GroupRow,
    HostInfo,
    HostRef,
    Request,
    Response,
    SliceAssignment,
    body_of,
    read_body,
)
from radishshunt.peers import PeerNetwork
from radishshunt.release.catalog import Catalog, ServiceSpec
from radishshunt.router import Router

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

NET = int(os.environ.get("RADISHSHUNT_TEST_NET", "60")) + 1
GROUP = GroupId("permits", 0)


class FakeDispatcher:
    """Dispatcher of a group that records each request and answers it with a fixed text.

    :ivar received: Requests received, each with the part of its body that was read.
    :ivar errors: Errors raised one after another instead of answering.
    :ivar may_answer: Event to wait for before answering.
    :ivar reads_body: Whether to read the body of a request before answering.
    """

    def __init__(self) -> None:
        self.received: list[tuple[Request, bytes]] = []
        self.errors: list[Exception] = []
        self.may_answer = trio.Event()
        self.may_answer.set()
        self.reads_body = True

    async def handle(self, req: Request, _slice: int | None) -> Response:
        body = await read_body(req.body, 1 << 24) if self.reads_body else b""
        self.received.append((req, body))
        await self.may_answer.wait()
        if self.errors:
            raise self.errors.pop(0)
        return Response(200, [], body_of(b"answer"))


class FakeDispatchManager:
    """Replaces the dispatch manager of a host."""

    def __init__(self) -> None:
        self.dispatcher = FakeDispatcher()
        self.groups = {GROUP: self.dispatcher}


class FakeHost:
    """A router with a real peer network and a fake dispatcher."""

    def __init__(self, number: int) -> None:
        address = f"127.{NET}.8.{number}:8082"
        self.info = HostInfo(f"host-{number:02d}", "akl-a", address, incarnation=number)
        self.network = PeerNetwork(self.info, address)
        self.directory = Directory()
        self.directory.update_catalog(
            Catalog(version=1, services={"permits": ServiceSpec("permits", True, slices=1)})
        )
        self.dispatch = FakeDispatchManager()
        self.router = Router(
            self.info.host,
            self.directory,
            self.dispatch,
            self.network,
            SystemClock(),
            Metrics(),
            BodyMemory(1 << 28),
        )


class Cluster:
    """An entry host and two hosts that can dispatch the group."""

    def __init__(self) -> None:
        self.hosts = [FakeHost(number) for number in (1, 2, 3)]
        self.entry, self.first, self.second = self.hosts
        self.generation = 0
        self.scopes: dict[str, trio.CancelScope] = {}

    async def start(self, nursery: trio.Nursery) -> None:
        for host in self.hosts:
            host.network.update_hosts([other.info for other in self.hosts])
            await nursery.start(self._run, host)
        self.set_dispatcher(self.first)

    async def _run(self, host: FakeHost, task_status=trio.TASK_STATUS_IGNORED) -> None:
        with trio.CancelScope() as scope:
            self.scopes[host.info.host] = scope
            await host.network.run(task_status=task_status)

    def set_dispatcher(self, host: FakeHost) -> None:
        """Make a host the dispatcher of the group in a new row, known to all hosts."""
        self.generation += 2
        ref = HostRef(host.info.host, host.info.incarnation)
        row = GroupRow(GROUP, self.generation, ref, None, ("t",), {0: SliceAssignment("t", None)})
        for member in self.hosts:
            member.directory.update_row(row)

    def kill(self, host: FakeHost) -> None:
        """Close a host's connections and its listener."""
        self.scopes[host.info.host].cancel()

    async def send(self, method: str = "POST", body: bytes = b"fee", seconds: float = 3.0) -> bytes:
        """Send a request through the entry host and return the body of its answer."""
        return await self.send_body(body_of(body), method, seconds)

    async def send_body(
        self, body: AsyncIterator[bytes], method: str = "POST", seconds: float = 3.0
    ) -> bytes:
        """Send a request with a streamed body through the entry host."""
        now = SystemClock().now()
        req = Request("id-1", "permits", "kauri", method, "/", [], body, now + seconds, "fee-1")
        resp = await self.entry.router.route(req)
        return await read_body(resp.body, 1 << 20)


@pytest.fixture
async def cluster():
    async with trio.open_nursery() as nursery:
        instance = Cluster()
        await instance.start(nursery)
        yield instance
        nursery.cancel_scope.cancel()


async def lose_dispatcher_while_running(cluster: Cluster, **options) -> bytes:
    """Kill the first dispatcher while it runs a request, then make the second one dispatcher."""
    first = cluster.first.dispatch.dispatcher
    first.may_answer = trio.Event()
    result: list[bytes] = []
    errors: list[Exception] = []

    async def send() -> None:
        try:
            result.append(await cluster.send(**options))
        except (NotRun, OutcomeOfRequestUnknown) as exc:
            errors.append(exc)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send)
        while not first.received:
            await trio.sleep(0.01)
        cluster.kill(cluster.first)
        await trio.sleep(0.3)
        cluster.set_dispatcher(cluster.second)
    if errors:
        raise errors[0]
    return result[0]


@pytest.mark.parametrize("method", ["POST", "GET"])
async def test_retry_at_the_new_dispatcher_has_the_same_key(cluster: Cluster, method: str) -> None:
    """Guards against ``unknown`` for a request whose answer the new dispatcher knows.

    The new dispatcher finds the record only if the retry has the same id and idempotency key.
    """
    assert await lose_dispatcher_while_running(cluster, method=method) == b"answer"
    retried, body = cluster.second.dispatch.dispatcher.received[0]
    assert (retried.id, retried.idempotency_key, retried.lookup_only) == ("id-1", "fee-1", False)
    assert body == b"fee"


async def test_outcome_of_a_long_request_is_queried_without_its_body(cluster: Cluster) -> None:
    """Guards against running a request again with only the part of its body that was kept.

    Of a body above the replay limit only a part is kept, so the new dispatcher may only look up
    the request in its records.
    """
    body = bytes(range(256)) * 1000
    assert await lose_dispatcher_while_running(cluster, body=body) == b"answer"
    queried, sent = cluster.second.dispatch.dispatcher.received[0]
    assert queried.lookup_only
    assert sent[:65536] == body[:65536]


async def test_long_idempotent_request_is_not_retried_with_a_part_of_its_body(
    cluster: Cluster,
) -> None:
    """Guards against a PUT that stores only the part of its body that was kept.

    Idempotent requests have no records, so a request with a long body cannot be retried at all.
    """
    with pytest.raises(OutcomeOfRequestUnknown):
        await lose_dispatcher_while_running(cluster, method="PUT", body=b"x" * 200_000, seconds=1.0)
    assert cluster.second.dispatch.dispatcher.received == []


async def test_refusal_of_the_new_dispatcher_holds_for_all_attempts(cluster: Cluster) -> None:
    """Guards against ``unknown`` for a request that was never sent according to the records."""
    cluster.second.dispatch.dispatcher.errors = [NotRun("not-sent", "never sent")]
    with pytest.raises(NotRun) as info:
        await lose_dispatcher_while_running(cluster)
    assert info.value.reason == "not-sent"


async def test_refusal_of_an_idempotent_request_says_nothing_of_the_lost_attempt(
    cluster: Cluster,
) -> None:
    """Guards against a false ``not-run`` if the first attempt may have run and a retry is refused.

    Idempotent requests have no records, so the refusal says nothing about the lost attempt.
    """
    cluster.second.dispatch.dispatcher.errors = [NotRun("queue-full", "full")]
    with pytest.raises(OutcomeOfRequestUnknown):
        await lose_dispatcher_while_running(cluster, method="GET")


async def test_outcome_is_unknown_if_no_dispatcher_can_be_reached(cluster: Cluster) -> None:
    """Guards against a false ``not-run`` when the entry host cannot reach a dispatcher any more.

    The dispatcher is lost while it runs the request, and no other one replaces it.
    """
    first = cluster.first.dispatch.dispatcher
    first.may_answer = trio.Event()

    async def lose() -> None:
        while not first.received:
            await trio.sleep(0.01)
        cluster.kill(cluster.first)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(lose)
        with pytest.raises(OutcomeOfRequestUnknown):
            await cluster.send(seconds=0.8)


async def test_request_that_never_reached_a_dispatcher_is_not_run(cluster: Cluster) -> None:
    """Guards against ``unknown`` for a request whose dispatcher was lost before it was sent."""
    cluster.kill(cluster.first)
    await trio.sleep(0.05)
    with pytest.raises(NotRun):
        await cluster.send(seconds=0.5)


async def test_request_whose_body_was_incomplete_is_not_run(cluster: Cluster) -> None:
    """Guards against ``unknown`` for a request of which the dispatcher received only a part.

    The dispatcher is lost before the caller has sent the rest of the body.
    """

    async def slow_body() -> AsyncIterator[bytes]:
        yield b"fe"
        await trio.sleep(0.2)
        cluster.kill(cluster.first)
        await trio.sleep(0.2)
        yield b"e"

    with pytest.raises(NotRun):
        await cluster.send_body(slow_body(), seconds=1.0)


async def test_request_whose_body_is_too_slow_is_not_run(cluster: Cluster) -> None:
    """Guards against ``unknown`` for a request whose body was incomplete at its deadline."""

    async def slow_body() -> AsyncIterator[bytes]:
        yield b"fe"
        await trio.sleep_forever()

    with pytest.raises(NotRun):
        await cluster.send_body(slow_body(), seconds=0.5)


async def test_early_refusal_of_a_long_body_is_received_at_once(cluster: Cluster) -> None:
    """Guards against waiting until the deadline to send a body that the dispatcher does not read.

    The dispatcher refuses the request early, so the flow control window stays full.
    """
    first = cluster.first.dispatch.dispatcher
    first.reads_body = False
    first.errors = [NotRun("queue-full", "full")]
    with trio.fail_after(2), pytest.raises(NotRun):
        await cluster.send(body=b"x" * 2_000_000, seconds=10.0)


async def test_request_refused_as_not_dispatcher_is_retried(
    cluster: Cluster,
) -> None:
    """Guards against an error for a request that reached the former dispatcher.

    The request is retried until a dispatcher accepts it.
    """
    cluster.first.dispatch.dispatcher.errors = [NotOwner("not-dispatcher", "deposed")] * 3
    assert await cluster.send() == b"answer"
    assert len(cluster.first.dispatch.dispatcher.received) == 4


async def test_interrupted_body_is_never_taken_for_complete() -> None:
    """Guards against taking an interrupted body for a complete one.

    A cancelled generator seems to end normally when it is read again.
    """

    async def source() -> AsyncIterator[bytes]:
        yield b"one"
        await trio.sleep_forever()

    body = ReplayableBody(source())
    with trio.move_on_after(0.05):
        async for _ in body.chunks():
            pass
    assert not body.replayable
    with pytest.raises(ProtocolError):
        async for _ in body.chunks():
            pass


async def test_request_is_replayed_from_its_start() -> None:
    """Guards against a retry without the chunks that the previous attempt has read."""

    async def source() -> AsyncIterator[bytes]:
        for chunk in (b"one", b"two", b"three"):
            yield chunk

    body = ReplayableBody(source())
    async for _ in body.chunks():
        break
    assert b"".join([chunk async for chunk in body.chunks()]) == b"onetwothree"
    assert b"".join([chunk async for chunk in body.chunks()]) == b"onetwothree"


def test_request_is_copied_with_its_lookup_only_flag() -> None:
    """Guards against running a request that is only looked up, after the request was copied."""
    req = Request("i", "s", "k", "POST", "/", [], body_of(b""), 0.0, "", True)
    assert replace(req).lookup_only
