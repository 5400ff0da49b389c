"""Graceful shutdown of the listener for callers."""

from __future__ import annotations

import json
import socket
from contextlib import suppress
from dataclasses import replace
from random import Random
from typing import TYPE_CHECKING, Any

import pytest
import trio

from radishshunt.gateway.app import GatewayHost
from radishshunt.gateway.key_maps import KEY_MAP_PREFIX, encode_key_map
from radishshunt.gateway.model import LAST_KEY, KeyMap, KeyRange
from radishshunt.gateway.rows import Topic
from radishshunt.http_server import HttpServer
from radishshunt.platform.catalog import CatalogReader
from radishshunt.platform.store import HttpRowStore
from radishshunt.platform.target_protocol import HttpTargetProtocol
from tests.test_gateway.conftest import CONFIGURATION, apply_row, entry_value

if TYPE_CHECKING:
    from collections.abc import Callable

    from radishshunt.gateway.settings import HostSettings

CALLERS = 40
GET = b"GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"


async def _slow_app(scope: Any, receive: Any, send: Any) -> None:
    await trio.sleep(0.3)
    headers = [(b"content-length", b"2")]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": b"ok", "more_body": False})


async def test_idle_connections_close_and_a_running_request_completes(
    loopback: Callable[[], str],
) -> None:
    """Guards against a shutdown that aborts a running request, or waits for idle connections."""
    address = loopback()
    ip, _, port = address.rpartition(":")
    server = HttpServer(_slow_app, address, name="callers")
    async with trio.open_nursery() as nursery:
        await nursery.start(server.run)
        idle = await trio.open_tcp_stream(ip, int(port))
        busy = await trio.open_tcp_stream(ip, int(port))
        await busy.send_all(GET)
        await trio.sleep(0.1)
        server.close_after_response = True
        await server.stop_accepting()
        server.close_idle()
        with trio.fail_after(2):
            assert await idle.receive_some() == b""
            response = b""
            while data := await busy.receive_some():
                response += data
        assert response.startswith(b"HTTP/1.1 200")
        assert response.endswith(b"ok")
        with trio.fail_after(3):
            while server.open_connections:
                await trio.sleep(0.01)
        nursery.cancel_scope.cancel()


async def _call_until_refused(ip: str, port: int, results: list[bytes], rng: Random) -> None:
    """Send requests on new connections until these are refused, and record the responses."""
    while True:
        try:
            stream = await trio.open_tcp_stream(ip, port)
        except OSError:
            return
        response = b""
        try:
            # The connection has been accepted, and its first request is on its way.
            await trio.sleep(rng.uniform(0.0, 0.03))
            await stream.send_all(GET)
            while not response.endswith(b"ok") and (data := await stream.receive_some()):
                response += data
        except trio.BrokenResourceError:
            response = b"cut"
        results.append(response)
        await trio.aclose_forcefully(stream)


async def test_connections_that_were_just_accepted_are_served_before_the_host_stops(
    loopback: Callable[[], str],
) -> None:
    """Guards against a planned stop under load that cuts requests which have just been accepted.

    Seen in features/guarantees.feature:24, with two of some hundred requests.
    """
    address = loopback()
    ip, _, port = address.rpartition(":")
    server = HttpServer(_slow_app, address, name="callers")
    results: list[bytes] = []
    async with trio.open_nursery() as nursery:
        await nursery.start(server.run)
        async with trio.open_nursery() as callers:
            for number in range(CALLERS):
                callers.start_soon(_call_until_refused, ip, int(port), results, Random(number))
            await trio.sleep(0.7)
            server.close_after_response = True
            await server.stop_accepting()
            with trio.fail_after(3):
                while server.open_connections:
                    server.close_idle()
                    await trio.sleep(0.02)
            nursery.cancel_scope.cancel()
    assert len(results) > CALLERS
    assert [result for result in results if not result.startswith(b"HTTP/1.1 200")] == []


async def _read_response(stream: trio.SocketStream, seconds: float = 2) -> bytes:
    """Return the response on a connection, as far as it gets, without the caller's own errors."""
    response = b""
    with trio.move_on_after(seconds), suppress(trio.BrokenResourceError):
        while not response.endswith(b"ok") and (data := await stream.receive_some()):
            response += data
    return response


