"""Simulated clock and dispatchers of one service.

The policies for the slots and the queue of each target are those of the router.
"""

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
from radishshunt.experiment.targets import SimulatedTarget
from radishshunt.policy.balancing import Candidate
from radishshunt.policy.budgets import TokenBudget
from radishshunt.policy.lane_state import LaneRequest, LaneState

if TYPE_CHECKING:
    from collections.abc import Callable

    from radishshunt.experiment.deployments import Deployment
    from radishshunt.experiment.profiles import Variant
    from radishshunt.experiment.workload import Workload

# Delay before the retry of a request that did not run, as in dispatch/group.py.
RETRY_PAUSE_SECONDS = 0.05
QUEUE_LIMIT = 64
TICK_SECONDS = 0.05
# Maximum number of retries by a caller and their mean delay, in the scenario "retry storm".
CALLER_RETRIES = 3
CALLER_BACKOFF_SECONDS = 0.1


class SimRequest(LaneRequest):
    """A request in the simulation.

    :ivar slice: Slice of the key.
    :ivar service: Service time of this request on a warm target, in seconds.
    :ivar repeatable: Whether the request is idempotent, so that it may run more than once.
    :ivar first_at: Arrival time of the caller's first attempt.
    :ivar token: Number that identifies the current send. It is incremented whenever the request is
        sent or its connection breaks, so that events of an earlier send are ignored.
    :ivar ends_at: Time at which the answer reaches the dispatcher, in seconds since the start.
    :ivar attempt: Number of retries by the caller so far, 0 for the first attempt.
    :ivar done: Whether the outcome was recorded or another attempt replaced the request.
    :ivar twin: The other request of a hedged pair.
    :ivar incarnation: Incarnation of the target that the request was sent to.
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
        self,
        at: float,
        key: int,
        slice_number: int,
        service: float,
        repeatable: bool,
        deadline: float,
    ) -> None:
        super().__init__(deadline)
        self.key = key
        self.slice = slice_number
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
    """A simulated target and its dispatcher's slots and queue for it.

    :ivar state: Slots and queue.
    :ivar takes_work: Whether the dispatcher may choose the target for new requests; false while its
        domain is taken out.
    :ivar serving: Whether queued requests may be sent to the target; false during a failover. No
        new requests are queued then either.
    """

    __slots__ = ("target", "state", "index", "takes_work", "serving")

    def __init__(self, target: SimulatedTarget, state: LaneState[SimRequest], index: int) -> None:
        self.target = target
        self.state = state
        self.index = index
        self.takes_work = True
        self.serving = True


class DispatchSimulation:
    """Runs the requests of a workload through the lanes of one service's groups.

    :param keyed: Whether each slice has one owner.
    :param caller_retries: Whether callers repeat requests that failed.
    :ivar owner: Owner of each slice.
    :ivar available_at: Time from which the owner of a slice may serve it.
    :ivar request_counts: Requests for each slice since the last regular planning pass.
    :ivar key_counter: Called with the key and the slice of each request that arrives.
    """

    def __init__(
        self,
        deployment: Deployment,
        variant: Variant,
        workload: Workload,
        seed: int,
        *,
        keyed: bool,
        caller_retries: bool = False,
    ) -> None:
        self.deployment = deployment
        self.variant = variant
        self.workload = workload
        self.keyed = keyed
        self.now = 0.0
        self.random = Random(seed)
        self.records = Records()
        self.hop_seconds = deployment.hop_seconds
        # Latency from the caller to the entry host and back, plus the mean latency of the hop to
        # the dispatcher, which is another host with probability 1 - 1/hosts (10 of 11 requests with
        # 11 hosts).
        self.caller_path_seconds = 2 * (
            deployment.caller_latency_seconds + self.hop_seconds * (1 - 1 / deployment.hosts)
        )
        self.profile = variant.profile()
        self.slice_of_key = list(workload.slice_of_key)
        self.lanes = self._make_lanes()
        self.groups = self._make_groups()
        groups = len(self.groups)
        self.straggler_detectors = [self.profile.stragglers() for _ in range(groups)]
        self.balancers = [self.profile.balancing() for _ in range(groups)]
        self.hedgers = [self.profile.hedging() for _ in range(groups)]
        self.refusal_budgets = [TokenBudget(variant.constants.refusal_ratio) for _ in range(groups)]
        self.retry_budget = TokenBudget(variant.constants.retry_ratio)
        self.owner: dict[int, SimLane] = {}
        self.available_at: dict[int, float] = {}
        self.request_counts: dict[int, int] = {}
        self.key_counter: Callable[[int, int], None] | None = None
        self.hedges = 0
        self._caller_retries = caller_retries
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._event_numbers = count()
        self._group_loads = [0] * groups

    def call_at(self, time: float, action: Callable, *args: object) -> None:
        """Schedule an action at a simulated time."""
        heappush(self._events, (time, next(self._event_numbers), action, args))

    def run(self, seconds: float) -> None:
        """Run the workload until no events are left.

        :param seconds: Length of the workload.
        """
        self.call_at(0.0, self._tick, seconds)
        events = self._events
        workload = self.workload
        arrivals = zip(
            workload.times, workload.keys, workload.service_times, workload.repeatable, strict=True
        )
        for time, key, service, repeatable in arrivals:
            while events and events[0][0] <= time:
                self.now, _, action, args = heappop(events)
                action(*args)
            self.now = time
            self.on_arrival(time, key, service, repeatable)
        while events:
            self.now, _, action, args = heappop(events)
            action(*args)

    def on_arrival(self, time: float, key: int, service: float, repeatable: bool) -> None:
        """Route a new request that arrives at its dispatcher."""
        slice_number = self.slice_of_key[key]
        deadline = time + CALLER_TIMEOUT_SECONDS - self.caller_path_seconds
        req = SimRequest(time, key, slice_number, service, repeatable, deadline)
        self.retry_budget.earn()
        if self.keyed:
            self.request_counts[slice_number] = self.request_counts.get(slice_number, 0) + 1
            if self.key_counter is not None:
                self.key_counter(key, slice_number)
        self.route(req)

    def route(self, req: SimRequest) -> None:
        """Queue a request in the lane of the target that serves it at present."""
        if req.done:
            return
        now = self.now
        if now >= req.deadline:
            self.end_request(req, "expired")
            return
        lane = self._lane_or_retry(req)
        if lane is None:
            return
        req.lane = lane
        reason = lane.state.offer(req, now)
        if reason is not None:
            self.end_request(req, "refused")
            return
        self.send_waiting(lane)

    def send_waiting(self, lane: SimLane) -> None:
        """Send waiting requests up to the concurrency limit of the lane."""
        if not lane.serving:
            return
        start = lane.state.start
        now = self.now
        while (req := start(now)) is not None:
            if req.done or now + self.hop_seconds >= req.deadline:
                lane.state.finish(req, now, answered=False)
                if not req.done:
                    self.end_request(req, "expired")
                continue
            self._send(lane, req)

    def end_request(self, req: SimRequest, outcome: str) -> None:
        """Record the outcome of a request, or schedule the caller's retry.

        :param outcome: ``ok``, ``refused`` (not run), ``expired`` (not run) or ``unknown``.
        """
        if req.done:
            return
        req.done = True
        if req.twin is not None:
            req.twin.done = True
        can_repeat = outcome in ("refused", "expired") or (outcome == "unknown" and req.repeatable)
        if can_repeat and self._caller_retries and req.attempt < CALLER_RETRIES:
            self.records.caller_repeats += 1
            pause = CALLER_BACKOFF_SECONDS * (0.5 + self.random.random())
            self.call_at(self.now + self.caller_path_seconds + pause, self._repeat_call, req)
            return
        latency = self.now - req.first_at + self.caller_path_seconds if outcome == "ok" else None
        self.records.add_request(req.first_at, latency, outcome)

    def break_connections(self, lane: SimLane) -> None:
        """Break the connections of a target's running requests; the dispatcher notices it one hop
        later.
        """
        for req in list(lane.state.running):
            req.token += 1
            self.call_at(self.now + self.hop_seconds, self._on_connection_broken, lane, req)

    def _make_lanes(self) -> list[SimLane]:
        deployment = self.deployment
        total = deployment.keyed_targets if self.keyed else deployment.unkeyed_targets
        groups = max(1, total // TARGETS_PER_GROUP)
        lanes = []
        for index in range(total):
            # Targets are ordered by domain. Each group takes every n-th target, as the planner
            # does, so that a group spans several domains.
            domain = deployment.domains[index * len(deployment.domains) // total]
            target = SimulatedTarget(f"target-{index:02d}", domain, index % groups)
            state = self.profile.lane(SLOTS, COLD_SLOTS, COLD_SECONDS, QUEUE_LIMIT)
            state.service_seconds = deployment.service_seconds
            lanes.append(SimLane(target, state, index))
        return lanes

    def _make_groups(self) -> list[list[SimLane]]:
        group_count = max(lane.target.group for lane in self.lanes) + 1
        return [[lane for lane in self.lanes if lane.target.group == g] for g in range(group_count)]

    def _lane_or_retry(self, req: SimRequest) -> SimLane | None:
        """Return the lane for a request, or schedule a retry and return ``None``."""
        now = self.now
        if self.keyed:
            available_at = self.available_at.get(req.slice, 0.0)
            lane = self.owner[req.slice]
            if now < available_at:
                self.call_at(min(available_at, req.deadline), self.route, req)
                return None
            if lane.takes_work and lane.serving:
                return lane
        else:
            lane = self._pick_lane(req)
            if lane is not None:
                return lane
        self.call_at(min(now + RETRY_PAUSE_SECONDS, req.deadline), self.route, req)
        return None

    def _pick_lane(self, req: SimRequest) -> SimLane | None:
        group_pair = self.random.sample(range(len(self.groups)), min(2, len(self.groups)))
        group = min(group_pair, key=self._group_loads.__getitem__)
        lane = self._pick_in_group(group, None)
        if lane is not None and req.twin is None:
            hedger = self.hedgers[group]
            hedger.on_request()
            delay = hedger.delay(idempotent=req.repeatable, keyed=False)
            if delay is not None:
                self.call_at(self.now + delay, self._hedge, req, group)
        return lane

    def _pick_in_group(self, group: int, excluded: SimLane | None) -> SimLane | None:
        now = self.now
        detector = self.straggler_detectors[group]
        usable = {
            lane.target.name: lane
            for lane in self.groups[group]
            if lane.takes_work and lane.serving and lane is not excluded
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
        twin.attempt = CALLER_RETRIES  # the caller repeats the first request only
        twin.lane = lane
        if lane.state.offer(twin, self.now) is None:
            self.send_waiting(lane)

    def _send(self, lane: SimLane, req: SimRequest) -> None:
        target = lane.target
        now = self.now
        req.token += 1
        req.incarnation = target.incarnation
        pause, stale = target.acquire_connection(now)
        arrives_at = now + pause + self.hop_seconds
        if not target.alive or stale:
            self.call_at(
                arrives_at + self.hop_seconds, self._on_not_run, lane, req, req.token, stale
            )
            return
        end = target.on_arrival(arrives_at, req.service)
        if end is None:
            self.call_at(
                arrives_at + self.hop_seconds, self._on_not_run, lane, req, req.token, True
            )
            return
        req.ends_at = end + self.hop_seconds
        self.call_at(req.ends_at, self._on_answer, lane, req, req.token)

    def _on_answer(self, lane: SimLane, req: SimRequest, token: int) -> None:
        if token != req.token:
            return
        now = self.now
        target = lane.target
        target.release_connection(now, req.incarnation)
        lane.state.finish(req, now, answered=True)
        seconds = now - req.sent_at
        self.straggler_detectors[target.group].on_answer(target.name, seconds)
        self.hedgers[target.group].on_answer(now - req.arrived_at)
        self.end_request(req, "ok" if now <= req.deadline else "unknown")
        self.send_waiting(lane)

    def _on_not_run(self, lane: SimLane, req: SimRequest, token: int, cold: bool) -> None:
        if token != req.token:
            return
        lane.state.finish(req, self.now, answered=False)
        if cold:
            lane.state.on_cold(self.now)
        if self.variant.adaptive and not self.refusal_budgets[lane.target.group].spend():
            self.end_request(req, "refused")
        else:
            self.refusal_budgets[lane.target.group].earn()
            self.call_at(self.now + RETRY_PAUSE_SECONDS, self.route, req)
        self.send_waiting(lane)

    def _on_connection_broken(self, lane: SimLane, req: SimRequest) -> None:
        lane.state.finish(req, self.now, answered=False)
        if lane.target.alive:
            lane.state.on_cold(self.now)
        if not req.repeatable or self.variant.adaptive and not self.retry_budget.spend():
            self.end_request(req, "unknown")
        else:
            self.call_at(self.now + RETRY_PAUSE_SECONDS, self.route, req)
        self.send_waiting(lane)

    def _repeat_call(self, req: SimRequest) -> None:
        repeat = SimRequest(
            self.now,
            req.key,
            self.slice_of_key[req.key],
            req.service,
            req.repeatable,
            self.now + CALLER_TIMEOUT_SECONDS - self.caller_path_seconds,
        )
        repeat.attempt = req.attempt + 1
        repeat.first_at = req.first_at
        if self.keyed:
            self.request_counts[repeat.slice] = self.request_counts.get(repeat.slice, 0) + 1
        self.route(repeat)

    def _tick(self, until: float) -> None:
        for lane in self.lanes:
            waiting = lane.state.waiting
            if waiting and waiting[0].deadline <= self.now:
                for req in lane.state.expire(self.now):
                    self.end_request(req, "expired")
            if waiting:
                self.send_waiting(lane)
        for group, lanes in enumerate(self.groups):
            self._group_loads[group] = sum(lane.state.outstanding for lane in lanes)
        if self.now < until + CALLER_TIMEOUT_SECONDS:
            self.call_at(self.now + TICK_SECONDS, self._tick, until)
