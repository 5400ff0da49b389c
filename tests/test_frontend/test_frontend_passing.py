"""What the callers' listener forwards to the router, and how it sends responses."""

from __future__ import annotations

import httpx
import pytest
import trio

from radishshunt.errors import OutcomeOfRequestUnknown
from radishshunt.model import Response, body_of

from .conftest import HEAD, read_response


async def test_hop_by_hop_and_router_headers_are_dropped(open_listener) -> None:
    """Guards against callers that set the router's headers, and against forwarded hop-by-hop
    headers.
    """
    async with open_listener() as listener:
        stream = await listener.connect()
        await stream.send_all(
            b"GET /a/b%20c?d=e HTTP/1.1\r\n"
            + HEAD
            + b"Radishshunt-Epoch: 9\r\nConnection: keep-alive, X-Private\r\nX-Private: 1\r\n"
            + b"TE: trailers\r\nX-Kept: \xe9\r\nRadishshunt-Key: k\r\nIdempotency-Key: i\r\n\r\n"
        )
        assert (await read_response(stream)).status == 200
        req = listener.router.requests[0]
        assert req.headers == [("x-kept", "\xe9")]
        assert (req.service, req.key, req.idempotency_key) == ("permits", "k", "i")
        assert req.path == "/a/b%20c?d=e"


async def test_head_request_gets_length_without_body(open_listener) -> None:
    """Guards against a body after HEAD, which callers would read as the next response."""
    async with open_listener() as listener:

        async def respond(_req) -> Response:
            return Response(200, [("content-length", "5")], body_of(b"hello"))

        listener.router.respond = respond
        stream = await listener.connect()
        for _ in range(2):
            await stream.send_all(b"HEAD / HTTP/1.1\r\n" + HEAD + b"\r\n")
            received = await read_response(stream, "HEAD")
            assert (received.status, received.headers["content-length"]) == (200, "5")
            assert received.body == b""


async def test_large_bodies_are_streamed_in_both_directions(open_listener) -> None:
    """Guards against bodies that are buffered completely before they are forwarded."""
    async with open_listener() as listener:

        async def echo(req) -> Response:
            return Response(200, [], req.body)

        listener.router.respond = echo
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


async def test_failing_body_does_not_look_complete(open_listener) -> None:
    """Guards against a partial response that the caller takes for complete, after its body raised
    an error.
    """
    async with open_listener() as listener:

        async def respond_partially(_req) -> Response:
            async def chunks():
                yield b"part"
                raise OutcomeOfRequestUnknown("answer-cut", "the target was lost")

            return Response(200, [], chunks())

        listener.router.respond = respond_partially
        async with httpx.AsyncClient(trust_env=False) as client:
            with pytest.raises(httpx.RemoteProtocolError):
                await client.get(
                    f"http://{listener.address}/", headers={"Radishshunt-Service": "permits"}
                )
        await listener.wait_idle()


async def test_router_exception_ends_with_unknown_outcome(open_listener) -> None:
    """Guards against an unexpected exception that is reported as not run."""
    async with open_listener() as listener:

        async def fail(_req) -> Response:
            raise RuntimeError("fault")

        listener.router.respond = fail
        stream = await listener.connect()
        await stream.send_all(b"GET / HTTP/1.1\r\n" + HEAD + b"\r\n")
        received = await read_response(stream)
        assert (received.status, received.problem["outcome"]) == (500, "unknown")


async def test_leaving_host_closes_connections_after_responses(open_listener) -> None:
    """Guards against callers that reuse a connection which a planned stop is about to close."""
    async with open_listener() as listener:
        listener.server.close_after_response = True
        stream = await listener.connect()
        await stream.send_all(b"GET / HTTP/1.1\r\n" + HEAD + b"\r\n")
        received = await read_response(stream)
        assert (received.status, received.headers["connection"]) == (200, "close")
