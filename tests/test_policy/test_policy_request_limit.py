"""Limits of requests that targets name, over all hosts; replays of the load under limits."""

from __future__ import annotations

import math
from random import Random

import pytest

from radishshunt.policy.direct.request_limit import MIN_REQUESTS_PER_SECOND, RequestLimiter

WINDOW_SECONDS = 4.0


def _allowed(limit: float) -> float:
    """Return the number of requests that operators allow in a window."""
    return 1.5 * limit * WINDOW_SECONDS + 5


def _replay(
    limit: float, hosts: int, demand: float, *, urgent_share: float = 0.3, idle_seconds: float = 0.0
) -> tuple[list[float], dict[bool, tuple[int, int]]]:
    """Replay 30 s of requests for one target at random hosts.

    :param demand: Requests per second.
    :param idle_seconds: Time without requests before, in which hosts could save tokens.
    :return: Times of the admitted requests, and the numbers of requests and admitted ones for
        urgent and other requests.
    """
    rng = Random(5)
    limiters = [RequestLimiter(Random(number)) for number in range(hosts)]
    for limiter in limiters:
        limiter.on_limit(limit, 1, 0.0)
    now, admitted = idle_seconds, []
    counts = {True: (0, 0), False: (0, 0)}
    while now < idle_seconds + 30.0:
        now += rng.expovariate(demand)
        limiter, urgent = rng.choice(limiters), rng.random() < urgent_share
        limiter.count_request(now, urgent=urgent)
        done = limiter.try_acquire(hosts, now, urgent=urgent)
        counts[urgent] = (counts[urgent][0] + 1, counts[urgent][1] + done)
        if done:
            admitted.append(now)
    return admitted, counts


def _most_in_a_window(times: list[float]) -> int:
    return max(sum(1 for other in times if time <= other < time + WINDOW_SECONDS) for time in times)


@pytest.mark.parametrize("hosts", [1, 3, 11])
@pytest.mark.parametrize("limit", [2.5, 3.3, 5.0, 10.2])
@pytest.mark.parametrize("idle_seconds", [0.0, 60.0])
def test_all_hosts_together_keep_to_the_limit_of_a_target(
    limit: float, hosts: int, idle_seconds: float
) -> None:
    """Guards against a multiple of the limit, as each host knows only its own requests."""
    times, _ = _replay(limit, hosts, demand=20.0, idle_seconds=idle_seconds)
    assert _most_in_a_window(times) <= _allowed(limit)


@pytest.mark.parametrize("limit", [3.3, 10.2])
def test_many_hosts_keep_to_the_limit_under_lasting_demand(limit: float) -> None:
    """Guards against a request of each of many hosts at the same time."""
    times, _ = _replay(limit, hosts=195, demand=40.0)
    assert _most_in_a_window(times) <= _allowed(limit)


@pytest.mark.parametrize("hosts", [1, 11])
def test_most_of_the_limit_is_used(hosts: int) -> None:
    """Guards against refusing what the target would take."""
    times, _ = _replay(5.0, hosts, demand=15.0)
    assert len(times) >= 0.8 * 30.0 * 5.0


def test_urgent_requests_get_the_limit_first() -> None:
    """Guards against refusing urgent requests while less urgent ones of the target are sent."""
    _, counts = _replay(5.0, 11, demand=15.0)
    urgent, others = (counts[key][1] / counts[key][0] for key in (True, False))
    assert urgent > 1.5 * others > 0


def test_limit_ends_when_answers_name_none() -> None:
    """Guards against a limit that stays in force after the target has recovered."""
    limiter = RequestLimiter()
    assert limiter.on_limit(1.0, 1, 0.0)
    assert limiter.is_limited(1)
    assert limiter.on_limit(math.inf, 1, 1.0)
    assert not limiter.is_limited(1)


def test_limit_ends_with_the_process_that_named_it() -> None:
    """Guards against a limit of an earlier process at the same address."""
    limiter = RequestLimiter()
    limiter.on_limit(1.0, 1, 0.0)
    assert not limiter.is_limited(2)


def test_target_that_takes_nothing_gets_a_request_now_and_then() -> None:
    """Guards against a limit of 0 whose end no host ever notices."""
    times, _ = _replay(0.0, 11, demand=20.0)
    assert 0 < len(times) <= 2 * 30.0 * MIN_REQUESTS_PER_SECOND
    assert _most_in_a_window(times) <= _allowed(0.0)


def test_huge_limit_admits_everything() -> None:
    """Guards against a limit above the demand that costs requests."""
    times, counts = _replay(1e12, 11, demand=20.0)
    assert len(times) == counts[True][0] + counts[False][0]
