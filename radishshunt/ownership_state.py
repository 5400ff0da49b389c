"""Commands to targets, and the state of targets and slices, for the ownership rules."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from itertools import permutations
from typing import TYPE_CHECKING

from radishshunt.clock import CLOCK_SKEW_BOUND_SECONDS

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from radishshunt.model import GroupRow

# A target counts as lost once its commands have failed for this long.
LOST_AFTER_SECONDS = 0.45
# Rate limit on the commands to one target, whatever is due, and the number of commands that may be
# sent in one burst. A takeover needs four: two fences, the grant and its renewal.
MOST_COMMANDS_PER_SECOND = 8.0
COMMAND_BURST = 6


@dataclass(frozen=True, slots=True)
class Fence:
    """Command: fence a target at a generation.

    :param slices: Slices for which the target may hold grants of lower generations of any group.
    :param sequence: Orders the command against the acknowledgements received before it.
    """

    target: str
    generation: int
    slices: tuple[int, ...] = ()
    sequence: int = 0


@dataclass(frozen=True, slots=True)
class Grant:
    """Command: grant slices to a target, or renew its grant.

    :param incarnation: Incarnation of the target that acknowledged the fence.
    :param steps: Step of each granted slice: 0 as owner, 1 as the standby that replaced it.
    :param deadline: Seconds since the Unix epoch.
    :param sequence: Orders the command against the acknowledgements received before it.
    """

    target: str
    generation: int
    incarnation: int
    steps: Mapping[int, int]
    deadline: float
    sequence: int = 0


@dataclass(frozen=True, slots=True)
class ServingGrant:
    """Target that may serve a slice, and until when.

    :param deadline: End of the target's grant less the clock skew bound, seconds since the Unix
        epoch.
    """

    target: str
    epoch: int
    deadline: float


@dataclass(slots=True)
class TargetState:
    """State of one target as seen by the dispatcher.

    Times and deadlines are in seconds since the Unix epoch, 0 for none.

    :ivar first_ack_sequence: Sequence number at the first acknowledgement of the present
        incarnation, 0 for none.
    :ivar last_acked_sequence: Sequence number of the latest command that it has acknowledged.
    :ivar granted: Whether a grant has been sent to the present incarnation.
    :ivar sent_deadline: Deadline of the last grant sent.
    :ivar previous_deadline: Deadline of the grant before, in force if the last one was never sent.
    :ivar acked_deadline: Latest deadline that the present incarnation has acknowledged.
    :ivar cached_steps: Step of each slice to grant, ``None`` if it has to be recomputed.
    :ivar failing_since: Time of the first command that failed after the last acknowledgement, or
        of the last stall of this host after it.
    :ivar failures: Consecutive commands without an answer.
    :ivar theoretical_send_at: Time at which the commands sent so far would end if they were spaced
        evenly at the rate limit.
    """

    incarnation: int = 0
    first_ack_sequence: int = 0
    last_acked_sequence: int = 0
    held_standby: frozenset[int] = frozenset()
    busy: dict[int, float] = field(default_factory=dict)
    granted: bool = False
    sent_deadline: float = 0.0
    previous_deadline: float = 0.0
    acked_deadline: float = 0.0
    acked_steps: Mapping[int, int] = field(default_factory=dict)
    cached_steps: dict[int, int] | None = None
    failing_since: float = 0.0
    failures: int = 0
    next_command_at: float = 0.0
    theoretical_send_at: float = 0.0

    @property
    def fenced(self) -> bool:
        """Whether the present incarnation has acknowledged a fence."""
        return self.first_ack_sequence > 0

    def admit_command(self, now: float) -> bool:
        """Count a command if the rate limit permits it, and return whether it does."""
        if now < self._rate_limited_until():
            return False
        self.theoretical_send_at = max(self.theoretical_send_at, now) + 1 / MOST_COMMANDS_PER_SECOND
        return True

    def due_at(self) -> float:
        """Return the earliest time of the next command, in seconds since the Unix epoch."""
        return max(self.next_command_at, self._rate_limited_until())

    def reset_failures(self) -> None:
        """Clear the failures after an acknowledgement."""
        self.failing_since = 0.0
        self.failures = 0

    def _rate_limited_until(self) -> float:
        return self.theoretical_send_at - COMMAND_BURST / MOST_COMMANDS_PER_SECOND

    def record_sent_grant(self, deadline: float) -> None:
        """Record the deadline of a grant that is being sent."""
        if deadline > self.sent_deadline:
            self.previous_deadline, self.sent_deadline = self.sent_deadline, deadline

    def start_incarnation(self, incarnation: int, sequence: int) -> None:
        """Start a new incarnation, dropping the grants of the previous one.

        :param sequence: Sequence number at which the new incarnation acknowledged.
        """
        self.incarnation = incarnation
        self.first_ack_sequence = sequence
        self.last_acked_sequence = 0
        self.granted = False
        self.busy = {}
        self.cached_steps = None
        self.acked_steps = {}
        self.acked_deadline = 0.0

    def is_lost(self, now: float) -> bool:
        """Return whether commands have failed for long enough that the target counts as lost."""
        return bool(self.failing_since) and now - self.failing_since > LOST_AFTER_SECONDS


@dataclass(slots=True)
class SliceBundle:
    """Slices with the same owner, standby and former targets, which change state together.

    :ivar former: Targets that the row lists as not yet fenced for the slices.
    :ivar step: ``None`` before the first grant, 0 if the owner and 1 if the standby serves.
    :ivar fenced_incarnations: Incarnation of each target that was fenced before the first grant;
        for the standby, from step 1 on, the incarnation that replaced the owner.
    :ivar fenced_standby_incarnation: Incarnation of the standby that was fenced at the same time
        as the owner.
    :ivar sent_deadline: Deadline of the last grant sent to the serving target.
    :ivar previous_deadline: Deadline of the grant before, in force if the last one was never sent.
    :ivar competing_grants_end: Latest deadline of the grants that other hosts issued under lower
        generations, ``None`` as long as another host may still issue some.
    :ivar competing_grants_end_of: Latest deadline of such grants by target, where known.
    :ivar excluded_targets: Targets that may not be granted the slices, because a row that is being
        written does not list them for fencing.
    """

    owner: str
    standby: str | None
    former: frozenset[str]
    slices: set[int]
    step: int | None = None
    fenced_incarnations: dict[str, int] = field(default_factory=dict)
    fenced_standby_incarnation: int = 0
    sent_deadline: float = 0.0
    previous_deadline: float = 0.0
    competing_grants_end: float | None = None
    competing_grants_end_of: Mapping[str, float] = field(default_factory=dict)
    excluded_targets: frozenset[str] = frozenset()

    @property
    def server(self) -> str | None:
        """Target that serves the slices in the present step, ``None`` before the first grant."""
        if self.step is None:
            return None
        return self.owner if self.step == 0 else self.standby

    @property
    def pair(self) -> set[str]:
        """Owner and standby."""
        return {self.owner} if self.standby is None else {self.owner, self.standby}

    @property
    def possible_targets(self) -> set[str]:
        """All targets that may have held grants for the slices."""
        return self.pair | self.former

    def record_sent_grant(self, deadline: float) -> None:
        """Record the deadline of a grant that is being sent."""
        if deadline > self.sent_deadline:
            self.previous_deadline, self.sent_deadline = self.sent_deadline, deadline

    def may_grant_to(self, name: str, incarnation: int) -> bool:
        """Return whether an incarnation of a target may be granted the slices."""
        fenced = self.fenced_incarnations.get(name) == incarnation
        return fenced and name == self.server and name not in self.excluded_targets

    def owner_grant_ended(self, targets: Mapping[str, TargetState], now: float) -> bool:
        """Return whether the owner can no longer hold a valid grant."""
        state = targets[self.owner]
        if self.fenced_incarnations[self.owner] != state.incarnation:
            return True
        return state.is_lost(now) and now > self.sent_deadline + CLOCK_SKEW_BOUND_SECONDS

    def standby_usable(self, targets: Mapping[str, TargetState], now: float) -> bool:
        """Return whether the standby answers and may replace the owner."""
        standby = targets.get(self.standby) if self.standby else None
        if standby is None or self.standby in self.excluded_targets or not standby.fenced:
            return False
        return standby.incarnation == self.fenced_standby_incarnation and not standby.is_lost(now)

    def is_unservable(self, targets: Mapping[str, TargetState], now: float) -> bool:
        """Return whether no target can serve the slices again under this generation."""
        if self.server is None:
            return any(targets[name].is_lost(now) for name in self.possible_targets)
        state = targets[self.server]
        lost = self.fenced_incarnations[self.server] != state.incarnation or state.is_lost(now)
        return lost and (self.step == 1 or not self.standby_usable(targets, now))

    def competing_grants_expired(self, name: str, now: float) -> bool:
        """Return whether a target's grants by other hosts under lower generations have expired."""
        if self.competing_grants_end is None:
            return False
        return (
            now
            > self.competing_grants_end_of.get(name, self.competing_grants_end)
            + CLOCK_SKEW_BOUND_SECONDS
        )

    def possible_holders(self, targets: Mapping[str, TargetState], now: float) -> set[str]:
        """Return the targets that hold a grant or may get one, if no other host issues grants."""
        names = set()
        server = self.server
        fenced = targets[server].incarnation == self.fenced_incarnations[server]
        if fenced and now <= self.sent_deadline + CLOCK_SKEW_BOUND_SECONDS:
            names.add(server)
        if self.step == 0 and self.standby_usable(targets, now):
            names.add(self.standby)
        return names

    def start_step(self, step: int, targets: Mapping[str, TargetState]) -> None:
        """Let the owner (step 0) or the standby (step 1) serve."""
        if self.step is None:
            self.fenced_incarnations = {
                n: targets[n].incarnation for n in self.possible_targets if targets[n].fenced
            }
            self.fenced_standby_incarnation = self.fenced_incarnations.get(self.standby or "", 0)
        elif self.standby:
            self.fenced_incarnations[self.standby] = targets[self.standby].incarnation
        self.step = step
        self.sent_deadline = self.previous_deadline = 0.0


def epoch_of(generation: int, step: int) -> int:
    """Return the epoch of a step within a generation."""
    return generation * 2 + step


def fenced_together(states: Sequence[TargetState]) -> bool:
    """Return whether there was a moment at which all targets were fenced.

    A target is known to be fenced from its first acknowledgement to the latest command that it
    has answered. If these intervals overlap pairwise, they have a common point in time. Without
    one, a target could have lost its fence in a restart before another target was fenced.
    """
    return all(state.fenced for state in states) and all(
        one.last_acked_sequence > other.first_ack_sequence for one, other in permutations(states, 2)
    )


def build_bundles(row: GroupRow) -> list[SliceBundle]:
    """Return a row's slices, grouped by owner, standby and former targets."""
    former_of: dict[int, set[str]] = defaultdict(set)
    for name, numbers in row.unfenced.items():
        for number in numbers:
            former_of[number].add(name)
    bundles: dict[tuple, SliceBundle] = {}
    for number, pair in row.slices.items():
        former = frozenset(former_of.get(number, ()))
        key = (pair.owner, pair.standby, former)
        if key not in bundles:
            bundles[key] = SliceBundle(pair.owner, pair.standby, former, set())
        bundles[key].slices.add(number)
    return list(bundles.values())
