"""Connections to one target."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from radishshunt.gateway.exchange import Answer, Connection, ExchangeError, OutgoingRequest
from radishshunt.util.streams import ConnectFailed, connect

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

# Hosts and targets are at most some milliseconds apart; a lost opening packet is sent again
# after a second.
CONNECT_SECONDS = 0.35
# An unused connection is not used again after this share of the time the target keeps it open.
IDLE_SHARE = 0.5
IDLE_SECONDS = 4.0
# Requests that must not be repeated use only connections that answered this recently, since a
# target may close an idle one while the request is on its way.
FRESH_SECONDS = 1.0


class TargetPool:
    """Owns the connections to one target.

    :param address: ``ip:port``.
    :param verify: Called with each new connection; it raises
        :exc:`~radishshunt.gateway.exchange.ExchangeError` if the connection must not be used.
    :ivar opened: Connections opened so far.
    """

    def __init__(
        self, address: str, verify: Callable[[Connection], Awaitable[None]] | None = None
    ) -> None:
        self._verify = verify
        ip, _, port = address.rpartition(":")
        self._ip = ip
        self._port = int(port)
        self._idle: list[Connection] = []
        self.opened = 0

    async def exchange(
        self,
        req: OutgoingRequest,
        *,
        repeatable: bool,
        on_send: Callable[[], None] | None = None,
    ) -> Answer:
        """Send a request and return its whole answer.

        The caller limits the time by a cancel scope; a cancelled exchange resets its connection.

        :param repeatable: Whether the request may run twice.
        :param on_send: Called right before the first byte is written.
        :raises ExchangeError: If there is no whole answer.
        """
        conn = self._take(repeatable) or await self._connect(CONNECT_SECONDS)
        try:
            answer = await conn.exchange(req, on_send)
        except BaseException:
            # The request may be on its way; the target must not take it after it was given up.
            conn.abort()
            raise
        if conn.reusable:
            self._idle.append(conn)
        else:
            conn.close()
        return answer

    def close(self) -> None:
        """Close the connections that are not in use."""
        while self._idle:
            self._idle.pop().close()

    def prune(self) -> None:
        """Close connections that have been idle for too long or that the target has closed."""
        kept = []
        for conn in self._idle:
            if self._usable(conn, IDLE_SECONDS):
                kept.append(conn)
            else:
                conn.close()
        self._idle = kept

    def _take(self, repeatable: bool) -> Connection | None:
        limit = IDLE_SECONDS if repeatable else FRESH_SECONDS
        while self._idle:
            conn = self._idle[-1]
            if not self._usable(conn, limit):
                if self._usable(conn, IDLE_SECONDS):
                    # Too old for this request; the ones below are older.
                    return None
                self._idle.pop().close()
                continue
            return self._idle.pop()
        return None

    def _usable(self, conn: Connection, limit: float) -> bool:
        age = trio.current_time() - conn.idle_since
        return age < min(limit, conn.idle_limit * IDLE_SHARE) and conn.is_quiet()

    async def _connect(self, seconds: float) -> Connection:
        try:
            stream = await connect(self._ip, self._port, seconds)
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
