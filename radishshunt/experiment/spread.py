"""Spreading of releases, control traffic and platform reads by number of hosts.

Runs the classes of a host over an in-memory network on trio's test clock, so that all times but
the processor time are simulated. ``python -m radishshunt.experiment.spread``
"""

from __future__ import annotations

import argparse
import gc
import json
import logging
import math
import statistics
import time
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

import trio
from trio.testing import MockClock

from radishshunt.clock import TrioClock
from radishshunt.emulator.simulation import Simulation
from radishshunt.experiment.views import (
    EXPECTED_DOMAINS,
    TARGET_COUNTS,
    CatalogPoint,
    measure_catalog,
    measure_members,
)
from radishshunt.model import GroupId, GroupRow, HostRef, SliceAssignment
from radishshunt.platform import Transaction
from radishshunt.platform.transactions import commit
from radishshunt.release.acceptance import submit
from radishshunt.release.note import ReleaseNote
from radishshunt.wire.messages import GroupState

if TYPE_CHECKING:
    from collections import Counter

SERVICE = "permits"
TARGETS = 300
HOST_COUNTS = (10, 100, 1000)
EXPECTED_HOSTS = 15_000
NOTES_PER_DAY = 14_000
ROW_WRITES_PER_SECOND = 5.0
ROW_SECONDS = 10.0
# One host plans moves, and others replace rows of groups that they dispatch.
ROW_WRITERS = 3
DAY_SECONDS = 86_400
STEADY_SECONDS = 10.0
RELEASES = 3

BUDGET_SECONDS = 16.0
BUDGET_BYTES_PER_SECOND = 4_000.0
BUDGET_MEMORY = 128e6
BUDGET_CORE = 0.031
BUDGET_READS = 2_000.0


@dataclass(frozen=True, slots=True)
class SpreadPoint:
    """Figures for one number of hosts.

    :param in_force: Seconds until a note was in force on all hosts, the longest of several.
    :param in_force_without_submitter: The same if the submitter dies once the note is accepted.
    :param release_messages: Messages that a release adds for each host, sent, the largest.
    :param release_bytes: Bytes that a release adds for each host, both directions, the mean.
    :param row_bytes: The same for a changed row, at :data:`ROW_WRITES_PER_SECOND`.
    :param steady_bytes: Bytes a second for each host without changes, both directions, the mean.
    :param steady_bytes_max: The same, for the host with most.
    :param core: Share of a core for each host, with the simulation's own work.
    :param reads: Platform calls a second without changes.
    :param outage_calls: Platform calls a second during an outage.
    """

    hosts: int
    domains: int
    latency_ms: float
    peers: int
    in_force: float
    in_force_without_submitter: float
    release_messages: int
    release_bytes: float
    row_bytes: float
    steady_bytes: float
    steady_bytes_max: float
    core: float
    reads: float
    outage_calls: float


@dataclass(frozen=True, slots=True)
class Line:
    """A figure of the estimate at the expected size."""

    name: str
    value: float
    budget: float
    unit: str

    @property
    def fits(self) -> bool:
        """Whether the figure is within its budget."""
        return self.value <= self.budget


def measure_spread(hosts: int, domains: int, latency_ms: float) -> SpreadPoint:
    """Simulate a number of hosts."""
    run = _SpreadRun(hosts, domains, latency_ms)
    return trio.run(run.measure, clock=MockClock(autojump_threshold=0))


