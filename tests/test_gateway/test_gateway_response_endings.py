"""Responses that end early or have a malformed head, over real sockets."""

from __future__ import annotations

import os
import socket
import struct
from random import Random
from typing import TYPE_CHECKING

import httpx
import pytest
import trio

from radishshunt.gateway.exchange import Connection, ExchangeError, HttpResponse, OutgoingRequest
from radishshunt.target_transport import TargetTransport

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    Ending = Callable[[trio.SocketStream], Awaitable[None]]

# More seeds are run by hand.
SEEDS = int(os.environ.get("RADISHSHUNT_SEEDS", "6"))
UPLOAD_BYTES = 6_000_000
PART = b"HTTP/1.1 200 OK\r\nX-Attempt: 1\r\n\r\npart of the body"
WHOLE = [
    b"HTTP/1.1 200 OK\r\nX-Attempt: 1\r\nContent-Length: 10\r\n\r\nwhole body",
    b"HTTP/1.1 200 OK\r\nX-Attempt: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"5\r\nwhole\r\n5\r\n body\r\n0\r\n\r\n",
    b"HTTP/1.1 200\r\nX-Attempt: 1\r\nX-Other:  a \tb \r\nContent-Length: 10\r\n\r\nwhole body",
]


async def reset(stream: trio.SocketStream) -> None:
    """Reset the connection."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    stream.socket.close()


async def close(stream: trio.SocketStream) -> None:
    """Close the connection; the kernel resets it if bytes are unread."""
    stream.socket.close()


async def reset_later(stream: trio.SocketStream) -> None:
    """Reset the connection after a moment."""
    await trio.sleep(0.01)
    await reset(stream)


async def half_close_and_reset(stream: trio.SocketStream) -> None:
    """End the response, and reset the connection before the request has been read."""
    stream.socket.shutdown(socket.SHUT_WR)
    await trio.sleep(0.02)
    await reset(stream)


async def read_on_and_reset(stream: trio.SocketStream) -> None:
    """Read some more of the request, then reset the connection."""
    await stream.receive_some(300_000)
    await reset(stream)


ENDINGS = [reset, close, reset_later, half_close_and_reset, read_on_and_reset]


async def _with_target(
    serve: Callable[[trio.SocketStream], Awaitable[None]],
    use: Callable[[int], Awaitable[object]],
) -> object:
    """Serve connections, and return the result of a function that gets the port."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        try:
            with trio.fail_after(5):
                result = await use(listeners[0].socket.getsockname()[1])
        except (ExchangeError, httpx.TransportError) as exc:
            result = exc
        nursery.cancel_scope.cancel()
    return result


async def _exchange(port: int, body: bytes = b"") -> HttpResponse:
    headers = [(b"host", b"a")]
    if body:
        headers.append((b"content-length", str(len(body)).encode()))
    method = b"POST" if body else b"GET"
    req = OutgoingRequest(method, b"/x", headers, body, (b"x-attempt", b"1"))
    conn = Connection(await trio.open_tcp_stream("127.0.0.1", port))
    try:
        return await conn.exchange(req)
    finally:
        conn.close()


async def _request_by_transport(port: int) -> httpx.Response:
    transport = TargetTransport(f"127.0.0.1:{port}", max_connections=1, idle_seconds=1.0)
    response = await transport.request(
        "GET", b"/x", [(b"host", b"a")], b"", seconds=3.0, connect_seconds=3.0
    )
    await response.aread()
    return response


@pytest.mark.parametrize("ending", ENDINGS, ids=lambda ending: ending.__name__)
async def test_part_of_a_response_to_an_upload_is_not_taken_for_the_whole(ending: Ending) -> None:
    """Guards against a part that passes for a complete response without a length.

    The target responds before it has read the upload, and ends the connection. The send that
    learns of the reset leaves a regular end to the receiver.
    """

    async def serve(stream: trio.SocketStream) -> None:
        await stream.receive_some(1000)
        await stream.send_all(PART)
        await ending(stream)

    for _ in range(SEEDS):
        result = await _with_target(serve, lambda port: _exchange(port, b"x" * UPLOAD_BYTES))
        assert isinstance(result, ExchangeError)
        assert result.sent


@pytest.mark.parametrize("size", [0, 1000, 200_000])
@pytest.mark.parametrize("ending", [reset, reset_later])
async def test_reset_response_to_a_short_request_is_no_response(ending: Ending, size: int) -> None:
    """Guards against a reset that is taken for the end of a response without a length."""

    async def serve(stream: trio.SocketStream) -> None:
        await stream.receive_some(1000)
        await stream.send_all(PART)
        await ending(stream)

    for _ in range(SEEDS):
        result = await _with_target(serve, lambda port: _exchange(port, b"x" * size))
        assert isinstance(result, ExchangeError)


