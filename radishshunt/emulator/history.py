"""Checks a history of executions and answers against the invariants of docs/design.md.

Nothing here uses the router's code: the history comes from emulated targets and from callers.
"""

from __future__ import annotations

import json
from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum
from itertools import combinations
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from radishshunt.emulator.grants import TargetGrants

# Header by which a caller's attempt is found again among the executions.
CALL_HEADER = "Emulator-Call"
NON_IDEMPOTENT_METHODS = frozenset({"POST", "PATCH"})
# Invariant 8: a leaving target gets no new work after this time.
LEAVING_SECONDS = 3.0


@dataclass(slots=True)
class Execution:
    """Record of a request that a target has begun to run.

    :param slice: Slice of the key, -1 for services without keys.
    :param call: Name that the caller gave to its attempt, from :data:`CALL_HEADER`.
    :param started_at: Seconds since the Unix epoch.
    :param ended_at: Seconds since the Unix epoch, 0 while it runs.
    :param complete: Whether it ran to its end.
    """

    target: str
    incarnation: int
    service: str
    key: str
    slice: int
    method: str
    request_id: str
    idempotency_key: str
    call: str
    epoch: int
    started_at: float
    ended_at: float = 0.0
    complete: bool = False


@dataclass(slots=True)
class GrantRecord:
    """Record of the time in which a target held a grant for a slice.

    :param until: End, seconds since the Unix epoch: the deadline, or when it was revoked.
    """

    target: str
    incarnation: int
    service: str
    slice: int
    epoch: int
    since: float
    until: float


class GrantLog:
    """Records when a target holds grants, from the state that its requests are checked against."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._open: dict[tuple[str, int], GrantRecord] = {}
        self.records: list[GrantRecord] = []

    def update(self, service: str, grants: TargetGrants, now: float) -> None:
        """Take the state after a grant or a fence for a service.

        :param now: Seconds since the Unix epoch.
        """
        held = grants.held(service, now)
        for at, record in list(self._open.items()):
            if at[0] == service and held.get(at[1], (0, 0.0))[0] != record.epoch:
                record.until = min(record.until, now)
                del self._open[at]
        for number, (epoch, deadline) in held.items():
            record = self._open.get((service, number))
            if record is None or record.until < now:
                record = GrantRecord(
                    self._target, grants.incarnation, service, number, epoch, now, deadline
                )
                self._open[service, number] = record
                self.records.append(record)
            record.until = deadline

    def end_all(self, now: float) -> None:
        """Take the end of the target's process."""
        for record in self._open.values():
            record.until = min(record.until, now)
        self._open.clear()


@dataclass(frozen=True, slots=True)
class CallerAnswer:
    """What a caller saw of one attempt.

    :param call: Name of the attempt, sent as :data:`CALL_HEADER`.
    :param status: HTTP status, 0 if there was no answer.
    :param outcome: Member ``outcome`` of a problem document, empty for a target's answer.
    :param reason: Member ``reason`` of a problem document.
    :param whole: Whether the transfer ended without an error.
    :param length: Value of Content-Length, -1 if there was none.
    """

    call: str
    service: str
    key: str
    method: str
    ended_at: float
    status: int
    idempotency_key: str = ""
    outcome: str = ""
    reason: str = ""
    whole: bool = True
    body: bytes = b""
    length: int = -1


class Violation(Enum):
    """Kinds of violations."""

    OVERLAPPING_GRANTS = "two targets held a grant for a slice"
    OVERLAPPING_OWNERS = "two targets ran requests for a key at the same time"
    REPEATED = "a non-idempotent request ran more than once"
    FALSE_NOT_RUN = "a request was answered not-run but ran"
    WRONG_ANSWER = "a caller got the answer of another request"
    TRUNCATED_ANSWER = "a caller got a part of an answer as whole"
    WORK_AFTER_LEAVING = "a leaving target got new work"
    TOO_MANY_AT_ONCE = "a target ran more requests than it has slots"


@dataclass(frozen=True, slots=True)
class Finding:
    """One violation and the records that show it."""

    violation: Violation
    detail: str

    def __str__(self) -> str:
        return f"{self.violation.value}: {self.detail}"


@dataclass(slots=True)
class History:
    """What targets and callers have recorded.

    :param leaving_at: When targets began to leave, seconds since the Unix epoch.
    :param slots: Slots of targets; those not listed are not checked.
    :param tolerance: Overlap that is not reported, for clocks that differ, in seconds.
    """

    executions: list[Execution] = field(default_factory=list)
    grants: list[GrantRecord] = field(default_factory=list)
    answers: list[CallerAnswer] = field(default_factory=list)
    leaving_at: dict[str, float] = field(default_factory=dict)
    slots: dict[str, int] = field(default_factory=dict)
    tolerance: float = 0.0

    def add_target(self, doc: dict[str, Any]) -> None:
        """Add what a target returns at ``GET /_target/history``."""
        self.executions += [Execution(**item) for item in doc["executions"]]
        self.grants += [GrantRecord(**item) for item in doc["grants"]]


def check(history: History) -> list[Finding]:
    """Return all violations in a history."""
    return [
        *_overlapping_grants(history),
        *_overlapping_owners(history),
        *_repeated(history),
        *_false_not_run(history),
        *_bad_answers(history),
        *_work_after_leaving(history),
        *_too_many_at_once(history),
    ]


