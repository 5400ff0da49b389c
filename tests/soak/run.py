"""Randomized run over pairs of faults; ends with the counts of operations and violations."""

from __future__ import annotations

import argparse
import sys
import time
from collections import Counter, defaultdict
from itertools import combinations_with_replacement
from random import Random

import trio

from tests.soak.callers import Callers
from tests.soak.check import find_violations, read_journals
from tests.soak.faults import FAULTS, Fault, KillTarget
from tests.support.system import Deployment, System

KEYS = [f"key-{number}" for number in range(60)]
HOLD_SECONDS = 2.0
SETTLE_SECONDS = 3.0
LARGEST_GAP_SECONDS = 1.0


def main() -> int:
    """Run the pairs that the arguments name and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--pairs", type=int, default=0, help="number of pairs, 0 for all")
    parser.add_argument("--rate", type=float, default=60.0, help="operations a second")
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
    system = System(Deployment(hosts=4, workers={"permits": 8}, relayed=True))
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
    callers = Callers(urls, KEYS, options.seed)
    lost_at: dict[str, list[float]] = defaultdict(list)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(callers.run, options.rate)
        await trio.sleep(SETTLE_SECONDS)
        for pair in pairs:
            before = len(callers.operations)
            faults = [cls(system, random) for cls in pair]
            gap = random.uniform(0, LARGEST_GAP_SECONDS)
            await _inject(faults, gap, lost_at)
            window = callers.operations[before:]
            results = Counter(operation.result for operation in window if operation.attempts)
            names = " + ".join(map(str, faults))
            reasons = Counter(
                operation.attempts[-1].reason
                for operation in window
                if operation.attempts and operation.result != "answered"
            )
            print(f"{names}: {dict(sorted(results.items()))} {dict(reasons)}", flush=True)
        callers.stop()
    runs = read_journals(system.journal(name) for name in system.targets)
    violations = find_violations(runs, callers.operations, lost_at)
    for line in violations:
        print(f"violation: {line}")
    results = Counter(operation.result for operation in callers.operations)
    print(
        f"seed={options.seed} pairs={len(pairs)} operations={len(callers.operations)} "
        f"executions={len(runs)} {dict(sorted(results.items()))} violations={len(violations)}"
    )
    return 1 if violations else 0


async def _inject(faults: list[Fault], gap: float, lost_at: dict[str, list[float]]) -> None:
    """Inject two faults, hold them, heal them and let the system settle."""
    for fault in faults:
        await trio.to_thread.run_sync(fault.inject)
        if isinstance(fault, KillTarget):
            lost_at[fault.victim].append(time.time())
        await trio.sleep(gap)
    await trio.sleep(HOLD_SECONDS)
    for fault in faults:
        await trio.to_thread.run_sync(fault.heal)
    await trio.sleep(SETTLE_SECONDS)


if __name__ == "__main__":
    sys.exit(main())
