"""Tokens of all hosts for a cold target, in replays of hosts and their leader."""

from __future__ import annotations

import pytest

from radishshunt.gateway.cold_shares import cold_quota
from tests.support.shares_replay import SharesReplay

# Numbers of hosts, and the requests per second that a cold target takes there.
DEPLOYMENTS = [(67, 15.8), (195, 20.5), (300, 20.5)]
SECONDS = 5.0


def _replay(hosts: int, limit: float, seed: int, **options: object) -> SharesReplay:
    replay = SharesReplay(cold_quota(limit), hosts, seed=seed, **options)
    for host in replay.hosts:
        # The first request asks the leader.
        host.contact.until = 1.0
    return replay


@pytest.mark.parametrize("demand", [5.0, 8.0, 12.0, 20.0, 60.0, 200.0])
@pytest.mark.parametrize(("hosts", "limit"), DEPLOYMENTS)
def test_cold_target_gets_no_more_than_its_limit_in_any_second(
    hosts: int, limit: float, demand: float
) -> None:
    """Guards against a flood by hosts that each send what is little for one host."""
    for seed in range(5):
        outcome = _replay(hosts, limit, seed).run(lambda _: demand, SECONDS)
        assert 0 < outcome.most_in_a_window(1.0) <= limit


@pytest.mark.parametrize(("hosts", "limit"), DEPLOYMENTS)
def test_demand_below_the_limit_of_a_cold_target_is_mostly_served(hosts: int, limit: float) -> None:
    """Guards against a limit that refuses what the cold target could take."""
    demand = limit / 3
    served = [
        _replay(hosts, limit, seed).run(lambda _: demand, SECONDS).served(1.0) for seed in range(5)
    ]
    assert min(served) > 0.7


@pytest.mark.parametrize("leaderless", [(1.0, 3.5), (0.2, 2.7), (2.0, 2.4)])
@pytest.mark.parametrize(("hosts", "limit"), DEPLOYMENTS)
def test_cold_target_is_not_flooded_while_the_leader_changes(
    hosts: int, limit: float, leaderless: tuple[float, float]
) -> None:
    """Guards against hosts that all use shares of their own, or tokens of two leaders."""
    for seed in range(5):
        replay = _replay(hosts, limit, seed, leaderless=leaderless)
        assert replay.run(lambda _: 60.0, SECONDS).most_in_a_window(1.0) <= limit


@pytest.mark.parametrize(("hosts", "limit"), DEPLOYMENTS)
def test_cold_target_is_not_flooded_by_a_domain_without_the_leader(
    hosts: int, limit: float
) -> None:
    """Guards against hosts of a domain that is cut off and comes back."""
    cut = (range(hosts // 3), 0.5, 3.0)
    for seed in range(5):
        replay = _replay(hosts, limit, seed, cuts=(cut,))
        assert replay.run(lambda _: 60.0, SECONDS).most_in_a_window(1.0) <= limit
