"""News of releases and rows, on its way to the peers."""

from __future__ import annotations

import json
import logging
from typing import TYPE_CHECKING

import trio

from radishshunt.documents import group_of
from radishshunt.errors import PeerUnavailable
from radishshunt.wire.messages import Announce

if TYPE_CHECKING:
    from radishshunt.directory import Directory
    from radishshunt.members import Members
    from radishshunt.peers import PeerNetwork

logger = logging.getLogger(__name__)

ANNOUNCEMENT = "news"
ANNOUNCE_TIMEOUT_SECONDS = 1.0
# News that arrives within this time goes out in one message to each peer.
ANNOUNCE_PAUSE_SECONDS = 0.05
ANNOUNCE_ROWS = 500

# For each row's name its generation, its dispatcher and the dispatcher's generation.
RowNews = dict[str, tuple[int, str, int]]


class Announcements:
    """Tells each peer once of each change; the peer fetches what it lacks.

    A message holds versions only, since a host hears of a change from up to all of its peers.
    """

    def __init__(self, directory: Directory, network: PeerNetwork, members: Members) -> None:
        self._directory = directory
        self._network = network
        self._members = members
        self._waiting: dict[str, dict[str, None]] = {}
        self._changed = trio.Event()
        self._releases: dict[str, int] = {}

    def note_release(self, peer: str, version: int) -> None:
        """Take which release a peer has."""
        self._releases[peer] = version

    def release_of(self, peer: str) -> int:
        """Return which release a peer is known to have, 0 for none."""
        return self._releases.get(peer, 0)

    def add(self, row: str | None, source: str) -> None:
        """Queue news for the peers.

        In a full mesh only the host where news arises passes it on; the others hear it from there,
        or from heartbeats.

        :param row: Name of a row, ``None`` for the release.
        :param source: Peer that the news came from, empty if it arose here.
        """
        if source and self._members.topology.full_mesh:
            return
        for peer in self._members.peers:
            if peer != source:
                rows = self._waiting.setdefault(peer, {})
                if row is not None:
                    rows[row] = None
        self._changed.set()

    async def run(self) -> None:
        """Send news until cancelled."""
        busy: set[str] = set()
        async with trio.open_nursery() as nursery:
            while True:
                await self._changed.wait()
                await trio.sleep(ANNOUNCE_PAUSE_SECONDS)
                self._changed = trio.Event()
                for peer in [p for p in self._waiting if p not in busy]:
                    busy.add(peer)
                    nursery.start_soon(self._send, peer, busy)

    async def _send(self, peer: str, busy: set[str]) -> None:
        """Tell a peer of news until there is none, or until it does not answer."""
        try:
            while peer in self._waiting:
                names = list(self._waiting.pop(peer))
                if len(names) > ANNOUNCE_ROWS:
                    self._waiting[peer] = dict.fromkeys(names[ANNOUNCE_ROWS:])
                rows = self._row_news(names[:ANNOUNCE_ROWS])
                version = self._directory.catalog.version
                if rows or self.release_of(peer) < version:
                    content = json.dumps(rows, separators=(",", ":")).encode()
                    msg = Announce(ANNOUNCEMENT, version, content)
                    await self._network.call(peer, msg, ANNOUNCE_TIMEOUT_SECONDS)
        except PeerUnavailable as exc:
            # The digests in heartbeats show what a peer has missed.
            logger.debug("telling %s of news: %s", peer, exc)
        finally:
            busy.discard(peer)

    def _row_news(self, names: list[str]) -> RowNews:
        news = {}
        for name in names:
            group = group_of(name)
            row = self._directory.rows.get(group)
            dispatcher = self._directory.dispatcher_of(group)
            if row is not None and dispatcher is not None:
                news[name] = (row.generation, dispatcher.host, dispatcher.generation)
        return news
