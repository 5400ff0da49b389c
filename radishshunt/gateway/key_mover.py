"""Moves of keys between targets, and the grants of their owners."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio

from radishshunt.errors import PlatformOutcomeUnknown, PlatformUnavailable, ProtocolError
from radishshunt.gateway.key_maps import (
    KEY_MAP_PREFIX,
    encode_key_map_rows,
    split_ranges,
    subtract,
)
from radishshunt.gateway.key_release import KeyReleaser
from radishshunt.gateway.leadership import LEASE_SECONDS, LeaseLost
from radishshunt.gateway.model import KeyMap, KeyRange, TargetEntry
from radishshunt.gateway.rows import Row, Topic, restore_count
from radishshunt.gateway.service_keys import ActiveMove, ServiceKeys
from radishshunt.gateway.target_grants import (
    GRANT_SECONDS,
    MAX_GRANT_LIFETIME_SECONDS,
    OUTAGE_GRANT_SECONDS,
    RENEW_INTERVAL_SECONDS,
    FenceTooLow,
    TargetGrants,
)
from radishshunt.logs import decision
from radishshunt.placement.key_ranges import KeyRangeMove

if TYPE_CHECKING:
    from radishshunt.clock import Clock
    from radishshunt.gateway.leadership import Leadership
    from radishshunt.gateway.protocol import TargetProtocol
    from radishshunt.gateway.settings import HostSettings
    from radishshunt.gateway.view import View

logger = logging.getLogger(__name__)

DEFAULT_HEALTH_PATH = "/healthz"
LEASE_CHECK_INTERVAL_SECONDS = 0.1
# Longer grants are used once the store has not answered for this long.
STORE_SILENT_SECONDS = 1.0
COMMIT_RETRY_SECONDS = 0.1
# Fencing tokens that a leader may allocate between two writes of a key map.
MAX_UNWRITTEN_FENCES = 1000
# The tokens of a term start at this multiple of the store's time in ms, so that those of later
# terms are higher whether they were written or not. A term must not allocate more in each ms.
FENCES_PER_MS = 100


class KeyMover:
    """Owns the grants of a term and executes moves.

    :ivar services: Keys by service.
    :ivar grants: Grants by registration and incarnation of a target.
    """

    def __init__(
        self,
        cfg: HostSettings,
        view: View,
        leadership: Leadership,
        protocol: TargetProtocol,
        clock: Clock,
    ) -> None:
        self.services: dict[str, ServiceKeys] = {}
        self.grants: dict[tuple[str, int], TargetGrants] = {}
        self._releaser = KeyReleaser(view, clock, self.grants, self._unknown_grants_expiry)
        self._cfg = cfg
        self._view = view
        self._leadership = leadership
        self._protocol = protocol
        self._clock = clock
        self._nursery: trio.Nursery | None = None
        self._started_at = 0.0
        # Time until which targets may hold keys by key maps that the store has lost. A term that
        # resumes another one has to wait no longer than that one, but as long.
        self._lost_grants_expiry = float("-inf")
        # Set to renew all grants at once, replaced by a new event afterwards.
        self._renew_now = trio.Event()

    @property
    def moving(self) -> dict[str, list[tuple[int, int]]]:
        """First and last key of each range that is being moved, by service."""
        return {
            name: [(move.first, move.last) for move in keys.moves]
            for name, keys in self.services.items()
            if keys.moves
        }

    @property
    def settled(self) -> bool:
        """Whether no target can hold keys by grants that the known key maps do not show."""
        return (
            not self._leadership.key_maps_uncertain
            or self._clock.now() >= self._unknown_grants_expiry()
        )

    @property
    def may_assign(self) -> bool:
        """Whether no target can hold keys for which no key map is known."""
        restored = restore_count(self._view.versions[Topic.OWN]) > 1
        return not restored or self._clock.now() >= self._lost_grants_expiry

    def may_move(self, key_range: KeyRange) -> bool:
        """Return whether the owner of a range is known for certain."""
        grants = self.grants.get((key_range.target, key_range.incarnation))
        return self.settled or (grants is not None and grants.has_accepted(key_range))

    def update_settings(self, cfg: HostSettings) -> None:
        """Apply changed bounds from the settings."""
        self._cfg = cfg

    def start_term(self, nursery: trio.Nursery, started_at: float) -> None:
        """Start a term with the ranges in the view's key maps.

        :param nursery: Is cancelled at the end of the term.
        :param started_at: Time at which the term began; no earlier leader has granted keys since.
        """
        self._nursery = nursery
        self._started_at = started_at
        self._renew_now = trio.Event()
        earlier_grants = self.grants if self._leadership.resumed else {}
        latest_expiry = max((grants.latest_expiry for grants in earlier_grants.values()), default=0)
        decision(
            "grants",
            term=self._leadership.term,
            known_targets=len(earlier_grants),
            held_seconds=round(max(0.0, latest_expiry - self._clock.now()), 3),
        )
        self.grants = {}
        self._releaser = KeyReleaser(
            self._view, self._clock, self.grants, self._unknown_grants_expiry
        )
        self.services = {}
        for key, grants in earlier_grants.items():
            # A move that the end of the term interrupted has split its ranges.
            grants.forget_ranges()
            self.grants[key] = grants
            nursery.start_soon(self._renew_grants, grants)
        nursery.start_soon(self._watch_lease_expiry)
        unknown_grants_expiry = self._unknown_grants_expiry()
        if not self._leadership.resumed:
            self._lost_grants_expiry = unknown_grants_expiry
        for name, index in self._view.key_maps.items():
            parts = len(index.parts) if len(index.parts) > 1 else 0
            version = self._leadership.stored_versions.get(KEY_MAP_PREFIX + name, 0)
            keys = ServiceKeys(index.key_map, version, parts)
            # The previous leader may have allocated tokens that it did not write.
            keys.next_unused_fence = max(
                index.next_fence + MAX_UNWRITTEN_FENCES, self._first_fence()
            )
            self.services[name] = keys
            decision(
                "key-map",
                service=name,
                version=keys.version,
                ranges=len(keys.key_map.ranges),
                reason="term-start",
            )
            if self._leadership.only_copy_known:
                self._assign_known_owners(name, keys)
                continue
            for key_range in keys.key_map.ranges:
                self._record_earlier_grant(key_range, name, unknown_grants_expiry)
            if keys.key_map.ranges and not self._leadership.store_has_key_map(name):
                nursery.start_soon(self._rewrite_key_map, name, keys)
        self._leadership.mark_grants_recorded()

    def _assign_known_owners(self, service: str, keys: ServiceKeys) -> None:
        """Assign keys that nobody holds to their owners in an older key map, with new tokens."""
        for key_range in keys.key_map.ranges:
            target = key_range.target
            move = ActiveMove(service, key_range.first, key_range.last, target, target)
            keys.moves.append(move)
            keys.ready_moves.append(move)
        self._start_commit(service)

    def _first_fence(self) -> int:
        """Return a fencing token above all that earlier terms have allocated."""
        return self._leadership.acquired_ms * FENCES_PER_MS

    def end_term(self) -> None:
        """Close the connections.

        The grants stay recorded, for the case that this host also leads the next term.
        """
        for grants in self.grants.values():
            grants.close()
        self._nursery = None

    def assign_initial_owners(self, service: str, moves: list[KeyRangeMove]) -> None:
        """Assign the keys of a service to their first owners."""
        keys = self.services[service] = ServiceKeys(KeyMap(), 0)
        keys.next_unused_fence = self._first_fence()
        for move in moves:
            active_move = ActiveMove(service, move.first, move.last, "", move.to)
            keys.moves.append(active_move)
            keys.ready_moves.append(active_move)
        self._start_commit(service)

    async def _watch_lease_expiry(self) -> None:
        """Trigger renewals of all grants when the lease is not renewed in time."""
        while True:
            if self._leadership.lease_expiring:
                decision("lease-troubled", term=self._leadership.term)
                self._renew_now.set()
                while self._leadership.lease_expiring:
                    await trio.sleep(LEASE_CHECK_INTERVAL_SECONDS)
                self._renew_now = trio.Event()
            await trio.sleep(LEASE_CHECK_INTERVAL_SECONDS)

    def _record_earlier_grant(
        self, key_range: KeyRange, service: str, unknown_grants_expiry: float
    ) -> None:
        """Record a range that an earlier leader granted, or this host in its last term."""
        grants = self.grants.get((key_range.target, key_range.incarnation))
        if grants is not None:
            # No other host has granted keys since this host's last term.
            grants.record_earlier_grant(key_range, grants.latest_expiry)
            return
        target = self._view.targets.get(key_range.target)
        if target is not None and target.entry.incarnation == key_range.incarnation:
            entry = target.entry
        elif not key_range.address:
            # Nothing can be sent to it; its keys move when grants of earlier terms have expired.
            return
        else:
            entry = TargetEntry(
                key_range.target,
                key_range.incarnation,
                service,
                key_range.address,
                "",
                1,
                True,
                0.0,
            )
        self._grants_for(entry).record_earlier_grant(key_range, unknown_grants_expiry)

    def _grants_for(self, entry: TargetEntry) -> TargetGrants:
        key = (entry.id, entry.incarnation)
        grants = self.grants.get(key)
        if grants is None:
            grants = TargetGrants(
                entry,
                self._protocol,
                self._clock,
                lambda: self._leadership.valid,
                self._health_path(entry.service),
                lambda statement: self._view.record_statements((statement,), own=True),
            )
            self.grants[key] = grants
            if self._nursery is not None:
                self._nursery.start_soon(self._renew_grants, grants)
        return grants

    def _health_path(self, service: str) -> str:
        cfg = self._view.cfg
        service_cfg = cfg.services.get(service) if cfg else None
        return service_cfg.health_path if service_cfg else DEFAULT_HEALTH_PATH

    async def _renew_grants(self, grants: TargetGrants) -> None:
        """Renew the grants of a target until its process ends."""
        while not grants.process_ended:
            if self._has_restarted(grants.entry):
                # The entry of another writer stands until the target writes its own again.
                await trio.sleep(RENEW_INTERVAL_SECONDS)
                continue
            store_silent = (
                self._leadership.lease_expiring
                or self._view.freshness.seconds_since_store_answer > STORE_SILENT_SECONDS
            )
            seconds = OUTAGE_GRANT_SECONDS if store_silent else GRANT_SECONDS
            seconds = min(seconds, self._cfg.bounds.max_grant_seconds)
            try:
                if self._needs_reachability_check(grants):
                    await grants.check_reachable()
                await grants.renew(seconds)
            except FenceTooLow as exc:
                decision("fence-too-low", target=grants.entry.id, fence=exc.fence)
                if self.settled:
                    self._regrant_with_higher_fences(grants)
            renew_now = self._renew_now
            if renew_now.is_set():
                await trio.sleep(RENEW_INTERVAL_SECONDS)
                continue
            with trio.move_on_after(RENEW_INTERVAL_SECONDS):
                await renew_now.wait()

    def _needs_reachability_check(self, grants: TargetGrants) -> bool:
        """Return whether only a check can show that a target may hold keys again."""
        target = self._view.targets.get(grants.entry.id)
        return (
            grants.failing_since is not None
            and not grants.renewed_ranges
            and target is not None
            and target.leaving_since is None
        )

    def _has_restarted(self, entry: TargetEntry) -> bool:
        """Return whether a later process is registered under a target's name."""
        target = self._view.targets.get(entry.id)
        return target is not None and target.entry.incarnation > entry.incarnation

    def _regrant_with_higher_fences(self, grants: TargetGrants) -> None:
        """Grant a target its keys again with higher fencing tokens."""
        entry = grants.entry
        keys = self.services.get(entry.service)
        if keys is None:
            return
        owned = [
            key_range
            for key_range in subtract(keys.key_map.ranges, ((m.first, m.last) for m in keys.moves))
            if (key_range.target, key_range.incarnation) == (entry.id, entry.incarnation)
        ]
        for key_range in owned:
            self.start_move(
                entry.service,
                keys,
                KeyRangeMove(key_range.first, key_range.last, entry.id, entry.id),
            )

    def start_move(self, service: str, keys: ServiceKeys, move: KeyRangeMove) -> None:
        """Start a move."""
        active_move = ActiveMove(service, move.first, move.last, move.source, move.to)
        keys.moves.append(active_move)
        decision(
            "move",
            service=service,
            first=move.first,
            last=move.last,
            source=move.source,
            to=move.to,
        )
        if self._nursery is not None:
            self._nursery.start_soon(self._release_sources, keys, active_move)

    async def _release_sources(self, keys: ServiceKeys, move: ActiveMove) -> None:
        """Wait until the former owners no longer hold the keys of a move."""
        owners = [
            key_range
            for key_range in split_ranges(list(keys.key_map.ranges), move.first, move.last)
            if move.first <= key_range.first and key_range.last <= move.last
        ]
        for owner in owners:
            if not owner.target:
                continue
            if owner.target == move.to and self._stop_renewing_for_regrant(owner, move):
                continue
            handover = await self._releaser.release(keys, owner)
            move.handover = handover if len(owners) == 1 else ""
        keys.ready_moves.append(move)
        self._start_commit(move.service)

    def _stop_renewing_for_regrant(self, owner: KeyRange, move: ActiveMove) -> bool:
        """Stop renewing keys of a target that is granted them again with a higher token.

        :return: Whether the target was found with the keys, so that no release is needed.
        """
        target = self._view.targets.get(owner.target)
        if target is None or target.entry.incarnation != owner.incarnation:
            return False
        grants = self.grants.get((owner.target, owner.incarnation))
        granted_range = grants.stop_renewing(owner.first, owner.last) if grants else None
        if granted_range is None:
            return False
        move.held_until = max(move.held_until, granted_range.expiry.until)
        return True

    def _unknown_grants_expiry(self) -> float:
        """Return until when a target may hold keys by a grant that this term has no record of."""
        expiry = self._started_at + MAX_GRANT_LIFETIME_SECONDS
        if self._leadership.key_maps_uncertain and not self._leadership.only_copy_known:
            # A leader of before the restore does not notice that its lease was acquired.
            expiry += LEASE_SECONDS
        return expiry

    def _start_commit(self, service: str) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(self._commit, service)

    async def _commit(self, service: str) -> None:
        """Write the new owners of all ready moves, then grant them the keys."""
        keys = self.services[service]
        async with keys.write_lock:
            ready, keys.ready_moves = keys.ready_moves, []
            if not ready:
                return
            granted = self._allocate_ranges(keys, ready)
            ranges = list(keys.key_map.ranges)
            for key_range, move in granted:
                ranges = [
                    old
                    for old in split_ranges(ranges, move.first, move.last)
                    if not (move.first <= old.first and old.last <= move.last)
                ]
                ranges.append(key_range)
            ranges.sort(key=lambda r: r.first)
            await self._write_key_map(service, keys, KeyMap(tuple(ranges), keys.next_unused_fence))
        for key_range, move in granted:
            if self._nursery is not None:
                self._nursery.start_soon(self._grant, keys, key_range, move)

    def _allocate_ranges(
        self, keys: ServiceKeys, ready: list[ActiveMove]
    ) -> list[tuple[KeyRange, ActiveMove]]:
        """Return the ranges of the new owners with newly allocated fencing tokens."""
        granted = []
        for move in ready:
            fence = keys.allocate_fence()
            target = self._view.targets.get(move.to)
            if target is None:
                # The target has been forgotten meanwhile; another one gets the keys.
                key_range = KeyRange(move.first, move.last, "", 0, fence)
            else:
                entry = target.entry
                key_range = KeyRange(
                    move.first, move.last, entry.id, entry.incarnation, fence, entry.address
                )
            granted.append((key_range, move))
        return granted

    async def _rewrite_key_map(self, service: str, keys: ServiceKeys) -> None:
        """Write a key map again that the store may have lost, once it is certain."""
        while not self.settled:
            await trio.sleep(LEASE_CHECK_INTERVAL_SECONDS)
        async with keys.write_lock:
            new = KeyMap(keys.key_map.ranges, keys.next_unused_fence)
            await self._write_key_map(service, keys, new)

    async def _write_key_map(self, service: str, keys: ServiceKeys, new: KeyMap) -> None:
        """Write a key map.

        Only the leader writes key maps, so a conflict comes from an earlier write by this host.
        """
        row_key = KEY_MAP_PREFIX + service
        rows, parts = encode_key_map_rows(
            service, new, keys.parts, self._cfg.max_row_bytes, uncertain=not self.settled
        )
        # The index row is part of each write, so that its version stands for all rows.
        changed = [
            (key, value)
            for key, value in rows.items()
            if key == row_key or keys.written.get(key) != value
        ]
        while True:
            checks = {row_key: keys.version}
            try:
                result = await self._leadership.commit(checks, changed)
            except (PlatformUnavailable, PlatformOutcomeUnknown, ProtocolError) as exc:
                logger.info("writing the key map of %s failed: %s", service, exc)
                await trio.sleep(COMMIT_RETRY_SECONDS)
                continue
            version = result.version
            row = result.current.get(row_key)
            if not result.done:
                if row is None or row.version == keys.version:
                    continue
                if row.value != rows[row_key]:
                    decision(
                        "key-map-conflict",
                        service=service,
                        version=keys.version,
                        stored_version=row.version,
                    )
                    raise LeaseLost
                version = row.version
            keys.key_map, keys.version, keys.parts, keys.written = new, version, parts, rows
            decision(
                "key-map",
                service=service,
                version=version,
                ranges=len(new.ranges),
                reason="written",
            )
            self._leadership.apply_written_rows(
                tuple(Row(key, version, value) for key, value in changed)
            )
            return

    async def _grant(self, keys: ServiceKeys, key_range: KeyRange, move: ActiveMove) -> None:
        target = self._view.targets.get(key_range.target)
        if target is not None and target.entry.incarnation == key_range.incarnation:
            grants = self._grants_for(target.entry)
            try:
                await grants.grant(key_range, GRANT_SECONDS, move.handover, move.held_until)
            except FenceTooLow:
                decision("fence-too-low", target=key_range.target, fence=key_range.fence)
        if move in keys.moves:
            keys.moves.remove(move)
