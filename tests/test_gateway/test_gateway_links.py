"""State updates between hosts, and when a host reads the store itself instead."""

from __future__ import annotations

import json
from dataclasses import replace
from types import SimpleNamespace

import pytest
import trio
import trio.testing

from radishshunt.clock import SystemClock, TrioClock
from radishshunt.errors import ProtocolError
from radishshunt.gateway.follower import POLL_PAUSE_SECONDS
from radishshunt.gateway.frames import FrameReader
from radishshunt.gateway.host_count import HostCount
from radishshunt.gateway.host_versions import HostVersions
from radishshunt.gateway.key_maps import encode_key_map
from radishshunt.gateway.leader_row import LEADER_KEY
from radishshunt.gateway.link_client import LinkClient
from radishshunt.gateway.link_server import (
    BACKUP_HOSTS,
    UPDATE_INTERVAL_SECONDS,
    LinkServer,
    choose_backups,
)
from radishshunt.gateway.messages import Hello, Report, StateUpdate, decode, encode
from radishshunt.gateway.model import LAST_KEY, KeyMap, KeyRange
from radishshunt.gateway.row_deltas import MIN_DELTA_ROW_BYTES
from radishshunt.gateway.rows import Change, Row, Topic
from radishshunt.gateway.settings import Bounds, HostSettings
from radishshunt.gateway.suspect_exchange import SuspectExchange
from radishshunt.gateway.view import View
from radishshunt.platform.catalog import CatalogReader
from radishshunt.quarantine import Quarantine
from radishshunt.util.remote_clock import RemoteClock
from tests.test_gateway.conftest import CONFIGURATION, entry_value

# Time within which operators require a new configuration to be in force on all hosts.
APPLY_SECONDS = 2.0
# Response time of a slow store.
SLOW_RESPONSE_SECONDS = 0.4


def _no_suspects() -> SuspectExchange:
    return SuspectExchange(Quarantine(), SystemClock())


@pytest.fixture
async def view() -> View:
    view = View(CatalogReader(), TrioClock())
    for topic in Topic:
        view.apply(Change(topic, (), 1, whole=True))
        view.freshness.record_read(topic, view.clock.now())
    return view


@pytest.fixture
async def link(view: View) -> LinkClient:
    cfg = HostSettings("host-2", "127.0.0.2", "munich", "", "", 1, 0, "")
    return LinkClient(cfg, view, lambda: None, _no_suspects())


async def receive_updates(link: LinkClient, seconds: float, store_responded_at: float) -> None:
    """Apply updates of a leader for some seconds.

    :param store_responded_at: Time of the store's last response to the leader, on trio's clock.
    """
    deadline = trio.current_time() + seconds
    while trio.current_time() < deadline:
        age = trio.current_time() - store_responded_at
        link.apply_update(StateUpdate(leading=True, followed_age=age, hosts=2))
        await trio.sleep(UPDATE_INTERVAL_SECONDS)


async def test_updates_of_a_leader_without_the_store_expire_in_time_for_a_configuration(
    autojump_clock, link
) -> None:
    # Guards against a configuration that no host applies in time, because the leader has lost its
    # connection to the store and the other hosts still consider its updates recent (seen on
    # trouble-1, seed 672607353443).
    disconnected_at = trio.current_time()
    await receive_updates(link, 0.1, disconnected_at)
    assert link.fresh
    async with trio.open_nursery() as nursery:
        nursery.start_soon(receive_updates, link, 5.0, disconnected_at)
        while link.fresh:
            await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
    assert trio.current_time() - disconnected_at + SLOW_RESPONSE_SECONDS <= APPLY_SECONDS


@pytest.mark.parametrize("apply_seconds", [2.0, 2.5, 3.0])
async def test_updates_of_a_leader_with_a_slow_store_stay_fresh(
    autojump_clock, link, apply_seconds: float
) -> None:
    # Guards against all hosts reading a slow store at the same time.
    bounds = Bounds(apply_seconds=apply_seconds, drain_seconds=apply_seconds)
    link.update_settings(replace(link._cfg, bounds=bounds))
    period = bounds.long_poll_seconds + POLL_PAUSE_SECONDS + SLOW_RESPONSE_SECONDS
    assert period + UPDATE_INTERVAL_SECONDS < bounds.max_state_age_seconds
    for _ in range(5):
        await receive_updates(link, period, trio.current_time())
        assert link.fresh


