"""Memory and processor time of catalogs by number of targets, and of the view of all hosts."""

from __future__ import annotations

import gc
import math
import time
import tracemalloc
from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from radishshunt.clock import TrioClock
from radishshunt.documents import PART_BYTES, pack
from radishshunt.members import Members, State
from radishshunt.model import HostInfo
from radishshunt.peers import PeerNetwork
from radishshunt.release.catalog import Catalog, DomainState, ServiceSpec, TargetSpec
from radishshunt.release.note import ReleaseNote, apply_note
from radishshunt.topology import topology_of
from radishshunt.wire.messages import Member

if TYPE_CHECKING:
    from collections.abc import Callable

SERVICE = "permits"
TARGET_COUNTS = (1_000, 10_000, 100_000)
EXPECTED_DOMAINS = 36


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
            members._store_record(Member(host, i + 1, domain, address, State.ALIVE, 1e9 + i))
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
