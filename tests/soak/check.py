"""Checks of a soak run: what targets recorded against what callers were told."""

from __future__ import annotations

import json
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

    from tests.soak.callers import Operation


@dataclass(slots=True)
class Run:
    """One execution on a target.

    :param ended_at: Seconds since the Unix epoch; infinite if the target was lost meanwhile.
    """

    target: str
    incarnation: int
    request_id: str
    key: str
    idempotency_key: str
    epoch: int
    started_at: float
    ended_at: float = float("inf")


def read_journals(paths: Iterable[Path]) -> list[Run]:
    """Return the executions that targets recorded."""
    runs: dict[tuple[int, str, str], Run] = {}
    for path in paths:
        if not path.exists():
            continue
        for line in path.read_text().splitlines():
            doc = json.loads(line)
            name = (doc["incarnation"], doc["target"], doc["request_id"])
            if doc["event"] == "start":
                runs[name] = Run(
                    doc["target"],
                    doc["incarnation"],
                    doc["request_id"],
                    doc["key"],
                    doc["idempotency_key"],
                    doc["epoch"],
                    doc["at"],
                )
            elif name in runs:
                runs[name].ended_at = doc["at"]
    return sorted(runs.values(), key=lambda run: run.started_at)


def find_violations(
    runs: list[Run], operations: list[Operation], lost_at: dict[str, list[float]]
) -> list[str]:
    """Return a line for each promise that was broken.

    :param lost_at: Times at which each target's process was killed, which ends its executions.
    """
    found = []
    by_key: dict[str, list[Run]] = defaultdict(list)
    by_operation: dict[str, list[Run]] = defaultdict(list)
    for run in runs:
        if run.ended_at == float("inf"):
            deaths = [at for at in lost_at.get(run.target, []) if at >= run.started_at]
            run.ended_at = min(deaths, default=run.ended_at)
        by_key[run.key].append(run)
        if run.idempotency_key:
            by_operation[run.idempotency_key].append(run)
    for key, key_runs in by_key.items():
        found += _overlaps(key, key_runs)
    for operation in operations:
        found += _operation_violations(operation, by_operation.get(operation.idempotency_key, []))
    return found


def _overlaps(key: str, runs: list[Run]) -> list[str]:
    """Executions of one key on two targets must not overlap, and epochs must not fall."""
    found = []
    latest: Run | None = None
    for run in runs:
        if latest is not None and run.target != latest.target and run.started_at < latest.ended_at:
            found.append(
                f"key {key} ran on {latest.target} until {latest.ended_at:.3f} and on "
                f"{run.target} from {run.started_at:.3f}"
            )
        if latest is not None and run.epoch < latest.epoch:
            found.append(f"key {key} ran under epoch {run.epoch} after {latest.epoch}")
        if latest is None or run.ended_at > latest.ended_at:
            latest = run
    return found


def _operation_violations(operation: Operation, runs: list[Run]) -> list[str]:
    name = f"{operation.method} {operation.key} {operation.idempotency_key}"
    found = []
    if operation.result == "wrong":
        found.append(f"{name}: got the answer to another request")
    if not operation.idempotency_key:
        return found
    if len(runs) > 1:
        places = ", ".join(f"{run.target} at {run.started_at:.3f}" for run in runs)
        found.append(f"{name}: ran {len(runs)} times: {places}")
    if runs and operation.attempts and operation.result == "not-run":
        found.append(f"{name}: refused as not run, but ran on {runs[0].target}")
    if not runs and operation.result == "answered":
        found.append(f"{name}: answered, but no target ran it")
    return found
