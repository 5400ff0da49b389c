"""Propagation of releases, control traffic and platform reads by number of hosts.

Runs the classes of a host over an in-memory network on trio's mock clock, so that all times except
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
# One host plans moves, and the others replace the rows of groups that they dispatch.
ROW_WRITERS = 3
DAY_SECONDS = 86_400
STEADY_SECONDS = 10.0
RELEASES = 3

BUDGET_IN_FORCE_SECONDS = 16.0
BUDGET_BYTES_PER_SECOND = 4_000.0
BUDGET_MEMORY_BYTES = 128e6
BUDGET_CORE_SHARE = 0.031
BUDGET_READS_PER_SECOND = 2_000.0


@dataclass(frozen=True, slots=True)
class SpreadPoint:
    """Figures for one number of hosts.

    :param in_force: Seconds until a release note was in force on all hosts, the longest of
        :data:`RELEASES`.
    :param in_force_without_submitter: The same if the submitting host fails as soon as the note is
        accepted.
    :param release_messages: Additional messages that a host sends for a release, largest of all
        hosts.
    :param release_bytes: Additional bytes per host for a release, both directions, mean of all
        hosts.
    :param row_bytes: The same for a changed row, with changes at :data:`ROW_WRITES_PER_SECOND`.
    :param steady_bytes: Bytes per second and host without changes, both directions, mean of all
        hosts.
    :param steady_bytes_max: The same, largest of all hosts.
    :param core: Share of a core per host, including the overhead of the simulation.
    :param reads: Platform calls per second without changes.
    :param outage_calls: Platform calls per second during an outage of the platform.
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
    """A figure of the estimate at the expected size, and its budget."""

    name: str
    value: float
    budget: float
    unit: str

    @property
    def fits(self) -> bool:
        """Whether the figure is within its budget."""
        return self.value <= self.budget


def measure_spread(hosts: int, domains: int, latency_ms: float) -> SpreadPoint:
    """Simulate a system of hosts and return its figures."""
    run = _SpreadRun(hosts, domains, latency_ms)
    return trio.run(run.measure, clock=MockClock(autojump_threshold=0))


