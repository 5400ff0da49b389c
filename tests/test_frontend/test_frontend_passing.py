"""What the callers' listener passes on, and how answers come back."""

from __future__ import annotations

import httpx
import pytest
import trio

from radishshunt.errors import OutcomeOfRequestUnknown
from radishshunt.model import Response, body_of

from .conftest import HEAD, read_answer


async def test_headers_of_the_connection_are_dropped(open_listener) -> None:
    """Guards against callers who set the router's headers or leak those of their connection."""
    async with open_listener() as listener:
        stream = await listener.connect()
        await stream.send_all(
            b"GET /a/b%20c?d=e HTTP/1.1\r\n"
            + HEAD
            + b"Radishshunt-Epoch: 9\r\nConnection: keep-alive, X-Private\r\nX-Private: 1\r\n"
            + b"TE: trailers\r\nX-Kept: \xe9\r\nRadishshunt-Key: k\r\nIdempotency-Key: i\r\n\r\n"
        )
        assert (await read_answer(stream)).status == 200
        req = listener.router.seen[0]
        assert req.headers == [("x-kept", "\xe9")]
        assert (req.service, req.key, req.idempotency_key) == ("permits", "k", "i")
        assert req.path == "/a/b%20c?d=e"


async def test_head_request_gets_length_without_body(open_listener) -> None:
    """Guards against a body after HEAD, which would be taken for the next answer."""
    async with open_listener() as listener:

        async def answer(_req) -> Response:
            return Response(200, [("content-length", "5")], body_of(b"hello"))

        listener.router.answer = answer
        stream = await listener.connect()
        for _ in range(2):
            await stream.send_all(b"HEAD / HTTP/1.1\r\n" + HEAD + b"\r\n")
            received = await read_answer(stream, "HEAD")
            assert (received.status, received.headers["content-length"]) == (200, "5")
            assert received.body == b""


async def test_large_bodies_stream_both_ways(open_listener) -> None:
    """Guards against bodies that are collected before they are passed on."""
    async with open_listener() as listener:

        async def echo(req) -> Response:
            return Response(200, [], req.body)

        listener.router.answer = echo
        stream = await listener.connect()
        head = b"POST / HTTP/1.1\r\n" + HEAD + b"Request-Timeout: 20\r\nContent-Length: 6000000"
        await stream.send_all(head + b"\r\n\r\nfirst")
        with trio.fail_after(5):
            received = b""
            while b"first" not in received:
                received += await stream.receive_some(1000)
        size = 0
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stream.send_all, b"x" * 5_999_995)
            with trio.fail_after(20):
                while size < 5_999_995:
                    data = await stream.receive_some(65536)
                    size += data.count(b"x")
        await listener.wait_idle()


async def test_cut_answer_does_not_look_complete(open_listener) -> None:
    """Guards against a partial answer that the caller takes for the whole one."""
    async with open_listener() as listener:

        async def cut(_req) -> Response:
            async def chunks():
                yield b"part"
                raise OutcomeOfRequestUnknown("answer-cut", "the target is gone")

            return Response(200, [], chunks())

        listener.router.answer = cut
        async with httpx.AsyncClient(trust_env=False) as client:
            with pytest.raises(httpx.RemoteProtocolError):
                await client.get(
                    f"http://{listener.address}/", headers={"Radishshunt-Service": "permits"}
                )
        await listener.wait_idle()


async def test_fault_of_the_router_ends_with_unknown_outcome(open_listener) -> None:
    """Guards against a fault that is shown as a request that did not run."""
    async with open_listener() as listener:

        async def fail(_req) -> Response:
            raise RuntimeError("fault")

        listener.router.answer = fail
        stream = await listener.connect()
        await stream.send_all(b"GET / HTTP/1.1\r\n" + HEAD + b"\r\n")
        answer = await read_answer(stream)
        assert (answer.status, answer.problem["outcome"]) == (500, "unknown")


async def test_leaving_host_closes_connections_after_answers(open_listener) -> None:
    """Guards against callers that send on a connection which a planned stop is about to close."""
    async with open_listener() as listener:
        listener.server.leaving = True
        stream = await listener.connect()
        await stream.send_all(b"GET / HTTP/1.1\r\n" + HEAD + b"\r\n")
        answer = await read_answer(stream)
        assert (answer.status, answer.headers["connection"]) == (200, "close")
