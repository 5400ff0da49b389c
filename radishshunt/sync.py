"""Distribution of releases and rows between hosts and from the platform."""

from __future__ import annotations

import json
import logging
from typing import TYPE_CHECKING

import trio

from radishshunt.announcements import DISPATCHER_UPDATES, Announcements
from radishshunt.contact import Contact
from radishshunt.directory import Dispatcher
from radishshunt.documents import (
    PART_BYTES,
    ROWS_PER_FETCH,
    Documents,
    parse_members,
    parse_notes,
    parse_row_name,
    parse_rows,
    row_name,
    unpack,
)
from radishshunt.errors import PeerUnavailable, ProtocolError
from radishshunt.logs import decision
from radishshunt.members import Members
from radishshunt.model import GroupId, GroupRow
from radishshunt.platform_reader import PlatformReader
from radishshunt.release.catalog import Catalog
from radishshunt.release.note import apply_accepted
from radishshunt.seeds import find_first_peer
from radishshunt.wire.messages import Acknowledge, Announce, Document, Fetch, Heartbeat

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from radishshunt.clock import Clock
    from radishshunt.directory import Directory
    from radishshunt.peers import PeerNetwork
    from radishshunt.platform import Platform
    from radishshunt.release.note import ReleaseNote
    from radishshunt.wire.connection import PeerConnection, Stream
    from radishshunt.wire.messages import Message

logger = logging.getLogger(__name__)

FETCH_TIMEOUT_SECONDS = 1.0
FETCH_TASKS = 4
FETCH_QUEUE_LENGTH = 256
# The digests of two hosts differ for a moment after every change. A difference that lasts longer
# than this can mean that an update was lost, so the rows or member records are compared. While rows
# change continuously, digests differ continuously; the intervals below therefore limit the rate of
# comparisons, whatever the number of peers.
DIFFERENCE_SECONDS = 2.0
COMPARE_INTERVAL_SECONDS = 2.0
COMPARE_INTERVAL_LARGE_SECONDS = 8.0
# Rows of services that the catalog in force does not list are kept, up to this number, as the row
# may belong to a newer catalog.
MAX_EARLY_ROWS = 10_000
RELEASE, INDEX, MEMBERS, ROWS = "release", "index", "members", "rows"


