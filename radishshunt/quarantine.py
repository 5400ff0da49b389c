"""Requests that were running on targets as those were lost."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from radishshunt.errors import NotRun
from radishshunt.wire.messages import Suspect

if TYPE_CHECKING:
    from collections.abc import Iterable

# A request that was running on this many lost targets is refused.
DEATHS_REFUSED = 2
# Counted from the last death. A target that dies for other reasons, for example at a deployment,
# makes suspects of all requests that it ran.
SUSPECT_SECONDS = 600.0
MAX_SUSPECTS = 4096
# Suspects in one heartbeat, the most recent ones first; at most about 6 KiB.
HEARTBEAT_SUSPECTS = 64
MAX_KEY_LENGTH = 256


@dataclass(slots=True)
class _Entry:
    """What is known of a suspect.

    :ivar deaths: Incarnations of the lost targets; a set, so that merging is a union.
    :ivar cleared: Losses that the request did not cause, since a target has answered it later.
    """

    deaths: set[int] = field(default_factory=set)
    cleared: set[int] = field(default_factory=set)
    expires_at: float = 0.0


class Quarantine:
    """Counts the target losses of each request by fingerprint and by idempotency key."""

    def __init__(self, max_suspects: int = MAX_SUSPECTS) -> None:
        self._max = max_suspects
        self._entries: OrderedDict[tuple[int, str], _Entry] = OrderedDict()
        self._by_key: dict[str, set[tuple[int, str]]] = {}
        self._by_fingerprint: dict[int, set[tuple[int, str]]] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def deaths(self, fingerprint: int, idempotency_key: str, now: float) -> int:
        """Return how many targets were lost while they ran a request."""
        self._expire(now)
        entries = self._matching(fingerprint, idempotency_key)
        return len(set().union(*(entry.deaths for entry in entries if entry.expires_at > now)))

    def check(self, fingerprint: int, idempotency_key: str, now: float) -> None:
        """Check whether a request may be sent.

        :raises NotRun: If it is quarantined.
        """
        if self.deaths(fingerprint, idempotency_key, now) >= DEATHS_REFUSED:
            raise NotRun("quarantined", "targets were lost while they ran this request", status=422)

    def note_death(
        self, fingerprint: int, idempotency_key: str, incarnation: int, now: float
    ) -> None:
        """Take the news that a target was lost while it ran a request.

        :param incarnation: Run of the target that ended.
        """
        self._merge(fingerprint, idempotency_key, {incarnation}, now + SUSPECT_SECONDS)
        self._expire(now)

    def note_answer(self, fingerprint: int, idempotency_key: str) -> None:
        """Take the news that a target has answered a suspect.

        A request that crashes targets is never answered, so its losses so far had other causes.
        Without this, reads of a key that is always busy are refused after two unrelated losses.
        """
        for entry in self._matching(fingerprint, idempotency_key):
            entry.cleared |= entry.deaths
            entry.deaths.clear()

    def suspects(self, now: float) -> list[Suspect]:
        """Return the most recent suspects, for heartbeats."""
        self._expire(now)
        recent = list(self._entries.items())[-HEARTBEAT_SUSPECTS:]
        return [
            Suspect(fingerprint, sorted(entry.deaths), key, entry.expires_at)
            for (fingerprint, key), entry in recent
            if entry.deaths
        ]

    def merge(self, suspects: Iterable[Suspect], now: float) -> None:
        """Take the suspects of a peer's heartbeat."""
        latest = now + SUSPECT_SECONDS
        for suspect in suspects:
            if suspect.expires_at > now and suspect.deaths:
                self._merge(
                    suspect.fingerprint,
                    suspect.idempotency_key,
                    set(suspect.deaths[:DEATHS_REFUSED]),
                    min(suspect.expires_at, latest),
                )
        self._expire(now)

    def _matching(self, fingerprint: int, idempotency_key: str) -> list[_Entry]:
        found = set(self._by_fingerprint.get(fingerprint, ()))
        if idempotency_key:
            found |= self._by_key.get(idempotency_key[:MAX_KEY_LENGTH], set())
        return [self._entries[at] for at in found]

    def _merge(self, fingerprint: int, key: str, deaths: set[int], expires_at: float) -> None:
        at = (fingerprint, key[:MAX_KEY_LENGTH])
        entry = self._entries.get(at)
        if entry is not None:
            deaths = deaths - entry.cleared
        if entry is None:
            entry = self._entries[at] = _Entry()
            self._by_fingerprint.setdefault(fingerprint, set()).add(at)
            if key:
                self._by_key.setdefault(at[1], set()).add(at)
        elif deaths <= entry.deaths and expires_at <= entry.expires_at:
            return
        # More deaths than needed for a refusal are not kept.
        missing = sorted(deaths - entry.deaths)[: max(0, DEATHS_REFUSED - len(entry.deaths))]
        entry.deaths.update(missing)
        entry.expires_at = max(entry.expires_at, expires_at)
        self._entries.move_to_end(at)

    def _expire(self, now: float) -> None:
        while self._entries:
            at, entry = next(iter(self._entries.items()))
            if entry.expires_at > now and len(self._entries) <= self._max:
                return
            del self._entries[at]
            _discard(self._by_fingerprint, at[0], at)
            _discard(self._by_key, at[1], at)


def _discard(index: dict, name: int | str, at: tuple[int, str]) -> None:
    found = index.get(name)
    if found is not None:
        found.discard(at)
        if not found:
            del index[name]
