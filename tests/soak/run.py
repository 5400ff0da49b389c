"""Injects random pairs of faults under load; prints the counts of operations and violations."""

from __future__ import annotations

import argparse
import sys
import time
from collections import Counter, defaultdict
from itertools import combinations_with_replacement
from random import Random

import trio

from tests.soak.check import find_violations, read_journals
from tests.soak.faults import FAULTS, Fault, KillTarget
from tests.soak.load_generator import LoadGenerator
from tests.support.system import Deployment, System

KEYS = [f"key-{number}" for number in range(60)]
FAULT_SECONDS = 2.0
SETTLE_SECONDS = 3.0
MAX_GAP_SECONDS = 1.0


def main() -> int:
    """Run the pairs selected by the arguments and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--pairs", type=int, default=0, help="number of pairs, 0 for all")
    parser.add_argument("--rate", type=float, default=60.0, help="operations per second")
    parser.add_argument("--only", default="", help="pairs, for example kill-host,platform-down;...")
    options = parser.parse_args()
    random = Random(options.seed)
    pairs = list(combinations_with_replacement(FAULTS, 2))
    random.shuffle(pairs)
    if options.only:
        by_name = {cls.name: cls for cls in FAULTS}
        pairs = [
            tuple(by_name[name] for name in pair.split(",")) for pair in options.only.split(";")
        ]
    elif options.pairs:
        pairs = pairs[: options.pairs]
    system = System(Deployment(hosts=4, target_counts={"permits": 8}, relayed=True))
    try:
        system.start_all()
        system.submit_first_note()
        return trio.run(_run, system, pairs, random, options)
    finally:
        system.close()


async def _run(
    system: System,
    pairs: list[tuple[type[Fault], type[Fault]]],
    random: Random,
    options: argparse.Namespace,
) -> int:
    urls = {name: system.caller_url(name, "") for name in system.hosts}
    load = LoadGenerator(urls, KEYS, options.seed)
    killed_at: dict[str, list[float]] = defaultdict(list)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(load.run, options.rate)
        await trio.sleep(SETTLE_SECONDS)
        for pair in pairs:
            operations_before = len(load.operations)
            faults = [cls(system, random) for cls in pair]
            gap_seconds = random.uniform(0, MAX_GAP_SECONDS)
            await _inject_and_heal(faults, gap_seconds, killed_at)
            operations = load.operations[operations_before:]
            results = Counter(operation.result for operation in operations if operation.attempts)
            fault_names = " + ".join(map(str, faults))
            reasons = Counter(
                operation.attempts[-1].reason
                for operation in operations
                if operation.attempts and operation.result != "answered"
            )
            print(f"{fault_names}: {dict(sorted(results.items()))} {dict(reasons)}", flush=True)
        load.stop()
    executions = read_journals(system.journal(name) for name in system.targets)
    violations = find_violations(executions, load.operations, killed_at)
    for line in violations:
        print(f"violation: {line}")
    results = Counter(operation.result for operation in load.operations)
    print(
        f"seed={options.seed} pairs={len(pairs)} operations={len(load.operations)} "
        f"executions={len(executions)} {dict(sorted(results.items()))} violations={len(violations)}"
    )
    return 1 if violations else 0


async def _inject_and_heal(
    faults: list[Fault], gap_seconds: float, killed_at: dict[str, list[float]]
) -> None:
    """Inject two faults, heal both after a fixed time and wait until the system has settled.

    :param gap_seconds: Time between the injections.
    :param killed_at: Gets the times at which targets were killed.
    """
    for fault in faults:
        await trio.to_thread.run_sync(fault.inject)
        if isinstance(fault, KillTarget):
            killed_at[fault.component].append(time.time())
        await trio.sleep(gap_seconds)
    await trio.sleep(FAULT_SECONDS)
    for fault in faults:
        await trio.to_thread.run_sync(fault.heal)
    await trio.sleep(SETTLE_SECONDS)


if __name__ == "__main__":
    sys.exit(main())