class _SpreadRun:
    def __init__(self, hosts: int, domains: int, latency_ms: float) -> None:
        self._hosts = hosts
        self._domains = domains
        self._latency_ms = latency_ms

    async def measure(self) -> SpreadPoint:
        """Run all phases of the measurement."""
        self.sim = sim = Simulation(
            self._hosts, self._domains, TrioClock(), self._latency_ms / 1000.0
        )
        sim.mark_all_alive()
        self._assign_groups()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(sim.run)
            await trio.sleep(5.0)
            await self._submit_release(_initial_note())
            await self._write_rows()
            await trio.sleep(5.0)
            gc.collect()
            calls = sim.table.attempts
            started = time.process_time()
            steady = await self._measure_traffic(STEADY_SECONDS)
            core = (time.process_time() - started) / STEADY_SECONDS / self._hosts
            reads = (sim.table.attempts - calls) / STEADY_SECONDS
            rate = statistics.mean(steady) / STEADY_SECONDS
            in_force, messages, size = await self._measure_releases()
            row_bytes = await self._measure_row_updates()
            in_force_without_submitter = await self._measure_release_without_submitter()
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
            in_force_without_submitter=in_force_without_submitter,
            release_messages=messages,
            release_bytes=size,
            row_bytes=row_bytes,
            steady_bytes=rate,
            steady_bytes_max=max(steady) / STEADY_SECONDS,
            core=core,
            reads=reads,
            outage_calls=outage,
        )

    def _assign_groups(self) -> None:
        """Assign a group to each host, with its standby dispatcher in another domain."""
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

    async def _submit_release(self, note: ReleaseNote, submitter: int = 0) -> float:
        host = list(self.sim.hosts.values())[submitter]
        started_at = trio.current_time()
        _, catalog = await submit(self.sim.platform, note, host.directory.catalog)
        host.sync.apply_catalog(catalog, "submitted here", note)
        with trio.fail_after(60.0):
            return await self.sim.wait_for_version(note.version) - started_at

    async def _measure_releases(self) -> tuple[float, int, float]:
        """Return the longest time until a release is in force, and messages and bytes per release
        and host.
        """
        times = []
        traffic = self.sim.fabric.traffic
        sent = {name: _update_traffic(item.messages_by_kind) for name, item in traffic.items()}
        before = self._update_bytes()
        for number in range(RELEASES):
            times.append(
                await self._submit_release(_change_note(number + 1), (number * 7) % self._hosts)
            )
            await trio.sleep(2.0)
        messages = max(
            _update_traffic(item.messages_by_kind) - sent[name] for name, item in traffic.items()
        )
        size = (self._update_bytes() - before) / RELEASES / self._hosts
        return max(times), math.ceil(messages / RELEASES), size

    async def _measure_row_updates(self) -> float:
        """Return the additional bytes per host for a changed row, while rows change steadily."""
        hosts = list(self.sim.hosts.values())
        before = self._update_bytes()
        count = int(ROW_WRITES_PER_SECOND * ROW_SECONDS)
        for number in range(count):
            writer = hosts[number % min(ROW_WRITERS, len(hosts))]
            group = number % len(hosts)
            row = _row(group, 4 + 2 * (number // len(hosts)), hosts[group].me.host)
            await commit(self.sim.table, Transaction({}, {row.group.row_key: row.to_json()}))
            writer.sync.apply_row(row)
            await trio.sleep(1.0 / ROW_WRITES_PER_SECOND)
        await trio.sleep(3.0)
        size = (self._update_bytes() - before) / count / self._hosts
        digests = {host.directory.rows_digest for host in hosts}
        if len(digests) > 1:
            print(f"hosts have {len(digests)} different sets of rows 3 s after the last change")
        return size

    async def _measure_release_without_submitter(self) -> float:
        """Return the time until a note is in force whose submitter does not announce it."""
        note = _change_note(RELEASES + 1)
        started_at = trio.current_time()
        await submit(self.sim.platform, note)
        with trio.fail_after(60.0):
            return await self.sim.wait_for_version(note.version) - started_at

    def _update_bytes(self) -> int:
        """Return the bytes of updates, counted once at the sender and once at the receiver."""
        return 2 * sum(
            _update_traffic(item.bytes_by_kind) for item in self.sim.fabric.traffic.values()
        )

    async def _measure_traffic(self, seconds: float) -> list[int]:
        fabric = self.sim.fabric
        before = {name: traffic.total_bytes() for name, traffic in fabric.traffic.items()}
        await trio.sleep(seconds)
        return [traffic.total_bytes() - before[name] for name, traffic in fabric.traffic.items()]


def _update_traffic(by_kind: Counter[str]) -> int:
    """Return the count of messages, or bytes, of the kinds that occur only after changes.

    :param by_kind: Messages or bytes by kind of message.
    """
    return sum(by_kind[kind] for kind in ("Announce", "Acknowledge", "Fetch", "Document"))


def _initial_note() -> ReleaseNote:
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


def _change_note(predecessor: int) -> ReleaseNote:
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
    # Updates pass from peer to peer; the number of hops grows with the logarithm of the hosts.
    hops = math.log(EXPECTED_HOSTS) / math.log(last.hosts)
    notes = NOTES_PER_DAY / DAY_SECONDS
    traffic = last.steady_bytes + notes * last.release_bytes
    per_target = catalogs[-1].held_bytes / catalogs[-1].targets
    peak_per_target = catalogs[-1].peak_bytes / catalogs[-1].targets
    targets = EXPECTED_HOSTS
    steady_reads = last.reads / last.domains * EXPECTED_DOMAINS
    # A reader makes two more calls in each second with changes, to fetch the changed rows.
    reads_with_changes = steady_reads * 3
    return [
        Line("note in force", last.in_force * hops, BUDGET_IN_FORCE_SECONDS, "s"),
        Line(
            "note in force, submitter dead",
            last.in_force_without_submitter * hops,
            BUDGET_IN_FORCE_SECONDS,
            "s",
        ),
        Line("traffic, steady, with notes", traffic, BUDGET_BYTES_PER_SECOND, "B/s"),
        Line(
            f"traffic, also {ROW_WRITES_PER_SECOND:g} rows/s",
            traffic + ROW_WRITES_PER_SECOND * last.row_bytes,
            BUDGET_BYTES_PER_SECOND,
            "B/s",
        ),
        Line("processor, steady", last.core, BUDGET_CORE_SHARE, "core"),
        Line(
            "memory, catalog of 15,000 targets and all hosts",
            targets * per_target + members_bytes,
            BUDGET_MEMORY_BYTES,
            "B",
        ),
        Line(
            "memory, while the catalog is read anew",
            targets * (per_target + peak_per_target) + members_bytes,
            BUDGET_MEMORY_BYTES,
            "B",
        ),
        Line("platform reads, steady", steady_reads, BUDGET_READS_PER_SECOND, "/s"),
        Line("platform reads, rows changing", reads_with_changes, BUDGET_READS_PER_SECOND, "/s"),
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
