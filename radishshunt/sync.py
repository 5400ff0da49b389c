"""Spreading of releases and rows between hosts and from the platform."""

from __future__ import annotations

import json
import logging
from typing import TYPE_CHECKING

import trio

from radishshunt.announcements import NEWS, Announcements
from radishshunt.contact import Contact
from radishshunt.directory import Dispatcher
from radishshunt.documents import (
    PART_BYTES,
    ROWS_PER_FETCH,
    Documents,
    group_of,
    read_members,
    read_notes,
    read_rows,
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
FETCH_QUEUE = 256
# Two views differ for a moment after every change; a difference that lasts longer can mean that
# news was lost, and the views are compared. While rows change all the time, views differ all the
# time, so the comparisons have a rate of their own, whatever the number of peers.
DIFFERENCE_SECONDS = 2.0
REPAIR_SECONDS = 2.0
REPAIR_LARGE_SECONDS = 8.0
# Rows of services that the release in force does not list, kept in case that it is the older one.
EARLY_ROWS = 10_000
RELEASE, INDEX, MEMBERS, ROWS = "release", "index", "members", "rows"


class Sync:
    """Keeps the directory current from peers and from the platform.

    :param on_catalog: Called with every catalog that comes into force.
    :param members: News of all hosts; by default a view of its own.
    :param contact: Told when the platform was reached.
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
        self._wants_send, self._wants = trio.open_memory_channel[tuple[str, str]](FETCH_QUEUE)
        self._pending: set[tuple[str, str]] = set()
        self._wanted_rows: dict[str, dict[str, int]] = {}
        self._early_rows: dict[GroupId, GroupRow] = {}
        self._differs_since: dict[tuple[str, str], float] = {}
        self._repaired_at: dict[str, float] = {}
        # Several peers tell of one change; the fetches run one by one, so that the first of them
        # makes the others unnecessary.
        self._release_lock = trio.Lock()
        self._rows_lock = trio.Lock()
        network.register(Fetch, self._answer_fetch)
        network.register(Announce, self._take_announcement)

    @property
    def loaded(self) -> bool:
        """Whether the rows were read from a peer or from the platform since the start."""
        return self._documents.loaded

    @property
    def platform_seen_at(self) -> float:
        """Latest time at which a known host read the platform; 0 for never."""
        return self._reader.seen_at

    def mark_loaded(self) -> None:
        """Record that every row was read."""
        self._documents.loaded = True

    def note_heartbeat(self, beat: Heartbeat) -> None:
        """Compare a peer's heartbeat with the directory and fetch what is newer."""
        self._announcements.note_release(beat.host, beat.catalog_version)
        self._reader.note_seen(beat.platform_seen_at)
        if beat.catalog_version > self._directory.catalog.version:
            self._want(beat.host, RELEASE)
        for state in beat.groups:
            group = GroupId(state.service, state.group)
            dispatcher = Dispatcher(beat.host, state.generation, state.load)
            self._note_dispatcher(group, dispatcher, state.generation & ~1, beat.host)
        self._compare(beat.host, INDEX, beat.rows_digest == self._directory.rows_digest)
        self._compare(beat.host, MEMBERS, beat.members_digest == self.members.digest)

    def take_catalog(
        self, catalog: Catalog, source: str, note: ReleaseNote | None = None, peer: str = ""
    ) -> None:
        """Put a catalog into force if it is newer.

        :param source: Where it comes from, for the log.
        :param note: Note that led to the catalog, for peers that have its predecessor.
        :param peer: Peer that gave it, empty for the platform and for this host.
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
                self.take_row(row)
        self._announcements.add_release(peer)

    def take_notes(self, notes: Iterable[ReleaseNote], source: str, peer: str = "") -> None:
        """Put accepted notes into force, oldest first, that follow the catalog in force."""
        catalog = self._directory.catalog
        for note in notes:
            if note.predecessor == catalog.version:
                catalog = apply_accepted(catalog, note)
                self._documents.keep_note(note)
        if catalog.version > self._directory.catalog.version:
            self.take_catalog(catalog, source, peer=peer)

    def take_row(self, row: GroupRow, peer: str = "", *, from_platform: bool = False) -> None:
        """Take a group's row if it is newer.

        :param peer: Peer that gave it, empty for the platform and for this host.
        """
        name = row_name(row.group)
        if row.group.service not in self._directory.catalog.services:
            known = self._early_rows.get(row.group)
            if len(self._early_rows) < EARLY_ROWS and (
                known is None or known.generation < row.generation
            ):
                self._early_rows[row.group] = row
            return
        newer = self._directory.update_row(row)
        if from_platform:
            if newer:
                self._announcements.add_row_later(name, row.generation)
        elif self._directory.rows[row.group].generation == row.generation:
            # Also if it is known from the platform: hosts further down the tree may not be readers.
            self._announcements.add_row(name, row.generation, peer)

    async def announce_row(self, row: GroupRow) -> None:
        """Take a row that this host has written, and tell the peers of it."""
        self.take_row(row, "")
        await trio.lowlevel.checkpoint()

    async def announce_catalog(self, catalog: Catalog) -> None:
        """Take a catalog that this host has had accepted, and tell the peers of it."""
        self.take_catalog(catalog, "submitted here")
        await trio.lowlevel.checkpoint()

    async def announce_dispatcher(self, group: GroupId) -> None:
        """Tell the peers that this host has taken a group over, as its directory says."""
        self._announcements.add_dispatcher(row_name(group), "")
        await trio.lowlevel.checkpoint()

    async def refresh_row(self, group: GroupId) -> None:
        """Read one row from the platform.

        :raises RadishshuntError: If the platform does not answer.
        """
        await self._reader.read_row(group)

    async def read_platform(self) -> None:
        """Take what has changed on the platform, whether or not this host reads it regularly.

        :raises RadishshuntError: If the platform does not answer.
        """
        await self._reader.read()

    async def run_platform(self) -> None:
        """Read the platform at intervals until cancelled."""
        await self._reader.run()

    async def run_fetches(self) -> None:
        """Fetch wanted documents from peers, and tell them of news, until cancelled."""
        async with trio.open_nursery() as nursery:
            for _ in range(FETCH_TASKS):
                nursery.start_soon(self._run_fetches)
            nursery.start_soon(self._announcements.run)
            nursery.start_soon(find_first_peer, self._network, self._seeds)

    async def _run_fetches(self) -> None:
        async for host, what in self._wants:
            self._pending.discard((host, what))
            try:
                if what == RELEASE:
                    async with self._release_lock:
                        await self._fetch_release(host)
                elif what == INDEX:
                    await self._fetch_index(host)
                elif what == MEMBERS:
                    content, _ = await self._fetch_parts(host, MEMBERS)
                    self.members.merge(read_members(content), host)
                else:
                    await self._fetch_rows(host)
            except PeerUnavailable as exc:
                logger.debug("fetching %s from %s: %s", what, host, exc)
            except (ProtocolError, ValueError, KeyError, TypeError, AttributeError) as exc:
                logger.warning("%s from %s is malformed: %r", what, host, exc)

    async def _fetch_release(self, host: str) -> None:
        mine = self._directory.catalog.version
        if self._announcements.release_of(host) <= mine:
            return  # Another peer was faster.
        if mine:
            doc = await self._fetch(host, f"notes/{mine}")
            if doc.version > mine:
                self.take_notes(read_notes(doc.content), f"peer {host}", host)
                return
        content, version = await self._fetch_parts(host, "catalog")
        if version > self._directory.catalog.version:
            data = unpack(content)
            # Reading a large catalog takes long enough to delay heartbeats.
            catalog = (
                Catalog.from_json(data)
                if len(data) < PART_BYTES
                else await trio.to_thread.run_sync(Catalog.from_json, data)
            )
            self.take_catalog(catalog, f"peer {host}", peer=host)

    async def _fetch_index(self, host: str) -> None:
        name = INDEX
        if self.loaded:
            theirs = await self._fetch(host, "digests")
            pairs = zip(json.loads(theirs.content), self._documents.digests(), strict=True)
            differing = [str(i) for i, (one, other) in enumerate(pairs) if one != other]
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
            if generation > self._known_generation(group_of(name))
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
                if generation > self._known_generation(group_of(name))
            }
            wanted = sorted(newer)[:ROWS_PER_FETCH]
            if not wanted:
                return
            doc = await self._fetch(host, f"{ROWS}/{','.join(wanted)}")
            rows = read_rows(doc.content) if doc.content else []
            for row in rows:
                self.take_row(row, host)
        # Rows that did not fit are asked for again; those that the peer lacks are not.
        last = max((row_name(row.group) for row in rows), default=wanted[-1])
        rest = {name: generation for name, generation in newer.items() if name > last}
        if rest:
            self._want_rows(host, rest)

    async def _fetch_parts(self, host: str, kind: str) -> tuple[bytes, int]:
        """Return a document that is larger than a frame, and its version."""
        first = await self._fetch(host, f"{kind}/0")
        if not first.content:
            raise PeerUnavailable(f"host {host} has no {kind}", may_have_arrived=True)
        parts = [first.content]
        for index in range(1, int(first.name.rpartition("/")[2])):
            doc = await self._fetch(host, f"{kind}/{index}")
            if doc.version != first.version:
                raise PeerUnavailable(f"{kind} of {host} has changed", may_have_arrived=True)
            parts.append(doc.content)
        return b"".join(parts), first.version

    async def _fetch(self, host: str, name: str) -> Document:
        answer = await self._network.call(host, Fetch(name), FETCH_TIMEOUT_SECONDS)
        if not isinstance(answer, Document):
            raise ProtocolError(f"{type(answer).__name__} answers a fetch")
        return answer

    def _compare(self, host: str, what: str, equal: bool) -> None:
        """Fetch a peer's view if it has differed from this host's for too long."""
        key = (host, what)
        now = self._clock.now()
        if what == INDEX and not self.loaded:
            if not equal or self._directory.rows:
                self._want(host, INDEX)
        elif equal:
            self._differs_since.pop(key, None)
        elif now - self._differs_since.setdefault(key, now) >= DIFFERENCE_SECONDS:
            large = not self.members.topology.full_mesh
            interval = REPAIR_LARGE_SECONDS if large else REPAIR_SECONDS
            if now - self._repaired_at.get(what, 0.0) >= interval:
                self._repaired_at[what] = now
                self._differs_since.pop(key)
                self._want(host, what)

    def _note_dispatcher(
        self, group: GroupId, dispatcher: Dispatcher, generation: int, peer: str
    ) -> None:
        """Take a peer's news of who dispatches a group.

        :param generation: Generation of the row that the peer knows at least.
        """
        if generation > self._known_generation(group):
            self._want_rows(peer, {row_name(group): generation})
        elif group in self._directory.rows:
            known = self._directory.dispatcher_of(group)
            self._directory.update_dispatcher(group, dispatcher)
            if known is None or dispatcher.generation > known.generation:
                self._announcements.add_dispatcher(row_name(group), peer)

    def _want_rows(self, host: str, wanted: dict[str, int]) -> None:
        self._wanted_rows.setdefault(host, {}).update(wanted)
        self._want(host, ROWS)

    def _known_generation(self, group: GroupId) -> int:
        row = self._directory.rows.get(group) or self._early_rows.get(group)
        return row.generation if row is not None else -1

    def _want(self, host: str, what: str) -> None:
        if (host, what) in self._pending:
            return
        try:
            self._wants_send.send_nowait((host, what))
            self._pending.add((host, what))
        except trio.WouldBlock:
            logger.debug("too many documents wanted, %s from %s waits", what, host)

    async def _take_announcement(self, conn: PeerConnection, stream: Stream, msg: Message) -> None:
        assert isinstance(msg, Announce)
        host = conn.peer_name
        try:
            if msg.name == NEWS:
                for name, (generation, dispatcher, dispatched) in json.loads(msg.content).items():
                    known = Dispatcher(dispatcher, dispatched)
                    self._note_dispatcher(group_of(name), known, generation, host)
            elif msg.name == ROWS:
                for row in read_rows(msg.content):
                    self.take_row(row, host)
        except (ProtocolError, ValueError, TypeError, KeyError, AttributeError) as exc:
            logger.warning("cut the connection to %s: malformed news: %r", host, exc)
            conn.abort()
            return
        self._announcements.note_release(host, msg.version)
        if msg.version > self._directory.catalog.version:
            self._want(host, RELEASE)
        await stream.send(Acknowledge(True))

    async def _answer_fetch(self, _conn: PeerConnection, stream: Stream, msg: Message) -> None:
        assert isinstance(msg, Fetch)
        await stream.send(self._documents.find(msg.name))
