"""The lease by which one host at a time orders keys."""

from __future__ import annotations

import json
import logging
from random import Random
from typing import TYPE_CHECKING
from uuid import uuid4

import trio

from radishshunt.errors import OutcomeUnknown, PlatformUnavailable, ProtocolError
from radishshunt.gateway.rows import Change, Row, Topic
from radishshunt.gateway.view import LEADER_KEY
from radishshunt.logs import decision

if TYPE_CHECKING:
    from radishshunt.gateway.rows import Commit, RowStore
    from radishshunt.gateway.settings import HostSettings
    from radishshunt.gateway.view import View

logger = logging.getLogger(__name__)

# A host may take over when the leader's row has not changed for this long.
LEASE_SECONDS = 2.5
# The leader stops this much earlier, counted from when it sent its last renewal.
LEASE_MARGIN_SECONDS = 0.4
RENEW_SECONDS = 0.8
# A lease that ends this soon was not renewed in time.
TROUBLE_SECONDS = 0.8
RETRY_SECONDS = 0.2
WATCH_SECONDS = 0.1
# The busiest host of a day with 82 hosts and 157 targets with keys took 0.41 of a core. Hosts with
# less than about twice as much leave the lease to others for up to the delay, so that a slow host
# leads only if no other does. With lease and spread the delay stays below a grant.
LEADER_CORES = 0.7
LEADER_LINK_MBPS = 40.0
WEAK_DELAY_SECONDS = 1.0
# Hosts that see the lease expire do not all write at once.
TAKEOVER_SPREAD_SECONDS = 0.3


class LeaseLost(Exception):
    """This host no longer leads."""