@pytest.mark.parametrize("lateness", [0.0, 0.4, 0.8])
async def test_target_whose_leaving_is_passed_on_late_is_not_used_for_longer(
    autojump_clock, link: LinkClient, view: View, lateness: float
) -> None:
    # Guards against requests to a leaving target more than 2 s after it left: the leader read the
    # store's answer late, but not so late that changes seemed to be missing.
    await receive_updates(link, 0.1, trio.current_time())
    left_at = view.clock.now()
    remote_clock = 500.0 - left_at
    await receive_updates(link, lateness, trio.current_time())
    rows = (
        Row("i-1", 2, entry_value()),
        Row("i-1", 3, entry_value(State="draining"), changed_after=left_at + remote_clock),
    )
    update = StateUpdate(
        leading=True,
        followed_age=0.0,
        hosts=2,
        changes=(Change(Topic.TARGETS, rows, 3, whole=False),),
        sent_at=view.clock.now() + remote_clock,
    )
    link._remote_clock = RemoteClock()
    link.apply_update(update)
    assert view.may_use(view.targets["i-1"], owner=True)
    while view.may_use(view.targets["i-1"], owner=True):
        await trio.sleep(0.01)
    assert view.clock.now() - left_at < 1.7


async def test_host_that_reads_updates_late_counts_them_from_when_they_were_sent(
    autojump_clock, link: LinkClient, view: View
) -> None:
    # Guards against a state that seems newer than it is, because this host's process was late.
    remote_clock = -900_000.0

    def update() -> StateUpdate:
        sent_at = view.clock.now() + remote_clock
        return StateUpdate(True, 0.0, 2, sent_at=sent_at, complete_until=sent_at)

    link.apply_update(update())
    await trio.sleep(0.2)
    late = update()
    sent_at = view.clock.now()
    await trio.sleep(0.5)
    link.apply_update(late)
    assert view.freshness.complete_until(Topic.TARGETS) == pytest.approx(sent_at)
    assert link.state_age == pytest.approx(0.5)


async def test_age_is_that_of_the_topic_read_longest_ago(autojump_clock, view) -> None:
    # Guards against updates that seem recent because of the other topics while the read of one
    # topic hangs.
    await trio.sleep(1.0)
    view.freshness.record_read(Topic.TARGETS, view.clock.now())
    view.freshness.record_read(Topic.OWN, view.clock.now())
    assert view.freshness.followed_age == pytest.approx(1.0)
    view.freshness.record_read(Topic.OPERATOR, view.clock.now())
    assert view.freshness.followed_age == pytest.approx(0.0)


async def test_first_link_of_a_new_leader_gets_no_difference_to_an_older_row(
    autojump_clock, view
) -> None:
    # Guards against a link that closes immediately because its host gets a difference to a row that
    # was only sent to the links of an earlier term.
    cfg = HostSettings("host-1", "127.0.0.1", "munich", "", "", 1, 0, "")
    server = LinkServer(cfg, view, lambda: True, lambda report: None, _no_suspects())
    client_view = View(CatalogReader(), TrioClock())
    client = LinkClient(cfg, client_view, lambda: None, _no_suspects())

    def write_row(version: int) -> None:
        value = encode_key_map(KeyMap((KeyRange(0, LAST_KEY, "t" * 2000, version, version),), 9))
        row = Row("keys/register", version, value)
        view.apply(Change(Topic.OWN, (row,), version, whole=False))

    async def connect_once(versions: list[int]) -> None:
        server_stream, client_stream = trio.testing.memory_stream_pair()
        server_stream.socket = client_stream.socket = SimpleNamespace(close=lambda: None)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server._serve, server_stream)
            await client_stream.send_all(encode(Report("host-2", {})))
            reader = FrameReader(client_stream)
            client.apply_update(await reader.read())
            for version in versions:
                write_row(version)
                while client_view.key_map_versions.get("register") != version:
                    client.apply_update(await reader.read())
            nursery.cancel_scope.cancel()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(server._send_updates)
        await connect_once([2, 3])
        write_row(4)
        await connect_once([5, 6])
        nursery.cancel_scope.cancel()
    assert client_view.key_map_versions["register"] == 6


