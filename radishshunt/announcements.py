"""Announcements of releases, dispatchers and rows to peers."""

from __future__ import annotations

import json
import logging
from collections import deque
from typing import TYPE_CHECKING

import trio

from radishshunt.documents import pack_rows, parse_row_name
from radishshunt.errors import PeerUnavailable
from radishshunt.wire.messages import Announce

if TYPE_CHECKING:
    from radishshunt.directory import Directory
    from radishshunt.members import Members
    from radishshunt.peers import PeerNetwork

logger = logging.getLogger(__name__)

DISPATCHER_UPDATES = "news"
ROWS = "rows"
ANNOUNCE_TIMEOUT_SECONDS = 1.0
# Updates that are queued within this time are sent to each peer in one message.
BATCH_SECONDS = 0.05
# Outside a full mesh, rows that did not come from a peer are batched for longer, because the
# overhead of one message per row would exceed the size of the rows.
OWN_ROWS_BATCH_SECONDS = 0.5
ROWS_PER_ANNOUNCEMENT = 64
# The host that wrote a row announces it. A host that reads the row from the platform waits this
# long and announces it only if it has not received it from a peer by then.
READER_DELAY_SECONDS = 1.0

# Maps the name of a row to its generation, its dispatcher and the generation of the dispatcher.
DispatcherUpdates = dict[str, tuple[int, str, int]]


class _PeerQueue:
    """Updates that are waiting to be sent to a peer.

    :ivar release: Whether to send the version of the release in force.
    :ivar dispatchers: Names of the rows whose dispatchers to send, in the order of arrival.
    :ivar rows: Names of the rows to send, in the order of arrival.
    """

    def __init__(self) -> None:
        self.release = False
        self.dispatchers: dict[str, None] = {}
        self.rows: dict[str, None] = {}


class Announcements:
    """Announces changes to other hosts.

    Releases and takeovers have to reach every host soon, so they are announced to all peers. A
    release is announced by its version only, and peers fetch what they lack. The announcement of a
    takeover contains the new dispatcher. Rows change more often; they are sent whole along a tree,
    and the digests in heartbeats reveal rows that were lost on the way.
    """

    def __init__(self, directory: Directory, network: PeerNetwork, members: Members) -> None:
        self._directory = directory
        self._network = network
        self._members = members
        self._peer_queues: dict[str, _PeerQueue] = {}
        self._changed = trio.Event()
        self._last_row_is_own = False
        self._peer_releases: dict[str, int] = {}
        # Latest generation of each row that was queued.
        self._queued_generations: dict[str, int] = {}
        # Rows to queue later: the time, by trio's clock, the name and the generation.
        self._delayed_rows: deque[tuple[float, str, int]] = deque()

    def record_release(self, peer: str, version: int) -> None:
        """Record the version of the release that a peer has."""
        self._peer_releases[peer] = version

    def release_of(self, peer: str) -> int:
        """Return the version of the release that a peer is known to have, 0 for none."""
        return self._peer_releases.get(peer, 0)

    def add_release(self, source: str) -> None:
        """Queue the version of the release in force.

        :param source: Peer that announced the release, empty if it does not come from a peer.
        """
        for queue in self._queues_for(self._members.peers, source):
            queue.release = True

    def add_dispatcher(self, row: str, source: str) -> None:
        """Queue the dispatcher of a group.

        :param row: Name of the group's row.
        :param source: Peer that announced the dispatcher, empty if it does not come from a peer.
        """
        for queue in self._queues_for(self._members.peers, source):
            queue.dispatchers[row] = None

    def add_row(self, row: str, generation: int, source: str) -> None:
        """Queue a row, unless this or a later generation of it was queued before."""
        if generation <= self._queued_generations.get(row, -1):
            return
        self._queued_generations[row] = generation
        self._last_row_is_own = not source
        for queue in self._queues_for(self._members.tree_neighbours, source):
            queue.rows[row] = None

    def add_row_later(self, row: str, generation: int) -> None:
        """Queue a row that was read from the platform, unless it arrives from a peer first."""
        self._delayed_rows.append((trio.current_time() + READER_DELAY_SECONDS, row, generation))

    async def run(self) -> None:
        """Send queued updates until cancelled."""
        busy: set[str] = set()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._queue_delayed_rows)
            while True:
                await self._changed.wait()
                large = not self._members.topology.full_mesh
                await trio.sleep(
                    OWN_ROWS_BATCH_SECONDS if self._last_row_is_own and large else BATCH_SECONDS
                )
                self._changed = trio.Event()
                self._last_row_is_own = False
                for peer in [p for p in self._peer_queues if p not in busy]:
                    busy.add(peer)
                    nursery.start_soon(self._send_pending, peer, busy)

    async def _queue_delayed_rows(self) -> None:
        while True:
            while self._delayed_rows and self._delayed_rows[0][0] <= trio.current_time():
                _, row, generation = self._delayed_rows.popleft()
                self.add_row(row, generation, "")
            await trio.sleep(READER_DELAY_SECONDS / 4)

    def _queues_for(self, peers: tuple[str, ...], source: str) -> list[_PeerQueue]:
        """Return the queues of the peers to which an update is sent, and wake the sender.

        In a full mesh only the host where an update arises sends it; the others receive it from
        there, or through heartbeats.
        """
        if source and self._members.topology.full_mesh:
            return []
        self._changed.set()
        return [
            self._peer_queues.setdefault(peer, _PeerQueue()) for peer in peers if peer != source
        ]

    async def _send_pending(self, peer: str, busy: set[str]) -> None:
        """Send a peer its updates until its queue is empty or it does not answer."""
        try:
            while peer in self._peer_queues:
                queue = self._peer_queues.pop(peer)
                version = self._directory.catalog.version
                updates = self._dispatcher_updates(queue.dispatchers)
                if updates or (queue.release and self.release_of(peer) < version):
                    content = json.dumps(updates, separators=(",", ":")).encode()
                    await self._call(peer, Announce(DISPATCHER_UPDATES, version, content))
                rows = [self._directory.rows.get(parse_row_name(name)) for name in queue.rows]
                known = [row for row in rows if row is not None]
                for start in range(0, len(known), ROWS_PER_ANNOUNCEMENT):
                    content = pack_rows(known[start : start + ROWS_PER_ANNOUNCEMENT])
                    await self._call(peer, Announce(ROWS, version, content))
        except PeerUnavailable as exc:
            logger.debug("could not announce updates to %s: %s", peer, exc)
        finally:
            busy.discard(peer)

    async def _call(self, peer: str, msg: Announce) -> None:
        await self._network.call(peer, msg, ANNOUNCE_TIMEOUT_SECONDS)

    def _dispatcher_updates(self, names: dict[str, None]) -> DispatcherUpdates:
        updates = {}
        for name in names:
            group = parse_row_name(name)
            row = self._directory.rows.get(group)
            dispatcher = self._directory.dispatcher_of(group)
            if row is not None and dispatcher is not None:
                updates[name] = (row.generation, dispatcher.host, dispatcher.generation)
        return updates
