"""Connections to peers that send malformed bytes or go silent, over real sockets."""

from __future__ import annotations

import contextlib
import logging
import os
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest
import trio

import radishshunt.peers
from radishshunt.errors import PeerUnavailable
from radishshunt.model import HostInfo
from radishshunt.peers import PeerNetwork
from radishshunt.wire.codec import encode
from radishshunt.wire.messages import PROTOCOL_VERSION, Acknowledge, Fetch, Hello

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from radishshunt.wire.connection import PeerConnection, Stream
    from radishshunt.wire.messages import Message

NET = int(os.environ.get("RADISHSHUNT_TEST_NET", "60")) + 1


def host_info(number: int) -> HostInfo:
    """Return a host with a unique address."""
    return HostInfo(f"host-{number}", "akl-a", f"127.{NET}.7.{number}:8082", number)


async def acknowledge(_conn: PeerConnection, stream: Stream, _msg: Message) -> None:
    """Answer a message with an acknowledgement."""
    await stream.send(Acknowledge(True))


@asynccontextmanager
async def running(*numbers: int) -> AsyncIterator[list[PeerNetwork]]:
    """Run the networks of hosts that know each other and answer fetches."""
    networks = [PeerNetwork(host_info(number), host_info(number).address) for number in numbers]
    async with trio.open_nursery() as nursery:
        for network in networks:
            network.register(Fetch, acknowledge)
            network.update_hosts([host_info(number) for number in numbers])
            await nursery.start(network.run)
        yield networks
        nursery.cancel_scope.cancel()


async def wait_for_record(caplog: pytest.LogCaptureFixture, text: str) -> None:
    """Wait until a line that contains a text is logged."""
    with trio.fail_after(5.0):
        while not any(text in record.message for record in caplog.records):
            await trio.sleep(0.01)


HELLO = encode(0, Hello(PROTOCOL_VERSION, "host-9", 9, "akl-a"))
MALFORMED = {
    "no frame": b"\xff" * 100,
    "too large": (1 << 30).to_bytes(4, "big"),
    "no capnp": (16).to_bytes(4, "big") + b"\x07" * 16,
    "garbage after the hello": HELLO + (24).to_bytes(4, "big") + b"\xf0" * 24,
    "no hello": encode(1, Fetch("catalog")),
    "other protocol": encode(0, Hello(99, "host-9", 9, "akl-a")),
}


@pytest.mark.parametrize("kind", MALFORMED)
async def test_peer_that_sends_malformed_bytes_is_disconnected_and_logged(
    kind: str, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a faulty peer whose malformed bytes stop the host, or that stays connected."""
    async with running(1, 2) as (first, second):
        with caplog.at_level(logging.INFO):
            sock = await trio.open_tcp_stream(f"127.{NET}.7.1", 8082)
            await sock.send_all(MALFORMED[kind])
            with trio.fail_after(5.0):
                while await sock.receive_some():
                    pass
            await wait_for_record(caplog, "cut the connection")
        assert await second.call(first.me.host, Fetch("x"), 1.0) == Acknowledge(True)


async def test_silent_connection_is_replaced_and_its_streams_end(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against requests that wait forever on a connection that has gone silent."""
    async with running(1, 2) as (first, second), trio.open_nursery() as nursery:
        # The first connection of the relay goes silent while new connections work.
        relay = await nursery.start(_relay, f"127.{NET}.7.3", second.me.address)
        first.forget(second.me.host)
        first.update_hosts([HostInfo("host-2", "akl-a", f"127.{NET}.7.3:8082", 2)])
        assert await first.call("host-2", Fetch("x"), 1.0) == Acknowledge(True)
        old = await first.connection("host-2")
        relay["silent"] = 1
        stream = await old.open_stream(Fetch("y"))
        with caplog.at_level(logging.INFO):
            with pytest.raises(PeerUnavailable):
                await first.call("host-2", Fetch("x"), 0.2)
            assert await first.call("host-2", Fetch("x"), 1.0) == Acknowledge(True)
            await wait_for_record(caplog, "host-2 is silent and is replaced")
        assert await first.connection("host-2") is not old
        with trio.fail_after(3.0), pytest.raises(PeerUnavailable):
            await stream.receive()
        assert old.closed
        nursery.cancel_scope.cancel()


async def test_slow_answer_does_not_close_a_connection_that_works() -> None:
    """Guards against a late answer that ends all requests to its host by closing the connection."""
    async with running(1, 2) as (first, second):

        async def answer_late(_conn: PeerConnection, stream: Stream, msg: Message) -> None:
            if msg.name == "slow":
                await trio.sleep(0.6)
            await stream.send(Acknowledge(True))

        second.register(Fetch, answer_late)
        conn = await first.connection("host-2")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_call_repeatedly, first)
            with pytest.raises(PeerUnavailable):
                await first.call("host-2", Fetch("slow"), 0.3)
        assert await first.connection("host-2") is conn
        assert not conn.closed


