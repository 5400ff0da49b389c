"""Follows the store's tables and keeps the host's view up to date."""

from __future__ import annotations

import logging
from random import Random
from typing import TYPE_CHECKING

import trio

from radishshunt.errors import PlatformUnavailable, ProtocolError
from radishshunt.gateway.rows import HistoryLost, Topic
from radishshunt.logs import decision
from radishshunt.util.backoff import Backoff

if TYPE_CHECKING:
    from collections.abc import Callable

    from radishshunt.gateway.rows import Change, RowStore
    from radishshunt.gateway.view import View

logger = logging.getLogger(__name__)

# A call waits this long for a change. With the pause, an answer of a slow store and the time
# between two messages of the leader, this stays below links.FRESH_SECONDS.
WAIT_SECONDS = 0.6
# A call that takes this much longer has met a silent connection; the next one uses another.
CONFIRM_SECONDS = 0.7
# Changes that come close to each other are fetched by one call.
PAUSE_SECONDS = 0.15
FIRST_PAUSE_SECONDS = 0.1
LARGEST_PAUSE_SECONDS = 0.8
IDLE_SECONDS = 0.05


class Follower:
    """Reads one topic from the store as long as that is needed.

    :param needed: Whether this host has to ask the store itself about a topic.
    """

    def __init__(
        self,
        topic: Topic,
        view: View,
        store: RowStore,
        needed: Callable[[Topic], bool],
        rng: Random | None = None,
    ) -> None:
        self._topic = topic
        self._view = view
        self._store = store
        self._needed = needed
        self._backoff = Backoff(FIRST_PAUSE_SECONDS, LARGEST_PAUSE_SECONDS, rng or Random())
        self._lost = False

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if self._view.versions[self._topic] and not self._needed(self._topic):
                await trio.sleep(IDLE_SECONDS)
                continue
            try:
                await self._step()
            except (PlatformUnavailable, ProtocolError) as exc:
                if not self._lost:
                    decision("store-lost", topic=self._topic.value, error=str(exc))
                self._lost = True
                await trio.sleep(self._backoff.next())
            else:
                if self._lost:
                    decision("store-regained", topic=self._topic.value)
                self._lost = False
                self._backoff.reset()
                await trio.sleep(PAUSE_SECONDS)

    async def _step(self) -> None:
        version = self._view.versions[self._topic]
        try:
            if version:
                change = await self._changes(version)
            else:
                change = await self._store.read(self._topic)
        except HistoryLost:
            decision("history-lost", topic=self._topic.value, version=version)
            change = await self._store.read(self._topic)
        self._view.store_answered()
        self._view.apply(change)
        self._view.followed(self._topic)

    async def _changes(self, version: int) -> Change:
        with trio.move_on_after(WAIT_SECONDS + CONFIRM_SECONDS):
            return await self._store.changes(self._topic, version, WAIT_SECONDS)
        raise PlatformUnavailable(f"no answer about {self._topic.value}")
