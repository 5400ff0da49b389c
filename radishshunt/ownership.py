"""Rules for grants, fences and failover of one group, without I/O."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

from radishshunt.clock import CLOCK_SKEW_BOUND_SECONDS
from radishshunt.ownership_report import OwnershipReport
from radishshunt.ownership_state import (
    LOST_AFTER_SECONDS,
    MOST_COMMANDS_PER_SECOND,
    Fence,
    Grant,
    ServingGrant,
    SliceBundle,
    TargetState,
    build_bundles,
    epoch_of,
    fenced_together,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from radishshunt.model import GroupRow

__all__ = ["MOST_COMMANDS_PER_SECOND", "GroupOwnership"]

RENEW_INTERVAL_SECONDS = 0.3
# Initial delay before a failed command is retried. The delay doubles with each further failure up
# to the maximum, so that timeouts of lost targets do not delay the commands to other targets.
RETRY_INTERVAL_SECONDS = 0.1
MAX_RETRY_INTERVAL_SECONDS = 0.8


class GroupOwnership(OwnershipReport):
    """State of a group's grants under one generation.

    Slices with the same targets share a bundle, so that the cost of :meth:`commands` grows with
    the number of target pairs in the group instead of the number of slices.

    :param row: Row that names owners and standbys.
    :param generation: The row's generation, or one more for the standby dispatcher.
    :param grant_seconds: Duration of a grant.
    :param targets_without_fencing: Targets that check no fences. If another host may have sent
        requests to such a target, it receives no grant until that host is known to have stopped.
    """

    def __init__(
        self,
        row: GroupRow,
        generation: int,
        grant_seconds: float,
        targets_without_fencing: frozenset[str] = frozenset(),
    ) -> None:
        self.targets_without_fencing = targets_without_fencing
        self.row = row
        self.generation = generation
        self._grant_seconds = grant_seconds
        self._sequence = 0
        self._bundles = build_bundles(row)
        self._bundle_of = {number: b for b in self._bundles for number in b.slices}
        names = set(row.targets) | set(row.unfenced)
        for bundle in self._bundles:
            names |= bundle.possible_targets
        names.discard("")
        self._targets = {name: TargetState() for name in sorted(names)}
        self._bundles_of: dict[str, list[SliceBundle]] = defaultdict(list)
        for bundle in self._bundles:
            self._index_by_target(bundle)
        # For slices with requests still running under lower epochs on other targets: time until
        # which the slice is not granted, in seconds since the Unix epoch.
        self._blocked_until: dict[int, float] = {}

    def commands(self, now: float) -> list[Fence | Grant]:
        """Return the commands that are due and count them as sent.

        :param now: Seconds since the Unix epoch.
        """
        self._advance_bundles(now)
        due: list[Fence | Grant] = []
        for name, state in self._targets.items():
            if now < state.next_command_at or not state.admit_command(now):
                continue
            if self._needs_fence(name, state):
                state.next_command_at = now + RETRY_INTERVAL_SECONDS
                due.append(self._build_fence(name))
            else:
                state.next_command_at = now + RENEW_INTERVAL_SECONDS
                if name in self.row.targets:
                    due.append(self._build_renewal(name, state, now))
        return due

    def next_command_at(self) -> float:
        """Return the earliest time a command may be due, in seconds since the Unix epoch."""
        times = [state.due_at() for state in self._targets.values()]
        times += self._blocked_until.values()
        for bundle in self._bundles:
            if bundle.step is None and bundle.competing_grants_end is not None:
                times.append(bundle.competing_grants_end + CLOCK_SKEW_BOUND_SECONDS)
        for bundle in self._bundles:
            if bundle.step == 0 and bundle.standby and self._targets[bundle.owner].failing_since:
                since = self._targets[bundle.owner].failing_since
                grant_end = bundle.sent_deadline + CLOCK_SKEW_BOUND_SECONDS
                times.append(max(since + LOST_AFTER_SECONDS, grant_end))
        return min(times, default=0.0)

    def on_fenced(
        self,
        command: Fence,
        incarnation: int,
        held_standby: frozenset[int],
        busy: Mapping[int, float],
        now: float,
    ) -> None:
        """Record a target's acknowledgement of a fence.

        :param incarnation: Incarnation of the target that acknowledged the fence.
        :param held_standby: Slices for which the target has held a step-1 grant of this row.
        :param busy: Latest deadline of requests running under lower epochs, by slice.
        """
        state = self._targets[command.target]
        if incarnation != state.incarnation or not state.fenced:
            if command.sequence < state.first_ack_sequence:
                return  # Delayed answer from before the present incarnation.
            self._start_incarnation(state, incarnation)
        state.last_acked_sequence = max(state.last_acked_sequence, command.sequence)
        state.held_standby = held_standby
        if not state.granted:
            state.busy = dict(busy)
        state.reset_failures()
        state.next_command_at = min(state.next_command_at, now + RENEW_INTERVAL_SECONDS)
        self._record_fenced_pairs(command.target)
        for bundle in self._bundles_of[command.target]:
            if bundle.step is None:
                self._schedule_confirmations(bundle, now)

    def on_granted(self, command: Grant, now: float) -> None:
        """Record a target's acknowledgement of a grant."""
        state = self._targets[command.target]
        if command.incarnation != state.incarnation:
            return
        if state.failing_since:
            state.next_command_at = now
        state.reset_failures()
        state.last_acked_sequence = max(state.last_acked_sequence, command.sequence)
        if command.deadline >= state.acked_deadline:
            state.acked_deadline = command.deadline
            state.acked_steps = command.steps
        self._record_fenced_pairs(command.target)

    def on_failure(self, command: Fence | Grant, now: float, *, sent: bool = True) -> None:
        """Record that a command was not answered, and schedule its retry.

        :param sent: Whether the target may have received the command.
        """
        state = self._targets[command.target]
        if isinstance(command, Grant) and not sent:
            for item in (state, *self._bundles_of[command.target]):
                if item.sent_deadline == command.deadline:
                    item.sent_deadline = item.previous_deadline
        state.failing_since = state.failing_since or now
        delay = min(RETRY_INTERVAL_SECONDS * 2**state.failures, MAX_RETRY_INTERVAL_SECONDS)
        state.next_command_at = now + delay * self._jitter(command.target, state.failures)
        # Larger exponents would only exceed the maximum delay.
        state.failures = min(state.failures + 1, 8)

    def on_host_stalled(self, now: float) -> None:
        """Restart the measurement of failures after this host itself was stalled.

        Answers that arrived during the stall have not been read yet, so earlier failures do not
        show that a target is lost.
        """
        for state in self._targets.values():
            if state.failing_since:
                state.failing_since = now

    def on_restarted(self, command: Fence | Grant, incarnation: int, now: float) -> None:
        """Record that a target runs under a new incarnation."""
        state = self._targets[command.target]
        if incarnation != state.incarnation and command.sequence >= state.first_ack_sequence:
            self._start_incarnation(state, incarnation)
            # The new incarnation has rejected a grant but has not acknowledged a fence yet.
            state.first_ack_sequence = 0
            state.reset_failures()
            state.next_command_at = now

    def on_other_dispatchers_stopped(
        self,
        latest_deadline: float,
        deadline_of: Mapping[str, float] | None = None,
        slices: frozenset[int] | None = None,
    ) -> None:
        """Record that no other host issues grants under a lower generation any more.

        :param latest_deadline: Latest deadline of the grants that other hosts may have issued,
            seconds since the Unix epoch.
        :param deadline_of: Latest deadline by target, where known; 0 if the target never had a
            grant.
        :param slices: Slices that this applies to, by default all.
        """
        for bundle in self._bundles:
            known = bundle.competing_grants_end
            known_is_earlier = known is not None and known <= latest_deadline
            if not known_is_earlier and (slices is None or bundle.slices <= slices):
                bundle.competing_grants_end = latest_deadline
                bundle.competing_grants_end_of = deadline_of or {}

    def inherit_failures(self, former: GroupOwnership) -> None:
        """Carry over the failure counts and the rate limit from the previous row.

        Otherwise each new row would make a lost target appear to be available again, and rows
        written in quick succession would bypass the rate limit on commands.
        """
        for name, state in self._targets.items():
            previous = former._targets.get(name)
            if previous is not None:
                state.failing_since, state.failures = previous.failing_since, previous.failures
                state.theoretical_send_at = previous.theoretical_send_at

    def serving(self, number: int | None, now: float) -> ServingGrant | None:
        """Return the target that may serve a slice now, or ``None`` without a valid grant."""
        bundle = self._bundle_of.get(number) if number is not None else None
        if bundle is None or bundle.server is None:
            return None
        state = self._targets[bundle.server]
        granted = state.acked_steps.get(number) == bundle.step
        if (
            not granted
            or state.is_lost(now)
            or not bundle.may_grant_to(bundle.server, state.incarnation)
        ):
            return None
        return self._valid_grant(bundle.server, bundle.step, now)

    def serving_unkeyed(self, target: str, now: float) -> ServingGrant | None:
        """Return the valid grant of a target of a service without keys, if any."""
        return self._valid_grant(target, 0, now) if target in self._targets else None

    def all_fenced(self) -> bool:
        """Return whether every target is fenced for this generation."""
        return all(state.fenced for state in self._targets.values())

    def _jitter(self, name: str, failures: int) -> float:
        """Return a factor from 0.75 to 1.25 that differs between groups, targets and attempts."""
        text = f"{self.row.group}/{self.generation}/{name}/{failures}"
        return 0.75 + 0.5 * xxh3_64_intdigest(text.encode()) / 2**64

    def _schedule_confirmations(self, bundle: SliceBundle, now: float) -> None:
        """Schedule a fence to each target whose next answer can complete the proof of fences."""
        for name in bundle.possible_targets:
            state = self._targets[name]
            if state.fenced and self._needs_confirmation(name, state):
                state.next_command_at = now

    def _index_by_target(self, bundle: SliceBundle) -> None:
        for name in bundle.possible_targets:
            self._bundles_of[name].append(bundle)

    def _start_incarnation(self, state: TargetState, incarnation: int) -> None:
        self._sequence += 1
        state.start_incarnation(incarnation, self._sequence)

    def _build_fence(self, name: str) -> Fence:
        numbers = sorted(n for b in self._bundles_of[name] for n in b.slices)
        self._sequence += 1
        return Fence(name, self.generation, tuple(numbers), self._sequence)

    def _build_renewal(self, name: str, state: TargetState, now: float) -> Fence | Grant:
        steps = self._steps_to_grant(name, state, now)
        if not steps and self.row.slices:
            # Targets without slices receive fences as health checks, so that a loss is detected.
            return self._build_fence(name)
        deadline = now + self._grant_seconds
        if state.failing_since and state.sent_deadline > now:
            # A retried renewal reuses the deadline of the failed one. Otherwise each attempt to
            # reach a lost target would delay the failover.
            deadline = state.sent_deadline
        state.record_sent_grant(deadline)
        state.granted = True
        for bundle in self._bundles_of[name]:
            if bundle.may_grant_to(name, state.incarnation):
                bundle.record_sent_grant(deadline)
        self._sequence += 1
        return Grant(name, self.generation, state.incarnation, steps, deadline, self._sequence)

    def _steps_to_grant(self, name: str, state: TargetState, now: float) -> Mapping[int, int]:
        """Return the step of each slice to grant; empty while standbys replace the target."""
        if state.is_lost(now) and any(
            b.step == 0 and b.owner == name and b.standby_usable(self._targets, now)
            for b in self._bundles_of[name]
        ):
            return {}
        if state.cached_steps is None:
            state.cached_steps = {
                number: bundle.step
                for bundle in self._bundles_of[name]
                if bundle.may_grant_to(name, state.incarnation)
                for number in bundle.slices
                if number not in self._blocked_until
            }
        return state.cached_steps

    def _valid_grant(self, name: str, step: int, now: float) -> ServingGrant | None:
        deadline = self._targets[name].acked_deadline - CLOCK_SKEW_BOUND_SECONDS
        if deadline <= now:
            return None
        return ServingGrant(name, epoch_of(self.generation, step), deadline)

    def _fenced_together(self, names: set[str]) -> bool:
        return fenced_together([self._targets[name] for name in names])

    def _needs_fence(self, name: str, state: TargetState) -> bool:
        if not state.fenced:
            pending = any(bundle.step is None for bundle in self._bundles_of[name])
            return pending or name in self.row.targets
        return self._needs_confirmation(name, state)

    def _needs_confirmation(self, name: str, state: TargetState) -> bool:
        for bundle in self._bundles_of[name]:
            if bundle.step == 1 or (bundle.step == 0 and name == bundle.owner):
                continue
            peers = (self._targets[other] for other in bundle.possible_targets - {name})
            if any(
                peer.fenced and state.last_acked_sequence < peer.first_ack_sequence
                for peer in peers
            ):
                return True
        return False

    def _record_fenced_pairs(self, target: str) -> None:
        for bundle in self._bundles_of[target]:
            if bundle.step != 0 or not bundle.standby:
                continue
            owner = self._targets[bundle.owner]
            paired = self._fenced_together({bundle.owner, bundle.standby})
            if paired and owner.incarnation == bundle.fenced_incarnations[bundle.owner]:
                bundle.fenced_standby_incarnation = self._targets[bundle.standby].incarnation

    def _advance_bundles(self, now: float) -> None:
        for number in [n for n, until in self._blocked_until.items() if now > until]:
            del self._blocked_until[number]
            self._schedule_command(self._bundle_of[number].server, now)
        for bundle in list(self._bundles):
            if bundle.step is None:
                self._start_serving(bundle, now)
            elif bundle.step == 0 and self._failover_due(bundle, now):
                self._start_step(bundle, 1, now)

    def _start_serving(self, bundle: SliceBundle, now: float) -> None:
        if self._waits_for_competing_grants(bundle, now):
            return
        remaining = self._split_standby_held(bundle, now) if self.taken_over else bundle
        if remaining is None or bundle.owner not in self._targets:
            return
        required = self._required_fences(remaining, now)
        owner = self._targets[remaining.owner]
        if remaining.owner in remaining.excluded_targets or not self._fenced_together(required):
            return
        if owner.fenced and not owner.is_lost(now):
            self._start_step(remaining, 0, now)
        elif remaining.owner not in required and remaining.standby:
            standby = self._targets[remaining.standby]
            if standby.fenced and not standby.is_lost(now) and owner.is_lost(now):
                self._start_step(remaining, 1, now)

    def _required_fences(self, bundle: SliceBundle, now: float) -> set[str]:
        """Return the targets that have to be fenced before the first grant.

        Targets whose grants have expired need no fence. The exception is the dispatcher that the
        row names: it always fences owner and standby, since the standby dispatcher may already
        use its own generation.
        """
        names = {n for n in bundle.possible_targets if not bundle.competing_grants_expired(n, now)}
        return names if self.taken_over else names | (bundle.possible_targets - bundle.former)

    def _waits_for_competing_grants(self, bundle: SliceBundle, now: float) -> bool:
        """Return whether targets without fence checks may still get another host's requests."""
        without_fencing = self.targets_without_fencing & (
            bundle.possible_targets if self.taken_over else bundle.former
        )
        if self.taken_over or not without_fencing:
            return any(not bundle.competing_grants_expired(name, now) for name in without_fencing)
        if (
            bundle.competing_grants_end is None
            or now <= bundle.competing_grants_end + CLOCK_SKEW_BOUND_SECONDS
        ):
            return True
        # Grants that this host issued to the owner earlier conflict with no other grant.
        return any(
            not bundle.competing_grants_expired(name, now)
            for name in without_fencing - {bundle.owner}
        )

    def _split_standby_held(self, bundle: SliceBundle, now: float) -> SliceBundle | None:
        """Let the standby serve the slices for which it has held a step-1 grant.

        Such a grant proves that the owner's grants have expired.

        :return: The bundle of the remaining slices, if any.
        """
        standby = self._targets[bundle.standby] if bundle.standby else None
        held = bundle.slices & standby.held_standby if standby and standby.fenced else set()
        if not held or bundle.standby in bundle.excluded_targets:
            return bundle
        remaining = bundle.slices - held
        bundle.slices = held
        self._start_step(bundle, 1, now)
        if not remaining:
            return None
        other = SliceBundle(bundle.owner, bundle.standby, bundle.former, remaining)
        self._bundles.append(other)
        self._bundle_of.update(dict.fromkeys(remaining, other))
        self._index_by_target(other)
        return other

    def _start_step(self, bundle: SliceBundle, step: int, now: float) -> None:
        bundle.start_step(step, self._targets)
        for name in bundle.possible_targets - {bundle.server}:
            for number, until in self._targets[name].busy.items():
                latest = max(until + CLOCK_SKEW_BOUND_SECONDS, self._blocked_until.get(number, 0.0))
                if number in bundle.slices and latest > now:
                    self._blocked_until[number] = latest
        self._targets[bundle.owner].cached_steps = None
        self._schedule_command(bundle.server, now)

    def _schedule_command(self, name: str | None, now: float) -> None:
        if name is not None:
            self._targets[name].cached_steps = None
            self._targets[name].next_command_at = now

    def _failover_due(self, bundle: SliceBundle, now: float) -> bool:
        """Return whether the standby has to replace the owner now."""
        return bundle.owner_grant_ended(self._targets, now) and bundle.standby_usable(
            self._targets, now
        )
