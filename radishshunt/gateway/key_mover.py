"""Moves of keys between targets, and the grants that say who owns them."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from radishshunt.errors import OutcomeUnknown, PlatformUnavailable, ProtocolError
from radishshunt.gateway.key_maps import KEY_MAP_PREFIX, encode_key_map, split_ranges, subtract
from radishshunt.gateway.leadership import LeaseLost
from radishshunt.gateway.model import KeyMap, KeyRange, TargetEntry
from radishshunt.gateway.orders import (
    CLOCK_FACTOR,
    HOLD_SECONDS,
    LONG_HOLD_SECONDS,
    ORDER_SECONDS,
    RENEW_SECONDS,
    TRAVEL_SECONDS,
    FenceTooLow,
    TargetOrders,
)
from radishshunt.gateway.rows import Row
from radishshunt.logs import decision
from radishshunt.placement.key_ranges import Move

if TYPE_CHECKING:
    from radishshunt.clock import Clock
    from radishshunt.gateway.leadership import Leadership
    from radishshunt.gateway.protocol import TargetProtocol
    from radishshunt.gateway.settings import HostSettings
    from radishshunt.gateway.view import View

logger = logging.getLogger(__name__)

DEFAULT_HEALTH_PATH = "/healthz"
WATCH_SECONDS = 0.1
# The store counts as silent after this time, and grants are made to last.
STORE_SILENT_SECONDS = 1.0
COMMIT_RETRY_SECONDS = 0.1
# Fencing tokens that a leader may draw between two writes of a key map.
TERM_FENCE_GAP = 1000


@dataclass(slots=True, eq=False)
class ActiveMove:
    """A move on its way.

    :param handover: Text of the release, empty without one.
    """

    service: str
    first: int
    last: int
    source: str
    to: str
    handover: str = ""


@dataclass(slots=True)
class ServiceKeys:
    """Keys of one service in this term.

    :param version: Version of the row that holds the key map.
    """

    key_map: KeyMap
    version: int
    moves: list[ActiveMove] = field(default_factory=list)
    ready: list[ActiveMove] = field(default_factory=list)
    reserved_fence: int = 0
    # A key map is built from the last one written, so that writes follow one another.
    writing: trio.Lock = field(default_factory=trio.Lock)

    def draw_fence(self) -> int:
        """Return a fencing token that was never used."""
        self.reserved_fence = max(self.reserved_fence, self.key_map.next_fence)
        fence = self.reserved_fence
        self.reserved_fence += 1
        return fence


class KeyMover:
    """Owns the grants of a term and carries moves out.

    :ivar services: Keys by service.
    :ivar orders: Grants by registration and life of a target.
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
        self.orders: dict[tuple[str, int], TargetOrders] = {}
        self._cfg = cfg
        self._view = view
        self._leadership = leadership
        self._protocol = protocol
        self._clock = clock
        self._nursery: trio.Nursery | None = None
        self._started_at = 0.0
        self._trouble = trio.Event()

    @property
    def moving(self) -> dict[str, list[tuple[int, int]]]:
        """Keys on their way to another target, by service."""
        return {
            name: [(move.first, move.last) for move in keys.moves]
            for name, keys in self.services.items()
            if keys.moves
        }

    def update_settings(self, cfg: HostSettings) -> None:
        """Take bounds that have changed."""
        self._cfg = cfg

    def start_term(self, nursery: trio.Nursery) -> None:
        """Take over all ranges as the view's key maps say.

        :param nursery: Ends with the term.
        """
        self._nursery = nursery
        self._started_at = self._clock.now()
        self._trouble = trio.Event()
        known = self.orders if self._leadership.resumed else {}
        self.orders = {}
        self.services = {}
        for key, orders in known.items():
            self.orders[key] = orders
            nursery.start_soon(self._keep_grants, orders)
        nursery.start_soon(self._watch_lease)
        held_until = self._unrecorded_until()
        for name, index in self._view.key_maps.items():
            keys = ServiceKeys(index.key_map, self._view.key_map_versions[name])
            # The earlier leader may have drawn tokens that it did not write.
            keys.reserved_fence = index.key_map.next_fence + TERM_FENCE_GAP
            self.services[name] = keys
            for item in index.key_map.ranges:
                self._adopt(item, name, held_until)

    def end_term(self) -> None:
        """Close the connections; what is known of grants stays for a term that follows at once."""
        for orders in self.orders.values():
            orders.close()
        self._nursery = None

    def divide(self, service: str, moves: list[Move]) -> None:
        """Give the keys of a service to their first owners."""
        keys = self.services[service] = ServiceKeys(KeyMap(), 0)
        for move in moves:
            active = ActiveMove(service, move.first, move.last, "", move.to)
            keys.moves.append(active)
            keys.ready.append(active)
        self._spawn_commit(service)

    async def _watch_lease(self) -> None:
        """Wake the renewals when the store stops renewing the lease."""
        while True:
            if self._leadership.troubled:
                decision("lease-troubled", term=self._leadership.term)
                self._trouble.set()
                while self._leadership.troubled:
                    await trio.sleep(WATCH_SECONDS)
                self._trouble = trio.Event()
            await trio.sleep(WATCH_SECONDS)

    def _adopt(self, item: KeyRange, service: str, held_until: float) -> None:
        """Take a range that an earlier leader granted, or this host in its last term."""
        orders = self.orders.get((item.target, item.life))
        if orders is not None:
            # From this host's last term, since which nobody else has granted anything.
            if not orders.covers(item.first, item.last):
                orders.adopt(item, orders.bound)
            return
        target = self._view.targets.get(item.target)
        if target is not None and target.entry.life == item.life:
            entry = target.entry
        else:
            entry = TargetEntry(item.target, item.life, service, item.address, "", 1, True, 0.0)
        self._orders_for(entry).adopt(item, held_until)

    def _orders_for(self, entry: TargetEntry) -> TargetOrders:
        key = (entry.id, entry.life)
        found = self.orders.get(key)
        if found is None:
            found = TargetOrders(
                entry,
                self._protocol,
                self._clock,
                lambda: self._leadership.valid,
                self._health_path(entry.service),
            )
            self.orders[key] = found
            if self._nursery is not None:
                self._nursery.start_soon(self._keep_grants, found)
        return found

    def _health_path(self, service: str) -> str:
        cfg = self._view.cfg
        found = cfg.services.get(service) if cfg else None
        return found.health_path if found else DEFAULT_HEALTH_PATH

    async def _keep_grants(self, orders: TargetOrders) -> None:
        """Renew a target's grants."""
        while not orders.ended:
            silent = self._leadership.troubled or self._view.store_age > STORE_SILENT_SECONDS
            seconds = LONG_HOLD_SECONDS if silent else HOLD_SECONDS
            seconds = min(seconds, self._cfg.bounds.hold_max)
            try:
                await orders.renew(seconds)
            except FenceTooLow as exc:
                decision("fence-too-low", target=orders.entry.id, fence=exc.fence)
                self._regrant(orders)
            trouble = self._trouble
            if trouble.is_set():
                await trio.sleep(RENEW_SECONDS)
                continue
            with trio.move_on_after(RENEW_SECONDS):
                await trouble.wait()

    def _regrant(self, orders: TargetOrders) -> None:
        """Give a target its keys anew with higher fencing tokens."""
        entry = orders.entry
        keys = self.services.get(entry.service)
        if keys is None:
            return
        owned = [
            item
            for item in subtract(keys.key_map.ranges, ((m.first, m.last) for m in keys.moves))
            if (item.target, item.life) == (entry.id, entry.life)
        ]
        for item in owned:
            self.begin(entry.service, keys, Move(item.first, item.last, entry.id, entry.id))

    def begin(self, service: str, keys: ServiceKeys, move: Move) -> None:
        """Start a move."""
        active = ActiveMove(service, move.first, move.last, move.source, move.to)
        keys.moves.append(active)
        decision(
            "move",
            service=service,
            first=move.first,
            last=move.last,
            source=move.source,
            to=move.to,
        )
        if self._nursery is not None:
            self._nursery.start_soon(self._free, keys, active)

    async def _free(self, keys: ServiceKeys, move: ActiveMove) -> None:
        """Wait until the source of a move no longer holds the keys."""
        owners = [
            item
            for item in split_ranges(list(keys.key_map.ranges), move.first, move.last)
            if move.first <= item.first and item.last <= move.last
        ]
        for owner in owners:
            if owner.target == move.to and self._cut_for_regrant(owner):
                continue
            handover = await self._free_range(keys, owner)
            move.handover = handover if len(owners) == 1 else ""
        keys.ready.append(move)
        self._spawn_commit(move.service)

    def _cut_for_regrant(self, owner: KeyRange) -> bool:
        """Take keys out of the renewals of a target that keeps them under a higher token."""
        target = self._view.targets.get(owner.target)
        if target is None or target.entry.life != owner.life:
            return False
        orders = self.orders.get((owner.target, owner.life))
        return orders is not None and orders.cut(owner.first, owner.last) is not None

    async def _free_range(self, keys: ServiceKeys, owner: KeyRange) -> str:
        orders = self.orders.get((owner.target, owner.life))
        if orders is None:
            await self._wait_until(self._unrecorded_until(), owner)
            return ""
        piece = orders.cut(owner.first, owner.last)
        if piece is None:
            await self._wait_until(self._unrecorded_until(), owner)
            return ""
        if self._has_ended(owner):
            return ""
        release = await orders.release(piece, keys.draw_fence)
        if not release.done:
            decision("release-failed", target=owner.target, first=owner.first, last=owner.last)
            await self._wait_until(release.until, owner)
        return release.handover

    def _unrecorded_until(self) -> float:
        """Return until when a target may hold keys of which this term has no record."""
        return self._started_at + LONG_HOLD_SECONDS * CLOCK_FACTOR + ORDER_SECONDS + TRAVEL_SECONDS

    async def _wait_until(self, moment: float, owner: KeyRange) -> None:
        while self._clock.now() < moment and not self._has_ended(owner):
            await trio.sleep(0.1)

    def _has_ended(self, owner: KeyRange) -> bool:
        """Return whether the process that was granted the keys has certainly ended."""
        orders = self.orders.get((owner.target, owner.life))
        if orders is not None and orders.ended:
            return True
        target = self._view.targets.get(owner.target)
        if target is not None and target.entry.life > owner.life:
            return True
        address = owner.address
        return any(
            other.entry.address == address
            and other.entry.id != owner.target
            and other.entry.life > owner.life > 0
            for other in self._view.targets.values()
        )

    def _spawn_commit(self, service: str) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(self._commit, service)

    async def _commit(self, service: str) -> None:
        """Write the new owners of all moves that are ready, then grant the keys."""
        keys = self.services[service]
        async with keys.writing:
            ready, keys.ready = keys.ready, []
            if not ready:
                return
            granted = self._granted(keys, ready)
            ranges = list(keys.key_map.ranges)
            for item, move in granted:
                ranges = [
                    old
                    for old in split_ranges(ranges, move.first, move.last)
                    if not (move.first <= old.first and old.last <= move.last)
                ]
                ranges.append(item)
            ranges.sort(key=lambda r: r.first)
            await self._write(service, keys, KeyMap(tuple(ranges), keys.reserved_fence))
        for item, move in granted:
            if self._nursery is not None:
                self._nursery.start_soon(self._grant, keys, item, move)

    def _granted(
        self, keys: ServiceKeys, ready: list[ActiveMove]
    ) -> list[tuple[KeyRange, ActiveMove]]:
        """Return the ranges that moves lead to, with new fencing tokens."""
        granted = []
        for move in ready:
            target = self._view.targets.get(move.to)
            life = target.entry.life if target else 0
            address = target.entry.address if target else ""
            item = KeyRange(move.first, move.last, move.to, life, keys.draw_fence(), address)
            granted.append((item, move))
        return granted

    async def _write(self, service: str, keys: ServiceKeys, new: KeyMap) -> None:
        """Write a key map; only the leader does, so that a conflict is an own earlier write."""
        row_key = KEY_MAP_PREFIX + service
        value = encode_key_map(new)
        while True:
            checks = {row_key: keys.version}
            try:
                result = await self._leadership.commit(checks, [(row_key, value)])
            except (PlatformUnavailable, OutcomeUnknown, ProtocolError) as exc:
                logger.info("writing the key map of %s failed: %s", service, exc)
                await trio.sleep(COMMIT_RETRY_SECONDS)
                continue
            version = result.version
            row = result.current.get(row_key)
            if not result.done:
                if row is None or row.version == keys.version:
                    continue
                if row.value != value:
                    raise LeaseLost
                version = row.version
            keys.key_map, keys.version = new, version
            self._leadership.take_written(Row(row_key, version, value))
            return

    async def _grant(self, keys: ServiceKeys, item: KeyRange, move: ActiveMove) -> None:
        target = self._view.targets.get(item.target)
        if target is not None and target.entry.life == item.life:
            orders = self._orders_for(target.entry)
            try:
                await orders.grant(item, HOLD_SECONDS, move.handover)
            except FenceTooLow:
                decision("fence-too-low", target=item.target, fence=item.fence)
        if move in keys.moves:
            keys.moves.remove(move)
