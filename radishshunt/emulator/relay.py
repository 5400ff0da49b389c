"""Emulator of the network: relays TCP connections and cuts or silences selected links."""

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
    """How a link treats connections and bytes."""

    # Passes on everything.
    PASS = "pass"
    # Resets open connections and refuses new ones.
    CUT = "cut"
    # Accepts connections and drops all bytes, open and new, in both directions.
    SILENT = "silent"
    # Drops all bytes on connections that were open when the state was set; new connections work.
    SILENT_OPEN = "silent-open"
    # Drops the bytes from the side that connected; bytes towards it still pass.
    DROP_FORWARD = "drop-forward"
    # Drops the bytes towards the side that connected.
    DROP_BACK = "drop-back"


@dataclass(frozen=True, slots=True)
class Route:
    """A relayed address.

    :param name: Name of the destination in link rules.
    :param listen_address: ``ip:port`` that clients connect to.
    :param forward_address: ``ip:port`` that the destination listens on.
    """

    name: str
    listen_address: str
    forward_address: str


class _Connection:
    """One relayed connection; the state of its link applies to it at any time."""

    def __init__(self, relay: Relay, source: str, destination: str) -> None:
        self._relay = relay
        self.source = source
        self.destination = destination
        self.silent = False
        self.scope = trio.CancelScope()

    def add_relayed_bytes(self, size: int) -> None:
        """Count relayed bytes of either direction."""
        self._relay.relayed_bytes[(self.source, self.destination)] += size

    def passes(self, *, forward: bool) -> bool:
        """Return whether bytes in a direction are passed on in the current state."""
        state = self._relay.state(self.source, self.destination)
        if self.silent or state is LinkState.SILENT:
            return False
        dropped = LinkState.DROP_FORWARD if forward else LinkState.DROP_BACK
        return state is not dropped


class Relay:
    """Relays connections between processes, each of which has its own IP address.

    The source of a connection is the IP address it comes from, so that the link of each pair can
    be cut separately. A rule for source ``*`` applies to all sources without their own rule.

    :param routes: Addresses to relay.
    :ivar relayed_bytes: Number of relayed bytes by source and destination of the connection.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self._routes = list(routes)
        self._link_states: dict[tuple[str, str], LinkState] = {}
        self._connections: set[_Connection] = set()
        self.relayed_bytes: Counter[tuple[str, str]] = Counter()
        self.app = self._build_app()

    def state(self, source: str, destination: str) -> LinkState:
        """Return the state of a link.

        :param source: IP address of the side that connects.
        :param destination: Name of the route.
        """
        default = self._link_states.get(("*", destination), LinkState.PASS)
        return self._link_states.get((source, destination), default)

    def set_state(self, source: str, destination: str, state: LinkState) -> None:
        """Change the state of a link, including its open connections."""
        if state is LinkState.SILENT_OPEN:
            for conn in self._matching_connections(source, destination):
                conn.silent = True
            return
        self._link_states[(source, destination)] = state
        if state is LinkState.CUT:
            for conn in self._matching_connections(source, destination):
                conn.scope.cancel()

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Relay connections until cancelled."""
        async with trio.open_nursery() as nursery:
            for route in self._routes:
                ip, _, port = route.listen_address.rpartition(":")
                listeners = await trio.open_tcp_listeners(int(port), host=ip)
                nursery.start_soon(self._serve, route, listeners)
            task_status.started()

    def _matching_connections(self, source: str, destination: str) -> list[_Connection]:
        return [
            conn
            for conn in self._connections
            if conn.destination == destination and source in ("*", conn.source)
        ]

    async def _serve(self, route: Route, listeners: list[trio.SocketListener]) -> None:
        async def accept(inbound: trio.SocketStream) -> None:
            await self._relay_connection(route, inbound)

        await trio.serve_listeners(accept, listeners)

    async def _relay_connection(self, route: Route, inbound: trio.SocketStream) -> None:
        source = inbound.socket.getpeername()[0]
        if self.state(source, route.name) is LinkState.CUT:
            _reset_on_close(inbound)
            await trio.aclose_forcefully(inbound)
            return
        conn = _Connection(self, source, route.name)
        ip, _, port = route.forward_address.rpartition(":")
        try:
            outbound = await trio.open_tcp_stream(ip, int(port))
        except OSError:
            _reset_on_close(inbound)
            await trio.aclose_forcefully(inbound)
            return
        self._connections.add(conn)
        try:
            with conn.scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(_copy_bytes, inbound, outbound, conn, True)
                    nursery.start_soon(_copy_bytes, outbound, inbound, conn, False)
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self._connections.discard(conn)
            for stream in (inbound, outbound):
                if conn.scope.cancelled_caught:
                    _reset_on_close(stream)
                with trio.CancelScope(shield=True):
                    await trio.aclose_forcefully(stream)

    def _build_app(self) -> QuartTrio:
        app = QuartTrio("radishshunt.emulator.relay", static_folder=None)

        @app.get("/links")
        async def links() -> dict:
            carried = [[s, d, size] for (s, d), size in self.relayed_bytes.items()]
            return {"open": len(self._connections), "carried": carried}

        @app.put("/links")
        async def set_link() -> Response:
            doc = await request.get_json()
            self.set_state(doc["source"], doc["destination"], LinkState(doc["state"]))
            return Response(b"", status=204)

        return app


async def _copy_bytes(
    source: trio.SocketStream, sink: trio.SocketStream, conn: _Connection, forward: bool
) -> None:
    while True:
        data = await source.receive_some(READ_BYTES)
        if not conn.passes(forward=forward):
            # A silent link passes on neither bytes nor the end of the connection.
            if not data:
                await trio.sleep_forever()
            continue
        if not data:
            await sink.send_eof()
            return
        conn.add_relayed_bytes(len(data))
        await sink.send_all(data)


def _reset_on_close(stream: trio.SocketStream) -> None:
    """Make closing the stream send a TCP reset, as a crashed process or a firewall can."""
    linger = (1).to_bytes(4, "little") + bytes(4)
    stream.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, linger)
