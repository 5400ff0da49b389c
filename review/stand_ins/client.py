"""Stand-in for clients with kept connections."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from stand_ins.http import Message, encode, read_message

if TYPE_CHECKING:
    from stand_ins.hosts import Host
    from stand_ins.record import Record


@dataclass
class Attempt:
    """One client attempt and its answer.

    :param kept: Whether its connection had carried other attempts before.
    :param sent_at: Seconds since the start of the traffic.
    :param answer: The answer, ``None`` if there was none.
    :param error: Why there was none.
    """

    id: str
    method: str
    path: str
    host: str
    sent_at: float
    kept: bool = False
    ended_at: float = 0.0
    answer: Message | None = None
    error: str = ""

    @property
    def status(self) -> int:
        """Status of the answer, 0 if there was none."""
        return self.answer.status if self.answer is not None else 0


class Client:
    """Sends requests one after the other, each on its kept connection if there is one.

    :ivar attempts: All attempts so far.
    """

    def __init__(self, name: str, hosts: list[Host], record: Record, attempts: list[Attempt]):
        self.attempts = attempts
        self.rng = random.Random(name)
        self._name = name
        self._hosts = hosts
        self._record = record
        self._number = 0
        self._connection: tuple[Host, asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def send(
        self,
        method: str,
        path: str,
        *,
        key: int | None = None,
        body: bytes = b"",
        deadline_ms: int = 4000,
    ) -> Attempt:
        """Send one attempt and wait for its answer until its deadline."""
        self._number += 1
        attempt = Attempt(f"{self._name}-{self._number}", method, path, "", self._record.now())
        self.attempts.append(attempt)
        headers = {
            "Host": "permits.example",
            "X-Radishshunt-Attempt-Id": attempt.id,
            "X-Radishshunt-Deadline-Ms": str(deadline_ms),
        }
        if key is not None:
            headers["X-Radishshunt-Shard-Key"] = str(key)
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                await self._exchange(attempt, encode(f"{method} {path} HTTP/1.1", headers, body))
        except TimeoutError:
            attempt.error = "no answer before the deadline"
            self.close()
        except (ConnectionError, asyncio.IncompleteReadError, OSError) as exc:
            attempt.error = repr(exc)
            self.close()
        attempt.ended_at = self._record.now()
        self._record.write(
            "answer",
            attempt=attempt.id,
            host=attempt.host,
            kept=attempt.kept,
            path=path,
            sent=f"{attempt.sent_at:.3f}",
            status=attempt.status,
            error=repr(attempt.error),
        )
        return attempt

    async def _exchange(self, attempt: Attempt, data: bytes) -> None:
        if self._connection is None:
            host = self.rng.choice(self._hosts)
            attempt.host = host.name
            self._connection = (host, *await asyncio.open_connection(*host.front))
        else:
            attempt.kept = True
        host, reader, writer = self._connection
        attempt.host = host.name
        writer.write(data)
        await writer.drain()
        answer = await read_message(reader)
        if answer is None or not answer.complete:
            raise ConnectionError("connection ended without a complete answer")
        attempt.answer = answer
        if answer.headers.get("connection", "").lower() == "close":
            self.close()

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection[2].close()
            self._connection = None
