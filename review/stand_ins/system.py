"""A small deployment: a store, workers of two services, and hosts of the project."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

from stand_ins.client import Attempt, Client
from stand_ins.hosts import Host, free_ports, loopback_network
from stand_ins.record import Record
from stand_ins.store import Store
from stand_ins.worker import Worker

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

HEARTBEAT_SECONDS = 1.5
START_SECONDS = 15.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


def trouble() -> bool:
    """Return whether the disruption is wanted."""
    return os.environ.get("TROUBLE", "1") != "0"


def configuration(version: int = 1) -> dict:
    """Return the operator's configuration."""

    def route(name: str, kind: str, service: str) -> dict:
        spec = {"Host": "permits.example", "Prefix": f"/{name}/", "Kind": kind}
        spec |= {"TimeoutMs": 2000, "SloMs": 600, "Priority": 1}
        return {
            "ResourceKind": "Routes",
            "Meta": {"Name": name},
            "Spec": spec | {"Service": service, "MaxAttempts": 2},
        }

    def service(name: str, **fields: object) -> dict:
        spec = {"HealthPath": "/healthz", "MaxConns": 120, "WarmupS": 3.0, "ColdPerS": 5.2}
        spec |= {"Protocol": "h1", "Tls": False, **fields}
        return {"ResourceKind": "Services", "Meta": {"Name": name}, "Spec": spec}

    limits = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864}
    limits |= {"HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
    resources = [
        route("lookup", "idempotent", "permits"),
        route("renewal", "non_idempotent", "permits"),
        route("upload", "upload", "documents"),
        route("change", "non_idempotent", "documents"),
        service("permits", IsSharded=True, WarmS=3.0, Grants="direct"),
        service("documents"),
        {"ResourceKind": "Limits", "Meta": {}, "Spec": limits},
    ]
    return {"Version": version, "Resources": resources}


class System:
    """A running deployment.

    :ivar folder: Temporary folder with settings and logs.
    """

    zones = ("akl-a", "akl-b", "akl-c")

    def __init__(
        self, record: Record, folder: Path, worker_class: type[Worker] = Worker, **numbers: float
    ) -> None:
        self.record = record
        self.folder = folder
        self.store = Store()
        self.attempts: list[Attempt] = []
        self.tasks: set[asyncio.Task] = set()
        self.clients: list[Client] = []
        network = loopback_network()
        ports = free_ports(6)
        # Each machine reaches the store at an address of its own.
        self._store_network, self._store_port = f"{network}.0", ports[4]
        work_seconds = numbers.get("work_seconds", 0.1)
        self.workers = [
            worker_class(
                f"i-{service[:4]}{number}",
                (f"{network}.{line}.{number + 1}", ports[5]),
                service,
                self.zones[number % 3],
                self.store,
                record,
                sharded=service == "permits",
                work_seconds=work_seconds,
            )
            for line, service, count in (
                (2, "permits", int(numbers.get("permits", 6))),
                (3, "documents", int(numbers.get("documents", 3))),
            )
            for number in range(count)
        ]
        self.hosts = [
            Host(
                f"edge-{self.zones[number % 3]}-{number // 3 + 1}",
                f"{network}.1.{number + 1}",
                self.zones[number % 3],
                ports,
                folder,
                record,
            )
            for number in range(int(numbers.get("hosts", 3)))
        ]

    def spawn(self, coro: Awaitable[None]) -> asyncio.Task:
        """Run a task until the end of the case."""
        task = asyncio.ensure_future(coro)
        self.tasks.add(task)
        return task

    async def start(self) -> None:
        """Start everything, and wait until all hosts are ready.

        :raises RuntimeError: If a host is not ready in time.
        """
        self.store.put_doc("op", "config", configuration())
        for worker in self.workers:
            await worker.start()
            self.spawn(worker.beat_regularly(HEARTBEAT_SECONDS))
        seeds = [host.ip for host in self.hosts[:3]]
        for number, host in enumerate(self.hosts, 1):
            address = (f"{self._store_network}.{number}", self._store_port)
            await asyncio.start_server(partial(self.store.serve, host.name), *address)
            host.write_settings(address, seeds, first=True)
            host.start()
            self.spawn(host.keep_running())
        async with asyncio.timeout(START_SECONDS):
            while not all([await is_ready(host) for host in self.hosts]):
                await asyncio.sleep(0.2)
        probe = self.client("start")
        async with asyncio.timeout(START_SECONDS):
            for key in (0, 20000, 40000, 60000):
                while (await probe.send("GET", "/lookup/1", key=key)).status != 200:
                    await asyncio.sleep(0.2)
        self.attempts.clear()
        for worker in self.workers:
            worker.ran.clear()
        for number, host in enumerate(self.hosts, 1):
            address = (f"{self._store_network}.{number}", self._store_port)
            host.write_settings(address, seeds, first=False)

    def client(self, name: str, hosts: list[Host] | None = None) -> Client:
        """Return a client of some hosts, of all if none are given."""
        client = Client(name, hosts or self.hosts, self.record, self.attempts)
        self.clients.append(client)
        return client

    def stop(self) -> None:
        """End all processes."""
        for task in self.tasks:
            task.cancel()
        for client in self.clients:
            client.close()
        for host in self.hosts:
            host.stop()


async def is_ready(host: Host) -> bool:
    """Return whether a host reports that it is ready."""
    try:
        reader, writer = await asyncio.open_connection(*host.ready)
        writer.write(b"GET /radishshunt/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
        line = await reader.readline()
        writer.close()
        return b" 200 " in line
    except OSError:
        return False


def run_case(
    folder: Path,
    case: Callable[[System], Awaitable[bool]],
    worker_class: type[Worker] = Worker,
    prepare: Callable[[System], None] | None = None,
    **numbers: float,
) -> None:
    """Run a case and exit with its result: 1 if the rule was broken, 0 if not, 2 if it can't run.

    :param case: Returns whether the rule was kept.
    :param prepare: Called with the system before its start.
    """

    async def run() -> int:
        # Ends the processes also if the case takes too long.
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        record = Record(folder / "record.txt")
        with tempfile.TemporaryDirectory() as temporary:
            system = System(record, Path(temporary), worker_class, **numbers)
            if prepare is not None:
                prepare(system)
            try:
                try:
                    await system.start()
                except (TimeoutError, OSError, RuntimeError) as exc:
                    record.write("cannot-run", error=repr(exc))
                    return NOT_RUN
                record.started_at += record.now()
                record.write("traffic", trouble=trouble())
                kept = await case(system)
                record.write("result", kept=kept)
                return HELD if kept else BROKEN
            finally:
                system.stop()
                if keep := os.environ.get("KEEP_LOGS"):
                    for host in system.hosts:
                        (Path(keep) / host.log.name).write_bytes(host.log.read_bytes())

    try:
        code = asyncio.run(run())
    except asyncio.CancelledError:
        code = NOT_RUN
    sys.stdout.flush()
    # Connections that are still open would complain about the end of the event loop.
    os._exit(code)
