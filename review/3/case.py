"""A host takes over for a second time, and loses the store before it has read its rows."""

from __future__ import annotations

import asyncio
import json
import time
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING

from stand_ins.http import read_message
from stand_ins.system import HEARTBEAT_SECONDS, run_case, trouble
from stand_ins.worker import GRANT_PATH, RELEASE_PATH, Worker

if TYPE_CHECKING:
    from stand_ins.client import Client
    from stand_ins.system import System

CLIENTS = 12
CALM_SECONDS = 5.0
# core_cut, how "leader race", for 4 s: the leader is partitioned from the store.
LEADER_CUT_SECONDS = 4.0
BETWEEN_CUTS_SECONDS = 16.0
CUTS = 6
# platform_down, how "silent", for at most 4.5 s.
STORE_DOWN_SECONDS = 2.6
# srv_cut, how "fronts", share 0.22, for 10 s.
CUT_WORKERS = 2
WORKER_CUT_SECONDS = 10.0
# The entry of a worker is removed after three heartbeat intervals of silence.
ENTRY_EXPIRY_SECONDS = 3 * HEARTBEAT_SECONDS
MAX_OVERLAP_SECONDS = 0.5
LEADER_KEY = "leader"


class CutOffWorker(Worker):
    """Worker that can be cut off from the store and from the machine that leads.

    :cvar workers: All workers of the case.
    :cvar broken: Lines on keys that two workers held for too long.
    """

    workers: list[CutOffWorker] = []
    broken: list[str] = []
    is_cut = False
    is_cut_from_leader = False

    async def start(self) -> None:
        self.workers.append(self)
        await super().start()

    def beat(self, state: str = "ready") -> None:
        if not self.is_cut:
            super().beat(state)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while (msg := await read_message(reader)) is not None and msg.complete:
                # Only the machine that leads sends these, and only its path is lost.
                if self.is_cut_from_leader and msg.start[1] in (
                    "/healthz",
                    GRANT_PATH,
                    RELEASE_PATH,
                ):
                    while await reader.read(65536):
                        pass
                    break
                await self.answer(msg, writer)
        writer.close()

    def on_grant(self, first: int, last: int, fence: int) -> None:
        now = time.monotonic()
        for other in self.workers:
            if other is self or other.service != self.service:
                continue
            left = max(other.held_until[first : last + 1]) - now
            if left > 0:
                fields = {"first": first, "last": last, "to": self.name, "held_by": other.name}
                fields |= {"left_s": round(left, 3)}
                self.record.write("both-hold", **fields)
                if left > MAX_OVERLAP_SECONDS:
                    self.broken.append(str(fields))


async def _send_requests(client: Client) -> None:
    while True:
        key = client.rng.randrange(65536)
        if client.rng.random() < 0.7:
            await client.send("GET", f"/lookup/{key}", key=key)
        else:
            await client.send("POST", f"/renewal/{key}", key=key, body=b"renew")
        await asyncio.sleep(0.2)


class _Troubles:
    """Cuts the leader off, and takes the store down when a former leader takes over again."""

    def __init__(self, system: System) -> None:
        self.leader = ""
        self.led: list[str] = []
        self._system = system
        self._armed = False
        system.store.on_write = self._on_write

    def _on_write(self, machine: str, key: str, value: bytes) -> None:
        if key != LEADER_KEY:
            return
        host = json.loads(value)["host"]
        if host and host != self.leader:
            self.leader = host
            self._system.record.write("leader", host=host, again=host in self.led)
            if self._armed and host in self.led:
                self._armed = False
                self._system.spawn(self._lose_store())
                for worker in self._system.workers:
                    worker.is_cut_from_leader = worker.is_cut
            self.led.append(host)

    async def cut_leader(self) -> None:
        """Partition the leader from the store."""
        cut = self.leader
        self._system.record.write("core_cut", host=cut)
        self._system.store.silent_for.add(cut)
        await asyncio.sleep(LEADER_CUT_SECONDS)
        self._system.store.silent_for.discard(cut)
        self._system.record.write("core_cut-end", host=cut)

    def arm(self) -> None:
        """Let the store go down when a host leads that has led before."""
        self._armed = True

    async def _lose_store(self) -> None:
        # The answer to the write of the new leader still gets through.
        await asyncio.sleep(0)
        self._system.record.write("platform_down", how="silent")
        self._system.store.down = True
        await asyncio.sleep(STORE_DOWN_SECONDS)
        self._system.store.down = False
        self._system.record.write("platform_down-end")

    async def cut_worker(self, worker: CutOffWorker) -> None:
        """Cut a worker off from the store and from the other machine that may lead.

        The machine that leads now still reaches it.
        """
        self._system.record.write("srv_cut", worker=worker.name)
        worker.is_cut = True
        await asyncio.sleep(ENTRY_EXPIRY_SECONDS)
        self._system.store.put("servers", worker.name, None)
        await asyncio.sleep(WORKER_CUT_SECONDS - ENTRY_EXPIRY_SECONDS)
        worker.is_cut = worker.is_cut_from_leader = False
        worker.beat()
        self._system.record.write("srv_cut-end", worker=worker.name)


async def case(system: System) -> bool:
    """Return whether the rule OWNER was kept."""
    troubles = _Troubles(system)
    # Clients of the weak machines only, whose paths to the workers are never lost.
    for number in range(CLIENTS):
        system.spawn(_send_requests(system.client(f"c{number}", system.hosts[2:])))
    await asyncio.sleep(CALM_SECONDS)
    for number in range(CUTS):
        if trouble():
            troubles.arm()
            system.spawn(troubles.cut_leader())
            # Other workers each time, as those that were cut off have lost their keys.
            first = number * CUT_WORKERS
            for worker in system.workers[first : first + CUT_WORKERS]:
                system.spawn(troubles.cut_worker(worker))
        await asyncio.sleep(BETWEEN_CUTS_SECONDS)
    system.record.write("summary", led=troubles.led, broken=CutOffWorker.broken)
    print(f"led: {troubles.led}; keys held by two workers: {CutOffWorker.broken}")
    return not CutOffWorker.broken


def _weaken(system: System) -> None:
    for host in system.hosts[2:]:
        host.cpu_share = 0.3


if __name__ == "__main__":
    run_case(Path(__file__).parent, case, CutOffWorker, prepare=_weaken, permits=12, hosts=4)
