"""Rules by which a target accepts grants, fences and requests, without I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

GroupKey = tuple[str, int]


class CommandRejected(Exception):
    """The target refused a grant or a fence.

    :param reason: ``fenced`` or ``incarnation``.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@dataclass(frozen=True, slots=True)
class FenceResult:
    """Answer to a fence.

    :param held_standby: Slices for which the target held a step-1 grant of the previous generation.
    :param busy: Latest deadline of requests running under lower epochs, by slice.
    """

    held_standby: list[int]
    busy: dict[int, float]


@dataclass(slots=True)
class _GroupState:
    """State of a group on a target.

    :ivar generation: Lowest generation that the target accepts.
    :ivar granted_generation: Generation of the latest grant, 0 if there was none.
    :ivar slices: Epoch of each granted slice.
    :ivar deadline: End of the grant, seconds since the Unix epoch.
    :ivar held_standby: Generation of the latest step-1 grant of each slice.
    """

    generation: int = 0
    granted_generation: int = 0
    slices: dict[int, int] = field(default_factory=dict)
    deadline: float = 0.0
    held_standby: dict[int, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class _RunningRequest:
    group: GroupKey
    generation: int
    slice: int | None
    deadline: float


class TargetGrants:
    """Grants, fences and running requests of one incarnation of a target."""

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self._groups: dict[GroupKey, _GroupState] = {}
        # Lowest generation accepted for a slice, over all groups of its service.
        self._min_generations: dict[tuple[str, int], int] = {}
        self._running: dict[str, _RunningRequest] = {}

    @property
    def running(self) -> int:
        """Number of running requests."""
        return len(self._running)

    def fence(self, group: GroupKey, generation: int, slices: Iterable[int]) -> FenceResult:
        """Refuse lower generations from now on.

        This holds for the group, and for the given slices in all groups of the service, because a
        slice may have moved here from another group.

        :raises CommandRejected: If a higher generation has been accepted already.
        """
        state = self._groups.setdefault(group, _GroupState())
        slices = frozenset(slices)
        self._reject_if_fenced(group, state, generation, slices)
        self._raise_min_generation(group, state, generation, slices)
        busy: dict[int, float] = {}
        for running in self._running.values():
            affected = running.group == group or (
                running.group[0] == group[0] and running.slice in slices
            )
            if affected and running.slice is not None and running.generation < generation:
                busy[running.slice] = max(busy.get(running.slice, 0.0), running.deadline)
        held = sorted(n for n, held in state.held_standby.items() if held == generation - 1)
        return FenceResult(held, busy)

    def grant(
        self,
        group: GroupKey,
        generation: int,
        incarnation: int,
        owned: Iterable[int],
        taken_over: Iterable[int],
        deadline: float,
    ) -> None:
        """Accept a grant or its renewal.

        :param deadline: Seconds since the Unix epoch.
        :raises CommandRejected: If the grant is for another incarnation or of a fenced generation.
        """
        if incarnation != self.incarnation:
            raise CommandRejected("incarnation")
        state = self._groups.setdefault(group, _GroupState())
        epochs = dict.fromkeys(owned, generation * 2)
        epochs.update(dict.fromkeys(taken_over, generation * 2 + 1))
        self._reject_if_fenced(group, state, generation, epochs)
        self._raise_min_generation(group, state, generation, epochs)
        if generation > state.granted_generation:
            state.granted_generation = generation
            state.slices, state.deadline = {}, 0.0
        # Within a generation, slices are only added and the deadline only moves forward, so a
        # delayed renewal can neither remove slices nor shorten the grant.
        state.slices.update(epochs)
        state.held_standby.update(dict.fromkeys(taken_over, generation))
        state.deadline = max(state.deadline, deadline)

    def refusal_reason(
        self, group: GroupKey, slice_number: int | None, epoch: int, now: float
    ) -> str | None:
        """Return why a request must not run, or ``None`` if a valid grant covers it."""
        state = self._groups.get(group)
        if state is None or now >= state.deadline:
            return "no-grant"
        if epoch // 2 != state.generation or state.granted_generation != state.generation:
            return "wrong-epoch"
        if slice_number is None:
            return None
        if state.slices.get(slice_number) != epoch:
            return "wrong-epoch"
        if self._min_generations.get((group[0], slice_number), 0) > state.generation:
            return "wrong-epoch"
        return None

    def valid_epoch(self, group: GroupKey, slice_number: int, now: float) -> int | None:
        """Return the epoch of the valid grant for a slice, or ``None`` without one."""
        state = self._groups.get(group)
        epoch = state.slices.get(slice_number) if state is not None else None
        if epoch is None or self.refusal_reason(group, slice_number, epoch, now):
            return None
        return epoch

    def valid_grants(self, service: str, now: float) -> dict[int, tuple[int, float]]:
        """Return epoch and deadline of each slice of a service that has a valid grant."""
        return {
            number: (epoch, state.deadline)
            for group, state in self._groups.items()
            if group[0] == service
            for number, epoch in state.slices.items()
            if not self.refusal_reason(group, number, epoch, now)
        }

    def add_running(
        self,
        request_id: str,
        group: GroupKey,
        slice_number: int | None,
        epoch: int,
        deadline: float,
    ) -> None:
        """Record a request that starts to run.

        :param deadline: Deadline of the request, seconds since the Unix epoch.
        """
        self._running[request_id] = _RunningRequest(group, epoch // 2, slice_number, deadline)

    def remove_running(self, request_id: str) -> None:
        """Remove a request that has ended."""
        self._running.pop(request_id, None)

    def _reject_if_fenced(
        self, group: GroupKey, state: _GroupState, generation: int, slices: Iterable[int]
    ) -> None:
        min_generations = (self._min_generations.get((group[0], number), 0) for number in slices)
        if generation < state.generation or generation < max(min_generations, default=0):
            raise CommandRejected("fenced")

    def _raise_min_generation(
        self, group: GroupKey, state: _GroupState, generation: int, slices: Iterable[int]
    ) -> None:
        state.generation = generation
        for number in slices:
            self._min_generations[group[0], number] = generation
