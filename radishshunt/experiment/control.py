"""Stand-in for ownership and planning of one service: moves, failover, faults and reports."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import numpy as np

from radishshunt.clock import CLOCK_SKEW_BOUND_SECONDS
from radishshunt.experiment.deployments import (
    COLD_SLOTS,
    COLD_SLOWDOWN,
    KEYS,
    REPORT_DELAY_SECONDS,
    SLICES,
    SLOTS,
)
from radishshunt.ownership import LOST_AFTER_SECONDS, RENEW_INTERVAL_SECONDS
from radishshunt.placement import Place, PlacementView
from radishshunt.placement.balanced import Balanced
from radishshunt.policy.capacity import capacity_of

if TYPE_CHECKING:
    from radishshunt.experiment.simulation import SimLane, Simulation
    from radishshunt.placement import Move

PLAN_INTERVAL_SECONDS = 0.5
GRANT_SECONDS = 1.2
# Fence, write of the row and grant of a planned move, without the wait for running requests.
MOVE_SECONDS = 0.05
# Time until an accepted release note has reached the dispatchers.
NOTE_SECONDS = 0.3


class Control:
    """Plans moves for a simulation and applies faults to it.

    Failover takes the time that section 4.3 of the design gives; this class does not run the
    ownership rules themselves.
    """

    def __init__(self, sim: Simulation) -> None:
        self.sim = sim
        self.platform_up = True
        self.placement = sim.contender.placement()
        self.heat = sim.contender.heat()
        self.drain = sim.profile.drain()
        self.records = sim.records
        self.standby: dict[int, SimLane] = {}
        self._agreed_used: set[int] = set()
        self._moved_at: dict[int, float] = {}
        self._keys_in: dict[int, int] = {}
        self._by_name = {lane.target.name: lane for lane in sim.lanes}
        self._hot = [sim.contender.hot_keys() for _ in sim.groups]
        self._hot_slices: dict[int, int] = {}
        self._next_slice = SLICES
        if sim.keyed:
            self._assign()
            if sim.contender.adaptive and not sim.contender.constants.no_isolation:
                sim.key_counter = self._count_key

    def start(self, seconds: float) -> None:
        """Plan, report and sample until a time."""
        sim = self.sim
        steps = int(seconds / PLAN_INTERVAL_SECONDS)
        for step in range(1, steps + 1):
            sim.at(step * PLAN_INTERVAL_SECONDS, self._plan)
        for second in range(1, int(seconds) + 1):
            sim.at(second - 0.001, self._sample)
            sim.at(float(second), self._report)

    def lose(self, lane: SimLane) -> None:
        """Lose a target for good."""
        lane.target.restart(self.sim.now, alive=False)
        self.sim.break_requests(lane)
        phase = self.sim.random.random() * RENEW_INTERVAL_SECONDS
        self._fail_over(lane, phase + LOST_AFTER_SECONDS + GRANT_SECONDS + CLOCK_SKEW_BOUND_SECONDS)

    def bring(self, lane: SimLane) -> None:
        """Bring a lost target back, cold."""
        sim = self.sim
        lane.target.restart(sim.now)
        lane.state.on_cold(sim.now)
        lane.serving = True
        lane.takes_work = True

    def restart(self, lane: SimLane) -> None:
        """Restart a target at once; it comes back cold under another incarnation."""
        sim = self.sim
        lane.target.restart(sim.now)
        sim.break_requests(lane)
        noticed = sim.random.random() * RENEW_INTERVAL_SECONDS
        sim.at(sim.now + noticed, lane.state.on_cold, sim.now + noticed)
        if sim.keyed:
            self._fail_over(lane, noticed + GRANT_SECONDS + CLOCK_SKEW_BOUND_SECONDS)
            sim.at(sim.now + noticed + 0.1, self._serve_again, lane)

    def chill(self, lane: SimLane) -> None:
        """Make a target cold without a restart: nothing but its answers shows it."""
        lane.target.sheds_when_cold = True
        lane.target.become_cold(self.sim.now)

    def take_out(self, domain: str) -> None:
        """Take a failure domain out; dispatchers learn it with the release note."""
        self.sim.at(self.sim.now + NOTE_SECONDS, self._set_domain, domain, False)

    def bring_back(self, domain: str) -> None:
        """Bring a failure domain back; its targets were restarted meanwhile."""
        for lane in self.sim.lanes:
            if lane.target.domain == domain:
                lane.target.restart(self.sim.now)
                lane.state.on_cold(self.sim.now)
        self.sim.at(self.sim.now + NOTE_SECONDS, self._set_domain, domain, True)

    def set_platform(self, up: bool) -> None:
        """Begin or end an outage of the platform."""
        self.platform_up = up
        if up:
            self._agreed_used.clear()

    def true_loads(self) -> dict[str, float]:
        """Return each target's share of the offered load, from the true popularity of keys."""
        shares = self.sim.workload.shares_at(self.sim.now)
        per_slice = np.bincount(self.sim.slice_of_key, weights=shares)
        loads = dict.fromkeys(self._by_name, 0.0)
        for number, lane in self.sim.owner.items():
            if number < len(per_slice):
                loads[lane.target.name] += float(per_slice[number])
        return loads

    def least_moves(self, limit: float) -> int:
        """Return the moves of a planner that knows the true popularity of keys.

        It stops as soon as no target is over the limit. This is the reference for the least
        possible churn; the exact minimum is not computed.

        :param limit: Load of a target relative to the mean.
        """
        sim = self.sim
        shares = sim.workload.shares_at(sim.now)
        per_slice = np.bincount(sim.slice_of_key, weights=shares)
        view = PlacementView(
            places=[Place(o.target.name, o.target.group, o.target.domain) for o in sim.lanes],
            owners={n: lane.target.name for n, lane in sim.owner.items()},
            load=dict(enumerate(per_slice.tolist())),
            now=sim.now,
            counted=1e12,
        )
        informed = Balanced(imbalance_limit=limit, fill_limit=limit, moves_per_round=SLICES)
        return len(informed.moves(view))

    def _assign(self) -> None:
        lanes = self.sim.lanes
        for key in range(KEYS):
            number = self.sim.slice_of_key[key]
            self._keys_in[number] = self._keys_in.get(number, 0) + 1
        total = max(self.sim.slice_of_key) + 1
        for number in range(total):
            owner = lanes[number * len(lanes) // total]
            self.sim.owner[number] = owner
            self.standby[number] = self._standby_of(owner, number)

    def _standby_of(self, owner: SimLane, number: int) -> SimLane:
        group = self.sim.groups[owner.target.group]
        others = [
            lane
            for lane in group
            if lane is not owner and lane.target.domain != owner.target.domain and lane.takes_work
        ] or [lane for lane in group if lane is not owner]
        return others[number % len(others)]

    def _set_domain(self, domain: str, takes_work: bool) -> None:
        for lane in self.sim.lanes:
            if lane.target.domain == domain:
                lane.takes_work = takes_work
                if not takes_work:
                    self._requeue(lane, None)
        if self.sim.keyed and not takes_work:
            self._plan(forced_only=True)

    def _requeue(self, lane: SimLane, number: int | None) -> None:
        for req in list(lane.state.waiting):
            if number is None or req.slice == number:
                lane.state.withdraw(req)
                self.sim.at(self.sim.now, self.sim.route, req)

    def _fail_over(self, lane: SimLane, seconds: float) -> None:
        """Hold the target's slices until their standbys may serve them."""
        sim = self.sim
        lane.serving = False
        self._requeue(lane, None)
        for number, owner in list(sim.owner.items()):
            if owner is not lane:
                continue
            standby = self.standby[number]
            usable = standby.serving and standby.takes_work and standby.target.alive
            if not usable:
                # Both targets are lost: a new pair is named through the table.
                others = [o for o in sim.lanes if o.serving and o.takes_work]
                if not others or not self.platform_up:
                    continue
                standby = min(others, key=lambda o: o.state.outstanding)
            self._hand_over(number, standby, seconds, forced=True)
            keys = self._keys_in.get(number, 0)
            self.records.waits.append((seconds, keys))

    def _serve_again(self, lane: SimLane) -> None:
        lane.serving = True
        lane.takes_work = True

    def _hand_over(self, number: int, to: SimLane, seconds: float, *, forced: bool) -> None:
        sim = self.sim
        source = sim.owner[number]
        keys = self._keys_in.get(number, 0)
        sim.owner[number] = to
        self.standby[number] = (
            source
            if source.target.group == to.target.group and source.target.alive
            else self._standby_of(to, number)
        )
        sim.available_at[number] = sim.now + seconds
        self._moved_at[number] = sim.now
        self.records.moved.append((sim.now, number, keys, forced))
        self.records.unavailable_key_seconds += keys * seconds

    def _move(self, move: Move) -> None:
        sim = self.sim
        source = self._by_name[move.source]
        running = [r.ends_at for r in source.state.running if r.slice == move.slice]
        wait = max(0.0, max(running, default=0.0) - sim.now)
        self._hand_over(move.slice, self._by_name[move.to], wait + MOVE_SECONDS, forced=move.forced)
        self._requeue(source, move.slice)

    def _plan(self, forced_only: bool = False) -> None:
        sim = self.sim
        if not sim.keyed:
            self._share_usual()
            return
        if not forced_only:
            self.heat.update(sim.counts, PLAN_INTERVAL_SECONDS)
            sim.counts = {}
            self._share_usual()
            self._change_hot_keys()
        view = PlacementView(
            places=[self._place(lane) for lane in sim.lanes],
            owners={number: lane.target.name for number, lane in sim.owner.items()},
            load=dict(self.heat.rates()),
            now=sim.now,
            counted=self.heat.counted(len(sim.lanes)),
            moved_at=self._moved_at,
            standbys={number: lane.target.name for number, lane in self.standby.items()},
            agreed_only=not self.platform_up,
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
                self._by_name[move.to] is self.standby[move.slice]
                and move.slice not in self._agreed_used
            ):
                # Without the table each slice can move once, from its owner to its standby.
                self._agreed_used.add(move.slice)
                self._move(move)

    def _utilisation(self) -> float:
        service = float(np.median([lane.state.service_seconds for lane in self.sim.lanes]))
        return sum(self.heat.rates().values()) * service / (SLOTS * len(self.sim.lanes))

    def _place(self, lane: SimLane) -> Place:
        target = lane.target
        capacity = capacity_of(
            target.name,
            lane.state,
            self.sim.detectors[target.group],
            self.drain,
            lane.takes_work and lane.serving,
            self.sim.now,
            self.sim.contender.constants.straggler_share,
        )
        return Place(target.name, target.group, target.domain, capacity)

    def _share_usual(self) -> None:
        """Give every group's detector the usual answer time of all groups."""
        usual = [u for d in self.sim.detectors if (u := d.usual_seconds()) > 0]
        if usual:
            middle = float(np.median(usual))
            for detector in self.sim.detectors:
                detector.on_usual(middle)

    def _count_key(self, key: int, number: int) -> None:
        self._hot[self.sim.owner[number].target.group].count(key)

    def _change_hot_keys(self) -> None:
        if self.sim.key_counter is None:
            return
        mean = sum(self.heat.rates().values()) / len(self.sim.lanes)
        for hot in self._hot:
            for change in hot.changes(mean, PLAN_INTERVAL_SECONDS, self.sim.now):
                if change.isolate and change.key_hash not in self._hot_slices:
                    self._isolate(change.key_hash)

    def _isolate(self, key: int) -> None:
        """Make a key a slice of its own, at the owner that it has."""
        sim = self.sim
        old = sim.slice_of_key[key]
        number = self._next_slice
        self._next_slice += 1
        self._hot_slices[key] = number
        sim.slice_of_key[key] = number
        sim.owner[number] = sim.owner[old]
        self.standby[number] = self.standby[old]
        sim.available_at[number] = sim.available_at.get(old, 0.0)
        self._keys_in[number] = 1
        self._keys_in[old] -= 1

    def _report(self) -> None:
        for lane in self.sim.lanes:
            if lane.target.alive:
                load = lane.target.load(self.sim.now)
                self.sim.at(self.sim.now + REPORT_DELAY_SECONDS, self._deliver, lane, load)

    def _deliver(self, lane: SimLane, load: float) -> None:
        group = lane.target.group
        self.sim.balancers[group].on_report(lane.target.name, load)
        self.sim.detectors[group].on_report(lane.target.name, load)

    def _usable_share(self) -> float:
        """Return the capacity of the targets that take work, relative to that of all."""
        total = 0.0
        for lane in self.sim.lanes:
            if lane.takes_work and lane.target.alive:
                cold = self.sim.now < lane.target.cold_until
                share = COLD_SLOTS / SLOTS / COLD_SLOWDOWN if cold else 1.0
                total += share / lane.target.slowdown
        return total / len(self.sim.lanes)

    def _sample(self) -> None:
        if not self.sim.keyed:
            self.records.usable.append((self.sim.now, self._usable_share()))
            return
        loads = self.true_loads()
        full = [
            loads[lane.target.name]
            for lane in self.sim.lanes
            if lane.takes_work
            and lane.serving
            and lane.target.slowdown == 1.0
            and self.sim.now > lane.target.cold_until + 5.0
        ]
        self.records.usable.append((self.sim.now, self._usable_share()))
        if full:
            self.records.imbalances.append((self.sim.now, max(full) / (sum(full) / len(full))))
