"""Isolation of hot keys in slices of their own."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

# Request rate, as a share of a target's mean load, from which a key gets a slice of its own.
ISOLATE_SHARE = 0.25
# Share below which the key returns to the slice of its hash range.
MERGE_SHARE = 0.08
# Shortest time for which a key stays isolated.
MIN_ISOLATION_SECONDS = 30.0
# Number of keys that have a counter; a key with more than 1/SKETCH_KEYS of the requests always has
# one.
SKETCH_KEYS = 64
# Maximum number of isolated keys per group; limits the size of the group's row.
MAX_ISOLATED_KEYS = 16


@dataclass(frozen=True, slots=True)
class HotKeyChange:
    """A key that gets a slice of its own or returns to the slice of its hash range.

    :param key_hash: 64-bit hash of the key; the key itself may be personal data.
    :param isolate: Whether the key gets a slice of its own.
    """

    key_hash: int
    isolate: bool


class HotKeys(ABC):
    """Decides which keys of one group get slices of their own."""

    @abstractmethod
    def count(self, key_hash: int) -> None:
        """Count a request for a key."""

    @abstractmethod
    def changes(self, target_mean: float, seconds: float, now: float) -> list[HotKeyChange]:
        """Return the changes to make, and start a new counting interval.

        :param target_mean: Mean requests per second of a target.
        :param seconds: Length of the interval that ends.
        :param now: Seconds since the Unix epoch.
        """


class NoIsolation(HotKeys):
    """Baseline: keys stay in the slice of their hash range."""

    def count(self, key_hash: int) -> None:
        pass

    def changes(self, target_mean: float, seconds: float, now: float) -> list[HotKeyChange]:
        return []


class SpaceSaving(HotKeys):
    """Finds the most frequent keys in bounded memory with the Space-Saving algorithm.

    A counter may overestimate a key by the count of the key that it replaced, so that error is
    subtracted.
    """

    def __init__(
        self,
        isolate_share: float = ISOLATE_SHARE,
        merge_share: float = MERGE_SHARE,
        min_isolation_seconds: float = MIN_ISOLATION_SECONDS,
        sketch_keys: int = SKETCH_KEYS,
        max_isolated_keys: int = MAX_ISOLATED_KEYS,
    ) -> None:
        self._isolate_share = isolate_share
        self._merge_share = merge_share
        self._min_isolation_seconds = min_isolation_seconds
        self._sketch_keys = sketch_keys
        self._max_isolated_keys = max_isolated_keys
        self._counts: dict[int, int] = {}
        self._errors: dict[int, int] = {}
        self._isolated_at: dict[int, float] = {}

    def count(self, key_hash: int) -> None:
        counts = self._counts
        if key_hash in counts:
            counts[key_hash] += 1
        elif len(counts) < self._sketch_keys:
            counts[key_hash] = 1
            self._errors[key_hash] = 0
        else:
            evicted = min(counts, key=counts.__getitem__)
            least = counts.pop(evicted)
            self._errors.pop(evicted)
            counts[key_hash] = least + 1
            self._errors[key_hash] = least

    def changes(self, target_mean: float, seconds: float, now: float) -> list[HotKeyChange]:
        rates = {k: (n - self._errors[k]) / seconds for k, n in self._counts.items()}
        self._counts.clear()
        self._errors.clear()
        result = []
        for key, isolated_at in list(self._isolated_at.items()):
            below_merge_share = rates.get(key, 0.0) < self._merge_share * target_mean
            if below_merge_share and now - isolated_at >= self._min_isolation_seconds:
                del self._isolated_at[key]
                result.append(HotKeyChange(key, isolate=False))
        for key in sorted(rates, key=lambda k: (-rates[k], k)):
            if rates[key] < self._isolate_share * target_mean:
                break
            if key not in self._isolated_at and len(self._isolated_at) < self._max_isolated_keys:
                self._isolated_at[key] = now
                result.append(HotKeyChange(key, isolate=True))
        return result
