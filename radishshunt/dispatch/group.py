"""Dispatcher of one group: grants, slots and sending."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from radishshunt.dispatch.grants import GrantKeeper
from radishshunt.dispatch.lane import Lane
from radishshunt.dispatch.load import LoadCounter
from radishshunt.errors import NotOwner, NotRun
from radishshunt.hashing import key_hash
from radishshunt.logs import decision
from radishshunt.model import Response, read_body
from radishshunt.policy.balancing import Candidate
from radishshunt.policy.budgets import REFUSAL_RATIO, TokenBudget
from radishshunt.policy.profile import Adaptive
from radishshunt.targets import TargetClient

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from radishshunt.clock import Clock
    from radishshunt.directory import Directory
    from radishshunt.dispatch.lane import Turn
    from radishshunt.model import GroupRow, Request
    from radishshunt.ownership_state import Serving
    from radishshunt.placement.load_report import GroupLoad
    from radishshunt.settings import LimitsSection

# Pause before a request that did not run is tried again.
RETRY_PAUSE_SECONDS = 0.05
# Time kept back for the answer's way, so that no request is sent too late to matter.
SEND_MARGIN_SECONDS = 0.002


class GroupDispatcher:
    """Sends a group's requests to its targets.

    :param row: The group's row.
    :param generation: Generation that this host uses for the group.
    :param local_address: IP number that connections to targets come from.
    """

    def __init__(
        self,
        row: GroupRow,
        generation: int,
        directory: Directory,
        limits: LimitsSection,
        clock: Clock,
        local_address: str | None = None,
    ) -> None:
        self._local_address = local_address
        self.row = row
        self.group = row.group
        self._directory = directory
        self._limits = limits
        self._clock = clock
        self._clients: dict[str, TargetClient] = {}
        self._lanes: dict[str, Lane] = {}
        self._profile = Adaptive()
        self._balancing = self._profile.balancing()
        self._stragglers = self._profile.stragglers()
        self._incarnations: dict[str, int] = {}
        self._refusals = TokenBudget(REFUSAL_RATIO)
        self._load_counter = LoadCounter(clock)
        self._changed = trio.Event()
        self._add_targets(row)
        self._grants = GrantKeeper(
            row,
            generation,
            self._grant_seconds(),
            self._clients,
            clock,
            self._notify,
            self._on_incarnation,
        )
        self._scope = trio.CancelScope()

    @property
    def generation(self) -> int:
        """Generation that this host uses for the group."""
        return self._grants.generation

    @property
    def deposed(self) -> bool:
        """Whether another host has taken the group over."""
        return self._grants.deposed

    @property
    def load(self) -> float:
        """Mean load of the group's targets."""
        lanes = [self._lanes[name] for name in self.row.targets if name in self._lanes]
        return sum(lane.load for lane in lanes) / len(lanes) if lanes else 0.0

    def take_load(self) -> GroupLoad:
        """Return the group's load since the last call."""
        lanes = {name: self._lanes[name] for name in self.row.targets if name in self._lanes}
        return self._load_counter.take(
            lanes, self._stragglers, self._profile.drain(), self._takes_work
        )

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return sum(lane.queued for lane in self._lanes.values())

    def serving(self, slice_number: int) -> Serving | None:
        """Return which target may serve a slice now, or ``None`` if none may."""
        return self._serving(slice_number)

    def lost_targets(self) -> set[str]:
        """Return the targets that count as lost."""
        return self._grants.lost_targets()

    @property
    def grant_seconds(self) -> float:
        """Length of a grant."""
        return self._grant_seconds()

    @property
    def unchecked(self) -> frozenset[str]:
        """Targets that check no fences."""
        return self._grants.unchecked()

    @property
    def leased(self) -> bool:
        """Whether the group has targets that check no fences, so that dispatching takes a lease."""
        return bool(self.unchecked) and bool(self.row.slices)

    @property
    def grants(self) -> GrantKeeper:
        """The group's grants."""
        return self._grants

    def update_row(self, row: GroupRow, generation: int) -> None:
        """Go on under a new row."""
        self.row = row
        for name in self._add_targets(row):
            # A target that joins a running dispatcher is taken to be cold.
            self._lanes[name].on_cold()
        self._grants.update_row(row, generation, self._grant_seconds())

    def stop(self) -> None:
        """Stop renewing grants and sending new requests; :meth:`run` then ends."""
        self._grants.deposed = True
        self._scope.cancel()
        self._notify()

    async def run(self) -> None:
        """Keep the group's grants until stopped."""
        with self._scope:
            await self._grants.run()

    async def handle(self, req: Request, slice_number: int | None) -> Response:
        """Serve a request.

        :raises NotRun: If the request did not run.
        :raises OutcomeOfRequestUnknown: If it may have run.
        """
        body = await read_body(req.body, self._limits.body_bytes)
        if body is None:
            raise NotRun("body-too-large", "the body is over the limit", status=413)
        self._refusals.earn()
        self._load_counter.count(slice_number)
        while True:
            serving = await self._wait_serving(slice_number, req.deadline)
            lane = self._lanes[serving.target]
            turn = await lane.acquire(req.deadline)
            released = False
            try:
                if self._serving(slice_number, serving.target) is None:
                    continue
                resp = await self._send(req, body, slice_number, serving)
                resp.body = _releasing(resp.body, lane, turn)
                released = True
                return resp
            except NotRun as exc:
                if exc.reason not in ("wrong-epoch", "no-grant", "connect-failed", "cold"):
                    raise
                if self._shows_cold(exc.reason, serving.target):
                    lane.on_cold()
                # Other refusals end with a failover or a move; a cold target refuses for longer.
                if exc.reason == "cold" and not self._refusals.spend():
                    raise
                await trio.sleep(RETRY_PAUSE_SECONDS)
            finally:
                if not released:
                    lane.release(turn, answered=False)

    async def _send(
        self, req: Request, body: bytes, slice_number: int | None, serving: Serving
    ) -> Response:
        now = self._clock.now()
        deadline = min(req.deadline, serving.deadline)
        if deadline - now < SEND_MARGIN_SECONDS:
            raise NotRun("deadline", "the deadline passed before sending", status=504)
        decision(
            "send",
            service=req.service,
            key_hash=key_hash(req.key),
            slice=slice_number,
            group=self.group.group,
            epoch=serving.epoch,
            target=serving.target,
            request_id=req.id,
            reason="owner" if slice_number is not None else "least-loaded",
        )
        resp = await self._clients[serving.target].send(
            req,
            body,
            now=now,
            group=self.group.group,
            slice_number=slice_number,
            epoch=serving.epoch,
            deadline=deadline,
        )
        self._stragglers.on_answer(serving.target, self._clock.now() - now)
        return resp

    async def _wait_serving(self, slice_number: int | None, deadline: float) -> Serving:
        while True:
            serving = self._serving(slice_number)
            if serving is not None:
                return serving
            if self.deposed:
                raise NotOwner("not-dispatcher", "another host dispatches the group")
            if self._clock.now() >= deadline:
                raise NotRun("no-owner", "no target holds a valid grant", retry_after=1.0)
            with trio.move_on_after(RETRY_PAUSE_SECONDS):
                await self._changed.wait()

    def _serving(self, slice_number: int | None, target: str | None = None) -> Serving | None:
        catalog = self._directory.catalog
        if slice_number is not None:
            serving = self._grants.serving(slice_number)
            if serving is None or (target and serving.target != target):
                return None
            return serving if catalog.takes_work(serving.target) else None
        names = [target] if target else self.row.targets
        found = {
            name: serving
            for name in names
            if catalog.takes_work(name) and (serving := self._grants.serving_any(name))
        }
        if not found:
            return None
        return found[self._balancing.pick([self._candidate(name) for name in found]).name]

    def _candidate(self, name: str) -> Candidate:
        state = self._lanes[name].state
        now = self._clock.now()
        slowness = self._stragglers.slowness(name, state.stuck_seconds(now))
        return Candidate(name, state.outstanding, state.bound(now), slowness)

    def _shows_cold(self, reason: str, target: str) -> bool:
        """Return whether a refusal is evidence of a cold start.

        A failed connection is, unless grants already name the target's incarnation.
        """
        spec = self._clients[target].spec
        return reason == "cold" or (reason == "connect-failed" and not spec.checks_fences)

    def _on_incarnation(self, target: str, incarnation: int) -> None:
        known = self._incarnations.setdefault(target, incarnation)
        if known != incarnation:
            self._incarnations[target] = incarnation
            self._lanes[target].on_cold()

    def _takes_work(self, target: str) -> bool:
        return self._directory.catalog.takes_work(target) and target not in self.lost_targets()

    def _add_targets(self, row: GroupRow) -> list[str]:
        """Make the lanes of a row's targets and return the names of the new ones."""
        added = []
        for name in (*row.targets, *row.unfenced):
            target = self._directory.catalog.targets.get(name)
            if target is not None and name not in self._lanes:
                limit = self._limits.queue_per_target
                state = self._profile.lane(
                    target.slots, target.cold_slots, target.cold_seconds, limit
                )
                self._lanes[name] = Lane(state, self._clock)
                added.append(name)
                self._clients[name] = TargetClient(target, self._local_address)
        return added

    def _grant_seconds(self) -> float:
        return self._directory.catalog.services[self.group.service].grant_seconds

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


async def _releasing(body: AsyncIterator[bytes], lane: Lane, turn: Turn) -> AsyncIterator[bytes]:
    """Yield a body and give the slot back at its end."""
    try:
        async for chunk in body:
            yield chunk
    finally:
        lane.release(turn)
