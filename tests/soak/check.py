"""Checks of a soak run: compares the targets' journals with the answers that callers got."""

from __future__ import annotations

import json
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

    from tests.soak.load_generator import Operation


@dataclass(slots=True)
class ExecutionRecord:
    """One execution of a request, from a target's journal.

    :param started_at: Seconds since the Unix epoch.
    :param ended_at: Seconds since the Unix epoch; infinite if the target was killed before the end.
    """

    target: str
    incarnation: int
    request_id: str
    key: str
    idempotency_key: str
    epoch: int
    started_at: float
    ended_at: float = float("inf")


def read_journals(paths: Iterable[Path]) -> list[ExecutionRecord]:
    """Return the executions that targets recorded, by start time."""
    executions: dict[tuple[int, str, str], ExecutionRecord] = {}
    for path in paths:
        if not path.exists():
            continue
        for line in path.read_text().splitlines():
            doc = json.loads(line)
            execution_id = (doc["incarnation"], doc["target"], doc["request_id"])
            if doc["event"] == "start":
                executions[execution_id] = ExecutionRecord(
                    doc["target"],
                    doc["incarnation"],
                    doc["request_id"],
                    doc["key"],
                    doc["idempotency_key"],
                    doc["epoch"],
                    doc["at"],
                )
            elif execution_id in executions:
                executions[execution_id].ended_at = doc["at"]
    return sorted(executions.values(), key=lambda execution: execution.started_at)


def find_violations(
    executions: list[ExecutionRecord],
    operations: list[Operation],
    killed_at: dict[str, list[float]],
) -> list[str]:
    """Return one line for each violated guarantee.

    :param killed_at: Times at which each target's process was killed, which ends its executions.
    """
    violations = []
    by_key: dict[str, list[ExecutionRecord]] = defaultdict(list)
    by_operation: dict[str, list[ExecutionRecord]] = defaultdict(list)
    for execution in executions:
        if execution.ended_at == float("inf"):
            kill_times = [
                at for at in killed_at.get(execution.target, []) if at >= execution.started_at
            ]
            execution.ended_at = min(kill_times, default=execution.ended_at)
        by_key[execution.key].append(execution)
        if execution.idempotency_key:
            by_operation[execution.idempotency_key].append(execution)
    for key, key_executions in by_key.items():
        violations += _key_violations(key, key_executions)
    for operation in operations:
        violations += _operation_violations(
            operation, by_operation.get(operation.idempotency_key, [])
        )
    return violations


def _key_violations(key: str, executions: list[ExecutionRecord]) -> list[str]:
    """Find executions of a key that overlap on two targets, and epochs that decrease."""
    violations = []
    latest: ExecutionRecord | None = None
    for execution in executions:
        if (
            latest is not None
            and execution.target != latest.target
            and execution.started_at < latest.ended_at
        ):
            violations.append(
                f"key {key} ran on {latest.target} until {latest.ended_at:.3f} and on "
                f"{execution.target} from {execution.started_at:.3f}"
            )
        if latest is not None and execution.epoch < latest.epoch:
            violations.append(f"key {key} ran under epoch {execution.epoch} after {latest.epoch}")
        if latest is None or execution.ended_at > latest.ended_at:
            latest = execution
    return violations


def _operation_violations(operation: Operation, executions: list[ExecutionRecord]) -> list[str]:
    label = f"{operation.method} {operation.key} {operation.idempotency_key}"
    violations = []
    if operation.result == "wrong":
        violations.append(f"{label}: got the answer to another request")
    if not operation.idempotency_key:
        return violations
    if len(executions) > 1:
        locations = ", ".join(
            f"{execution.target} at {execution.started_at:.3f}" for execution in executions
        )
        violations.append(f"{label}: ran {len(executions)} times: {locations}")
    if executions and operation.attempts and operation.result == "not-run":
        violations.append(f"{label}: refused as not run, but ran on {executions[0].target}")
    if not executions and operation.result == "answered":
        violations.append(f"{label}: answered, but no target ran it")
    return violations