async def _first_answer(server: LinkServer, hello: Hello) -> StateUpdate:
    """Return the first message that a host gets that connects to a server."""
    server_stream, client_stream = trio.testing.memory_stream_pair()
    server_stream.socket = client_stream.socket = SimpleNamespace(close=lambda: None)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server._serve, server_stream)
        await client_stream.send_all(encode(Report("host-2", {}, hello=hello)))
        msg = await FrameReader(client_stream).read()
        nursery.cancel_scope.cancel()
    assert isinstance(msg, StateUpdate)
    return msg


def _apply_leader(view: View) -> None:
    value = b'{"host": "host-9", "address": "127.0.0.9:1", "term": "t"}'
    view.apply(Change(Topic.OWN, (Row(LEADER_KEY, 5, value),), 5, whole=False))


async def test_starting_host_learns_the_leader_from_a_host_that_does_not_lead(
    autojump_clock, view
) -> None:
    # Guards against hundreds of hosts that all read the store when they start at the same time.
    _apply_leader(view)
    cfg = HostSettings("host-1", "127.0.0.1", "munich", "", "", 1, 0, "")
    server = LinkServer(cfg, view, lambda: False, lambda report: None, _no_suspects())
    server.backups = ("127.0.0.3:1",)
    hint = await _first_answer(server, Hello("127.0.0.2:1"))
    starting = View(CatalogReader(), TrioClock())
    client = LinkClient(cfg, starting, lambda: None, _no_suspects())
    client._apply_hint(hint)
    assert starting.leader.address == "127.0.0.9:1"
    assert client.backups == ("127.0.0.3:1",)
    # The hint is no complete state.
    assert not starting.complete
    assert not any(starting.versions.values())
    assert not client.fresh


def _key_map_row(version: int, owner: str) -> Row:
    """Return the row of a key map that is large enough to be sent as a delta."""
    ranges = [KeyRange(n * 1024, n * 1024 + 1023, f"i-{n}", 1, n + 1) for n in range(64)]
    ranges[0] = KeyRange(0, 1023, owner, 1, 100 + version)
    return Row("keys/register", version, encode_key_map(KeyMap(tuple(ranges), 200)))


async def _last_update_of_a_stopped_leader(topic: Topic, old: Row, new: Row) -> StateUpdate:
    """Return the update with a row that the leader wrote while it was told to stop."""
    leader_view = View(CatalogReader(), TrioClock())
    cfg = HostSettings("host-1", "127.0.0.1", "munich", "", "", 1, 0, "")
    leading = True
    server = LinkServer(cfg, leader_view, lambda: leading, lambda report: None, _no_suspects())
    server_stream, client_stream = trio.testing.memory_stream_pair()
    server_stream.socket = client_stream.socket = SimpleNamespace(close=lambda: None)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server._serve, server_stream)
        nursery.start_soon(server._send_updates)
        await client_stream.send_all(encode(Report("host-2", {})))
        reader = FrameReader(client_stream)
        await reader.read()
        for row in (old, new):
            leading = row is old
            leader_view.apply(Change(topic, (row,), row.version, whole=False))
            update = await reader.read()
            while not update.changes:
                update = await reader.read()
        nursery.cancel_scope.cancel()
    assert not update.leading
    return update


