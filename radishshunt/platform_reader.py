"""Task that reads the platform; reader hosts do so on behalf of their failure domain."""

from __future__ import annotations

import logging
from random import Random
from typing import TYPE_CHECKING

import trio

from radishshunt.errors import RadishshuntError
from radishshunt.model import GroupRow
from radishshunt.platform.changes import ChangeReader
from radishshunt.release.acceptance import (
    CURRENT_RELEASE_KEY,
    CurrentRelease,
    load_catalog,
    load_notes,
)
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
MAX_BACKOFF_SECONDS = 8.0
# The list of 15,000 hosts takes about 1.5 MB and lags behind anyway, so large systems read it less
# often.
HOSTS_INTERVAL_SECONDS = 1.0
HOSTS_INTERVAL_LARGE_SECONDS = 10.0
# A host that is not a reader of its domain reads the platform itself if no host that it hears from
# has reached the platform for this long. The rate is limited for all such hosts together.
STALE_SECONDS = 2.0
STALE_LARGE_SECONDS = 30.0
STALE_READS_PER_SECOND = 100.0
# Time that a host waits for peers after its start before it reads all rows from the platform.
PEER_WAIT_SECONDS = 1.0
# A periodic scan of all rows finds the changes of writers that do not mark them.
SCAN_INTERVAL_SECONDS = 900.0
# A host that is more versions behind reads the stored catalog instead of the notes since.
MAX_NOTES_PER_READ = 64


class PlatformReader:
    """Reads the host list, the release in force and changed rows from the platform.

    :ivar last_contact_at: Latest time at which this host or one it hears from reached the
        platform, in seconds since the Unix epoch.
    """

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
        # Seeded by the host's name and incarnation, so that simulations are reproducible.
        self._rng = Random(f"{members.me.host}/{members.me.incarnation}")
        self._change_reader = ChangeReader(platform.table, self._row_keys)
        self._hosts_read_at = float("-inf")
        self._started_at = float("-inf")
        self._scan_at = 0.0
        self.last_contact_at = 0.0

    def record_peer_contact(self, at: float) -> None:
        """Record that another host reached the platform.

        :param at: Time of that, in seconds since the Unix epoch.
        """
        self.last_contact_at = max(self.last_contact_at, min(at, self._clock.now()))

    async def run(self) -> None:
        """Read the platform at intervals until cancelled."""
        backoff = Backoff(PLATFORM_INTERVAL_SECONDS, MAX_BACKOFF_SECONDS, self._rng)
        self._started_at = self._clock.now()
        while True:
            pause = PLATFORM_INTERVAL_SECONDS
            try:
                if self._is_read_due():
                    await self._read_periodically()
                    pause = self._next_pause()
                backoff.reset()
            except (RadishshuntError, ValueError, KeyError, TypeError) as exc:
                # A malformed row causes the same error on every host and must not stop all of them.
                pause = max(self._next_pause(), backoff.next_delay())
                logger.info("cannot read the platform: %r; next attempt in %.1f s", exc, pause)
            await trio.sleep(pause)

    async def read(self) -> None:
        """Read the release in force and the rows that have changed, and apply them.

        :raises RadishshuntError: If the platform does not answer.
        """
        started_at = self._clock.now()
        changes = await self._change_reader.read([CURRENT_RELEASE_KEY])
        try:
            current = CurrentRelease.from_row(changes.requested[CURRENT_RELEASE_KEY])
            await self._apply_release(current)
        finally:
            # The change reader returns each change only once, so these rows are applied even if the
            # release cannot be read.
            for key, row in changes.groups.items():
                self._apply_row(key, row)
        if changes.complete:
            self._sync.mark_loaded()
            self._scan_at = started_at + SCAN_INTERVAL_SECONDS * self._rng.uniform(1.0, 1.2)
        self._record_contact(started_at, current)

    async def read_row(self, group: GroupId) -> None:
        """Read and apply the row of one group.

        :raises RadishshuntError: If the platform does not answer.
        """
        key = group.row_key
        row = (await self._platform.table.read([key]))[key]
        self._apply_row(key, row)

    async def _read_periodically(self) -> None:
        large = not self._members.topology.full_mesh
        interval = HOSTS_INTERVAL_LARGE_SECONDS if large else HOSTS_INTERVAL_SECONDS
        if self._clock.now() - self._hosts_read_at >= 0.9 * interval:
            self._members.apply_host_list(await self._platform.host_list.hosts())
            self._hosts_read_at = self._clock.now()
        if self._rows_come_from_peers():
            await self._read_release()
            return
        if self._clock.now() >= self._scan_at:
            self._change_reader.reset()
        await self.read()

    def _apply_row(self, key: str, row: TableRow) -> None:
        if row.version == 0:
            return
        try:
            group_row = GroupRow.from_json(row.value, row.version)
        except (ValueError, KeyError, TypeError, AttributeError) as exc:
            # The other rows are still applied.
            logger.error("row %s of version %d is malformed: %r", key, row.version, exc)
            return
        self._sync.apply_row(group_row, from_platform=True)

    async def _read_release(self) -> None:
        started_at = self._clock.now()
        row = (await self._platform.table.read([CURRENT_RELEASE_KEY]))[CURRENT_RELEASE_KEY]
        current = CurrentRelease.from_row(row)
        await self._apply_release(current)
        self._record_contact(started_at, current)

    async def _apply_release(self, current: CurrentRelease) -> None:
        known = self._directory.catalog
        if current.version <= known.version:
            return
        if known.version and current.version - known.version <= MAX_NOTES_PER_READ:
            notes = await load_notes(self._platform, known.version, current.version)
            self._sync.apply_notes(notes, "platform")
        else:
            self._sync.apply_catalog(await load_catalog(self._platform), "platform")

    def _record_contact(self, started_at: float, current: CurrentRelease) -> None:
        self.last_contact_at = max(self.last_contact_at, started_at)
        self._sync.contact.record(started_at, current.version)

    def _is_read_due(self) -> bool:
        """Return whether this host has to read the platform now.

        It does as a reader of its domain, until its rows are loaded, and when neither it nor a host
        that it hears from has reached the platform recently.
        """
        if self._members.is_reader or not self._sync.loaded:
            return True
        large = not self._members.topology.full_mesh
        limit = STALE_LARGE_SECONDS if large else STALE_SECONDS
        return self._clock.now() - self.last_contact_at > limit

    def _rows_come_from_peers(self) -> bool:
        """Return whether peers provide the rows, so that only the release is read here."""
        if self._sync.loaded:
            return not self._members.is_reader and not self._change_reader.ready
        waited = self._clock.now() - self._started_at
        return not self._members.only_host and waited < PEER_WAIT_SECONDS

    def _next_pause(self) -> float:
        """Return the time until the next read in seconds.

        For hosts that are no readers it grows with the number of hosts, to limit their total rate.
        """
        if self._members.is_reader or not self._sync.loaded:
            return PLATFORM_INTERVAL_SECONDS
        hosts = len(self._members.records())
        mean = max(PLATFORM_INTERVAL_SECONDS, hosts / STALE_READS_PER_SECOND)
        return mean * self._rng.uniform(0.5, 1.5)

    def _row_keys(self) -> list[str]:
        return [group.row_key for group in self._directory.rows]
