"""Task that reads the platform for its failure domain."""

from __future__ import annotations

import logging
from random import Random
from typing import TYPE_CHECKING

import trio

from radishshunt.errors import RadishshuntError
from radishshunt.model import GroupRow
from radishshunt.platform.changes import RowReader
from radishshunt.release.acceptance import CURRENT_KEY, Current, load_catalog, load_notes
from radishshunt.util.backoff import Backoff

if TYPE_CHECKING:
    from radishshunt.clock import Clock
    from radishshunt.directory import Directory
    from radishshunt.members import Members
    from radishshunt.model import GroupId
    from radishshunt.platform import Platform, TableRow
    from radishshunt.sync import Sync

logger = logging.getLogger(__name__)

PLATFORM_INTERVAL_SECONDS = 1.0
LARGEST_PAUSE_SECONDS = 8.0
# The list of 15,000 hosts has about 1.5 MB and lags anyway, so large systems read it less often.
HOSTS_INTERVAL_SECONDS = 1.0
HOSTS_INTERVAL_LARGE_SECONDS = 10.0
# A host that does not read regularly does so when no host that it hears has reached the platform
# for this long, and then all such hosts together at most this often.
STALE_SECONDS = 2.0
STALE_LARGE_SECONDS = 30.0
STALE_READS_PER_SECOND = 100.0
# A started host waits this long for peers before it reads all rows from the platform.
PEERS_FIRST_SECONDS = 1.0
# Finds the changes of writers that do not mark them.
SCAN_INTERVAL_SECONDS = 900.0
# Further behind than this, a host reads the stored catalog and not the notes since.
NOTES_AT_ONCE = 64


class PlatformReader:
    """Reads the host list, the release in force and changed rows from the platform."""

    def __init__(
        self,
        platform: Platform,
        directory: Directory,
        members: Members,
        sync: Sync,
        clock: Clock,
    ) -> None:
        self._platform = platform
        self._directory = directory
        self._members = members
        self._sync = sync
        self._clock = clock
        # Seeded by the host's name, so that simulated runs repeat.
        self._rng = Random(f"{members.me.host}/{members.me.incarnation}")
        self._rows = RowReader(platform.table, self._row_keys)
        self._hosts_read_at = float("-inf")
        self._started_at = float("-inf")
        self._scan_at = 0.0
        self.seen_at = 0.0

    def note_seen(self, at: float) -> None:
        """Take when another host reached the platform, in seconds since the Unix epoch."""
        self.seen_at = max(self.seen_at, min(at, self._clock.now()))

    async def run(self) -> None:
        """Read at intervals until cancelled."""
        backoff = Backoff(PLATFORM_INTERVAL_SECONDS, LARGEST_PAUSE_SECONDS, self._rng)
        self._started_at = self._clock.now()
        while True:
            pause = PLATFORM_INTERVAL_SECONDS
            try:
                if self._due():
                    await self._read_regularly()
                    pause = self._pause()
                backoff.reset()
            except (RadishshuntError, ValueError, KeyError, TypeError) as exc:
                # A malformed row fails on every host alike and must not take all of them down.
                pause = max(self._pause(), backoff.next())
                logger.info("platform: %r; next attempt in %.1f s", exc, pause)
            await trio.sleep(pause)

    async def read(self) -> None:
        """Read everything that has changed.

        :raises RadishshuntError: If the platform does not answer.
        """
        started_at = self._clock.now()
        found = await self._rows.read([CURRENT_KEY])
        try:
            current = Current.from_row(found.asked[CURRENT_KEY])
            await self._take_release(current)
        finally:
            # The reader does not give these rows again, so a release that can't be read must not
            # keep them from being taken.
            for key, row in found.groups.items():
                self._take_row(key, row)
        if found.complete:
            self._sync.mark_loaded()
            self._scan_at = started_at + SCAN_INTERVAL_SECONDS * self._rng.uniform(1.0, 1.2)
        self._note_contact(started_at, current)

    async def read_row(self, group: GroupId) -> None:
        """Read one group's row.

        :raises RadishshuntError: If the platform does not answer.
        """
        key = group.row_key
        row = (await self._platform.table.read([key]))[key]
        self._take_row(key, row)

    async def _read_regularly(self) -> None:
        large = not self._members.topology.full_mesh
        interval = HOSTS_INTERVAL_LARGE_SECONDS if large else HOSTS_INTERVAL_SECONDS
        if self._clock.now() - self._hosts_read_at >= 0.9 * interval:
            self._members.take_host_list(await self._platform.host_list.hosts())
            self._hosts_read_at = self._clock.now()
        if self._may_ask_peers():
            await self._read_release()
            return
        if self._clock.now() >= self._scan_at:
            self._rows.reset()
        await self.read()

    def _take_row(self, key: str, row: TableRow) -> None:
        if row.version == 0:
            return
        try:
            known = GroupRow.from_json(row.value, row.version)
        except (ValueError, KeyError, TypeError, AttributeError) as exc:
            # The other rows are taken nevertheless.
            logger.error("row %s of version %d is malformed: %r", key, row.version, exc)
            return
        self._sync.take_row(known, from_platform=True)

    async def _read_release(self) -> None:
        started_at = self._clock.now()
        row = (await self._platform.table.read([CURRENT_KEY]))[CURRENT_KEY]
        current = Current.from_row(row)
        await self._take_release(current)
        self._note_contact(started_at, current)

    async def _take_release(self, current: Current) -> None:
        known = self._directory.catalog
        if current.version <= known.version:
            return
        if known.version and current.version - known.version <= NOTES_AT_ONCE:
            notes = await load_notes(self._platform, known.version, current.version)
            self._sync.take_notes(notes, "platform")
        else:
            self._sync.take_catalog(await load_catalog(self._platform), "platform")

    def _note_contact(self, started_at: float, current: Current) -> None:
        self.seen_at = max(self.seen_at, started_at)
        self._sync.contact.note(started_at, current.version)

    def _due(self) -> bool:
        if self._members.is_reader or not self._sync.loaded:
            return True
        large = not self._members.topology.full_mesh
        limit = STALE_LARGE_SECONDS if large else STALE_SECONDS
        return self._clock.now() - self.seen_at > limit

    def _may_ask_peers(self) -> bool:
        """Return whether the rows come from peers for now, and only the release is read here."""
        if self._sync.loaded:
            return not self._members.is_reader and not self._rows.ready
        waited = self._clock.now() - self._started_at
        return not self._members.only_host and waited < PEERS_FIRST_SECONDS

    def _pause(self) -> float:
        if self._members.is_reader or not self._sync.loaded:
            return PLATFORM_INTERVAL_SECONDS
        hosts = len(self._members.records())
        mean = max(PLATFORM_INTERVAL_SECONDS, hosts / STALE_READS_PER_SECOND)
        return mean * self._rng.uniform(0.5, 1.5)

    def _row_keys(self) -> list[str]:
        return [group.row_key for group in self._directory.rows]
