"""Measures what control costs idle hosts in CPU, memory and traffic, by hosts and targets."""

from __future__ import annotations

import argparse
import os
import time
from pathlib import Path

from radishshunt.model import ip_of
from tests.support.system import Deployment, System

SETTLE_SECONDS = 4.0
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def measure(hosts: int, targets: int, seconds: float) -> None:
    """Print the cost per host of one deployment as a line.

    :param targets: Number of targets of the whole deployment.
    :param seconds: Length of the measurement.
    """
    system = System(Deployment(hosts=hosts, target_counts={"permits": targets}, relayed=True))
    try:
        system.start_all()
        system.submit_first_note()
        time.sleep(SETTLE_SECONDS)
        pids = [system.processes[name].pid for name in system.hosts]
        transferred_before = _transferred_bytes(system)
        cpu_before = sum(map(cpu_seconds, pids))
        started_at = time.monotonic()
        time.sleep(seconds)
        elapsed = time.monotonic() - started_at
        cpu = (sum(map(cpu_seconds, pids)) - cpu_before) / elapsed / hosts
        transferred = _transferred_bytes(system)
        rates = {
            kind: (transferred[kind] - transferred_before[kind]) / elapsed / hosts
            for kind in transferred
        }
        memory = sum(map(resident_bytes, pids)) / hosts
        print(
            f"hosts={hosts} targets={targets} core={cpu:.2%} resident={memory / 1e6:.1f}MB "
            + " ".join(f"{kind}={rate:.0f}B/s" for kind, rate in rates.items()),
            flush=True,
        )
    finally:
        system.close()


def _transferred_bytes(system: System) -> dict[str, int]:
    """Return the bytes on the hosts' connections to other hosts, targets and the platform."""
    sources = {ip_of(cfg["peers"]["address"]) for cfg in system.hosts.values()}
    url = f"http://127.{system.deployment.net}.0.2:7001/links"
    totals = {"peers": 0, "targets": 0, "platform": 0}
    for source, destination, size in system.client.get(url).json()["carried"]:
        if source not in sources:
            continue
        if destination in system.hosts:
            totals["peers"] += size
        elif destination == "platform":
            totals["platform"] += size
        else:
            totals["targets"] += size
    return totals


def main() -> None:
    """Measure deployments with different numbers of hosts and targets."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=8.0)
    options = parser.parse_args()
    for hosts, targets in ((2, 6), (4, 12), (8, 24), (4, 4), (4, 24), (4, 48)):
        measure(hosts, targets, options.seconds)


if __name__ == "__main__":
    main()
