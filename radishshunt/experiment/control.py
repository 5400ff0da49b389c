"""Simulated control plane of one service: planning of moves, failover, faults, load reports."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import numpy as np

from radishshunt.clock import CLOCK_SKEW_BOUND_SECONDS
from radishshunt.experiment.deployments import (
    COLD_SLOTS,
    COLD_SLOWDOWN,
    KEY_COUNT,
    REPORT_DELAY_SECONDS,
    SLICES,
    SLOTS,
)
from radishshunt.ownership import LOST_AFTER_SECONDS, RENEW_INTERVAL_SECONDS
from radishshunt.placement import PlacementTarget, PlacementView
from radishshunt.placement.balanced import BalancedPlacement
from radishshunt.policy.capacity import capacity_of

if TYPE_CHECKING:
    from radishshunt.experiment.simulation import DispatchSimulation, SimLane
    from radishshunt.placement import Move

PLAN_INTERVAL_SECONDS = 0.5
GRANT_SECONDS = 1.2
# Time to fence, write the row and grant in a planned move, without the wait for running requests.
MOVE_SECONDS = 0.05
# Time from the acceptance of a release note until the dispatchers apply it.
NOTE_DELAY_SECONDS = 0.3


class ControlPlane:
    """Plans moves of slices in a simulation and injects faults.

    A failover takes the time that section 4.3 of the design specifies; the ownership protocol
    itself is not simulated.

    :ivar standby: Standby lane of each slice.
    """

    def __init__(self, sim: DispatchSimulation) -> None:
        self.sim = sim
        self.platform_up = True
        self.placement = sim.variant.placement()
        self.rate_estimator = sim.variant.rate_estimator()
        self.drain = sim.profile.drain()
        self.records = sim.records
        self.standby: dict[int, SimLane] = {}
        self._moved_to_standby: set[int] = set()
        self._moved_at: dict[int, float] = {}
        self._key_counts: dict[int, int] = {}
        self._lanes_by_name = {lane.target.name: lane for lane in sim.lanes}
        self._hot_key_trackers = [sim.variant.hot_keys() for _ in sim.groups]
        self._hot_slices: dict[int, int] = {}
        self._next_slice = SLICES
        if sim.keyed:
            self._assign_slices()
            if sim.variant.adaptive and not sim.variant.constants.no_isolation:
                sim.key_counter = self._count_key

    def start(self, seconds: float) -> None:
        """Schedule planning, load reports and load samples until a time.

        :param seconds: End of the schedule, in simulated seconds.
        """
        sim = self.sim
        steps = int(seconds / PLAN_INTERVAL_SECONDS)
        for step in range(1, steps + 1):
            sim.call_at(step * PLAN_INTERVAL_SECONDS, self._plan)
        for second in range(1, int(seconds) + 1):
            sim.call_at(second - 0.001, self._sample_loads)
            sim.call_at(float(second), self._send_load_reports)

    def lose_target(self, lane: SimLane) -> None:
        """Stop a target and fail over its slices."""
        lane.target.restart(self.sim.now, alive=False)
        self.sim.break_connections(lane)
        renewal_phase = self.sim.random.random() * RENEW_INTERVAL_SECONDS
        self._fail_over(
            lane, renewal_phase + LOST_AFTER_SECONDS + GRANT_SECONDS + CLOCK_SKEW_BOUND_SECONDS
        )

    def restore_target(self, lane: SimLane) -> None:
        """Start a lost target again; it is cold."""
        sim = self.sim
        lane.target.restart(sim.now)
        lane.state.on_cold(sim.now)
        lane.serving = True
        lane.takes_work = True

    def restart_target(self, lane: SimLane) -> None:
        """Restart a target without downtime; it is cold and has a new incarnation."""
        sim = self.sim
        lane.target.restart(sim.now)
        sim.break_connections(lane)
        detected_after = sim.random.random() * RENEW_INTERVAL_SECONDS
        sim.call_at(sim.now + detected_after, lane.state.on_cold, sim.now + detected_after)
        if sim.keyed:
            self._fail_over(lane, detected_after + GRANT_SECONDS + CLOCK_SKEW_BOUND_SECONDS)
            sim.call_at(sim.now + detected_after + 0.1, self._resume, lane)

    def make_cold(self, lane: SimLane) -> None:
        """Make a target cold without a restart, so that only its answers show it."""
        lane.target.refuses_when_cold = True
        lane.target.become_cold(self.sim.now)

    def take_out_domain(self, domain: str) -> None:
        """Take a failure domain out of use once the release note reaches the dispatchers."""
        self.sim.call_at(self.sim.now + NOTE_DELAY_SECONDS, self._set_domain_in_use, domain, False)

    def restore_domain(self, domain: str) -> None:
        """Restart a failure domain's targets, and use it again once the release note arrives."""
        for lane in self.sim.lanes:
            if lane.target.domain == domain:
                lane.target.restart(self.sim.now)
                lane.state.on_cold(self.sim.now)
        self.sim.call_at(self.sim.now + NOTE_DELAY_SECONDS, self._set_domain_in_use, domain, True)

    def set_platform(self, up: bool) -> None:
        """Begin or end an outage of the platform."""
        self.platform_up = up
        if up:
            self._moved_to_standby.clear()

    def true_loads(self) -> dict[str, float]:
        """Return each target's share of the offered load, computed from the popularity of keys."""
        shares = self.sim.workload.key_shares_at(self.sim.now)
        per_slice = np.bincount(self.sim.slice_of_key, weights=shares)
        loads = dict.fromkeys(self._lanes_by_name, 0.0)
        for slice_number, lane in self.sim.owner.items():
            if slice_number < len(per_slice):
                loads[lane.target.name] += float(per_slice[slice_number])
        return loads

    def reference_moves(self, limit: float) -> int:
        """Return the number of moves of a planner that knows the exact popularity of keys.

        The planner stops as soon as no target exceeds the limit. The result approximates the
        smallest possible number of moves; the exact minimum is not computed.

        :param limit: Maximum load of a target relative to the mean.
        """
        sim = self.sim
        shares = sim.workload.key_shares_at(sim.now)
        per_slice = np.bincount(sim.slice_of_key, weights=shares)
        view = PlacementView(
            targets=[
                PlacementTarget(o.target.name, o.target.group, o.target.domain) for o in sim.lanes
            ],
            owners={n: lane.target.name for n, lane in sim.owner.items()},
            load=dict(enumerate(per_slice.tolist())),
            now=sim.now,
            sample_requests=1e12,
        )
        planner = BalancedPlacement(imbalance_limit=limit, fill_limit=limit, moves_per_round=SLICES)
        return len(planner.moves(view))

    def _assign_slices(self) -> None:
        lanes = self.sim.lanes
        for key in range(KEY_COUNT):
            slice_number = self.sim.slice_of_key[key]
            self._key_counts[slice_number] = self._key_counts.get(slice_number, 0) + 1
        total = max(self.sim.slice_of_key) + 1
        for slice_number in range(total):
            owner = lanes[slice_number * len(lanes) // total]
            self.sim.owner[slice_number] = owner
            self.standby[slice_number] = self._standby_of(owner, slice_number)

    def _standby_of(self, owner: SimLane, slice_number: int) -> SimLane:
        group = self.sim.groups[owner.target.group]
        candidates = [
            lane
            for lane in group
            if lane is not owner and lane.target.domain != owner.target.domain and lane.takes_work
        ] or [lane for lane in group if lane is not owner]
        return candidates[slice_number % len(candidates)]

    def _set_domain_in_use(self, domain: str, takes_work: bool) -> None:
        for lane in self.sim.lanes:
            if lane.target.domain == domain:
                lane.takes_work = takes_work
                if not takes_work:
                    self._requeue(lane, None)
        if self.sim.keyed and not takes_work:
            self._plan(forced_only=True)

    def _requeue(self, lane: SimLane, slice_number: int | None) -> None:
        for req in list(lane.state.waiting):
            if slice_number is None or req.slice == slice_number:
                lane.state.withdraw(req)
                self.sim.call_at(self.sim.now, self.sim.route, req)

    def _fail_over(self, lane: SimLane, seconds: float) -> None:
        """Stop serving on a target and hand its slices over to their standbys.

        :param seconds: Time until the standbys may serve the slices.
        """
        sim = self.sim
        lane.serving = False
        self._requeue(lane, None)
        for slice_number, owner in list(sim.owner.items()):
            if owner is not lane:
                continue
            standby = self.standby[slice_number]
            usable = standby.serving and standby.takes_work and standby.target.alive
            if not usable:
                # Owner and standby are both unusable, so the table has to assign new targets.
                candidates = [o for o in sim.lanes if o.serving and o.takes_work]
                if not candidates or not self.platform_up:
                    continue
                standby = min(candidates, key=lambda o: o.state.outstanding)
            self._hand_over(slice_number, standby, seconds, forced=True)
            keys = self._key_counts.get(slice_number, 0)
            self.records.recovery_times.append((seconds, keys))

    def _resume(self, lane: SimLane) -> None:
        lane.serving = True
        lane.takes_work = True

    def _hand_over(self, slice_number: int, to: SimLane, seconds: float, *, forced: bool) -> None:
        sim = self.sim
        source = sim.owner[slice_number]
        keys = self._key_counts.get(slice_number, 0)
        sim.owner[slice_number] = to
        self.standby[slice_number] = (
            source
            if source.target.group == to.target.group and source.target.alive
            else self._standby_of(to, slice_number)
        )
        sim.available_at[slice_number] = sim.now + seconds
        self._moved_at[slice_number] = sim.now
        self.records.moves.append((sim.now, slice_number, keys, forced))
        self.records.unavailable_key_seconds += keys * seconds

    def _move(self, move: Move) -> None:
        sim = self.sim
        source = self._lanes_by_name[move.source]
        running = [r.ends_at for r in source.state.running if r.slice == move.slice]
        wait = max(0.0, max(running, default=0.0) - sim.now)
        self._hand_over(
            move.slice, self._lanes_by_name[move.to], wait + MOVE_SECONDS, forced=move.forced
        )
        self._requeue(source, move.slice)

    def _plan(self, forced_only: bool = False) -> None:
        sim = self.sim
        if not sim.keyed:
            self._share_typical_answer_time()
            return
        if not forced_only:
            self.rate_estimator.update(sim.request_counts, PLAN_INTERVAL_SECONDS)
            sim.request_counts = {}
            self._share_typical_answer_time()
            self._update_hot_keys()
        view = PlacementView(
            targets=[self._placement_target(lane) for lane in sim.lanes],
            owners={slice_number: lane.target.name for slice_number, lane in sim.owner.items()},
            load=dict(self.rate_estimator.rates()),
            now=sim.now,
            sample_requests=self.rate_estimator.sample_requests(len(sim.lanes)),
            moved_at=self._moved_at,
            standbys={
                slice_number: lane.target.name for slice_number, lane in self.standby.items()
            },
            standbys_only=not self.platform_up,
            utilisation=self._utilisation(),
        )
        for move in self.placement.moves(view):
            if forced_only and not move.forced:
                continue
            standby = self.standby[move.slice]
            if not self.platform_up and move.forced and standby.takes_work and standby.serving:
                move = replace(move, to=standby.target.name)
            if self.platform_up:
                self._move(move)
            elif (
                self._lanes_by_name[move.to] is self.standby[move.slice]
                and move.slice not in self._moved_to_standby
            ):
                # Without the table, each slice can move only once, from its owner to its standby.
                self._moved_to_standby.add(move.slice)
                self._move(move)

    def _utilisation(self) -> float:
        service_seconds = float(np.median([lane.state.service_seconds for lane in self.sim.lanes]))
        return (
            sum(self.rate_estimator.rates().values())
            * service_seconds
            / (SLOTS * len(self.sim.lanes))
        )

    def _placement_target(self, lane: SimLane) -> PlacementTarget:
        target = lane.target
        capacity = capacity_of(
            target.name,
            lane.state,
            self.sim.straggler_detectors[target.group],
            self.drain,
            lane.takes_work and lane.serving,
            self.sim.now,
            self.sim.variant.constants.straggler_share,
        )
        return PlacementTarget(target.name, target.group, target.domain, capacity)

    def _share_typical_answer_time(self) -> None:
        """Give every group's straggler detector the median of all groups' typical answer times."""
        typical_seconds = [
            u for d in self.sim.straggler_detectors if (u := d.median_answer_seconds()) > 0
        ]
        if typical_seconds:
            median_seconds = float(np.median(typical_seconds))
            for detector in self.sim.straggler_detectors:
                detector.set_typical_seconds(median_seconds)

    def _count_key(self, key: int, slice_number: int) -> None:
        self._hot_key_trackers[self.sim.owner[slice_number].target.group].count(key)

    def _update_hot_keys(self) -> None:
        if self.sim.key_counter is None:
            return
        mean = sum(self.rate_estimator.rates().values()) / len(self.sim.lanes)
        for tracker in self._hot_key_trackers:
            for change in tracker.changes(mean, PLAN_INTERVAL_SECONDS, self.sim.now):
                if change.isolate and change.key_hash not in self._hot_slices:
                    self._isolate_key(change.key_hash)

    def _isolate_key(self, key: int) -> None:
        """Move a key into a slice of its own that keeps the owner and the standby."""
        sim = self.sim
        old_slice = sim.slice_of_key[key]
        slice_number = self._next_slice
        self._next_slice += 1
        self._hot_slices[key] = slice_number
        sim.slice_of_key[key] = slice_number
        sim.owner[slice_number] = sim.owner[old_slice]
        self.standby[slice_number] = self.standby[old_slice]
        sim.available_at[slice_number] = sim.available_at.get(old_slice, 0.0)
        self._key_counts[slice_number] = 1
        self._key_counts[old_slice] -= 1

    def _send_load_reports(self) -> None:
        for lane in self.sim.lanes:
            if lane.target.alive:
                load = lane.target.load(self.sim.now)
                self.sim.call_at(
                    self.sim.now + REPORT_DELAY_SECONDS, self._deliver_load_report, lane, load
                )

    def _deliver_load_report(self, lane: SimLane, load: float) -> None:
        group = lane.target.group
        self.sim.balancers[group].on_report(lane.target.name, load)
        self.sim.straggler_detectors[group].on_report(lane.target.name, load)

    def _usable_capacity(self) -> float:
        """Return the capacity of the targets that take work, relative to that of all."""
        total = 0.0
        for lane in self.sim.lanes:
            if lane.takes_work and lane.target.alive:
                cold = self.sim.now < lane.target.cold_until
                share = COLD_SLOTS / SLOTS / COLD_SLOWDOWN if cold else 1.0
                total += share / lane.target.slowdown
        return total / len(self.sim.lanes)

    def _sample_loads(self) -> None:
        if not self.sim.keyed:
            self.records.usable_capacity.append((self.sim.now, self._usable_capacity()))
            return
        loads = self.true_loads()
        full_service_loads = [
            loads[lane.target.name]
            for lane in self.sim.lanes
            if lane.takes_work
            and lane.serving
            and lane.target.slowdown == 1.0
            and self.sim.now > lane.target.cold_until + 5.0
        ]
        self.records.usable_capacity.append((self.sim.now, self._usable_capacity()))
        if full_service_loads:
            self.records.imbalances.append(
                (
                    self.sim.now,
                    max(full_service_loads) / (sum(full_service_loads) / len(full_service_loads)),
                )
            )
