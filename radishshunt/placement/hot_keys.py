"""Hot keys, which become slices of their own."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

# Share of one target's mean load from which a key gets a slice of its own.
ISOLATE_SHARE = 0.25
# Share below which it returns to the slice of its hash range.
MERGE_SHARE = 0.08
# A slice of its own is kept for at least this long.
KEEP_SECONDS = 30.0
# Keys counted at once; a key with a larger share than 1/SKETCH_KEYS is always among them.
SKETCH_KEYS = 64
# Slices of their own per group; bounds the size of the group's row.
MAX_ISOLATED = 16


@dataclass(frozen=True, slots=True)
class HotKeyChange:
    """A key that becomes a slice of its own, or stops being one.

    :param key_hash: 64-bit hash of the key; keys themselves may be personal data.
    """

    key_hash: int
    isolate: bool


class HotKeys(ABC):
    """Decides which keys of one group are slices of their own."""

    @abstractmethod
    def count(self, key_hash: int) -> None:
        """Count a request."""

    @abstractmethod
    def changes(self, target_mean: float, seconds: float, now: float) -> list[HotKeyChange]:
        """Return the changes to make, and start a new interval.

        :param target_mean: Mean requests per second of a target.
        :param seconds: Length of the interval.
        :param now: Seconds since the Unix epoch.
        """


class NoIsolation(HotKeys):
    """Baseline: keys stay in the slice of their hash range."""

    def count(self, key_hash: int) -> None:
        pass

    def changes(self, target_mean: float, seconds: float, now: float) -> list[HotKeyChange]:
        return []


class SpaceSaving(HotKeys):
    """Finds the most frequent keys in bounded memory (space-saving counters)."""

    def __init__(
        self,
        isolate_share: float = ISOLATE_SHARE,
        merge_share: float = MERGE_SHARE,
        keep_seconds: float = KEEP_SECONDS,
        sketch_keys: int = SKETCH_KEYS,
        max_isolated: int = MAX_ISOLATED,
    ) -> None:
        self._isolate_share = isolate_share
        self._merge_share = merge_share
        self._keep_seconds = keep_seconds
        self._sketch_keys = sketch_keys
        self._max_isolated = max_isolated
        self._counts: dict[int, int] = {}
        self._errors: dict[int, int] = {}
        self._isolated: dict[int, float] = {}

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
        for key, since in list(self._isolated.items()):
            cool = rates.get(key, 0.0) < self._merge_share * target_mean
            if cool and now - since >= self._keep_seconds:
                del self._isolated[key]
                result.append(HotKeyChange(key, isolate=False))
        for key in sorted(rates, key=lambda k: (-rates[k], k)):
            if rates[key] < self._isolate_share * target_mean:
                break
            if key not in self._isolated and len(self._isolated) < self._max_isolated:
                self._isolated[key] = now
                result.append(HotKeyChange(key, isolate=True))
        return result
