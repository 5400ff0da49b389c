"""What the demonstration accepts."""

from __future__ import annotations

from radishshunt.emulator.demo import ANSWERED_SHARE, DISTURBED_SECONDS, answered_share
from radishshunt.emulator.load import Result, Sent

BEGAN = 1000.0


def sent(at: float, result: Result) -> Sent:
    return Sent("painter-reg", "key-1", False, "", BEGAN + at, result)


def test_refusals_outside_failures_count_against_the_demonstration() -> None:
    # Guards against a demonstration that ends ok although most requests are refused.
    calm = [sent(0.1 * n, Result.ANSWERED) for n in range(9)] + [sent(1.0, Result.REFUSED)]
    assert answered_share(calm, [BEGAN + 3.0]) == 0.9 < ANSWERED_SHARE


def test_requests_beside_a_failure_are_not_counted() -> None:
    # Guards against a share that depends on how many requests meet the injected failure.
    disturbed = [sent(3.0, Result.REFUSED), sent(2.9 + DISTURBED_SECONDS, Result.UNKNOWN)]
    after = sent(3.0 + DISTURBED_SECONDS, Result.ANSWERED)
    assert answered_share([*disturbed, after], [BEGAN + 3.0]) == 1.0
