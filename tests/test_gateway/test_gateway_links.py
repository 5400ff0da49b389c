"""When a host stops relying on the leader's news and asks the store itself."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
import trio
import trio.testing

from radishshunt.clock import TrioClock
from radishshunt.gateway.follower import PAUSE_SECONDS, WAIT_SECONDS
from radishshunt.gateway.key_maps import encode_key_map
from radishshunt.gateway.links import (
    FRESH_SECONDS,
    NEWS_SECONDS,
    FrameReader,
    LinkClient,
    LinkServer,
)
from radishshunt.gateway.messages import News
from radishshunt.gateway.model import LAST_KEY, KeyMap, KeyRange
from radishshunt.gateway.rows import Change, Row, Topic
from radishshunt.gateway.settings import HostSettings
from radishshunt.gateway.view import View
from radishshunt.platform.catalog import CatalogReader

# Time after which a configuration has to be in force everywhere, from the operators' sheets.
APPLY_SECONDS = 2.0
# Answers of the store on its slow days.
SLOW_ANSWER_SECONDS = 0.4


@pytest.fixture
async def view() -> View:
    view = View(CatalogReader(), TrioClock())
    for topic in Topic:
        view.apply(Change(topic, (), 1, whole=True))
        view.followed(topic)
    return view


@pytest.fixture
async def link(view: View) -> LinkClient:
    cfg = HostSettings("host-2", "127.0.0.2", "munich", "", "", 1, 0, "")
    return LinkClient(cfg, view, lambda: None, lambda suspects: None)


async def hear(link: LinkClient, seconds: float, answered_at: float) -> None:
    """Let a leader send news whose store last answered at a moment on trio's clock."""
    deadline = trio.current_time() + seconds
    while trio.current_time() < deadline:
        age = trio.current_time() - answered_at
        link.take(News(leading=True, followed_age=age, hosts=2))
        await trio.sleep(NEWS_SECONDS)


async def test_leader_without_the_store_is_left_in_time_for_a_configuration(
    autojump_clock, link
) -> None:
    # Guards against a configuration that no host applies in time, since the leader is cut off from
    # the store while its news still seems recent (seen on trouble-1, seed 672607353443).
    cut_at = trio.current_time()
    await hear(link, 0.1, cut_at)
    assert link.fresh
    async with trio.open_nursery() as nursery:
        nursery.start_soon(hear, link, 5.0, cut_at)
        while link.fresh:
            await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
    assert trio.current_time() - cut_at + SLOW_ANSWER_SECONDS <= APPLY_SECONDS


async def test_leader_that_follows_a_slow_store_stays_the_source(autojump_clock, link) -> None:
    # Guards against all hosts asking a slow store at once.
    period = WAIT_SECONDS + PAUSE_SECONDS + SLOW_ANSWER_SECONDS
    assert period + NEWS_SECONDS < FRESH_SECONDS
    for _ in range(5):
        await hear(link, period, trio.current_time())
        assert link.fresh


async def test_silent_feed_of_one_topic_makes_the_news_old(autojump_clock, view) -> None:
    # Guards against one topic that hangs while answers about the others make the news seem recent.
    await trio.sleep(1.0)
    view.followed(Topic.TARGETS)
    view.followed(Topic.OWN)
    assert view.followed_age == pytest.approx(1.0)
    view.followed(Topic.OPERATOR)
    assert view.followed_age == pytest.approx(0.0)


async def test_first_link_of_a_new_leader_gets_no_difference_to_an_older_row(
    autojump_clock, view
) -> None:
    # Guards against links that end at once since their host was told a difference to a row that
    # only the links of an earlier term knew.
    cfg = HostSettings("host-1", "127.0.0.1", "munich", "", "", 1, 0, "")
    server = LinkServer(cfg, view, lambda: True, lambda report: None, tuple)
    other = View(CatalogReader(), TrioClock())
    client = LinkClient(cfg, other, lambda: None, lambda suspects: None)

    def write(version: int) -> None:
        value = encode_key_map(KeyMap((KeyRange(0, LAST_KEY, "t" * 2000, version, version),), 9))
        row = Row("keys/register", version, value)
        view.apply(Change(Topic.OWN, (row,), version, whole=False))

    async def link_once(versions: list[int]) -> None:
        ours, theirs = trio.testing.memory_stream_pair()
        ours.socket = theirs.socket = SimpleNamespace(close=lambda: None)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server._serve, ours)
            reader = FrameReader(theirs)
            client.take(await reader.read())
            for version in versions:
                write(version)
                while other.key_map_versions.get("register") != version:
                    client.take(await reader.read())
            nursery.cancel_scope.cancel()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(server._send_news)
        await link_once([2, 3])
        write(4)
        await link_once([5, 6])
        nursery.cancel_scope.cancel()
    assert other.key_map_versions["register"] == 6
