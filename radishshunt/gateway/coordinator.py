"""The leading host's work: it divides keys and decides which of them move."""

from __future__ import annotations

import logging
import math
from abc import ABC, abstractmethod
from dataclasses import replace
from itertools import groupby
from typing import TYPE_CHECKING

import trio

from radishshunt.gateway.key_maps import subtract
from radishshunt.gateway.key_mover import KeyMover
from radishshunt.gateway.leadership import LeaseLost
from radishshunt.placement.key_ranges import (
    Heat,
    Holder,
    Move,
    overloaded,
    plan_first,
    plan_moves,
)

if TYPE_CHECKING:
    from radishshunt.clock import Clock
    from radishshunt.gateway.key_mover import ServiceKeys
    from radishshunt.gateway.leadership import Leadership
    from radishshunt.gateway.model import KeyRange, Service
    from radishshunt.gateway.protocol import TargetProtocol
    from radishshunt.gateway.settings import HostSettings
    from radishshunt.gateway.view import Target, View

logger = logging.getLogger(__name__)

PLAN_SECONDS = 0.2
# Ranges for each target beyond which neighbouring ranges of one owner are joined, and the runs
# that one round joins.
RANGES_PER_TARGET = 3
MAX_MERGES = 8
# At the first start, targets register within this time of each other.
FIRST_PLAN_SECONDS = 1.5
# Keys are first divided when no target has registered for this many heartbeats.
QUIET_HEARTBEATS = 1.5
LONGEST_FIRST_PLAN_SECONDS = 5.0
# Renewals that fail for this long make a target's keys go to others.
LOST_SECONDS = 1.2
# Share of a cold target's bound that placement plans for.
COLD_PLAN_SHARE = 0.5


class HeatSource(ABC):
    """Load by key and capacity by target, as measured by all hosts."""

    @abstractmethod
    def heat(self, service: str) -> Heat:
        """Return the measured load of a service's keys."""

    @abstractmethod
    def work_seconds(self, target: str) -> float:
        """Return the mean time for which a request holds a slot of a target."""


class Coordinator:
    """Orders keys while this host leads.

    :ivar mover: Carries the moves out.
    """

    def __init__(
        self,
        cfg: HostSettings,
        view: View,
        leadership: Leadership,
        protocol: TargetProtocol,
        heat: HeatSource,
        clock: Clock,
    ) -> None:
        self.mover = KeyMover(cfg, view, leadership, protocol, clock)
        self._cfg = cfg
        self._view = view
        self._leadership = leadership
        self._heat = heat
        self._clock = clock
        self._started_at = 0.0
        self._first_seen: dict[str, tuple[int, float]] = {}

    def update_settings(self, cfg: HostSettings) -> None:
        """Take bounds that have changed."""
        self._cfg = cfg
        self.mover.update_settings(cfg)

    async def run(self) -> None:
        """Lead whenever the lease allows it."""
        while True:
            await self._leadership.wait_for_term()
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._keep_term, nursery.cancel_scope)
                    await self._lead(nursery)
            except* LeaseLost:
                logger.info("another host leads now")
            finally:
                self.mover.end_term()
                self._view.overloaded = {}

    async def _keep_term(self, scope: trio.CancelScope) -> None:
        await self._leadership.keep()
        scope.cancel()

    async def _lead(self, nursery: trio.Nursery) -> None:
        await self._leadership.read_rows()
        self._started_at = self._clock.now()
        self.mover.start_term(nursery)
        while True:
            self._view.overloaded = {}
            self._plan()
            self._view.set_moving(self.mover.moving)
            await trio.sleep(PLAN_SECONDS)

    def _plan(self) -> None:
        cfg = self._view.cfg
        if cfg is None:
            return
        for service in cfg.services.values():
            if not service.keyed:
                continue
            keys = self.mover.services.get(service.name)
            if keys is None:
                self._plan_first(service)
            elif not keys.key_map.ranges:
                continue
            else:
                self._plan_service(service, keys)

    def _plan_first(self, service: Service) -> None:
        """Divide the keys of a service for the first time."""
        now = self._clock.now()
        holders = self._holders(service)
        if len(holders) != self._first_seen.get(service.name, (0, 0.0))[0]:
            self._first_seen[service.name] = (len(holders), now)
        quiet = now - self._first_seen.get(service.name, (0, now))[1]
        waited = now - self._started_at
        if waited < LONGEST_FIRST_PLAN_SECONDS and (
            waited < FIRST_PLAN_SECONDS or quiet < QUIET_HEARTBEATS * self._cfg.heartbeat_seconds
        ):
            return
        moves = plan_first(holders.values(), self._heat.heat(service.name))
        if not moves:
            return
        self.mover.divide(service.name, moves)

    def _plan_service(self, service: Service, keys: ServiceKeys) -> None:
        holders = self._holders(service)
        heat = self._heat.heat(service.name)
        for move in keys.moves:
            if move.to in holders:
                holders[move.to].load += heat.load(move.first, move.last)
        ranges = [
            # A target that has started anew holds nothing.
            item if self._is_current(item) else replace(item, target="")
            for item in subtract(keys.key_map.ranges, ((m.first, m.last) for m in keys.moves))
        ]
        self._view.overloaded |= overloaded(ranges, holders, heat)
        for move in plan_moves(ranges, holders, heat):
            self.mover.begin(service.name, keys, move)
        if len(keys.key_map.ranges) > RANGES_PER_TARGET * max(1, len(holders)):
            self._merge(service.name, keys)

    def _merge(self, service: str, keys: ServiceKeys) -> None:
        """Join neighbouring ranges of one owner, so that renewals stay few."""
        ranges = subtract(keys.key_map.ranges, ((m.first, m.last) for m in keys.moves))
        runs = 0
        for (target, life), group in groupby(ranges, key=lambda r: (r.target, r.life)):
            run = list(group)
            whole = run[-1].last - run[0].first + 1 == sum(r.last - r.first + 1 for r in run)
            if len(run) > 1 and whole and (target, life) in self.mover.orders and runs < MAX_MERGES:
                runs += 1
                self.mover.begin(service, keys, Move(run[0].first, run[-1].last, target, target))

    def _holders(self, service: Service) -> dict[str, Holder]:
        holders = {}
        for target in self._view.targets_of(service.name):
            entry = target.entry
            orders = self.mover.orders.get((entry.id, entry.life))
            lost = (
                orders is not None
                and orders.failing_since is not None
                and self._clock.now() - orders.failing_since > LOST_SECONDS
            )
            usable = self._usable(target) and not lost
            if orders is not None and orders.ended:
                usable = False
            cold = self._view.is_cold(target)
            limit = math.inf
            if cold and service.cold_per_second:
                limit = COLD_PLAN_SHARE * service.cold_per_second
            holders[entry.id] = Holder(
                id=entry.id,
                capacity=entry.slots / self._heat.work_seconds(entry.id),
                accepts=usable,
                keeps=usable,
                limit=limit,
            )
        return holders

    def _usable(self, target: Target) -> bool:
        return target.leaving_since is None and target.entry.domain not in self._view.evacuated

    def _is_current(self, item: KeyRange) -> bool:
        """Return whether the process that owns a range is the one that is registered."""
        target = self._view.targets.get(item.target)
        return target is None or target.entry.life == item.life