MALFORMED_HEADS = {
    "status 000": PART.replace(b" 200 ", b" 000 "),
    "status 099": PART.replace(b" 200 ", b" 099 "),
    "status 600": PART.replace(b" 200 ", b" 600 "),
    "status 999": PART.replace(b" 200 ", b" 999 "),
    "status 20": PART.replace(b" 200 ", b" 20 "),
    "status 2000": PART.replace(b" 200 ", b" 2000 "),
    "version 2.0": PART.replace(b"HTTP/1.1", b"HTTP/2.0"),
    "version 0.9": PART.replace(b"HTTP/1.1", b"HTTP/0.9"),
}
MALFORMED_NAMES = {
    "blank in it": b"X Field",
    "blank before the colon": b"X-Field ",
    "tab before the colon": b"X-Field\t",
    "blank before it": b" X-Field",
    "tab before it": b"\tX-Field",
    "line feed before it": b"\nX-Field",
    "line feed in it": b"X:a\nField",
    "return in it": b"X\rField",
    "return before it": b"\rX-Field",
    "control byte": b"X\x01Field",
    "delete": b"X\x7fField",
    "zero": b"X\x00Field",
    "vertical tab before it": b"\x0bX-Field",
    "nothing": b"",
    "high byte": b"X\xe9Field",
}
for _name, _field in MALFORMED_NAMES.items():
    MALFORMED_HEADS[f"name with {_name}"] = (
        b"HTTP/1.1 200 OK\r\nX-Attempt: 1\r\nContent-Length: 10\r\nX-Other: a\r\n"
        + _field
        + b": value\r\n\r\nwhole body"
    )


@pytest.mark.parametrize("reader", [_exchange, _request_by_transport])
@pytest.mark.parametrize("head", MALFORMED_HEADS.values(), ids=MALFORMED_HEADS)
async def test_response_with_a_malformed_head_is_no_response(
    head: bytes, reader: Callable[[int], Awaitable[object]]
) -> None:
    """Guards against malformed lines that are passed on, or read as a part of the body."""

    async def serve(stream: trio.SocketStream) -> None:
        await stream.receive_some(1000)
        await stream.send_all(head)

    result = await _with_target(serve, reader)
    assert isinstance(result, ExchangeError | httpx.RemoteProtocolError)


@pytest.mark.parametrize("reader", [_exchange, _request_by_transport])
@pytest.mark.parametrize("answer", WHOLE)
async def test_response_counts_only_if_it_arrives_completely(
    answer: bytes, reader: Callable[[int], Awaitable[object]]
) -> None:
    """Guards against a response that was cut or reset at some byte and counts as complete."""
    rng = Random(len(answer))
    for end in range(len(answer) + 1):

        async def serve(stream: trio.SocketStream, end: int = end) -> None:
            await stream.receive_some(1000)
            step = rng.randint(1, len(answer))
            for start in range(0, end, step):
                await stream.send_all(answer[start : min(end, start + step)])
                await trio.sleep(0)
            await rng.choice([close, reset])(stream)

        result = await _with_target(serve, reader)
        if end < len(answer):
            assert isinstance(result, ExchangeError | httpx.TransportError), end
        elif isinstance(result, HttpResponse):
            assert result.body == b"whole body"
        elif isinstance(result, httpx.Response):
            assert result.content == b"whole body"


@pytest.mark.parametrize("seed", range(SEEDS))
async def test_no_sequence_of_damaged_responses_passes_for_a_complete_one(seed: int) -> None:
    """Guards against damage to heads, lengths, chunks or versions that changes the body."""
    rng = Random(seed)
    for _ in range(60):
        answer = bytearray(rng.choice(WHOLE))
        whole = bytes(answer)
        for _ in range(rng.randint(1, 3)):
            position = rng.randrange(len(answer))
            choice = rng.random()
            if choice < 0.4:
                answer[position] = rng.choice(b"\x00\x01\t\n\r 0159:;Aa\x7f\xff")
            elif choice < 0.7:
                answer.insert(position, rng.choice(b"\x00\t\n\r 0159:;A\xff"))
            else:
                del answer[position]

        async def serve(stream: trio.SocketStream, answer: bytes = bytes(answer)) -> None:
            await stream.receive_some(1000)
            await stream.send_all(answer)
            await rng.choice([close, reset])(stream)

        result = await _with_target(serve, _exchange)
        if not isinstance(result, HttpResponse):
            continue
        head, _, body = bytes(answer).partition(b"\r\n\r\n")
        names = {line.partition(b":")[0].lower() for line in head.split(b"\r\n")[1:]}
        assert {name for name, _ in result.headers} <= names, (whole, bytes(answer))
        if b"chunked" not in head:
            assert result.body == body[: len(result.body)], (whole, bytes(answer))
