"""Polling of the store's tables, which keeps a host's view up to date."""

from __future__ import annotations

import logging
from random import Random
from typing import TYPE_CHECKING

import trio

from radishshunt.errors import PlatformUnavailable, ProtocolError
from radishshunt.gateway.rows import HistoryLost, Topic, restore_count
from radishshunt.logs import decision
from radishshunt.util.backoff import Backoff
from radishshunt.util.remote_clock import RemoteClock

if TYPE_CHECKING:
    from collections.abc import Callable

    from radishshunt.gateway.rows import Change, RowStore
    from radishshunt.gateway.settings import Bounds
    from radishshunt.gateway.view import View

logger = logging.getLogger(__name__)

# A call that takes this much longer is on an unresponsive connection and is abandoned; the next
# call uses another connection.
CALL_MARGIN_SECONDS = 0.7
# Pause between calls, so that changes in quick succession are fetched by one call.
POLL_PAUSE_SECONDS = 0.15
MIN_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 0.8
NEED_CHECK_SECONDS = 0.1
# A call that waits for changes and is answered later than this found none when it arrived.
AT_ONCE_SECONDS = 0.05


class Follower:
    """Polls one topic of the store while that is needed.

    :param needed: Returns whether this host has to poll a topic itself.
    :param bounds: Returns the bounds in force.
    """

    def __init__(
        self,
        topic: Topic,
        view: View,
        store: RowStore,
        needed: Callable[[Topic], bool],
        bounds: Callable[[], Bounds],
        rng: Random | None = None,
    ) -> None:
        self._topic = topic
        self._view = view
        self._store = store
        self._needed = needed
        self._bounds = bounds
        self._backoff = Backoff(MIN_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS, rng or Random())
        self._store_lost = False
        # Restores of the store up to which this host has itself read the whole topic.
        self._read_restores = 0
        self._store_clock = RemoteClock()

    async def run(self) -> None:
        """Poll until cancelled."""
        wait_seconds = 0.0
        while True:
            if not self._needed(self._topic):
                # The first call after a pause is answered at once, so that the state is known to be
                # complete although nothing has changed.
                wait_seconds = 0.0
                await trio.sleep(NEED_CHECK_SECONDS)
                continue
            try:
                await self._fetch(wait_seconds)
            except (PlatformUnavailable, ProtocolError) as exc:
                if not self._store_lost:
                    decision("store-lost", topic=self._topic.value, error=str(exc))
                self._store_lost = True
                await trio.sleep(self._backoff.next_delay())
            else:
                if self._store_lost:
                    decision("store-regained", topic=self._topic.value)
                self._store_lost = False
                wait_seconds = self._bounds().long_poll_seconds
                self._backoff.reset()
                await trio.sleep(POLL_PAUSE_SECONDS)

    async def _fetch(self, wait_seconds: float) -> None:
        started_at = self._view.clock.now()
        complete_until = self._view.freshness.complete_until(self._topic)
        version = self._view.versions[self._topic]
        try:
            if version and not self._missed_restore(version):
                change = await self._poll(version, wait_seconds)
            else:
                change = await self._store.read(self._topic)
        except HistoryLost:
            decision("history-lost", topic=self._topic.value, version=version)
            change = await self._store.read(self._topic)
        self._view.record_store_answer()
        read_at = self._read_time(change, started_at)
        if wait_seconds and not change.whole and read_at - started_at > AT_ONCE_SECONDS:
            # The store had nothing to return until now.
            complete_until = max(complete_until, read_at - AT_ONCE_SECONDS)
        self._view.apply(change.with_rows_changed_after(complete_until))
        self._read_restores = restore_count(change.version)
        if self._read_restores == restore_count(self._view.versions[self._topic]):
            self._view.freshness.record_read(self._topic, read_at)
            if self._topic is Topic.OPERATOR:
                self._view.confirmation.confirm(started_at)

    def _read_time(self, change: Change, started_at: float) -> float:
        """Return the time on the host's clock at which the store read a change.

        :param started_at: Time at which the call was sent.
        """
        now = self._view.clock.now()
        if not change.time_ms:
            return now
        return self._store_clock.local_time(change.time_ms / 1000, now, sent_after=started_at)

    def _missed_restore(self, version: int) -> bool:
        """Return whether only a host that this one followed has compared its rows with the copy."""
        restores = restore_count(version)
        first_restores = restore_count(self._view.first_versions[self._topic])
        return self._read_restores != restores and restores > min(first_restores, 1)

    async def _poll(self, version: int, wait_seconds: float) -> Change:
        with trio.move_on_after(wait_seconds + CALL_MARGIN_SECONDS):
            return await self._store.changes(self._topic, version, wait_seconds)
        raise PlatformUnavailable(
            f"the store did not answer a call for topic {self._topic.value} in time"
        )