class Leadership:
    """Owns this host's part in the lease.

    :ivar term: Random text of this host's term; empty while it does not lead.
    :ivar resumed: Whether no other host has led since this host's last term.
    """

    def __init__(
        self, cfg: HostSettings, view: View, store: RowStore, rng: Random | None = None
    ) -> None:
        self.term = ""
        self.resumed = False
        self._last_term = ""
        self._cfg = cfg
        self._view = view
        self._store = store
        self._rng = rng or Random()
        self._valid_until = float("-inf")
        self._version = 0
        # Whether the rows were read in this term, so that the view lacks no earlier write.
        self._rows_read = False
        self._address = f"{cfg.ip}:{cfg.inner_port}"
        self._commits = trio.Lock()

    @property
    def valid(self) -> bool:
        """Whether this host leads at this moment."""
        return bool(self.term) and self._view.clock.now() < self._valid_until

    @property
    def troubled(self) -> bool:
        """Whether the lease is about to end since the store does not renew it."""
        return self.valid and self._view.clock.now() > self._valid_until - TROUBLE_SECONDS

    async def wait_for_term(self) -> None:
        """Return once this host leads."""
        delay = self._rng.uniform(0, TAKEOVER_SPREAD_SECONDS) + weakness(self._cfg)
        first_at = self._view.clock.now() + weakness(self._cfg)
        while True:
            known = self._view.versions[Topic.OWN] and self._view.clock.now() >= first_at
            if known and self._may_take(delay):
                try:
                    if await self._take():
                        return
                except (PlatformUnavailable, OutcomeUnknown, ProtocolError) as exc:
                    logger.info("taking the lease failed: %s", exc)
                    await trio.sleep(RETRY_SECONDS)
            await trio.sleep(WATCH_SECONDS)

    async def keep(self) -> None:
        """Renew the lease until it is lost or given up."""
        while self.valid:
            sent_at = self._view.clock.now()
            try:
                async with self._commits:
                    await self._renew(sent_at)
                await trio.sleep(RENEW_SECONDS)
            except (PlatformUnavailable, OutcomeUnknown, ProtocolError) as exc:
                logger.info("renewing the lease failed: %s", exc)
                await trio.sleep(RETRY_SECONDS)
            except LeaseLost:
                break
        decision("lease-lost", term=self.term)
        self.term = ""

    async def read_rows(self) -> None:
        """Read this system's own rows anew.

        Writes of earlier terms that were still on their way fail from now on, since they check
        the version of the leader's row.
        """
        while True:
            try:
                self._view.apply(await self._store.read(Topic.OWN))
                self._rows_read = True
                return
            except (PlatformUnavailable, ProtocolError) as exc:
                logger.info("reading the rows of the term failed: %s", exc)
                await trio.sleep(RETRY_SECONDS)

    async def commit(self, checks: dict[str, int], writes: list[tuple[str, bytes]]) -> Commit:
        """Write rows under the lease.

        :raises LeaseLost: If another host leads.
        """
        async with self._commits:
            if not self.valid:
                raise LeaseLost
            result = await self._store.commit({LEADER_KEY: self._version, **checks}, writes)
            row = result.current.get(LEADER_KEY)
            if row is not None and row.version != self._version:
                self._adopt(row.version, row.value or b"")
            return result

    def take_written(self, row: Row) -> None:
        """Take a row that this host wrote as the leader into its view.

        Nobody else writes these rows during the term, so that the view is complete up to the row's
        version once it has been read.
        """
        version = row.version if self._rows_read else 0
        self._view.apply(Change(Topic.OWN, (row,), version, whole=False))

    async def give_up(self) -> None:
        """End the term so that another host takes over at once."""
        if not self.valid:
            return
        async with self._commits:
            version, self.term = self._version, ""
            try:
                with trio.move_on_after(0.5):
                    await self._store.commit(
                        {LEADER_KEY: version}, [(LEADER_KEY, _row("", "", ""))]
                    )
            except (PlatformUnavailable, OutcomeUnknown, ProtocolError) as exc:
                logger.info("giving up the lease failed: %s", exc)

    def _may_take(self, delay: float) -> bool:
        leader = self._view.leader
        if leader.version == 0 or not leader.host:
            return True
        if leader.host == self._cfg.name and leader.address == self._address:
            # Only this host's earlier process had this name and address, and it has ended.
            return True
        return self._view.clock.now() - self._view.leader_seen_at > LEASE_SECONDS + delay

    async def _take(self) -> bool:
        term = uuid4().hex
        expected = self._view.leader.version
        sent_at = self._view.clock.now()
        value = _row(self._cfg.name, self._address, term)
        try:
            result = await self._store.commit({LEADER_KEY: expected}, [(LEADER_KEY, value)])
        except OutcomeUnknown:
            result = await self._store.commit({LEADER_KEY: expected}, [(LEADER_KEY, value)])
        version = result.version
        row = result.current.get(LEADER_KEY)
        if not result.done:
            if row is None or _term(row.value) != term:
                if row is not None:
                    self._view.apply(Change(Topic.OWN, (row,), 0, whole=False))
                return False
            version = row.version
        self.resumed = bool(self._last_term) and self._view.leader.term == self._last_term
        self.term = self._last_term = term
        self._version = version
        self._rows_read = False
        self.take_written(Row(LEADER_KEY, version, value))
        self._valid_until = sent_at + LEASE_SECONDS - LEASE_MARGIN_SECONDS
        decision("lease", term=term, version=version)
        return True

    async def _renew(self, sent_at: float) -> None:
        value = _row(self._cfg.name, self._address, self.term)
        result = await self._store.commit({LEADER_KEY: self._version}, [(LEADER_KEY, value)])
        if result.done:
            self._version = result.version
            self._valid_until = sent_at + LEASE_SECONDS - LEASE_MARGIN_SECONDS
            self._view.store_answered()
            self.take_written(Row(LEADER_KEY, result.version, value))
            return
        row = result.current.get(LEADER_KEY)
        if row is None:
            raise LeaseLost
        self._adopt(row.version, row.value or b"")
        raise OutcomeUnknown("an earlier renewal took effect late")

    def _adopt(self, version: int, value: bytes) -> None:
        """Take the version of an own write whose answer was lost.

        :raises LeaseLost: If the row is another host's.
        """
        if _term(value) != self.term:
            self._valid_until = float("-inf")
            raise LeaseLost
        self._version = version


def weakness(cfg: HostSettings) -> float:
    """Return for how many seconds a host leaves the lease to stronger ones."""
    strength = min(1.0, cfg.cores / LEADER_CORES, cfg.link_mbps / LEADER_LINK_MBPS)
    return WEAK_DELAY_SECONDS * (1.0 - strength)


def _row(host: str, address: str, term: str) -> bytes:
    return json.dumps({"host": host, "address": address, "term": term}).encode()


def _term(value: bytes | None) -> str:
    try:
        return str(json.loads(value or b"{}").get("term", ""))
    except (ValueError, AttributeError):
        return ""
