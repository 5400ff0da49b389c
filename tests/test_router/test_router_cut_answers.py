"""Callers notice when an answer is cut, and what a gone caller held is given back."""

from __future__ import annotations

import os

import httpx
import pytest
import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from quart import Response as QuartResponse
from quart_trio import QuartTrio

from radishshunt.clock import SystemClock
from radishshunt.errors import OutcomeOfRequestUnknown
from radishshunt.frontend import AnswerBody, CallersConnection, Frontend
from radishshunt.metrics import Metrics
from radishshunt.model import Request, Response
from radishshunt.settings import LimitsSection

NET = int(os.environ.get("RADISHSHUNT_TEST_NET", "60")) + 1
IP = f"127.{NET}.9.1"
PORT = 8080
HEADERS = {"Radishshunt-Service": "permits", "Request-Timeout": "1"}


class Body:
    """Body of an answer that can be cut or stall."""

    def __init__(self, chunks: list[bytes], *, cut: bool = False, stall: bool = False) -> None:
        self._chunks = list(chunks)
        self._cut = cut
        self._stall = stall
        self.closed = trio.Event()

    def __aiter__(self) -> Body:
        return self

    async def __anext__(self) -> bytes:
        await trio.lowlevel.checkpoint()
        if self._chunks:
            return self._chunks.pop(0)
        if self._stall:
            await trio.sleep_forever()
        if self._cut:
            raise OutcomeOfRequestUnknown("answer-cut", "the target cut its answer")
        raise StopAsyncIteration

    async def aclose(self) -> None:
        self.closed.set()


class FixedRouter:
    """Answers every request in the same way."""

    def __init__(self) -> None:
        self.headers: list[tuple[str, str]] = []
        self.body = Body([b"whole"])
        self.before_answer = trio.Event()
        self.before_answer.set()
        self.cancelled = trio.Event()

    async def route(self, _req: Request) -> Response:
        try:
            await self.before_answer.wait()
        except trio.Cancelled:
            self.cancelled.set()
            raise
        return Response(200, self.headers, self.body)


@pytest.fixture
async def served():
    router = FixedRouter()
    frontend = Frontend(router, LimitsSection(), SystemClock(), Metrics())
    config = Config()
    config.bind = [f"{IP}:{PORT}"]
    config.errorlog = None
    config.accesslog = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(lambda: serve(frontend.app, config, shutdown_trigger=trio.sleep_forever))
        with trio.fail_after(5):
            while True:
                try:
                    await (await trio.open_tcp_stream(IP, PORT)).aclose()
                    break
                except OSError:
                    await trio.sleep(0.02)
        yield router, frontend
        nursery.cancel_scope.cancel()


async def get() -> httpx.Response:
    async with httpx.AsyncClient(trust_env=False) as client:
        return await client.get(f"http://{IP}:{PORT}/", headers=HEADERS)


async def wait_idle(frontend: Frontend) -> None:
    with trio.fail_after(3):
        while frontend.running:
            await trio.sleep(0.01)


@pytest.mark.parametrize("headers", [[("content-length", "10")], []], ids=["length", "chunked"])
async def test_caller_notices_a_cut_answer(served, headers) -> None:
    """Guards against a server that ends a cut answer as if it were whole."""
    router, frontend = served
    router.headers = headers
    router.body = Body([b"half"], cut=True)
    with pytest.raises(httpx.RemoteProtocolError):
        await get()
    await wait_idle(frontend)
    assert router.body.closed.is_set()


async def test_whole_answer_arrives(served) -> None:
    """Guards against a test server that cuts every answer."""
    router, frontend = served
    assert (await get()).content == b"whole"
    await wait_idle(frontend)


async def test_answer_that_stalls_is_cut_at_its_deadline(served) -> None:
    """Guards against an answer that holds its slot for ever, and against its silent end."""
    router, frontend = served
    router.body = Body([b"half"], stall=True)
    with trio.fail_after(4), pytest.raises(httpx.RemoteProtocolError):
        await get()
    await wait_idle(frontend)
    assert router.body.closed.is_set()


async def test_caller_that_goes_while_its_request_runs_cancels_it(served) -> None:
    """Guards against work for callers that have gone."""
    router, frontend = served
    router.before_answer = trio.Event()
    with trio.move_on_after(0.2):
        await get()
    with trio.fail_after(3):
        await router.cancelled.wait()
    await wait_idle(frontend)


async def test_caller_that_goes_in_the_middle_of_an_answer_closes_it(served) -> None:
    """Guards against a slot and a stream that stay open for a caller that has gone."""
    router, frontend = served
    router.body = Body([b"half"], stall=True)
    with trio.move_on_after(0.2):
        await get()
    with trio.fail_after(3):
        await router.body.closed.wait()
    await wait_idle(frontend)


async def test_http_1_0_is_refused(served) -> None:
    """Guards against callers that could not tell a cut answer from a whole one."""
    stream = await trio.open_tcp_stream(IP, PORT)
    await stream.send_all(b"GET / HTTP/1.0\r\nHost: x\r\nRadishshunt-Service: permits\r\n\r\n")
    data = b""
    with trio.fail_after(3):
        # hypercorn announces the end of the connection but leaves closing it to the caller.
        while not data.endswith(b"}"):
            data += await stream.receive_some()
    await stream.aclose()
    assert b" 505 " in data.split(b"\r\n")[0]
    assert b'"outcome": "not-run"' in data


async def test_answer_is_closed_if_the_caller_goes_before_its_first_byte(autojump_clock) -> None:
    """Guards against a slot that stays taken because the body of an answer was never begun."""
    body = Body([b"whole"])
    app = QuartTrio("test")
    finished: list[bool] = []
    answer = QuartResponse(AnswerBody(body, finished.append))
    conn = CallersConnection(app, {"type": "http", "headers": [], "method": "GET", "path": "/"})

    async def send(_event: dict) -> None:
        await trio.sleep_forever()

    with trio.move_on_after(1):
        await conn._send_response(send, answer)
    assert body.closed.is_set()
    assert finished == [False]
