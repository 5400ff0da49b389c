"""Slopes for docs/CAPACITY.md: the cost of one more slice, group, peer or request."""

from __future__ import annotations

import gc
import json
import time
import tracemalloc
from dataclasses import asdict, dataclass, replace
from typing import TYPE_CHECKING

import numpy as np

from radishshunt.directory import Directory
from radishshunt.hashing import slice_of
from radishshunt.metrics import LatencyHistogram
from radishshunt.model import GroupId, GroupRow, HostInfo, HostRef, SliceAssignment
from radishshunt.ownership import Fence, Grant, GroupOwnership
from radishshunt.planner import PlanningView, plan_group, plan_new_groups
from radishshunt.release.catalog import Catalog, DomainState, ServiceSpec, TargetSpec
from radishshunt.wire.codec import decode, encode
from radishshunt.wire.messages import GroupState, Heartbeat, Intent, Intents, RequestHead

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

# The fastest repetition counts, because other processes share the machine.
REPEATS = 5
TARGETS_PER_GROUP = 3
GRANT_SECONDS = 1.2


@dataclass(frozen=True, slots=True)
class Point:
    """A measurement at one size.

    :param cpu_us: Processor time of one operation in microseconds.
    :param size_bytes: Memory held, or length on the wire, in bytes.
    """

    size: int
    cpu_us: float
    size_bytes: float


@dataclass(frozen=True, slots=True)
class Slope:
    """Measurements along one axis with their least-squares slopes.

    :param axis: Unit that the sizes of the points count.
    :param cpu_us_per_unit: Microseconds for each further unit of the axis.
    :param bytes_per_unit: Bytes for each further unit of the axis.
    """

    name: str
    axis: str
    points: list[Point]
    cpu_us_per_unit: float
    bytes_per_unit: float


def fit_slope(name: str, axis: str, points: list[Point]) -> Slope:
    """Fit straight lines to measurements at three or more sizes."""
    sizes = [point.size for point in points]
    cpu = np.polyfit(sizes, [point.cpu_us for point in points], 1)[0]
    memory = np.polyfit(sizes, [point.size_bytes for point in points], 1)[0]
    return Slope(name, axis, points, float(cpu), float(memory))


def min_cpu_us(operation: Callable[[], object], count: int) -> float:
    """Return the processor time of one call in microseconds, from the fastest repetition.

    :param count: Number of calls in each repetition.
    """
    best = float("inf")
    for _ in range(REPEATS):
        started_at = time.process_time()
        for _ in range(count):
            operation()
        best = min(best, time.process_time() - started_at)
    return best / count * 1e6


def measure_held_bytes(build: Callable[[], object]) -> tuple[int, object]:
    """Return the memory in bytes that a built object occupies, and the object."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    result = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return size, result


def make_row(index: int, slices: range) -> GroupRow:
    """Return the row of a group of three targets."""
    names = tuple(f"target-{index * TARGETS_PER_GROUP + i:06d}" for i in range(TARGETS_PER_GROUP))
    return GroupRow(
        group=GroupId("permits", index),
        generation=2,
        dispatcher=HostRef(f"host-{index % 1000:05d}", 1),
        standby_dispatcher=HostRef(f"host-{(index + 1) % 1000:05d}", 1),
        targets=names,
        slices={s: SliceAssignment(names[s % 3], names[(s + 1) % 3]) for s in slices},
        version=1,
    )


def make_catalog(groups: int, slices: int) -> Catalog:
    """Return a catalog with one keyed service and three targets per group."""
    domains = {f"domain-{i:02d}": DomainState.IN for i in range(36)}
    names = [f"target-{i:06d}" for i in range(groups * TARGETS_PER_GROUP)]
    return Catalog(
        version=1,
        digest="0" * 64,
        domains=domains,
        services={"permits": ServiceSpec("permits", keyed=True, slices=slices)},
        targets={
            name: TargetSpec(
                name, "permits", f"10.0.0.1:{9000 + i % 50000}", f"domain-{i % 36:02d}"
            )
            for i, name in enumerate(names)
        },
    )


def measure_directory() -> Slope:
    """Measure the entry role: memory of the map from slices to dispatchers, and one lookup."""
    points = []
    for slices in (10_000, 100_000, 1_000_000):
        groups = slices // 200
        catalog = make_catalog(1, slices)

        def build(slices: int = slices, groups: int = groups, catalog: Catalog = catalog) -> object:
            directory = Directory()
            directory.update_catalog(catalog)
            for index in range(groups):
                directory.update_row(make_row(index, range(index * 200, index * 200 + 200)))
            directory.locate("permits", "key")
            return directory

        size, directory = measure_held_bytes(build)
        keys = iter(range(10**9))
        points.append(
            Point(
                slices,
                min_cpu_us(
                    lambda d=directory, keys=keys: d.locate("permits", str(next(keys))), 2000
                ),
                size,
            )
        )
    return fit_slope("entry: directory", "slices", points)


def measure_row_document() -> Slope:
    """Measure a row in its stored form: serialising, parsing and length."""
    points = []
    for slices in (10, 100, 1000):
        row = make_row(0, range(slices))
        data = row.to_json()
        cost = min_cpu_us(
            lambda row=row, data=data: (row.to_json(), GroupRow.from_json(data, 1)), 20
        )
        points.append(Point(slices, cost, len(data)))
    return fit_slope("assignment table: row document", "slices in the group", points)


def measure_ownership() -> Slope:
    """Measure the dispatcher role: one round of grant renewals for a group's three targets."""
    points = []
    for slices in (10, 100, 1000):

        def build(slices: int = slices) -> GroupOwnership:
            ownership = GroupOwnership(make_row(0, range(slices)), 2, GRANT_SECONDS)
            # The first round fences and a later one grants; 0.5 s between rounds is enough.
            for round_number in range(6):
                now = 100.0 + round_number / 2
                for command in ownership.commands(now):
                    if isinstance(command, Fence):
                        ownership.on_fenced(command, 7, frozenset(), {}, now)
                    else:
                        ownership.on_granted(command, now)
            return ownership

        size, ownership = measure_held_bytes(build)
        now = iter(range(1000, 10**9))

        def renew(ownership: GroupOwnership = ownership, now: Iterator[int] = now) -> None:
            at = float(next(now))
            for command in ownership.commands(at):
                if isinstance(command, Grant):
                    ownership.on_granted(command, at)

        points.append(Point(slices, min_cpu_us(renew, 50), size))
    return fit_slope("dispatcher: renewal round of a group", "slices in the group", points)


