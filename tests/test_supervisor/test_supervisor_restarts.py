"""Restarts of components that fail."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from radishshunt.clock import TrioClock
from radishshunt.http_server import HttpServer
from radishshunt.supervisor import MAX_BACKOFF_SECONDS, Supervisor

if TYPE_CHECKING:
    from collections.abc import Callable


async def test_component_that_always_fails_does_not_end_the_host(autojump_clock: object) -> None:
    """Guards against one input, seen by all hosts, that ends all of their processes."""
    failures: list[tuple[str, float]] = []
    answers = 0

    async def fail() -> None:
        raise ValueError("unreadable")

    async def serve() -> None:
        nonlocal answers
        while True:
            await trio.sleep(1.0)
            answers += 1

    supervisor = Supervisor(TrioClock(), lambda name: failures.append((name, trio.current_time())))
    with trio.move_on_after(120.5):
        await supervisor.run({"reader": fail, "callers": serve})
    assert answers == 120
    assert {name for name, _ in failures} == {"reader"}
    # It is restarted again and again, but not in quick succession.
    times = [time for _, time in failures]
    assert times[1] - times[0] < 0.5
    assert 120 / MAX_BACKOFF_SECONDS <= len(times) < 40


async def test_component_that_recovers_is_restarted_quickly_again(autojump_clock: object) -> None:
    """Guards against a component that is absent for long after failures of another time."""
    starts: list[float] = []

    async def fail_at_first() -> None:
        starts.append(trio.current_time())
        if len(starts) > 8:
            await trio.sleep(60.0)
        raise ValueError("unreadable")

    with trio.move_on_after(100.0):
        await Supervisor(TrioClock()).run({"reader": fail_at_first})
    assert len(starts) >= 10
    # The 9th run lasted for 60 s.
    assert starts[9] - starts[8] < 60.5


async def test_listener_can_be_restarted_once_its_address_is_free(
    loopback: Callable[[], str],
) -> None:
    """Guards against a listener that stays closed, as it can be run only once."""
    address = loopback()
    ip, _, port = address.rpartition(":")
    blocking = await trio.open_tcp_listeners(int(port), host=ip)

    async def app(*_args: object) -> None:
        pass

    with trio.fail_after(10.0):
        async with trio.open_nursery() as nursery:
            server = HttpServer(app, address, name="callers")
            nursery.start_soon(Supervisor(TrioClock()).run, {"callers": server.run})
            await trio.sleep(0.25)
            assert not server.is_listening
            await blocking[0].aclose()
            while not server.is_listening:
                await trio.sleep(0.01)
            await (await trio.open_tcp_stream(ip, int(port))).aclose()
            nursery.cancel_scope.cancel()
