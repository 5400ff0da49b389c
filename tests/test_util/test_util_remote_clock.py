"""Translation of times of another machine's clock."""

from __future__ import annotations

import pytest

from radishshunt.util.remote_clock import WINDOW_SECONDS, RemoteClock

# Seconds by which the local clock is ahead.
AHEAD = 700.0


def test_message_that_is_read_late_counts_from_when_it_was_sent() -> None:
    """Guards against the lateness of the reading process that counts as time of the clock."""
    clock = RemoteClock()
    assert clock.local_time(100.0, AHEAD + 100.001) == pytest.approx(AHEAD + 100.001)
    assert clock.local_time(101.0, AHEAD + 101.8) == pytest.approx(AHEAD + 101.001)


def test_time_is_not_before_the_message_was_asked_for() -> None:
    """Guards against a remote clock that was set back and makes all later times too early."""
    clock = RemoteClock()
    clock.local_time(100.0, AHEAD + 100.001)
    assert clock.local_time(41.0, AHEAD + 101.01, sent_after=AHEAD + 101.0) == AHEAD + 101.0
    assert clock.local_time(42.0, AHEAD + 102.01) == pytest.approx(AHEAD + 102.01)


def test_clock_that_runs_slow_is_followed() -> None:
    """Guards against an estimate that is wrong by more and more while a link lasts for days."""
    clock = RemoteClock()
    for second in range(36_000):
        local = AHEAD + second * (1 + 1e-4) + 0.001
        estimate = clock.local_time(second, local)
        assert local - estimate < 3e-4 * WINDOW_SECONDS


def test_estimate_of_an_earlier_contact_is_not_used_after_a_long_pause() -> None:
    """Guards against the difference of clocks that have moved apart meanwhile."""
    clock = RemoteClock()
    clock.local_time(100.0, AHEAD + 100.0)
    late = AHEAD + 100.5 + 3 * WINDOW_SECONDS
    assert clock.local_time(100.0 + 3 * WINDOW_SECONDS, late) == late
