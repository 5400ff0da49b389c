"""The lease that makes one host at a time the leader, which assigns keys to targets."""

from __future__ import annotations

import logging
from random import Random
from typing import TYPE_CHECKING
from uuid import uuid4

import trio

from radishshunt.errors import PlatformOutcomeUnknown, PlatformUnavailable, ProtocolError
from radishshunt.gateway.key_maps import KEY_MAP_PREFIX
from radishshunt.gateway.leader_row import LEADER_KEY, Leader, decode_leader, encode_leader
from radishshunt.gateway.rows import (
    Change,
    HistoryLost,
    Row,
    StoreRestored,
    Topic,
    restore_count,
)
from radishshunt.logs import decision

if TYPE_CHECKING:
    from radishshunt.gateway.rows import Commit, RowStore
    from radishshunt.gateway.settings import HostSettings
    from radishshunt.gateway.view import View

logger = logging.getLogger(__name__)

# A host may acquire the lease when the leader's row has not changed for this long.
LEASE_SECONDS = 2.5
# The leader's own lease ends this much earlier, counted from when it sent its last renewal.
LEASE_MARGIN_SECONDS = 0.4
RENEW_INTERVAL_SECONDS = 0.8
# A lease with less time left than this was not renewed in time.
EXPIRY_WARNING_SECONDS = 0.8
RETRY_DELAY_SECONDS = 0.2
POLL_INTERVAL_SECONDS = 0.2
# During a day with 82 hosts and 157 targets that hold keys, the busiest host used 0.41 of a core.
# Hosts with less than about twice as much delay their acquisition of the lease by up to
# MAX_TAKEOVER_DELAY_SECONDS, so that a slow host leads only if no other host does. Lease, delay and
# jitter together stay below the duration of a grant.
RECOMMENDED_LEADER_CORES = 0.7
RECOMMENDED_LEADER_LINK_MBPS = 40.0
MAX_TAKEOVER_DELAY_SECONDS = 1.0
# A host whose last news of the store is older than this asks the store who leads before it acquires
# the lease: a restored store may have given out the version of the row that the host knows again.
MAX_NEWS_AGE_SECONDS = 1.8
# Additional delay of a host that knows no more than the copy from which the store was restored.
LOST_ROWS_DELAY_SECONDS = 0.5
# Keeps hosts that see the lease expire from all writing at the same time.
TAKEOVER_JITTER_SECONDS = 0.3


class LeaseLost(Exception):
    """This host is no longer the leader."""


