"""Model of dispatchers, targets and a table, to search the interleavings of their actions."""

from __future__ import annotations

import pickle
from collections import Counter
from dataclasses import dataclass, field, fields, replace
from random import Random

from radishshunt.emulator.grants import CommandRejected, TargetGrants
from radishshunt.model import GroupId, GroupRow, HostRef, SliceAssignment
from radishshunt.ownership import Fence, GroupOwnership

SERVICE = "s"
KEY = (SERVICE, 0)
SLICE = 0
START_SECONDS = 1000.0
# Time advances in steps longer than the timeout of a control call and than LOST_AFTER_SECONDS.
TIME_STEP_SECONDS = 0.5
GRANT_SECONDS = 1.2
MAX_LATE_MESSAGES = 6
SEQUENCES = ("first_ack_sequence", "last_acked_sequence")


@dataclass(frozen=True)
class SearchBounds:
    """Limits of a search.

    :param restarts: Restarts of targets.
    :param losses: Answers that are lost after the command took effect, and commands delivered
        more than once.
    :param clock_steps: Changes of a target's clock within the skew bound.
    :param writes: Rows written after the first.
    :param host_may_end: Whether the first dispatcher's host may terminate.
    :param seconds: Simulated time.
    """

    restarts: int = 2
    losses: int = 2
    clock_steps: int = 1
    writes: int = 1
    host_may_end: bool = True
    seconds: float = 5.0


class TwoOwners(Exception):
    """Two targets hold valid grants for the same slice."""


@dataclass
class SentCommand:
    """Command in flight.

    :param waiting: Whether the dispatcher still waits for the answer.
    """

    dispatcher: str
    command: object
    waiting: bool = True