def _overlapping_grants(history: History) -> Iterator[Finding]:
    by_slice: dict[tuple[str, int], list[GrantRecord]] = defaultdict(list)
    for grant in history.grants:
        if grant.slice >= 0:
            by_slice[grant.service, grant.slice].append(grant)
    for (service, number), grants in by_slice.items():
        for one, two in combinations(grants, 2):
            overlap = min(one.until, two.until) - max(one.since, two.since)
            if one.target != two.target and overlap > history.tolerance:
                yield Finding(
                    Violation.OVERLAPPING_GRANTS,
                    f"slice {number} of {service} on {one.target} (epoch {one.epoch}) and "
                    f"{two.target} (epoch {two.epoch}) for {overlap:.3f} s",
                )


def _overlapping_owners(history: History) -> Iterator[Finding]:
    by_key: dict[tuple[str, str], list[Execution]] = defaultdict(list)
    for execution in history.executions:
        if execution.slice >= 0:
            by_key[execution.service, execution.key].append(execution)
    for (service, key), found in by_key.items():
        for one, two in combinations(found, 2):
            overlap = min(_end(one), _end(two)) - max(one.started_at, two.started_at)
            if one.target != two.target and overlap > history.tolerance:
                yield Finding(
                    Violation.OVERLAPPING_OWNERS,
                    f"key {key} of {service} on {one.target} and {two.target}, requests "
                    f"{one.request_id} and {two.request_id}",
                )


def _repeated(history: History) -> Iterator[Finding]:
    runs: dict[tuple[str, str], list[Execution]] = defaultdict(list)
    for execution in history.executions:
        if execution.method in NON_IDEMPOTENT_METHODS:
            name = execution.idempotency_key or execution.request_id
            runs[execution.service, name].append(execution)
    for (service, name), found in runs.items():
        if len(found) > 1:
            targets = ", ".join(execution.target for execution in found)
            yield Finding(Violation.REPEATED, f"{name} of {service} on {targets}")


def _false_not_run(history: History) -> Iterator[Finding]:
    by_call: dict[str, list[Execution]] = defaultdict(list)
    by_key: dict[tuple[str, str], list[Execution]] = defaultdict(list)
    for execution in history.executions:
        by_call[execution.call].append(execution)
        if execution.method in NON_IDEMPOTENT_METHODS and execution.idempotency_key:
            by_key[execution.service, execution.idempotency_key].append(execution)
    for answer in history.answers:
        if answer.outcome != "not-run":
            continue
        ran = list(by_call[answer.call]) if answer.call else []
        # Refused for the reuse of a key, a request is another one than the one that ran.
        if answer.idempotency_key and answer.reason != "key-reused":
            earlier = by_key[answer.service, answer.idempotency_key]
            ran += [e for e in earlier if e.started_at <= answer.ended_at]
        if ran:
            yield Finding(
                Violation.FALSE_NOT_RUN,
                f"call {answer.call} ({answer.reason}) ran on {ran[0].target}",
            )


def _bad_answers(history: History) -> Iterator[Finding]:
    calls: dict[tuple[str, str], set[str]] = defaultdict(set)
    for execution in history.executions:
        if execution.idempotency_key:
            calls[execution.service, execution.idempotency_key].add(execution.call)
    for answer in history.answers:
        if answer.outcome or not answer.whole or answer.status != 200 or answer.method == "HEAD":
            continue
        try:
            doc = json.loads(answer.body)
        except ValueError:
            doc = None
        cut = answer.length >= 0 and answer.length != len(answer.body)
        if cut or not isinstance(doc, dict):
            yield Finding(
                Violation.TRUNCATED_ANSWER, f"call {answer.call} got {len(answer.body)} bytes"
            )
            continue
        own = {answer.call}
        if answer.idempotency_key:
            own |= calls[answer.service, answer.idempotency_key]
        if doc.get("key") != answer.key or doc.get("call") not in own:
            yield Finding(
                Violation.WRONG_ANSWER,
                f"call {answer.call} for key {answer.key} got that of {doc.get('call')} "
                f"for key {doc.get('key')}",
            )


def _work_after_leaving(history: History) -> Iterator[Finding]:
    for execution in history.executions:
        leaving_at = history.leaving_at.get(execution.target)
        if leaving_at is not None and execution.started_at > leaving_at + LEAVING_SECONDS:
            late = execution.started_at - leaving_at
            yield Finding(
                Violation.WORK_AFTER_LEAVING,
                f"{execution.target} began {execution.request_id} {late:.1f} s after",
            )


def _too_many_at_once(history: History) -> Iterator[Finding]:
    for target, slots in history.slots.items():
        most = _most_at_once(e for e in history.executions if e.target == target)
        if most > slots:
            yield Finding(Violation.TOO_MANY_AT_ONCE, f"{target} ran {most}, has {slots} slots")


def _most_at_once(executions: Iterable[Execution]) -> int:
    # At the same instant an end counts before a start.
    steps = sorted(
        step for e in executions for step in ((e.started_at, 1), (_end(e), -1)) if _end(e) > 0
    )
    running = most = 0
    for _, change in steps:
        running += change
        most = max(most, running)
    return most


def _end(execution: Execution) -> float:
    return execution.ended_at or float("inf")
