"""Simulated clock and the dispatchers of one service with their real lanes."""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import TYPE_CHECKING

from radishshunt.experiment.deployments import (
    CALLER_TIMEOUT_SECONDS,
    COLD_SECONDS,
    COLD_SLOTS,
    SLOTS,
    TARGETS_PER_GROUP,
)
from radishshunt.experiment.records import Records
from radishshunt.experiment.targets import EmulatedTarget
from radishshunt.policy.balancing import Candidate
from radishshunt.policy.budgets import TokenBudget
from radishshunt.policy.lane_state import LaneRequest, LaneState

if TYPE_CHECKING:
    from collections.abc import Callable

    from radishshunt.experiment.deployments import Deployment
    from radishshunt.experiment.profiles import Contender
    from radishshunt.experiment.workload import Workload

# Pause before a request that did not run is tried again, as in dispatch/group.py.
RETRY_PAUSE_SECONDS = 0.05
QUEUE_LIMIT = 64
TICK_SECONDS = 0.05
# Attempts and backoff of callers in the retry storm.
CALLER_RETRIES = 3
CALLER_BACKOFF_SECONDS = 0.1


class SimRequest(LaneRequest):
    """A request on its way.

    :ivar token: Raised when the request leaves a target, so that late events are ignored.
    """

    __slots__ = (
        "key",
        "slice",
        "service",
        "repeatable",
        "first_at",
        "lane",
        "token",
        "ends_at",
        "attempt",
        "done",
        "twin",
        "incarnation",
    )

    def __init__(
        self, at: float, key: int, number: int, service: float, repeatable: bool, deadline: float
    ) -> None:
        super().__init__(deadline)
        self.key = key
        self.slice = number
        self.service = service
        self.repeatable = repeatable
        self.first_at = at
        self.lane: SimLane | None = None
        self.token = 0
        self.ends_at = 0.0
        self.attempt = 0
        self.done = False
        self.twin: SimRequest | None = None
        self.incarnation = 0


class SimLane:
    """A target with the state that its dispatcher has of it."""

    __slots__ = ("target", "state", "index", "takes_work", "serving")

    def __init__(self, target: EmulatedTarget, state: LaneState[SimRequest], index: int) -> None:
        self.target = target
        self.state = state
        self.index = index
        self.takes_work = True
        self.serving = True