async def test_two_targets_do_not_hold_a_key_after_the_leader_stops_during_a_move(
    autojump_clock, view, link
) -> None:
    # Guards against a host that leads with the key map of before the last move, because it took
    # the delta in the last update of a leader that had just stopped for the whole row.
    old, new = _key_map_row(5, "i-old"), _key_map_row(6, "i-new")
    view.apply(Change(Topic.OWN, (old,), 5, whole=False))
    link._apply_hint(await _last_update_of_a_stopped_leader(Topic.OWN, old, new))
    # What a new leader reads from the store at the start of its term.
    view.apply(Change(Topic.OWN, (new,), 7, whole=True))
    assert view.find_key_range("register", 0).target == "i-new"
    assert view.key_map_versions["register"] == 6


async def test_configuration_in_the_last_update_of_a_stopped_leader_is_in_force(
    autojump_clock, view, link
) -> None:
    # Guards against a configuration that a host never applies, because it came as a delta in the
    # last update of a leader that had just stopped.
    resources = CONFIGURATION["Resources"] * 2
    old, new = (
        Row("config", n, json.dumps({"Version": n, "Resources": resources}).encode())
        for n in (8, 9)
    )
    assert len(new.value) >= MIN_DELTA_ROW_BYTES
    view.apply(Change(Topic.OPERATOR, (old,), 8, whole=False))
    link._apply_hint(await _last_update_of_a_stopped_leader(Topic.OPERATOR, old, new))
    assert view.cfg.version == 9


async def test_malformed_copy_of_a_row_does_not_hide_the_row_itself(autojump_clock, view) -> None:
    # Guards against a leader with an outdated key map, because it has seen its newest version in a
    # form that cannot be decoded.
    view.apply(Change(Topic.OWN, (_key_map_row(5, "i-old"),), 5, whole=False))
    view.apply(Change(Topic.OWN, (Row("keys/register", 6, b"\xff"),), 6, whole=False))
    view.apply(Change(Topic.OWN, (_key_map_row(6, "i-new"),), 7, whole=True))
    assert view.find_key_range("register", 0).target == "i-new"
    with pytest.raises(ProtocolError):
        view.apply(Change(Topic.OWN, (Row("keys/register", 8, b"x", base=6),), 8, whole=False))


async def test_host_follows_another_one_that_does_not_lead_but_knows_the_state(
    autojump_clock, view
) -> None:
    # Guards against every host reading the store while no host leads.
    cfg = HostSettings("host-1", "127.0.0.1", "munich", "", "", 1, 0, "")
    server = LinkServer(cfg, view, lambda: False, lambda report: None, _no_suspects())
    view.cfg = SimpleNamespace(version=1)
    hello = Hello("127.0.0.2:1", follow=True)
    assert all(change.whole for change in (await _first_answer(server, hello)).changes)
    await trio.sleep(2.0)
    # The state is too old to be passed on.
    assert (await _first_answer(server, hello)).followed_age == float("inf")


async def test_reconnecting_host_gets_only_what_changed(autojump_clock, view) -> None:
    # Guards against the whole state being sent to all hosts at each change of the leader.
    known = dict(view.versions)
    view.apply(Change(Topic.OWN, (Row("a", 3, b"1"), Row("b", 4, b"2")), 4, whole=False))
    view.apply(Change(Topic.OWN, (Row("a", 6, None),), 6, whole=False))
    other = View(CatalogReader(), TrioClock())
    for topic in Topic:
        other.apply(Change(topic, (), 1, whole=True))
    other.apply(Change(Topic.OWN, (Row("a", 3, b"1"),), 3, whole=False))
    changes = view.changes_since({**known, Topic.OWN: 3})
    assert [(row.key, row.version) for change in changes for row in change.rows] == [
        ("b", 4),
        ("a", 6),
    ]
    for change in changes:
        other.apply(change)
    assert other.rows == view.rows
    assert view.changes_since(view.versions) == ()


