"""Rules by which a target accepts grants, fences and requests, free of I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

GroupKey = tuple[str, int]


class Rejected(Exception):
    """A grant or a fence was refused.

    :param reason: ``fenced`` or ``incarnation``.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@dataclass(frozen=True, slots=True)
class FenceResult:
    """Answer to a fence.

    :param held_standby: Slices for which a step-1 grant of the generation before was held.
    :param busy: Latest deadline of requests running under lower epochs, by slice.
    """

    held_standby: list[int]
    busy: dict[int, float]


@dataclass(slots=True)
class _GroupState:
    """What a target remembers of a group.

    :ivar generation: Lowest generation that it accepts.
    :ivar slices: Epoch of each granted slice.
    :ivar deadline: End of the grant, seconds since the Unix epoch.
    :ivar held_standby: Generation of the last step-1 grant of each slice.
    """

    generation: int = 0
    granted_generation: int = 0
    slices: dict[int, int] = field(default_factory=dict)
    deadline: float = 0.0
    held_standby: dict[int, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class _Running:
    group: GroupKey
    generation: int
    slice: int | None
    deadline: float


class TargetGrants:
    """Grants, fences and running requests of one run of a target.

    :param incarnation: Number that names the run.
    """

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self._groups: dict[GroupKey, _GroupState] = {}
        # Lowest generation accepted for a slice, over all groups of its service.
        self._floors: dict[tuple[str, int], int] = {}
        self._running: dict[str, _Running] = {}

    @property
    def running(self) -> int:
        """Number of running requests."""
        return len(self._running)

    def fence(self, group: GroupKey, generation: int, slices: Iterable[int]) -> FenceResult:
        """Accept no lower generation for a group, nor for slices that came from other groups.

        :raises Rejected: If a higher generation has been accepted.
        """
        state = self._groups.setdefault(group, _GroupState())
        slices = frozenset(slices)
        self._check(group, state, generation, slices)
        self._raise(group, state, generation, slices)
        busy: dict[int, float] = {}
        for run in self._running.values():
            same = run.group == group or (run.group[0] == group[0] and run.slice in slices)
            if same and run.slice is not None and run.generation < generation:
                busy[run.slice] = max(busy.get(run.slice, 0.0), run.deadline)
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
        :raises Rejected: If it names another incarnation or a fenced generation.
        """
        if incarnation != self.incarnation:
            raise Rejected("incarnation")
        state = self._groups.setdefault(group, _GroupState())
        epochs = dict.fromkeys(owned, generation * 2)
        epochs.update(dict.fromkeys(taken_over, generation * 2 + 1))
        self._check(group, state, generation, epochs)
        self._raise(group, state, generation, epochs)
        if generation > state.granted_generation:
            state.granted_generation = generation
            state.slices, state.deadline = {}, 0.0
        # Within a generation the granted slices only grow, so a renewal that arrives late can
        # neither remove slices nor move the deadline back.
        state.slices.update(epochs)
        state.held_standby.update(dict.fromkeys(taken_over, generation))
        state.deadline = max(state.deadline, deadline)

    def refusal(
        self, group: GroupKey, slice_number: int | None, epoch: int, now: float
    ) -> str | None:
        """Return why a request is not run, or ``None`` if a valid grant covers it."""
        state = self._groups.get(group)
        if state is None or now >= state.deadline:
            return "no-grant"
        if epoch // 2 != state.generation or state.granted_generation != state.generation:
            return "wrong-epoch"
        if slice_number is None:
            return None
        if state.slices.get(slice_number) != epoch:
            return "wrong-epoch"
        if self._floors.get((group[0], slice_number), 0) > state.generation:
            return "wrong-epoch"
        return None

    def valid_epoch(self, group: GroupKey, slice_number: int, now: float) -> int | None:
        """Return the epoch under which a request for a slice would run now, if any."""
        state = self._groups.get(group)
        epoch = state.slices.get(slice_number) if state is not None else None
        if epoch is None or self.refusal(group, slice_number, epoch, now):
            return None
        return epoch

    def held(self, service: str, now: float) -> dict[int, tuple[int, float]]:
        """Return the epoch and the deadline of each slice of a service with a valid grant."""
        return {
            number: (epoch, state.deadline)
            for group, state in self._groups.items()
            if group[0] == service
            for number, epoch in state.slices.items()
            if not self.refusal(group, number, epoch, now)
        }

    def start(
        self, request_id: str, group: GroupKey, slice_number: int | None, epoch: int, until: float
    ) -> None:
        """Note a request that begins to run.

        :param until: The request's deadline, seconds since the Unix epoch.
        """
        self._running[request_id] = _Running(group, epoch // 2, slice_number, until)

    def finish(self, request_id: str) -> None:
        """Note the end of a request."""
        self._running.pop(request_id, None)

    def _check(
        self, group: GroupKey, state: _GroupState, generation: int, slices: Iterable[int]
    ) -> None:
        floors = (self._floors.get((group[0], number), 0) for number in slices)
        if generation < state.generation or generation < max(floors, default=0):
            raise Rejected("fenced")

    def _raise(
        self, group: GroupKey, state: _GroupState, generation: int, slices: Iterable[int]
    ) -> None:
        state.generation = generation
        for number in slices:
            self._floors[group[0], number] = generation
