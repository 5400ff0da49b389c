"""Checks a history of executions and answers against the invariants of docs/design.md.

The checks are independent of the router's code: the records come from emulated targets and from
callers.
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

# Request header that links an attempt of a caller to its execution on a target.
CALL_HEADER = "Emulator-Call"
NON_IDEMPOTENT_METHODS = frozenset({"POST", "PATCH"})
# Invariant 8: a leaving target gets no new work after this time.
LEAVING_GRACE_SECONDS = 3.0


@dataclass(slots=True)
class Execution:
    """Record of a request that a target has started to run.

    :param slice: Slice of the key, -1 for services without keys.
    :param call: Identifier that the caller gave to its attempt, from :data:`CALL_HEADER`.
    :param started_at: Seconds since the Unix epoch.
    :param ended_at: Seconds since the Unix epoch, 0 while it runs.
    :param complete: Whether the request ran to completion.
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
    """Record of the period during which a target held a grant for a slice.

    :param since: Start of the period, seconds since the Unix epoch.
    :param until: End of the period, seconds since the Unix epoch: the deadline of the grant or the
        time of its revocation, whichever comes first.
    """

    target: str
    incarnation: int
    service: str
    slice: int
    epoch: int
    since: float
    until: float


class GrantLog:
    """Records when a target holds grants.

    The source is the state that the target checks its requests against.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self._open_records: dict[tuple[str, int], GrantRecord] = {}
        self.records: list[GrantRecord] = []

    def update(self, service: str, grants: TargetGrants, now: float) -> None:
        """Record the grants of a service after a grant or a fence has changed them.

        :param now: Seconds since the Unix epoch.
        """
        valid = grants.valid_grants(service, now)
        for slice_id, record in list(self._open_records.items()):
            if slice_id[0] == service and valid.get(slice_id[1], (0, 0.0))[0] != record.epoch:
                record.until = min(record.until, now)
                del self._open_records[slice_id]
        for number, (epoch, deadline) in valid.items():
            record = self._open_records.get((service, number))
            if record is None or record.until < now:
                record = GrantRecord(
                    self._target, grants.incarnation, service, number, epoch, now, deadline
                )
                self._open_records[service, number] = record
                self.records.append(record)
            record.until = deadline

    def close_all(self, now: float) -> None:
        """Record that the target's process has ended, and with it all grants."""
        for record in self._open_records.values():
            record.until = min(record.until, now)
        self._open_records.clear()


