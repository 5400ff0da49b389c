"""Limits of the callers' listener.

Requests over a limit are answered with a problem document, and their resources are released.
"""

from __future__ import annotations

import pytest
import trio

from radishshunt import http_server
from radishshunt.model import Response, body_of

from .conftest import HEAD, read_response


@pytest.mark.parametrize(
    ("head", "status", "reason"),
    [
        (b"GARBAGE\r\n\r\n", 400, "malformed-request"),
        (b"GET / HTTP/1.1\r\nHost: a\r\nno colon\r\n\r\n", 400, "malformed-request"),
        (b"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", 400, "malformed-request"),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
            400,
            "malformed-request",
        ),
        (b"GET / HTTP/1.1\r\n\r\n", 400, "malformed-request"),
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"a" * 20_000 + b"\r\n\r\n", 431, "head-too-large"),
        (b"GET / HTTP/1.1\r\nHost: a\r\n\r\n", 400, "no-service"),
        (b"GET / HTTP/1.1\r\nHost: a\r\nRadishshunt-Service: A b\r\n\r\n", 400, "bad-service"),
        (b"BREW / HTTP/1.1\r\n" + HEAD + b"\r\n", 405, "bad-method"),
        (b"GET / HTTP/1.1\r\n" + HEAD + HEAD[9:] + b"\r\n", 400, "repeated-header"),
        (b"GET / HTTP/1.1\r\n" + HEAD + b"Request-Timeout: 1e1\r\n\r\n", 400, "bad-timeout"),
        (b"GET / HTTP/1.1\r\n" + HEAD + b"Request-Timeout: nan\r\n\r\n", 400, "bad-timeout"),
        (b"GET / HTTP/1.1\r\n" + HEAD + b"Request-Timeout: 31\r\n\r\n", 400, "bad-timeout"),
        (b"GET / HTTP/1.1\r\n" + HEAD + b"Idempotency-Key:\r\n\r\n", 400, "bad-idempotency-key"),
        (
            b"GET / HTTP/1.1\r\n" + HEAD + b"Radishshunt-Key: " + b"k" * 1025 + b"\r\n\r\n",
            400,
            "key-too-long",
        ),
    ],
)
async def test_bad_head_gets_a_problem_document(open_listener, head, status, reason) -> None:
    """Guards against routing a malformed head, or refusing it without stating the outcome."""
    async with open_listener() as listener:
        stream = await listener.connect()
        await stream.send_all(head)
        received = await read_response(stream)
        assert (received.status, received.problem["reason"]) == (status, reason)
        assert received.problem["outcome"] == "not-run"
        assert listener.router.requests == []
        await listener.wait_idle()


async def test_body_over_limit_by_content_length(open_listener) -> None:
    """Guards against a refusal that is lost to a TCP reset while the caller sends its body."""
    async with open_listener(body_bytes=100_000) as listener:
        stream = await listener.connect()
        await stream.send_all(b"POST / HTTP/1.1\r\n" + HEAD + b"Content-Length: 3000000\r\n\r\n")
        await stream.send_all(b"x" * 3_000_000)
        received = await read_response(stream)
        assert (received.status, received.problem["reason"]) == (413, "body-too-large")
        assert received.problem["outcome"] == "not-run"
        await listener.wait_idle()


async def test_body_over_limit_without_content_length(open_listener) -> None:
    """Guards against chunked bodies that bypass the size limit."""
    async with open_listener(body_bytes=100_000) as listener:
        stream = await listener.connect()
        head = b"POST / HTTP/1.1\r\n" + HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        await stream.send_all(head)
        await stream.send_all((b"10000\r\n" + b"x" * 65536 + b"\r\n") * 20)
        received = await read_response(stream)
        assert (received.status, received.problem["reason"]) == (413, "body-too-large")
        assert listener.router.body_sizes == []
        await listener.wait_idle()


async def test_early_refusal_does_not_block_on_the_unread_body(
    open_listener, refuse_requests
) -> None:
    """Guards against a server that blocks on unread body data, which fills the body queue, after
    the application has already responded.
    """
    async with open_listener() as listener:
        refuse_requests(listener.router)
        stream = await listener.connect()
        await stream.send_all(b"POST / HTTP/1.1\r\n" + HEAD + b"Content-Length: 4000000\r\n\r\n")
        with trio.fail_after(5):
            await stream.send_all(b"x" * 4_000_000)
        received = await read_response(stream)
        assert (received.status, received.problem["reason"]) == (404, "unknown-service")
        await listener.wait_idle()


async def test_malformed_chunk_ends_as_not_run(open_listener) -> None:
    """Guards against a body with invalid chunked framing that is routed as complete."""
    async with open_listener() as listener:
        stream = await listener.connect()
        head = b"POST / HTTP/1.1\r\n" + HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        await stream.send_all(head + b"5\r\nhello\r\nzz\r\n")
        received = await read_response(stream)
        assert (received.status, received.problem["outcome"]) == (400, "not-run")
        await listener.wait_idle()
        assert listener.router.body_sizes == []


async def test_slow_body_is_refused_before_its_deadline(open_listener) -> None:
    """Guards against slow callers that keep a request open, and against an unknown outcome for a
    request whose body never arrived.
    """
    async with open_listener() as listener:
        stream = await listener.connect()
        head = b"POST / HTTP/1.1\r\n" + HEAD + b"Request-Timeout: 0.3\r\nContent-Length: 9\r\n\r\n"
        await stream.send_all(head + b"some")
        received = await read_response(stream)
        assert (received.status, received.problem["reason"]) == (408, "slow-body")
        assert received.problem["outcome"] == "not-run"
        await listener.wait_idle()


