"""Commands and state of the ownership rules."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from itertools import permutations
from typing import TYPE_CHECKING

from radishshunt.clock import CLOCK_SKEW_BOUND

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from radishshunt.model import GroupRow

# Renewals that fail for this long make the target count as lost.
LOST_AFTER_SECONDS = 0.45
# Bound on the commands to one target, whatever is due, and how many may follow each other at once.
# A takeover takes four: two fences, the grant and its renewal.
MOST_COMMANDS_PER_SECOND = 8.0
COMMAND_BURST = 6


@dataclass(frozen=True, slots=True)
class Fence:
    """Command: fence a target at a generation.

    :param slices: Slices for which it may hold grants of lower generations of any group.
    :param sequence: Orders the command against the acknowledgements received before it.
    """

    target: str
    generation: int
    slices: tuple[int, ...] = ()
    sequence: int = 0


@dataclass(frozen=True, slots=True)
class Grant:
    """Command: grant slices to a target, or renew its grant.

    :param incarnation: Run of the target that acknowledged the fence.
    :param steps: Step of each granted slice, 0 as owner and 1 as former standby.
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
class Serving:
    """Who serves a slice.

    :param deadline: End of the target's grant less the skew bound, seconds since the epoch.
    """

    target: str
    epoch: int
    deadline: float


@dataclass(slots=True)
class TargetState:
    """What is known of one target.

    :ivar first_ack: Sequence at which the present incarnation first acknowledged, 0 for never.
    :ivar last_sent: Sequence of the latest command that it has acknowledged.
    :ivar failures: Commands in a row without an answer.
    :ivar paced_at: When the commands sent so far would end at the bounded rate.
    """

    incarnation: int = 0
    first_ack: int = 0
    last_sent: int = 0
    held_standby: frozenset[int] = frozenset()
    busy: dict[int, float] = field(default_factory=dict)
    granted: bool = False
    sent_deadline: float = 0.0
    former_deadline: float = 0.0
    acked_deadline: float = 0.0
    acked_steps: Mapping[int, int] = field(default_factory=dict)
    steps: dict[int, int] | None = None
    failing_since: float = 0.0
    failures: int = 0
    next_command_at: float = 0.0
    paced_at: float = 0.0

    @property
    def fenced(self) -> bool:
        """Whether the present incarnation has acknowledged a fence."""
        return self.first_ack > 0

    def take_command(self, now: float) -> bool:
        """Count a command unless that exceeds the bounded rate."""
        if now < self._paced_until():
            return False
        self.paced_at = max(self.paced_at, now) + 1 / MOST_COMMANDS_PER_SECOND
        return True

    def due_at(self) -> float:
        """Return when the next command may be sent, in seconds since the Unix epoch."""
        return max(self.next_command_at, self._paced_until())

    def end_failures(self) -> None:
        """Take an acknowledgement."""
        self.failing_since = 0.0
        self.failures = 0

    def _paced_until(self) -> float:
        return self.paced_at - COMMAND_BURST / MOST_COMMANDS_PER_SECOND

    def note_sent(self, deadline: float) -> None:
        """Note that a grant is being sent."""
        if deadline > self.sent_deadline:
            self.former_deadline, self.sent_deadline = self.sent_deadline, deadline

    def rebind(self, incarnation: int, sequence: int) -> None:
        """Forget what was granted to the incarnation before.

        :param sequence: Sequence at which the new incarnation acknowledged.
        """
        self.incarnation = incarnation
        self.first_ack = sequence
        self.last_sent = 0
        self.granted = False
        self.busy = {}
        self.steps = None
        self.acked_steps = {}
        self.acked_deadline = 0.0

    def failed(self, now: float) -> bool:
        """Return whether commands have failed for so long that the target counts as lost."""
        return bool(self.failing_since) and now - self.failing_since > LOST_AFTER_SECONDS