@dataclass(frozen=True, slots=True)
class CallerAnswer:
    """Response to one attempt as its caller received it.

    :param call: Identifier of the attempt, sent as :data:`CALL_HEADER`.
    :param ended_at: Seconds since the Unix epoch.
    :param status: HTTP status, 0 if no response arrived.
    :param outcome: Member ``outcome`` of a problem document, empty for the response of a target.
    :param reason: Member ``reason`` of a problem document.
    :param complete: Whether the transfer of the response ended without an error.
    :param content_length: Value of Content-Length, -1 without this header.
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
    complete: bool = True
    body: bytes = b""
    content_length: int = -1


class Violation(Enum):
    """Invariants that a history can violate."""

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
    """Records of targets and callers.

    :param leaving_at: When targets began to leave, by target, seconds since the Unix epoch.
    :param slots: Number of slots by target; targets that are not listed are not checked.
    :param tolerance_seconds: Longest overlap that is not reported, because clocks differ.
    """

    executions: list[Execution] = field(default_factory=list)
    grants: list[GrantRecord] = field(default_factory=list)
    answers: list[CallerAnswer] = field(default_factory=list)
    leaving_at: dict[str, float] = field(default_factory=dict)
    slots: dict[str, int] = field(default_factory=dict)
    tolerance_seconds: float = 0.0

    def add_target(self, doc: dict[str, Any]) -> None:
        """Add the records that a target returns at ``GET /_target/history``."""
        self.executions += [Execution(**item) for item in doc["executions"]]
        self.grants += [GrantRecord(**item) for item in doc["grants"]]


def find_violations(history: History) -> list[Finding]:
    """Return all violations in a history."""
    return [
        *_overlapping_grants(history),
        *_overlapping_owners(history),
        *_repeated_requests(history),
        *_false_not_run(history),
        *_wrong_or_truncated_answers(history),
        *_work_after_leaving(history),
        *_too_many_at_once(history),
    ]


def _overlapping_grants(history: History) -> Iterator[Finding]:
    by_slice: dict[tuple[str, int], list[GrantRecord]] = defaultdict(list)
    for grant in history.grants:
        if grant.slice >= 0:
            by_slice[grant.service, grant.slice].append(grant)
    for (service, number), grants in by_slice.items():
        for first, second in combinations(grants, 2):
            overlap = min(first.until, second.until) - max(first.since, second.since)
            if first.target != second.target and overlap > history.tolerance_seconds:
                yield Finding(
                    Violation.OVERLAPPING_GRANTS,
                    f"slice {number} of {service} on {first.target} (epoch {first.epoch}) and "
                    f"{second.target} (epoch {second.epoch}) for {overlap:.3f} s",
                )


def _overlapping_owners(history: History) -> Iterator[Finding]:
    by_key: dict[tuple[str, str], list[Execution]] = defaultdict(list)
    for execution in history.executions:
        if execution.slice >= 0:
            by_key[execution.service, execution.key].append(execution)
    for (service, key), executions in by_key.items():
        for first, second in combinations(executions, 2):
            overlap = min(_end_time(first), _end_time(second)) - max(
                first.started_at, second.started_at
            )
            if first.target != second.target and overlap > history.tolerance_seconds:
                yield Finding(
                    Violation.OVERLAPPING_OWNERS,
                    f"key {key} of {service} on {first.target} and {second.target}, requests "
                    f"{first.request_id} and {second.request_id}",
                )


def _repeated_requests(history: History) -> Iterator[Finding]:
    runs: dict[tuple[str, str], list[Execution]] = defaultdict(list)
    for execution in history.executions:
        if execution.method in NON_IDEMPOTENT_METHODS:
            name = execution.idempotency_key or execution.request_id
            runs[execution.service, name].append(execution)
    for (service, name), executions in runs.items():
        if len(executions) > 1:
            targets = ", ".join(execution.target for execution in executions)
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
        runs_found = list(by_call[answer.call]) if answer.call else []
        # The reason key-reused means that a different request ran under this idempotency key.
        if answer.idempotency_key and answer.reason != "key-reused":
            earlier = by_key[answer.service, answer.idempotency_key]
            runs_found += [e for e in earlier if e.started_at <= answer.ended_at]
        if runs_found:
            yield Finding(
                Violation.FALSE_NOT_RUN,
                f"call {answer.call} ({answer.reason}) ran on {runs_found[0].target}",
            )


def _wrong_or_truncated_answers(history: History) -> Iterator[Finding]:
    calls: dict[tuple[str, str], set[str]] = defaultdict(set)
    for execution in history.executions:
        if execution.idempotency_key:
            calls[execution.service, execution.idempotency_key].add(execution.call)
    for answer in history.answers:
        if answer.outcome or not answer.complete or answer.status != 200 or answer.method == "HEAD":
            continue
        try:
            doc = json.loads(answer.body)
        except ValueError:
            doc = None
        truncated = answer.content_length >= 0 and answer.content_length != len(answer.body)
        if truncated or not isinstance(doc, dict):
            yield Finding(
                Violation.TRUNCATED_ANSWER, f"call {answer.call} got {len(answer.body)} bytes"
            )
            continue
        accepted_calls = {answer.call}
        if answer.idempotency_key:
            accepted_calls |= calls[answer.service, answer.idempotency_key]
        if doc.get("key") != answer.key or doc.get("call") not in accepted_calls:
            yield Finding(
                Violation.WRONG_ANSWER,
                f"call {answer.call} for key {answer.key} got the answer of {doc.get('call')} "
                f"for key {doc.get('key')}",
            )


def _work_after_leaving(history: History) -> Iterator[Finding]:
    for execution in history.executions:
        leaving_at = history.leaving_at.get(execution.target)
        if leaving_at is not None and execution.started_at > leaving_at + LEAVING_GRACE_SECONDS:
            late_seconds = execution.started_at - leaving_at
            yield Finding(
                Violation.WORK_AFTER_LEAVING,
                f"{execution.target} started {execution.request_id} {late_seconds:.1f} s "
                f"after it began to leave",
            )


def _too_many_at_once(history: History) -> Iterator[Finding]:
    for target, slots in history.slots.items():
        max_running = _max_concurrency(e for e in history.executions if e.target == target)
        if max_running > slots:
            yield Finding(
                Violation.TOO_MANY_AT_ONCE,
                f"{target} ran {max_running} requests at once with {slots} slots",
            )


def _max_concurrency(executions: Iterable[Execution]) -> int:
    # An end sorts before a start at the same time, so the two do not count as concurrent.
    changes = sorted(
        step
        for e in executions
        for step in ((e.started_at, 1), (_end_time(e), -1))
        if _end_time(e) > 0
    )
    running = max_running = 0
    for _, change in changes:
        running += change
        max_running = max(max_running, running)
    return max_running


def _end_time(execution: Execution) -> float:
    return execution.ended_at or float("inf")
