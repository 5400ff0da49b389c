"""Keeps the grants of one group: fences, renews and fails over."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio

from radishshunt.ownership import Fence, Grant, GroupOwnership, Serving
from radishshunt.targets import GrantRejected, TargetClient, TargetUnreachable

if TYPE_CHECKING:
    from collections.abc import Callable

    from radishshunt.clock import Clock
    from radishshunt.model import GroupRow

logger = logging.getLogger(__name__)

TICK_SECONDS = 0.05


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
        self._clients = clients
        self._clock = clock
        self._on_changed = on_changed
        self._on_incarnation = on_incarnation
        self._ownership = GroupOwnership(row, generation, grant_seconds)

    @property
    def generation(self) -> int:
        """Generation in use."""
        return self._ownership.generation

    def update_row(self, row: GroupRow, generation: int, grant_seconds: float) -> None:
        """Go on under a new row."""
        self.deposed = False
        self._ownership = GroupOwnership(row, generation, grant_seconds)
        self._on_changed()

    def lost_targets(self) -> set[str]:
        """Return the targets that count as lost."""
        return self._ownership.lost_targets()

    def unsettled(self) -> dict[str, tuple[int, ...]]:
        """Return the targets that a following generation has to fence, with their slices."""
        return self._ownership.unsettled()

    def serving(self, slice_number: int) -> Serving | None:
        """Return who may serve a slice now."""
        return self._ownership.serving(slice_number, self._clock.now())

    def serving_any(self, target: str) -> Serving | None:
        """Return the grant of a target of a service without keys."""
        return self._ownership.serving_any(target, self._clock.now())

    async def run(self) -> None:
        """Send the commands that are due until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                ownership = self._ownership
                for command in ownership.commands(self._clock.now()):
                    nursery.start_soon(self._execute, ownership, command)
                await trio.sleep(TICK_SECONDS)

    async def _execute(self, ownership: GroupOwnership, command: Fence | Grant) -> None:
        client = self._clients[command.target]
        group = ownership.row.group
        try:
            if isinstance(command, Fence):
                answer = await client.fence(group.service, group.group, command)
                if self._on_incarnation is not None:
                    self._on_incarnation(command.target, answer.incarnation)
                ownership.on_fenced(
                    command.target, answer.incarnation, answer.held_standby, self._clock.now()
                )
            else:
                await client.grant(group.service, group.group, command)
                ownership.on_granted(command, self._clock.now())
                self._on_changed()
        except TargetUnreachable as exc:
            logger.debug("%s", exc)
            ownership.on_failure(command.target, self._clock.now())
        except GrantRejected as exc:
            if exc.reason == "incarnation":
                ownership.on_restarted(command.target)
            elif ownership is self._ownership:
                self.deposed = True
                self._on_changed()