async def test_host_that_has_missed_a_forgotten_removal_gets_the_whole_topic(
    autojump_clock, view
) -> None:
    # Guards against a target that has left and stays in use at a host that was cut off for long.
    view.apply(Change(Topic.OWN, (Row("a", 3, b"1"),), 3, whole=False))
    view.apply(Change(Topic.OWN, (Row("a", 4, None),), 4, whole=False))
    await trio.sleep(60.0)
    view.forget_removed()
    view.apply(Change(Topic.OWN, (Row("b", 9, b"2"),), 9, whole=False))
    assert [change.whole for change in view.changes_since({**view.versions, Topic.OWN: 3})] == [
        True
    ]
    assert [c.whole for c in view.changes_since({**view.versions, Topic.OWN: 4})] == [False]


async def test_removed_row_is_not_in_use_again_by_an_older_version_of_it(
    autojump_clock, view
) -> None:
    # Guards against a target that has left and is used again, because another host lags behind.
    view.apply(Change(Topic.OWN, (Row("a", 3, b"1"),), 3, whole=False))
    view.apply(Change(Topic.OWN, (Row("a", 6, None),), 6, whole=False))
    view.apply(Change(Topic.OWN, (Row("a", 5, b"1"),), 5, whole=False))
    assert "a" not in view.rows[Topic.OWN]
    view.apply(Change(Topic.OWN, (Row("a", 7, b"2"),), 7, whole=False))
    assert view.rows[Topic.OWN]["a"].value == b"2"


def test_backups_are_strong_hosts_of_different_domains() -> None:
    # Guards against backups that the loss of one failure domain takes away together.
    hellos = [Hello(f"10.0.0.{n}:1", "abc"[n % 3], 1.0 if n < 6 else 0.4) for n in range(12)]
    backups = choose_backups(hellos)
    assert len(backups) == BACKUP_HOSTS
    chosen = [hello for hello in hellos if hello.address in backups]
    assert {hello.domain for hello in chosen} == {"a", "b", "c"}
    assert all(hello.capacity == 1.0 for hello in chosen)
    assert choose_backups(reversed(hellos)) == backups
    assert choose_backups(hellos[:2]) == ("10.0.0.0:1", "10.0.0.1:1")


def test_introduction_of_a_host_survives_encoding() -> None:
    # Guards against a reconnecting host that is taken for one without any state.
    hello = Hello("10.0.0.1:1", "munich", 0.5, True, {Topic.OWN: 7, Topic.TARGETS: 9})
    assert decode(encode(Report("host-1", {}, hello=hello))[4:]).hello == hello
    assert decode(encode(Report("host-1", {}))[4:]).hello is None
    update = StateUpdate(True, 0.0, 3, backups=("10.0.0.1:1",))
    assert decode(encode(update)[4:]).backups == ("10.0.0.1:1",)


async def test_new_leader_does_not_enlarge_the_part_of_each_host(autojump_clock) -> None:
    # Guards against budgets that are used twice, as a new leader has few links at first.
    count = HostCount(TrioClock())
    count.record(195)
    await trio.sleep(1.0)
    for hosts in (1, 4, 60):
        count.record(hosts)
        assert count.largest == 195
    for _ in range(40):
        await trio.sleep(0.2)
        count.record(60)
    assert count.largest == 60


async def test_host_that_lags_behind_is_named_once(autojump_clock) -> None:
    # Guards against operators who cannot tell which host still serves an older configuration.
    clock = TrioClock()
    versions = HostVersions(clock)
    for host in ("host-1", "host-2", "host-3"):
        versions.record(host, 7)
    changed_at = clock.now()
    versions.record("host-1", 8)
    assert versions.newly_behind(8, changed_at, 2.0) == {}
    await trio.sleep(2.5)
    versions.record("host-3", 8)
    assert versions.newly_behind(8, changed_at, 2.0) == {"host-2": 7}
    assert versions.newly_behind(8, changed_at, 2.0) == {}
    assert versions.document() == [
        {"host": "host-1", "configuration": 8, "seconds": 2.5},
        {"host": "host-2", "configuration": 7, "seconds": 2.5},
        {"host": "host-3", "configuration": 8, "seconds": 0.0},
    ]
    versions.remove("host-2")
    assert versions.newly_behind(9, changed_at, 2.0) == {"host-1": 8, "host-3": 8}
