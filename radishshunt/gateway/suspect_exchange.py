"""Suspects that hosts tell each other in their reports and updates."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from radishshunt.clock import Clock
    from radishshunt.quarantine import Quarantine, SuspectKey
    from radishshunt.suspect import Suspect

# Limit of suspects in one message. If more have changed, the rest follows in the next messages.
MAX_MESSAGE_SUSPECTS = 64


class SuspectExchange:
    """Passes suspects on between the quarantine of this host and those of other hosts.

    Each message has only the suspects that have changed since the one before. A host reports the
    losses that it has seen itself; the host that it reports to passes on all that it learns. The
    first message of a link has the most important suspects, since the other end may have lost what
    it was told before.

    :param clock: Clock with Unix time, which the expiry of suspects refers to.
    :ivar changes: Number of changes so far.
    """

    def __init__(self, quarantine: Quarantine, clock: Clock) -> None:
        self.changes = 0
        self._quarantine = quarantine
        self._clock = clock
        # Changed suspects that have not been reported or passed on yet, as ordered sets.
        self._unreported: dict[SuspectKey, None] = {}
        self._not_passed_on: dict[SuspectKey, None] = {}
        self._merging = False
        quarantine.listeners.append(self._on_change)

    def merge(self, suspects: Iterable[Suspect]) -> None:
        """Merge suspects that another host knows."""
        self._merging = True
        try:
            self._quarantine.merge(suspects, self._clock.now())
        finally:
            self._merging = False

    def next_report(self, *, first: bool) -> tuple[Suspect, ...]:
        """Return the suspects for the next report to the host that this one follows.

        :param first: Whether it is the first report of a link.
        """
        if first:
            self._unreported.clear()
            return self.known()
        return self._take(self._unreported)

    def next_update(self) -> tuple[Suspect, ...]:
        """Return the suspects for the next update to the hosts that follow this one."""
        return self._take(self._not_passed_on)

    def known(self) -> tuple[Suspect, ...]:
        """Return the most important suspects, for the first message of a link."""
        return self._quarantine.known_suspects(self._clock.now(), MAX_MESSAGE_SUSPECTS)

    def _on_change(self, key: SuspectKey) -> None:
        self.changes += 1
        self._not_passed_on[key] = None
        if not self._merging:
            self._unreported[key] = None

    def _take(self, pending: dict[SuspectKey, None]) -> tuple[Suspect, ...]:
        """Remove the most important suspects from the pending ones, and return them."""
        chosen = self._quarantine.most_important(pending, MAX_MESSAGE_SUSPECTS)
        sent = set(chosen)
        for key in list(pending):
            if key in sent or key not in self._quarantine:
                del pending[key]
        return self._quarantine.describe(chosen)
