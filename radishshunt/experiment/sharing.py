"""Compares one dispatcher per target with hosts that each have a share of the target's limits."""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import TYPE_CHECKING, Any

from radishshunt.experiment.deployments import (
    CALLER_TIMEOUT_SECONDS,
    COLD_SECONDS,
    COLD_SLOTS,
    SLOTS,
)
from radishshunt.experiment.records import Records
from radishshunt.experiment.simulation import QUEUE_LIMIT
from radishshunt.experiment.targets import SimulatedTarget
from radishshunt.experiment.workload import make_workload
from radishshunt.policy.lane_state import LaneRequest
from radishshunt.policy.profile import AdaptiveProfile

if TYPE_CHECKING:
    from radishshunt.experiment.deployments import Deployment
    from radishshunt.policy.lane_state import LaneState

DISPATCHER = "one dispatcher"
ONE_SLOT_PER_HOST = "one slot on every host"
DIVIDED_SLOTS = "slots divided among 3 hosts"
SHARED_RATE = "share of the rate on every host"
MODES = (DISPATCHER, ONE_SLOT_PER_HOST, DIVIDED_SLOTS, SHARED_RATE)

WARM_UP_SECONDS = 5.0
COLD_AT_SECONDS = 10.0


class ComparisonRequest(LaneRequest):
    """A request in the comparison of limit sharing.

    :param at: Time at which the caller sent the request.
    :ivar first_at: Time at which the caller sent the request.
    :ivar service: Service time on a warm target, in seconds.
    :ivar offset: Latency in seconds between the caller and the sending host, in both directions
        together; added to the time at the sending host to get the caller's latency.
    """

    __slots__ = ("first_at", "service", "offset")

    def __init__(self, at: float, service: float, offset: float) -> None:
        super().__init__(at + CALLER_TIMEOUT_SECONDS - offset)
        self.first_at = at
        self.service = service
        self.offset = offset


