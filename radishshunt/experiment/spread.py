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
import tracemalloc
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

import trio
from trio.testing import MockClock

from radishshunt.clock import TrioClock
from radishshunt.documents import PART_BYTES, pack
from radishshunt.emulator.simulation import Simulation
from radishshunt.members import Members, State
from radishshunt.model import GroupId, GroupRow, HostInfo, HostRef, SliceAssignment
from radishshunt.peers import PeerNetwork
from radishshunt.platform import Transaction
from radishshunt.platform.transactions import commit
from radishshunt.release.acceptance import submit
from radishshunt.release.catalog import Catalog, DomainState, ServiceSpec, TargetSpec
from radishshunt.release.note import ReleaseNote, apply_note
from radishshunt.topology import topology_of
from radishshunt.wire.messages import GroupState, Member

if TYPE_CHECKING:
    from collections.abc import Callable

SERVICE = "permits"
TARGETS = 300
HOST_COUNTS = (10, 100, 1000)
TARGET_COUNTS = (1_000, 10_000, 100_000)
EXPECTED_HOSTS = 15_000
EXPECTED_DOMAINS = 36
NOTES_PER_DAY = 14_000
ROW_WRITES_PER_SECOND = 5.0
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
    :param row_bytes: The same for a changed row.
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
class CatalogPoint:
    """Figures for one number of targets.

    :param held_bytes: Memory that a catalog holds.
    :param peak_bytes: Largest memory in use while it is read from its JSON form.
    :param packed_bytes: Size on the wire.
    :param parts: Frames that carry it.
    :param read_ms: Processor time to read the JSON form, in milliseconds.
    :param note_ms: Processor time to apply a note that changes one target.
    """

    targets: int
    held_bytes: int
    peak_bytes: int
    json_bytes: int
    packed_bytes: int
    parts: int
    read_ms: float
    note_ms: float


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
            in_force, messages, size = await self._releases(rate)
            row_bytes = await self._row(rate)
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
            host.pairs.add(standby.me.host)
            standby.pairs.add(host.me.host)
            host.groups = [GroupState(SERVICE, number, 2, 0.5)]

    async def _write_rows(self) -> None:
        hosts = list(self.sim.hosts.values())
        writer = hosts[0]
        for number, host in enumerate(hosts):
            row = _row(number, 2, host.me.host)
            key = row.group.row_key
            await commit(self.sim.table, Transaction({key: 0}, {key: row.to_json()}))
            writer.sync.take_row(row)
        with trio.fail_after(60.0):
            while any(len(h.directory.rows) < len(hosts) for h in hosts):
                await trio.sleep(0.1)

    async def _release(self, note: ReleaseNote, submitter: int = 0) -> float:
        host = list(self.sim.hosts.values())[submitter]
        started_at = trio.current_time()
        _, catalog = await submit(self.sim.platform, note, host.directory.catalog)
        host.sync.take_catalog(catalog, "submitted here", note)
        with trio.fail_after(60.0):
            return await self.sim.wait_for_version(note.version) - started_at

    async def _releases(self, rate: float) -> tuple[float, int, float]:
        """Return the time in force, and messages and bytes for each release and host."""
        times = []
        fabric = self.sim.fabric
        sent = {name: _release_messages(fabric.traffic[name].kinds) for name in fabric.traffic}
        before = self._total()
        started_at = trio.current_time()
        for number in range(RELEASES):
            times.append(await self._release(_change(number + 1), (number * 7) % self._hosts))
            await trio.sleep(2.0)
        extra = self._total() - before - rate * self._hosts * (trio.current_time() - started_at)
        messages = max(
            _release_messages(traffic.kinds) - sent[name]
            for name, traffic in fabric.traffic.items()
        )
        return max(times), math.ceil(messages / RELEASES), extra / RELEASES / self._hosts

    async def _row(self, rate: float) -> float:
        """Return the bytes that a changed row adds for each host."""
        hosts = list(self.sim.hosts.values())
        before = self._total()
        started_at = trio.current_time()
        for number in range(RELEASES):
            row = _row(number, 4, hosts[number].me.host)
            key = row.group.row_key
            await commit(self.sim.table, Transaction({}, {key: row.to_json()}))
            hosts[0].sync.take_row(row)
            await trio.sleep(3.0)
        extra = self._total() - before - rate * self._hosts * (trio.current_time() - started_at)
        return extra / RELEASES / self._hosts

    async def _release_without_submitter(self) -> float:
        """Accept a note through a host that tells nobody of it."""
        note = _change(RELEASES + 1)
        started_at = trio.current_time()
        await submit(self.sim.platform, note)
        with trio.fail_after(60.0):
            return await self.sim.wait_for_version(note.version) - started_at

    def _total(self) -> int:
        return sum(traffic.total() for traffic in self.sim.fabric.traffic.values())

    async def _traffic(self, seconds: float) -> list[int]:
        fabric = self.sim.fabric
        before = {name: traffic.total() for name, traffic in fabric.traffic.items()}
        await trio.sleep(seconds)
        return [traffic.total() - before[name] for name, traffic in fabric.traffic.items()]


