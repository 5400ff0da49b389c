"""Property-based tests of the callers' listener with generated input."""

from __future__ import annotations

import re
from functools import partial

import trio
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st

from radishshunt.errors import NotRun
from radishshunt.frontend import MAX_KEY_BYTES, parse_request
from radishshunt.settings import LimitsSection
from radishshunt.util.headers import HOP_BY_HOP_HEADERS

from .conftest import HEAD

LIMITS = LimitsSection()
HEADER_VALUES = st.binary(max_size=40).map(
    lambda b: re.sub(rb"[^\t\x20-\x7e\x80-\xff]", b"", b).strip()
)
HEADER_NAMES = st.sampled_from(
    [
        b"radishshunt-service",
        b"radishshunt-key",
        b"radishshunt-epoch",
        b"request-timeout",
        b"idempotency-key",
        b"connection",
        b"te",
        b"x-other",
        b"accept",
    ]
)
TIMEOUTS = st.one_of(st.floats().map(lambda f: str(f).encode()), HEADER_VALUES)
HEADERS = st.lists(
    st.tuples(HEADER_NAMES, st.one_of(HEADER_VALUES, st.just(b"permits"), TIMEOUTS)), max_size=8
)
METHODS = st.sampled_from(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "TRACE"])


@given(headers=HEADERS, method=METHODS, query=HEADER_VALUES)
def test_parsed_requests_are_valid(headers, method, query) -> None:
    """Guards against request heads that raise an unexpected exception, or whose forbidden headers
    or values are accepted.
    """
    scope = {"headers": headers, "method": method, "raw_path": b"/", "query_string": query}
    try:
        req = parse_request(scope, "id", 1000.0, LIMITS)
    except NotRun as exc:
        assert exc.status in (400, 405)
        assert exc.outcome == "not-run"
        return
    assert 1000.0 < req.deadline <= 1000.0 + LIMITS.max_timeout_seconds
    assert req.service == "permits" or re.fullmatch(r"[a-z0-9][a-z0-9-]*", req.service)
    assert len(req.key) <= MAX_KEY_BYTES
    names = {name for name, _ in req.headers}
    assert not names & HOP_BY_HOP_HEADERS
    assert not any(name.startswith("radishshunt-") for name in names)
    options = {
        option.strip().lower().decode("latin-1")
        for name, value in headers
        if name == b"connection"
        for option in value.split(b",")
    }
    assert not names & options


REQUEST_PARTS = st.sampled_from(
    [
        b"GET / HTTP/1.1\r\n",
        b"POST /a HTTP/1.1\r\n",
        b"PRI * HTTP/2.0\r\n",
        HEAD,
        b"Content-Length: 5\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Expect: 100-continue\r\n",
        b"Upgrade: h2c\r\nConnection: upgrade\r\n",
        b"Upgrade: websocket\r\nConnection: upgrade\r\n",
        b"Connection: close\r\n",
        b"\r\n",
        b"hello",
        b"5\r\nhello\r\n",
        b"0\r\n\r\n",
        b"\x00",
        b"\xff\xfe",
        b"\n",
        b":",
    ]
)


@settings(
    max_examples=150,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@example(
    parts=[b"PRI * HTTP/2.0\r\n", HEAD, b"Connection: close\r\n\r\n", b"hello"],
    cuts=[],
    closes=False,
)
@example(
    parts=[b"GET / HTTP/1.1\r\n", HEAD, b"Connection: close\r\n\r\n", b"hello"],
    cuts=[],
    closes=False,
)
@given(
    parts=st.lists(REQUEST_PARTS, max_size=12),
    cuts=st.lists(st.integers(0, 200), max_size=3),
    closes=st.booleans(),
)
def test_any_bytes_end_in_responses_or_a_closed_connection(
    open_listener, parts, cuts, closes
) -> None:
    """Guards against input that hangs a connection, crashes the listener, or leaks a request or
    memory.
    """
    trio.run(partial(_send_bytes, open_listener, b"".join(parts), sorted(cuts), closes))


async def _send_bytes(open_listener, data: bytes, cuts: list[int], closes: bool) -> None:
    async with open_listener(head_timeout_seconds=0.1, default_timeout_seconds=0.2) as listener:
        stream = await listener.connect()
        received = b""
        start = 0
        try:
            for cut in [*cuts, len(data)]:
                if data[start:cut]:
                    await stream.send_all(data[start:cut])
                    await trio.testing.wait_all_tasks_blocked(0.001)
                start = max(start, cut)
            if closes:
                await stream.send_eof()
            with trio.move_on_after(0.4):
                while more := await stream.receive_some(65536):
                    received += more
        except trio.BrokenResourceError:
            pass
        await stream.aclose()
        await listener.wait_idle()
        assert not received or received.startswith(b"HTTP/1.1 ")
        next_stream = await listener.connect()
        await next_stream.send_all(b"GET / HTTP/1.1\r\n" + HEAD + b"\r\n")
        with trio.fail_after(5):
            assert (await next_stream.receive_some(65536)).startswith(b"HTTP/1.1 200")
