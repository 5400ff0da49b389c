"""Stand-in for a worker of a service that is not divided by key."""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING, Any

from stand_ins_3.http import encode_response, read_body, read_head

if TYPE_CHECKING:
    from stand_ins_3.link import Link
    from stand_ins_3.record import Record

QUEUE_LENGTH = 12


class Worker:
    """Runs requests: answers each after its work with a body of a fixed size.

    :param id: The worker's registration in the store.
    :param slots: Number of requests that it runs at the same time.
    :param work_seconds: Time that a request takes.
    :param body_bytes: Size of an answer's body for the path ``/large/``; others have 100 bytes.
    """

    def __init__(
        self,
        record: Record,
        id: str,
        service: str,
        slots: int,
        work_seconds: float,
        body_bytes: int,
        links: dict[str, Link],
        zone: str = "zone-a",
    ) -> None:
        self.id = id
        self._record = record
        self._service = service
        self._slots = slots
        self._work_seconds = work_seconds
        self._body_bytes = body_bytes
        self._links = links
        self._zone = zone
        self._running = asyncio.Semaphore(slots)
        self._at_work = 0
        self._waiting = 0
        self._address = ""
        self._state = "ready"
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._born = int(time.time() * 1000)

    async def start(self, ip: str, port: int) -> asyncio.Server:
        """Serve requests."""
        self._address = f"{ip}:{port}"
        self._server = await asyncio.start_server(self._serve, ip, port)
        return self._server

    def drain(self) -> None:
        """Report from now on that the worker leaves."""
        self._state = "draining"

    def exit(self) -> None:
        """End the worker's process, with all its connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def entry(self) -> dict[str, Any]:
        """Return the worker's entry in the store."""
        return {
            "Addr": self._address,
            "Info": {
                "Service": self._service,
                "Zone": self._zone,
                "Version": "v1",
                "Capacity": self._slots,
            },
            "Status": {"State": self._state, "Sequence": 1, "WarmupLeftMs": 0},
            "born": self._born,
        }

    def _load(self) -> str:
        return f"{self._at_work},{self._waiting},{self._slots},100"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                (_, target, _), headers = await read_head(reader)
                body = await read_body(reader, headers)
                if target.startswith("/radishshunt/"):
                    writer.write(await self._obey(target, json.loads(body)))
                elif target == "/healthz":
                    answer = {
                        "X-Radishshunt-Instance-Id": self.id,
                        "X-Radishshunt-Server-Load": self._load(),
                    }
                    writer.write(encode_response(200 if self._state == "ready" else 503, answer))
                else:
                    writer.write(await self._answer(target, headers))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _obey(self, target: str, order: dict[str, Any]) -> bytes:
        """Answer an order about keys; this worker holds none."""
        return encode_response(400, {})

    def _holds_key(self, headers: dict[str, str]) -> bool:
        """Return whether the worker may run a request with its key."""
        return True

    async def _answer(self, target: str, headers: dict[str, str]) -> bytes:
        id = headers.get("x-radishshunt-attempt-id", "")
        answer = {"X-Radishshunt-Attempt-Id": id, "X-Radishshunt-Server-Load": self._load()}
        if headers.get("x-radishshunt-target-instance", self.id) != self.id:
            return encode_response(421, answer | {"X-Radishshunt-Instance-Id": self.id})
        if not self._holds_key(headers):
            return encode_response(421, answer | {"X-Radishshunt-Not-Executed": "1"})
        if self._waiting >= QUEUE_LENGTH:
            return encode_response(503, answer | {"X-Radishshunt-Not-Executed": "1"})
        if id in self._record.exchanges:
            self._record.exchanges[id].arrived = True
            self._record.exchanges[id].arrived_at = self._record.now()
            self._record.exchanges[id].worker = self.id
        self._waiting += 1
        await self._running.acquire()
        self._waiting -= 1
        self._at_work += 1
        if id in self._record.exchanges:
            self._record.exchanges[id].runs.append((self.id, self._record.now()))
        try:
            await asyncio.sleep(self._work_seconds)
        finally:
            self._at_work -= 1
            self._running.release()
        size = self._body_bytes if target.startswith("/large/") else 100
        if id in self._record.exchanges:
            await self._links[self._record.exchanges[id].machine].carry(size)
        answer["X-Radishshunt-Server-Load"] = self._load()
        answer["X-Radishshunt-Server-Signature"] = f"{self.id}.{id}"
        return encode_response(200, answer, b"x" * size)
