"""Estimate of each role at the expected size, from measured slopes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from radishshunt.experiment.capacity import MEASUREMENTS

if TYPE_CHECKING:
    from radishshunt.experiment.capacity import Slope

DAY_SECONDS = 86_400

# The size expected in two years. Every node is taken as an entry host that dispatches one group
# of three targets, the reading that loads the control paths most.
NODES = 15_000
TARGETS_PER_NODE = 3
REGIONS = 10
DOMAINS = 36
REQUESTS_PER_SECOND = 35_000_000
HOT_KEYS = 1_400
HOT_KEY_CHANGE_SECONDS = 300
CATALOG_CHANGES_PER_DAY = 14_000
RESTARTS_PER_DAY = 1_100
SLICES_PER_GROUP = 200
# Share of requests that are not idempotent, as in the demonstration's load.
FEE_SHARE = 0.2
INTENT_RETENTION_SECONDS = 600

CORE_BUDGET = 0.031
MEMORY_BUDGET_BYTES = 128e6
CONTROL_BUDGET_BYTES_PER_SECOND = 4_000

# Steady traffic of membership and catalogs on one host in a system of 1,000, both directions, and
# the share of a core it takes, as radishshunt.experiment.spread measured them.
MEMBERSHIP_BYTES_PER_SECOND = 2_887.0
MEMBERSHIP_MESSAGES_PER_SECOND = 36.0
MEMBERSHIP_CORE = 0.0037
PLATFORM_READS_PER_SECOND = 2 * DOMAINS * 1.1
CATALOG_ENTRY_BYTES = 470.0
# One renewal with its answer over HTTP, and its processor time at the host, from the differences
# between rows of tests.soak.control_cost with 4 hosts and 4, 24 and 48 targets.
RENEWALS_PER_SECOND = 1 / 0.3
RENEWAL_BYTES = 500.0
RENEWAL_CPU_US = 1_050.0
ROW_NEWS_BYTES = 600.0


@dataclass(frozen=True, slots=True)
class Estimate:
    """What one role costs on one node at the expected size.

    :param messages: Messages a second, sent and received.
    :param size_per_second: Bytes a second, sent and received.
    :param core: Share of a core.
    :param state: Memory in bytes.
    :param reads: Platform reads a second, of the whole system.
    :param writes: Platform writes a second, of the whole system.
    """

    role: str
    state: float
    messages: float
    size_per_second: float
    core: float
    reads: float = 0.0
    writes: float = 0.0


def at(item: Slope, size: float) -> tuple[float, float]:
    """Return microseconds and bytes at a size, on the line through the last measured point."""
    last = item.points[-1]
    step = size - last.size
    return last.cpu_us + item.cpu_us_per_unit * step, (last.size_bytes + item.bytes_per_unit * step)


def estimates(slopes: dict[str, Slope]) -> list[Estimate]:
    """Return the estimate of each role.

    :param slopes: Measured slopes by name.
    """
    rate = REQUESTS_PER_SECOND / NODES
    return [
        _entry(slopes, rate),
        _dispatcher(slopes),
        _membership(),
        _assignment_table(slopes),
        _intents(slopes, rate),
        _metrics(slopes),
    ]


def _entry(slopes: dict[str, Slope], rate: float) -> Estimate:
    slices = NODES * SLICES_PER_GROUP
    lookup_us, state = at(slopes["entry: directory"], slices)
    head_us, head_bytes = at(slopes["entry: forwarded head"], 10)
    hash_us, _ = at(slopes["entry: key hash"], 20)
    # Each request is hashed and looked up once; its head is encoded here or decoded there.
    core = rate * (lookup_us + hash_us + head_us) / 1e6
    return Estimate("entry (data path)", state, rate * 2, rate * head_bytes, core)


def _dispatcher(slopes: dict[str, Slope]) -> Estimate:
    round_us, state = at(slopes["dispatcher: renewal round of a group"], SLICES_PER_GROUP)
    rounds = RENEWALS_PER_SECOND
    renewals = rounds * TARGETS_PER_NODE
    core = (rounds * round_us + renewals * RENEWAL_CPU_US) / 1e6
    return Estimate("dispatcher (grants)", state, renewals * 2, renewals * RENEWAL_BYTES, core)


def _membership() -> Estimate:
    state = NODES * TARGETS_PER_NODE * CATALOG_ENTRY_BYTES
    return Estimate(
        "membership, host list, notes",
        state,
        MEMBERSHIP_MESSAGES_PER_SECOND,
        MEMBERSHIP_BYTES_PER_SECOND,
        MEMBERSHIP_CORE,
        reads=PLATFORM_READS_PER_SECOND,
        writes=CATALOG_CHANGES_PER_DAY * 2 / DAY_SECONDS,
    )


def _assignment_table(slopes: dict[str, Slope]) -> Estimate:
    row_us, row_bytes = at(slopes["assignment table: row document"], SLICES_PER_GROUP)
    heat = HOT_KEYS / HOT_KEY_CHANGE_SECONDS
    restarts = RESTARTS_PER_DAY * 2 / DAY_SECONDS
    writes = heat + restarts
    return Estimate(
        "assignment table",
        row_bytes * 2,
        writes,
        writes * ROW_NEWS_BYTES,
        writes / NODES * row_us / 1e6,
        writes=writes,
    )


def _intents(slopes: dict[str, Slope], rate: float) -> Estimate:
    batch_us, batch_bytes = at(slopes["intents: batch"], 10)
    fees = rate * FEE_SHARE
    state = fees * INTENT_RETENTION_SECONDS * 2 * batch_bytes / 10
    return Estimate(
        "intents (data path)",
        state,
        fees / 10 * 2,
        fees * 2 * batch_bytes / 10,
        fees / 10 * 2 * batch_us / 1e6,
    )


def _metrics(slopes: dict[str, Slope]) -> Estimate:
    record_us, _ = at(slopes["metrics: histograms"], 1)
    per_histogram = slopes["metrics: histograms"].bytes_per_unit
    rate = REQUESTS_PER_SECOND / NODES
    return Estimate("metrics", per_histogram * 8, 0.0, 0.0, rate * record_us / 1e6)


def main() -> None:
    """Print the estimates as a Markdown table."""
    slopes = {item.name: item for item in (measure() for measure in MEASUREMENTS)}
    print("| role | state MB | messages/s | KB/s | % of a core | reads/s | writes/s |")
    print("|---|---|---|---|---|---|---|")
    for item in estimates(slopes):
        print(
            f"| {item.role} | {item.state / 1e6:.2f} | {item.messages:.1f} "
            f"| {item.size_per_second / 1e3:.2f} | {item.core * 100:.2f} "
            f"| {item.reads:.2f} | {item.writes:.2f} |"
        )


if __name__ == "__main__":
    main()
