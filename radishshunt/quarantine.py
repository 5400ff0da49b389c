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
# Limits of the losses that are kept of one suspect, counted and cleared ones.
MAX_LOSSES = 4
MAX_CLEARED_LOSSES = 16


@dataclass(slots=True)
class _SuspectEntry:
    """Target losses of one suspect.

    :ivar lost_incarnations: Incarnations of the lost targets; a set, so that merging is a union.
    :ivar concurrent_incarnations: Those among them that were lost by attempts which were sent
        before any other loss was known.
    :ivar cleared_incarnations: Incarnations whose loss the request did not cause, because a target
        answered the request later; an ordered set.
    :ivar expires_at: Seconds since the Unix epoch.
    """

    lost_incarnations: set[int] = field(default_factory=set)
    concurrent_incarnations: set[int] = field(default_factory=set)
    cleared_incarnations: dict[int, None] = field(default_factory=dict)
    expires_at: float = 0.0

    @property
    def refused(self) -> bool:
        """Whether the request is refused.

        Losses of attempts that ran at the same time count as one. A failure domain that is lost
        takes all targets with it that are running copies of a popular request.
        """
        lost = self.lost_incarnations
        return len(lost) >= REFUSED_AFTER_LOSSES and not lost <= self.concurrent_incarnations

    def add_losses(self, incarnations: set[int], concurrent: set[int]) -> bool:
        """Add losses unless they are cleared, and return whether anything changed."""
        before = (set(self.lost_incarnations), set(self.concurrent_incarnations))
        for incarnation in sorted(incarnations - self.cleared_incarnations.keys()):
            if incarnation not in concurrent:
                self.concurrent_incarnations.discard(incarnation)
                if len(self.lost_incarnations) >= MAX_LOSSES and self.concurrent_incarnations:
                    self.lost_incarnations.discard(self.concurrent_incarnations.pop())
            elif incarnation not in self.lost_incarnations:
                self.concurrent_incarnations.add(incarnation)
            if len(self.lost_incarnations) < MAX_LOSSES:
                self.lost_incarnations.add(incarnation)
        self.concurrent_incarnations &= self.lost_incarnations
        return before != (self.lost_incarnations, self.concurrent_incarnations)

    def clear(self, incarnations: Iterable[int]) -> bool:
        """Clear losses, and return whether anything changed."""
        added = [item for item in incarnations if item not in self.cleared_incarnations]
        self.cleared_incarnations.update(dict.fromkeys(added))
        self.lost_incarnations -= self.cleared_incarnations.keys()
        self.concurrent_incarnations &= self.lost_incarnations
        while len(self.cleared_incarnations) > MAX_CLEARED_LOSSES:
            del self.cleared_incarnations[next(iter(self.cleared_incarnations))]
        return bool(added)


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

    def __contains__(self, key: SuspectKey) -> bool:
        return key in self._entries

    def is_quarantined(self, fingerprint: int, idempotency_key: str, now: float) -> bool:
        """Return whether a request is refused because of the targets lost under it.

        Losses that count no more are dropped.
        """
        self._expire(now)
        return self.would_refuse(fingerprint, idempotency_key, now)

    def would_refuse(self, fingerprint: int, idempotency_key: str, now: float) -> bool:
        """Return whether a request would be refused, without dropping old losses."""
        if self._count_losses(fingerprint, idempotency_key, now) < REFUSED_AFTER_LOSSES:
            return False
        entries = self._matching_entries(fingerprint, idempotency_key)
        # Losses of entries that only share the idempotency key belong to attempts one by one.
        return len(entries) > 1 or entries[0].refused

    def known_losses(self, fingerprint: int, idempotency_key: str) -> frozenset[int]:
        """Return the incarnations of the targets that were lost while they ran a request."""
        entries = self._matching_entries(fingerprint, idempotency_key)
        return frozenset().union(*(entry.lost_incarnations for entry in entries))

    def count_losses(self, fingerprint: int, idempotency_key: str, now: float) -> int:
        """Return how many targets were lost while they ran a request.

        Losses count if the fingerprint or the idempotency key is the same.
        """
        self._expire(now)
        return self._count_losses(fingerprint, idempotency_key, now)

    def _count_losses(self, fingerprint: int, idempotency_key: str, now: float) -> int:
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
        if self.is_quarantined(fingerprint, idempotency_key, now):
            raise NotRun("quarantined", "targets were lost while they ran this request", status=422)

    def record_loss(
        self,
        fingerprint: int,
        idempotency_key: str,
        incarnation: int,
        now: float,
        known: frozenset[int] | None = None,
    ) -> None:
        """Record that a target was lost while it ran a request.

        :param incarnation: Incarnation of the target that ended.
        :param known: Losses of the request that were known when it was sent; ``None`` if attempts
            never run at the same time.
        """
        lost = {incarnation}
        concurrent = set()
        if known is not None and not known & self.known_losses(fingerprint, idempotency_key):
            concurrent = lost
        expires_at = now + SUSPECT_RETENTION_SECONDS
        self._add_losses(fingerprint, idempotency_key, lost, expires_at, concurrent)
        self._expire(now)

    def record_answer(self, fingerprint: int, idempotency_key: str) -> None:
        """Record that a target has answered a suspect, and clear its losses so far.

        A request that crashes targets is never answered, so these losses had other causes.
        Otherwise reads of a key that is always busy would be refused after two unrelated losses.
        """
        for entry_key in self._matching_keys(fingerprint, idempotency_key):
            entry = self._entries[entry_key]
            losses = len(entry.lost_incarnations)
            if entry.clear(set(entry.lost_incarnations)):
                decision("suspect-cleared", fingerprint=f"{fingerprint:016x}", losses=losses)
                self._notify(entry_key)

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
            suspects.append(
                Suspect(
                    fingerprint,
                    sorted(entry.lost_incarnations),
                    key,
                    entry.expires_at,
                    sorted(entry.concurrent_incarnations),
                    list(entry.cleared_incarnations),
                )
            )
        return tuple(suspects)

    def merge(self, suspects: Iterable[Suspect], now: float) -> None:
        """Merge the suspects from a peer's heartbeat."""
        latest = now + SUSPECT_RETENTION_SECONDS
        for suspect in suspects:
            if suspect.expires_at > now and (suspect.deaths or suspect.cleared):
                self._add_losses(
                    suspect.fingerprint,
                    suspect.idempotency_key,
                    set(suspect.deaths[:MAX_LOSSES]),
                    min(suspect.expires_at, latest),
                    set(suspect.concurrent),
                    suspect.cleared[:MAX_CLEARED_LOSSES],
                )
        self._expire(now)

    def _is_refused(self, key: SuspectKey) -> bool:
        return self._entries[key].refused

    def _matching_keys(self, fingerprint: int, idempotency_key: str) -> set[SuspectKey]:
        entry_keys = set(self._by_fingerprint.get(fingerprint, ()))
        if idempotency_key:
            entry_keys |= self._by_key.get(idempotency_key[:MAX_KEY_LENGTH], set())
        return entry_keys

    def _matching_entries(self, fingerprint: int, idempotency_key: str) -> list[_SuspectEntry]:
        entry_keys = self._matching_keys(fingerprint, idempotency_key)
        return [self._entries[entry_key] for entry_key in entry_keys]

    def _add_losses(
        self,
        fingerprint: int,
        key: str,
        incarnations: set[int],
        expires_at: float,
        concurrent: set[int],
        cleared: Iterable[int] = (),
    ) -> None:
        entry_key = (fingerprint, key[:MAX_KEY_LENGTH])
        entry = self._entries.get(entry_key)
        if entry is None:
            entry = self._entries[entry_key] = _SuspectEntry()
            self._by_fingerprint.setdefault(fingerprint, set()).add(entry_key)
            if key:
                self._by_key.setdefault(entry_key[1], set()).add(entry_key)
        refused = entry.refused
        changed = entry.clear(cleared)
        changed = entry.add_losses(incarnations, concurrent) or changed
        if not changed and expires_at <= entry.expires_at:
            return
        if entry.refused and not refused:
            losses = len(entry.lost_incarnations)
            decision("quarantine", fingerprint=f"{fingerprint:016x}", losses=losses)
        entry.expires_at = max(entry.expires_at, expires_at)
        self._entries.move_to_end(entry_key)
        self._notify(entry_key)

    def _notify(self, entry_key: SuspectKey) -> None:
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
