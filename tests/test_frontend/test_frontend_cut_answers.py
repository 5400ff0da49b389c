"""Callers notice when an answer is cut, and what a gone caller held is given back."""

from __future__ import annotations

import httpx
import pytest
import trio

from radishshunt.errors import OutcomeOfRequestUnknown
from radishshunt.model import Request, Response

from .conftest import HEAD, Listener, read_answer

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


def answer_with(listener: Listener, body: Body, headers: list[tuple[str, str]] = ()) -> None:
    async def answer(_req: Request) -> Response:
        return Response(200, list(headers), body)

    listener.router.answer = answer


async def get(listener: Listener) -> httpx.Response:
    async with httpx.AsyncClient(trust_env=False) as client:
        return await client.get(f"http://{listener.address}/", headers=HEADERS)


@pytest.mark.parametrize("headers", [[("content-length", "10")], []], ids=["length", "chunked"])
async def test_caller_notices_a_cut_answer(open_listener, headers) -> None:
    """Guards against a server that ends a cut answer as if it were whole."""
    async with open_listener() as listener:
        body = Body([b"half"], cut=True)
        answer_with(listener, body, headers)
        with pytest.raises(httpx.RemoteProtocolError):
            await get(listener)
        await listener.wait_idle()
        assert body.closed.is_set()


async def test_whole_answer_arrives(open_listener) -> None:
    """Guards against a test server that cuts every answer."""
    async with open_listener() as listener:
        answer_with(listener, Body([b"whole"]))
        assert (await get(listener)).content == b"whole"


async def test_answer_that_stalls_is_cut_at_its_deadline(open_listener) -> None:
    """Guards against an answer that holds its slot for ever, and against its silent end."""
    async with open_listener() as listener:
        body = Body([b"half"], stall=True)
        answer_with(listener, body)
        with trio.fail_after(4), pytest.raises(httpx.RemoteProtocolError):
            await get(listener)
        await listener.wait_idle()
        assert body.closed.is_set()


async def test_caller_that_goes_in_the_middle_of_an_answer_closes_it(open_listener) -> None:
    """Guards against a slot and a stream that stay open for a caller that has gone."""
    async with open_listener() as listener:
        body = Body([b"half"], stall=True)
        answer_with(listener, body)
        with trio.move_on_after(0.2):
            await get(listener)
        with trio.fail_after(0.5):
            await body.closed.wait()
        await listener.wait_idle()


async def test_http_1_0_is_refused(open_listener) -> None:
    """Guards against callers that could not tell a cut answer from a whole one."""
    async with open_listener() as listener:
        stream = await listener.connect()
        await stream.send_all(b"GET / HTTP/1.0\r\n" + HEAD + b"\r\n")
        answer = await read_answer(stream)
        assert (answer.status, answer.problem["outcome"]) == (505, "not-run")
        assert listener.router.seen == []