class Leadership:
    """Acquires, renews and releases the leader lease of this host.

    :ivar term: Random identifier of this host's term; empty while it does not lead.
    :ivar resigned_term: Last term that this host has ended before its lease, or empty.
    :ivar resumed: Whether no other host has led since this host last recorded all grants.
    :ivar acquired_ms: Time of the store's clock at the start of the term.
    :ivar stored_versions: Version of each row in the store at the start of the term, by key.
    :ivar key_maps_uncertain: Whether the store was restored after the known key maps were written,
        so that another leader may have written newer ones that are lost.
    :ivar only_copy_known: Whether they are uncertain and this host knows no more than the copy from
        which the store was restored.
    """

    def __init__(
        self, cfg: HostSettings, view: View, store: RowStore, rng: Random | None = None
    ) -> None:
        self.term = ""
        self.resigned_term = ""
        self.resumed = False
        self.acquired_ms = 0
        self.stored_versions: dict[str, int] = {}
        self.key_maps_uncertain = False
        self.only_copy_known = False
        # Own term until whose end this host's record of grants is complete; empty if there is none.
        self._recorded_term = ""
        self._cfg = cfg
        self._view = view
        self._store = store
        self._rng = rng or Random()
        self._valid_until = float("-inf")
        # Time at which the last successful acquisition or renewal was sent.
        self._renewed_at = float("-inf")
        # Time at which the acquisition of the present term was sent.
        self._acquired_at = float("-inf")
        self._version = 0
        # Whether the row of the leader has to be read again after a restore. The grants that this
        # host has recorded are then known to be the latest ones only within LEASE_SECONDS.
        self._store_restored = False
        # Whether the rows were read in this term, so that the view includes every earlier write.
        self._rows_read = False
        self._address = f"{cfg.ip}:{cfg.peer_port}"
        self._commit_lock = trio.Lock()
        self._renewal_scope: trio.CancelScope | None = None
        self._stopping = False

    def update_settings(self, cfg: HostSettings) -> None:
        """Apply changed bounds."""
        self._cfg = cfg

    @property
    def valid(self) -> bool:
        """Whether this host is the leader now."""
        return bool(self.term) and self._view.clock.now() < self._valid_until

    @property
    def lease_expiring(self) -> bool:
        """Whether the lease is about to expire because its renewals do not succeed."""
        return self.valid and self._view.clock.now() > self._valid_until - EXPIRY_WARNING_SECONDS

    async def wait_for_term(self) -> None:
        """Return once this host is the leader, never after its lease was released."""
        delay = self._rng.uniform(0, TAKEOVER_JITTER_SECONDS) + takeover_delay_seconds(self._cfg)
        earliest_at = self._view.clock.now() + takeover_delay_seconds(self._cfg)
        while True:
            ready = self._view.versions[Topic.OWN] and self._view.clock.now() >= earliest_at
            if ready and not self._has_just_resigned and self._may_acquire(delay):
                try:
                    async with self._commit_lock:
                        if not self._stopping and await self._acquire():
                            return
                except (PlatformUnavailable, PlatformOutcomeUnknown, ProtocolError) as exc:
                    logger.info("acquiring the lease failed: %s", exc)
            with trio.move_on_after(self._seconds_until_check(delay)):
                await self._view.resignation_recorded.wait()

    def _seconds_until_check(self, delay: float) -> float:
        """Return the seconds until this host checks again whether it may acquire the lease.

        Hosts that all checked at the same times would acquire it at the same time.
        """
        seconds = self._view.leader_row_seen_at + LEASE_SECONDS + delay - self._view.clock.now()
        return min(POLL_INTERVAL_SECONDS, seconds) if seconds > 0.0 else POLL_INTERVAL_SECONDS

    async def keep_renewing(self) -> None:
        """Renew the lease until it is lost, released or resigned."""
        term = self.term
        with trio.CancelScope() as self._renewal_scope:
            await self._renew_regularly()
        self._renewal_scope = None
        decision("lease-lost", term=term)
        self.term = ""

    @property
    def has_lost_store(self) -> bool:
        """Whether the store has not answered this leader for longer than a slow one would take."""
        answered_age = min(
            self._view.freshness.followed_age, self._view.clock.now() - self._acquired_at
        )
        return self.valid and answered_age > self._cfg.bounds.lost_store_age_seconds

    def resign(self) -> None:
        """End the term before the lease, as other hosts can lead and this one cannot.

        Nothing is written to the store, which this host does not reach. Hosts that are told of the
        resigned term need not wait for the end of the lease.
        """
        decision(
            "lease-resigned", term=self.term, state_age=round(self._view.freshness.followed_age, 3)
        )
        self.resigned_term, self.term = self.term, ""
        self._valid_until = float("-inf")
        if self._renewal_scope is not None:
            self._renewal_scope.cancel()

    @property
    def _has_just_resigned(self) -> bool:
        """Whether no other host has led since this one resigned, and it still lacks the store."""
        return (
            bool(self.resigned_term)
            and self._view.leader.term == self.resigned_term
            and self._view.freshness.followed_age > self._cfg.bounds.live_state_age_seconds
        )

    async def _renew_regularly(self) -> None:
        while self.valid:
            sent_at = self._view.clock.now()
            try:
                async with self._commit_lock:
                    if not self.term:
                        break
                    await self._renew(sent_at)
                await trio.sleep(RENEW_INTERVAL_SECONDS)
            except (PlatformUnavailable, PlatformOutcomeUnknown, ProtocolError) as exc:
                logger.info("renewing the lease failed: %s", exc)
                await trio.sleep(RETRY_DELAY_SECONDS)
            except LeaseLost:
                break
            except StoreRestored:
                # The rows that were lost are written again at the start of a term.
                self._end_lease_after_restore()

    async def read_rows(self) -> None:
        """Read the rows of the router's own table again.

        Writes of earlier terms that are still in flight fail from now on, since they check the
        version of the leader's row.
        """
        while True:
            try:
                change = await self._store.read(Topic.OWN)
                self._view.apply(change)
                self.stored_versions = {row.key: row.version for row in change.rows}
                self._rows_read = True
                self._judge_key_maps()
                return
            except (PlatformUnavailable, ProtocolError) as exc:
                logger.info("reading the rows at the start of the term failed: %s", exc)
                await trio.sleep(RETRY_DELAY_SECONDS)

    def mark_grants_recorded(self) -> None:
        """Record that this host knows all grants that a target may hold keys by.

        A term that ends earlier says nothing about the grants of the leaders before it.
        """
        self._recorded_term = self.term

    async def commit(self, checks: dict[str, int], writes: list[tuple[str, bytes]]) -> Commit:
        """Write rows under the lease.

        :raises LeaseLost: If the lease has expired or another host leads.
        """
        async with self._commit_lock:
            if not self.valid:
                raise LeaseLost
            try:
                result = await self._store.commit({LEADER_KEY: self._version, **checks}, writes)
            except StoreRestored as exc:
                self._end_lease_after_restore()
                raise LeaseLost from exc
            row = result.current.get(LEADER_KEY)
            if row is not None and row.version != self._version:
                self._record_own_version(row.version, row.value or b"")
            return result

    def apply_written_rows(self, rows: tuple[Row, ...]) -> None:
        """Apply rows that this host wrote as the leader in one transaction to its view.

        No other host writes these rows during the term, so once they have been read, the view is
        complete up to the version of the rows.
        """
        version = rows[0].version if self._rows_read else 0
        self._view.apply(Change(Topic.OWN, rows, version, whole=False))

    async def release_lease(self) -> None:
        """Release the lease so that another host can acquire it at once, and acquire none again."""
        self._stopping = True
        async with self._commit_lock:
            if not self.valid:
                return
            version, self.term = self._version, ""
            try:
                with trio.move_on_after(0.5):
                    await self._store.commit(
                        {LEADER_KEY: version}, [(LEADER_KEY, encode_leader(Leader()))]
                    )
            except (
                PlatformUnavailable,
                PlatformOutcomeUnknown,
                ProtocolError,
                StoreRestored,
            ) as exc:
                logger.info("releasing the lease failed: %r", exc)

    @property
    def _key_maps_confirmed(self) -> bool:
        """Whether the known key maps were all written since the last restore, and for certain."""
        restores = restore_count(self._view.versions[Topic.OWN])
        return not self._view.uncertain_key_maps and all(
            restore_count(version) == restores for version in self._view.key_map_versions.values()
        )

    @property
    def _knows_lost_rows(self) -> bool:
        """Whether this host has followed the key maps since the store wrote those of the copy."""
        first_restores = restore_count(self._view.first_versions[Topic.OWN])
        return all(
            first_restores <= restore_count(version)
            for version in self._view.key_map_versions.values()
        )

    def _may_acquire(self, delay: float) -> bool:
        leader = self._view.leader
        if not self._key_maps_confirmed and not self._knows_lost_rows:
            # Hosts that know what the store has lost go first.
            delay += LOST_ROWS_DELAY_SECONDS
            return self._view.clock.now() - self._view.leader_row_seen_at > LEASE_SECONDS + delay
        if leader.version == 0 or not leader.host or leader.term == self._view.resigned_term:
            return True
        if leader.host == self._cfg.name and leader.address == self._address:
            # Only an earlier process of this host used this name and address, and it has ended.
            return True
        return self._view.clock.now() - self._view.leader_row_seen_at > LEASE_SECONDS + delay

    async def _acquire(self) -> bool:
        term = uuid4().hex
        previous = self._view.leader
        expected = await self._read_leader_version()
        if self._view.leader.version != previous.version:
            # Another host has led meanwhile.
            return False
        sent_at = self._view.clock.now()
        value = encode_leader(Leader(self._cfg.name, self._address, term))
        try:
            try:
                result = await self._store.commit({LEADER_KEY: expected}, [(LEADER_KEY, value)])
            except PlatformOutcomeUnknown:
                result = await self._store.commit({LEADER_KEY: expected}, [(LEADER_KEY, value)])
        except StoreRestored:
            self._store_restored = True
            return False
        version = result.version
        row = result.current.get(LEADER_KEY)
        if not result.done:
            if row is None or _decode_term(row.value) != term:
                decision(
                    "lease-conflict", version=expected, stored_version=row.version if row else 0
                )
                if row is not None:
                    self._view.apply(Change(Topic.OWN, (row,), 0, whole=False))
                if self._view.leader.version == previous.version:
                    # The store has a row that counts as older than the known one.
                    self._store_restored = True
                return False
            version = row.version
        # Other hosts wait LEASE_SECONDS from a row that they saw after it was sent.
        led_last = bool(self._recorded_term) and previous.term == self._recorded_term
        undisturbed = self._view.clock.now() - self._renewed_at < LEASE_SECONDS
        self.resumed = led_last and (undisturbed or not self._store_restored)
        # A term that resumes another one keeps its record complete, even if it ends at once.
        self._recorded_term = term if self.resumed else ""
        self._store_restored = False
        self.term = term
        self.acquired_ms = result.time_ms
        self._version = version
        self._rows_read = False
        self.apply_written_rows((Row(LEADER_KEY, version, value),))
        self._renewed_at = self._acquired_at = sent_at
        self._valid_until = sent_at + LEASE_SECONDS - LEASE_MARGIN_SECONDS
        decision(
            "lease",
            term=term,
            version=version,
            previous_leader=previous.host,
            previous_term=previous.term,
            resumed=self.resumed,
        )
        return True

    async def _read_leader_version(self) -> int:
        """Return the version of the leader's row in the store, 0 if there is none."""
        view = self._view
        version = view.versions[Topic.OWN]
        restores = max(map(restore_count, view.versions.values()))
        restored = self._store_restored or 0 < restore_count(view.leader.version) < restores
        if not restored:
            if view.freshness.seconds_since_store_answer < MAX_NEWS_AGE_SECONDS:
                return view.leader.version
            try:
                view.apply(await self._store.changes(Topic.OWN, version, 0.0))
                return view.leader.version
            except HistoryLost:
                pass
        change = await self._store.read(Topic.OWN)
        view.apply(change)
        self._store_restored = restored or restore_count(change.version) > restore_count(version)
        return next((row.version for row in change.rows if row.key == LEADER_KEY), 0)

    def _end_lease_after_restore(self) -> None:
        self._store_restored = True
        self._valid_until = float("-inf")

    def store_has_key_map(self, service: str) -> bool:
        """Return whether the store has the known key map of a service since its last restore."""
        version = self._view.key_map_versions[service]
        return (
            restore_count(version) == restore_count(self._version)
            and service not in self._view.uncertain_key_maps
            and self.stored_versions.get(KEY_MAP_PREFIX + service) == version
        )

    def _judge_key_maps(self) -> None:
        """Judge whether the known key maps are the newest ones that were ever written."""
        unconfirmed = not self._key_maps_confirmed
        # An earlier term of this host may have ended before the uncertainty did.
        self.key_maps_uncertain = unconfirmed and (not self.resumed or self.key_maps_uncertain)
        self.only_copy_known = self.key_maps_uncertain and not self._knows_lost_rows
        if unconfirmed:
            decision(
                "key-maps-unconfirmed",
                term=self.term,
                uncertain=self.key_maps_uncertain,
                lost=self.only_copy_known,
            )

    async def _renew(self, sent_at: float) -> None:
        value = encode_leader(Leader(self._cfg.name, self._address, self.term))
        result = await self._store.commit({LEADER_KEY: self._version}, [(LEADER_KEY, value)])
        if result.done:
            self._version = result.version
            self._renewed_at = sent_at
            self._valid_until = sent_at + LEASE_SECONDS - LEASE_MARGIN_SECONDS
            self._view.record_store_answer()
            self.apply_written_rows((Row(LEADER_KEY, result.version, value),))
            return
        row = result.current.get(LEADER_KEY)
        if row is None:
            raise LeaseLost
        self._record_own_version(row.version, row.value or b"")
        raise PlatformOutcomeUnknown("an earlier renewal took effect late")

    def _record_own_version(self, version: int, value: bytes) -> None:
        """Record the row version of an own write whose answer was lost.

        :raises LeaseLost: If another host wrote the row.
        """
        if _decode_term(value) != self.term:
            self._valid_until = float("-inf")
            raise LeaseLost
        self._version = version


def takeover_delay_seconds(cfg: HostSettings) -> float:
    """Return the seconds by which a host delays its acquisition in favor of faster hosts."""
    return MAX_TAKEOVER_DELAY_SECONDS * (1.0 - takeover_capacity(cfg))


def takeover_capacity(cfg: HostSettings) -> float:
    """Return the capacity of a host relative to that recommended for a leader, at most 1."""
    return min(
        1.0, cfg.cores / RECOMMENDED_LEADER_CORES, cfg.link_mbps / RECOMMENDED_LEADER_LINK_MBPS
    )


def _decode_term(value: bytes | None) -> str:
    """Return the term in a leader's row, empty if the row is absent or malformed."""
    try:
        return decode_leader(value or b"").term
    except ProtocolError:
        return ""
