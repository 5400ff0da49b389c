"""Assignment of keys to targets by the leader."""

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
from radishshunt.gateway.target_grants import MAX_GRANT_LIFETIME_SECONDS
from radishshunt.placement.key_ranges import (
    KeyRangeMove,
    KeyRates,
    RangeTarget,
    overload_ratios,
    plan_initial_moves,
    plan_moves,
)
from radishshunt.policy.direct.cold_rate import SAFE_SHARE as COLD_SAFE_SHARE

if TYPE_CHECKING:
    from radishshunt.clock import Clock
    from radishshunt.gateway.leadership import Leadership
    from radishshunt.gateway.model import KeyRange, Service, TargetEntry
    from radishshunt.gateway.protocol import TargetProtocol
    from radishshunt.gateway.service_keys import ServiceKeys
    from radishshunt.gateway.settings import HostSettings
    from radishshunt.gateway.view import Target, View

logger = logging.getLogger(__name__)

PLAN_INTERVAL_SECONDS = 0.2
# Adjacent ranges of one owner are merged when there are more ranges per target than this. Each
# planning round merges at most MAX_MERGES_PER_ROUND groups of ranges.
MAX_RANGES_PER_TARGET = 3
MAX_MERGES_PER_ROUND = 8
# At the first start, targets register within this time of each other.
MIN_FIRST_PLAN_DELAY_SECONDS = 1.5
# Keys are assigned for the first time once the number of targets has not changed for this many
# heartbeats.
STABLE_HEARTBEATS = 1.5
MAX_FIRST_PLAN_DELAY_SECONDS = 5.0
# A target loses its keys to other targets when its renewals have failed for longer than this.
RENEWAL_FAILURE_SECONDS = 1.2
# Fraction of a cold target's request rate limit that placement plans for.
COLD_PLAN_FRACTION = 0.5
# Multiple of the limit that a target has named that placement plans for. Hosts refuse what exceeds
# the limit; if all of it was moved, the targets with room would be overloaded.
NAMED_LIMIT_PLAN_FACTOR = 1.3


class LoadStatistics(ABC):
    """Request rates of keys and work times of targets, measured by all hosts."""

    @abstractmethod
    def key_rates(self, service: str) -> KeyRates:
        """Return the measured request rates of a service's keys."""

    @abstractmethod
    def work_seconds(self, target: str) -> float:
        """Return the mean time for which a request occupies a slot of a target."""

    @abstractmethod
    def request_limit(self, target: str) -> float:
        """Return the requests per second that a target takes, infinite if it names no limit."""

    def usable_slots(self, entry: TargetEntry) -> float:
        """Return how many requests a target runs concurrently without slowing down."""
        return entry.slots


