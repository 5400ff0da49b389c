"""Measures how long keys are unserved after failures, in a system of separate processes.

Run as ``python -m tests.measure.failover [--keys N] [--repeat N] [scenario ...]``.
"""

from __future__ import annotations

import argparse
import json
import os
import signal
from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import httpx
import trio

from tests.support.system import Deployment, System

if TYPE_CHECKING:
    from collections.abc import Callable

SETTLE_SECONDS = 3.0
OBSERVE_SECONDS = 7.0
PROBE_INTERVAL_SECONDS = 0.1
# Delay until the platform's host list no longer contains a killed host.
HOST_LIST_LAG_SECONDS = 1.0
PAUSE_SECONDS = 3.0
TARGET_SCENARIOS = ("target", "both", "restart", "pause-target")
HOST_SCENARIOS = ("dispatcher", "both", "stop", "pause-dispatcher")
SCENARIOS = ("target", "dispatcher", "both", "restart", "stop", "pause-target", "pause-dispatcher")
REQUEST_TIMEOUT_SECONDS = 1.0


@dataclass(slots=True)
class Probe:
    """One request for a key.

    :param started_at: Time of trio's clock in seconds.
    :param ended_at: Time of trio's clock in seconds.
    :param status: HTTP status, 0 without an answer.
    """

    started_at: float
    ended_at: float
    status: int
    reason: str = ""


@dataclass(slots=True)
class ProbeLog:
    """All requests of a run, by key.

    :param fault_at: Time of trio's clock in seconds at which the fault was injected.
    """

    probes: dict[str, list[Probe]] = field(default_factory=lambda: defaultdict(list))
    fault_at: float = 0.0

    def unserved_seconds(self, key: str) -> float:
        """Return the seconds from the fault to the next answer, infinite if there was none."""
        answered_at = [
            probe.ended_at
            for probe in self.probes[key]
            if probe.status == 200 and probe.started_at >= self.fault_at
        ]
        return min(answered_at, default=float("inf")) - self.fault_at

    def longest_gap_seconds(self, key: str) -> float:
        """Return the longest time between two answers, from 1 s before the fault on."""
        answered_at = [p.ended_at for p in self.probes[key] if p.status == 200]
        answered_at = [t for t in answered_at if t > self.fault_at - 1.0]
        ends = [*answered_at[1:], max(p.ended_at for p in self.probes[key])]
        return max((b - a for a, b in zip(answered_at, ends, strict=True)), default=float("inf"))


def explain_keys(system: System, keys: list[str]) -> dict[str, dict]:
    """Return which host and target serve each key, according to host-01."""
    return {key: system.explain("host-01", key) for key in keys}


async def probe_key(system: System, hosts: list[str], key: str, probe_log: ProbeLog) -> None:
    """Send requests for a key at fixed intervals to the hosts in turn, until cancelled."""
    headers = {
        "Radishshunt-Service": "permits",
        "Radishshunt-Key": key,
        "Request-Timeout": str(REQUEST_TIMEOUT_SECONDS),
    }
    host_index = hash(key) % len(hosts)
    async with (
        httpx.AsyncClient(trust_env=False, timeout=3.0) as client,
        trio.open_nursery() as nursery,
    ):

        async def send(url: str) -> None:
            started_at = trio.current_time()
            status, reason = 0, ""
            try:
                resp = await client.get(url, headers=headers)
                status = resp.status_code
                if status != 200:
                    reason = resp.json().get("type", "")
            except httpx.HTTPError as exc:
                reason = repr(exc)
            probe_log.probes[key].append(Probe(started_at, trio.current_time(), status, reason))

        while True:
            host_index += 1
            nursery.start_soon(send, system.caller_url(hosts[host_index % len(hosts)], "/permit"))
            await trio.sleep(PROBE_INTERVAL_SECONDS)


async def observe(
    system: System,
    keys: list[str],
    hosts: list[str],
    inject_fault: Callable[[], None],
    follow_up: Callable[[], None] | None,
    follow_up_seconds: float | None = None,
) -> ProbeLog:
    """Send requests before, during and after a fault.

    :param follow_up: Updates the platform's host list, or resumes the paused process.
    :param follow_up_seconds: Time from the fault to the follow-up, default
        :data:`HOST_LIST_LAG_SECONDS`.
    """
    probe_log = ProbeLog()
    with trio.move_on_after(SETTLE_SECONDS + OBSERVE_SECONDS):
        async with trio.open_nursery() as nursery:
            for key in keys:
                nursery.start_soon(probe_key, system, hosts, key, probe_log)
                await trio.sleep(PROBE_INTERVAL_SECONDS / len(keys))
            await trio.sleep(SETTLE_SECONDS)
            probe_log.fault_at = trio.current_time()
            inject_fault()
            await trio.sleep(
                HOST_LIST_LAG_SECONDS if follow_up_seconds is None else follow_up_seconds
            )
            if follow_up is not None:
                follow_up()
    return probe_log


