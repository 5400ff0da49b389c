"""Leases between a host and the leader without a network."""

from __future__ import annotations

from random import Random

import pytest
import trio

from radishshunt.clock import TrioClock
from radishshunt.gateway.host_count import HostCount
from radishshunt.gateway.messages import AllowanceDemand, Report
from radishshunt.gateway.report_answers import UnansweredReport
from radishshunt.policy.shares import Quota
from radishshunt.shares.host_shares import HostShares, ShareRefusal, ShareToken
from radishshunt.shares.leader_shares import LeaderShares

QUOTA = Quota(10.0, 10.0)
NAME = "workspace/fairs"


class _Pair:
    """A host and its leader.

    :ivar term: Identifier of the leader's term.
    """

    def __init__(self) -> None:
        self.term = "t1"
        self.clock = TrioClock()
        self.quotas = {NAME: QUOTA}
        self.host = HostShares(self.clock, lambda: 2, Random(1))
        hosts = HostCount(self.clock)
        hosts.record(2)
        self.leader = LeaderShares(self.clock, self.quotas.get, lambda: self.term, hosts)

    def exchange(self) -> float:
        """Let the leader answer a report, and return the tokens that it grants."""
        now = self.clock.now()
        self.leader.record_report("edge-1")
        self.leader.record_report("edge-2")
        grants = self.leader.grant_tokens("edge-1", self.host.next_demands(now))
        self.host.add_grants(grants, now, leading=True)
        return sum(grant.tokens for grant in grants)

    async def acquire(self) -> ShareToken | ShareRefusal:
        return await self.host.acquire(NAME, QUOTA, trio.current_time() + 1.0)

    async def fill(self) -> None:
        """Bring the host into contact, and tokens into the leader's bucket."""
        await self.acquire()
        self.exchange()
        await trio.sleep(0.9)


@pytest.fixture
async def pair(autojump_clock: object) -> _Pair:
    """Return a host and its leader that use trio's clock."""
    return _Pair()


async def test_first_request_asks_at_once(pair: _Pair) -> None:
    """Guards against first requests that wait for the next regular report."""
    await pair.fill()
    results: list[object] = []

    async def request() -> None:
        results.append(await pair.acquire())

    async with trio.open_nursery() as nursery:
        nursery.start_soon(request)
        nursery.start_soon(request)
        with trio.fail_after(0.01):
            await pair.host.wait_until_urgent()
        await trio.sleep(0.02)
        assert pair.exchange() >= 2
    assert [type(result) for result in results] == [ShareToken, ShareToken]


async def test_request_is_refused_without_an_answer(pair: _Pair) -> None:
    """Guards against requests that wait for a silent leader until their deadline."""
    await pair.fill()
    started_at = trio.current_time()
    result = await pair.acquire()
    assert isinstance(result, ShareRefusal)
    assert result.waited
    assert trio.current_time() - started_at <= 0.26


async def test_given_up_request_wants_no_token(pair: _Pair) -> None:
    """Guards against tokens for callers that have left."""
    await pair.fill()
    with trio.move_on_after(0.05):
        await pair.acquire()
    assert pair.exchange() == 0
    with trio.move_on_after(0.2):
        assert isinstance(await pair.acquire(), ShareRefusal)


async def test_late_answer_and_answer_of_a_backup_grant_nothing(pair: _Pair) -> None:
    """Guards against leases beside the safe share, and against tokens of a host without a lease."""
    await pair.fill()
    with trio.move_on_after(0.01):
        await pair.acquire()
    sent_at = pair.clock.now()
    grants = pair.leader.grant_tokens("edge-1", (AllowanceDemand(NAME, 3.0),))
    assert grants
    pair.host.next_demands(sent_at)
    await trio.sleep(1.1)
    pair.host.add_grants(grants, sent_at, leading=True)
    assert pair.host.held(NAME) == 0
    pair.host.next_demands(pair.clock.now())
    pair.host.add_grants(grants, pair.clock.now(), leading=False)
    assert pair.host.held(NAME) == 0


async def test_new_term_starts_with_empty_buckets(pair: _Pair) -> None:
    """Guards against two bursts, one of each leader."""
    await pair.fill()
    demands = (AllowanceDemand(NAME, 5.0),)
    assert pair.leader.grant_tokens("edge-2", demands)
    pair.term = "t2"
    assert not pair.leader.grant_tokens("edge-2", demands)
    unknown = (AllowanceDemand("workspace/other", 5.0), AllowanceDemand("", 5.0))
    assert not pair.leader.grant_tokens("edge-2", unknown)
    await trio.sleep(1.0)
    pair.leader.record_report("edge-2")
    assert pair.leader.grant_tokens("edge-2", demands)[0].tokens == 5


def test_unanswered_reports_keep_what_hosts_hold() -> None:
    """Guards against returned tokens that are lost or counted as held on top."""
    unanswered = UnansweredReport()
    for number, demand in enumerate(
        (AllowanceDemand(NAME, 2.0, 3.0, 5.0), AllowanceDemand(NAME, 1.0, 1.0, 4.0)), start=1
    ):
        unanswered.record(Report("edge-1", {}, number=number, demands=(demand,)))
    assert unanswered.take() == (2, (AllowanceDemand(NAME, 1.0, 4.0, 4.0),))


async def test_seldom_used_allowance_falls_back_to_the_safe_share_without_a_leader(
    autojump_clock: object,
) -> None:
    """Guards against requests that all wait for a leader that nobody hears, and are refused."""
    shares = HostShares(TrioClock(), lambda: 4, Random(1))
    quota = Quota(rate=40.0, burst=0.0, slack=20.0)
    waits, admitted = [], 0
    for _ in range(40):
        asked_at = trio.current_time()
        result = await shares.acquire("cold/1/i-1", quota, asked_at + 1.0, ask_first=True)
        waits.append(trio.current_time() - asked_at)
        admitted += isinstance(result, ShareToken)
        await trio.sleep(0.1)
    assert max(waits) <= 0.26
    assert sum(waits) / len(waits) < 0.1
    assert admitted >= 10
