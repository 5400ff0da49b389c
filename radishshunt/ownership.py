"""Rules of grants, fences and failover of one group, free of I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from radishshunt.clock import CLOCK_SKEW_BOUND

if TYPE_CHECKING:
    from radishshunt.model import GroupRow

RENEW_INTERVAL_SECONDS = 0.3
RETRY_INTERVAL_SECONDS = 0.1
# Renewals that fail for this long make the target count as lost.
LOST_AFTER_SECONDS = 0.45


@dataclass(frozen=True, slots=True)
class Fence:
    """Command: fence a target at a generation."""

    target: str
    generation: int


@dataclass(frozen=True, slots=True)
class Grant:
    """Command: grant slices to a target, or renew its grant.

    :param incarnation: Run of the target that acknowledged the fence.
    :param steps: Step of each granted slice, 0 as owner and 1 as former standby.
    :param deadline: Seconds since the Unix epoch.
    """

    target: str
    generation: int
    incarnation: int
    steps: dict[int, int]
    deadline: float


@dataclass(slots=True)
class _TargetState:
    fenced: bool = False
    lost: bool = False
    incarnation: int = 0
    held_standby: frozenset[int] = frozenset()
    sent_deadline: float = 0.0
    acked_deadline: float = 0.0
    acked_steps: dict[int, int] = field(default_factory=dict)
    failing_since: float = 0.0
    next_command_at: float = 0.0


@dataclass(frozen=True, slots=True)
class Serving:
    """Who serves a slice.

    :param deadline: End of the target's grant less the skew bound, seconds since the epoch.
    """

    target: str
    epoch: int
    deadline: float


def epoch_of(generation: int, step: int) -> int:
    """Return the epoch of a step within a generation."""
    return generation * 2 + step


class GroupOwnership:
    """State of a group's grants under one generation.

    :param row: Row that names owners and standbys.
    :param generation: The row's generation, or one more for the standby dispatcher.
    :param grant_seconds: Length of a grant.
    """

    def __init__(self, row: GroupRow, generation: int, grant_seconds: float) -> None:
        self.row = row
        self.generation = generation
        self._grant_seconds = grant_seconds
        names = set(row.targets) | set(row.unfenced)
        for pair in row.slices.values():
            names.update(name for name in (pair.owner, pair.standby) if name)
        self._targets = {name: _TargetState() for name in sorted(names)}
        self._steps: dict[int, int] = {}
        self._unfenced = {name: frozenset(numbers) for name, numbers in row.unfenced.items()}

    def commands(self, now: float) -> list[Fence | Grant]:
        """Return the commands that are due; each counts as sent.

        :param now: Seconds since the Unix epoch.
        """
        self._advance(now)
        due: list[Fence | Grant] = []
        for name, state in self._targets.items():
            if now < state.next_command_at or state.lost:
                continue
            if not state.fenced:
                state.next_command_at = now + RETRY_INTERVAL_SECONDS
                due.append(Fence(name, self.generation))
            elif name in self.row.targets:
                steps = self._steps_of(name)
                if steps or not self.row.slices:
                    state.next_command_at = now + RENEW_INTERVAL_SECONDS
                    deadline = now + self._grant_seconds
                    state.sent_deadline = max(state.sent_deadline, deadline)
                    due.append(Grant(name, self.generation, state.incarnation, steps, deadline))
        return due

    def on_fenced(
        self, target: str, incarnation: int, held_standby: frozenset[int], now: float
    ) -> None:
        """Take a target's acknowledgement of a fence.

        :param held_standby: Slices for which the target has held a step-1 grant.
        """
        state = self._targets[target]
        state.fenced = True
        state.incarnation = incarnation
        state.held_standby = held_standby
        state.failing_since = 0.0
        state.next_command_at = now

    def on_granted(self, command: Grant, now: float) -> None:
        """Take a target's acknowledgement of a grant."""
        state = self._targets[command.target]
        state.failing_since = 0.0
        state.acked_deadline = max(state.acked_deadline, command.deadline)
        state.acked_steps = dict(command.steps)

    def on_failure(self, target: str, now: float) -> None:
        """Take the news that a command got no answer."""
        state = self._targets[target]
        state.failing_since = state.failing_since or now
        state.next_command_at = min(state.next_command_at, now + RETRY_INTERVAL_SECONDS)

    def on_restarted(self, target: str) -> None:
        """Take the news that a target runs under a new incarnation."""
        state = self._targets[target]
        if state.sent_deadline:
            state.lost = True
        else:
            state.fenced = False

    def serving(self, number: int | None, now: float) -> Serving | None:
        """Return who may serve a slice now, or ``None`` if nobody holds a valid grant."""
        step = self._steps.get(number) if number is not None else None
        if number is None or step is None:
            return None
        pair = self.row.slices[number]
        name = pair.owner if step == 0 else pair.standby
        return self._serving_target(name, step, number, now) if name else None

    def serving_any(self, target: str, now: float) -> Serving | None:
        """Return the grant of a target of a service without keys."""
        return self._serving_target(target, 0, None, now)

    def all_fenced(self) -> bool:
        """Return whether every target is fenced for this generation."""
        return all(state.fenced for state in self._targets.values())

    def lost_targets(self) -> set[str]:
        """Return the targets that count as lost under this generation."""
        return {name for name, state in self._targets.items() if state.lost}

    def unsettled(self) -> dict[str, tuple[int, ...]]:
        """Return the targets that a following generation has to fence, with their slices.

        A slice's former owner is settled once its standby has acknowledged a step-1 grant.
        """
        pending: dict[str, set[int]] = {}
        for name, numbers in self._unfenced.items():
            if not self._targets[name].fenced:
                pending.setdefault(name, set()).update(numbers)
        for number, pair in self.row.slices.items():
            standby = self._targets[pair.standby] if pair.standby else None
            if pair.standby:
                pending.setdefault(pair.standby, set()).add(number)
            if standby is None or standby.acked_steps.get(number) != 1:
                pending.setdefault(pair.owner, set()).add(number)
        return {name: tuple(sorted(numbers)) for name, numbers in pending.items()}

    def _serving_target(
        self, name: str, step: int, number: int | None, now: float
    ) -> Serving | None:
        state = self._targets[name]
        deadline = state.acked_deadline - CLOCK_SKEW_BOUND
        if state.lost or deadline <= now:
            return None
        if number is not None and state.acked_steps.get(number) != step:
            return None
        return Serving(name, epoch_of(self.generation, step), deadline)

    def _steps_of(self, target: str) -> dict[int, int]:
        steps = {}
        for number, step in self._steps.items():
            pair = self.row.slices[number]
            if target == (pair.owner if step == 0 else pair.standby):
                steps[number] = step
        return steps

    def _advance(self, now: float) -> None:
        for state in self._targets.values():
            failing = state.failing_since and now - state.failing_since > LOST_AFTER_SECONDS
            if failing:
                state.lost = True
        for number, pair in self.row.slices.items():
            step = self._steps.get(number)
            if step is None:
                self._begin(number, now)
            elif step == 0 and pair.standby and self._lapsed(pair.owner, now):
                standby = self._targets[pair.standby]
                if standby.fenced and not standby.lost:
                    self._steps[number] = 1
                    standby.next_command_at = now

    def _begin(self, number: int, now: float) -> None:
        pair = self.row.slices[number]
        owner = self._targets[pair.owner]
        if not all(
            self._targets[name].fenced for name, held in self._unfenced.items() if number in held
        ):
            return
        standby = self._targets[pair.standby] if pair.standby else None
        if self.generation > self.row.generation:
            if standby is not None and not standby.fenced:
                return
            if standby is not None and number in standby.held_standby:
                self._steps[number] = 1
                standby.next_command_at = now
                return
        if owner.fenced:
            self._steps[number] = 0
            owner.next_command_at = now

    def _lapsed(self, target: str, now: float) -> bool:
        state = self._targets[target]
        return state.lost and now > state.sent_deadline + CLOCK_SKEW_BOUND