def run_scenario(
    scenario: str, platform_down: bool, key_count: int
) -> tuple[list[float], list[float], str]:
    """Run a scenario in a new system.

    :return: Unserved seconds and longest gaps of the affected keys, and a summary of failures.
    """
    net = int(os.environ.get("RADISHSHUNT_TEST_NET", "60"))
    system = System(Deployment(hosts=4, target_counts={"permits": 6}, net=net))
    try:
        system.start_all()
        system.submit_first_note()
        keys = [f"key-{number}" for number in range(key_count)]
        system.wait_until(
            lambda: all(system.request("host-01", key).status_code == 200 for key in keys[:8]),
            "first answers",
        )
        explanations = explain_keys(system, keys)
        chosen = explanations[keys[0]]
        for key in keys:
            if explanations[key]["dispatcher"] != "host-01":
                chosen = explanations[key]
                break
        target, host = chosen["owner"], chosen["dispatcher"]
        affected = [
            key
            for key in keys
            if (scenario in TARGET_SCENARIOS and explanations[key]["owner"] == target)
            or (scenario in HOST_SCENARIOS and explanations[key]["dispatcher"] == host)
        ]
        if scenario == "both":
            affected = [k for k in affected if explanations[k]["group"] == chosen["group"]]
        if platform_down:
            system.set_platform_faults(down=True)

        def remove_from_host_list() -> None:
            entries = [
                {"host": name, "domain": c["host"]["domain"], "address": c["peers"]["advertise"]}
                for name, c in system.hosts.items()
                if name != host
            ]
            system.client.put(system.platform_url("/emulator/hosts"), json={"hosts": entries})

        def inject_fault() -> None:
            if scenario in ("target", "both", "restart"):
                system.kill(target)
            if scenario in ("dispatcher", "both"):
                system.kill(host)
            if scenario == "restart":
                system.restart(target)
            if scenario == "pause-target":
                system.pause(target)
            if scenario == "pause-dispatcher":
                system.pause(host)
            if scenario == "stop":
                system.processes[host].send_signal(signal.SIGTERM)

        def resume() -> None:
            system.resume(target)
            system.resume(host)

        survivors = [
            name for name in system.hosts if name != host or scenario not in HOST_SCENARIOS
        ]
        follow_up = remove_from_host_list if scenario in ("dispatcher", "both") else None
        if scenario.startswith("pause"):
            follow_up = resume
        follow_up_seconds = PAUSE_SECONDS if scenario.startswith("pause") else None
        probe_log = trio.run(
            observe, system, keys, survivors, inject_fault, follow_up, follow_up_seconds
        )
        failed = [
            p
            for key in keys
            for p in probe_log.probes[key]
            if p.status != 200 and p.started_at > probe_log.fault_at - 0.5
        ]
        total = sum(len(probes) for probes in probe_log.probes.values())
        reasons = defaultdict(int)
        for probe in failed:
            reasons[f"{probe.status} {probe.reason}"] += 1
        summary = f"{len(failed)} of {total} requests failed: {dict(reasons)}"
        summary += f", {count_overlaps(system)} keys ran at two targets at once"
        unserved = [probe_log.unserved_seconds(key) for key in affected]
        return unserved, [probe_log.longest_gap_seconds(key) for key in affected], summary
    finally:
        if os.environ.get("RADISHSHUNT_LOGS"):
            for path in system.directory.glob("*.log"):
                with open(os.path.join(os.environ["RADISHSHUNT_LOGS"], path.name), "wb") as copy:
                    copy.write(path.read_bytes())
        system.close()


def count_overlaps(system: System) -> int:
    """Return how many keys ran on two targets at the same time, according to their journals."""
    spans: dict[str, list[tuple[float, float, str]]] = defaultdict(list)
    for name in system.targets:
        running: dict[tuple[int, str], tuple[float, str]] = {}
        if not system.journal(name).exists():
            continue
        for line in system.journal(name).read_text().splitlines():
            doc = json.loads(line)
            execution_id = (doc["incarnation"], doc["request_id"])
            if doc["event"] == "start":
                running[execution_id] = (doc["at"], doc["key"])
            elif execution_id in running:
                started_at, key = running.pop(execution_id)
                spans[key].append((started_at, doc["at"], name))
    overlapping = 0
    for key_spans in spans.values():
        key_spans.sort()
        latest: tuple[float, str] = (0.0, "")
        overlaps = False
        for start, end, name in key_spans:
            overlaps = overlaps or (start < latest[0] and name != latest[1])
            latest = max(latest, (end, name))
        overlapping += overlaps
    return overlapping


def quantile(values: list[float], q: float) -> float:
    """Return a quantile by the nearest rank."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(q * len(ordered)))] if ordered else float("nan")


def main() -> None:
    """Print one line for each scenario, with the platform up and down."""
    parser = argparse.ArgumentParser()
    parser.add_argument("scenarios", nargs="*")
    parser.add_argument("--keys", type=int, default=40)
    parser.add_argument("--repeat", type=int, default=1)
    parser.add_argument("--platform", choices=("up", "down"))
    args = parser.parse_args()
    for scenario in args.scenarios or SCENARIOS:
        for platform in [args.platform] if args.platform else ["up", "down"]:
            unserved: list[float] = []
            gaps: list[float] = []
            summaries = []
            for _ in range(args.repeat):
                run_unserved, run_gaps, summary = run_scenario(
                    scenario, platform == "down", args.keys
                )
                unserved += run_unserved
                gaps += run_gaps
                summaries.append(summary)
            print(
                f"{scenario:10} platform {platform:4} keys {len(unserved):4}"
                f"  next answer p50 {quantile(unserved, 0.5):.3f} s"
                f" p99 {quantile(unserved, 0.99):.3f} s"
                f"  longest gap p50 {quantile(gaps, 0.5):.3f} s p99 {quantile(gaps, 0.99):.3f} s"
                f"  {'; '.join(summaries)}",
                flush=True,
            )


if __name__ == "__main__":
    main()
