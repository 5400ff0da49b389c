"""Targets in memory, some of whose requests end them, for tests on trio's test clock."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import h11
import trio
import trio.testing

from radishshunt.gateway.protocol import CallerRequest
from radishshunt.util.streams import ConnectFailed, ConnectTimeout
from tests.test_gateway.conftest import CONFIGURATION

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

CRASHING_PATH = "/reads/crashing"
HARMLESS_PATH = "/reads/harmless"
SLOW_PATH = "/reads/slow/"
HEALTH_PATH = "/healthz"
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Radishshunt-Server-Signature: s\r\n\r\nok"
ERROR = b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n"
# The same configuration, but any target may serve any request, up to four of them one after the
# other.
WITHOUT_KEYS = {
    "Version": 8,
    "Resources": [
        resource | {"Spec": resource["Spec"] | {"IsSharded": False, "MaxAttempts": 4}}
        for resource in CONFIGURATION["Resources"]
    ],
}
# Half of the targets belong to the second service.
WITHOUT_KEYS["Resources"].append(WITHOUT_KEYS["Resources"][-1] | {"Meta": {"Name": "archive"}})


class Stream:
    """End of a connection in memory; it stands for its own socket as well."""

    def __init__(self, stream: trio.StapledStream) -> None:
        self.socket = self
        self.send_all = stream.send_all
        self.receive_some = stream.receive_some
        self._stream = stream

    def setsockopt(self, *_option: object) -> None:
        pass

    def is_readable(self) -> bool:
        return False

    def close(self) -> None:
        self._stream.send_stream.close()
        self._stream.receive_stream.close()


@dataclass
class FleetTarget:
    """A target in memory.

    :ivar listening: Whether connections are accepted.
    :ivar silent: Whether nothing is answered, connection attempts included.
    :ivar identity: Registration of the process at the address.
    :ivar resets: Whether all connections are reset.
    :ivar streams: Its ends of the connections to it.
    """

    number: int
    listening: bool = True
    silent: bool = False
    resets: bool = False
    identity: str = ""
    streams: list[Stream] = field(default_factory=list)

    @property
    def id(self) -> str:
        return f"i-{self.number}"


class TargetFleet:
    """Targets at the addresses 127.0.0.1 and following.

    :ivar crash: Handles the request that crashes targets.
    :ivar arrivals: Number of arrivals of that request.
    :ivar crashed: Number of targets that it has crashed.
    :ivar arrivals_after_third_crash: Number of arrivals after the third crash.
    :ivar nursery: Runs the targets.
    """

    def __init__(self, nursery: trio.Nursery, targets: int) -> None:
        self.crash: Callable[[TargetFleet, FleetTarget, Stream], Awaitable[None]] = end
        self.arrivals = self.crashed = self.arrivals_after_third_crash = 0
        self.targets = [FleetTarget(number) for number in range(targets)]
        for target in self.targets:
            target.identity = target.id
        self.nursery = nursery

    def register(self, target: FleetTarget, born: int) -> None:
        """Write the entry of a target's process."""
        raise NotImplementedError

    async def connect(self, address: str, timeout_seconds: float) -> Stream:
        """Open a connection to a target."""
        target = self.targets[int(address.partition(":")[0].rpartition(".")[2]) - 1]
        if target.silent:
            await trio.sleep(timeout_seconds)
            raise ConnectTimeout("no answer")
        await trio.sleep(0.001)
        if not target.listening:
            raise ConnectFailed("connection refused")
        client, server = trio.testing.memory_stream_pair()
        target.streams.append(Stream(server))
        self.nursery.start_soon(self._serve, target, target.streams[-1])
        return Stream(client)

    async def _serve(self, target: FleetTarget, stream: Stream) -> None:
        http = h11.Connection(h11.SERVER)
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while not target.resets:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    http.receive_data(await stream.receive_some(65536))
                elif isinstance(event, h11.Request):
                    await self._answer(target, stream, event.target.decode())
                    http = h11.Connection(h11.SERVER)
                else:
                    break
        stream.close()

    async def _answer(self, target: FleetTarget, stream: Stream, path: str) -> None:
        if path == HEALTH_PATH:
            name = target.identity.encode()
            await stream.send_all(
                OK.replace(b"\r\n\r\n", b"\r\nX-Radishshunt-Instance-Id: " + name + b"\r\n\r\n")
            )
        elif path.startswith(CRASHING_PATH):
            self.arrivals += 1
            self.arrivals_after_third_crash += self.crashed >= 3
            await self.crash(self, target, stream)
        else:
            await trio.sleep(0.3 if path.startswith(SLOW_PATH) else 0.01)
            await stream.send_all(OK)


def build_read(path: str, seconds: float) -> CallerRequest:
    """Return a read, with or without a query."""
    now = trio.current_time()
    headers = [(b"host", b"a.example")]
    target = path.encode()
    return CallerRequest(
        "GET",
        "a.example",
        path.partition("?")[0],
        target,
        headers,
        "",
        None,
        now,
        now + seconds,
    )


async def end(fleet: TargetFleet, target: FleetTarget, stream: Stream) -> None:
    """End with a reset."""
    fleet.crashed += 1
    target.listening = False
    stream.close()


async def fall_silent(fleet: TargetFleet, target: FleetTarget, stream: Stream) -> None:
    """End without a reset, as in a loss of power."""
    fleet.crashed += 1
    target.silent = True
    await trio.sleep_forever()


async def end_at_every_second_arrival(
    fleet: TargetFleet, target: FleetTarget, stream: Stream
) -> None:
    """End, or fail without running the request."""
    if fleet.arrivals % 2:
        await end(fleet, target, stream)
    else:
        await stream.send_all(ERROR)


async def be_replaced(fleet: TargetFleet, target: FleetTarget, stream: Stream) -> None:
    """End, and let another process listen at the address at once."""
    fleet.crashed += 1
    target.identity = "another"
    stream.close()


async def reset_connection(fleet: TargetFleet, target: FleetTarget, stream: Stream) -> None:
    """Close the connection without an answer, and go on running."""
    stream.close()


async def restart(fleet: TargetFleet, target: FleetTarget, stream: Stream) -> None:
    """Restart at once under the same registration; the store has the new entry later."""
    fleet.crashed += 1
    crashed = fleet.crashed
    stream.close()

    async def register() -> None:
        await trio.sleep(0.4)
        fleet.register(target, born=1 + crashed)

    fleet.nursery.start_soon(register)
