"""Statements of targets about themselves, and their way to all hosts."""

from __future__ import annotations

from random import Random

import pytest

from radishshunt.gateway.messages import Report, StateUpdate, decode, encode
from radishshunt.policy.direct.target_statements import (
    MAX_MESSAGE_STATEMENTS,
    NEVER,
    TargetStatement,
    TargetStatements,
)


def _frame(msg: Report | StateUpdate) -> Report | StateUpdate:
    return decode(encode(msg)[4:])


@pytest.mark.parametrize("seed", range(5))
def test_all_hosts_learn_of_a_leaving_target(seed: int) -> None:
    """Guards against a leaving target that only the host knows which it told."""
    rng = Random(seed)
    hosts = [TargetStatements() for _ in range(20)]
    leader, now = rng.randrange(20), 100.0
    told = {f"i-{number}": rng.randrange(20) for number in range(2 * MAX_MESSAGE_STATEMENTS)}
    for target, host in told.items():
        hosts[host].record(TargetStatement(target, 5, leaving_age=0.0), now, own=True)
    for _ in range(3):
        now += 0.2
        for number, host in enumerate(hosts):
            if number != leader:
                report = _frame(Report("h", {}, statements=host.next_report(now, first=False)))
                for statement in report.statements:
                    hosts[leader].record(statement, now, own=False)
        statements = hosts[leader].next_update(now)
        assert len(statements) <= MAX_MESSAGE_STATEMENTS
        update = _frame(StateUpdate(True, 0.0, 20, statements=statements))
        for host in hosts:
            for statement in update.statements:
                host.record(statement, now, own=False)
    for host in hosts:
        for target in told:
            state = host.state(target, 5)
            assert state is not None
            assert state.leaving_since == pytest.approx(100.0, abs=0.01)
            assert host.state(target, 6) is None
    assert hosts[leader].next_update(now) == ()


def test_cold_start_ends_at_its_time_and_is_forgotten() -> None:
    """Guards against a target that counts as cold for longer than it has stated."""
    statements = TargetStatements()
    assert statements.record(TargetStatement("i-1", 1, cold_seconds=3.0), 10.0, own=True)
    # The same end, stated again a second later.
    assert not statements.record(TargetStatement("i-1", 1, cold_seconds=2.0), 11.0, own=True)
    state = statements.state("i-1", 1)
    assert state is not None
    assert state.cold_until == 13.0
    assert not statements.record(TargetStatement("i-1", 1), 12.0, own=True)
    assert state.leaving_since == NEVER
    statements.forget_old({("i-1", 1)}, 13.1)
    assert statements.state("i-1", 1) is None
    assert statements.known(13.1) == ()


def test_statements_are_told_again_on_a_new_link() -> None:
    """Guards against a leader that was replaced before it passed a statement on."""
    statements = TargetStatements()
    statements.record(TargetStatement("i-1", 1, leaving_age=0.0), 10.0, own=True)
    assert len(statements.next_report(10.2, first=False)) == 1
    assert statements.next_report(10.4, first=False) == ()
    again = statements.next_report(12.0, first=True)
    assert [statement.leaving_age for statement in again] == [pytest.approx(2.0)]
