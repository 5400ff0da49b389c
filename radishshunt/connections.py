"""Pool of HTTP connections to one target, each of which can be checked and replaced on its own."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import trio

from radishshunt.errors import RadishshuntError
from radishshunt.target_transport import TargetTransport

if TYPE_CHECKING:
    import httpx

    from radishshunt.release.catalog import TargetSpec

# Shorter than the keep-alive time of targets, so that no request is sent on a connection that the
# target is closing.
KEEPALIVE_SECONDS = 4.0
# Connections reserved for grants, fences, cancellations and health checks.
RESERVED_CONNECTIONS = 8


class NoConnectionFree(RadishshuntError):
    """Raised when all connections that a target's limit allows are in use."""

    category = "connection limit"


class Connection:
    """One HTTP/1.1 connection, which is opened with its first request.

    :ivar control: Whether the connection was last acquired for a control call.
    """

    def __init__(self, address: str, local_address: str | None = None) -> None:
        self.transport = TargetTransport(
            address, max_connections=1, idle_seconds=KEEPALIVE_SECONDS, local_address=local_address
        )
        self._address = address
        self.control = False

    async def call(self, method: str, path: str, doc: dict | None) -> httpx.Response:
        """Make a control call with a JSON document and return the answer with its body."""
        body = b"" if doc is None else json.dumps(doc).encode()
        headers = [(b"host", self._address.encode())]
        if doc is not None:
            headers.append((b"content-type", b"application/json"))
            headers.append((b"content-length", str(len(body)).encode()))
        resp = await self.transport.request(
            method, path.encode(), headers, body, seconds=None, connect_seconds=None
        )
        await resp.aread()
        return resp

    async def aclose(self) -> None:
        """Close the socket, even in a cancelled scope."""
        with trio.CancelScope(shield=True):
            await self.transport.aclose()


class ConnectionPool:
    """Pool of connections to one target that enforces a limit on their number.

    During a takeover two hosts hold connections to the target, so each uses at most half of the
    connections that the target accepts.

    :param local_address: Source IP address of the connections.
    """

    def __init__(self, spec: TargetSpec, local_address: str | None = None) -> None:
        self._local_address = local_address
        self._address = spec.address
        self.limit = max(2, min(spec.slots + RESERVED_CONNECTIONS, spec.connections // 2))
        self._reserved = min(RESERVED_CONNECTIONS, self.limit - 1)
        self._idle: list[Connection] = []
        # Number of connections in use, by whether they are used for control calls.
        self._in_use = {False: 0, True: 0}
        self.open = 0
        self.closed = False

    async def acquire(self, *, fresh: bool = False, control: bool = False) -> Connection:
        """Acquire a connection for exclusive use; open one if none is idle.

        :param fresh: Whether to open a new connection even if one is idle.
        :param control: Whether the connection is for a control call; some are reserved for these.
        :raises NoConnectionFree: If the limit for this kind of use is reached.
        """
        limit = self._reserved if control else self.limit - self._reserved
        if self._in_use[control] >= limit:
            raise NoConnectionFree(f"{limit} connections to {self._address} are in use")
        self._in_use[control] += 1
        if self._idle and not fresh:
            conn = self._idle.pop()
        else:
            while self.open >= self.limit:
                # Fewer connections than the limit are in use, so at least one is idle.
                await self._close(self._idle.pop(0))
            self.open += 1
            conn = Connection(self._address, self._local_address)
        conn.control = control
        return conn

    async def release(self, conn: Connection) -> None:
        """Return an acquired connection to the pool after a complete exchange."""
        if self.closed:
            await self.discard(conn)
        else:
            self._in_use[conn.control] -= 1
            self._idle.append(conn)

    async def discard(self, conn: Connection) -> None:
        """Close an acquired connection instead of returning it."""
        self._in_use[conn.control] -= 1
        await self._close(conn)

    async def close_idle(self) -> None:
        """Close the idle connections; call this when one connection of the pool has gone silent.

        The idle ones may have gone silent for the same reason.
        """
        idle, self._idle = self._idle, []
        for conn in idle:
            await self._close(conn)

    async def _close(self, conn: Connection) -> None:
        try:
            await conn.aclose()
        finally:
            self.open -= 1

    async def aclose(self) -> None:
        """Close the idle connections now and the others when they are returned."""
        self.closed = True
        await self.close_idle()
