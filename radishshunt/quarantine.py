"""Quarantine of requests that were running on targets when the targets were lost."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from radishshunt.errors import NotRun
from radishshunt.logs import decision
from radishshunt.suspect import Suspect

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    # Fingerprint and idempotency key.
    SuspectKey = tuple[int, str]

# A request is refused if this many targets were lost while they ran it.
REFUSED_AFTER_LOSSES = 2
# Time after its last target loss during which a request stays a suspect. A target that ends for
# other reasons, for example a deployment, makes suspects of all requests that it was running.
SUSPECT_RETENTION_SECONDS = 600.0
MAX_SUSPECTS = 4096
# Limit of suspects in one heartbeat, which takes the most recent ones; at most about 6 KiB.
MAX_HEARTBEAT_SUSPECTS = 64
MAX_KEY_LENGTH = 256


@dataclass(slots=True)
class _SuspectEntry:
    """Target losses of one suspect.

    :ivar lost_incarnations: Incarnations of the lost targets; a set, so that merging is a union.
    :ivar cleared_incarnations: Incarnations whose loss the request did not cause, because a target
        answered the request later.
    :ivar expires_at: Seconds since the Unix epoch.
    """

    lost_incarnations: set[int] = field(default_factory=set)
    cleared_incarnations: set[int] = field(default_factory=set)
    expires_at: float = 0.0


class Quarantine:
    """Counts the target losses of each request by fingerprint and by idempotency key.

    :ivar listeners: Called with the key of each suspect that has changed.
    """

    def __init__(self, max_suspects: int = MAX_SUSPECTS) -> None:
        self.listeners: list[Callable[[SuspectKey], None]] = []
        self._max_suspects = max_suspects
        self._entries: OrderedDict[SuspectKey, _SuspectEntry] = OrderedDict()
        self._by_key: dict[str, set[SuspectKey]] = {}
        self._by_fingerprint: dict[int, set[SuspectKey]] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def count_losses(self, fingerprint: int, idempotency_key: str, now: float) -> int:
        """Return how many targets were lost while they ran a request.

        Losses count if the fingerprint or the idempotency key is the same.
        """
        self._expire(now)
        entries = self._matching_entries(fingerprint, idempotency_key)
        return len(
            set().union(*(entry.lost_incarnations for entry in entries if entry.expires_at > now))
        )

    def seconds_until_expiry(self, fingerprint: int, idempotency_key: str, now: float) -> float:
        """Return the seconds until the losses of a request count no more, 0 if there are none."""
        entries = self._matching_entries(fingerprint, idempotency_key)
        return max((entry.expires_at - now for entry in entries), default=0.0)

    def check(self, fingerprint: int, idempotency_key: str, now: float) -> None:
        """Check whether a request may be sent.

        :raises NotRun: If the request is quarantined.
        """
        if self.count_losses(fingerprint, idempotency_key, now) >= REFUSED_AFTER_LOSSES:
            raise NotRun("quarantined", "targets were lost while they ran this request", status=422)

    def record_loss(
        self, fingerprint: int, idempotency_key: str, incarnation: int, now: float
    ) -> None:
        """Record that a target was lost while it ran a request.

        :param incarnation: Incarnation of the target that ended.
        """
        self._add_losses(
            fingerprint, idempotency_key, {incarnation}, now + SUSPECT_RETENTION_SECONDS
        )
        self._expire(now)

    def record_answer(self, fingerprint: int, idempotency_key: str) -> None:
        """Record that a target has answered a suspect, and clear its losses so far.

        A request that crashes targets is never answered, so these losses had other causes.
        Otherwise reads of a key that is always busy would be refused after two unrelated losses.
        """
        for entry in self._matching_entries(fingerprint, idempotency_key):
            if entry.lost_incarnations:
                decision(
                    "suspect-cleared",
                    fingerprint=f"{fingerprint:016x}",
                    losses=len(entry.lost_incarnations),
                )
            entry.cleared_incarnations |= entry.lost_incarnations
            entry.lost_incarnations.clear()

    def suspects(self, now: float) -> list[Suspect]:
        """Return the most recent suspects, for heartbeats."""
        self._expire(now)
        recent = list(self._entries)[-MAX_HEARTBEAT_SUSPECTS:]
        return [suspect for suspect in self.describe(recent) if suspect.deaths]

    def known_suspects(self, now: float, limit: int) -> tuple[Suspect, ...]:
        """Return the most important suspects, up to a number."""
        self._expire(now)
        return self.describe(self.most_important(self._entries, limit))

    def most_important(self, keys: Iterable[SuspectKey], limit: int) -> list[SuspectKey]:
        """Return the keys of known suspects up to a number: quarantined ones first, then new ones.

        When a failure domain is lost, all requests that ran there become suspects at once. They
        must not hold up those that are known to be harmful.

        :param keys: Keys of suspects, the most recent ones last.
        """
        known = [key for key in keys if key in self._entries]
        known.sort(key=self._is_refused)
        return known[-limit:]

    def describe(self, keys: Iterable[SuspectKey]) -> tuple[Suspect, ...]:
        """Return known suspects in the form in which hosts tell them to each other."""
        suspects = []
        for fingerprint, key in keys:
            entry = self._entries[fingerprint, key]
            deaths = sorted(entry.lost_incarnations)
            suspects.append(Suspect(fingerprint, deaths, key, entry.expires_at))
        return tuple(suspects)

    def merge(self, suspects: Iterable[Suspect], now: float) -> None:
        """Merge the suspects from a peer's heartbeat."""
        latest = now + SUSPECT_RETENTION_SECONDS
        for suspect in suspects:
            if suspect.expires_at > now and suspect.deaths:
                self._add_losses(
                    suspect.fingerprint,
                    suspect.idempotency_key,
                    set(suspect.deaths[:REFUSED_AFTER_LOSSES]),
                    min(suspect.expires_at, latest),
                )
        self._expire(now)

    def _is_refused(self, key: SuspectKey) -> bool:
        return len(self._entries[key].lost_incarnations) >= REFUSED_AFTER_LOSSES

    def _matching_entries(self, fingerprint: int, idempotency_key: str) -> list[_SuspectEntry]:
        entry_keys = set(self._by_fingerprint.get(fingerprint, ()))
        if idempotency_key:
            entry_keys |= self._by_key.get(idempotency_key[:MAX_KEY_LENGTH], set())
        return [self._entries[entry_key] for entry_key in entry_keys]

    def _add_losses(
        self, fingerprint: int, key: str, incarnations: set[int], expires_at: float
    ) -> None:
        entry_key = (fingerprint, key[:MAX_KEY_LENGTH])
        entry = self._entries.get(entry_key)
        if entry is not None:
            incarnations = incarnations - entry.cleared_incarnations
        if entry is None:
            entry = self._entries[entry_key] = _SuspectEntry()
            self._by_fingerprint.setdefault(fingerprint, set()).add(entry_key)
            if key:
                self._by_key.setdefault(entry_key[1], set()).add(entry_key)
        elif incarnations <= entry.lost_incarnations and expires_at <= entry.expires_at:
            return
        # Losses beyond the number that leads to a refusal are not stored.
        added = sorted(incarnations - entry.lost_incarnations)[
            : max(0, REFUSED_AFTER_LOSSES - len(entry.lost_incarnations))
        ]
        entry.lost_incarnations.update(added)
        if added and len(entry.lost_incarnations) >= REFUSED_AFTER_LOSSES:
            decision(
                "quarantine",
                fingerprint=f"{fingerprint:016x}",
                losses=len(entry.lost_incarnations),
            )
        entry.expires_at = max(entry.expires_at, expires_at)
        self._entries.move_to_end(entry_key)
        for listener in self.listeners:
            listener(entry_key)

    def _expire(self, now: float) -> None:
        while self._entries:
            entry_key, entry = next(iter(self._entries.items()))
            if entry.expires_at > now and len(self._entries) <= self._max_suspects:
                return
            del self._entries[entry_key]
            _remove_from_index(self._by_fingerprint, entry_key[0], entry_key)
            _remove_from_index(self._by_key, entry_key[1], entry_key)


def _remove_from_index(index: dict, index_key: int | str, entry_key: SuspectKey) -> None:
    entry_keys = index.get(index_key)
    if entry_keys is not None:
        entry_keys.discard(entry_key)
        if not entry_keys:
            del index[index_key]
