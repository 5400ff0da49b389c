"""What targets state about themselves in their responses, beside their entries in the store.

Load pattern: a target starts to drain, or becomes cold, while its entry cannot reach all hosts: the
store is down, or no host leads. Its responses are then the only source.

Order of evidence. A statement concerns one process of a target and says nothing about its other
incarnations. That a process is leaving is final: neither an entry nor a later response takes it
back, and the earliest statement counts. That it is cold ends at the stated time, and the latest end
counts. Statements of processes that are no longer registered are forgotten.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Container, Iterable

# Limit of statements in one message between hosts; the rest follows in the next messages.
MAX_MESSAGE_STATEMENTS = 128
# A change of the end of a cold start by less than this is not passed on.
MIN_COLD_CHANGE_SECONDS = 0.5

NEVER = float("inf")
Process = tuple[str, int]


@dataclass(frozen=True, slots=True)
class TargetStatement:
    """Statement of one process of a target about itself.

    :param target: Registration of the target.
    :param incarnation: Start of the target's process in Unix milliseconds.
    :param leaving_age: Seconds since the process first stated that it is leaving, infinite if it
        has not.
    :param cold_seconds: Remaining seconds for which the process is cold.
    """

    target: str
    incarnation: int
    leaving_age: float = NEVER
    cold_seconds: float = 0.0


@dataclass(slots=True)
class StatedState:
    """State of a process by its own statements.

    :ivar leaving_since: Time at which the process first stated that it is leaving; infinite if it
        has not.
    :ivar cold_until: Time until which the process is cold.
    """

    leaving_since: float = NEVER
    cold_until: float = float("-inf")


class TargetStatements:
    """Collects the statements of targets, and selects those that other hosts have to hear of.

    Each message between hosts has the statements that changed since the one before. A host reports
    what targets stated to it; the host that it reports to passes on all that it learns. The first
    message of a link has all statements, since the other end may have restarted.
    """

    def __init__(self) -> None:
        self._states: dict[Process, StatedState] = {}
        # Processes whose state has not been reported or passed on yet, as ordered sets.
        self._unreported: dict[Process, None] = {}
        self._not_passed_on: dict[Process, None] = {}

    def state(self, target: str, incarnation: int) -> StatedState | None:
        """Return the state of a process, ``None`` if it has stated nothing."""
        return self._states.get((target, incarnation))

    def record(self, statement: TargetStatement, now: float, *, own: bool) -> bool:
        """Record a statement, and return whether it changed what is known.

        :param own: Whether the target stated it to this host, in contrast to another one.
        """
        if statement.leaving_age == NEVER and statement.cold_seconds <= 0.0:
            return False
        process = (statement.target, statement.incarnation)
        state = self._states.setdefault(process, StatedState())
        leaving_since = state.leaving_since
        if statement.leaving_age != NEVER:
            leaving_since = min(leaving_since, now - statement.leaving_age)
        cold_until = state.cold_until
        if statement.cold_seconds > 0.0:
            cold_until = max(cold_until, now + statement.cold_seconds)
        changed = (
            state.leaving_since == NEVER != leaving_since
            or cold_until - max(now, state.cold_until) > MIN_COLD_CHANGE_SECONDS
        )
        state.leaving_since, state.cold_until = leaving_since, cold_until
        if changed:
            self._not_passed_on[process] = None
            if own:
                self._unreported[process] = None
        return changed

    def next_report(self, now: float, *, first: bool) -> tuple[TargetStatement, ...]:
        """Return the statements for the next report to the host that this one follows.

        :param first: Whether it is the first report of a link.
        """
        if first:
            self._unreported = dict.fromkeys(self._states)
        return self._take(self._unreported, now)

    def next_update(self, now: float) -> tuple[TargetStatement, ...]:
        """Return the statements for the next update to the hosts that follow this one."""
        return self._take(self._not_passed_on, now)

    def known(self, now: float) -> tuple[TargetStatement, ...]:
        """Return all statements, for the first update of a link."""
        return tuple(self._describe(process, now) for process in self._states)

    def forget_old(self, registered: Container[Process], now: float) -> None:
        """Forget processes that are no longer registered, and cold starts that have ended."""
        old = [
            process
            for process, state in self._states.items()
            if process not in registered
            or (state.leaving_since == NEVER and state.cold_until <= now)
        ]
        for process in old:
            del self._states[process]
            self._unreported.pop(process, None)
            self._not_passed_on.pop(process, None)

    def _take(self, pending: dict[Process, None], now: float) -> tuple[TargetStatement, ...]:
        """Remove the oldest processes from the pending ones, and return their statements."""
        return tuple(self._describe(process, now) for process in _pop_first(pending))

    def _describe(self, process: Process, now: float) -> TargetStatement:
        state = self._states[process]
        leaving_age = NEVER if state.leaving_since == NEVER else max(0.0, now - state.leaving_since)
        return TargetStatement(*process, leaving_age, max(0.0, state.cold_until - now))


def _pop_first(pending: dict[Process, None]) -> Iterable[Process]:
    """Remove the first processes from an ordered set, as many as fit into a message."""
    chosen = list(pending)[:MAX_MESSAGE_STATEMENTS]
    for process in chosen:
        del pending[process]
    return chosen
