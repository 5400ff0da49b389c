"""News of releases and rows, on its way to the peers."""

from __future__ import annotations

import json
import logging
from collections import deque
from typing import TYPE_CHECKING

import trio

from radishshunt.documents import group_of, pack_rows
from radishshunt.errors import PeerUnavailable
from radishshunt.wire.messages import Announce

if TYPE_CHECKING:
    from radishshunt.directory import Directory
    from radishshunt.members import Members
    from radishshunt.peers import PeerNetwork

logger = logging.getLogger(__name__)

NEWS = "news"
ROWS = "rows"
ANNOUNCE_TIMEOUT_SECONDS = 1.0
# News that arrives within this time goes out in one message to each peer.
PASS_ON_SECONDS = 0.05
# Rows that this host has written wait longer in a large system, where a message for each of them
# would cost every host more than the rows do.
COLLECT_SECONDS = 0.5
ROWS_AT_ONCE = 64
# A row that is read from the platform is on its way from its writer as well. The readers tell of it
# only if it has not arrived from there after this time.
READER_DELAY_SECONDS = 1.0

# For each row's name its generation, its dispatcher and the dispatcher's generation.
DispatcherNews = dict[str, tuple[int, str, int]]


class _Waiting:
    """News that a peer has yet to hear."""

    def __init__(self) -> None:
        self.release = False
        self.dispatchers: dict[str, None] = {}
        self.rows: dict[str, None] = {}


class Announcements:
    """Tells other hosts of changes.

    A release and a takeover have to arrive soon and on every host, so all peers hear of them, by
    version and name only, and fetch what they lack. Rows change more often; they are sent whole
    along a tree, and digests in heartbeats show which of them were lost on the way.
    """

    def __init__(self, directory: Directory, network: PeerNetwork, members: Members) -> None:
        self._directory = directory
        self._network = network
        self._members = members
        self._waiting: dict[str, _Waiting] = {}
        self._changed = trio.Event()
        self._collect = False
        self._releases: dict[str, int] = {}
        # Latest generation of each row that was passed on, and rows to pass on at a time.
        self._passed_on: dict[str, int] = {}
        self._delayed: deque[tuple[float, str, int]] = deque()

    def note_release(self, peer: str, version: int) -> None:
        """Take which release a peer has."""
        self._releases[peer] = version

    def release_of(self, peer: str) -> int:
        """Return which release a peer is known to have, 0 for none."""
        return self._releases.get(peer, 0)

    def add_release(self, source: str) -> None:
        """Queue the release in force.

        :param source: Peer that the news came from, empty if it arose here.
        """
        for waiting in self._queues(self._members.peers, source):
            waiting.release = True

    def add_dispatcher(self, row: str, source: str) -> None:
        """Queue who dispatches a group.

        :param row: Name of the group's row.
        """
        for waiting in self._queues(self._members.peers, source):
            waiting.dispatchers[row] = None

    def add_row(self, row: str, generation: int, source: str) -> None:
        """Queue a row, unless that generation of it was queued before."""
        if generation <= self._passed_on.get(row, -1):
            return
        self._passed_on[row] = generation
        self._collect = not source
        for waiting in self._queues(self._members.tree, source):
            waiting.rows[row] = None

    def add_row_later(self, row: str, generation: int) -> None:
        """Queue a row that was read from the platform, unless it arrives from a peer first."""
        self._delayed.append((trio.current_time() + READER_DELAY_SECONDS, row, generation))

    async def run(self) -> None:
        """Send news until cancelled."""
        busy: set[str] = set()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_delayed)
            while True:
                await self._changed.wait()
                large = not self._members.topology.full_mesh
                await trio.sleep(COLLECT_SECONDS if self._collect and large else PASS_ON_SECONDS)
                self._changed = trio.Event()
                self._collect = False
                for peer in [p for p in self._waiting if p not in busy]:
                    busy.add(peer)
                    nursery.start_soon(self._send, peer, busy)

    async def _run_delayed(self) -> None:
        while True:
            while self._delayed and self._delayed[0][0] <= trio.current_time():
                _, row, generation = self._delayed.popleft()
                self.add_row(row, generation, "")
            await trio.sleep(READER_DELAY_SECONDS / 4)

    def _queues(self, peers: tuple[str, ...], source: str) -> list[_Waiting]:
        """Return the queues of the peers that news goes to.

        In a full mesh only the host where news arises passes it on; the others hear it from there,
        or from heartbeats.
        """
        if source and self._members.topology.full_mesh:
            return []
        self._changed.set()
        return [self._waiting.setdefault(peer, _Waiting()) for peer in peers if peer != source]

    async def _send(self, peer: str, busy: set[str]) -> None:
        """Tell a peer of news until there is none, or until it does not answer."""
        try:
            while peer in self._waiting:
                waiting = self._waiting.pop(peer)
                version = self._directory.catalog.version
                news = self._dispatcher_news(waiting.dispatchers)
                if news or (waiting.release and self.release_of(peer) < version):
                    content = json.dumps(news, separators=(",", ":")).encode()
                    await self._call(peer, Announce(NEWS, version, content))
                rows = [self._directory.rows.get(group_of(name)) for name in waiting.rows]
                known = [row for row in rows if row is not None]
                for start in range(0, len(known), ROWS_AT_ONCE):
                    content = pack_rows(known[start : start + ROWS_AT_ONCE])
                    await self._call(peer, Announce(ROWS, version, content))
        except PeerUnavailable as exc:
            logger.debug("telling %s of news: %s", peer, exc)
        finally:
            busy.discard(peer)

    async def _call(self, peer: str, msg: Announce) -> None:
        await self._network.call(peer, msg, ANNOUNCE_TIMEOUT_SECONDS)

    def _dispatcher_news(self, names: dict[str, None]) -> DispatcherNews:
        news = {}
        for name in names:
            group = group_of(name)
            row = self._directory.rows.get(group)
            dispatcher = self._directory.dispatcher_of(group)
            if row is not None and dispatcher is not None:
                news[name] = (row.generation, dispatcher.host, dispatcher.generation)
        return news
