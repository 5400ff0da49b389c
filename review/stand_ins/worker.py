"""Stand-in for a worker, with the keys that it holds."""

from __future__ import annotations

import asyncio
import json
import random
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from stand_ins.http import Message, encode, read_message

if TYPE_CHECKING:
    from stand_ins.record import Record
    from stand_ins.store import Store

KEY_COUNT = 65536
GRANT_PATH = "/radishshunt/grant"
RELEASE_PATH = "/radishshunt/release"


@dataclass(eq=False)
class Work:
    """A request at work.

    :param key: Its key, ``None`` if it has none.
    """

    key: int | None
    attempt_id: str


class Worker:
    """A worker of one service.

    :ivar at_work: Requests that it is working on.
    :ivar held_until: Time on the monotonic clock until which it holds each key.
    :ivar granted_until: The same, also for keys that it has released.
    :ivar ran: Number of times that each attempt has run.
    """

    slots = 3
    queue = 12

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        service: str,
        zone: str,
        store: Store,
        record: Record,
        *,
        sharded: bool,
        work_seconds: float,
        seed: int = 1,
    ) -> None:
        self.name = name
        self.address = address
        self.service = service
        self.zone = zone
        self.sharded = sharded
        self.at_work: set[Work] = set()
        self.held_until = [0.0] * KEY_COUNT
        self.granted_until = [0.0] * KEY_COUNT
        self.ran: dict[str, int] = {}
        self.record = record
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._fences = [0] * KEY_COUNT
        self._store = store
        self._work_seconds = work_seconds
        self._free = asyncio.Semaphore(self.slots)
        self._waiting = 0
        self._ended = asyncio.Event()
        self.rng = random.Random(f"{seed}/{name}")

    async def start(self) -> None:
        """Listen, and register."""
        await asyncio.start_server(self.serve, *self.address)
        self.beat()

    def beat(self, state: str = "ready") -> None:
        """Write the entry of the worker."""
        self._sequence += 1
        self._store.put_doc(
            "servers",
            self.name,
            {
                "Addr": f"{self.address[0]}:{self.address[1]}",
                "Info": {
                    "Service": self.service,
                    "Version": "v1",
                    "Zone": self.zone,
                    "Capacity": self.slots,
                },
                "Status": {"State": state, "Sequence": self._sequence, "WarmupLeftMs": 0},
                "born": self._born,
            },
        )

    async def beat_regularly(self, seconds: float) -> None:
        """Write the entry at each heartbeat."""
        while True:
            await asyncio.sleep(seconds)
            self.beat()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection, one request at a time."""
        try:
            while (msg := await read_message(reader)) is not None and msg.complete:
                await self.answer(msg, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, msg: Message, writer: asyncio.StreamWriter) -> None:
        """Answer one request."""
        path = msg.start[1]
        if path == GRANT_PATH:
            status, headers, body = self._grant(json.loads(msg.body)), {}, b""
        elif path == RELEASE_PATH:
            status, headers, body = await self._release(json.loads(msg.body))
        elif path == "/healthz":
            status, headers, body = 200, {}, b"ok"
        else:
            status, headers, body = await self._run(msg)
        headers["X-Radishshunt-Instance-Id"] = self.name
        waiting, running = self._waiting, len(self.at_work)
        headers["X-Radishshunt-Server-Load"] = f"{running},{waiting},{self.slots},100"
        headers["Keep-Alive"] = "timeout=10"
        if "x-radishshunt-attempt-id" in msg.headers:
            headers["X-Radishshunt-Attempt-Id"] = msg.headers["x-radishshunt-attempt-id"]
        await self.send(path, writer, encode(f"HTTP/1.1 {status} -", headers, body))

    async def send(self, path: str, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Send an answer."""
        writer.write(data)
        await writer.drain()

    def _grant(self, doc: dict) -> int:
        first, last, fence = doc["From"], doc["Target"], doc["fence"]
        if max(self._fences[first : last + 1]) > fence:
            return 409
        count = last - first + 1
        self._fences[first : last + 1] = [fence] * count
        until = time.monotonic() + doc["HoldMs"] / 1000
        self.on_grant(first, last, fence)
        self.held_until[first : last + 1] = [until] * count
        self.granted_until[first : last + 1] = [until] * count
        return 200

    def on_grant(self, first: int, last: int, fence: int) -> None:
        """Note a grant that is taken; its keys are not held by it yet."""

    async def _release(self, doc: dict) -> tuple[int, dict[str, str], bytes]:
        first, last = doc["From"], doc["Target"]
        self.held_until[first : last + 1] = [0.0] * (last - first + 1)
        self.record.write("release", worker=self.name, first=first, last=last)
        while any(w.key is not None and first <= w.key <= last for w in self.at_work):
            ended = self._ended
            await ended.wait()
        self.record.write("released", worker=self.name, first=first, last=last)
        return 200, {"X-Radishshunt-Handover": f"{self.rng.getrandbits(64):016x}"}, b""

    async def _run(self, msg: Message) -> tuple[int, dict[str, str], bytes]:
        attempt_id = msg.headers.get("x-radishshunt-attempt-id", "")
        key = int(msg.headers["x-radishshunt-shard-key"]) if self.sharded else None
        not_executed = {"X-Radishshunt-Not-Executed": "1"}
        wanted = msg.headers.get("x-radishshunt-target-instance", self.name)
        if wanted != self.name or not self._holds(key):
            return 421, not_executed, b""
        if self._waiting >= self.queue:
            return 503, not_executed, b""
        deadline = time.monotonic() + int(msg.headers["x-radishshunt-deadline-ms"]) / 1000
        self._waiting += 1
        await self._free.acquire()
        self._waiting -= 1
        try:
            if time.monotonic() >= deadline:
                return 503, not_executed, b""
            if not self._holds(key):
                return 421, not_executed, b""
            return await self._work(key, attempt_id, msg)
        finally:
            self._free.release()

    def _holds(self, key: int | None) -> bool:
        return key is None or self.held_until[key] > time.monotonic()

    async def _work(
        self, key: int | None, attempt_id: str, msg: Message
    ) -> tuple[int, dict[str, str], bytes]:
        work = Work(key, attempt_id)
        self.at_work.add(work)
        self.ran[attempt_id] = self.ran.get(attempt_id, 0) + 1
        self.record.write("run", worker=self.name, attempt=attempt_id, key=key, path=msg.start[1])
        try:
            await asyncio.sleep(self._work_seconds * self.rng.uniform(0.5, 1.5))
        finally:
            self.at_work.discard(work)
            self._ended.set()
            self._ended = asyncio.Event()
        body = f"{self.name} {attempt_id} ".encode() * 20
        return 200, {"X-Radishshunt-Server-Signature": f"{self.name}.{attempt_id}"}, body
