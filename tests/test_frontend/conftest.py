"""Fixtures that run a callers' listener in front of a fake router."""

from __future__ import annotations

import json
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import h11
import pytest
import trio

from radishshunt.body_memory import BodyMemory
from radishshunt.clock import SystemClock
from radishshunt.errors import NotRun
from radishshunt.frontend import Frontend
from radishshunt.http_server import HttpServer
from radishshunt.metrics import Metrics
from radishshunt.model import Request, Response, body_of
from radishshunt.settings import LimitsSection

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

HEAD = b"Host: a\r\nRadishshunt-Service: permits\r\n"


class FakeRouter:
    """Responds to every request with the size of its body, unless ``respond`` is replaced.

    :ivar requests: All requests received.
    :ivar body_sizes: Sizes in bytes of the bodies that were read to their end.
    :ivar cancelled_requests: Number of requests that were cancelled.
    """

    def __init__(self) -> None:
        self.requests: list[Request] = []
        self.body_sizes: list[int] = []
        self.cancelled_requests = 0
        self.respond: Callable[[Request], Any] = self._respond_with_body_size

    async def route(self, req: Request) -> Response:
        self.requests.append(req)
        try:
            return await self.respond(req)
        except trio.Cancelled:
            self.cancelled_requests += 1
            raise

    async def _respond_with_body_size(self, req: Request) -> Response:
        size = 0
        async for chunk in req.body:
            size += len(chunk)
        self.body_sizes.append(size)
        content = str(size).encode()
        return Response(200, [("content-length", str(len(content)))], body_of(content))


@dataclass
class Listener:
    """A running listener and the objects behind it."""

    address: str
    router: FakeRouter
    frontend: Frontend
    memory: BodyMemory
    server: HttpServer
    metrics: Metrics = field(default_factory=Metrics)

    async def connect(self) -> trio.SocketStream:
        """Open a connection to the listener."""
        ip, _, port = self.address.rpartition(":")
        return await trio.open_tcp_stream(ip, int(port))

    async def wait_idle(self) -> None:
        """Wait until no request is in progress and no memory is reserved for bodies."""
        with trio.fail_after(5):
            while self.frontend.running or self.memory.used_bytes:
                await trio.sleep(0.01)


@dataclass
class ReceivedResponse:
    """A response as received by a caller.

    :param complete: Whether the body was received completely.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool

    @property
    def problem(self) -> dict[str, Any]:
        """Problem document in the body; fails if the response is not a problem document."""
        assert self.headers["content-type"] == "application/problem+json"
        document = json.loads(self.body)
        assert document["status"] == self.status
        return document


async def read_response(stream: trio.SocketStream, method: str = "GET") -> ReceivedResponse:
    """Read one response; fails if it does not end within 5 s."""
    conn = h11.Connection(h11.CLIENT)
    conn.send(h11.Request(method=method, target="/", headers=[("Host", "a")]))
    conn.send(h11.EndOfMessage())
    status, headers, body = 0, {}, b""
    with trio.fail_after(5):
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                try:
                    conn.receive_data(await stream.receive_some(65536))
                except trio.BrokenResourceError:
                    return ReceivedResponse(status, headers, body, complete=False)
            elif isinstance(event, h11.Response):
                status = event.status_code
                headers = {n.decode(): v.decode() for n, v in event.headers}
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                return ReceivedResponse(status, headers, body, complete=True)


@pytest.fixture
def open_listener(loopback: Callable[[], str]) -> Callable[..., Any]:
    """Return a context manager that runs a listener with the given limits."""

    @asynccontextmanager
    async def run(
        connections: int = 100, head_timeout_seconds: float = 5.0, tls: Any = None, **limits: Any
    ) -> AsyncIterator[Listener]:
        cfg = LimitsSection(**limits)
        memory, metrics, router = BodyMemory(cfg.body_memory_bytes), Metrics(), FakeRouter()
        frontend = Frontend(router, cfg, SystemClock(), metrics, memory)
        address = loopback()
        server = HttpServer(
            frontend.app,
            address,
            name="callers",
            tls=tls,
            max_connections=connections,
            head_timeout_seconds=head_timeout_seconds,
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(server.run)
            yield Listener(address, router, frontend, memory, server, metrics)
            nursery.cancel_scope.cancel()
        assert server.failed_connections == 0

    return run


@pytest.fixture
def refuse_requests() -> Callable[[FakeRouter], None]:
    """Return a function that makes a router refuse all requests without reading their bodies."""

    async def refuse(_req: Request) -> Response:
        raise NotRun("unknown-service", "there is no such service", status=404)

    def apply(router: FakeRouter) -> None:
        router.respond = refuse

    return apply