def _release_messages(kinds: dict[str, int]) -> int:
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


def measure_catalog(targets: int) -> CatalogPoint:
    """Measure a catalog of a number of targets."""
    catalog = Catalog(
        1,
        "0" * 64,
        {f"domain-{i:02d}": DomainState.IN for i in range(EXPECTED_DOMAINS)},
        {SERVICE: ServiceSpec(SERVICE, keyed=True)},
        {
            f"{SERVICE}-{i:06d}": TargetSpec(
                f"{SERVICE}-{i:06d}",
                SERVICE,
                f"10.{i >> 16}.{i >> 8 & 255}.{i & 255}:9000",
                f"domain-{i % EXPECTED_DOMAINS:02d}",
            )
            for i in range(targets)
        },
    )
    data = catalog.to_json()
    packed = pack(data)
    held, peak = _memory(lambda: Catalog.from_json(data))
    note = ReleaseNote.model_validate(
        {"predecessor": 1, "changed": {"targets": {f"{SERVICE}-{0:06d}": {"slots": 4}}}}
    )
    return CatalogPoint(
        targets=targets,
        held_bytes=held,
        peak_bytes=peak,
        json_bytes=len(data),
        packed_bytes=len(packed),
        parts=math.ceil(len(packed) / PART_BYTES),
        read_ms=_cpu_ms(lambda: Catalog.from_json(data)),
        note_ms=_cpu_ms(lambda: apply_note(catalog, note)),
    )


def measure_members(hosts: int) -> tuple[int, float]:
    """Return memory and milliseconds of processor time for the view of a number of hosts."""
    domains = {f"host-{i:05d}": f"domain-{i % EXPECTED_DOMAINS:02d}" for i in range(hosts)}

    def build() -> object:
        me = HostInfo("host-00000", "domain-00", "10.0.0.0:8082", 1)
        network = PeerNetwork(me, me.address)
        members = Members(me, network, TrioClock())
        for i, (host, domain) in enumerate(domains.items()):
            address = f"10.{i >> 16}.{i >> 8 & 255}.{i & 255}:8082"
            members._accept(Member(host, i + 1, domain, address, State.ALIVE, 1e9 + i))
        return members, network, topology_of(domains)

    held, _ = trio.run(_in_trio, build)
    return held, _cpu_ms(lambda: topology_of({**domains, f"new-{time.perf_counter_ns()}": "d"}))


async def _in_trio(build: Callable[[], object]) -> tuple[int, int]:
    return _memory(build)


def _memory(build: Callable[[], object]) -> tuple[int, int]:
    """Return the memory that an object holds, and the largest while it is built."""
    gc.collect()
    tracemalloc.start()
    built = build()
    held, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return held, peak


def _cpu_ms(operation: Callable[[], object]) -> float:
    best = math.inf
    for _ in range(3):
        started = time.process_time()
        operation()
        best = min(best, time.process_time() - started)
    return best * 1000


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