class SharedLimitsSimulation:
    """Sends requests to evenly loaded targets in one of the modes.

    All senders learn at once that a target has become cold. This favours the modes that share
    limits, because real hosts would learn it one by one.
    """

    def __init__(self, deployment: Deployment, mode: str, load: float, seed: int) -> None:
        self.deployment = deployment
        self.mode = mode
        self.random = Random(seed)
        self.records = Records()
        self.now = 0.0
        self.targets = [
            SimulatedTarget(f"target-{index}", "", 0) for index in range(deployment.keyed_targets)
        ]
        self.load = load
        self._seed = seed
        self._lanes: dict[tuple[int, int], LaneState[ComparisonRequest]] = {}
        self._next_send_at: dict[tuple[int, int], float] = {}
        self._events: list[tuple[float, int, Any, tuple]] = []
        self._event_numbers = count()
        self._cold_targets: set[int] = set()
        self._timer_keys: set[tuple[int, int]] = set()

    def run(self, seconds: float, *, cold: bool) -> dict[str, Any]:
        """Run the load and return its figures.

        :param cold: Whether a target becomes cold at :data:`COLD_AT_SECONDS`, 10 s.
        """
        deployment = self.deployment
        rate = self.load * deployment.capacity(deployment.keyed_targets)
        workload = make_workload(
            rate, seconds, self._seed, service_seconds=deployment.service_seconds
        )
        if cold:
            self._call_at(COLD_AT_SECONDS, self._make_cold, 0)
        for time, service in zip(workload.times, workload.service_times, strict=True):
            self._run_events(time)
            self.now = time
            self._arrive(service)
        self._run_events(float("inf"))
        figures = self.records.figures(WARM_UP_SECONDS, seconds)
        figures["most_at_once"] = max(t.max_outstanding for t in self.targets)
        figures["cold_most_at_once"] = self.targets[0].max_outstanding_cold
        figures["cold_over_bound"] = self.targets[0].over_cold_limit
        figures["connects"] = sum(t.opened_connections for t in self.targets)
        return figures

    def _call_at(self, time: float, action: Any, *args: Any) -> None:
        heappush(self._events, (time, next(self._event_numbers), action, args))

    def _run_events(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            self.now, _, action, args = heappop(self._events)
            action(*args)

    def _make_cold(self, index: int) -> None:
        self.targets[index].become_cold(self.now)
        self._cold_targets.add(index)
        for (_, target), lane in self._lanes.items():
            if target == index:
                lane.on_cold(self.now)

    def _arrive(self, service: float) -> None:
        deployment = self.deployment
        entry = self.random.randrange(deployment.hosts)
        target = self.random.randrange(len(self.targets))
        sender = self._sender(entry, target)
        hop = 0.0 if sender == entry else deployment.hop_seconds
        offset = 2 * (deployment.caller_latency_seconds + hop)
        req = ComparisonRequest(self.now, service, offset)
        lane = self._lane(sender, target)
        if lane.offer(req, self.now) is not None:
            self.records.add_request(req.first_at, None, "refused")
            return
        self._send_waiting(sender, target)

    def _sender(self, entry: int, target: int) -> int:
        hosts = self.deployment.hosts
        if self.mode == DISPATCHER:
            return target % hosts
        if self.mode == DIVIDED_SLOTS:
            slot_hosts = [(target + step) % hosts for step in range(SLOTS)]
            return entry if entry in slot_hosts else self.random.choice(slot_hosts)
        return entry

    def _lane(self, sender: int, target: int) -> LaneState[ComparisonRequest]:
        lane = self._lanes.get((sender, target))
        if lane is None:
            # SHARED_RATE limits only the rate, so its slots are in effect unlimited. In the other
            # modes, each sender may have at least one concurrent request, even to a cold target.
            slots = {DISPATCHER: SLOTS, SHARED_RATE: QUEUE_LIMIT}.get(self.mode, 1)
            cold = QUEUE_LIMIT if self.mode == SHARED_RATE else COLD_SLOTS
            lane = AdaptiveProfile().lane(slots, cold, COLD_SECONDS, QUEUE_LIMIT)
            lane.service_seconds = self.deployment.service_seconds
            if target in self._cold_targets:
                lane.on_cold(COLD_AT_SECONDS)
            self._lanes[(sender, target)] = lane
        return lane

    def _send_waiting(self, sender: int, target: int) -> None:
        lane = self._lane(sender, target)
        while lane.waiting:
            if self.mode == SHARED_RATE and not self._may_send_now(sender, target):
                return
            req = lane.start(self.now)
            if req is None:
                return
            self._send(sender, target, req)

    def _may_send_now(self, sender: int, target: int) -> bool:
        """Return whether the host's share of the target's rate allows a request now.

        If so, the time of the next request is set; otherwise, a timer is set for that time.
        """
        key = (sender, target)
        next_at = self._next_send_at.get(key, 0.0)
        if self.now < next_at:
            if key not in self._timer_keys:
                self._timer_keys.add(key)
                self._call_at(next_at, self._on_timer, sender, target)
            return False
        host_rate = SLOTS / self.deployment.service_seconds / self.deployment.hosts
        if self.now < self.targets[target].cold_until:
            host_rate *= COLD_SLOTS / SLOTS / 2
        self._next_send_at[key] = self.now + 1 / host_rate
        return True

    def _on_timer(self, sender: int, target: int) -> None:
        self._timer_keys.discard((sender, target))
        self._send_waiting(sender, target)

    def _send(self, sender: int, target: int, req: ComparisonRequest) -> None:
        if self.now >= req.deadline:
            self._lane(sender, target).finish(req, self.now, answered=False)
            self.records.add_request(req.first_at, None, "expired")
            return
        pause, _ = self.targets[target].acquire_connection(self.now, sender)
        hop = self.deployment.hop_seconds
        self._call_at(self.now + pause + hop, self._on_target_reached, sender, target, req)

    def _on_target_reached(self, sender: int, target: int, req: ComparisonRequest) -> None:
        end = self.targets[target].on_arrival(self.now, req.service)
        assert end is not None
        self._call_at(end + self.deployment.hop_seconds, self._on_answer, sender, target, req)

    def _on_answer(self, sender: int, target: int, req: ComparisonRequest) -> None:
        lane = self._lane(sender, target)
        lane.finish(req, self.now, answered=True)
        self.targets[target].release_connection(self.now, 0, sender)
        late = self.now > req.deadline
        latency = None if late else self.now - req.first_at + req.offset
        self.records.add_request(req.first_at, latency, "unknown" if late else "ok")
        self._send_waiting(sender, target)


def run_mode(
    deployment: Deployment, mode: str, load: float, seed: int, *, cold: bool
) -> dict[str, Any]:
    """Return the figures of one mode at one load."""
    return SharedLimitsSimulation(deployment, mode, load, seed).run(25.0, cold=cold)