@dataclass
class ClusterModel:
    """State of the model, with up to three dispatchers.

    Dispatcher ``d`` is named in the first row, ``h`` is its standby dispatcher, and ``n`` is named
    in the next row.
    """

    ownership_class: type[GroupOwnership]
    names: tuple[str, ...] = ("a", "b")
    now: float = START_SECONDS
    time_step_seconds: float = TIME_STEP_SECONDS
    next_incarnation: int = 100
    targets: dict[str, TargetGrants] = field(default_factory=dict)
    clock_offsets: dict[str, float] = field(default_factory=dict)
    dispatchers: dict[str, GroupOwnership] = field(default_factory=dict)
    stopped: set[str] = field(default_factory=set)
    takeover_ruled_out: bool = False
    sent: list[SentCommand] = field(default_factory=list)
    row: GroupRow | None = None
    counts: Counter = field(default_factory=Counter)
    trace: list[str] = field(default_factory=list)

    def start(self, unfenced: dict[str, tuple[int, ...]] | None = None) -> ClusterModel:
        """Start the targets and the dispatcher of the first row."""
        for name in self.names:
            self.next_incarnation += 1
            self.targets[name] = TargetGrants(self.next_incarnation)
            self.clock_offsets[name] = 0.0
        self.row = GroupRow(
            GroupId(SERVICE, 0),
            2,
            HostRef("d", 1),
            HostRef("h", 1),
            self.names,
            {SLICE: SliceAssignment(self.names[0], self.names[1])},
            unfenced or {},
        )
        self.dispatchers["d"] = self.ownership_class(self.row, 2, GRANT_SECONDS)
        self.send_due_commands("d")
        return self

    def deliver_all(self, rounds: int = 6) -> ClusterModel:
        """Deliver all commands without delay, as in normal operation."""
        for _ in range(rounds):
            for item in [item for item in self.sent if item.waiting]:
                self.deliver(item)
        self.sent = [item for item in self.sent if item.waiting]
        self.trace.clear()
        return self

    def send_due_commands(self, name: str) -> None:
        """Send the commands of a dispatcher that are due."""
        if name in self.stopped or name not in self.dispatchers:
            return
        waiting = {i.command.target for i in self.sent if i.dispatcher == name and i.waiting}
        for command in self.dispatchers[name].commands(self.now):
            if command.target not in waiting:
                self.sent.append(SentCommand(name, command))

    def actions(self, bounds: SearchBounds) -> list[tuple]:
        """Return the actions that are possible next."""
        found: list[tuple] = []
        for index, item in enumerate(self.sent):
            found.append(("deliver", index))
            if item.waiting and self.counts["losses"] < bounds.losses:
                found.append(("lose-answer", index))
                found.append(("repeat", index))
        if self.now - START_SECONDS < bounds.seconds:
            found.append(("advance",))
        if self.counts["restarts"] < bounds.restarts:
            found += [("restart", name) for name in self.names]
        if self.counts["clock_steps"] < bounds.clock_steps:
            found += [("clock", name, offset) for name in self.names for offset in (-0.05, 0.05)]
        if "h" not in self.dispatchers and self.row.generation == 2 and not self.takeover_ruled_out:
            found.append(("take-over",))
            if bounds.writes:
                found.append(("promise",))
        in_force = self.row.generation == 2 and "h" in self.dispatchers
        if bounds.host_may_end and in_force and "d" not in self.stopped:
            found.append(("end",))
        if self.counts["writes"] < bounds.writes:
            found += [("write", name) for name in self.dispatchers if name not in self.stopped]
        return found

    def apply(self, action: tuple) -> None:
        """Apply an action, then check that there is at most one owner."""
        kind = action[0]
        self.trace.append(" ".join(map(str, action)))
        if kind in ("deliver", "lose-answer", "repeat"):
            item = self.sent[action[1]]
            self.trace[-1] = f"{kind} {item.dispatcher} {item.command}"
            self.deliver(item, drop_answer=kind == "lose-answer", duplicate=kind == "repeat")
            self.counts["losses"] += kind != "deliver"
        elif kind == "advance":
            self._advance()
        elif kind == "restart":
            self.counts["restarts"] += 1
            self.next_incarnation += 1
            self.targets[action[1]] = TargetGrants(self.next_incarnation)
        elif kind == "clock":
            self.counts["clock_steps"] += 1
            self.clock_offsets[action[1]] = action[2]
        elif kind == "take-over":
            self.dispatchers["h"] = self.ownership_class(self.row, 3, GRANT_SECONDS)
            self.send_due_commands("h")
        elif kind == "end":
            # The dispatcher's host terminates while the table still contains the same row.
            self.stopped.add("d")
            self.dispatchers["h"].on_other_dispatchers_stopped(self.now + GRANT_SECONDS)
            self.send_due_commands("h")
        elif kind == "promise":
            self.takeover_ruled_out = True
        elif kind == "write":
            self._write(action[1])
        self.check()

    def deliver(
        self, item: SentCommand, *, drop_answer: bool = False, duplicate: bool = False
    ) -> None:
        """Deliver a command to its target, and the answer to the dispatcher.

        :param drop_answer: Whether the answer is lost.
        :param duplicate: Whether the command stays in flight, to be delivered again.
        """
        command = item.command
        target = self.targets[command.target]
        answered = item.waiting and not drop_answer and item.dispatcher not in self.stopped
        if duplicate:
            item.waiting = False
        else:
            self.sent.remove(item)
        ownership = self.dispatchers[item.dispatcher]
        try:
            if isinstance(command, Fence):
                result = target.fence(KEY, command.generation, command.slices)
                if answered:
                    held = frozenset(result.held_standby)
                    ownership.on_fenced(command, target.incarnation, held, result.busy, self.now)
            else:
                target.grant(
                    KEY,
                    command.generation,
                    command.incarnation,
                    [n for n, step in command.steps.items() if step == 0],
                    [n for n, step in command.steps.items() if step == 1],
                    command.deadline,
                )
                if answered:
                    ownership.on_granted(command, self.now)
        except CommandRejected as exc:
            if answered and exc.reason == "incarnation":
                ownership.on_restarted(command, target.incarnation, self.now)
            elif answered:
                self.stopped.add(item.dispatcher)
        if drop_answer:
            ownership.on_failure(command, self.now)
        self.send_due_commands(item.dispatcher)

    def check(self) -> None:
        """Check that at most one target would accept a request.

        :raises TwoOwners: If more than one target would.
        """
        owners = [
            name
            for name, target in self.targets.items()
            if target.valid_epoch(KEY, SLICE, self.now + self.clock_offsets[name]) is not None
        ]
        if len(owners) > 1:
            raise TwoOwners("\n".join([*self.trace, f"owners: {owners}"]))

    def state_key(self) -> bytes:
        """Return a key that identifies the state; sequence numbers are replaced by their rank."""
        commands = [(item.dispatcher, item.waiting, item.command) for item in self.sent]
        parts: list = [
            self.now,
            sorted(self.stopped),
            self.takeover_ruled_out,
            sorted(self.counts.items()),
        ]
        for name, ownership in sorted(self.dispatchers.items()):
            states = sorted(ownership._targets.items())
            numbers = {0, *(c.sequence for d, _, c in commands if d == name)}
            for _, state in states:
                numbers |= {state.first_ack_sequence, state.last_acked_sequence}
            rank = {number: index for index, number in enumerate(sorted(numbers))}
            for _, state in states:
                rest = [getattr(state, f.name) for f in fields(state) if f.name not in SEQUENCES]
                parts.append(
                    (rank[state.first_ack_sequence], rank[state.last_acked_sequence], rest)
                )
            parts.append(
                [[repr(getattr(b, f.name)) for f in fields(b)] for b in ownership._bundles]
            )
            parts.append(
                [(w, replace(c, sequence=rank[c.sequence])) for d, w, c in commands if d == name]
            )
        for name, target in sorted(self.targets.items()):
            parts.append((target.incarnation, self.clock_offsets[name], target._groups))
            parts.append((target._min_generations, self.row.generation))
        return repr(parts).encode()

    def _advance(self) -> None:
        """Advance the time; unanswered calls fail, but their commands may still arrive later."""
        for item in self.sent:
            if item.waiting:
                item.waiting = False
                self.dispatchers[item.dispatcher].on_failure(item.command, self.now)
        self.now += self.time_step_seconds
        # Keeps only the latest message of each kind, since earlier ones have no further effect.
        latest = {(i.dispatcher, i.command.target, type(i.command)): i for i in self.sent}
        self.sent = list(latest.values())[-MAX_LATE_MESSAGES:]
        for name in self.dispatchers:
            self.send_due_commands(name)

    def _write(self, writer: str) -> None:
        """Write the next row, with the targets to fence according to the writer's rules.

        The standby becomes the owner. A target without slices, if any, becomes the standby.
        """
        self.counts["writes"] += 1
        ownership = self.dispatchers[writer]
        unfenced = ownership.targets_to_fence(self.now, takeover_ruled_out=self.takeover_ruled_out)
        names = self.names[1:] + self.names[:1] if len(self.names) == 2 else self.names[1:3]
        self.row = replace(
            self.row,
            generation=4,
            dispatcher=HostRef("n", 1),
            slices={SLICE: SliceAssignment(*names)},
            unfenced=unfenced,
        )
        self.dispatchers["n"] = self.ownership_class(self.row, 4, GRANT_SECONDS)
        self.send_due_commands("n")


