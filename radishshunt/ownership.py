"""Rules of grants, fences and failover of one group, free of I/O."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

from radishshunt.clock import CLOCK_SKEW_BOUND
from radishshunt.ownership_report import OwnershipReport
from radishshunt.ownership_state import (
    LOST_AFTER_SECONDS,
    MOST_COMMANDS_PER_SECOND,
    Bundle,
    Fence,
    Grant,
    Serving,
    TargetState,
    build_bundles,
    epoch_of,
    proved,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from radishshunt.model import GroupRow

__all__ = ["MOST_COMMANDS_PER_SECOND", "GroupOwnership"]

RENEW_INTERVAL_SECONDS = 0.3
# First pause after a command without an answer; each further one doubles it up to the longest, so
# that time-outs of lost targets do not delay the calls to the others.
RETRY_INTERVAL_SECONDS = 0.1
LONGEST_RETRY_SECONDS = 0.8


class GroupOwnership(OwnershipReport):
    """State of a group's grants under one generation.

    Slices are handled in bundles, so that a tick costs as much as the group has pairs of targets,
    not as much as it has slices.

    :param row: Row that names owners and standbys.
    :param generation: The row's generation, or one more for the standby dispatcher.
    :param grant_seconds: Length of a grant.
    :param unchecked: Targets that check no fences. Where another host may have sent to them, they
        take no grant before that host is known to have stopped.
    """

    def __init__(
        self,
        row: GroupRow,
        generation: int,
        grant_seconds: float,
        unchecked: frozenset[str] = frozenset(),
    ) -> None:
        self.unchecked = unchecked
        self.row = row
        self.generation = generation
        self._grant_seconds = grant_seconds
        self._sequence = 0
        self._bundles = build_bundles(row)
        self._bundle_of = {number: b for b in self._bundles for number in b.slices}
        names = set(row.targets) | set(row.unfenced)
        for bundle in self._bundles:
            names |= bundle.names
        names.discard("")
        self._targets = {name: TargetState() for name in sorted(names)}
        self._bundles_of: dict[str, list[Bundle]] = defaultdict(list)
        for bundle in self._bundles:
            self._index(bundle)
        # Slices with requests that still run under lower epochs elsewhere, and until when.
        self._held_back: dict[int, float] = {}

    def commands(self, now: float) -> list[Fence | Grant]:
        """Return the commands that are due; each counts as sent.

        :param now: Seconds since the Unix epoch.
        """
        self._advance(now)
        due: list[Fence | Grant] = []
        for name, state in self._targets.items():
            if now < state.next_command_at or not state.take_command(now):
                continue
            if self._wants_fence(name, state):
                state.next_command_at = now + RETRY_INTERVAL_SECONDS
                due.append(self._fence(name))
            else:
                state.next_command_at = now + RENEW_INTERVAL_SECONDS
                if name in self.row.targets:
                    due.append(self._renewal(name, state, now))
        return due

    def next_command_at(self) -> float:
        """Return when the next command may be due, in seconds since the Unix epoch."""
        times = [state.due_at() for state in self._targets.values()]
        times += self._held_back.values()
        for bundle in self._bundles:
            if bundle.step is None and bundle.rivals_end is not None:
                times.append(bundle.rivals_end + CLOCK_SKEW_BOUND)
        for bundle in self._bundles:
            if bundle.step == 0 and bundle.standby and self._targets[bundle.owner].failing_since:
                since = self._targets[bundle.owner].failing_since
                lapse = bundle.sent_deadline + CLOCK_SKEW_BOUND
                times.append(max(since + LOST_AFTER_SECONDS, lapse))
        return min(times, default=0.0)

    def on_fenced(
        self,
        command: Fence,
        incarnation: int,
        held_standby: frozenset[int],
        busy: Mapping[int, float],
        now: float,
    ) -> None:
        """Take a target's acknowledgement of a fence.

        :param held_standby: Slices for which the target has held a step-1 grant of this row.
        :param busy: Latest deadline of requests running under lower epochs, by slice.
        """
        state = self._targets[command.target]
        if incarnation != state.incarnation or not state.fenced:
            if command.sequence < state.first_ack:
                return  # A late answer from before the present incarnation.
            self._rebind(state, incarnation)
        state.last_sent = max(state.last_sent, command.sequence)
        state.held_standby = held_standby
        if not state.granted:
            state.busy = dict(busy)
        state.end_failures()
        state.next_command_at = min(state.next_command_at, now + RENEW_INTERVAL_SECONDS)
        self._note_pairs(command.target)
        for bundle in self._bundles_of[command.target]:
            if bundle.step is None:
                self._set_proof_due(bundle, now)

    def on_granted(self, command: Grant, now: float) -> None:
        """Take a target's acknowledgement of a grant."""
        state = self._targets[command.target]
        if command.incarnation != state.incarnation:
            return
        if state.failing_since:
            state.next_command_at = now
        state.end_failures()
        state.last_sent = max(state.last_sent, command.sequence)
        if command.deadline >= state.acked_deadline:
            state.acked_deadline = command.deadline
            state.acked_steps = command.steps
        self._note_pairs(command.target)

    def on_failure(self, command: Fence | Grant, now: float, *, sent: bool = True) -> None:
        """Take the news that a command got no answer.

        :param sent: Whether the target may have received it.
        """
        state = self._targets[command.target]
        if isinstance(command, Grant) and not sent:
            for item in (state, *self._bundles_of[command.target]):
                if item.sent_deadline == command.deadline:
                    item.sent_deadline = item.former_deadline
        state.failing_since = state.failing_since or now
        pause = min(RETRY_INTERVAL_SECONDS * 2**state.failures, LONGEST_RETRY_SECONDS)
        state.next_command_at = now + pause * self._jitter(command.target, state.failures)
        # Larger exponents than this one exceed the longest pause.
        state.failures = min(state.failures + 1, 8)

    def on_late(self, now: float) -> None:
        """Take the news that this host itself did not run as planned.

        Answers that came meanwhile have not been read, so that the failures before prove nothing.
        """
        for state in self._targets.values():
            if state.failing_since:
                state.failing_since = now

    def on_restarted(self, command: Fence | Grant, incarnation: int, now: float) -> None:
        """Take the news that a target runs under a new incarnation."""
        state = self._targets[command.target]
        if incarnation != state.incarnation and command.sequence >= state.first_ack:
            self._rebind(state, incarnation)
            # The new incarnation has rejected a grant, but has acknowledged no fence yet.
            state.first_ack = 0
            state.end_failures()
            state.next_command_at = now

    def on_rivals_stopped(
        self,
        latest_deadline: float,
        deadline_of: Mapping[str, float] | None = None,
        slices: frozenset[int] | None = None,
    ) -> None:
        """Take the news that no other host grants under a lower generation any more.

        :param latest_deadline: End of the last grant that another host may have issued, seconds
            since the Unix epoch.
        :param deadline_of: The same for single targets; 0 if one never had a grant.
        :param slices: Slices that this holds for, by default all.
        """
        for bundle in self._bundles:
            known = bundle.rivals_end
            later = known is not None and known <= latest_deadline
            if not later and (slices is None or bundle.slices <= slices):
                bundle.rivals_end = latest_deadline
                bundle.rivals_end_of = deadline_of or {}

    def inherit_failures(self, former: GroupOwnership) -> None:
        """Go on counting the failures and commands of the row before.

        Otherwise a lost target would seem to have returned with each new row, and rows that
        follow each other quickly would evade the bound on commands.
        """
        for name, state in self._targets.items():
            before = former._targets.get(name)
            if before is not None:
                state.failing_since, state.failures = before.failing_since, before.failures
                state.paced_at = before.paced_at

    def serving(self, number: int | None, now: float) -> Serving | None:
        """Return who may serve a slice now, or ``None`` if nobody holds a valid grant."""
        bundle = self._bundle_of.get(number) if number is not None else None
        if bundle is None or bundle.server is None:
            return None
        state = self._targets[bundle.server]
        granted = state.acked_steps.get(number) == bundle.step
        if (
            not granted
            or state.failed(now)
            or not bundle.may_grant(bundle.server, state.incarnation)
        ):
            return None
        return self._serving_target(bundle.server, bundle.step, now)

    def serving_any(self, target: str, now: float) -> Serving | None:
        """Return the grant of a target of a service without keys."""
        return self._serving_target(target, 0, now) if target in self._targets else None

    def all_fenced(self) -> bool:
        """Return whether every target is fenced for this generation."""
        return all(state.fenced for state in self._targets.values())

    def _jitter(self, name: str, failures: int) -> float:
        """Return a factor from 0.75 to 1.25 that differs between groups, targets and attempts."""
        text = f"{self.row.group}/{self.generation}/{name}/{failures}"
        return 0.75 + 0.5 * xxh3_64_intdigest(text.encode()) / 2**64

    def _set_proof_due(self, bundle: Bundle, now: float) -> None:
        """Ask the targets whose further answer can complete the proof of their fences."""
        for name in bundle.names:
            state = self._targets[name]
            if state.fenced and self._wants_confirmation(name, state):
                state.next_command_at = now

    def _index(self, bundle: Bundle) -> None:
        for name in bundle.names:
            self._bundles_of[name].append(bundle)

    def _rebind(self, state: TargetState, incarnation: int) -> None:
        self._sequence += 1
        state.rebind(incarnation, self._sequence)

    def _fence(self, name: str) -> Fence:
        numbers = sorted(n for b in self._bundles_of[name] for n in b.slices)
        self._sequence += 1
        return Fence(name, self.generation, tuple(numbers), self._sequence)

    def _renewal(self, name: str, state: TargetState, now: float) -> Fence | Grant:
        steps = self._steps_of(name, state, now)
        if not steps and self.row.slices:
            # Targets without slices are asked for signs of life, so that a loss is noticed.
            return self._fence(name)
        deadline = now + self._grant_seconds
        if state.failing_since and state.sent_deadline > now:
            # A repeated renewal has the deadline of the one that failed. Otherwise each attempt
            # to reach a lost target would put off the failover.
            deadline = state.sent_deadline
        state.note_sent(deadline)
        state.granted = True
        for bundle in self._bundles_of[name]:
            if bundle.may_grant(name, state.incarnation):
                bundle.note_sent(deadline)
        self._sequence += 1
        return Grant(name, self.generation, state.incarnation, steps, deadline, self._sequence)

    def _steps_of(self, name: str, state: TargetState, now: float) -> Mapping[int, int]:
        """Return the slices to grant, none if the target is being replaced by standbys."""
        if state.failed(now) and any(
            b.step == 0 and b.owner == name and b.standby_usable(self._targets, now)
            for b in self._bundles_of[name]
        ):
            return {}
        if state.steps is None:
            state.steps = {
                number: bundle.step
                for bundle in self._bundles_of[name]
                if bundle.may_grant(name, state.incarnation)
                for number in bundle.slices
                if number not in self._held_back
            }
        return state.steps

    def _serving_target(self, name: str, step: int, now: float) -> Serving | None:
        deadline = self._targets[name].acked_deadline - CLOCK_SKEW_BOUND
        if deadline <= now:
            return None
        return Serving(name, epoch_of(self.generation, step), deadline)

    def _proved(self, names: set[str]) -> bool:
        return proved([self._targets[name] for name in names])

    def _wants_fence(self, name: str, state: TargetState) -> bool:
        if not state.fenced:
            pending = any(bundle.step is None for bundle in self._bundles_of[name])
            return pending or name in self.row.targets
        return self._wants_confirmation(name, state)

    def _wants_confirmation(self, name: str, state: TargetState) -> bool:
        for bundle in self._bundles_of[name]:
            if bundle.step == 1 or (bundle.step == 0 and name == bundle.owner):
                continue
            peers = (self._targets[other] for other in bundle.names - {name})
            if any(peer.fenced and state.last_sent < peer.first_ack for peer in peers):
                return True
        return False

    def _note_pairs(self, target: str) -> None:
        for bundle in self._bundles_of[target]:
            if bundle.step != 0 or not bundle.standby:
                continue
            owner = self._targets[bundle.owner]
            paired = self._proved({bundle.owner, bundle.standby})
            if paired and owner.incarnation == bundle.bound[bundle.owner]:
                bundle.standby_bound = self._targets[bundle.standby].incarnation

    def _advance(self, now: float) -> None:
        for number in [n for n, until in self._held_back.items() if now > until]:
            del self._held_back[number]
            self._set_due(self._bundle_of[number].server, now)
        for bundle in list(self._bundles):
            if bundle.step is None:
                self._begin(bundle, now)
            elif bundle.step == 0 and self._follows(bundle, now):
                self._serve_from(bundle, 1, now)

    def _begin(self, bundle: Bundle, now: float) -> None:
        if self._waits_for_rivals(bundle, now):
            return
        rest = self._split_held(bundle, now) if self.taken_over else bundle
        if rest is None or bundle.owner not in self._targets:
            return
        needed = self._needed(rest, now)
        owner = self._targets[rest.owner]
        if rest.owner in rest.barred or not self._proved(needed):
            return
        if owner.fenced and not owner.failed(now):
            self._serve_from(rest, 0, now)
        elif rest.owner not in needed and rest.standby:
            standby = self._targets[rest.standby]
            if standby.fenced and not standby.failed(now) and owner.failed(now):
                self._serve_from(rest, 1, now)

    def _needed(self, bundle: Bundle, now: float) -> set[str]:
        """Return the targets that have to be fenced before the first grant.

        Expired grants need no fence. But the dispatcher that the row names always fences owner
        and standby, since the standby dispatcher may already use its own generation.
        """
        names = {n for n in bundle.names if not bundle.rivals_ended(n, now)}
        return names if self.taken_over else names | (bundle.names - bundle.former)

    def _waits_for_rivals(self, bundle: Bundle, now: float) -> bool:
        """Return whether a target that checks no fences may still get another host's requests."""
        exposed = self.unchecked & (bundle.names if self.taken_over else bundle.former)
        if self.taken_over or not exposed:
            return any(not bundle.rivals_ended(name, now) for name in exposed)
        if bundle.rivals_end is None or now <= bundle.rivals_end + CLOCK_SKEW_BOUND:
            return True
        # A host's own earlier grants to the owner compete with nothing.
        return any(not bundle.rivals_ended(name, now) for name in exposed - {bundle.owner})

    def _split_held(self, bundle: Bundle, now: float) -> Bundle | None:
        """Serve the slices for which the standby has held a step-1 grant from the standby.

        That grant proves that the owner's grants have expired.

        :return: The bundle of the other slices, if any.
        """
        standby = self._targets[bundle.standby] if bundle.standby else None
        held = bundle.slices & standby.held_standby if standby and standby.fenced else set()
        if not held or bundle.standby in bundle.barred:
            return bundle
        rest = bundle.slices - held
        bundle.slices = held
        self._serve_from(bundle, 1, now)
        if not rest:
            return None
        other = Bundle(bundle.owner, bundle.standby, bundle.former, rest)
        self._bundles.append(other)
        self._bundle_of.update(dict.fromkeys(rest, other))
        self._index(other)
        return other

    def _serve_from(self, bundle: Bundle, step: int, now: float) -> None:
        bundle.serve_from(step, self._targets)
        for name in bundle.names - {bundle.server}:
            for number, until in self._targets[name].busy.items():
                latest = max(until + CLOCK_SKEW_BOUND, self._held_back.get(number, 0.0))
                if number in bundle.slices and latest > now:
                    self._held_back[number] = latest
        self._targets[bundle.owner].steps = None
        self._set_due(bundle.server, now)

    def _set_due(self, name: str | None, now: float) -> None:
        if name is not None:
            self._targets[name].steps = None
            self._targets[name].next_command_at = now

    def _follows(self, bundle: Bundle, now: float) -> bool:
        """Return whether the standby is due to follow the owner."""
        return bundle.lapsed(self._targets, now) and bundle.standby_usable(self._targets, now)
