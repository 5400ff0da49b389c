"""Exchanges with targets: complete, truncated, stale, early and malformed responses."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import pytest
import trio

from radishshunt.body_memory import BodyMemory
from radishshunt.gateway.exchange import (
    Connection,
    ExchangeError,
    HttpResponse,
    OutgoingRequest,
)
from radishshunt.gateway.target_pool import TargetPool

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    Target = Callable[[trio.SocketStream], Awaitable[None]]

ECHO = (b"x-attempt", b"2")


def _request(body: bytes = b"") -> OutgoingRequest:
    headers = [(b"host", b"a.example")]
    if body:
        headers.append((b"content-length", str(len(body)).encode()))
    return OutgoingRequest(b"POST" if body else b"GET", b"/x", headers, body, ECHO)


def _response(attempt: bytes, body: bytes) -> bytes:
    length = str(len(body)).encode()
    return b"HTTP/1.1 200 OK\r\nX-Attempt: %s\r\nContent-Length: %s\r\n\r\n%s" % (
        attempt,
        length,
        body,
    )


async def _run_exchange(target: Target, req: OutgoingRequest) -> tuple[Connection, object]:
    """Run one exchange against a function that acts as the target."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, target, listeners)
        conn = Connection(await trio.open_tcp_stream("127.0.0.1", port))
        try:
            with trio.fail_after(5):
                result: object = await conn.exchange(req)
        except ExchangeError as exc:
            result = exc
        nursery.cancel_scope.cancel()
    return conn, result


