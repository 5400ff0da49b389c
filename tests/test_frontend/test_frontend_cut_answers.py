"""Truncated responses are detectable, and a disconnected caller's resources are released."""

from __future__ import annotations

import httpx
import pytest
import trio

from radishshunt.errors import OutcomeOfRequestUnknown
from radishshunt.model import Request, Response

from .conftest import HEAD, Listener, read_response

HEADERS = {"Radishshunt-Service": "permits", "Request-Timeout": "1"}


class FakeBody:
    """Response body that ends, fails or stalls after its chunks.

    :param truncated: Whether reading fails after the chunks.
    :param stalled: Whether reading blocks after the chunks.
    """

    def __init__(
        self, chunks: list[bytes], *, truncated: bool = False, stalled: bool = False
    ) -> None:
        self._chunks = list(chunks)
        self._truncated = truncated
        self._stalled = stalled
        self.closed = trio.Event()

    def __aiter__(self) -> FakeBody:
        return self

    async def __anext__(self) -> bytes:
        await trio.lowlevel.checkpoint()
        if self._chunks:
            return self._chunks.pop(0)
        if self._stalled:
            await trio.sleep_forever()
        if self._truncated:
            raise OutcomeOfRequestUnknown("answer-cut", "the target sent a truncated response")
        raise StopAsyncIteration

    async def aclose(self) -> None:
        self.closed.set()


def respond_with(listener: Listener, body: FakeBody, headers: list[tuple[str, str]] = ()) -> None:
    async def respond(_req: Request) -> Response:
        return Response(200, list(headers), body)

    listener.router.respond = respond


async def get(listener: Listener) -> httpx.Response:
    async with httpx.AsyncClient(trust_env=False) as client:
        return await client.get(f"http://{listener.address}/", headers=HEADERS)


@pytest.mark.parametrize("headers", [[("content-length", "10")], []], ids=["length", "chunked"])
async def test_caller_notices_a_truncated_response(open_listener, headers) -> None:
    """Guards against a server that ends a truncated response like a complete one."""
    async with open_listener() as listener:
        body = FakeBody([b"half"], truncated=True)
        respond_with(listener, body, headers)
        with pytest.raises(httpx.RemoteProtocolError):
            await get(listener)
        await listener.wait_idle()
        assert body.closed.is_set()


async def test_complete_response_arrives(open_listener) -> None:
    """Guards against a test setup in which every response is truncated."""
    async with open_listener() as listener:
        respond_with(listener, FakeBody([b"whole"]))
        assert (await get(listener)).content == b"whole"


async def test_stalled_response_is_truncated_at_its_deadline(open_listener) -> None:
    """Guards against a stalled response that keeps its slot, or that ends like a complete one."""
    async with open_listener() as listener:
        body = FakeBody([b"half"], stalled=True)
        respond_with(listener, body)
        with trio.fail_after(4), pytest.raises(httpx.RemoteProtocolError):
            await get(listener)
        await listener.wait_idle()
        assert body.closed.is_set()


async def test_caller_disconnect_closes_the_response_body(open_listener) -> None:
    """Guards against a slot and a stream that stay occupied after the caller has disconnected."""
    async with open_listener() as listener:
        body = FakeBody([b"half"], stalled=True)
        respond_with(listener, body)
        with trio.move_on_after(0.2):
            await get(listener)
        with trio.fail_after(0.5):
            await body.closed.wait()
        await listener.wait_idle()


async def test_http_1_0_is_refused(open_listener) -> None:
    """Guards against callers that can't tell a truncated response from a complete one."""
    async with open_listener() as listener:
        stream = await listener.connect()
        await stream.send_all(b"GET / HTTP/1.0\r\n" + HEAD + b"\r\n")
        received = await read_response(stream)
        assert (received.status, received.problem["outcome"]) == (505, "not-run")
        assert listener.router.requests == []