class Coordinator:
    """Assigns keys to targets while this host is the leader.

    :ivar mover: Executes the moves.
    :ivar hosts: Number of hosts that share the operators' bounds.
    """

    def __init__(
        self,
        cfg: HostSettings,
        view: View,
        leadership: Leadership,
        protocol: TargetProtocol,
        load_statistics: LoadStatistics,
        clock: Clock,
    ) -> None:
        self.mover = KeyMover(cfg, view, leadership, protocol, clock)
        self.hosts = 1
        self._cfg = cfg
        self._view = view
        self._leadership = leadership
        self._load_statistics = load_statistics
        self._clock = clock
        self._started_at = 0.0
        # Number of targets by service, and the time at which it last changed.
        self._target_counts: dict[str, tuple[int, float]] = {}

    def update_settings(self, cfg: HostSettings) -> None:
        """Apply changed bounds from the settings."""
        self._cfg = cfg
        self.mover.update_settings(cfg)

    async def run(self) -> None:
        """Assign keys during each term of this host, until cancelled."""
        while True:
            await self._leadership.wait_for_term()
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._renew_lease, nursery.cancel_scope)
                    await self._run_term(nursery)
            except* LeaseLost:
                logger.info("this host lost the lease and is no longer the leader")
            finally:
                self.mover.end_term()
                self._view.overloaded = {}

    async def _renew_lease(self, scope: trio.CancelScope) -> None:
        await self._leadership.keep_renewing()
        scope.cancel()

    async def _run_term(self, nursery: trio.Nursery) -> None:
        await self._leadership.read_rows()
        self._started_at = self._clock.now()
        if self._leadership.only_copy_known:
            # Only the targets know who holds which keys, until all earlier grants have ended.
            await trio.sleep(MAX_GRANT_LIFETIME_SECONDS)
        self.mover.start_term(nursery, self._started_at)
        while True:
            self._view.overloaded = {}
            self._plan_services()
            self._view.set_moving(self.mover.moving)
            await trio.sleep(PLAN_INTERVAL_SECONDS)

    def _plan_services(self) -> None:
        cfg = self._view.cfg
        if cfg is None:
            return
        for service in cfg.services.values():
            if not service.keyed:
                continue
            keys = self.mover.services.get(service.name)
            if keys is None:
                if self.mover.may_assign:
                    self._plan_initial_ranges(service)
            elif not keys.key_map.ranges:
                continue
            else:
                self._plan_service(service, keys)

    def _plan_initial_ranges(self, service: Service) -> None:
        """Assign the keys of a service to targets for the first time."""
        now = self._clock.now()
        targets = self._range_targets(service)
        if len(targets) != self._target_counts.get(service.name, (0, 0.0))[0]:
            self._target_counts[service.name] = (len(targets), now)
        stable_seconds = now - self._target_counts.get(service.name, (0, now))[1]
        term_seconds = now - self._started_at
        if term_seconds < MAX_FIRST_PLAN_DELAY_SECONDS and (
            term_seconds < MIN_FIRST_PLAN_DELAY_SECONDS
            or stable_seconds < STABLE_HEARTBEATS * self._cfg.heartbeat_seconds
        ):
            return
        moves = plan_initial_moves(targets.values(), self._load_statistics.key_rates(service.name))
        if not moves:
            return
        self.mover.assign_initial_owners(service.name, moves)

    def _plan_service(self, service: Service, keys: ServiceKeys) -> None:
        targets = self._range_targets(service)
        key_rates = self._load_statistics.key_rates(service.name)
        for move in keys.moves:
            if move.to in targets:
                targets[move.to].load += key_rates.load(move.first, move.last)
        ranges = [
            # A restarted target holds no keys.
            key_range if self._owner_is_current(key_range) else replace(key_range, target="")
            for key_range in subtract(keys.key_map.ranges, ((m.first, m.last) for m in keys.moves))
            if self.mover.may_move(key_range)
        ]
        self._view.overloaded |= overload_ratios(ranges, targets, key_rates)
        for move in plan_moves(ranges, targets, key_rates):
            self.mover.start_move(service.name, keys, move)
        if self.mover.settled and len(keys.key_map.ranges) > MAX_RANGES_PER_TARGET * max(
            1, len(targets)
        ):
            self._merge_adjacent_ranges(service.name, keys)

    def _merge_adjacent_ranges(self, service: str, keys: ServiceKeys) -> None:
        """Merge adjacent ranges of one owner to limit the number of renewals."""
        ranges = subtract(keys.key_map.ranges, ((m.first, m.last) for m in keys.moves))
        merges = 0
        for (target, incarnation), group in groupby(
            ranges, key=lambda r: (r.target, r.incarnation)
        ):
            adjacent = list(group)
            contiguous = adjacent[-1].last - adjacent[0].first + 1 == sum(
                r.last - r.first + 1 for r in adjacent
            )
            if (
                len(adjacent) > 1
                and contiguous
                and (target, incarnation) in self.mover.grants
                and merges < MAX_MERGES_PER_ROUND
            ):
                merges += 1
                self.mover.start_move(
                    service,
                    keys,
                    KeyRangeMove(adjacent[0].first, adjacent[-1].last, target, target),
                )

    def _range_targets(self, service: Service) -> dict[str, RangeTarget]:
        targets = {}
        for target in self._view.targets_of(service.name):
            entry = target.entry
            grants = self.mover.grants.get((entry.id, entry.incarnation))
            renewals_failing = (
                grants is not None
                and grants.failing_since is not None
                and self._clock.now() - grants.failing_since > RENEWAL_FAILURE_SECONDS
            )
            lost = renewals_failing or (grants is not None and grants.process_ended)
            cold = self._view.is_cold(target)
            limit = cold_limit = math.inf
            if cold and service.cold_per_second:
                limit = COLD_PLAN_FRACTION * service.cold_per_second
                bounds = self._cfg.bounds
                allowed = service.cold_per_second * bounds.cold_multiplier + bounds.cold_slack
                # One request of each of fewer hosts stays within what operators allow.
                if self.hosts > allowed:
                    cold_limit = COLD_SAFE_SHARE * allowed
            slots = self._load_statistics.usable_slots(entry)
            capacity = slots / self._load_statistics.work_seconds(entry.id)
            named_limit = self._load_statistics.request_limit(entry.id)
            targets[entry.id] = RangeTarget(
                id=entry.id,
                capacity=min(capacity, NAMED_LIMIT_PLAN_FACTOR * named_limit),
                accepts_keys=self._accepts_keys(target) and not lost,
                keeps_keys=self._keeps_keys(target) and not lost,
                load_limit=limit,
                named_limit=not math.isinf(named_limit),
                cold_limit=cold_limit,
            )
        return targets

    def _accepts_keys(self, target: Target) -> bool:
        return target.leaving_since is None and target.entry.domain not in self._view.evacuated

    def _keeps_keys(self, target: Target) -> bool:
        """Return whether the keys of a target may stay with it.

        Keys that are released while the store is silent have no owner until it answers, so that
        those of a target that only states that it is leaving move once the store has answered.
        """
        if self._accepts_keys(target):
            return True
        stated_only = not target.entry.draining and not target.gone
        return (
            stated_only
            and target.entry.domain not in self._view.evacuated
            and self._view.freshness.store_answered_at <= (target.leaving_since or 0.0)
        )

    def _owner_is_current(self, key_range: KeyRange) -> bool:
        """Return whether no other incarnation of a range's owner is registered."""
        target = self._view.targets.get(key_range.target)
        return target is None or target.entry.incarnation == key_range.incarnation
