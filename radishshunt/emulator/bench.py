"""Benchmark of the cost of a router hop and of a hop between hosts, in separate processes."""

from __future__ import annotations

import json
import os
import pstats
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any
from uuid import uuid4

import httpx
import yaml

from radishshunt.errors import RadishshuntError
from radishshunt.metrics import LatencyHistogram

if TYPE_CHECKING:
    from collections.abc import Callable

PATHS = ("direct", "one-hop", "two-hop")
ADMIN_TOKEN = "bench-token-00000000"
START_TIMEOUT_SECONDS = 20.0
ROUNDS = 20
REQUESTS_PER_ROUND = 100
# Concurrent connections while the processor time per request is measured.
LOAD_CONNECTIONS = 8
LOAD_REQUESTS = 400
KEY = "bench-key"
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


class BenchFailed(RadishshuntError):
    """The benchmark could not be completed."""

    category = "bench"


@dataclass(slots=True)
class PathResult:
    """Results of one path.

    :param cpu: Processor seconds per request, by role of the process on the path.
    """

    latency: LatencyHistogram = field(default_factory=LatencyHistogram)
    cpu: dict[str, float] = field(default_factory=dict)

    def latency_at(self, percentile: float) -> float:
        """Return the latency in seconds at a percentile."""
        return self.latency.percentiles()[percentile]


class Client:
    """HTTP client with low overhead that repeats one request on one connection."""

    def __init__(self, address: str) -> None:
        ip, _, port = address.rpartition(":")
        self._sock = socket.create_connection((ip, int(port)), timeout=10.0)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._request = (
            f"GET /entries/12 HTTP/1.1\r\nHost: {address}\r\nRadishshunt-Service: bench\r\n"
            f"Radishshunt-Key: {KEY}\r\nAccept: application/json\r\n"
            f"Radishshunt-Request-Id: {uuid4().hex}\r\n\r\n"
        ).encode()

    def call(self) -> None:
        """Send the request and read the response.

        :raises BenchFailed: If the status is not 200 or the connection is closed early.
        """
        self._sock.sendall(self._request)
        data = b""
        while b"\r\n\r\n" not in data:
            data += self._receive()
        head, _, body = data.partition(b"\r\n\r\n")
        if not head.startswith(b"HTTP/1.1 200"):
            raise BenchFailed(data.decode("latin-1"))
        lower = head.lower()
        if b"content-length: " in lower:
            size = int(lower.partition(b"content-length: ")[2].partition(b"\r\n")[0])
            while len(body) < size:
                body += self._receive()
        else:
            while not body.endswith(b"0\r\n\r\n"):
                body += self._receive()

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()

    def _receive(self) -> bytes:
        data = self._sock.recv(65536)
        if not data:
            raise BenchFailed("the connection was closed before the end of a response")
        return data


