"""Tests of takeover, hand-over and the agreement not to take over."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest
from trio.testing import wait_all_tasks_blocked

from radishshunt.clock import Clock
from radishshunt.directory import Directory
from radishshunt.dispatch.takeover import DISPATCH_LEASE_SECONDS, HAND_OVER, HOLD, Takeover
from radishshunt.errors import PeerUnavailable
from radishshunt.model import GroupId, GroupRow, HostInfo, HostRef
from radishshunt.release.catalog import Catalog, DomainState, ServiceSpec
from radishshunt.wire.messages import Acknowledge, Notice

GROUP = GroupId("permits", 0)
DISPATCHER, STANDBY = HostRef("host-01", 1), HostRef("host-02", 2)
NOW = 1000.0


class FixedClock(Clock):
    """Clock whose time a test sets."""

    def __init__(self) -> None:
        self.time = NOW

    def now(self) -> float:
        return self.time


@dataclass
class FakeGrants:
    """Grants of a group that record which other hosts are reported as stopped."""

    latest_deadline: float = NOW + 1.2
    paused: bool = False
    stop_calls: list = field(default_factory=list)

    def on_other_dispatchers_stopped(self, deadline, deadline_of=None, *, only_row=False) -> None:
        self.stop_calls.append((deadline, only_row))


class FakeGroup:
    """Stand-in for the dispatcher of a group without targets."""

    def __init__(self, row: GroupRow, generation: int) -> None:
        self.row, self.group, self.generation = row, row.group, generation
        self.grants = FakeGrants()
        self.grant_seconds, self.needs_lease, self.deposed = 1.2, False, False
        self.targets_without_fencing = frozenset()


class FakeDispatch:
    """Dispatch manager that starts fake dispatchers."""

    def __init__(self) -> None:
        self.groups, self.ended_generations = {}, {}
        self.lease_end, self.on_row_replaced = None, None

    def start(self, row, generation, _reason):
        self.groups[row.group] = FakeGroup(row, generation)
        return self.groups[row.group]

    def stop(self, group, _reason) -> None:
        self.ended_generations[group] = (self.groups.pop(group).generation, NOW)


class FakeMembership:
    """Membership whose hosts and answers a test sets."""

    def __init__(self) -> None:
        self.incarnations = {"host-01": 1, "host-02": 2}
        self.confirmed = True
        self.last_answer_at = NOW

    def live_hosts(self):
        return [HostInfo(h, "d", "a", incarnation=i) for h, i in sorted(self.incarnations.items())]

    def is_live(self, host):
        return host in self.incarnations

    def heard_at(self, _host):
        return NOW

    def confirmed_sent_at(self, _host):
        return self.last_answer_at

    async def confirm_lost(self, _host):
        return self.confirmed


class FakeNetwork:
    """Network that answers notices as configured by a test."""

    def __init__(self) -> None:
        self.hosts = {"host-01": None, "host-02": None, "host-03": None}
        self.accepts, self.sent = True, []

    def register(self, _message, handler) -> None:
        self.handler = handler

    async def call(self, host, msg, _timeout):
        self.sent.append((host, msg.kind))
        if self.accepts is None:
            raise PeerUnavailable("gone", may_have_arrived=True)
        return Acknowledge(self.accepts)


class TakeoverFixture:
    """Takeover task of a host, with fake or minimal versions of all its dependencies."""

    def __init__(self, host_ref: HostRef) -> None:
        self.clock, self.directory = FixedClock(), Directory()
        catalog = Catalog(
            1, "", {"d": DomainState.IN}, {"permits": ServiceSpec("permits", keyed=True)}
        )
        self.directory.update_catalog(catalog)
        self.row = GroupRow(GROUP, 4, DISPATCHER, STANDBY, ())
        self.directory.update_row(self.row)
        self.dispatch, self.membership = FakeDispatch(), FakeMembership()
        self.network = FakeNetwork()
        self.takeover = Takeover(
            host_ref,
            self.directory,
            self.dispatch,
            self.membership,
            self.network,
            self.clock,
            self.refresh,
        )
        self.newer: GroupRow | None = None

    async def refresh(self, _group: GroupId) -> None:
        if self.newer is not None:
            self.directory.update_row(self.newer)

    async def receive(self, kind: str, generation: int = 4, sender: str = "host-01") -> bool:
        class Conn:
            peer_name = sender

        class Stream:
            async def send(self, msg) -> None:
                self.answer = msg.accepted

        stream = Stream()
        notice = Notice(kind, GROUP.service, GROUP.group, generation, NOW + 1.2)
        await self.network.handler(Conn(), stream, notice)
        return stream.answer


@pytest.fixture
def standby() -> TakeoverFixture:
    return TakeoverFixture(STANDBY)


@pytest.fixture
def dispatcher() -> TakeoverFixture:
    setup = TakeoverFixture(DISPATCHER)
    setup.dispatch.start(setup.row, 4, "")
    return setup


async def test_confirmed_loss_leads_to_the_standby_generation(standby) -> None:
    # Guards against a standby dispatcher that takes over under the generation of the dispatcher.
    del standby.membership.incarnations["host-01"]
    await standby.takeover._take_over_if_lost("host-01", [standby.row])
    assert standby.dispatch.groups[GROUP].generation == 5


async def test_loss_that_others_do_not_confirm_leads_to_nothing(standby) -> None:
    # Guards against a takeover from a live dispatcher during a network partition between two
    # hosts.
    del standby.membership.incarnations["host-01"]
    standby.membership.confirmed = False
    await standby.takeover._take_over_if_lost("host-01", [standby.row])
    assert not standby.dispatch.groups


async def test_host_that_agreed_to_hold_does_not_take_over(standby) -> None:
    # Guards against a grant to a target that the dispatcher's next row leaves unfenced.
    assert await standby.receive(HOLD)
    del standby.membership.incarnations["host-01"]
    await standby.takeover._take_over_if_lost("host-01", [standby.row])
    assert not standby.dispatch.groups
    assert not await standby.receive(HAND_OVER)


async def test_host_that_took_over_does_not_agree_to_hold(standby) -> None:
    # Guards against two hosts that issue grants for the same group.
    standby.dispatch.start(standby.row, 5, "")
    assert not await standby.receive(HOLD)
    standby.dispatch.stop(GROUP, "")
    assert not await standby.receive(HOLD)


async def test_hand_over_is_taken_only_from_the_rows_dispatcher(standby) -> None:
    # Guards against accepting a delayed hand-over of an earlier row, or one from another host.
    assert not await standby.receive(HAND_OVER, generation=2)
    assert not await standby.receive(HAND_OVER, sender="host-03")
    assert await standby.receive(HAND_OVER)
    group = standby.dispatch.groups[GROUP]
    assert group.generation == 5
    assert group.grants.stop_calls == [(NOW + 1.2, True)]


async def test_hand_over_ends_the_generation_here(dispatcher) -> None:
    # Guards against a stopping host that continues to issue grants after its hand-over.
    await dispatcher.takeover.hand_over_all()
    assert dispatcher.network.sent == [("host-02", HAND_OVER)]
    assert dispatcher.dispatch.ended_generations[GROUP][0] == 4
    assert dispatcher.directory.dispatcher_of(GROUP).host == "host-02"


async def test_refused_hand_over_lets_the_host_go_on(dispatcher) -> None:
    # Guards against a group without a dispatcher although its host still runs.
    dispatcher.network.accepts = False
    await dispatcher.takeover.hand_over_all()
    assert GROUP in dispatcher.dispatch.groups
    assert not dispatcher.dispatch.groups[GROUP].grants.paused


async def test_hand_over_without_an_answer_ends_the_generation_here(dispatcher) -> None:
    # Guards against two owners: the standby dispatcher may have received the notice and taken
    # over, relying on the grant deadline in it.
    dispatcher.network.accepts = None
    await dispatcher.takeover.hand_over_all()
    assert dispatcher.dispatch.ended_generations[GROUP][0] == 4


async def test_restarted_standby_needs_no_agreement_after_its_grants_expired(dispatcher) -> None:
    # Guards against waiting for the agreement of an ended incarnation, and against ignoring the
    # last grants that it issued.
    dispatcher.membership.incarnations["host-02"] = 99
    assert not await dispatcher.takeover.ask_not_to_take_over(dispatcher.row)
    dispatcher.clock.time += 2.0
    assert await dispatcher.takeover.ask_not_to_take_over(dispatcher.row)
    assert dispatcher.network.sent == []


@pytest.mark.parametrize("replaced", [False, True])
async def test_former_hosts_that_have_all_ended_settle_a_row(dispatcher, nursery, replaced) -> None:
    # Guards against slices that wait for a lost target although no host can grant to it any more,
    # and against a host that has missed a later row and issues grants without fences.
    dispatcher.takeover._nursery = nursery
    former = (HostRef("host-01", 77), HostRef("host-03", 3))
    dispatcher.membership.incarnations["host-03"] = 3
    row = GroupRow(GROUP, 6, DISPATCHER, STANDBY, (), {}, {"a": (1,)}, former)
    dispatcher.directory.update_row(row)
    if replaced:
        dispatcher.newer = GroupRow(GROUP, 8, STANDBY, DISPATCHER, ())
    running = dispatcher.dispatch.start(row, 6, "")
    dispatcher.takeover._check_former_hosts(row, running)
    assert running.grants.stop_calls == []
    dispatcher.membership.incarnations["host-03"] = 4
    dispatcher.takeover._check_former_hosts(row, running)
    await wait_all_tasks_blocked()
    assert running.grants.stop_calls == ([] if replaced else [(NOW + 1.2, False)])


async def test_lease_ends_with_the_answers_and_with_a_takeover(dispatcher) -> None:
    # Guards against two hosts that send requests to a target that checks no fences.
    assert dispatcher.takeover.lease_end(dispatcher.row) == NOW + DISPATCH_LEASE_SECONDS
    assert await dispatcher.receive("taken-over", generation=5, sender="host-02")
    assert dispatcher.takeover.lease_end(dispatcher.row) == 0.0
