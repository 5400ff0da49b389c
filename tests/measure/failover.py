"""Measures how long keys are unserved after losses, in a system of separate processes.

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
AFTER_SECONDS = 7.0
PERIOD_SECONDS = 0.1
# Time until the platform's host list no longer names a lost host.
LIST_LAG_SECONDS = 1.0
PAUSE_SECONDS = 3.0
OF_TARGET = ("target", "both", "restart", "pause-target")
OF_HOST = ("dispatcher", "both", "stop", "pause-dispatcher")
SCENARIOS = ("target", "dispatcher", "both", "restart", "stop", "pause-target", "pause-dispatcher")
REQUEST_TIMEOUT_SECONDS = 1.0


@dataclass(slots=True)
class Probe:
    """One request of a key.

    :param started_at: Seconds of trio's clock.
    """

    started_at: float
    ended_at: float
    status: int
    reason: str = ""


@dataclass(slots=True)
class Record:
    """All requests of a run, by key."""

    probes: dict[str, list[Probe]] = field(default_factory=lambda: defaultdict(list))
    lost_at: float = 0.0

    def unserved(self, key: str) -> float:
        """Return the seconds from the loss to the next answer, infinite if there was none."""
        later = [
            probe.ended_at
            for probe in self.probes[key]
            if probe.status == 200 and probe.started_at >= self.lost_at
        ]
        return min(later, default=float("inf")) - self.lost_at

    def longest_gap(self, key: str) -> float:
        """Return the longest time between two answers from just before the loss on."""
        at = [p.ended_at for p in self.probes[key] if p.status == 200]
        at = [t for t in at if t > self.lost_at - 1.0]
        ends = [*at[1:], max(p.ended_at for p in self.probes[key])]
        return max((b - a for a, b in zip(at, ends, strict=True)), default=float("inf"))


def place(system: System, keys: list[str]) -> dict[str, dict]:
    """Return who serves each key."""
    return {key: system.explain("host-01", key) for key in keys}


async def probe_key(system: System, hosts: list[str], key: str, record: Record) -> None:
    """Send requests for a key at intervals, each to the next host."""
    headers = {
        "Radishshunt-Service": "permits",
        "Radishshunt-Key": key,
        "Request-Timeout": str(REQUEST_TIMEOUT_SECONDS),
    }
    turn = hash(key) % len(hosts)
    async with httpx.AsyncClient(trust_env=False, timeout=3.0) as client, trio.open_nursery() as n:

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
            record.probes[key].append(Probe(started_at, trio.current_time(), status, reason))

        while True:
            turn += 1
            n.start_soon(send, system.caller_url(hosts[turn % len(hosts)], "/permit"))
            await trio.sleep(PERIOD_SECONDS)


async def observe(
    system: System,
    keys: list[str],
    hosts: list[str],
    lose: Callable[[], None],
    later: Callable[[], None] | None,
    later_seconds: float | None = None,
) -> Record:
    """Send requests while something is lost.

    :param later: Called when the platform's host list has caught up, or what is paused goes on.
    :param later_seconds: Time of that after the loss.
    """
    record = Record()
    with trio.move_on_after(SETTLE_SECONDS + AFTER_SECONDS):
        async with trio.open_nursery() as nursery:
            for key in keys:
                nursery.start_soon(probe_key, system, hosts, key, record)
                await trio.sleep(PERIOD_SECONDS / len(keys))
            await trio.sleep(SETTLE_SECONDS)
            record.lost_at = trio.current_time()
            lose()
            await trio.sleep(LIST_LAG_SECONDS if later_seconds is None else later_seconds)
            if later is not None:
                later()
    return record


def run(scenario: str, platform_down: bool, key_count: int) -> tuple[list[float], list[float], str]:
    """Run a scenario.

    :return: Unserved seconds and longest gaps of the affected keys, and what else to say.
    """
    net = int(os.environ.get("RADISHSHUNT_TEST_NET", "60"))
    system = System(Deployment(hosts=4, workers={"permits": 6}, net=net))
    try:
        system.start_all()
        system.submit_first_note()
        keys = [f"key-{number}" for number in range(key_count)]
        system.wait_until(
            lambda: all(system.request("host-01", key).status_code == 200 for key in keys[:8]),
            "first answers",
        )
        placed = place(system, keys)
        chosen = placed[keys[0]]
        for key in keys:
            if placed[key]["dispatcher"] != "host-01":
                chosen = placed[key]
                break
        target, host = chosen["owner"], chosen["dispatcher"]
        affected = [
            key
            for key in keys
            if (scenario in OF_TARGET and placed[key]["owner"] == target)
            or (scenario in OF_HOST and placed[key]["dispatcher"] == host)
        ]
        if scenario == "both":
            affected = [k for k in affected if placed[k]["group"] == chosen["group"]]
        if platform_down:
            system.set_platform_faults(down=True)

        def delist() -> None:
            entries = [
                {"host": name, "domain": c["host"]["domain"], "address": c["peers"]["advertise"]}
                for name, c in system.hosts.items()
                if name != host
            ]
            system.client.put(system.platform_url("/emulator/hosts"), json={"hosts": entries})

        def lose() -> None:
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

        survivors = [name for name in system.hosts if name != host or scenario not in OF_HOST]
        later = delist if scenario in ("dispatcher", "both") else None
        if scenario.startswith("pause"):
            later = resume
        seconds = PAUSE_SECONDS if scenario.startswith("pause") else None
        record = trio.run(observe, system, keys, survivors, lose, later, seconds)
        failed = [
            p
            for key in keys
            for p in record.probes[key]
            if p.status != 200 and p.started_at > record.lost_at - 0.5
        ]
        total = sum(len(probes) for probes in record.probes.values())
        reasons = defaultdict(int)
        for probe in failed:
            reasons[f"{probe.status} {probe.reason}"] += 1
        note = f"{len(failed)} of {total} requests failed: {dict(reasons)}"
        note += f", {count_overlaps(system)} keys ran at two targets at once"
        unserved = [record.unserved(key) for key in affected]
        return unserved, [record.longest_gap(key) for key in affected], note
    finally:
        if os.environ.get("RADISHSHUNT_LOGS"):
            for path in system.directory.glob("*.log"):
                with open(os.path.join(os.environ["RADISHSHUNT_LOGS"], path.name), "wb") as copy:
                    copy.write(path.read_bytes())
        system.close()


def count_overlaps(system: System) -> int:
    """Return how many keys ran at two targets at the same time, from the targets' journals."""
    spans: dict[str, list[tuple[float, float, str]]] = defaultdict(list)
    for name in system.targets:
        begun: dict[tuple[int, str], tuple[float, str]] = {}
        if not system.journal(name).exists():
            continue
        for line in system.journal(name).read_text().splitlines():
            doc = json.loads(line)
            run_id = (doc["incarnation"], doc["request_id"])
            if doc["event"] == "start":
                begun[run_id] = (doc["at"], doc["key"])
            elif run_id in begun:
                at, key = begun.pop(run_id)
                spans[key].append((at, doc["at"], name))
    overlapping = 0
    for runs in spans.values():
        runs.sort()
        latest: tuple[float, str] = (0.0, "")
        found = False
        for start, end, name in runs:
            found = found or (start < latest[0] and name != latest[1])
            latest = max(latest, (end, name))
        overlapping += found
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
            notes = []
            for _ in range(args.repeat):
                more, more_gaps, note = run(scenario, platform == "down", args.keys)
                unserved += more
                gaps += more_gaps
                notes.append(note)
            print(
                f"{scenario:10} platform {platform:4} keys {len(unserved):4}"
                f"  next answer p50 {quantile(unserved, 0.5):.3f} s"
                f" p99 {quantile(unserved, 0.99):.3f} s"
                f"  longest gap p50 {quantile(gaps, 0.5):.3f} s p99 {quantile(gaps, 0.99):.3f} s"
                f"  {'; '.join(notes)}",
                flush=True,
            )


if __name__ == "__main__":
    main()
