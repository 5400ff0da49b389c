"""Connection pool of one target."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from radishshunt.gateway.exchange import Connection, ExchangeError, HttpResponse, OutgoingRequest
from radishshunt.util.streams import ConnectFailed, connect

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

# Hosts and targets are at most a few milliseconds apart. A lost SYN packet is retransmitted only
# after one second.
CONNECT_TIMEOUT_SECONDS = 0.35
# An idle connection is not reused after this share of the target's keep-alive time.
KEEP_ALIVE_SHARE = 0.5
MAX_IDLE_SECONDS = 4.0
# Requests that must not be repeated only use connections that were idle for less than this, since
# a target may close an idle connection while the request is in transit.
MAX_IDLE_SECONDS_NON_REPEATABLE = 1.0


class TargetPool:
    """Pool of connections to one target.

    :param address: ``ip:port``.
    :param verify: Called with each new connection; it raises
        :exc:`~radishshunt.gateway.exchange.ExchangeError` if the connection must not be used.
    :ivar opened: Number of connections opened so far.
    """

    def __init__(
        self, address: str, verify: Callable[[Connection], Awaitable[None]] | None = None
    ) -> None:
        self._verify = verify
        self._address = address
        self._idle_connections: list[Connection] = []
        self.opened = 0

    async def exchange(
        self,
        req: OutgoingRequest,
        *,
        repeatable: bool,
        on_send: Callable[[], None] | None = None,
        used: set[Connection] | None = None,
    ) -> HttpResponse:
        """Send a request and return its complete response.

        There is no timeout: the calling code sets one with a cancel scope. A cancelled exchange
        resets its connection.

        :param repeatable: Whether the request may run twice.
        :param on_send: Called right before the first byte is written.
        :param used: Connections that have carried the same request and carry it no more, as a
            second copy of an earlier response could not be told from the next one. The connection
            of this exchange is added.
        :raises ExchangeError: If there is no complete response.
        """
        conn = await self.acquire(set() if used is None else used, repeatable=repeatable)
        try:
            return await conn.exchange(req, on_send)
        finally:
            self.give_back(conn)

    async def acquire(self, used: set[Connection], *, repeatable: bool) -> Connection:
        """Return a connection for several requests in order, until it is given back.

        :param used: Connections that must not be returned. The returned one is added.
        :param repeatable: Whether the first request may run twice.
        :raises ExchangeError: If no connection can be established.
        """
        conn = self._pop_idle(repeatable, used) or await self._connect(CONNECT_TIMEOUT_SECONDS)
        used.add(conn)
        return conn

    def give_back(self, conn: Connection) -> None:
        """Take a connection back, whose last exchange may have failed."""
        if conn.reusable:
            self._idle_connections.append(conn)
        else:
            # A request may be in transit; the target must not run it after it was abandoned.
            conn.abort()

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle_connections:
            self._idle_connections.pop().close()

    def prune(self) -> None:
        """Close connections that were idle for too long or were closed by the target."""
        usable = []
        for conn in self._idle_connections:
            if self._is_usable(conn, MAX_IDLE_SECONDS):
                usable.append(conn)
            else:
                conn.close()
        self._idle_connections = usable

    def _pop_idle(self, repeatable: bool, used: set[Connection]) -> Connection | None:
        limit = MAX_IDLE_SECONDS if repeatable else MAX_IDLE_SECONDS_NON_REPEATABLE
        for conn in reversed(self._idle_connections.copy()):
            if conn in used:
                continue
            if self._is_usable(conn, limit):
                self._idle_connections.remove(conn)
                return conn
            if self._is_usable(conn, MAX_IDLE_SECONDS):
                # Idle for too long for this request; the remaining ones were idle for longer.
                return None
            self._idle_connections.remove(conn)
            conn.close()
        return None

    def _is_usable(self, conn: Connection, limit: float) -> bool:
        age = trio.current_time() - conn.idle_since
        return age < min(limit, conn.keep_alive_seconds * KEEP_ALIVE_SHARE) and conn.has_no_input()

    async def _connect(self, seconds: float) -> Connection:
        try:
            stream = await connect(self._address, seconds)
        except ConnectFailed as exc:
            raise ExchangeError(str(exc), sent=False) from exc
        self.opened += 1
        conn = Connection(stream)
        if self._verify is not None:
            try:
                await self._verify(conn)
            except BaseException:
                conn.close()
                raise
        return conn
