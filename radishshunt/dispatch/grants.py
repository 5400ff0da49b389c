"""Keeps the grants of one group: fences, renews and fails over."""

from __future__ import annotations

import logging
from dataclasses import replace
from typing import TYPE_CHECKING

import trio

from radishshunt.clock import CLOCK_SKEW_BOUND
from radishshunt.ownership import GroupOwnership
from radishshunt.ownership_state import LOST_AFTER_SECONDS, Fence, Grant, Serving
from radishshunt.targets import GrantRejected, TargetClient, TargetUnreachable

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from radishshunt.clock import Clock
    from radishshunt.model import GroupRow

logger = logging.getLogger(__name__)

# Longest and shortest sleep between two looks at what is due; acknowledgements wake earlier.
LONGEST_SLEEP_SECONDS = 0.1
SHORTEST_SLEEP_SECONDS = 0.005
# A look that comes this much later than planned shows that the host itself was held up.
LATE_SECONDS = 0.2


class GrantKeeper:
    """Sends the commands of a group's ownership state to its targets.

    :param clients: Clients of all targets that the row names.
    :param on_changed: Called when it may have changed who serves a slice.
    :param on_incarnation: Called with the incarnation of each target that acknowledges a fence.
    """

    def __init__(
        self,
        row: GroupRow,
        generation: int,
        grant_seconds: float,
        clients: dict[str, TargetClient],
        clock: Clock,
        on_changed: Callable[[], None],
        on_incarnation: Callable[[str, int], None] | None = None,
    ) -> None:
        self.deposed = False
        # Whether neither grants nor requests are sent for now, while the group is handed over.
        self.paused = False
        # Returns the end of the dispatch lease; only asked if a target checks no fences.
        self.lease_of: Callable[[GroupRow], float] | None = None
        # Set after the first grant, when it makes sense that requests arrive.
        self.granted = trio.Event()
        self._clients = clients
        self._clock = clock
        self._on_changed = on_changed
        self._on_incarnation = on_incarnation
        self._ownership = self._build(row, generation, grant_seconds)
        self._rivals_stopped = False
        self._former: GroupOwnership | None = None
        self._started_at = clock.now()
        self._waiting: set[str] = set()
        self._wake = trio.Event()

    @property
    def generation(self) -> int:
        """Generation in use."""
        return self._ownership.generation

    @property
    def knows_losses(self) -> bool:
        """Whether enough time has passed to notice which targets do not answer."""
        return self._clock.now() > self._started_at + 2 * LOST_AFTER_SECONDS

    @property
    def latest_deadline(self) -> float:
        """End of the last grant sent to any target, 0 for none."""
        return max(self._ownership.latest_deadlines().values(), default=0.0)

    def update_row(self, row: GroupRow, generation: int, grant_seconds: float) -> None:
        """Go on under a new row."""
        self.deposed = False
        self.paused = False
        former, self._ownership = self._ownership, self._build(row, generation, grant_seconds)
        self._ownership.inherit_failures(former)
        if self._rivals_stopped or former.taken_over:
            self._take_over_from(former)
        self._rivals_stopped = False
        self._former = former
        self._waiting = set()
        self._wake_up()
        self._on_changed()

    def on_former_rival_stopped(self) -> None:
        """Take the news that the standby dispatcher of the row before never took over."""
        if self._former is not None:
            self._take_over_from(self._former)
            self._former = None
            self._wake_up()

    def _take_over_from(self, former: GroupOwnership) -> None:
        """Use that this host knows the grants it issued itself under the row before."""
        self._ownership.on_rivals_stopped(0.0, former.latest_deadlines(), former.begun_slices())

    def on_rivals_stopped(
        self,
        latest_deadline: float,
        deadline_of: Mapping[str, float] | None = None,
        *,
        only_row: bool = False,
    ) -> None:
        """Take the news that no other host grants under a lower generation any more.

        :param only_row: Whether this is known only of the dispatcher that the row names, not of
            the hosts before it.
        """
        slices = None
        if only_row:
            row = self._ownership.row
            slices = frozenset(row.slices).difference(*row.unfenced.values())
        self._ownership.on_rivals_stopped(latest_deadline, deadline_of, slices)
        self._wake_up()

    def all_fenced(self) -> bool:
        """Return whether every target is fenced for the generation in use."""
        return self._ownership.all_fenced()

    def lost_targets(self) -> set[str]:
        """Return the targets that do not answer."""
        return self._ownership.lost_targets(self._clock.now())

    def all_begun(self) -> bool:
        """Return whether the fences before the first grant are complete for all slices."""
        return len(self._ownership.begun_slices()) == len(self._ownership.row.slices)

    def moved_slices(self) -> frozenset[int]:
        """Return the slices that their standby serves."""
        return self._ownership.moved_slices()

    def stranded_slices(self) -> frozenset[int]:
        """Return the slices that no target can serve again under this generation."""
        return self._ownership.stranded_slices(self._clock.now())

    def unsettled(self, *, rivals_stopped: bool) -> dict[str, tuple[int, ...]]:
        """Return the targets that a following generation has to fence, with their slices.

        Until :meth:`lift_bars`, the other targets get no grants.

        :param rivals_stopped: Whether the standby dispatcher confirmed that it does not take over.
        """
        self._rivals_stopped = self._rivals_stopped or rivals_stopped
        return self._ownership.unsettled(self._clock.now(), rivals_stopped=rivals_stopped)

    def lift_bars(self) -> None:
        """Take the news that the row for which :meth:`unsettled` was asked is not written."""
        self._ownership.lift_bars()
        self._wake_up()

    def unchecked(self) -> frozenset[str]:
        """Return the targets that check no fences."""
        return frozenset(n for n, c in self._clients.items() if not c.spec.checks_fences)

    def serving(self, slice_number: int) -> Serving | None:
        """Return who may serve a slice now."""
        return self._within_lease(self._ownership.serving(slice_number, self._clock.now()))

    def serving_any(self, target: str) -> Serving | None:
        """Return the grant of a target of a service without keys."""
        return self._within_lease(self._ownership.serving_any(target, self._clock.now()))

    async def run(self) -> None:
        """Send the commands that are due until cancelled or deposed."""
        async with trio.open_nursery() as nursery:
            while True:
                ownership = self._ownership
                if self._may_grant():
                    for command in ownership.commands(self._clock.now()):
                        if command.target not in self._waiting:
                            self._waiting.add(command.target)
                            nursery.start_soon(self._execute, ownership, command)
                pause = ownership.next_command_at() - self._clock.now()
                pause = min(max(pause, SHORTEST_SLEEP_SECONDS), LONGEST_SLEEP_SECONDS)
                planned = trio.current_time() + pause
                wake = self._wake
                with trio.move_on_at(planned):
                    await wake.wait()
                if trio.current_time() > planned + LATE_SECONDS:
                    self._ownership.on_late(self._clock.now())

    async def _execute(self, ownership: GroupOwnership, command: Fence | Grant) -> None:
        group = ownership.row.group
        client = self._clients.get(command.target)
        try:
            if client is None:
                raise TargetUnreachable(f"target {command.target} is no longer listed")
            if isinstance(command, Fence):
                answer = await client.fence(group.service, group.group, command)
                if self._on_incarnation is not None:
                    self._on_incarnation(command.target, answer.incarnation)
                ownership.on_fenced(
                    command,
                    answer.incarnation,
                    answer.held_standby,
                    answer.busy,
                    self._clock.now(),
                )
            else:
                await client.grant(group.service, group.group, command)
                ownership.on_granted(command, self._clock.now())
                self.granted.set()
                self._on_changed()
        except TargetUnreachable as exc:
            logger.debug("%s", exc)
            ownership.on_failure(command, self._clock.now(), sent=exc.sent)
        except GrantRejected as exc:
            if exc.reason == "incarnation":
                ownership.on_restarted(command, exc.incarnation, self._clock.now())
            elif ownership is self._ownership:
                self.deposed = True
                self._on_changed()
        finally:
            if ownership is self._ownership:
                self._waiting.discard(command.target)
                self._wake_up()

    def _build(self, row: GroupRow, generation: int, grant_seconds: float) -> GroupOwnership:
        unchecked = self.unchecked() if row.slices else frozenset()
        return GroupOwnership(row, generation, grant_seconds, unchecked)

    def _lease_end(self) -> float:
        if self.lease_of is None or not self._ownership.unchecked:
            return float("inf")
        return self.lease_of(self._ownership.row) - CLOCK_SKEW_BOUND

    def _may_grant(self) -> bool:
        return not self.deposed and not self.paused and self._lease_end() > self._clock.now()

    def _within_lease(self, serving: Serving | None) -> Serving | None:
        if serving is None or self.deposed or self.paused:
            return None
        end = self._lease_end()
        if end >= serving.deadline:
            return serving
        return replace(serving, deadline=end) if end > self._clock.now() else None

    def _wake_up(self) -> None:
        self._wake.set()
        self._wake = trio.Event()
