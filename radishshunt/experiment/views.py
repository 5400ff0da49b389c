"""Memory and processor time of catalogs and of the membership list of all hosts."""

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
    """Memory, size and processor time of a catalog with a given number of targets.

    :param held_bytes: Memory that a catalog occupies.
    :param peak_bytes: Peak memory while the catalog is parsed from JSON.
    :param json_bytes: Size of the JSON form.
    :param packed_bytes: Compressed size on the wire.
    :param parts: Number of frames that transfer the catalog.
    :param read_ms: Processor time to parse the JSON form, in milliseconds.
    :param note_ms: Processor time to apply a release note that changes one target, in
        milliseconds.
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
    """Measure a catalog with the given number of targets."""
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
    held, peak = _measure_memory(lambda: Catalog.from_json(data))
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
        read_ms=_min_cpu_ms(lambda: Catalog.from_json(data)),
        note_ms=_min_cpu_ms(lambda: apply_note(catalog, note)),
    )


def measure_members(hosts: int) -> tuple[int, float]:
    """Return the memory in bytes of a host's membership list and topology, and the processor time
    in milliseconds to compute the topology after one more host has joined.
    """
    domains = {f"host-{i:05d}": f"domain-{i % EXPECTED_DOMAINS:02d}" for i in range(hosts)}

    def build() -> object:
        own_host = HostInfo("host-00000", "domain-00", "10.0.0.0:8082", 1)
        network = PeerNetwork(own_host, own_host.address)
        members = Members(own_host, network, TrioClock())
        for i, (host, domain) in enumerate(domains.items()):
            address = f"10.{i >> 16}.{i >> 8 & 255}.{i & 255}:8082"
            members._store_record(Member(host, i + 1, domain, address, State.ALIVE, 1e9 + i))
        return members, network, topology_of(domains)

    held, _ = trio.run(_measure_memory_in_trio, build)
    return held, _min_cpu_ms(lambda: topology_of({**domains, f"new-{time.perf_counter_ns()}": "d"}))


async def _measure_memory_in_trio(build: Callable[[], object]) -> tuple[int, int]:
    return _measure_memory(build)


def _measure_memory(build: Callable[[], object]) -> tuple[int, int]:
    """Return the memory of a built object and the peak while it was built, both in bytes."""
    gc.collect()
    tracemalloc.start()
    built = build()
    held, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return held, peak


def _min_cpu_ms(operation: Callable[[], object]) -> float:
    best = math.inf
    for _ in range(3):
        started = time.process_time()
        operation()
        best = min(best, time.process_time() - started)
    return best * 1000
