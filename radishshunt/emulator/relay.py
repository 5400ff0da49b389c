"""Stand-in for the network: relays TCP connections and cuts or silences chosen links."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import trio
from quart import Response, request
from quart_trio import QuartTrio

if TYPE_CHECKING:
    from collections.abc import Iterable

READ_BYTES = 64 * 1024


class LinkState(Enum):
    """What a link does with connections and bytes."""

    # Carries everything.
    PASS = "pass"
    # Resets open connections and refuses new ones.
    CUT = "cut"
    # Accepts connections and drops all bytes, open and new, in both directions.
    SILENT = "silent"
    # Drops the bytes of connections that were open when the state was set; new ones work.
    SILENT_OPEN = "silent-open"
    # Drops the bytes from the side that dialled; answers still come.
    DROP_FORWARD = "drop-forward"
    # Drops the bytes towards the side that dialled.
    DROP_BACK = "drop-back"


@dataclass(frozen=True, slots=True)
class Route:
    """A relayed address.

    :param name: Name of the destination in link rules.
    :param listen: ``ip:port`` that others connect to.
    :param forward: ``ip:port`` that the destination listens on.
    """

    name: str
    listen: str
    forward: str


class _Connection:
    """One relayed connection and the state that it follows."""

    def __init__(self, relay: Relay, source: str, destination: str) -> None:
        self._relay = relay
        self.source = source
        self.destination = destination
        self.silenced = False
        self.scope = trio.CancelScope()

    def count(self, size: int) -> None:
        """Count bytes that were passed on, in either direction."""
        self._relay.carried[(self.source, self.destination)] += size

    def carries(self, *, forward: bool) -> bool:
        """Return whether bytes in a direction are passed on now."""
        state = self._relay.state(self.source, self.destination)
        if self.silenced or state is LinkState.SILENT:
            return False
        dropped = LinkState.DROP_FORWARD if forward else LinkState.DROP_BACK
        return state is not dropped


class Relay:
    """Relays connections between parts that run on addresses of their own.

    The source of a connection is the IP number it comes from, so that each pair can be cut
    separately. A rule for source ``*`` holds for all sources without a rule of their own.

    :param routes: Addresses to relay.
    :ivar carried: Bytes passed on, by source and destination of their connection.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self._routes = list(routes)
        self._states: dict[tuple[str, str], LinkState] = {}
        self._open: set[_Connection] = set()
        self.carried: Counter[tuple[str, str]] = Counter()
        self.app = self._build_app()

    def state(self, source: str, destination: str) -> LinkState:
        """Return the state of a link.

        :param source: IP number of the side that dials.
        :param destination: Name of the route.
        """
        default = self._states.get(("*", destination), LinkState.PASS)
        return self._states.get((source, destination), default)

    def set_state(self, source: str, destination: str, state: LinkState) -> None:
        """Change a link, including its open connections."""
        if state is LinkState.SILENT_OPEN:
            for conn in self._matching(source, destination):
                conn.silenced = True
            return
        self._states[(source, destination)] = state
        if state is LinkState.CUT:
            for conn in self._matching(source, destination):
                conn.scope.cancel()

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Relay until cancelled."""
        async with trio.open_nursery() as nursery:
            for route in self._routes:
                ip, _, port = route.listen.rpartition(":")
                listeners = await trio.open_tcp_listeners(int(port), host=ip)
                nursery.start_soon(self._serve, route, listeners)
            task_status.started()

    def _matching(self, source: str, destination: str) -> list[_Connection]:
        return [
            conn
            for conn in self._open
            if conn.destination == destination and source in ("*", conn.source)
        ]

    async def _serve(self, route: Route, listeners: list[trio.SocketListener]) -> None:
        async def handle(near: trio.SocketStream) -> None:
            await self._relay(route, near)

        await trio.serve_listeners(handle, listeners)

    async def _relay(self, route: Route, near: trio.SocketStream) -> None:
        source = near.socket.getpeername()[0]
        if self.state(source, route.name) is LinkState.CUT:
            _reset_on_close(near)
            await trio.aclose_forcefully(near)
            return
        conn = _Connection(self, source, route.name)
        ip, _, port = route.forward.rpartition(":")
        try:
            far = await trio.open_tcp_stream(ip, int(port))
        except OSError:
            _reset_on_close(near)
            await trio.aclose_forcefully(near)
            return
        self._open.add(conn)
        try:
            with conn.scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(_copy, near, far, conn, True)
                    nursery.start_soon(_copy, far, near, conn, False)
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self._open.discard(conn)
            for stream in (near, far):
                if conn.scope.cancelled_caught:
                    _reset_on_close(stream)
                with trio.CancelScope(shield=True):
                    await trio.aclose_forcefully(stream)

    def _build_app(self) -> QuartTrio:
        app = QuartTrio("radishshunt.emulator.relay", static_folder=None)

        @app.get("/links")
        async def links() -> dict:
            carried = [[s, d, size] for (s, d), size in self.carried.items()]
            return {"open": len(self._open), "carried": carried}

        @app.put("/links")
        async def set_link() -> Response:
            doc = await request.get_json()
            self.set_state(doc["source"], doc["destination"], LinkState(doc["state"]))
            return Response(b"", status=204)

        return app


async def _copy(
    source: trio.SocketStream, sink: trio.SocketStream, conn: _Connection, forward: bool
) -> None:
    while True:
        data = await source.receive_some(READ_BYTES)
        if not conn.carries(forward=forward):
            # A silent link passes on neither bytes nor the end of the connection.
            if not data:
                await trio.sleep_forever()
            continue
        if not data:
            await sink.send_eof()
            return
        conn.count(len(data))
        await sink.send_all(data)


def _reset_on_close(stream: trio.SocketStream) -> None:
    """Make closing send a reset, as a lost process or an active firewall does."""
    linger = (1).to_bytes(4, "little") + bytes(4)
    stream.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, linger)
