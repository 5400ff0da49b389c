"""Spreading of catalogs and rows between hosts and from the platform."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio

from radishshunt.directory import Dispatcher
from radishshunt.errors import PeerUnavailable, RadishshuntError
from radishshunt.logs import decision
from radishshunt.model import GroupId, GroupRow
from radishshunt.release.acceptance import load_catalog
from radishshunt.release.catalog import Catalog
from radishshunt.wire.messages import Acknowledge, Announce, Document, Fetch, Heartbeat

if TYPE_CHECKING:
    from collections.abc import Callable

    from radishshunt.clock import Clock
    from radishshunt.directory import Directory
    from radishshunt.peers import PeerNetwork
    from radishshunt.platform import Platform
    from radishshunt.wire.connection import PeerConnection, Stream
    from radishshunt.wire.messages import Message

logger = logging.getLogger(__name__)

PLATFORM_INTERVAL_SECONDS = 1.0
FETCH_TIMEOUT_SECONDS = 1.0
CATALOG = "catalog"
FETCH_QUEUE = 256


class Sync:
    """Keeps the directory current from peers and from the platform."""

    def __init__(
        self,
        directory: Directory,
        network: PeerNetwork,
        platform: Platform,
        clock: Clock,
        on_catalog: Callable[[Catalog], None],
    ) -> None:
        self._directory = directory
        self._network = network
        self._platform = platform
        self._clock = clock
        self._on_catalog = on_catalog
        self._wanted, self._wants = trio.open_memory_channel[tuple[str, str]](FETCH_QUEUE)
        self.platform_seen_at = 0.0
        network.register(Fetch, self._answer_fetch)
        network.register(Announce, self._take_announcement)

    def note_heartbeat(self, beat: Heartbeat) -> None:
        """Compare a peer's heartbeat with the directory and fetch what is newer."""
        if beat.catalog_version > self._directory.catalog.version:
            self._want(beat.host, CATALOG)
        for state in beat.groups:
            group = GroupId(state.service, state.group)
            row = self._directory.rows.get(group)
            if row is None or row.generation < state.generation & ~1:
                self._want(beat.host, _row_name(group))
            else:
                news = Dispatcher(beat.host, state.generation, state.load)
                self._directory.update_dispatcher(group, news)

    async def announce_row(self, row: GroupRow) -> None:
        """Tell all peers of a new row, without waiting for those that are gone."""
        self._directory.update_row(row)
        msg = Announce(_row_name(row.group), row.version, row.to_json())
        async with trio.open_nursery() as nursery:
            for host in list(self._network.hosts):
                nursery.start_soon(self._announce, host, msg)

    async def announce_catalog(self, catalog: Catalog) -> None:
        """Tell all peers of a new catalog."""
        msg = Announce(CATALOG, catalog.version, catalog.to_json())
        async with trio.open_nursery() as nursery:
            for host in list(self._network.hosts):
                nursery.start_soon(self._announce, host, msg)

    async def run_fetches(self) -> None:
        """Fetch wanted documents from peers until cancelled."""
        async for host, name in self._wants:
            try:
                answer = await self._network.call(host, Fetch(name), FETCH_TIMEOUT_SECONDS)
            except PeerUnavailable as exc:
                logger.debug("fetching %s from %s: %s", name, host, exc)
                continue
            if isinstance(answer, Document) and answer.version:
                self._take(answer.name, answer.version, answer.content, f"peer {host}")

    async def run_platform(self) -> None:
        """Read the platform at intervals until cancelled."""
        while True:
            try:
                await self.read_platform()
            except RadishshuntError as exc:
                logger.info("platform: %s", exc)
            await trio.sleep(PLATFORM_INTERVAL_SECONDS)

    async def read_platform(self) -> None:
        """Take the catalog, the rows and the hosts that the platform holds.

        :raises RadishshuntError: If the platform does not answer.
        """
        self._network.update_hosts(await self._platform.host_list.hosts())
        catalog = await load_catalog(self._platform)
        self.platform_seen_at = self._clock.now()
        self.take_catalog(catalog, "platform")
        for row in (await self._platform.table.scan("group/")).values():
            self._directory.update_row(GroupRow.from_json(row.value, row.version))

    def take_catalog(self, catalog: Catalog, source: str) -> None:
        """Put a catalog into force if it is newer."""
        if self._directory.update_catalog(catalog):
            decision("catalog", version=catalog.version, digest=catalog.digest, reason=source)
            self._on_catalog(catalog)

    def _want(self, host: str, name: str) -> None:
        try:
            self._wanted.send_nowait((host, name))
        except trio.WouldBlock:
            logger.debug("too many documents wanted, %s from %s waits", name, host)

    def _take(self, name: str, version: int, content: bytes, source: str) -> None:
        try:
            if name == CATALOG:
                self.take_catalog(Catalog.from_json(content), source)
            elif name.startswith("row/"):
                self._directory.update_row(GroupRow.from_json(content, version))
        except (ValueError, KeyError, TypeError) as exc:
            logger.warning("document %s from %s is malformed: %r", name, source, exc)

    async def _announce(self, host: str, msg: Announce) -> None:
        try:
            await self._network.call(host, msg, FETCH_TIMEOUT_SECONDS)
        except PeerUnavailable as exc:
            logger.debug("announcing %s to %s: %s", msg.name, host, exc)

    async def _take_announcement(self, conn: PeerConnection, stream: Stream, msg: Message) -> None:
        assert isinstance(msg, Announce)
        self._take(msg.name, msg.version, msg.content, f"peer {conn.peer_name}")
        await stream.send(Acknowledge(True))

    async def _answer_fetch(self, _conn: PeerConnection, stream: Stream, msg: Message) -> None:
        assert isinstance(msg, Fetch)
        await stream.send(self._document(msg.name))

    def _document(self, name: str) -> Document:
        if name == CATALOG and self._directory.catalog.version:
            catalog = self._directory.catalog
            return Document(name, catalog.version, catalog.to_json())
        for group, row in self._directory.rows.items():
            if name == _row_name(group):
                return Document(name, row.version, row.to_json())
        return Document(name, 0, b"")


def _row_name(group: GroupId) -> str:
    return f"row/{group.service}/{group.group}"
