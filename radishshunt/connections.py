"""HTTP connections to one target, kept apart so that each can be judged and replaced."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import trio

from radishshunt.errors import RadishshuntError
from radishshunt.target_transport import TargetTransport

if TYPE_CHECKING:
    import httpx

    from radishshunt.release.catalog import TargetSpec

# Shorter than the keep-alive time of targets, so that no request meets a closing connection.
KEEPALIVE_SECONDS = 4.0
# Connections kept free for grants, fences, cancellations and health checks.
RESERVED_CONNECTIONS = 8


class NoConnectionFree(RadishshuntError):
    """The connection limit of a target is reached."""

    category = "connection limit"


class Connection:
    """One HTTP/1.1 connection, or the place for one until its first request.

    :ivar control: Whether it is taken for a control call.
    """

    def __init__(self, address: str, local_address: str | None = None) -> None:
        self.transport = TargetTransport(
            address, connections=1, idle_seconds=KEEPALIVE_SECONDS, local_address=local_address
        )
        self._address = address
        self.control = False

    async def call(self, method: str, path: str, doc: dict | None) -> httpx.Response:
        """Make a control call with a JSON document and return the whole answer."""
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
        """Close the socket, also within a cancelled scope."""
        with trio.CancelScope(shield=True):
            await self.transport.aclose()


class ConnectionPool:
    """Connections to one target, never more than its limit.

    During a takeover two hosts hold connections to the target, so each uses at most half of what
    the target accepts.

    :param local_address: IP number that connections come from.
    """

    def __init__(self, spec: TargetSpec, local_address: str | None = None) -> None:
        self._local_address = local_address
        self._address = spec.address
        self.limit = max(2, min(spec.slots + RESERVED_CONNECTIONS, spec.connections // 2))
        self._reserved = min(RESERVED_CONNECTIONS, self.limit - 1)
        self._idle: list[Connection] = []
        # Connections that are taken, for requests and for control calls.
        self._in_use = {False: 0, True: 0}
        self.open = 0
        self.closed = False

    async def take(self, *, fresh: bool = False, control: bool = False) -> Connection:
        """Return a connection that nobody else uses.

        :param fresh: Whether it must be a new one.
        :param control: Whether it is for a control call, which has connections reserved.
        :raises NoConnectionFree: If the limit is reached.
        """
        limit = self._reserved if control else self.limit - self._reserved
        if self._in_use[control] >= limit:
            raise NoConnectionFree(f"{limit} connections to {self._address} are in use")
        self._in_use[control] += 1
        if self._idle and not fresh:
            conn = self._idle.pop()
        else:
            while self.open >= self.limit:
                # The connections in use are fewer than the limit, so that one of them is idle.
                await self._close(self._idle.pop(0))
            self.open += 1
            conn = Connection(self._address, self._local_address)
        conn.control = control
        return conn

    async def give_back(self, conn: Connection) -> None:
        """Keep a connection whose exchange came to its end."""
        if self.closed:
            await self.drop(conn)
        else:
            self._in_use[conn.control] -= 1
            self._idle.append(conn)

    async def drop(self, conn: Connection) -> None:
        """Close a connection that was taken."""
        self._in_use[conn.control] -= 1
        await self._close(conn)

    async def renew(self) -> None:
        """Close the idle connections, which may be as silent as the one that was found to be."""
        idle, self._idle = self._idle, []
        for conn in idle:
            await self._close(conn)

    async def _close(self, conn: Connection) -> None:
        try:
            await conn.aclose()
        finally:
            self.open -= 1

    async def aclose(self) -> None:
        """Close the idle connections now and the others when they are given back."""
        self.closed = True
        await self.renew()
