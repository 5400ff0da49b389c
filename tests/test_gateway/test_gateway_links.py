"""State updates between hosts, and when a host reads the store itself instead."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
import trio
import trio.testing

from radishshunt.clock import TrioClock
from radishshunt.gateway.follower import LONG_POLL_SECONDS, POLL_PAUSE_SECONDS
from radishshunt.gateway.key_maps import encode_key_map
from radishshunt.gateway.links import (
    MAX_UPDATE_AGE_SECONDS,
    UPDATE_INTERVAL_SECONDS,
    FrameReader,
    LinkClient,
    LinkServer,
)
from radishshunt.gateway.messages import StateUpdate
from radishshunt.gateway.model import LAST_KEY, KeyMap, KeyRange
from radishshunt.gateway.rows import Change, Row, Topic
from radishshunt.gateway.settings import HostSettings
from radishshunt.gateway.view import View
from radishshunt.platform.catalog import CatalogReader

# Time within which operators require a new configuration to be in force on all hosts.
APPLY_SECONDS = 2.0
# Response time of a slow store.
SLOW_RESPONSE_SECONDS = 0.4


@pytest.fixture
async def view() -> View:
    view = View(CatalogReader(), TrioClock())
    for topic in Topic:
        view.apply(Change(topic, (), 1, whole=True))
        view.mark_up_to_date(topic)
    return view


@pytest.fixture
async def link(view: View) -> LinkClient:
    cfg = HostSettings("host-2", "127.0.0.2", "munich", "", "", 1, 0, "")
    return LinkClient(cfg, view, lambda: None, lambda suspects: None)


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


async def test_updates_of_a_leader_with_a_slow_store_stay_fresh(autojump_clock, link) -> None:
    # Guards against all hosts reading a slow store at the same time.
    period = LONG_POLL_SECONDS + POLL_PAUSE_SECONDS + SLOW_RESPONSE_SECONDS
    assert period + UPDATE_INTERVAL_SECONDS < MAX_UPDATE_AGE_SECONDS
    for _ in range(5):
        await receive_updates(link, period, trio.current_time())
        assert link.fresh


async def test_age_is_that_of_the_topic_read_longest_ago(autojump_clock, view) -> None:
    # Guards against updates that seem recent because of the other topics while the read of one
    # topic hangs.
    await trio.sleep(1.0)
    view.mark_up_to_date(Topic.TARGETS)
    view.mark_up_to_date(Topic.OWN)
    assert view.followed_age == pytest.approx(1.0)
    view.mark_up_to_date(Topic.OPERATOR)
    assert view.followed_age == pytest.approx(0.0)


async def test_first_link_of_a_new_leader_gets_no_difference_to_an_older_row(
    autojump_clock, view
) -> None:
    # Guards against a link that closes immediately because its host gets a difference to a row that
    # was only sent to the links of an earlier term.
    cfg = HostSettings("host-1", "127.0.0.1", "munich", "", "", 1, 0, "")
    server = LinkServer(cfg, view, lambda: True, lambda report: None, tuple)
    client_view = View(CatalogReader(), TrioClock())
    client = LinkClient(cfg, client_view, lambda: None, lambda suspects: None)

    def write_row(version: int) -> None:
        value = encode_key_map(KeyMap((KeyRange(0, LAST_KEY, "t" * 2000, version, version),), 9))
        row = Row("keys/register", version, value)
        view.apply(Change(Topic.OWN, (row,), version, whole=False))

    async def connect_once(versions: list[int]) -> None:
        server_stream, client_stream = trio.testing.memory_stream_pair()
        server_stream.socket = client_stream.socket = SimpleNamespace(close=lambda: None)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server._serve, server_stream)
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
