"""Resource estimate of each role at the expected size, from measured slopes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from radishshunt.experiment.capacity import MEASUREMENTS

if TYPE_CHECKING:
    from radishshunt.experiment.capacity import Slope

DAY_SECONDS = 86_400

# Size expected in two years. Every node is assumed to be an entry host that dispatches one group
# of three targets, which is the interpretation with the highest load on the control paths.
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
# Share of requests that are not idempotent, as in the load of the demo.
NON_IDEMPOTENT_SHARE = 0.2
INTENT_RETENTION_SECONDS = 600

CORE_BUDGET_SHARE = 0.031
MEMORY_BUDGET_BYTES = 128e6
CONTROL_BUDGET_BYTES_PER_SECOND = 4_000

# Steady membership and catalog traffic of one host among 1,000, in both directions, and its share
# of a core. Source: radishshunt.experiment.spread.
MEMBERSHIP_BYTES_PER_SECOND = 2_887.0
MEMBERSHIP_MESSAGES_PER_SECOND = 36.0
MEMBERSHIP_CORE_SHARE = 0.0037
PLATFORM_READS_PER_SECOND = 2 * DOMAINS * 1.1
CATALOG_ENTRY_BYTES = 470.0
# One grant renewal with its answer over HTTP, and its processor time on the host. Source: the
# differences between the rows of tests.soak.control_cost with 4 hosts and 4, 24 and 48 targets.
RENEWALS_PER_SECOND = 1 / 0.3
RENEWAL_BYTES = 500.0
RENEWAL_CPU_US = 1_050.0
ROW_UPDATE_BYTES = 600.0


@dataclass(frozen=True, slots=True)
class Estimate:
    """Resources that one role uses on one node at the expected size.

    :param messages_per_second: Messages per second, sent and received.
    :param bytes_per_second: Bytes per second, sent and received.
    :param core_share: Share of a core.
    :param state_bytes: Memory in bytes.
    :param reads_per_second: Platform reads per second of the whole system.
    :param writes_per_second: Platform writes per second of the whole system.
    """

    role: str
    state_bytes: float
    messages_per_second: float
    bytes_per_second: float
    core_share: float
    reads_per_second: float = 0.0
    writes_per_second: float = 0.0


def extrapolate(slope: Slope, size: float) -> tuple[float, float]:
    """Return microseconds and bytes at a size, extrapolated from the last measured point."""
    last = slope.points[-1]
    step = size - last.size
    return last.cpu_us + slope.cpu_us_per_unit * step, (
        last.size_bytes + slope.bytes_per_unit * step
    )


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
    lookup_us, state = extrapolate(slopes["entry: directory"], slices)
    head_us, head_bytes = extrapolate(slopes["entry: forwarded head"], 10)
    hash_us, _ = extrapolate(slopes["entry: key hash"], 20)
    # Each request costs one hash and one lookup, and its head is encoded on the entry host or
    # decoded on the dispatcher's host.
    core = rate * (lookup_us + hash_us + head_us) / 1e6
    return Estimate("entry (data path)", state, rate * 2, rate * head_bytes, core)


def _dispatcher(slopes: dict[str, Slope]) -> Estimate:
    round_us, state = extrapolate(slopes["dispatcher: renewal round of a group"], SLICES_PER_GROUP)
    rounds_per_second = RENEWALS_PER_SECOND
    renewals_per_second = rounds_per_second * TARGETS_PER_NODE
    core = (rounds_per_second * round_us + renewals_per_second * RENEWAL_CPU_US) / 1e6
    return Estimate(
        "dispatcher (grants)",
        state,
        renewals_per_second * 2,
        renewals_per_second * RENEWAL_BYTES,
        core,
    )


def _membership() -> Estimate:
    state = NODES * TARGETS_PER_NODE * CATALOG_ENTRY_BYTES
    return Estimate(
        "membership, host list, notes",
        state,
        MEMBERSHIP_MESSAGES_PER_SECOND,
        MEMBERSHIP_BYTES_PER_SECOND,
        MEMBERSHIP_CORE_SHARE,
        reads_per_second=PLATFORM_READS_PER_SECOND,
        writes_per_second=CATALOG_CHANGES_PER_DAY * 2 / DAY_SECONDS,
    )


def _assignment_table(slopes: dict[str, Slope]) -> Estimate:
    row_us, row_bytes = extrapolate(slopes["assignment table: row document"], SLICES_PER_GROUP)
    hot_key_writes = HOT_KEYS / HOT_KEY_CHANGE_SECONDS
    restart_writes = RESTARTS_PER_DAY * 2 / DAY_SECONDS
    writes = hot_key_writes + restart_writes
    return Estimate(
        "assignment table",
        row_bytes * 2,
        writes,
        writes * ROW_UPDATE_BYTES,
        writes / NODES * row_us / 1e6,
        writes_per_second=writes,
    )


def _intents(slopes: dict[str, Slope], rate: float) -> Estimate:
    batch_us, batch_bytes = extrapolate(slopes["intents: batch"], 10)
    non_idempotent_rate = rate * NON_IDEMPOTENT_SHARE
    state = non_idempotent_rate * INTENT_RETENTION_SECONDS * 2 * batch_bytes / 10
    return Estimate(
        "intents (data path)",
        state,
        non_idempotent_rate / 10 * 2,
        non_idempotent_rate * 2 * batch_bytes / 10,
        non_idempotent_rate / 10 * 2 * batch_us / 1e6,
    )


def _metrics(slopes: dict[str, Slope]) -> Estimate:
    record_us, _ = extrapolate(slopes["metrics: histograms"], 1)
    per_histogram = slopes["metrics: histograms"].bytes_per_unit
    rate = REQUESTS_PER_SECOND / NODES
    return Estimate("metrics", per_histogram * 8, 0.0, 0.0, rate * record_us / 1e6)


def main() -> None:
    """Print the estimates as a Markdown table."""
    slopes = {slope.name: slope for slope in (measure() for measure in MEASUREMENTS)}
    print("| role | state MB | messages/s | KB/s | % of a core | reads/s | writes/s |")
    print("|---|---|---|---|---|---|---|")
    for row in estimates(slopes):
        print(
            f"| {row.role} | {row.state_bytes / 1e6:.2f} | {row.messages_per_second:.1f} "
            f"| {row.bytes_per_second / 1e3:.2f} | {row.core_share * 100:.2f} "
            f"| {row.reads_per_second:.2f} | {row.writes_per_second:.2f} |"
        )


if __name__ == "__main__":
    main()