async def test_slow_head_is_refused(open_listener) -> None:
    """Guards against connections that send their request head a byte at a time."""
    async with open_listener(head_timeout_seconds=0.3) as listener:
        stream = await listener.connect()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_send_slowly, stream)
            received = await read_response(stream)
            nursery.cancel_scope.cancel()
        assert (received.status, received.problem["reason"]) == (408, "slow-head")


async def test_caller_disconnect_cancels_its_request(open_listener) -> None:
    """Guards against requests that continue after the caller has disconnected, while sending the
    body or while waiting for the response.
    """
    async with open_listener() as listener:
        started = trio.Event()

        async def block(_req) -> Response:
            started.set()
            await trio.sleep_forever()

        stream = await listener.connect()
        await stream.send_all(b"POST / HTTP/1.1\r\n" + HEAD + b"Content-Length: 9\r\n\r\nsome")
        while not listener.memory.used_bytes:
            await trio.sleep(0.01)
        await stream.aclose()
        await listener.wait_idle()
        assert listener.router.cancelled_requests == 1
        listener.router.respond = block
        stream = await listener.connect()
        await stream.send_all(b"GET / HTTP/1.1\r\n" + HEAD + b"\r\n")
        await started.wait()
        await stream.aclose()
        await listener.wait_idle()
        assert listener.router.cancelled_requests == 2


async def test_too_many_requests(open_listener) -> None:
    """Guards against a host that serves more concurrent requests than its limit."""
    async with open_listener(callers=1) as listener:
        released, started = trio.Event(), trio.Event()

        async def wait_for_release(_req) -> Response:
            started.set()
            await released.wait()
            return Response(200, [("content-length", "0")], body_of(b""))

        listener.router.respond = wait_for_release
        first, second = await listener.connect(), await listener.connect()
        await first.send_all(b"GET / HTTP/1.1\r\n" + HEAD + b"\r\n")
        await started.wait()
        await second.send_all(b"GET / HTTP/1.1\r\n" + HEAD + b"\r\n")
        received = await read_response(second)
        assert (received.status, received.problem["reason"]) == (503, "host-busy")
        assert int(received.headers["retry-after"]) >= 1
        released.set()
        assert (await read_response(first)).status == 200


async def test_too_many_connections(open_listener) -> None:
    """Guards against connections that exhaust the process's file descriptors."""
    async with open_listener(connections=2) as listener:
        open_streams = [await listener.connect() for _ in range(2)]
        await trio.testing.wait_all_tasks_blocked(0.05)
        received = await read_response(await listener.connect())
        assert (received.status, received.problem["reason"]) == (503, "too-many-connections")
        await open_streams[0].aclose()
        await trio.testing.wait_all_tasks_blocked(0.05)
        stream = await listener.connect()
        await stream.send_all(b"GET / HTTP/1.1\r\n" + HEAD + b"\r\n")
        assert (await read_response(stream)).status == 200


async def test_memory_of_all_bodies_is_bounded(open_listener) -> None:
    """Guards against bodies that are each within the limit and together exhaust the memory."""
    async with open_listener(body_memory_bytes=1 << 20) as listener:
        half = b"x" * 600_000
        head = b"POST / HTTP/1.1\r\n" + HEAD + b"Content-Length: 700000\r\n\r\n"
        first, second = await listener.connect(), await listener.connect()
        await first.send_all(head + half)
        await trio.testing.wait_all_tasks_blocked(0.05)
        assert listener.memory.used_bytes == 600_000
        await second.send_all(head + half)
        received = await read_response(second)
        assert (received.status, received.problem["reason"]) == (503, "body-memory")
        await first.send_all(b"x" * 100_000)
        assert (await read_response(first)).body == b"700000"
        await listener.wait_idle()


async def test_caller_that_stops_reading_is_disconnected(open_listener, monkeypatch) -> None:
    """Guards against a response that keeps its target's slot while the caller does not read."""
    monkeypatch.setattr(http_server, "SEND_TIMEOUT_SECONDS", 0.3)
    async with open_listener() as listener:

        async def endless(_req) -> Response:
            async def chunks():
                while True:
                    yield b"x" * 65536

            return Response(200, [], chunks())

        listener.router.respond = endless
        stream = await listener.connect()
        await stream.send_all(b"GET / HTTP/1.1\r\n" + HEAD + b"\r\n")
        await stream.receive_some(100)
        await listener.wait_idle()


async def test_abort_resets_connections(open_listener) -> None:
    """Guards against an abort that leaves connections unresponsive instead of resetting them."""
    async with open_listener() as listener:
        started = trio.Event()

        async def block(_req) -> Response:
            started.set()
            await trio.sleep_forever()

        listener.router.respond = block
        stream = await listener.connect()
        await stream.send_all(b"GET / HTTP/1.1\r\n" + HEAD + b"\r\n")
        await started.wait()
        listener.server.abort()
        with trio.fail_after(2), pytest.raises(trio.BrokenResourceError):
            await stream.receive_some(100)
        with pytest.raises(OSError, match="127"):
            await listener.connect()


async def _send_slowly(stream: trio.SocketStream) -> None:
    for byte in b"GET / HTTP/1.1\r\nHost: abcdefghijklmnop":
        await stream.send_all(bytes([byte]))
        await trio.sleep(0.05)
