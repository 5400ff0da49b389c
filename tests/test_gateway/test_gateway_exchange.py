"""Answers of targets, whole, cut, stray and early."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from radishshunt.gateway.exchange import Connection, ExchangeError, OutgoingRequest
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


def _answer(attempt: bytes, body: bytes) -> bytes:
    length = str(len(body)).encode()
    return b"HTTP/1.1 200 OK\r\nX-Attempt: %s\r\nContent-Length: %s\r\n\r\n%s" % (
        attempt,
        length,
        body,
    )


async def _exchange(target: Target, req: OutgoingRequest) -> tuple[Connection, object]:
    """Run one exchange against a function that plays the target."""
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


async def test_answer_to_an_earlier_request_is_skipped() -> None:
    """Guards against a caller that gets the answer to another request."""

    async def target(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(_answer(b"1", b"other") + _answer(b"2", b"own"))
        await trio.sleep(1)

    _, answer = await _exchange(target, _request())
    assert answer.body == b"own"


async def test_cut_answer_is_no_answer() -> None:
    """Guards against a cut answer that looks whole to the caller."""

    async def target(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(_answer(b"2", b"whole body")[:-3])

    _, error = await _exchange(target, _request())
    assert isinstance(error, ExchangeError)
    assert error.sent


async def test_answer_without_length_ends_with_its_connection() -> None:
    """Guards against losing answers that have no length, and against using the connection on."""

    async def target(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(b"HTTP/1.1 200 OK\r\nX-Attempt: 2\r\n\r\nall of it")
        await stream.aclose()

    conn, answer = await _exchange(target, _request())
    assert answer.body == b"all of it"
    assert not conn.reusable


async def test_connection_with_bytes_after_an_answer_is_not_reused() -> None:
    """Guards against extra bytes that the next request would read as its answer."""

    async def target(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(_answer(b"2", b"own") + b"garbage")
        await trio.sleep(1)

    conn, answer = await _exchange(target, _request())
    assert answer.body == b"own"
    assert not conn.reusable


async def test_early_answer_ends_the_connection() -> None:
    """Guards against the rest of a body being read as part of the next request."""

    async def target(stream: trio.SocketStream) -> None:
        await stream.receive_some(100)
        await stream.send_all(_answer(b"2", b"too long"))
        await trio.sleep(1)

    conn, answer = await _exchange(target, _request(b"x" * 8_000_000))
    assert answer.body == b"too long"
    assert not conn.reusable


@pytest.mark.parametrize("junk", [b"\x00\x01\x02\r\n\r\n", b"HTTP/1.1 abc\r\n\r\n"])
async def test_bytes_that_are_no_answer_fail(junk: bytes) -> None:
    """Guards against a crash of the host by bytes that are not HTTP."""

    async def target(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(junk)

    _, error = await _exchange(target, _request())
    assert isinstance(error, ExchangeError)


async def test_order_that_was_given_up_resets_its_connection(loopback) -> None:
    # Guards against a grant that stays in the system's buffers during a cut and takes effect after
    # its keys went to another target (silent-connections.toml --vary, seed 835399021068).
    ip, _, port = loopback().rpartition(":")
    listener = (await trio.open_tcp_listeners(int(port), host=ip))[0]
    pool = TargetPool(f"{ip}:{port}")
    req = OutgoingRequest(b"POST", b"/grant", [(b"host", b"a"), (b"content-length", b"0")], b"")
    async with trio.open_nursery() as nursery:

        async def give_up() -> None:
            with trio.move_on_after(0.1):
                await pool.exchange(req, repeatable=True)

        nursery.start_soon(give_up)
        target = await listener.accept()
        assert await target.receive_some(1024)
        with pytest.raises(trio.BrokenResourceError), trio.fail_after(2.0):
            await target.receive_some(1024)
    await listener.aclose()