@pytest.mark.parametrize("parts", [(GET,), (GET[:20], GET[20:])])
async def test_request_that_arrives_as_its_idle_connection_is_closed_is_answered(
    loopback: Callable[[], str], parts: tuple[bytes, ...]
) -> None:
    """Guards against reading a request on a kept connection and closing it without an answer.

    The request arrives after the check for input and before the event loop polls its sockets.
    """
    address = loopback()
    ip, _, port = address.rpartition(":")
    server = HttpServer(_slow_app, address, name="callers")
    async with trio.open_nursery() as nursery:
        await nursery.start(server.run)
        caller = await trio.open_tcp_stream(ip, int(port))
        await caller.send_all(GET)
        assert (await _read_response(caller)).startswith(b"HTTP/1.1 200")
        server.close_after_response = True
        await server.stop_accepting()
        raw = socket.socket(fileno=caller.socket.fileno())
        server.close_idle()
        for part in parts:
            raw.send(part)
            await trio.sleep(0.01)
        raw.detach()
        response = await _read_response(caller)
        nursery.cancel_scope.cancel()
    assert response.startswith(b"HTTP/1.1 200")
    assert b"connection: close" in response


LONG_CONFIGURATION = {
    "Version": 8,
    "Resources": [
        (
            {**resource, "Spec": {**resource["Spec"], "TimeoutMs": 20_000, "SloMs": 10_000}}
            if resource["ResourceKind"] == "Routes"
            else resource
        )
        for resource in CONFIGURATION["Resources"]
    ],
}


async def test_stopping_host_answers_every_request_before_it_exits(
    loopback: Callable[[], str], cfg: HostSettings
) -> None:
    """Guards against a planned stop that cuts requests which wait for a place at their target.

    One request is with the target, the others wait at the host; all have time left.
    """
    callers = loopback()
    cfg = replace(cfg, callers_address=callers, bounds=replace(cfg.bounds, stop_grace_seconds=3.6))
    store = HttpRowStore(cfg.store_address)
    host = GatewayHost(cfg, store, CatalogReader(), HttpTargetProtocol(), "/ready")
    host.sender.chooser.hosts = 24
    received = 0
    responses: list[bytes] = []

    async def target(stream: trio.SocketStream) -> None:
        nonlocal received
        received += bool(await stream.receive_some())
        await trio.sleep_forever()

    async def call(number: int) -> None:
        ip, _, port = callers.rpartition(":")
        stream = await trio.open_tcp_stream(ip, int(port))
        head = f"GET /reads/{number} HTTP/1.1\r\nHost: a.example\r\n"
        head += "X-Radishshunt-Shard-Key: 5\r\nX-Radishshunt-Deadline-Ms: 9000\r\n\r\n"
        await stream.send_all(head.encode())
        responses.append(await _read_response(stream, seconds=8))

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        nursery.start_soon(trio.serve_listeners, target, listeners)
        apply_row(host.view, Topic.OPERATOR, "config", json.dumps(LONG_CONFIGURATION).encode(), 1)
        apply_row(host.view, Topic.TARGETS, "i-1", entry_value(address), 2)
        key_map = encode_key_map(KeyMap((KeyRange(0, LAST_KEY, "i-1", 1, 1),), 2))
        apply_row(host.view, Topic.OWN, KEY_MAP_PREFIX + "register", key_map, 3)
        async with trio.open_nursery() as calls:
            async with trio.open_nursery() as processes:
                await processes.start(host._caller_server.run)
                for number in range(4):
                    calls.start_soon(call, number)
                await trio.sleep(0.2)
                started_at = trio.current_time()
                await host.stop()
                processes.cancel_scope.cancel()
            assert trio.current_time() - started_at < 3.6
        nursery.cancel_scope.cancel()
    assert received == 1
    assert sorted(response[:12] for response in responses) == [b"HTTP/1.1 503"] * 3 + [
        b"HTTP/1.1 504"
    ]


async def test_slow_release_of_the_lease_does_not_delay_the_stop(
    loopback: Callable[[], str], cfg: HostSettings, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a leader that serves idle connections until its exit, while the store is slow.

    A request that arrives late would be given up at its target when the grace period ends.
    """
    callers = loopback()
    cfg = replace(cfg, callers_address=callers)
    store = HttpRowStore(cfg.store_address)
    host = GatewayHost(cfg, store, CatalogReader(), HttpTargetProtocol(), "/ready")
    released = trio.Event()

    async def release_lease() -> None:
        await trio.sleep(3.2)
        released.set()

    monkeypatch.setattr(host.leadership, "release_lease", release_lease)
    ip, _, port = callers.rpartition(":")
    async with trio.open_nursery() as nursery:
        await nursery.start(host._caller_server.run)
        idle = await trio.open_tcp_stream(ip, int(port))
        async with trio.open_nursery() as stopping:
            stopping.start_soon(host.stop)
            with trio.fail_after(3.0):
                assert await idle.receive_some() == b""
        assert released.is_set()
        nursery.cancel_scope.cancel()
