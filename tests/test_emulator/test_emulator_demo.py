"""Tests of the share of answered requests that the demonstration requires."""

from __future__ import annotations

from radishshunt.emulator.demo import DISTURBED_SECONDS, MIN_ANSWERED_SHARE, answered_share
from radishshunt.emulator.load import Result, SentRequest

STARTED_AT = 1000.0


def sent_request(at: float, result: Result) -> SentRequest:
    return SentRequest("painter-reg", "key-1", False, "", STARTED_AT + at, result)


def test_refusals_outside_failures_count_against_the_demonstration() -> None:
    """Guards against a demonstration that succeeds although most requests are refused."""
    undisturbed = [sent_request(0.1 * n, Result.ANSWERED) for n in range(9)] + [
        sent_request(1.0, Result.REFUSED)
    ]
    assert answered_share(undisturbed, [STARTED_AT + 3.0]) == 0.9 < MIN_ANSWERED_SHARE


def test_requests_near_a_failure_are_not_counted() -> None:
    """Guards against a share that depends on how many requests an injected failure affects."""
    disturbed = [
        sent_request(3.0, Result.REFUSED),
        sent_request(2.9 + DISTURBED_SECONDS, Result.UNKNOWN),
    ]
    after = sent_request(3.0 + DISTURBED_SECONDS, Result.ANSWERED)
    assert answered_share([*disturbed, after], [STARTED_AT + 3.0]) == 1.0
