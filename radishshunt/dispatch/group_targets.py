"""Targets of one group as its dispatcher sees them: connections, slots, speed and warmth."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from radishshunt.dispatch.lane import Lane
from radishshunt.dispatch.load import LoadCounter
from radishshunt.policy.balancing import Candidate
from radishshunt.policy.profile import AdaptiveProfile
from radishshunt.targets import TargetClient

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from radishshunt.clock import Clock
    from radishshunt.directory import Directory
    from radishshunt.placement.load_report import GroupLoad


class GroupTargets:
    """Owns the clients and lanes of a group's targets.

    :param queue_limit: Maximum number of requests that wait for one target.
    :param spawn: Starts a task that may outlive a request.
    :param local_address: Source IP address of connections.
    :ivar clients: Client of each target, by name.
    :ivar lanes: Slots and queue of each target, by name.
    """

    def __init__(
        self,
        directory: Directory,
        queue_limit: int,
        clock: Clock,
        spawn: Callable[..., Any],
        local_address: str | None,
    ) -> None:
        self.clients: dict[str, TargetClient] = {}
        self.lanes: dict[str, Lane] = {}
        self._directory = directory
        self._queue_limit = queue_limit
        self._clock = clock
        self._spawn = spawn
        self._local_address = local_address
        self._profile = AdaptiveProfile()
        self._balancing = self._profile.balancing()
        self._stragglers = self._profile.stragglers()
        self._incarnations: dict[str, int] = {}
        self._load_counter = LoadCounter(clock)

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return sum(lane.queued for lane in self.lanes.values())

    def add(self, names: Iterable[str]) -> list[str]:
        """Create missing clients and lanes of targets, and return the names of the new targets."""
        added = []
        for name in names:
            target = self._directory.catalog.targets.get(name)
            if target is None or name in self.lanes:
                continue
            lane_state = self._profile.lane(
                target.slots, target.cold_slots, target.cold_seconds, self._queue_limit
            )
            self.lanes[name] = Lane(lane_state, self._clock)
            self.clients[name] = TargetClient(
                target, self._local_address, clock=self._clock, spawn=self._spawn
            )
            added.append(name)
        return added

    async def aclose(self) -> None:
        """Close all connections."""
        for client in self.clients.values():
            await client.aclose()

    def load(self, names: Iterable[str]) -> float:
        """Return the mean load of targets: requests running and waiting, divided by the slots."""
        lanes = [self.lanes[name] for name in names if name in self.lanes]
        return sum(lane.load for lane in lanes) / len(lanes) if lanes else 0.0

    def count(self, slice_number: int | None) -> None:
        """Count a request for the load report."""
        self._load_counter.count(slice_number)

    def collect_load(self, names: Iterable[str], takes_work: Callable[[str], bool]) -> GroupLoad:
        """Return the load of targets since the last call."""
        lanes = {name: self.lanes[name] for name in names if name in self.lanes}
        return self._load_counter.collect(
            lanes, self._stragglers, self._profile.drain(), takes_work
        )

    def pick(self, names: Collection[str]) -> str:
        """Choose the target for a request that any of several targets can run."""
        return self._balancing.pick([self._candidate(name) for name in names]).name

    def on_answer(self, target: str, seconds: float) -> None:
        """Record the seconds that a target took until the head of its answer."""
        self._stragglers.on_answer(target, seconds)

    def on_refusal(self, target: str, reason: str) -> None:
        """Record a refusal, and lower the target's concurrency limit if it suggests a cold start.

        A failed connection suggests a cold start only if the target does not check fences. The
        restart of any other target shows in the incarnation that it acknowledges fences with.
        """
        spec = self.clients[target].spec
        if reason == "cold" or (reason == "connect-failed" and not spec.checks_fences):
            self.lanes[target].on_cold()

    def on_incarnation(self, target: str, incarnation: int) -> None:
        """Record the incarnation in a fence acknowledgement; a changed one means a cold target."""
        known = self._incarnations.setdefault(target, incarnation)
        if known != incarnation:
            self._incarnations[target] = incarnation
            self.lanes[target].on_cold()

    def _candidate(self, name: str) -> Candidate:
        lane_state = self.lanes[name].state
        now = self._clock.now()
        slowness = self._stragglers.slowness(name, lane_state.stuck_seconds(now))
        return Candidate(name, lane_state.outstanding, lane_state.concurrency_limit(now), slowness)
