"""Polling of the store, and the times that it tells of changes."""

from __future__ import annotations

import pytest
import trio

from radishshunt.clock import TrioClock
from radishshunt.gateway.follower import AT_ONCE_SECONDS, POLL_PAUSE_SECONDS, Follower
from radishshunt.gateway.rows import Change, Row, Topic
from radishshunt.gateway.settings import Bounds
from radishshunt.gateway.view import View
from radishshunt.platform.catalog import CatalogReader
from tests.test_gateway.conftest import MemoryStore, entry_value

ANSWER_SECONDS = 0.004


class _FeedStore(MemoryStore):
    """Store whose clock differs, and whose answers the host reads late at times.

    :ivar lateness: Seconds by which the host's process is late.
    """

    def __init__(self) -> None:
        super().__init__()
        self.lateness = 0.0
        self._entries: list[Row] = [Row("i-1", 1, entry_value())]
        self._changed = trio.Event()

    def drain(self, version: int) -> None:
        """Change the target's entry."""
        self._entries = [Row("i-1", version, entry_value(State="draining"))]
        self._changed.set()
        self._changed = trio.Event()

    async def read(self, topic: Topic) -> Change:
        return await self.changes(topic, 0, 0.0)

    async def changes(self, topic: Topic, after: int, wait_seconds: float) -> Change:
        with trio.move_on_after(wait_seconds):
            while not any(row.version > after for row in self._entries):
                await self._changed.wait()
        rows = tuple(row for row in self._entries if row.version > after)
        time_ms = trio.current_time() * 1000 + 5e6
        answer = Change(topic, rows, self._entries[0].version, after == 0, time_ms)
        await trio.sleep(ANSWER_SECONDS + self.lateness)
        return answer


@pytest.fixture
def store() -> _FeedStore:
    return _FeedStore()


@pytest.fixture
def following_view(nursery: trio.Nursery, store: _FeedStore) -> View:
    """View of a host that follows the targets in the store."""
    view = View(CatalogReader(), TrioClock())
    follower = Follower(Topic.TARGETS, view, store, lambda topic: True, Bounds)
    nursery.start_soon(follower.run)
    return view


async def test_change_during_a_call_counts_from_the_answer(
    autojump_clock: object, store: _FeedStore, following_view: View
) -> None:
    """Guards against targets that are refused before their keys can have moved."""
    await trio.sleep(POLL_PAUSE_SECONDS + 0.4)
    store.drain(2)
    left_at = following_view.clock.now()
    await trio.sleep(0.1)
    since = following_view.targets["i-1"].leaving_since
    assert since is not None
    assert left_at - AT_ONCE_SECONDS <= since <= left_at


async def test_change_between_two_calls_counts_from_the_first_one(
    autojump_clock: object, store: _FeedStore, following_view: View
) -> None:
    """Guards against a change that counts as later than it was."""
    read_at = following_view.clock.now()
    await trio.sleep(0.01)
    store.drain(2)
    left_at = following_view.clock.now()
    await trio.sleep(POLL_PAUSE_SECONDS + 0.1)
    since = following_view.targets["i-1"].leaving_since
    assert since is not None
    assert read_at <= since <= left_at


async def test_answer_that_is_read_late_makes_no_change_seem_newer(
    autojump_clock: object, store: _FeedStore, following_view: View
) -> None:
    """Guards against the lateness of a busy process that is added to the time of use."""
    await trio.sleep(0.1)
    store.lateness = 0.6
    await trio.sleep(1.0)
    # The host waits for an answer that the store has given already.
    store.drain(2)
    left_at = following_view.clock.now()
    await trio.sleep(2.5)
    since = following_view.targets["i-1"].leaving_since
    assert since is not None
    assert since <= left_at
