"""Tests that the history checker finds each violation and reports nothing else."""

from __future__ import annotations

import json
from dataclasses import replace

import pytest

from radishshunt.emulator.history import (
    CallerAnswer,
    Execution,
    Finding,
    GrantRecord,
    History,
    Violation,
    find_violations,
)

FIRST = Execution(
    target="permits-01",
    incarnation=1,
    service="permits",
    key="kauri",
    slice=5,
    method="POST",
    request_id="r1",
    idempotency_key="fee-1",
    call="c1",
    epoch=4,
    started_at=10.0,
    ended_at=10.5,
    complete=True,
)
SECOND = replace(
    FIRST,
    target="permits-02",
    request_id="r2",
    idempotency_key="fee-2",
    call="c2",
    epoch=5,
    started_at=11.0,
    ended_at=11.5,
)
GRANT = GrantRecord("permits-01", 1, "permits", 5, 4, since=9.0, until=10.8)
NEXT_GRANT = GrantRecord("permits-02", 2, "permits", 5, 5, since=10.8, until=12.0)


def answer(call: str, idempotency_key: str = "", **changes) -> CallerAnswer:
    """Return a correct answer for the key ``kauri``, with fields replaced by ``changes``."""
    body = json.dumps({"key": "kauri", "call": call}).encode()
    base = CallerAnswer(
        call=call,
        service="permits",
        key="kauri",
        method="POST",
        ended_at=12.0,
        status=200,
        idempotency_key=idempotency_key,
        body=body,
        content_length=len(body),
    )
    return replace(base, **changes)


def valid_history() -> History:
    """Return a history without violations that contains everything that resembles one."""
    return History(
        executions=[FIRST, SECOND],
        grants=[GRANT, NEXT_GRANT],
        answers=[
            answer("c1", "fee-1"),
            answer("c2", "fee-2"),
            # A retry with the same idempotency key gets the recorded answer of the first call.
            answer("c3", "fee-1", body=b'{"key": "kauri", "call": "c1"}', content_length=-1),
            answer("c4", "fee-1", status=422, outcome="not-run", reason="key-reused"),
            answer("c5", status=503, outcome="not-run", reason="queue-full"),
            # A truncated answer that the caller has detected.
            answer("c6", body=b'{"key"', complete=False),
            answer("c7", status=504, outcome="unknown"),
        ],
        leaving_at={"permits-01": 7.5},
        slots={"permits-01": 1, "permits-02": 1},
    )


def violations(findings: list[Finding]) -> list[Violation]:
    """Return the violation of each finding."""
    return [finding.violation for finding in findings]


def test_history_without_violations_has_no_findings() -> None:
    """Guards against a checker that reports valid behaviour as a violation."""
    assert find_violations(valid_history()) == []


def overlapping_grants(history: History) -> None:
    history.grants[1].since = 10.7


def overlapping_owners(history: History) -> None:
    history.executions[1] = replace(SECOND, started_at=10.4)


def execution_without_end(history: History) -> None:
    history.executions[0] = replace(FIRST, ended_at=0.0)


def repeated_idempotency_key(history: History) -> None:
    history.executions[1] = replace(SECOND, idempotency_key="fee-1")


def repeated_request_id(history: History) -> None:
    history.executions[0] = replace(FIRST, idempotency_key="", request_id="r2")
    history.executions[1] = replace(SECOND, idempotency_key="")
    history.answers[:] = history.answers[4:]


def false_not_run(history: History) -> None:
    history.answers[1] = answer("c2", status=503, outcome="not-run", reason="deadline")


def false_not_run_of_a_retry(history: History) -> None:
    history.answers.append(answer("c8", "fee-1", status=503, outcome="not-run", reason="no-owner"))


def answer_of_another_call(history: History) -> None:
    history.answers[1] = answer("c2", "fee-2", body=answer("c1").body)


def answer_of_another_key(history: History) -> None:
    history.answers[1] = answer(
        "c2", "fee-2", body=b'{"key": "rimu", "call": "c2"}', content_length=-1
    )


def truncated_answer(history: History) -> None:
    history.answers[1] = answer("c2", "fee-2", body=b'{"key": "kauri", "ca', content_length=-1)


def shorter_than_content_length(history: History) -> None:
    history.answers[1] = answer("c2", "fee-2", content_length=1000)


def empty_answer(history: History) -> None:
    history.answers[1] = answer("c2", "fee-2", body=b"", content_length=-1)


def work_after_leaving(history: History) -> None:
    history.leaving_at["permits-01"] = 6.9


def too_many_at_once(history: History) -> None:
    history.executions.append(
        replace(FIRST, request_id="r3", idempotency_key="fee-3", call="c9", started_at=10.2)
    )


@pytest.mark.parametrize(
    ("damage", "violation"),
    [
        (overlapping_grants, Violation.OVERLAPPING_GRANTS),
        (overlapping_owners, Violation.OVERLAPPING_OWNERS),
        (execution_without_end, Violation.OVERLAPPING_OWNERS),
        (repeated_idempotency_key, Violation.REPEATED),
        (repeated_request_id, Violation.REPEATED),
        (false_not_run, Violation.FALSE_NOT_RUN),
        (false_not_run_of_a_retry, Violation.FALSE_NOT_RUN),
        (answer_of_another_call, Violation.WRONG_ANSWER),
        (answer_of_another_key, Violation.WRONG_ANSWER),
        (truncated_answer, Violation.TRUNCATED_ANSWER),
        (shorter_than_content_length, Violation.TRUNCATED_ANSWER),
        (empty_answer, Violation.TRUNCATED_ANSWER),
        (work_after_leaving, Violation.WORK_AFTER_LEAVING),
        (too_many_at_once, Violation.TOO_MANY_AT_ONCE),
    ],
)
def test_each_violation_is_found(damage, violation: Violation) -> None:
    """Guards against a checker that misses a violation."""
    history = valid_history()
    history.grants = [replace(grant) for grant in history.grants]
    damage(history)
    assert violations(find_violations(history)) == [violation]