async def test_idle_connection_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against idle connections that accumulate, including those whose dialler vanished."""
    monkeypatch.setattr(radishshunt.peers, "IDLE_SECONDS", 0.3)
    monkeypatch.setattr(radishshunt.peers, "PEER_IDLE_SECONDS", 0.6)
    async with running(1, 2) as (first, _second):
        conn = await first.connection("host-2")
        sock = await trio.open_tcp_stream(f"127.{NET}.7.1", 8082)
        await sock.send_all(HELLO)
        with trio.fail_after(5.0):
            while await sock.receive_some():
                pass
            while not conn.closed:
                await trio.sleep(0.01)
        assert await first.call("host-2", Fetch("x"), 1.0) == Acknowledge(True)


async def test_host_is_dialled_at_its_new_address() -> None:
    """Guards against calls to the former address of a host that was replaced at another one."""
    async with running(1, 2, 4) as (first, _second, _third):
        old = await first.connection("host-2")
        first.update_hosts([HostInfo("host-2", "akl-a", host_info(4).address, 5)])
        assert old.closed
        with pytest.raises(PeerUnavailable, match="is not host host-2"):
            await first.call("host-2", Fetch("x"), 1.0)


async def test_host_at_a_seed_address_is_identified() -> None:
    """Guards against a new host that cannot call its seeds, as it knows only their addresses."""
    async with running(1, 2) as (first, second):
        first.forget("host-2")
        found = await first.identify(second.me.address)
        assert (found.host, found.incarnation) == ("host-2", 2)
        assert await first.call("host-2", Fetch("x"), 1.0) == Acknowledge(True)
        with pytest.raises(PeerUnavailable):
            await first.identify(f"127.{NET}.7.9:8082")


async def _call_repeatedly(network: PeerNetwork) -> None:
    for _ in range(8):
        await network.call("host-2", Fetch("quick"), 1.0)
        await trio.sleep(0.05)


async def _relay(
    ip: str, to: str, task_status: trio.TaskStatus[dict] = trio.TASK_STATUS_IGNORED
) -> None:
    """Relay connections; while ``silent`` is 1, drop all bytes of the first connection."""
    state = {"silent": 0, "count": 0}

    async def pump(source: trio.SocketStream, sink: trio.SocketStream, number: int) -> None:
        async for data in source:
            if not (state["silent"] and number == 1):
                await sink.send_all(data)

    async def relay_connection(sock: trio.SocketStream) -> None:
        state["count"] += 1
        number = state["count"]
        host, _, port = to.rpartition(":")
        other = await trio.open_tcp_stream(host, int(port))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_ignore_broken_connection, pump, sock, other, number)
            nursery.start_soon(_ignore_broken_connection, pump, other, sock, number)

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(8082, host=ip)
        task_status.started(state)
        await trio.serve_listeners(relay_connection, listeners, handler_nursery=nursery)


async def _ignore_broken_connection(pump, *args) -> None:
    with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
        await pump(*args)