class Simulation:
    """Runs the requests of a workload through the lanes of one service's groups.

    :param keyed: Whether each slice has one owner.
    :param caller_retries: Whether callers repeat requests that failed.
    """

    def __init__(
        self,
        deployment: Deployment,
        contender: Contender,
        workload: Workload,
        seed: int,
        *,
        keyed: bool,
        caller_retries: bool = False,
    ) -> None:
        self.deployment = deployment
        self.contender = contender
        self.workload = workload
        self.keyed = keyed
        self.now = 0.0
        self.random = Random(seed)
        self.records = Records()
        self.hop = deployment.hop_seconds
        # Caller to entry host and back, and the hop to the dispatcher, which is another host
        # for 10 requests of 11.
        self.offset = 2 * (deployment.client_seconds + self.hop * (1 - 1 / deployment.hosts))
        self.profile = contender.profile()
        self.slice_of_key = list(workload.slice_of_key)
        self.lanes = self._make_lanes()
        self.groups = self._make_groups()
        groups = len(self.groups)
        self.detectors = [self.profile.stragglers() for _ in range(groups)]
        self.balancers = [self.profile.balancing() for _ in range(groups)]
        self.hedgers = [self.profile.hedging() for _ in range(groups)]
        self.refusals = [TokenBudget(contender.constants.refusal_ratio) for _ in range(groups)]
        self.retries = TokenBudget(contender.constants.retry_ratio)
        self.owner: dict[int, SimLane] = {}
        self.available_at: dict[int, float] = {}
        self.counts: dict[int, int] = {}
        self.key_counter: Callable[[int, int], None] | None = None
        self.hedges = 0
        self._caller_retries = caller_retries
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._order = count()
        self._group_loads = [0] * groups

    def at(self, time: float, action: Callable, *args: object) -> None:
        """Run an action at a simulated time."""
        heappush(self._events, (time, next(self._order), action, args))

    def run(self, seconds: float) -> None:
        """Run the workload, and what follows from it until its last deadline."""
        self.at(0.0, self._tick, seconds)
        events = self._events
        work = self.workload
        arrivals = zip(work.times, work.keys, work.services, work.repeatable, strict=True)
        for time, key, service, repeatable in arrivals:
            while events and events[0][0] <= time:
                self.now, _, action, args = heappop(events)
                action(*args)
            self.now = time
            self.arrive(time, key, service, repeatable)
        while events:
            self.now, _, action, args = heappop(events)
            action(*args)

    def arrive(self, time: float, key: int, service: float, repeatable: bool) -> None:
        """Take a new request at its dispatcher."""
        number = self.slice_of_key[key]
        deadline = time + CALLER_TIMEOUT_SECONDS - self.offset
        req = SimRequest(time, key, number, service, repeatable, deadline)
        self.retries.earn()
        if self.keyed:
            self.counts[number] = self.counts.get(number, 0) + 1
            if self.key_counter is not None:
                self.key_counter(key, number)
        self.route(req)

    def route(self, req: SimRequest) -> None:
        """Queue a request at the target that serves it now."""
        if req.done:
            return
        now = self.now
        if now >= req.deadline:
            self.end(req, "expired")
            return
        lane = self._lane_of(req)
        if lane is None:
            return
        req.lane = lane
        reason = lane.state.offer(req, now)
        if reason is not None:
            self.end(req, "refused")
            return
        self.pump(lane)

    def pump(self, lane: SimLane) -> None:
        """Send what the lane allows."""
        if not lane.serving:
            return
        start = lane.state.start
        now = self.now
        while (req := start(now)) is not None:
            if req.done or now + self.hop >= req.deadline:
                lane.state.finish(req, now, answered=False)
                if not req.done:
                    self.end(req, "expired")
                continue
            self._send(lane, req)

    def end(self, req: SimRequest, how: str) -> None:
        """Record how a request ended, for its caller.

        :param how: ``ok``, ``refused`` (not run), ``expired`` (not run) or ``unknown``.
        """
        if req.done:
            return
        req.done = True
        if req.twin is not None:
            req.twin.done = True
        again = how in ("refused", "expired") or (how == "unknown" and req.repeatable)
        if again and self._caller_retries and req.attempt < CALLER_RETRIES:
            self.records.repeated += 1
            pause = CALLER_BACKOFF_SECONDS * (0.5 + self.random.random())
            self.at(self.now + self.offset + pause, self._call_again, req)
            return
        latency = self.now - req.first_at + self.offset if how == "ok" else None
        self.records.add(req.first_at, latency, how)

    def break_requests(self, lane: SimLane) -> None:
        """Tell the dispatcher that the connections to a target broke."""
        for req in list(lane.state.running):
            req.token += 1
            self.at(self.now + self.hop, self._on_broken, lane, req)

    def _make_lanes(self) -> list[SimLane]:
        d = self.deployment
        total = d.workers if self.keyed else d.anyone
        groups = max(1, total // TARGETS_PER_GROUP)
        lanes = []
        for index in range(total):
            # Targets are in order of domain; groups take every n-th one, like the planner, so
            # that a group spans several domains.
            domain = d.domains[index * len(d.domains) // total]
            target = EmulatedTarget(f"target-{index:02d}", domain, index % groups)
            state = self.profile.lane(SLOTS, COLD_SLOTS, COLD_SECONDS, QUEUE_LIMIT)
            state.service_seconds = d.service_seconds
            lanes.append(SimLane(target, state, index))
        return lanes

    def _make_groups(self) -> list[list[SimLane]]:
        number = max(lane.target.group for lane in self.lanes) + 1
        return [[lane for lane in self.lanes if lane.target.group == g] for g in range(number)]

    def _lane_of(self, req: SimRequest) -> SimLane | None:
        """Return the request's lane, or arrange a later try."""
        now = self.now
        if self.keyed:
            available_at = self.available_at.get(req.slice, 0.0)
            lane = self.owner[req.slice]
            if now < available_at:
                self.at(min(available_at, req.deadline), self.route, req)
                return None
            if lane.takes_work and lane.serving:
                return lane
        else:
            lane = self._pick(req)
            if lane is not None:
                return lane
        self.at(min(now + RETRY_PAUSE_SECONDS, req.deadline), self.route, req)
        return None

    def _pick(self, req: SimRequest) -> SimLane | None:
        pair = self.random.sample(range(len(self.groups)), min(2, len(self.groups)))
        group = min(pair, key=self._group_loads.__getitem__)
        lane = self._pick_in_group(group, None)
        if lane is not None and req.twin is None:
            hedger = self.hedgers[group]
            hedger.on_request()
            delay = hedger.delay(idempotent=req.repeatable, keyed=False)
            if delay is not None:
                self.at(self.now + delay, self._hedge, req, group)
        return lane

    def _pick_in_group(self, group: int, without: SimLane | None) -> SimLane | None:
        now = self.now
        detector = self.detectors[group]
        usable = {
            lane.target.name: lane
            for lane in self.groups[group]
            if lane.takes_work and lane.serving and lane is not without
        }
        if not usable:
            return None
        candidates = [
            Candidate(
                name,
                lane.state.outstanding,
                lane.state.concurrency_limit(now),
                detector.slowness(name, lane.state.stuck_seconds(now)),
            )
            for name, lane in usable.items()
        ]
        return usable[self.balancers[group].pick(candidates).name]

    def _hedge(self, req: SimRequest, group: int) -> None:
        if req.done or req.twin is not None or req.lane is None:
            return
        lane = self._pick_in_group(group, req.lane)
        if lane is None or len(lane.state.running) >= lane.state.concurrency_limit(self.now):
            return
        if not self.hedgers[group].spend():
            return
        self.hedges += 1
        twin = SimRequest(req.first_at, req.key, req.slice, req.service, True, req.deadline)
        twin.twin, req.twin = req, twin
        twin.attempt = CALLER_RETRIES
        twin.lane = lane
        if lane.state.offer(twin, self.now) is None:
            self.pump(lane)

    def _send(self, lane: SimLane, req: SimRequest) -> None:
        target = lane.target
        now = self.now
        req.token += 1
        req.incarnation = target.incarnation
        pause, stale = target.connect(now)
        arrives_at = now + pause + self.hop
        if not target.alive or stale:
            self.at(arrives_at + self.hop, self._on_not_run, lane, req, req.token, stale)
            return
        end = target.arrive(arrives_at, req.service)
        if end is None:
            self.at(arrives_at + self.hop, self._on_not_run, lane, req, req.token, True)
            return
        req.ends_at = end + self.hop
        self.at(req.ends_at, self._on_answer, lane, req, req.token)

    def _on_answer(self, lane: SimLane, req: SimRequest, token: int) -> None:
        if token != req.token:
            return
        now = self.now
        target = lane.target
        target.put_back(now, req.incarnation)
        lane.state.finish(req, now, answered=True)
        seconds = now - req.sent_at
        self.detectors[target.group].on_answer(target.name, seconds)
        self.hedgers[target.group].on_answer(now - req.arrived_at)
        self.end(req, "ok" if now <= req.deadline else "unknown")
        self.pump(lane)

    def _on_not_run(self, lane: SimLane, req: SimRequest, token: int, cold: bool) -> None:
        if token != req.token:
            return
        lane.state.finish(req, self.now, answered=False)
        if cold:
            lane.state.on_cold(self.now)
        if self.contender.adaptive and not self.refusals[lane.target.group].spend():
            self.end(req, "refused")
        else:
            self.refusals[lane.target.group].earn()
            self.at(self.now + RETRY_PAUSE_SECONDS, self.route, req)
        self.pump(lane)

    def _on_broken(self, lane: SimLane, req: SimRequest) -> None:
        lane.state.finish(req, self.now, answered=False)
        if lane.target.alive:
            lane.state.on_cold(self.now)
        if not req.repeatable or self.contender.adaptive and not self.retries.spend():
            self.end(req, "unknown")
        else:
            self.at(self.now + RETRY_PAUSE_SECONDS, self.route, req)
        self.pump(lane)

    def _call_again(self, req: SimRequest) -> None:
        again = SimRequest(
            self.now,
            req.key,
            self.slice_of_key[req.key],
            req.service,
            req.repeatable,
            self.now + CALLER_TIMEOUT_SECONDS - self.offset,
        )
        again.attempt = req.attempt + 1
        again.first_at = req.first_at
        if self.keyed:
            self.counts[again.slice] = self.counts.get(again.slice, 0) + 1
        self.route(again)

    def _tick(self, until: float) -> None:
        for lane in self.lanes:
            waiting = lane.state.waiting
            if waiting and waiting[0].deadline <= self.now:
                for req in lane.state.expire(self.now):
                    self.end(req, "expired")
            if waiting:
                self.pump(lane)
        for group, lanes in enumerate(self.groups):
            self._group_loads[group] = sum(lane.state.outstanding for lane in lanes)
        if self.now < until + CALLER_TIMEOUT_SECONDS:
            self.at(self.now + TICK_SECONDS, self._tick, until)