async def test_response_to_an_earlier_request_is_skipped() -> None:
    """Guards against returning the response to an earlier request to the caller."""

    async def target(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(_response(b"1", b"other") + _response(b"2", b"own"))
        await trio.sleep(1)

    _, response = await _run_exchange(target, _request())
    assert response.body == b"own"


async def test_truncated_response_is_an_error() -> None:
    """Guards against passing a truncated response to the caller as complete."""

    async def target(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(_response(b"2", b"whole body")[:-3])

    _, error = await _run_exchange(target, _request())
    assert isinstance(error, ExchangeError)
    assert error.sent


async def test_response_without_length_ends_with_its_connection() -> None:
    """Guards against losing a response without a length, and against reusing its connection.

    The end of such a response is the end of its connection.
    """

    async def target(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(b"HTTP/1.1 200 OK\r\nX-Attempt: 2\r\n\r\nall of it")
        await stream.aclose()

    conn, response = await _run_exchange(target, _request())
    assert response.body == b"all of it"
    assert not conn.reusable


async def test_connection_with_bytes_after_a_response_is_not_reused() -> None:
    """Guards against reading extra bytes as the response to the next request."""

    async def target(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(_response(b"2", b"own") + b"garbage")
        await trio.sleep(1)

    conn, response = await _run_exchange(target, _request())
    assert response.body == b"own"
    assert not conn.reusable


async def test_early_response_ends_the_connection() -> None:
    """Guards against reusing a connection on which a request body was not sent completely.

    The target would read the rest of the body as part of the next request.
    """

    async def target(stream: trio.SocketStream) -> None:
        await stream.receive_some(100)
        await stream.send_all(_response(b"2", b"too long"))
        await trio.sleep(1)

    conn, response = await _run_exchange(target, _request(b"x" * 8_000_000))
    assert response.body == b"too long"
    assert not conn.reusable


@pytest.mark.parametrize("junk", [b"\x00\x01\x02\r\n\r\n", b"HTTP/1.1 abc\r\n\r\n"])
async def test_malformed_response_is_an_error(junk: bytes) -> None:
    """Guards against a crash of the host when a target sends bytes that are not HTTP."""

    async def target(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(junk)

    _, error = await _run_exchange(target, _request())
    assert isinstance(error, ExchangeError)


async def test_cancelled_command_resets_its_connection(loopback) -> None:
    # Guards against a cancelled grant that stays in the kernel's send buffer while the network is
    # interrupted and takes effect after its keys were granted to another target
    # (silent-connections.toml --vary, seed 835399021068).
    ip, _, port = loopback().rpartition(":")
    listener = (await trio.open_tcp_listeners(int(port), host=ip))[0]
    pool = TargetPool(f"{ip}:{port}")
    req = OutgoingRequest(b"POST", b"/grant", [(b"host", b"a"), (b"content-length", b"0")], b"")
    async with trio.open_nursery() as nursery:

        async def send_with_timeout() -> None:
            with trio.move_on_after(0.1):
                await pool.exchange(req, repeatable=True)

        nursery.start_soon(send_with_timeout)
        target = await listener.accept()
        assert await target.receive_some(1024)
        with pytest.raises(trio.BrokenResourceError), trio.fail_after(2.0):
            await target.receive_some(1024)
    await listener.aclose()


async def test_head_without_an_end_is_refused() -> None:
    """Guards against a target that sends a head for as long as the connection is open."""

    async def target(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(b"HTTP/1.1 200 OK\r\n")
        while True:
            await stream.send_all(b"X-Filler: " + b"a" * 1000 + b"\r\n")

    _, result = await _run_exchange(target, _request())
    assert isinstance(result, ExchangeError)
    assert result.sent


async def test_interim_responses_without_an_end_are_refused() -> None:
    """Guards against a target that never gets to its final response."""

    async def target(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        while True:
            await stream.send_all(b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n")

    _, result = await _run_exchange(target, _request())
    assert isinstance(result, ExchangeError)
    assert "interim" in str(result)


async def test_bodies_without_an_end_on_several_connections_share_the_memory_of_the_host() -> None:
    """Guards against a host that is killed, as a target sends bytes without end on each connection.

    Once the exchanges have ended, the memory is free again.
    """
    memory = BodyMemory(2_000_000)
    largest = 0

    async def target(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while True:
            await stream.send_all(b"1000\r\n" + b"a" * 4096 + b"\r\n")

    async def run(results: list[object]) -> None:
        nonlocal largest
        reservation = memory.reserve()
        _, result = await _run_exchange(target, replace(_request(), memory=reservation))
        largest = max(largest, memory.used_bytes)
        reservation.close()
        results.append(result)

    results: list[object] = []
    async with trio.open_nursery() as nursery:
        for _ in range(6):
            nursery.start_soon(run, results)
    assert all(isinstance(result, ExchangeError) for result in results)
    assert len(results) == 6
    assert largest <= memory.limit_bytes
    assert memory.used_bytes == 0


CHUNKED = b"HTTP/1.1 200 OK\r\nX-Attempt: 2\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("start", "filler"),
    [
        (CHUNKED + b"1;ext=", b"a" * 1000),
        (CHUNKED + b"1\r\na\r\n0\r\n", b"X-Filler: a\r\n" * 100),
        (CHUNKED, b"1;ext=" + b"a" * 5000 + b"\r\na\r\n"),
    ],
    ids=["chunk extension", "trailer", "extensions of many chunks"],
)
async def test_chunked_framing_without_an_end_is_refused(start: bytes, filler: bytes) -> None:
    """Guards against a target that sends framing, and hardly any body, until its caller leaves."""

    async def target(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(start)
        while True:
            await stream.send_all(filler)

    _, result = await _run_exchange(target, _request())
    assert isinstance(result, ExchangeError)
    assert result.sent


async def test_body_in_chunks_of_one_byte_is_complete() -> None:
    """Guards against a bound of the framing that refuses valid responses in small chunks."""
    body = b"ab" * 50_000

    async def target(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(CHUNKED + b"1\r\na\r\n1\r\nb\r\n" * 50_000 + b"0\r\n\r\n")
        await trio.sleep(1)

    conn, response = await _run_exchange(target, _request())
    assert response.body == body
    assert conn.reusable


async def test_request_that_cannot_be_sent_is_a_failed_exchange() -> None:
    """Guards against an exception that ends the leader, if a path or a header is not valid HTTP."""

    async def target(stream: trio.SocketStream) -> None:
        await stream.receive_some()

    conn, result = await _run_exchange(target, replace(_request(), target=b"/a b"))
    assert isinstance(result, ExchangeError)
    assert not result.sent
    assert not conn.reusable


@pytest.mark.parametrize("status", [b"200 OK", b"503 Busy"])
async def test_additional_bytes_without_an_id_are_no_response(status: bytes) -> None:
    """Guards against late additional bytes of a target that reach a caller as its response."""
    extra = b"HTTP/1.1 " + status + b"\r\nContent-Length: 5\r\n\r\nextra"

    async def target(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(extra + _response(b"2", b"own"))

    _, result = await _run_exchange(target, _request())
    assert isinstance(result, HttpResponse)
    assert result.body == b"own"


async def test_success_without_the_signature_of_the_target_is_no_response() -> None:
    """Guards against spoilt bytes that reach a caller as a success."""

    async def target(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(_response(b"2", b"spoilt"))

    conn, result = await _run_exchange(target, replace(_request(), success_header=b"x-signature"))
    assert isinstance(result, ExchangeError)
    assert result.sent
    assert not conn.reusable