class _SpreadRun:
    def __init__(self, hosts: int, domains: int, latency_ms: float) -> None:
        self._hosts = hosts
        self._domains = domains
        self._latency_ms = latency_ms

    async def measure(self) -> SpreadPoint:
        """Run all phases."""
        self.sim = sim = Simulation(
            self._hosts, self._domains, TrioClock(), self._latency_ms / 1000.0
        )
        sim.settle()
        self._pair_hosts()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(sim.run)
            await trio.sleep(5.0)
            await self._release(_first_note())
            await self._write_rows()
            await trio.sleep(5.0)
            gc.collect()
            calls = sim.table.attempts
            started = time.process_time()
            steady = await self._traffic(STEADY_SECONDS)
            core = (time.process_time() - started) / STEADY_SECONDS / self._hosts
            reads = (sim.table.attempts - calls) / STEADY_SECONDS
            rate = statistics.mean(steady) / STEADY_SECONDS
            in_force, messages, size = await self._releases()
            row_bytes = await self._rows()
            alone = await self._release_without_submitter()
            sim.table.down = True
            await trio.sleep(20.0)
            calls = sim.table.attempts
            await trio.sleep(STEADY_SECONDS)
            outage = (sim.table.attempts - calls) / STEADY_SECONDS
            nursery.cancel_scope.cancel()
        return SpreadPoint(
            hosts=self._hosts,
            domains=self._domains,
            latency_ms=self._latency_ms,
            peers=max(len(h.members.peers) for h in sim.hosts.values()),
            in_force=in_force,
            in_force_without_submitter=alone,
            release_messages=messages,
            release_bytes=size,
            row_bytes=row_bytes,
            steady_bytes=rate,
            steady_bytes_max=max(steady) / STEADY_SECONDS,
            core=core,
            reads=reads,
            outage_calls=outage,
        )

    def _pair_hosts(self) -> None:
        """Let each host dispatch a group whose standby dispatcher is in another domain."""
        hosts = list(self.sim.hosts.values())
        step = 1 + self._hosts // 3
        for number, host in enumerate(hosts):
            standby = hosts[(number + step) % self._hosts]
            host.group_partners.add(standby.me.host)
            standby.group_partners.add(host.me.host)
            host.groups = [GroupState(SERVICE, number, 2, 0.5)]

    async def _write_rows(self) -> None:
        hosts = list(self.sim.hosts.values())
        writer = hosts[0]
        for number, host in enumerate(hosts):
            row = _row(number, 2, host.me.host)
            key = row.group.row_key
            await commit(self.sim.table, Transaction({key: 0}, {key: row.to_json()}))
            writer.sync.apply_row(row)
        with trio.fail_after(60.0):
            while any(len(h.directory.rows) < len(hosts) for h in hosts):
                await trio.sleep(0.1)

    async def _release(self, note: ReleaseNote, submitter: int = 0) -> float:
        host = list(self.sim.hosts.values())[submitter]
        started_at = trio.current_time()
        _, catalog = await submit(self.sim.platform, note, host.directory.catalog)
        host.sync.apply_catalog(catalog, "submitted here", note)
        with trio.fail_after(60.0):
            return await self.sim.wait_for_version(note.version) - started_at

    async def _releases(self) -> tuple[float, int, float]:
        """Return the time in force, and messages and bytes for each release and host."""
        times = []
        traffic = self.sim.fabric.traffic
        sent = {name: _news(item.kinds) for name, item in traffic.items()}
        before = self._news_bytes()
        for number in range(RELEASES):
            times.append(await self._release(_change(number + 1), (number * 7) % self._hosts))
            await trio.sleep(2.0)
        messages = max(_news(item.kinds) - sent[name] for name, item in traffic.items())
        size = (self._news_bytes() - before) / RELEASES / self._hosts
        return max(times), math.ceil(messages / RELEASES), size

    async def _rows(self) -> float:
        """Return the bytes that a changed row adds for each host, while rows change steadily."""
        hosts = list(self.sim.hosts.values())
        before = self._news_bytes()
        count = int(ROW_WRITES_PER_SECOND * ROW_SECONDS)
        for number in range(count):
            writer = hosts[number % min(ROW_WRITERS, len(hosts))]
            group = number % len(hosts)
            row = _row(group, 4 + 2 * (number // len(hosts)), hosts[group].me.host)
            await commit(self.sim.table, Transaction({}, {row.group.row_key: row.to_json()}))
            writer.sync.apply_row(row)
            await trio.sleep(1.0 / ROW_WRITES_PER_SECOND)
        await trio.sleep(3.0)
        size = (self._news_bytes() - before) / count / self._hosts
        digests = {host.directory.rows_digest for host in hosts}
        if len(digests) > 1:
            print(f"rows differ on {len(digests)} groups of hosts 3 s after the last change")
        return size

    async def _release_without_submitter(self) -> float:
        """Accept a note through a host that tells nobody of it."""
        note = _change(RELEASES + 1)
        started_at = trio.current_time()
        await submit(self.sim.platform, note)
        with trio.fail_after(60.0):
            return await self.sim.wait_for_version(note.version) - started_at

    def _news_bytes(self) -> int:
        """Return the bytes of news, each counted where it is sent and where it is received."""
        return 2 * sum(_news(item.kind_bytes) for item in self.sim.fabric.traffic.values())

    async def _traffic(self, seconds: float) -> list[int]:
        fabric = self.sim.fabric
        before = {name: traffic.total() for name, traffic in fabric.traffic.items()}
        await trio.sleep(seconds)
        return [traffic.total() - before[name] for name, traffic in fabric.traffic.items()]


def _news(kinds: Counter[str]) -> int:
    """Return the part of a count by kind of message that no steady system has."""
    return sum(kinds[kind] for kind in ("Announce", "Acknowledge", "Fetch", "Document"))


def _first_note() -> ReleaseNote:
    entry = {"service": SERVICE, "slots": 3}
    targets = {
        _target(i): {**entry, "address": f"10.1.{i >> 8}.{i & 255}:9000", "domain": "ab"[i % 2]}
        for i in range(TARGETS)
    }
    return ReleaseNote.model_validate(
        {
            "predecessor": 0,
            "added": {
                "domains": ["a", "b"],
                "services": {SERVICE: {"keyed": True, "slices": 65536}},
                "targets": targets,
            },
        }
    )


def _change(predecessor: int) -> ReleaseNote:
    changed = {"targets": {_target(0): {"connections": 100 + predecessor}}}
    return ReleaseNote.model_validate({"predecessor": predecessor, "changed": changed})


def _target(number: int) -> str:
    return f"{SERVICE}-{number:05d}"


def _row(number: int, generation: int, dispatcher: str) -> GroupRow:
    slices = {
        s: SliceAssignment(_target(s % 3), _target((s + 1) % 3))
        for s in range(number * 60, number * 60 + 60)
    }
    return GroupRow(
        group=GroupId(SERVICE, number),
        generation=generation,
        dispatcher=HostRef(dispatcher, 1),
        standby_dispatcher=None,
        targets=tuple(_target(i) for i in range(3)),
        slices=slices,
    )


def estimate(
    spreads: list[SpreadPoint], catalogs: list[CatalogPoint], members_bytes: int
) -> list[Line]:
    """Return the figures at the expected size, from the largest simulation and the catalogs."""
    last = max(spreads, key=lambda p: (p.hosts, p.latency_ms))
    # News passes one peer after another; their number grows with the logarithm of the hosts.
    hops = math.log(EXPECTED_HOSTS) / math.log(last.hosts)
    notes = NOTES_PER_DAY / DAY_SECONDS
    traffic = last.steady_bytes + notes * last.release_bytes
    per_target = catalogs[-1].held_bytes / catalogs[-1].targets
    peak_per_target = catalogs[-1].peak_bytes / catalogs[-1].targets
    targets = EXPECTED_HOSTS
    readers = last.reads / last.domains * EXPECTED_DOMAINS
    # A reader fetches what changes: two calls for a second with changes.
    changing = readers * 3
    return [
        Line("note in force", last.in_force * hops, BUDGET_SECONDS, "s"),
        Line(
            "note in force, submitter dead",
            last.in_force_without_submitter * hops,
            BUDGET_SECONDS,
            "s",
        ),
        Line("traffic, steady, with notes", traffic, BUDGET_BYTES_PER_SECOND, "B/s"),
        Line(
            f"traffic, also {ROW_WRITES_PER_SECOND:g} rows/s",
            traffic + ROW_WRITES_PER_SECOND * last.row_bytes,
            BUDGET_BYTES_PER_SECOND,
            "B/s",
        ),
        Line("processor, steady", last.core, BUDGET_CORE, "core"),
        Line(
            "memory, catalog of 15,000 targets and all hosts",
            targets * per_target + members_bytes,
            BUDGET_MEMORY,
            "B",
        ),
        Line(
            "memory, while the catalog is read anew",
            targets * (per_target + peak_per_target) + members_bytes,
            BUDGET_MEMORY,
            "B",
        ),
        Line("platform reads, steady", readers, BUDGET_READS, "/s"),
        Line("platform reads, rows changing", changing, BUDGET_READS, "/s"),
    ]


def main() -> None:
    """Measure and print tables and JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", type=int, nargs="+", default=list(HOST_COUNTS))
    parser.add_argument("--latency-ms", type=float, nargs="+", default=[1.0, 50.0])
    args = parser.parse_args()
    logging.disable(logging.CRITICAL)
    spreads = []
    for latency in args.latency_ms:
        for hosts in args.hosts:
            domains = 4 if hosts <= 16 else min(EXPECTED_DOMAINS, max(6, hosts // 25))
            spreads.append(measure_spread(hosts, domains, latency))
            _print_rows([spreads[-1]], header=len(spreads) == 1)
    catalogs = [measure_catalog(targets) for targets in TARGET_COUNTS]
    print()
    _print_rows(catalogs, header=True)
    members_bytes, topology_ms = measure_members(EXPECTED_HOSTS)
    print(f"\nview of {EXPECTED_HOSTS} hosts: {members_bytes / 1e6:.1f} MB, ", end="")
    print(f"{topology_ms:.0f} ms of processor time for its topology\n")
    lines = estimate(spreads, catalogs, members_bytes)
    for line in lines:
        verdict = "fits" if line.fits else "DOES NOT FIT"
        print(
            f"{line.name:<50} {line.value:>14.4g} of {line.budget:>10.4g} {line.unit:<5} {verdict}"
        )
    doc = {
        "spread": [asdict(point) for point in spreads],
        "catalogs": [asdict(point) for point in catalogs],
        "members_bytes": members_bytes,
        "topology_ms": topology_ms,
        "estimate": [asdict(line) | {"fits": line.fits} for line in lines],
    }
    print(json.dumps(doc))


def _print_rows(points: list[SpreadPoint] | list[CatalogPoint], *, header: bool) -> None:
    names = list(points[0].__slots__)
    widths = [max(9, len(name)) for name in names]
    if header:
        print("  ".join(f"{name:>{width}}" for name, width in zip(names, widths, strict=True)))
    for point in points:
        cells = [
            (
                f"{getattr(point, name):>{width}.4g}"
                if isinstance(getattr(point, name), float)
                else f"{getattr(point, name):>{width}}"
            )
            for name, width in zip(names, widths, strict=True)
        ]
        print("  ".join(cells), flush=True)


if __name__ == "__main__":
    main()
