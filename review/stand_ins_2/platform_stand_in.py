"""Stand-ins for the users' platform on loopback: its store, its workers, clients, and the hosts.

The hosts are the project's own program, started with the command of the deploy file. Everything
else runs in the process of the script, on the standard library only.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs

REPOSITORY = Path(__file__).resolve().parents[2]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
READY_SECONDS = 30.0
STORE_ANSWER_SECONDS = 0.004
TRANSACTION_SECONDS = 0.008
HEARTBEAT_SECONDS = 0.87
LAST_KEY = 65535
ZONES = ("zone-a", "zone-b", "zone-c")

# Bounds of a small deployment (SYSTEM.md, the first one).
SETTINGS = """\
Grants=direct
Self.NodeId={name}
Self.Role=router
Self.MachineClass=edge
Self.Serves=edge,control
Self.Ip={ip}
Self.Zone={zone}
Self.Region=region
Self.InFaultBudget=false
Self.Bootstrap=true
Self.Limits.CpuShare=0.86
Self.Limits.Cores=1
Self.Limits.MemoryMb=300
Self.Limits.MaxFds=4100
Self.Limits.LinkMbps=1000.0
Self.Limits.DiskMb=0
Network.Bind.FrontAddr={ip}:{front}
Network.Bind.Ready={ip}:{ready}
Network.Bind.Control={ip}:{control}
Network.PortRange={first_port},{last_port}
Network.Seeds={seeds}
Platform.Discovery=platform
Platform.EntryKind=vip
Platform.HeartbeatMs=870
Platform.Platform.Addr={store}
Platform.Platform.form=table
Platform.Platform.WritesPerS=400
Platform.Platform.ReadsPerS=2000
Platform.Platform.TxMs=8.0
Platform.Platform.PartWritesS=150
Platform.Platform.RowBytes=65536
Platform.Platform.RetentionS=20
Terms.FaultBudget.Machines=2
Terms.FaultBudget.Zones=1
Terms.Bounds.SeedLagS=3
Terms.Bounds.AddrReuseS=2
Terms.Bounds.ContactMs=3000
Terms.Bounds.AckMs=4000
Terms.Bounds.SyncS=4
Terms.Bounds.DrainMs=2000
Terms.Bounds.GraceS=6
Terms.Bounds.LossSlackMs=200
Terms.Bounds.ApplyMs=2000
Terms.Bounds.RollbackSlackMs=250
Terms.Bounds.OuterMs=5000
Terms.Bounds.RetryRatio=0.2
Terms.Bounds.RetryWindowS=10
Terms.Bounds.RetrySlack=62
Terms.Bounds.ColdMultiplier=1.5
Terms.Bounds.ColdSlack=5
Terms.Bounds.EvacuateMs=5000
Terms.Bounds.RecoveryS=15
Terms.Bounds.HoldMaxMs=10000
Terms.Bounds.ThawMs=300
"""


def _route(name: str, kind: str, service: str, priority: int) -> dict[str, Any]:
    spec = {
        "Host": "office.example",
        "Prefix": f"/{name}/",
        "Kind": kind,
        "TimeoutMs": 1200,
        "SloMs": 500,
        "Priority": priority,
        "Service": service,
        "MaxAttempts": 2,
    }
    return {"ResourceKind": "Routes", "Meta": {"Name": name}, "Spec": spec}


def _service(name: str, *, keyed: bool) -> dict[str, Any]:
    spec: dict[str, Any] = {
        "HealthPath": "/healthz",
        "MaxConns": 130,
        "Protocol": "h1",
        "Tls": False,
        "WarmupS": 3.0,
        "ColdPerS": 7.0,
    }
    if keyed:
        spec |= {"IsSharded": True, "WarmS": 3.0, "Grants": "direct"}
    return {"ResourceKind": "Services", "Meta": {"Name": name}, "Spec": spec}


CONFIGURATION = {
    "Version": 7,
    "Resources": [
        _route("reads", "idempotent", "register", 2),
        _route("fees", "non_idempotent", "register", 1),
        _route("documents", "idempotent", "archive", 2),
        _route("bookings", "non_idempotent", "archive", 1),
        _service("register", keyed=True),
        _service("archive", keyed=False),
        {
            "ResourceKind": "Limits",
            "Meta": {},
            "Spec": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 67108864,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": 15000,
            },
        },
    ],
}


class Record:
    """Writes ``record.txt``: one line for each thing that was sent, answered or run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def __call__(self, text: str) -> None:
        if not self._file.closed:
            self._file.write(f"{self.seconds():8.3f} {text}\n")

    def seconds(self) -> float:
        """Return the seconds since the start of the script."""
        return time.monotonic() - self._started_at

    def close(self) -> None:
        """Write everything out."""
        self._file.close()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return the body of a message that has a length."""
    size = int(headers.get("content-length", "0"))
    return await reader.readexactly(size) if size else b""


def encode_answer(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of an answer."""
    lines = [f"HTTP/1.1 {status} Answer", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Store:
    """The platform's store: rows, their feed, and conditional transactions.

    :ivar silent: Whether calls get no answer (``platform_down``).
    """

    def __init__(self) -> None:
        self.silent = False
        self._rows: dict[tuple[str, str], tuple[int, str | None]] = {}
        self._version = 1
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Serve on an address."""
        ip, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, ip, int(port), limit=1 << 22)

    def put(self, table: str, key: str, doc: Any) -> None:
        """Write a row, as the operator, a worker or another writer does."""
        self._version += 1
        value = base64.b64encode(json.dumps(doc).encode()).decode()
        self._rows[table, key] = (self._version, value)
        self._wake()

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self._version += 1
        self._rows[table, key] = (self._version, None)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _stamp(self) -> dict[str, int]:
        return {"RowVersion": self._version, "TimeMs": int(time.monotonic() * 1000)}

    def _row(self, key: tuple[str, str]) -> dict[str, Any]:
        version, value = self._rows.get(key, (0, None))
        row = {"Table": key[0], "part": "", "Key": key[1], "RowVersion": version}
        return row | ({"IsGone": True} if value is None else {"Value": value})

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                await asyncio.sleep(STORE_ANSWER_SECONDS)
                silent = self.silent
                status, doc = (503, {}) if silent else await self._call(first.split(" ")[1], body)
                if silent or self.silent:
                    # The call was not performed, or its answer is lost with the connection.
                    await reader.read()
                    return
                answer = encode_answer(
                    status, {"Content-Type": "application/json"}, json.dumps(doc).encode()
                )
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    async def _call(self, target: str, body: bytes) -> tuple[int, dict[str, Any]]:
        path, _, query_string = target.partition("?")
        query = {name: values[0] for name, values in parse_qs(query_string).items()}
        if path == "/radishshunt/rows-get":
            rows = [
                self._row(key)
                for key in sorted(self._rows)
                if key[0] == query["Table"] and self._rows[key][1] is not None
            ]
            return 200, {"Rows": rows, "HasMore": False, **self._stamp()}
        if path == "/radishshunt/rows-feed":
            return 200, await self._feed(query)
        if path == "/radishshunt/rows-tx":
            await asyncio.sleep(TRANSACTION_SECONDS)
            return self._transact(json.loads(body))
        return 404, {}

    async def _feed(self, query: dict[str, str]) -> dict[str, Any]:
        ends_at = time.monotonic() + int(query["WaitMs"]) / 1000
        while True:
            changed = [
                key
                for key, (version, _) in self._rows.items()
                if key[0] == query["Table"] and version > int(query["after"])
            ]
            left = ends_at - time.monotonic()
            if changed or left <= 0:
                break
            with suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)
        changed.sort(key=lambda key: self._rows[key][0])
        return {"Rows": [self._row(key) for key in changed], **self._stamp()}

    def _transact(self, doc: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        mismatched = []
        for check in doc["ExpectRev"]:
            key = (check["Table"], check["Key"])
            version, value = self._rows.get(key, (0, None))
            if (version if value is not None else 0) != check["RowVersion"]:
                mismatched.append(key)
        if mismatched:
            return 412, {"Rows": [self._row(key) for key in mismatched], **self._stamp()}
        self._version += 1
        for row in doc["Puts"]:
            self._rows[row["Table"], row["Key"]] = (self._version, row["Value"])
        self._wake()
        return 200, self._stamp()


@dataclass
class Hold:
    """Keys that a worker has held, from when to when.

    :ivar until: Its end; moved by renewals and by releases.
    """

    worker: str
    first: int
    last: int
    fence: int
    since: float
    until: float


@dataclass
class Run:
    """A request that a worker has run, or is running while ``until`` is infinite."""

    worker: str
    attempt_id: str
    key: int | None
    since: float
    until: float = float("inf")


@dataclass
class Worker:
    """A worker, as PROTOCOL.md describes one.

    :ivar work_seconds: Time that it works on a request.
    :ivar crash_path: Requests of this path end the process that begins to run them.
    :ivar leaving: Whether it tells in its answers that it leaves.
    :ivar cold_until: Time on the monotonic clock until which it is cold.
    :ivar holds: All keys that it has held, in order.
    :ivar runs: All requests that it has run.
    """

    id: str
    address: str
    service: str
    zone: str
    store: Store
    record: Record
    work_seconds: float = 0.12
    slots: int = 3
    crash_path: str = ""
    leaving: bool = False
    state: str = "ready"
    cold_until: float = 0.0
    holds: list[Hold] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    crashes: list[float] = field(default_factory=list)
    born: int = 0
    _sequence: int = 0
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _beat: asyncio.Task | None = None
    _highest_fences: list[tuple[int, int, int]] = field(default_factory=list)

    async def start(self) -> None:
        """Start a process that holds no keys, and register it."""
        ip, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, ip, int(port), limit=1 << 20)
        self.born = int(time.time() * 1000)
        self._sequence = 0
        self._highest_fences = []
        self.register()
        self._beat = asyncio.create_task(self._heartbeat())

    def register(self) -> None:
        """Write the own entry."""
        self._sequence += 1
        entry = {
            "Addr": self.address,
            "Info": {
                "Service": self.service,
                "Version": "v1",
                "Zone": self.zone,
                "Capacity": self.slots,
            },
            "Status": {
                "State": self.state,
                "Sequence": self._sequence,
                "WarmupLeftMs": max(0, int((self.cold_until - time.monotonic()) * 1000)),
            },
            "born": self.born,
        }
        if not self.store.silent:
            self.store.put("servers", self.id, entry)

    async def _heartbeat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            self._sequence += 1

    def stop(self) -> None:
        """End the process: its address and connections are gone, and it holds nothing."""
        if self._server is not None:
            self._server.close()
        if self._beat is not None:
            self._beat.cancel()
        for writer in list(self._writers):
            writer.transport.abort()
        for hold in self.active_holds():
            hold.until = time.monotonic()
        for run in self.runs:
            run.until = min(run.until, time.monotonic())

    def active_holds(self) -> list[Hold]:
        """Return what it holds now."""
        now = time.monotonic()
        return [hold for hold in self.holds if hold.until > now]

    @property
    def running(self) -> int:
        """Number of requests that it is at work on."""
        return sum(run.until == float("inf") for run in self.runs)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                writer.write(await self._answer(first.split(" ")[1], headers, body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, target: str, headers: dict[str, str], body: bytes) -> bytes:
        attempt_id = headers.get("x-radishshunt-attempt-id", "")
        answer = {"X-Radishshunt-Instance-Id": self.id}
        if attempt_id:
            answer["X-Radishshunt-Attempt-Id"] = attempt_id
        if self.leaving:
            answer["Server-Leaving"] = "1"
        if target == "/healthz":
            if self.cold_until > time.monotonic():
                left = int((self.cold_until - time.monotonic()) * 1000)
                answer["X-Radishshunt-Warmup-Ms"] = str(left)
            return encode_answer(200 if self.state == "ready" else 503, self._load(answer))
        if headers.get("x-radishshunt-target-instance", self.id) != self.id:
            return encode_answer(421, answer | {"X-Radishshunt-Not-Executed": "1"})
        if target == "/radishshunt/grant":
            return encode_answer(self._grant(json.loads(body)), self._load(answer), b"{}")
        if target == "/radishshunt/release":
            await self._release(json.loads(body))
            answer["X-Radishshunt-Handover"] = f"handover-{self.id}"
            return encode_answer(200, self._load(answer), b"{}")
        return await self._run(target, headers, attempt_id, answer)

    def _load(self, answer: dict[str, str]) -> dict[str, str]:
        return answer | {"X-Radishshunt-Server-Load": f"{self.running},0,{self.slots}"}

    async def _run(
        self, target: str, headers: dict[str, str], attempt_id: str, answer: dict[str, str]
    ) -> bytes:
        text = headers.get("x-radishshunt-shard-key")
        key = int(text) if text is not None else None
        now = time.monotonic()
        if key is not None and not any(
            hold.first <= key <= hold.last for hold in self.active_holds()
        ):
            self.record(f"worker {self.id} refuses {attempt_id}: it does not hold key {key}")
            return encode_answer(421, self._load(answer | {"X-Radishshunt-Not-Executed": "1"}))
        run = Run(self.id, attempt_id, key, now)
        self.runs.append(run)
        self.record(f"worker {self.id} runs {attempt_id} {target}")
        if self.crash_path and target.startswith(self.crash_path):
            self.crashes.append(now)
            self.record(f"worker {self.id} crashes")
            self.stop()
            raise ConnectionResetError
        await asyncio.sleep(self.work_seconds)
        run.until = time.monotonic()
        answer["X-Radishshunt-Server-Signature"] = f"{self.id}.{attempt_id}"
        return encode_answer(200, self._load(answer), f"answer to {attempt_id}".encode())

    def _grant(self, doc: dict[str, Any]) -> int:
        first, last, fence = doc["From"], doc["Target"], doc["fence"]
        text = f"keys {first} to {last}, fence {fence}, {doc['HoldMs']} ms"
        for low, high, seen in self._highest_fences:
            if low <= last and first <= high and seen > fence:
                self.record(f"worker {self.id} refuses a grant of {text}")
                return 409
        now = time.monotonic()
        self._highest_fences = [
            item for item in self._highest_fences if not (first <= item[0] and item[1] <= last)
        ]
        self._highest_fences.append((first, last, fence))
        until = now + doc["HoldMs"] / 1000
        same = [
            hold
            for hold in self.active_holds()
            if (hold.first, hold.last, hold.fence) == (first, last, fence)
        ]
        if same:
            same[0].until = until
            return 200
        self.record(f"worker {self.id} takes a grant of {text}")
        self._end_holds(first, last, now)
        self.holds.append(Hold(self.id, first, last, fence, now, until))
        return 200

    async def _release(self, doc: dict[str, Any]) -> None:
        first, last = doc["From"], doc["Target"]
        self.record(f"worker {self.id} is told to release keys {first} to {last}")
        self._end_holds(first, last, time.monotonic())
        while any(
            run.until == float("inf") and run.key is not None and first <= run.key <= last
            for run in self.runs
        ):
            await asyncio.sleep(0.005)
        self.record(f"worker {self.id} has released keys {first} to {last}")

    def _end_holds(self, first: int, last: int, now: float) -> None:
        """End the holds of some keys, and go on with the rest of what they covered."""
        for hold in self.active_holds():
            if hold.last < first or last < hold.first:
                continue
            for low, high in ((hold.first, first - 1), (last + 1, hold.last)):
                if low <= high:
                    self.holds.append(Hold(self.id, low, high, hold.fence, now, hold.until))
            hold.until = now


class Host:
    """A host of the router, as a process with the command of the deploy file."""

    def __init__(self, name: str, ip: str, settings: str, folder: Path) -> None:
        self.name = name
        self.ip = ip
        self.front = ""
        self.started_at = 0.0
        self._settings = folder / f"{name}.conf"
        self._settings.write_text(settings, "utf-8")
        self._log = folder / f"{name}.log"
        self._process: subprocess.Popen[bytes] | None = None
        with (REPOSITORY / "deploy/system.toml").open("rb") as file:
            (role,) = tomllib.load(file)["roles"].values()
        self._command = role["run"].split()

    def start(self) -> None:
        """Start the process."""
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["PYTHONPATH"] = str(REPOSITORY / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["RADISHSHUNT_CONFIG"] = str(self._settings)
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                self._command, cwd=REPOSITORY, env=env, stdout=log, stderr=log
            )
        self.started_at = time.monotonic()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def log_lines(self, kind: str) -> list[dict[str, Any]]:
        """Return the decisions of one kind that it has logged."""
        lines = []
        for line in self._log.read_text("utf-8", "replace").splitlines():
            if f'"decision:{kind}"' in line:
                lines.append(json.loads(line))
        return lines


@dataclass(frozen=True)
class Answer:
    """What a client got; status 0 if there was no complete answer."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


class Bed:
    """A small deployment on loopback: a store, workers and hosts.

    :ivar trouble: Whether the script makes its disruption.
    """

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = Store()
        self.workers: list[Worker] = []
        self.hosts: list[Host] = []
        self._folder = tempfile.TemporaryDirectory(prefix="radishshunt-review-")
        self._requests = 0

    async def start(self, hosts: int, keyed_workers: int, other_workers: int) -> bool:
        """Start everything; return whether all hosts serve."""
        store = f"127.0.0.1:{_free_port('127.0.0.1')}"
        await self.store.start(store)
        for number in range(keyed_workers + other_workers):
            worker = Worker(
                f"i-{random.getrandbits(40):010x}",
                f"127.0.0.1:{_free_port('127.0.0.1')}",
                "register" if number < keyed_workers else "archive",
                ZONES[number % len(ZONES)],
                self.store,
                self.record,
            )
            await worker.start()
            self.workers.append(worker)
        self.store.put("op", "config", CONFIGURATION)
        network = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        ips = [f"{network}.{number + 1}" for number in range(hosts)]
        ports = [_free_port(ips[0]) for _ in range(3)]
        first_port = _free_port(ips[0])
        for number, ip in enumerate(ips):
            name = f"edge-{ZONES[number % len(ZONES)]}-{number + 1}"
            settings = SETTINGS.format(
                name=name,
                ip=ip,
                zone=ZONES[number % len(ZONES)],
                front=ports[0],
                ready=ports[1],
                control=ports[2],
                first_port=first_port,
                last_port=first_port + 15,
                seeds=",".join(f"{seed}:{ports[2]}" for seed in ips[:3]),
                store=store,
            )
            host = Host(name, ip, settings, Path(self._folder.name))
            host.front = f"{ip}:{ports[0]}"
            host.start()
            self.hosts.append(host)
        return await self.wait_until_served()

    async def wait_until_served(self) -> bool:
        """Return whether all hosts serve requests of both services within some seconds."""
        give_up_at = time.monotonic() + READY_SECONDS
        while time.monotonic() < give_up_at:
            answers = [
                await self.request(host, path, key)
                for host in self.hosts
                for path, key in (
                    ("/reads/start", random.randint(0, LAST_KEY)),
                    ("/documents/start", None),
                )
            ]
            if all(answer.status == 200 for answer in answers):
                return True
            await asyncio.sleep(0.2)
        return False

    def leader(self) -> Host:
        """Return the host that has acquired the lease last."""
        lines = [
            (line["timestamp"], host) for host in self.hosts for line in host.log_lines("lease")
        ]
        return max(lines, key=lambda line: line[0])[1]

    async def request(
        self,
        host: Host,
        path: str,
        key: int | None = None,
        *,
        method: str = "GET",
        deadline_ms: int = 1000,
        attempt_id: str = "",
    ) -> Answer:
        """Send one client attempt on a connection of its own."""
        self._requests += 1
        attempt_id = attempt_id or f"{self._requests:06d}{random.getrandbits(32):08x}"
        self.record(f"client sends {attempt_id} {method} {path} key {key} to {host.name}")
        try:
            answer = await asyncio.wait_for(
                self._exchange(host, path, key, method, deadline_ms, attempt_id),
                deadline_ms / 1000 + 0.5,
            )
        except (TimeoutError, OSError, asyncio.IncompleteReadError) as exc:
            self.record(f"client gets no answer to {attempt_id}: {type(exc).__name__}")
            return Answer(0)
        self.record(f"client gets {answer.status} to {attempt_id}")
        return answer

    async def _exchange(
        self, host: Host, path: str, key: int | None, method: str, deadline_ms: int, attempt_id: str
    ) -> Answer:
        ip, _, port = host.front.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            lines = [
                f"{method} {path} HTTP/1.1",
                "Host: office.example",
                f"X-Radishshunt-Attempt-Id: {attempt_id}",
                f"X-Radishshunt-Deadline-Ms: {deadline_ms}",
            ]
            if key is not None:
                lines.append(f"X-Radishshunt-Shard-Key: {key}")
            if method == "POST":
                lines.append("Content-Length: 0")
            writer.write("\r\n".join([*lines, "", ""]).encode())
            first, headers = await read_head(reader)
            body = await read_body(reader, headers)
            return Answer(int(first.split(" ")[1]), headers, body)
        finally:
            writer.close()

    async def load(self, per_second: float) -> None:
        """Send reads and fees with random keys to all hosts until cancelled."""
        number = 0
        async with asyncio.TaskGroup() as group:
            while True:
                number += 1
                method, path = ("POST", "/fees/") if number % 3 == 0 else ("GET", "/reads/")
                host = self.hosts[number % len(self.hosts)]
                key = random.randint(0, LAST_KEY)
                group.create_task(self.request(host, f"{path}{number}", key, method=method))
                await asyncio.sleep(1 / per_second)

    def end(self) -> None:
        """End all processes and remove the temporary folder."""
        for host in self.hosts:
            host.kill()
        self.record.close()
        self._folder.cleanup()


def _free_port(ip: str) -> int:
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def run_case(folder: Path, play: Any) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if it could not run.

    :param play: Coroutine function that gets the :class:`Bed` and returns the exit status.
    """

    async def main() -> int:
        # Also a script that is stopped ends the processes that it started.
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        bed = Bed(folder)
        try:
            status = await play(bed)
            bed.record(("rule held", "RULE BROKEN", "could not run")[status])
            return status
        finally:
            bed.end()

    try:
        status = asyncio.run(main())
    except (Exception, asyncio.CancelledError) as exc:
        sys.stderr.write(f"the case could not run: {exc!r}\n")
        status = COULD_NOT_RUN
    sys.exit(status)
