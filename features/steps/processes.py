"""Steps that start the parts of a system as separate processes."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import httpx
import yaml
from behave import given, then, when

TOKEN = "scenario-token-0000"
START_SECONDS = 15.0
# Second number of the loopback addresses; parallel checkouts on one machine set their own.
TEST_NET = int(os.environ.get("RADISHSHUNT_TEST_NET", "60"))


class System:
    """Processes of one scenario, on addresses of their own.

    :param net: Second number of the loopback addresses.
    """

    def __init__(self, context, net: int = TEST_NET) -> None:
        self.net = net
        self.directory = Path(context.stack.enter_context(tempfile.TemporaryDirectory()))
        self.context = context
        self.targets: dict[str, str] = {}
        self.hosts: dict[str, dict] = {}
        self.processes: dict[str, subprocess.Popen] = {}
        self.client = context.stack.enter_context(httpx.Client(trust_env=False, timeout=10.0))

    def start(self, name: str, *args: str) -> None:
        """Start a part; the scenario's end kills it."""
        log = (self.directory / f"{name}.log").open("wb")
        process = subprocess.Popen(
            [sys.executable, "-m", "radishshunt", *args], stdout=log, stderr=log
        )
        self.processes[name] = process
        self.context.stack.callback(self.end, process)

    @staticmethod
    def end(process: subprocess.Popen) -> None:
        """Kill a process and wait for it."""
        process.kill()
        process.wait()

    def write_settings(self, name: str, index: int, domain: str) -> Path:
        """Write a host's settings and return their path."""
        ip = f"127.{self.net}.2.{index}"
        cfg = {
            "host": {"name": name, "domain": domain},
            "callers": {"address": f"{ip}:8080"},
            "admin": {"address": f"{ip}:8081", "token": TOKEN},
            "peers": {"address": f"{ip}:8082"},
            "platform": {"url": f"http://127.{self.net}.0.1:7000"},
        }
        self.hosts[name] = cfg
        path = self.directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(cfg))
        return path

    def wait_for(self, url: str) -> None:
        """Wait until a URL answers with status 200."""
        deadline = time.monotonic() + START_SECONDS
        while time.monotonic() < deadline:
            try:
                if self.client.get(url).status_code == 200:
                    return
            except httpx.HTTPError:
                pass
            time.sleep(0.05)
        raise AssertionError(f"{url} did not answer within {START_SECONDS} s")

    def request(self, host: str, key: str, method: str = "GET", **options) -> httpx.Response:
        """Send a caller's request to a host."""
        headers = {"Radishshunt-Service": "permits", "Radishshunt-Key": key}
        url = f"http://{self.hosts[host]['callers']['address']}/permit"
        return self.client.request(method, url, headers=headers, **options)


@given('a platform, {targets:d} targets of "{service}" and {hosts:d} hosts as processes')
def start_system(context, targets: int, service: str, hosts: int) -> None:
    system = context.system = System(context)
    system.start("platform", "emulate", "platform", f"127.{system.net}.0.1:7000")
    system.wait_for(f"http://127.{system.net}.0.1:7000/emulator/counts")
    for index in range(1, targets + 1):
        name = f"{service}-{index:02d}"
        system.targets[name] = f"127.{system.net}.1.{index}:9000"
        system.start(name, "emulate", "target", name, system.targets[name])
    entries = []
    for index in range(1, hosts + 1):
        name, domain = f"host-{index:02d}", f"akl-{'abcd'[index % 4]}"
        path = system.write_settings(name, index, domain)
        address = system.hosts[name]["peers"]["address"]
        entries.append({"host": name, "domain": domain, "address": address})
        system.start(name, "serve", str(path))
    faults_url = f"http://127.{system.net}.0.1:7000/emulator/hosts"
    system.client.put(faults_url, json={"hosts": entries}).raise_for_status()
    for cfg in system.hosts.values():
        system.wait_for(f"http://{cfg['admin']['address']}/healthz")


@given("a release note that adds them")
def submit_first_note(context) -> None:
    system = context.system
    domains = [f"akl-{letter}" for letter in "abcd"]
    note = {
        "predecessor": 0,
        "added": {
            "domains": domains,
            "services": {"permits": {"keyed": True}},
            "targets": {
                name: {"service": "permits", "address": address, "domain": domains[i % 4]}
                for i, (name, address) in enumerate(system.targets.items())
            },
        },
    }
    admin = next(iter(system.hosts.values()))["admin"]["address"]
    resp = system.client.post(
        f"http://{admin}/v1/releases",
        content=yaml.safe_dump(note),
        headers={"Authorization": f"Bearer {TOKEN}"},
    )
    assert resp.status_code == 200, resp.text
    for cfg in system.hosts.values():
        system.wait_for(f"http://{cfg['admin']['address']}/readyz")


@when("each host gets {requests:d} requests for {keys:d} keys")
def send_requests(context, requests: int, keys: int) -> None:
    context.answers = [
        (f"key-{number % keys}", context.system.request(host, f"key-{number % keys}"))
        for host in context.system.hosts
        for number in range(requests)
    ]


@then("every request is answered by a target")
def check_answers(context) -> None:
    statuses = [resp.status_code for _, resp in context.answers]
    assert statuses == [200] * len(statuses), statuses
    assert all(resp.json()["key"] == key for key, resp in context.answers)


@then("each key was served by one target only")
def check_owners(context) -> None:
    owners: dict[str, set[str]] = {}
    for key, resp in context.answers:
        owners.setdefault(key, set()).add(resp.json()["target"])
    assert all(len(names) == 1 for names in owners.values()), owners