def measure_heartbeat() -> Slope:
    """Measure a heartbeat and its answer, as one encoding and one decoding, and its length."""
    points = []
    for groups in (1, 10, 100):
        states = [GroupState("permits", index, 4, 0.5) for index in range(groups)]
        heartbeat = Heartbeat("host-00001", 1, "domain-01", "10.0.0.1:8082", 7, states)
        data = encode(1, heartbeat)
        cost = min_cpu_us(lambda heartbeat=heartbeat: decode(encode(1, heartbeat)[4:]), 200)
        points.append(Point(groups, cost, len(data)))
    return fit_slope("membership: heartbeat", "groups dispatched", points)


def measure_request_head() -> Slope:
    """Measure the hop between hosts: the head of a forwarded request."""
    points = []
    for headers in (1, 10, 100):
        pairs = [(f"x-header-{i}", "value of a header") for i in range(headers)]
        head = RequestHead("0" * 32, "permits", "key", "POST", "/permit", pairs, 1.0, "0" * 36, 1)
        data = encode(1, head)
        cost = min_cpu_us(lambda head=head: decode(encode(1, head)[4:]), 200)
        points.append(Point(headers, cost, len(data)))
    return fit_slope("entry: forwarded head", "headers", points)


def measure_intents() -> Slope:
    """Measure the intent role: encoding, decoding and length of a batch of records."""
    points = []
    for records in (1, 10, 100):
        batch = Intents(
            "permits",
            1,
            4,
            7,
            3,
            False,
            [Intent("permits", 1, 4, f"{i:036d}", i, 1.0, "sent") for i in range(records)],
        )
        data = encode(1, batch)
        cost = min_cpu_us(lambda batch=batch: decode(encode(1, batch)[4:]), 50)
        points.append(Point(records, cost, len(data)))
    return fit_slope("intents: batch", "records", points)


def measure_planner() -> Slope:
    """Measure one planning pass of a group's dispatcher that changes nothing."""
    points = []
    for groups in (10, 100, 1000):
        catalog = make_catalog(groups, groups * 20)
        hosts = [HostInfo(f"host-{i:05d}", f"domain-{i % 36:02d}", "", 1) for i in range(1000)]
        rows = {row.group: row for row in plan_new_groups(PlanningView(catalog, hosts, {}))}
        view = PlanningView(catalog, hosts, rows)
        group = next(iter(rows))
        cost = min_cpu_us(lambda view=view, group=group: plan_group(view, group), 5)
        points.append(Point(groups, cost, len(rows)))
    return fit_slope("planner: pass without changes", "groups", points)


def measure_metrics() -> Slope:
    """Measure latency histograms: recording a value, and memory."""
    points = []
    for services in (1, 4, 16):
        size, histograms = measure_held_bytes(
            lambda n=services: [LatencyHistogram() for _ in range(n)]
        )
        cost = min_cpu_us(lambda h=histograms: h[0].record(0.003), 5000)
        points.append(Point(services, cost, size))
    return fit_slope("metrics: histograms", "histograms", points)


def measure_hashing() -> Slope:
    """Measure the hash of a key to its slice."""
    points = [
        Point(size, min_cpu_us(lambda key="k" * size: slice_of(key, 1024), 5000), size)
        for size in (10, 100, 1000)
    ]
    return fit_slope("entry: key hash", "bytes of the key", points)


MEASUREMENTS: tuple[Callable[[], Slope], ...] = (
    measure_hashing,
    measure_directory,
    measure_request_head,
    measure_heartbeat,
    measure_ownership,
    measure_row_document,
    measure_intents,
    measure_planner,
    measure_metrics,
)


def main() -> None:
    """Print all slopes as a table and as JSON."""
    slopes = [measure() for measure in MEASUREMENTS]
    for slope in slopes:
        print(f"{slope.name} (by {slope.axis})")
        for point in slope.points:
            print(f"  {point.size:>9}  {point.cpu_us:>12.2f} us  {point.size_bytes:>14.0f} bytes")
        print(
            f"  slope      {slope.cpu_us_per_unit:>12.6f} us  {slope.bytes_per_unit:>14.2f} bytes"
        )
    print(json.dumps([asdict(replace(slope)) for slope in slopes]))


if __name__ == "__main__":
    main()