class Bench:
    """Starts the processes and measures the latency and processor time of each path.

    :param print_line: Prints one line.
    :param net: Second octet of the loopback addresses.
    """

    def __init__(self, print_line: Callable[[str], None], net: int) -> None:
        self._print_line = print_line
        self._net = net
        self._processes: dict[str, subprocess.Popen] = {}
        self._addresses = {"direct": f"127.{net}.1.1:9000"}
        self.results = {name: PathResult() for name in PATHS}

    def run(self, *, profile: bool) -> dict[str, Any]:
        """Run the benchmark and return all figures.

        :param profile: Whether the hosts run under a profiler, which distorts the figures.
        """
        with ExitStack() as stack:
            directory = Path(stack.enter_context(tempfile.TemporaryDirectory()))
            stack.callback(self._kill_all)
            self._start(directory, profile)
            self._measure_latency()
            self._measure_cpu()
            if profile:
                self._terminate_hosts()
                self._print_profile(directory)
        return self._figures()

    def _start(self, directory: Path, profile: bool) -> None:
        net = self._net
        self._spawn(directory, "platform", "emulate", "platform", f"127.{net}.0.1:7000")
        options = ("--slots", "64", "--service-seconds", "0")
        self._spawn(
            directory, "target", "emulate", "target", "bench-01", *options, self._target_address
        )
        host_entries = []
        for index in (1, 2):
            name, ip = f"host-{index:02d}", f"127.{net}.2.{index}"
            cfg = {
                "host": {"name": name, "domain": f"domain-{index}"},
                "callers": {"address": f"{ip}:8080"},
                "admin": {"address": f"{ip}:8081", "token": ADMIN_TOKEN},
                "peers": {"address": f"{ip}:8082"},
                "platform": {"url": f"http://127.{net}.0.1:7000"},
            }
            path = directory / f"{name}.yaml"
            path.write_text(yaml.safe_dump(cfg))
            profile_options = ("--profile", str(directory / f"{name}.pstats")) if profile else ()
            self._spawn(directory, name, "serve", *profile_options, str(path))
            host_entries.append(
                {"host": name, "domain": f"domain-{index}", "address": cfg["peers"]["address"]}
            )
        with httpx.Client(trust_env=False) as client:
            self._wait_for_ok(client, f"http://127.{net}.0.1:7000/emulator/counts")
            client.put(f"http://127.{net}.0.1:7000/emulator/hosts", json={"hosts": host_entries})
            for index in (1, 2):
                self._wait_for_ok(client, f"http://127.{net}.2.{index}:8081/healthz")
            self._submit(client)

    @property
    def _target_address(self) -> str:
        return self._addresses["direct"]

    def _submit(self, client: httpx.Client) -> None:
        note = {
            "predecessor": 0,
            "added": {
                "domains": ["domain-1", "domain-2"],
                "services": {"bench": {"keyed": True}},
                "targets": {
                    "bench-01": {
                        "service": "bench",
                        "address": self._target_address,
                        "domain": "domain-1",
                        "slots": 64,
                    }
                },
            },
        }
        admin = f"http://127.{self._net}.2.1:8081"
        headers = {"Authorization": f"Bearer {ADMIN_TOKEN}"}
        resp = client.post(f"{admin}/v1/releases", content=json.dumps(note), headers=headers)
        if resp.status_code != 200:
            raise BenchFailed(resp.text)
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            resp = client.get(
                f"{admin}/v1/services/bench/explain", params={"key": KEY}, headers=headers
            )
            dispatcher = resp.json().get("dispatcher")
            if dispatcher is not None:
                local, other = (1, 2) if dispatcher == "host-01" else (2, 1)
                self._addresses["one-hop"] = f"127.{self._net}.2.{local}:8080"
                self._addresses["two-hop"] = f"127.{self._net}.2.{other}:8080"
                self._hosts_by_role = {
                    "dispatcher": f"host-{local:02d}",
                    "entry": f"host-{other:02d}",
                }
                if self._serves_key(client):
                    return
            time.sleep(0.1)
        raise BenchFailed("the benchmark key was not served in time")

    def _serves_key(self, client: httpx.Client) -> bool:
        headers = {"Radishshunt-Service": "bench", "Radishshunt-Key": KEY}
        return all(
            client.get(f"http://{self._addresses[path]}/", headers=headers).status_code == 200
            for path in ("one-hop", "two-hop")
        )

    def _measure_latency(self) -> None:
        clients = {path: Client(self._addresses[path]) for path in PATHS}
        # The first two rounds warm up the processes and are not recorded.
        for round_number in range(ROUNDS + 2):
            for path in PATHS:
                for _ in range(REQUESTS_PER_ROUND):
                    started_at = time.perf_counter()
                    clients[path].call()
                    if round_number >= 2:
                        self.results[path].latency.record(time.perf_counter() - started_at)
        for client in clients.values():
            client.close()

    def _measure_cpu(self) -> None:
        processes_by_path = {
            "direct": {"target": "target"},
            "one-hop": {"target": "target", "dispatcher": self._hosts_by_role["dispatcher"]},
            "two-hop": {"target": "target", **self._hosts_by_role},
        }
        for path, processes in processes_by_path.items():
            idle = self._idle_cpu_rate(processes)
            before = {role: self._cpu_seconds(name) for role, name in processes.items()}
            started_at = time.monotonic()
            self._send_load(self._addresses[path])
            seconds = time.monotonic() - started_at
            for role, name in processes.items():
                used_seconds = self._cpu_seconds(name) - before[role] - idle[role] * seconds
                self.results[path].cpu[role] = used_seconds / (LOAD_CONNECTIONS * LOAD_REQUESTS)

    def _idle_cpu_rate(self, processes: dict[str, str]) -> dict[str, float]:
        """Return the processor seconds per second that idle processes use, by role."""
        before = {role: self._cpu_seconds(name) for role, name in processes.items()}
        time.sleep(1.0)
        return {role: self._cpu_seconds(name) - before[role] for role, name in processes.items()}

    @staticmethod
    def _send_load(address: str) -> None:
        def send(_number: int) -> None:
            client = Client(address)
            for _ in range(LOAD_REQUESTS):
                client.call()
            client.close()

        with ThreadPoolExecutor(LOAD_CONNECTIONS) as pool:
            list(pool.map(send, range(LOAD_CONNECTIONS)))

    def _cpu_seconds(self, name: str) -> float:
        """Return the processor seconds that a process has used so far."""
        stat = Path(f"/proc/{self._processes[name].pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND

    def _figures(self) -> dict[str, Any]:
        direct, one, two = (self.results[path] for path in PATHS)
        target_cpu = direct.cpu["target"]
        peer_hop = {
            percentile: two.latency_at(percentile) - one.latency_at(percentile)
            for percentile in (50.0, 99.0)
        }
        router_hop = {
            percentile: one.latency_at(percentile) - direct.latency_at(percentile)
            for percentile in (50.0, 99.0)
        }
        return {
            "requests": direct.latency.count,
            "p50_seconds": {path: self.results[path].latency_at(50.0) for path in PATHS},
            "p99_seconds": {path: self.results[path].latency_at(99.0) for path in PATHS},
            "router_hop_p50_ratio": router_hop[50.0] / direct.latency_at(50.0),
            "router_hop_p99_ratio": router_hop[99.0] / direct.latency_at(99.0),
            "peer_hop_p50_ratio": peer_hop[50.0] / direct.latency_at(50.0),
            "peer_hop_p50_to_router_hop": peer_hop[50.0] / router_hop[50.0],
            "peer_hop_p99_ratio": peer_hop[99.0] / direct.latency_at(99.0),
            "dispatcher_requests_per_core_ratio": target_cpu / one.cpu["dispatcher"],
            "two_hop_requests_per_core_ratio": target_cpu
            / (two.cpu["dispatcher"] + two.cpu["entry"]),
            "cpu_seconds_per_request": {path: self.results[path].cpu for path in PATHS},
        }

    def _print_profile(self, directory: Path) -> None:
        for role, name in self._hosts_by_role.items():
            stats = pstats.Stats(str(directory / f"{name}.pstats")).stats
            seconds_by_package: Counter[str] = Counter()
            seconds_by_function: Counter[str] = Counter()
            for (file, line, function), (_, _, own_seconds, cumulative_seconds, _) in stats.items():
                if "select.epoll" in function:
                    continue  # Idle time.
                seconds_by_package[_package_name(file)] += own_seconds
                if file != "~":
                    seconds_by_function[
                        f"{_short_path(file)}:{line} {function}"
                    ] += cumulative_seconds
            total = sum(seconds_by_package.values())
            self._print_line(f"profile of the {role}: own time by package")
            for package, seconds in seconds_by_package.most_common(14):
                self._print_line(f"  {seconds / total:6.1%}  {package}")
            self._print_line(f"profile of the {role}: cumulative time by function")
            for function, seconds in seconds_by_function.most_common(60):
                if seconds <= total:
                    self._print_line(f"  {seconds / total:6.1%}  {function}")

    def _spawn(self, directory: Path, name: str, *args: str) -> None:
        command = [sys.executable, "-m", "radishshunt", *args]
        if getattr(sys, "frozen", False):
            command = [sys.executable, *args]
        with (directory / f"{name}.log").open("wb") as log:
            self._processes[name] = subprocess.Popen(command, stdout=log, stderr=log)

    def _terminate_hosts(self) -> None:
        for name in self._hosts_by_role.values():
            self._processes[name].terminate()
        for name in self._hosts_by_role.values():
            self._processes[name].wait(timeout=60)

    def _kill_all(self) -> None:
        for process in self._processes.values():
            process.kill()
            process.wait()

    @staticmethod
    def _wait_for_ok(client: httpx.Client, url: str) -> None:
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            try:
                if client.get(url).status_code == 200:
                    return
            except httpx.HTTPError:
                pass
            time.sleep(0.05)
        raise BenchFailed(
            f"{url} did not answer with status 200 within {START_TIMEOUT_SECONDS:g} s"
        )


def _package_name(file: str) -> str:
    if "site-packages" in file:
        return file.partition("site-packages/")[2].partition("/")[0]
    if "/radishshunt/" in file:
        return "radishshunt/" + file.rpartition("/radishshunt/")[2]
    return "builtin" if file == "~" else "stdlib"


def _short_path(file: str) -> str:
    return "/".join(file.split("/")[-2:])