class Sync:
    """Keeps the directory up to date from peers and from the platform.

    :param on_catalog: Called with every catalog that comes into force.
    :param members: Records of all hosts; by default a new, separate set of records.
    :param contact: Records every contact with the platform.
    :param seeds: Addresses of peers to ask while no other host is known.
    """

    def __init__(
        self,
        directory: Directory,
        network: PeerNetwork,
        platform: Platform,
        clock: Clock,
        on_catalog: Callable[[Catalog], None],
        members: Members | None = None,
        contact: Contact | None = None,
        seeds: Sequence[str] = (),
    ) -> None:
        self.members = members or Members(network.me, network, clock)
        self.contact = contact or Contact(directory, self.members)
        self._directory = directory
        self._network = network
        self._clock = clock
        self._on_catalog = on_catalog
        self._seeds = seeds
        self._documents = Documents(directory, self.members)
        self._announcements = Announcements(directory, network, self.members)
        self._reader = PlatformReader(platform, directory, self.members, self, clock)
        self._fetch_sender, self._fetch_receiver = trio.open_memory_channel[tuple[str, str]](
            FETCH_QUEUE_LENGTH
        )
        self._queued_fetches: set[tuple[str, str]] = set()
        self._wanted_rows: dict[str, dict[str, int]] = {}
        self._early_rows: dict[GroupId, GroupRow] = {}
        self._differing_since: dict[tuple[str, str], float] = {}
        self._compared_at: dict[str, float] = {}
        # Several peers announce the same change. Fetches run one at a time, so that the first one
        # makes the others unnecessary.
        self._release_lock = trio.Lock()
        self._rows_lock = trio.Lock()
        network.register(Fetch, self._answer_fetch)
        network.register(Announce, self._apply_announcement)

    @property
    def loaded(self) -> bool:
        """Whether all rows were read from a peer or from the platform since the start."""
        return self._documents.loaded

    @property
    def platform_seen_at(self) -> float:
        """Latest time at which any known host read the platform, in seconds since the Unix epoch.

        0 for never.
        """
        return self._reader.last_contact_at

    def mark_loaded(self) -> None:
        """Record that all rows were read."""
        self._documents.loaded = True

    def apply_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Compare a peer's heartbeat with the local view and fetch what is newer there."""
        self._announcements.record_release(heartbeat.host, heartbeat.catalog_version)
        self._reader.record_peer_contact(heartbeat.platform_seen_at)
        if heartbeat.catalog_version > self._directory.catalog.version:
            self._queue_fetch(heartbeat.host, RELEASE)
        for state in heartbeat.groups:
            group = GroupId(state.service, state.group)
            dispatcher = Dispatcher(heartbeat.host, state.generation, state.load)
            self._apply_dispatcher(group, dispatcher, state.generation & ~1, heartbeat.host)
        self._check_digest(
            heartbeat.host, INDEX, heartbeat.rows_digest == self._directory.rows_digest
        )
        self._check_digest(heartbeat.host, MEMBERS, heartbeat.members_digest == self.members.digest)

    def apply_catalog(
        self, catalog: Catalog, source: str, note: ReleaseNote | None = None, peer: str = ""
    ) -> None:
        """Put a catalog into force if it is newer than the one in force.

        :param source: Origin of the catalog, for the log.
        :param note: Release note that led to the catalog; peers with its predecessor fetch it.
        :param peer: Peer that sent the catalog, empty for the platform and for this host.
        """
        if note is not None and note.version == catalog.version:
            self._documents.keep_note(note)
        if not self._directory.update_catalog(catalog):
            return
        decision("catalog", version=catalog.version, digest=catalog.digest, reason=source)
        self._on_catalog(catalog)
        for group, row in list(self._early_rows.items()):
            if group.service in catalog.services:
                del self._early_rows[group]
                self.apply_row(row)
        self._announcements.add_release(peer)

    def apply_notes(self, notes: Iterable[ReleaseNote], source: str, peer: str = "") -> None:
        """Put into force the accepted notes that follow the catalog in force.

        :param notes: Release notes, oldest first.
        :param source: Origin of the notes, for the log.
        :param peer: Peer that sent the notes, empty for the platform and for this host.
        """
        catalog = self._directory.catalog
        for note in notes:
            if note.predecessor == catalog.version:
                catalog = apply_accepted(catalog, note)
                self._documents.keep_note(note)
        if catalog.version > self._directory.catalog.version:
            self.apply_catalog(catalog, source, peer=peer)

    def apply_row(self, row: GroupRow, peer: str = "", *, from_platform: bool = False) -> None:
        """Apply a group's row if it is newer than the known one, and announce it.

        :param peer: Peer that sent the row, empty for the platform and for this host.
        :param from_platform: Whether the row was read from the platform; it is then announced only
            if it does not arrive from a peer in the meantime.
        """
        name = row_name(row.group)
        if row.group.service not in self._directory.catalog.services:
            known = self._early_rows.get(row.group)
            if len(self._early_rows) < MAX_EARLY_ROWS and (
                known is None or known.generation < row.generation
            ):
                self._early_rows[row.group] = row
            return
        newer = self._directory.update_row(row)
        if from_platform:
            if newer:
                self._announcements.add_row_later(name, row.generation)
        elif self._directory.rows[row.group].generation == row.generation:
            # Announce the row even if it was read from the platform before: hosts further down the
            # tree may not read the platform.
            self._announcements.add_row(name, row.generation, peer)

    async def announce_row(self, row: GroupRow) -> None:
        """Apply a row that this host has written, and announce it to the peers."""
        self.apply_row(row, "")
        await trio.lowlevel.checkpoint()

    async def announce_catalog(self, catalog: Catalog) -> None:
        """Apply a catalog whose note was submitted through this host, and announce it."""
        self.apply_catalog(catalog, "submitted here")
        await trio.lowlevel.checkpoint()

    async def announce_dispatcher(self, group: GroupId) -> None:
        """Announce the dispatcher of a group that this host has taken over.

        The directory must name it already.
        """
        self._announcements.add_dispatcher(row_name(group), "")
        await trio.lowlevel.checkpoint()

    async def refresh_row(self, group: GroupId) -> None:
        """Read one row from the platform.

        :raises RadishshuntError: If the platform does not answer.
        """
        await self._reader.read_row(group)

    async def read_platform(self) -> None:
        """Read and apply all changes on the platform, whether or not this host is a reader.

        :raises RadishshuntError: If the platform does not answer.
        """
        await self._reader.read()

    async def run_platform(self) -> None:
        """Read the platform at intervals until cancelled."""
        await self._reader.run()

    async def run_fetches(self) -> None:
        """Fetch documents from peers and announce updates to them until cancelled."""
        async with trio.open_nursery() as nursery:
            for _ in range(FETCH_TASKS):
                nursery.start_soon(self._run_fetches)
            nursery.start_soon(self._announcements.run)
            nursery.start_soon(find_first_peer, self._network, self._seeds)

    async def _run_fetches(self) -> None:
        async for host, kind in self._fetch_receiver:
            self._queued_fetches.discard((host, kind))
            try:
                if kind == RELEASE:
                    async with self._release_lock:
                        await self._fetch_release(host)
                elif kind == INDEX:
                    await self._fetch_index(host)
                elif kind == MEMBERS:
                    content, _ = await self._fetch_parts(host, MEMBERS)
                    self.members.merge(parse_members(content), host)
                else:
                    await self._fetch_rows(host)
            except PeerUnavailable as exc:
                logger.debug("could not fetch %s from %s: %s", kind, host, exc)
            except (ProtocolError, ValueError, KeyError, TypeError, AttributeError) as exc:
                logger.warning("%s from %s is malformed: %r", kind, host, exc)

    async def _fetch_release(self, host: str) -> None:
        mine = self._directory.catalog.version
        if self._announcements.release_of(host) <= mine:
            return  # The release has arrived from another peer.
        if mine:
            doc = await self._fetch(host, f"notes/{mine}")
            if doc.version > mine:
                self.apply_notes(parse_notes(doc.content), f"peer {host}", host)
                return
        content, version = await self._fetch_parts(host, "catalog")
        if version > self._directory.catalog.version:
            data = unpack(content)
            # Parsing a large catalog takes long enough to delay heartbeats, so a thread does it.
            catalog = (
                Catalog.from_json(data)
                if len(data) < PART_BYTES
                else await trio.to_thread.run_sync(Catalog.from_json, data)
            )
            self.apply_catalog(catalog, f"peer {host}", peer=host)

    async def _fetch_index(self, host: str) -> None:
        name = INDEX
        if self.loaded:
            doc = await self._fetch(host, "digests")
            pairs = zip(json.loads(doc.content), self._documents.digests(), strict=True)
            differing = [str(i) for i, (peer, own) in enumerate(pairs) if peer != own]
            if not differing:
                return
            name = f"{INDEX}/{','.join(differing)}"
        doc = await self._fetch(host, name)
        if not doc.content:
            return
        index = json.loads(unpack(doc.content))
        wanted = {
            name: generation
            for name, generation in index["rows"].items()
            if generation > self._known_generation(parse_row_name(name))
        }
        if wanted:
            self._wanted_rows.setdefault(host, {}).update(wanted)
            while self._wanted_rows.get(host):
                await self._fetch_rows(host)
        if index["loaded"]:
            self.mark_loaded()

    async def _fetch_rows(self, host: str) -> None:
        async with self._rows_lock:
            newer = {
                name: generation
                for name, generation in self._wanted_rows.pop(host, {}).items()
                if generation > self._known_generation(parse_row_name(name))
            }
            wanted = sorted(newer)[:ROWS_PER_FETCH]
            if not wanted:
                return
            doc = await self._fetch(host, f"{ROWS}/{','.join(wanted)}")
            rows = parse_rows(doc.content) if doc.content else []
            for row in rows:
                self.apply_row(row, host)
        # Fetch the rows that did not fit into the document next, but none that the peer lacks.
        last = max((row_name(row.group) for row in rows), default=wanted[-1])
        remaining = {name: generation for name, generation in newer.items() if name > last}
        if remaining:
            self._queue_row_fetch(host, remaining)

    async def _fetch_parts(self, host: str, kind: str) -> tuple[bytes, int]:
        """Fetch a document in parts, as it may be larger than a frame.

        :return: Content and version of the document.
        :raises PeerUnavailable: If the peer lacks the document, or it changes between two parts.
        """
        first = await self._fetch(host, f"{kind}/0")
        if not first.content:
            raise PeerUnavailable(f"host {host} has no document {kind}", may_have_arrived=True)
        parts = [first.content]
        for index in range(1, int(first.name.rpartition("/")[2])):
            doc = await self._fetch(host, f"{kind}/{index}")
            if doc.version != first.version:
                raise PeerUnavailable(
                    f"document {kind} of host {host} changed while it was fetched",
                    may_have_arrived=True,
                )
            parts.append(doc.content)
        return b"".join(parts), first.version

    async def _fetch(self, host: str, name: str) -> Document:
        answer = await self._network.call(host, Fetch(name), FETCH_TIMEOUT_SECONDS)
        if not isinstance(answer, Document):
            raise ProtocolError(
                f"expected a Document as answer to a Fetch, got {type(answer).__name__}"
            )
        return answer

    def _check_digest(self, host: str, kind: str, equal: bool) -> None:
        """Fetch a peer's rows or member records if their digest has differed for too long.

        Until all rows were read, an index is fetched at once.

        :param kind: ``INDEX`` or ``MEMBERS``.
        :param equal: Whether the digests of the peer and of this host are equal.
        """
        key = (host, kind)
        now = self._clock.now()
        if kind == INDEX and not self.loaded:
            if not equal or self._directory.rows:
                self._queue_fetch(host, INDEX)
        elif equal:
            self._differing_since.pop(key, None)
        elif now - self._differing_since.setdefault(key, now) >= DIFFERENCE_SECONDS:
            large = not self.members.topology.full_mesh
            interval = COMPARE_INTERVAL_LARGE_SECONDS if large else COMPARE_INTERVAL_SECONDS
            if now - self._compared_at.get(kind, 0.0) >= interval:
                self._compared_at[kind] = now
                self._differing_since.pop(key)
                self._queue_fetch(host, kind)

    def _apply_dispatcher(
        self, group: GroupId, dispatcher: Dispatcher, generation: int, peer: str
    ) -> None:
        """Apply a peer's update of the dispatcher of a group, or fetch the row if it is newer.

        :param generation: The peer knows the row of the group in this or a newer generation.
        """
        if generation > self._known_generation(group):
            self._queue_row_fetch(peer, {row_name(group): generation})
        elif group in self._directory.rows:
            known = self._directory.dispatcher_of(group)
            self._directory.update_dispatcher(group, dispatcher)
            if known is None or dispatcher.generation > known.generation:
                self._announcements.add_dispatcher(row_name(group), peer)

    def _queue_row_fetch(self, host: str, wanted: dict[str, int]) -> None:
        self._wanted_rows.setdefault(host, {}).update(wanted)
        self._queue_fetch(host, ROWS)

    def _known_generation(self, group: GroupId) -> int:
        row = self._directory.rows.get(group) or self._early_rows.get(group)
        return row.generation if row is not None else -1

    def _queue_fetch(self, host: str, kind: str) -> None:
        if (host, kind) in self._queued_fetches:
            return
        try:
            self._fetch_sender.send_nowait((host, kind))
            self._queued_fetches.add((host, kind))
        except trio.WouldBlock:
            logger.debug("fetch queue is full; not fetching %s from %s for now", kind, host)

    async def _apply_announcement(self, conn: PeerConnection, stream: Stream, msg: Message) -> None:
        assert isinstance(msg, Announce)
        host = conn.peer_name
        try:
            if msg.name == DISPATCHER_UPDATES:
                for name, (row_generation, dispatcher, generation) in json.loads(
                    msg.content
                ).items():
                    update = Dispatcher(dispatcher, generation)
                    self._apply_dispatcher(parse_row_name(name), update, row_generation, host)
            elif msg.name == ROWS:
                for row in parse_rows(msg.content):
                    self.apply_row(row, host)
        except (ProtocolError, ValueError, TypeError, KeyError, AttributeError) as exc:
            logger.warning("cut the connection to %s: malformed announcement: %r", host, exc)
            conn.abort()
            return
        self._announcements.record_release(host, msg.version)
        if msg.version > self._directory.catalog.version:
            self._queue_fetch(host, RELEASE)
        await stream.send(Acknowledge(True))

    async def _answer_fetch(self, _conn: PeerConnection, stream: Stream, msg: Message) -> None:
        assert isinstance(msg, Fetch)
        await stream.send(self._documents.find(msg.name))
