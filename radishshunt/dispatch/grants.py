"""Issues the grants of one group: fences targets, renews grants and fails over."""

from __future__ import annotations

import logging
from dataclasses import replace
from typing import TYPE_CHECKING

import trio

from radishshunt.clock import CLOCK_SKEW_BOUND_SECONDS
from radishshunt.ownership import GroupOwnership
from radishshunt.ownership_state import LOST_AFTER_SECONDS, Fence, Grant, ServingGrant
from radishshunt.targets import GrantRejected, TargetClient, TargetUnreachable

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from radishshunt.clock import Clock
    from radishshunt.model import GroupRow

logger = logging.getLogger(__name__)

# Bounds on the sleep between two checks for due commands; an acknowledgement ends it early.
MAX_SLEEP_SECONDS = 0.1
MIN_SLEEP_SECONDS = 0.005
# A check that runs this much later than scheduled shows that this process was stalled.
LATE_WAKEUP_SECONDS = 0.2


class GrantController:
    """Sends the commands of a group's ownership state to its targets.

    :param clients: Clients of all targets that the row names.
    :param on_changed: Called when the target that serves a slice may have changed.
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
        # Whether this host must not dispatch the group any more, because a target has refused a
        # command of this generation or the dispatcher was stopped.
        self.deposed = False
        # Whether sending of grants and requests is suspended while the group is handed over.
        self.paused = False
        # Returns the end of the dispatch lease, in seconds since the Unix epoch. Called only if a
        # target does not check fences.
        self.lease_end: Callable[[GroupRow], float] | None = None
        # Set when a target acknowledges the first grant; requests can be served from then on.
        self.first_grant_acknowledged = trio.Event()
        self._clients = clients
        self._clock = clock
        self._on_changed = on_changed
        self._on_incarnation = on_incarnation
        self._ownership = self._build_ownership(row, generation, grant_seconds)
        self._takeover_ruled_out = False
        self._previous_ownership: GroupOwnership | None = None
        self._started_at = clock.now()
        self._pending_targets: set[str] = set()
        self._wake_event = trio.Event()

    @property
    def generation(self) -> int:
        """Generation that this host uses for the group."""
        return self._ownership.generation

    @property
    def can_detect_losses(self) -> bool:
        """Whether this dispatcher has run long enough to detect targets that do not answer."""
        return self._clock.now() > self._started_at + 2 * LOST_AFTER_SECONDS

    @property
    def latest_deadline(self) -> float:
        """Latest deadline of the grants sent, in seconds since the Unix epoch; 0 for none."""
        return max(self._ownership.latest_deadlines().values(), default=0.0)

    def update_row(self, row: GroupRow, generation: int, grant_seconds: float) -> None:
        """Continue under a new row."""
        self.deposed = False
        self.paused = False
        previous, self._ownership = self._ownership, self._build_ownership(
            row, generation, grant_seconds
        )
        self._ownership.inherit_failures(previous)
        if self._takeover_ruled_out or previous.taken_over:
            self._apply_own_earlier_grants(previous)
        self._takeover_ruled_out = False
        self._previous_ownership = previous
        self._pending_targets = set()
        self._wake_run_loop()
        self._on_changed()

    def on_previous_standby_stopped(self) -> None:
        """Record that the standby dispatcher of the previous row did not take over."""
        if self._previous_ownership is not None:
            self._apply_own_earlier_grants(self._previous_ownership)
            self._previous_ownership = None
            self._wake_run_loop()

    def _apply_own_earlier_grants(self, previous: GroupOwnership) -> None:
        """Apply what is known of the grants that this host issued under the previous row."""
        self._ownership.on_other_dispatchers_stopped(
            0.0, previous.latest_deadlines(), previous.started_slices()
        )

    def on_other_dispatchers_stopped(
        self,
        latest_deadline: float,
        deadline_of: Mapping[str, float] | None = None,
        *,
        only_row: bool = False,
    ) -> None:
        """Record that no other host issues grants under a lower generation any more.

        :param latest_deadline: End of the last grant that another host may have issued, in
            seconds since the Unix epoch.
        :param deadline_of: The same for single targets.
        :param only_row: Whether this holds only for the dispatcher that the row names, and not
            for the hosts that dispatched the group before it.
        """
        slices = None
        if only_row:
            row = self._ownership.row
            slices = frozenset(row.slices).difference(*row.unfenced.values())
        self._ownership.on_other_dispatchers_stopped(latest_deadline, deadline_of, slices)
        self._wake_run_loop()

    def all_fenced(self) -> bool:
        """Return whether every target is fenced for the current generation."""
        return self._ownership.all_fenced()

    def lost_targets(self) -> set[str]:
        """Return the targets that count as lost because they do not answer."""
        return self._ownership.lost_targets(self._clock.now())

    def all_started(self) -> bool:
        """Return whether the fences before the first grant are complete for all slices."""
        return len(self._ownership.started_slices()) == len(self._ownership.row.slices)

    def slices_served_by_standby(self) -> frozenset[int]:
        """Return the slices that are served by their standby."""
        return self._ownership.slices_served_by_standby()

    def unservable_slices(self) -> frozenset[int]:
        """Return the slices that no target can serve again under this generation."""
        return self._ownership.unservable_slices(self._clock.now())

    def targets_to_fence(self, *, takeover_ruled_out: bool) -> dict[str, tuple[int, ...]]:
        """Return the targets that the next generation must fence, with their slices.

        The other targets receive no grants until :meth:`clear_exclusions` is called.

        :param takeover_ruled_out: Whether the standby dispatcher confirmed that it will not
            take over.
        """
        self._takeover_ruled_out = self._takeover_ruled_out or takeover_ruled_out
        return self._ownership.targets_to_fence(
            self._clock.now(), takeover_ruled_out=takeover_ruled_out
        )

    def clear_exclusions(self) -> None:
        """Allow grants to all targets again.

        Called when the row that :meth:`targets_to_fence` was asked for is not written.
        """
        self._ownership.clear_exclusions()
        self._wake_run_loop()

    def targets_without_fencing(self) -> frozenset[str]:
        """Return the targets that do not check fences."""
        return frozenset(n for n, c in self._clients.items() if not c.spec.checks_fences)

    def serving(self, slice_number: int) -> ServingGrant | None:
        """Return the target that may serve a slice now, or ``None`` if none may."""
        return self._limit_to_lease(self._ownership.serving(slice_number, self._clock.now()))

    def serving_unkeyed(self, target: str) -> ServingGrant | None:
        """Return the valid grant of a target of a service without keys, if it has one."""
        return self._limit_to_lease(self._ownership.serving_unkeyed(target, self._clock.now()))

    async def run(self) -> None:
        """Send the commands that are due until cancelled; none are sent while deposed."""
        async with trio.open_nursery() as nursery:
            while True:
                ownership = self._ownership
                if self._may_grant():
                    for command in ownership.commands(self._clock.now()):
                        if command.target not in self._pending_targets:
                            self._pending_targets.add(command.target)
                            nursery.start_soon(self._execute, ownership, command)
                sleep_seconds = ownership.next_command_at() - self._clock.now()
                sleep_seconds = min(max(sleep_seconds, MIN_SLEEP_SECONDS), MAX_SLEEP_SECONDS)
                wake_at = trio.current_time() + sleep_seconds
                wake = self._wake_event
                with trio.move_on_at(wake_at):
                    await wake.wait()
                if trio.current_time() > wake_at + LATE_WAKEUP_SECONDS:
                    self._ownership.on_host_stalled(self._clock.now())

    async def _execute(self, ownership: GroupOwnership, command: Fence | Grant) -> None:
        group = ownership.row.group
        client = self._clients.get(command.target)
        try:
            if client is None:
                raise TargetUnreachable(f"target {command.target} is not in the catalog any more")
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
                self.first_grant_acknowledged.set()
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
                self._pending_targets.discard(command.target)
                self._wake_run_loop()

    def _build_ownership(
        self, row: GroupRow, generation: int, grant_seconds: float
    ) -> GroupOwnership:
        targets_without_fencing = self.targets_without_fencing() if row.slices else frozenset()
        return GroupOwnership(row, generation, grant_seconds, targets_without_fencing)

    def _lease_end(self) -> float:
        if self.lease_end is None or not self._ownership.targets_without_fencing:
            return float("inf")
        return self.lease_end(self._ownership.row) - CLOCK_SKEW_BOUND_SECONDS

    def _may_grant(self) -> bool:
        return not self.deposed and not self.paused and self._lease_end() > self._clock.now()

    def _limit_to_lease(self, serving: ServingGrant | None) -> ServingGrant | None:
        if serving is None or self.deposed or self.paused:
            return None
        end = self._lease_end()
        if end >= serving.deadline:
            return serving
        return replace(serving, deadline=end) if end > self._clock.now() else None

    def _wake_run_loop(self) -> None:
        self._wake_event.set()
        self._wake_event = trio.Event()
