"""System of separate processes that can be killed, paused and disconnected."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import tempfile
import time
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

import httpx
import yaml

from radishshunt.model import ip_of

if TYPE_CHECKING:
    from collections.abc import Callable

TOKEN = "scenario-token-0000"
WAIT_TIMEOUT_SECONDS = 20.0
POLL_INTERVAL_SECONDS = 0.05
# Second octet of the loopback addresses; parallel checkouts on one machine use different ones.
TEST_NET = int(os.environ.get("RADISHSHUNT_TEST_NET", "60"))
RELAYED_PORT_OFFSET = 1000


@dataclass(frozen=True, slots=True)
class Deployment:
    """Components of a system.

    :param target_counts: Number of targets by service.
    :param keyed: Services whose requests have keys with one owner each.
    :param relayed: Whether all links go through a relay, so that they can be cut.
    """

    domains: tuple[str, ...] = ("akl-a", "akl-b", "akl-c", "akl-d")
    hosts: int = 2
    target_counts: dict[str, int] = field(default_factory=lambda: {"permits": 4})
    keyed: tuple[str, ...] = ("permits",)
    relayed: bool = False
    net: int = TEST_NET
    target_options: tuple[str, ...] = ()
    service_options: dict[str, Any] = field(default_factory=dict)


class System:
    """Processes of one scenario; closing it kills them all.

    :ivar targets: Address of each target, not its relayed one.
    :ivar hosts: Settings of each host.
    :ivar version: Latest catalog version that :meth:`submit` got accepted.
    """

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.targets: dict[str, str] = {}
        self.hosts: dict[str, dict] = {}
        self.processes: dict[str, subprocess.Popen] = {}
        self._arguments: dict[str, tuple[str, ...]] = {}
        self._stack = ExitStack()
        self.directory = Path(self._stack.enter_context(tempfile.TemporaryDirectory()))
        self.client = self._stack.enter_context(httpx.Client(trust_env=False, timeout=15.0))
        self.version = 0

    def close(self) -> None:
        """Kill all processes and remove their logs."""
        for name in list(self.processes):
            self.kill(name)
        self._stack.close()

    def start_all(self) -> None:
        """Start the platform, the targets, the relay and the hosts."""
        net = self.deployment.net
        self._assign_target_addresses()
        host_entries = [self._write_settings(index) for index in range(self.deployment.hosts)]
        if self.deployment.relayed:
            self._start_relay()
        self.start("platform", "emulate", "platform", f"127.{net}.0.1:7000")
        for name, address in self.targets.items():
            options = ("--journal", str(self.journal(name)), *self.deployment.target_options)
            self.start(name, "emulate", "target", name, address, *options)
        self.wait_for_url(f"http://127.{net}.0.1:7000/emulator/counts")
        self.client.put(self.platform_url("/emulator/hosts"), json={"hosts": host_entries})
        for name in self.hosts:
            self.start(name, "serve", str(self.directory / f"{name}.yaml"))
        for name in self.hosts:
            self.wait_for_url(self.admin_url(name, "/healthz"))

    def journal(self, target: str) -> Path:
        """Return the file in which a target records its executions."""
        return self.directory / f"{target}.journal"

    def start(self, name: str, *args: str) -> None:
        """Start a process of the ``radishshunt`` command.

        :param name: Name of the component, also of its log file.
        """
        self._arguments[name] = args
        with (self.directory / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", "radishshunt", *args], stdout=log, stderr=log
            )

    def restart(self, name: str) -> None:
        """Start a component again that was killed, with the same arguments."""
        self.start(name, *self._arguments[name])

    def kill(self, name: str) -> None:
        """Kill a process at once; it may be paused."""
        process = self.processes.pop(name, None)
        if process is not None:
            process.kill()
            process.wait()

    def terminate(self, name: str) -> int:
        """Stop a process gracefully and return its exit status."""
        process = self.processes.pop(name)
        process.terminate()
        return process.wait(timeout=60)

    def pause(self, name: str) -> None:
        """Suspend a process."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Continue a suspended process, unless it was killed."""
        if name in self.processes:
            self.processes[name].send_signal(signal.SIGCONT)

    def set_link(self, source: str, destination: str, state: str) -> None:
        """Set the state of the link from a host to another component.

        :param source: Name of a host, or ``*``.
        :param state: One of the relay's link states, for example ``cut``.
        """
        ip = "*" if source == "*" else ip_of(self.hosts[source]["peers"]["address"])
        self.client.put(
            f"http://127.{self.deployment.net}.0.2:7001/links",
            json={"source": ip, "destination": destination, "state": state},
        ).raise_for_status()

    def set_platform_faults(self, **faults: Any) -> None:
        """Set the platform's faults; those not given are switched off."""
        self.client.put(self.platform_url("/emulator/faults"), json=faults).raise_for_status()

    def submit(self, host: str, note: dict) -> httpx.Response:
        """Submit a release note to a host and record the accepted version."""
        resp = self.client.post(
            self.admin_url(host, "/v1/releases"),
            content=yaml.safe_dump(note),
            headers=self.auth_headers,
        )
        if resp.status_code == 200:
            self.version = max(self.version, resp.json()["version"])
        return resp

    def submit_first_note(self) -> None:
        """Submit the note that adds the whole deployment, and wait until all hosts are ready."""
        host = next(iter(self.hosts))
        resp = self.submit(host, self.first_note())
        assert resp.status_code == 200, resp.text
        for name in self.hosts:
            self.wait_for_url(self.admin_url(name, "/readyz"))

    def first_note(self) -> dict:
        """Return the note that adds the whole deployment."""
        deployment = self.deployment
        options = {"keyed": False, **deployment.service_options}
        return {
            "predecessor": 0,
            "added": {
                "domains": list(deployment.domains),
                "services": {
                    name: {**options, "keyed": name in deployment.keyed}
                    for name in deployment.target_counts
                },
                "targets": {
                    name: {
                        "service": name.rsplit("-", 1)[0],
                        "address": self._relayed_address(address),
                        "domain": self.domain_of(name),
                    }
                    for name, address in self.targets.items()
                },
            },
        }

    def domain_of(self, target: str) -> str:
        """Return the failure domain of a target."""
        domains = self.deployment.domains
        return domains[list(self.targets).index(target) % len(domains)]

    def status(self, host: str) -> dict:
        """Return a host's own status."""
        return self.client.get(self.admin_url(host, "/v1/status"), headers=self.auth_headers).json()

    def explain(self, host: str, key: str, service: str = "permits") -> dict:
        """Return which host and target serve a key, according to one host."""
        url = self.admin_url(host, f"/v1/services/{service}/explain")
        return self.client.get(url, params={"key": key}, headers=self.auth_headers).json()

    def request(
        self, host: str, key: str, method: str = "GET", service: str = "permits", **options: Any
    ) -> httpx.Response:
        """Send a caller's request to a host."""
        headers = {"Radishshunt-Service": service, "Radishshunt-Key": key}
        headers.update(options.pop("headers", {}))
        return self.client.request(
            method, self.caller_url(host, "/permit"), headers=headers, **options
        )

    @property
    def auth_headers(self) -> dict[str, str]:
        """Header that the administration API requires."""
        return {"Authorization": f"Bearer {TOKEN}"}

    def caller_url(self, host: str, path: str) -> str:
        """Return a URL of a host's listener for callers."""
        return f"http://{self.hosts[host]['callers']['address']}{path}"

    def admin_url(self, host: str, path: str) -> str:
        """Return a URL of a host's administration API."""
        return f"http://{self.hosts[host]['admin']['address']}{path}"

    def platform_url(self, path: str) -> str:
        """Return a URL of the platform that bypasses the relay."""
        return f"http://127.{self.deployment.net}.0.1:7000{path}"

    def wait_for_url(self, url: str) -> None:
        """Wait until a URL answers with status 200."""

        def is_ok() -> bool:
            try:
                return self.client.get(url, headers=self.auth_headers).status_code == 200
            except httpx.HTTPError:
                return False

        self.wait_until(is_ok, url)

    def wait_until(
        self, condition: Callable[[], bool], description: str, seconds: float = WAIT_TIMEOUT_SECONDS
    ) -> float:
        """Wait until a condition holds and return the seconds that it took.

        :param description: Names the condition in the error message.
        :raises AssertionError: If it does not hold in time or a process has exited.
        """
        started_at = time.monotonic()
        while time.monotonic() < started_at + seconds:
            if condition():
                return time.monotonic() - started_at
            self._check_processes()
            time.sleep(POLL_INTERVAL_SECONDS)
        raise AssertionError(f"{description}: not within {seconds} s\n{self.logs()}")

    def _check_processes(self) -> None:
        """Fail early if a process exited by itself, for example because its address is in use."""
        for name, process in self.processes.items():
            if process.poll() is not None:
                log = (self.directory / f"{name}.log").read_text(errors="replace")
                raise AssertionError(
                    f"{name} exited with status {process.returncode}:\n{log[-2000:]}"
                )

    def logs(self, lines: int = 15) -> str:
        """Return the last log lines of each host, for error messages."""
        sections = []
        for name in self.hosts:
            path = self.directory / f"{name}.log"
            if path.exists():
                text = path.read_text(errors="replace").splitlines()[-lines:]
                sections.append(f"--- {name}\n" + "\n".join(line[:300] for line in text))
        return "\n".join(sections)

    def _assign_target_addresses(self) -> None:
        index = 0
        for service, count in self.deployment.target_counts.items():
            for number in range(1, count + 1):
                index += 1
                address = f"127.{self.deployment.net}.1.{index}:9000"
                self.targets[f"{service}-{number:02d}"] = address

    def _write_settings(self, index: int) -> dict:
        net = self.deployment.net
        name = f"host-{index + 1:02d}"
        domain = self.deployment.domains[index % len(self.deployment.domains)]
        ip = f"127.{net}.2.{index + 1}"
        cfg = self.hosts[name] = {
            "host": {"name": name, "domain": domain},
            "callers": {"address": f"{ip}:8080"},
            "admin": {"address": f"{ip}:8081", "token": TOKEN},
            "peers": {"address": f"{ip}:8082", "advertise": self._relayed_address(f"{ip}:8082")},
            "platform": {"url": f"http://{self._relayed_address(f'127.{net}.0.1:7000')}"},
        }
        cfg["peers"]["seeds"] = [
            self._relayed_address(f"127.{net}.2.{other + 1}:8082")
            for other in range(self.deployment.hosts)
            if other != index
        ]
        (self.directory / f"{name}.yaml").write_text(yaml.safe_dump(cfg))
        return {"host": name, "domain": domain, "address": cfg["peers"]["advertise"]}

    def _relayed_address(self, address: str) -> str:
        if not self.deployment.relayed:
            return address
        ip, _, port = address.rpartition(":")
        return f"{ip}:{int(port) + RELAYED_PORT_OFFSET}"

    def _start_relay(self) -> None:
        net = self.deployment.net
        addresses = {"platform": f"127.{net}.0.1:7000", **self.targets}
        addresses.update({name: cfg["peers"]["address"] for name, cfg in self.hosts.items()})
        routes = [
            f"{name}={self._relayed_address(address)}={address}"
            for name, address in addresses.items()
        ]
        self.start("relay", "emulate", "network", f"127.{net}.0.2:7001", *routes)
        self.wait_for_url(f"http://127.{net}.0.2:7001/links")
