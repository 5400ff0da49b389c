"""Stand-in for the clients of one machine, which keep their connections open."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

from stand_ins_3.http import LIMIT, read_head
from stand_ins_3.record import Exchange, Record

if TYPE_CHECKING:
    from stand_ins_3.machine import Machine

CONNECT_SECONDS = 1.0
READ_BYTES = 64 * 1024
# Receive buffer of a client that reads slowly.
SLOW_BUFFER_BYTES = 32 * 1024

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Clients:
    """Sends requests to a machine, each on an idle connection if there is one."""

    def __init__(self, record: Record, machine: Machine) -> None:
        self._record = record
        self._machine = machine
        self._idle: list[Streams] = []

    async def get(
        self,
        path: str,
        deadline_seconds: float,
        read_seconds: float = 0.0,
        key: int | None = None,
    ) -> Exchange:
        """Send a request and read its answer.

        :param read_seconds: Time over which the body is read evenly, 0 for at once.
        """
        id = f"{self._machine.name}-{len(self._record.exchanges)}"
        kept = self._pop_idle()
        exchange = Exchange(id, self._machine.name, self._record.now(), kept is not None)
        self._record.exchanges[id] = exchange
        streams = kept
        try:
            async with asyncio.timeout(deadline_seconds):
                streams = kept or await self._connect(slow=read_seconds > 0.0)
                exchange.outcome = await self._exchange(
                    streams, exchange, path, deadline_seconds, read_seconds, key
                )
        except TimeoutError:
            exchange.outcome = "deadline" if streams is not None else "no connection"
        except (OSError, asyncio.IncompleteReadError):
            exchange.outcome = "cut" if streams is not None else "no connection"
        exchange.ended_at = self._record.now()
        if streams is not None and exchange.outcome != "200":
            streams[1].close()
        return exchange

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop()[1].close()

    def _pop_idle(self) -> Streams | None:
        while self._idle:
            reader, writer = self._idle.pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer
            writer.close()
        return None

    async def _connect(self, *, slow: bool) -> Streams:
        sock = socket.socket()
        sock.setblocking(False)
        try:
            if slow:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES)
            address = (self._machine.ip, self._machine.port)
            async with asyncio.timeout(CONNECT_SECONDS):
                await asyncio.get_running_loop().sock_connect(sock, address)
        except BaseException:
            sock.close()
            raise
        return await asyncio.open_connection(sock=sock, limit=SLOW_BUFFER_BYTES if slow else LIMIT)

    async def _exchange(
        self,
        streams: Streams,
        exchange: Exchange,
        path: str,
        deadline_seconds: float,
        read_seconds: float,
        key: int | None,
    ) -> str:
        reader, writer = streams
        lines = [
            f"GET {path} HTTP/1.1",
            "Host: files.example",
            f"X-Radishshunt-Attempt-Id: {exchange.id}",
            f"X-Radishshunt-Deadline-Ms: {deadline_seconds * 1000:.0f}",
        ]
        if key is not None:
            lines.append(f"X-Radishshunt-Shard-Key: {key}")
        writer.write("\r\n".join([*lines, "", ""]).encode())
        (_, status, _), headers = await read_head(reader)
        size = int(headers.get("content-length", "0"))
        answered_at = self._record.now()
        while exchange.received < size:
            data = await reader.read(min(READ_BYTES, size - exchange.received))
            if not data:
                return "cut"
            exchange.received += len(data)
            due_at = answered_at + read_seconds * exchange.received / size
            if due_at > self._record.now():
                await asyncio.sleep(due_at - self._record.now())
        if headers.get("connection", "").lower() != "close":
            self._idle.append(streams)
        else:
            writer.close()
        return status