def copy(model: ClusterModel) -> ClusterModel:
    """Return an independent copy."""
    return pickle.loads(pickle.dumps(model))


def search_depth_first(model: ClusterModel, bounds: SearchBounds, max_states: int) -> int:
    """Visit each reachable state once, up to a limit, and return their number.

    :raises TwoOwners: If a state has two owners.
    """
    seen: set[int] = set()
    stack = [model]
    while stack and len(seen) < max_states:
        state = stack.pop()
        for action in state.actions(bounds):
            next_state = copy(state)
            next_state.apply(action)
            digest = hash(next_state.state_key())
            if digest not in seen:
                seen.add(digest)
                stack.append(next_state)
    return len(seen)


def search_at_random(
    model: ClusterModel, bounds: SearchBounds, walks: int, seed: int, length: int = 60
) -> int:
    """Apply random interleavings and return the number of actions applied.

    They reach deeper than the exhaustive search.

    :raises TwoOwners: If a state has two owners.
    """
    random = Random(seed)
    start = pickle.dumps(model)
    steps = 0
    for _ in range(walks):
        state = pickle.loads(start)
        weights = {
            "deliver": random.choice((1.0, 3.0, 6.0)),
            "advance": random.choice((0.3, 1.0, 2.0)),
            "restart": random.choice((0.1, 0.5)),
            "lose-answer": 0.5,
            "repeat": 0.3,
            "clock": 0.2,
            "take-over": 0.5,
            "promise": 0.3,
            "end": 0.2,
            "write": 0.3,
        }
        # Some walks block the link between one dispatcher and one target.
        blocked_link = random.choice((None, *((d, t) for d in "dhn" for t in state.names)))
        for _ in range(length):
            actions = [a for a in state.actions(bounds) if not _is_blocked(state, a, blocked_link)]
            if not actions:
                break
            chosen = random.choices(actions, [weights[a[0]] for a in actions])[0]
            state.apply(chosen)
            steps += 1
    return steps


def _is_blocked(state: ClusterModel, action: tuple, blocked_link: tuple[str, str] | None) -> bool:
    if blocked_link is None or action[0] not in ("deliver", "lose-answer", "repeat"):
        return False
    item = state.sent[action[1]]
    return (item.dispatcher, item.command.target) == blocked_link