@dataclass(slots=True)
class Bundle:
    """Slices with the same owner, standby and former targets, which change together.

    :ivar step: ``None`` before the first grant, 0 if the owner and 1 if the standby serves.
    :ivar bound: Incarnation of each target that the fences before the first grant have proved.
    :ivar standby_bound: Incarnation of the standby that was fenced at the same time as the owner.
    :ivar sent_deadline: End of the last grant sent to the target that serves.
    :ivar former_deadline: End of the grant before, in force if the last one never left.
    :ivar rivals_end: End of the last grant by another host under a lower generation, once no
        other host grants any more.
    :ivar rivals_end_of: The same for single targets.
    :ivar barred: Targets that a row being written leaves unfenced; they may not be granted.
    """

    owner: str
    standby: str | None
    former: frozenset[str]
    slices: set[int]
    step: int | None = None
    bound: dict[str, int] = field(default_factory=dict)
    standby_bound: int = 0
    sent_deadline: float = 0.0
    former_deadline: float = 0.0
    rivals_end: float | None = None
    rivals_end_of: Mapping[str, float] = field(default_factory=dict)
    barred: frozenset[str] = frozenset()

    @property
    def server(self) -> str | None:
        """Target that the present step names."""
        if self.step is None:
            return None
        return self.owner if self.step == 0 else self.standby

    @property
    def pair(self) -> set[str]:
        """Owner and standby."""
        return {self.owner} if self.standby is None else {self.owner, self.standby}

    @property
    def names(self) -> set[str]:
        """All targets that may have held grants for the slices."""
        return self.pair | self.former

    def note_sent(self, deadline: float) -> None:
        """Note that a grant is being sent."""
        if deadline > self.sent_deadline:
            self.former_deadline, self.sent_deadline = self.sent_deadline, deadline

    def may_grant(self, name: str, incarnation: int) -> bool:
        """Return whether a run of a target may be granted the slices."""
        bound = self.bound.get(name) == incarnation
        return bound and name == self.server and name not in self.barred

    def lapsed(self, targets: Mapping[str, TargetState], now: float) -> bool:
        """Return whether the owner can't hold a valid grant any more."""
        state = targets[self.owner]
        if self.bound[self.owner] != state.incarnation:
            return True
        return state.failed(now) and now > self.sent_deadline + CLOCK_SKEW_BOUND

    def standby_usable(self, targets: Mapping[str, TargetState], now: float) -> bool:
        """Return whether the standby may follow the owner and answers."""
        standby = targets.get(self.standby) if self.standby else None
        if standby is None or self.standby in self.barred or not standby.fenced:
            return False
        return standby.incarnation == self.standby_bound and not standby.failed(now)

    def stranded(self, targets: Mapping[str, TargetState], now: float) -> bool:
        """Return whether no target can serve the slices again under this generation."""
        if self.server is None:
            return any(targets[name].failed(now) for name in self.names)
        state = targets[self.server]
        gone = self.bound[self.server] != state.incarnation or state.failed(now)
        return gone and (self.step == 1 or not self.standby_usable(targets, now))

    def rivals_ended(self, name: str, now: float) -> bool:
        """Return whether all grants of other hosts under lower generations have expired."""
        if self.rivals_end is None:
            return False
        return now > self.rivals_end_of.get(name, self.rivals_end) + CLOCK_SKEW_BOUND

    def exposed(self, targets: Mapping[str, TargetState], now: float) -> set[str]:
        """Return the targets that hold a grant or may get one, if no other host grants any."""
        names = set()
        server = self.server
        bound = targets[server].incarnation == self.bound[server]
        if bound and now <= self.sent_deadline + CLOCK_SKEW_BOUND:
            names.add(server)
        if self.step == 0 and self.standby_usable(targets, now):
            names.add(self.standby)
        return names

    def serve_from(self, step: int, targets: Mapping[str, TargetState]) -> None:
        """Let the owner or the standby serve from now on."""
        if self.step is None:
            self.bound = {n: targets[n].incarnation for n in self.names if targets[n].fenced}
            self.standby_bound = self.bound.get(self.standby or "", 0)
        elif self.standby:
            self.bound[self.standby] = targets[self.standby].incarnation
        self.step = step
        self.sent_deadline = self.former_deadline = 0.0


def epoch_of(generation: int, step: int) -> int:
    """Return the epoch of a step within a generation."""
    return generation * 2 + step


def proved(states: Sequence[TargetState]) -> bool:
    """Return whether all targets were fenced at one and the same moment.

    A target is known to be fenced from its first acknowledgement to the latest command it has
    answered. If those spans overlap pairwise, they have a moment in common. Without it, one
    target could have lost its fence in a restart before the other was fenced.
    """
    return all(state.fenced for state in states) and all(
        one.last_sent > other.first_ack for one, other in permutations(states, 2)
    )


def build_bundles(row: GroupRow) -> list[Bundle]:
    """Return a row's slices, divided by owner, standby and former targets."""
    former_of: dict[int, set[str]] = defaultdict(set)
    for name, numbers in row.unfenced.items():
        for number in numbers:
            former_of[number].add(name)
    bundles: dict[tuple, Bundle] = {}
    for number, pair in row.slices.items():
        former = frozenset(former_of.get(number, ()))
        key = (pair.owner, pair.standby, former)
        if key not in bundles:
            bundles[key] = Bundle(pair.owner, pair.standby, former, set())
        bundles[key].slices.add(number)
    return list(bundles.values())
