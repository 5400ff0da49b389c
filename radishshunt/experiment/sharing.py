"""One dispatcher per target against every host sending with a share of the target's limits."""

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
from radishshunt.experiment.targets import EmulatedTarget
from radishshunt.experiment.workload import make_workload
from radishshunt.policy.lane_state import LaneRequest
from radishshunt.policy.profile import AdaptiveProfile

if TYPE_CHECKING:
    from radishshunt.experiment.deployments import Deployment
    from radishshunt.policy.lane_state import LaneState

DISPATCHER = "one dispatcher"
ONE_EACH = "one slot on every host"
DIVIDED = "slots divided among 3 hosts"
RATE = "share of the rate on every host"
MODES = (DISPATCHER, ONE_EACH, DIVIDED, RATE)

FIRST_SECONDS = 5.0
COLD_AT_SECONDS = 10.0


class SharedRequest(LaneRequest):
    """A request.

    :param offset: Seconds on the way between the caller and the sending host, both ways.
    """

    __slots__ = ("first_at", "service", "offset")

    def __init__(self, at: float, service: float, offset: float) -> None:
        super().__init__(at + CALLER_TIMEOUT_SECONDS - offset)
        self.first_at = at
        self.service = service
        self.offset = offset


class SharedSender:
    """Sends requests to targets whose load is even, in one of the modes.

    A target that becomes cold is announced to all senders at once, which favours the modes that
    share limits: real hosts would learn it one by one.
    """

    def __init__(self, deployment: Deployment, mode: str, load: float, seed: int) -> None:
        self.deployment = deployment
        self.mode = mode
        self.random = Random(seed)
        self.records = Records()
        self.now = 0.0
        self.targets = [
            EmulatedTarget(f"target-{index}", "", 0) for index in range(deployment.workers)
        ]
        self.load = load
        self._seed = seed
        self._lanes: dict[tuple[int, int], LaneState[SharedRequest]] = {}
        self._next_at: dict[tuple[int, int], float] = {}
        self._events: list[tuple[float, int, Any, tuple]] = []
        self._order = count()
        self._cold: set[int] = set()
        self._timers: set[tuple[int, int]] = set()

    def run(self, seconds: float, *, cold: bool) -> dict[str, Any]:
        """Run a load and return its figures.

        :param cold: Whether a target becomes cold at 10 s.
        """
        d = self.deployment
        rate = self.load * d.capacity(d.workers)
        work = make_workload(rate, seconds, self._seed, service_seconds=d.service_seconds)
        if cold:
            self._at(COLD_AT_SECONDS, self._chill, 0)
        for time, service in zip(work.times, work.services, strict=True):
            self._run_events(time)
            self.now = time
            self._arrive(service)
        self._run_events(float("inf"))
        figures = self.records.figures(FIRST_SECONDS, seconds)
        figures["most_at_once"] = max(t.most_at_once for t in self.targets)
        figures["cold_most_at_once"] = self.targets[0].most_cold
        figures["cold_over_bound"] = self.targets[0].over_bound
        figures["connects"] = sum(t.connects for t in self.targets)
        return figures

    def _at(self, time: float, action: Any, *args: Any) -> None:
        heappush(self._events, (time, next(self._order), action, args))

    def _run_events(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            self.now, _, action, args = heappop(self._events)
            action(*args)

    def _chill(self, index: int) -> None:
        self.targets[index].become_cold(self.now)
        self._cold.add(index)
        for (_, target), lane in self._lanes.items():
            if target == index:
                lane.on_cold(self.now)

    def _arrive(self, service: float) -> None:
        d = self.deployment
        entry = self.random.randrange(d.hosts)
        target = self.random.randrange(len(self.targets))
        sender = self._sender(entry, target)
        hop = 0.0 if sender == entry else d.hop_seconds
        offset = 2 * (d.client_seconds + hop)
        req = SharedRequest(self.now, service, offset)
        lane = self._lane(sender, target)
        if lane.offer(req, self.now) is not None:
            self.records.add(req.first_at, None, "refused")
            return
        self._pump(sender, target)

    def _sender(self, entry: int, target: int) -> int:
        hosts = self.deployment.hosts
        if self.mode == DISPATCHER:
            return target % hosts
        if self.mode == DIVIDED:
            holders = [(target + step) % hosts for step in range(SLOTS)]
            return entry if entry in holders else self.random.choice(holders)
        return entry

    def _lane(self, sender: int, target: int) -> LaneState[SharedRequest]:
        lane = self._lanes.get((sender, target))
        if lane is None:
            # A share is at least one request at once, also of the bound of a cold target.
            slots = {DISPATCHER: SLOTS, RATE: QUEUE_LIMIT}.get(self.mode, 1)
            cold = QUEUE_LIMIT if self.mode == RATE else COLD_SLOTS
            lane = AdaptiveProfile().lane(slots, cold, COLD_SECONDS, QUEUE_LIMIT)
            lane.service_seconds = self.deployment.service_seconds
            if target in self._cold:
                lane.on_cold(COLD_AT_SECONDS)
            self._lanes[(sender, target)] = lane
        return lane

    def _pump(self, sender: int, target: int) -> None:
        lane = self._lane(sender, target)
        while lane.waiting:
            if self.mode == RATE and not self._take_token(sender, target):
                return
            req = lane.start(self.now)
            if req is None:
                return
            self._send(sender, target, req)

    def _take_token(self, sender: int, target: int) -> bool:
        """Return whether the host's share of the target's rate allows a request now."""
        key = (sender, target)
        next_at = self._next_at.get(key, 0.0)
        if self.now < next_at:
            if key not in self._timers:
                self._timers.add(key)
                self._at(next_at, self._on_timer, sender, target)
            return False
        share = SLOTS / self.deployment.service_seconds / self.deployment.hosts
        if self.now < self.targets[target].cold_until:
            share *= COLD_SLOTS / SLOTS / 2
        self._next_at[key] = self.now + 1 / share
        return True

    def _on_timer(self, sender: int, target: int) -> None:
        self._timers.discard((sender, target))
        self._pump(sender, target)

    def _send(self, sender: int, target: int, req: SharedRequest) -> None:
        if self.now >= req.deadline:
            self._lane(sender, target).finish(req, self.now, answered=False)
            self.records.add(req.first_at, None, "expired")
            return
        pause, _ = self.targets[target].connect(self.now, sender)
        hop = self.deployment.hop_seconds
        self._at(self.now + pause + hop, self._reach, sender, target, req)

    def _reach(self, sender: int, target: int, req: SharedRequest) -> None:
        end = self.targets[target].arrive(self.now, req.service)
        assert end is not None
        self._at(end + self.deployment.hop_seconds, self._answer, sender, target, req)

    def _answer(self, sender: int, target: int, req: SharedRequest) -> None:
        lane = self._lane(sender, target)
        lane.finish(req, self.now, answered=True)
        self.targets[target].put_back(self.now, 0, sender)
        late = self.now > req.deadline
        latency = None if late else self.now - req.first_at + req.offset
        self.records.add(req.first_at, latency, "unknown" if late else "ok")
        self._pump(sender, target)


def compare(
    deployment: Deployment, mode: str, load: float, seed: int, *, cold: bool
) -> dict[str, Any]:
    """Return the figures of one mode at one load."""
    return SharedSender(deployment, mode, load, seed).run(25.0, cold=cold)
