"""Lookup in key maps and their encoding in the store."""

from __future__ import annotations

import json
from bisect import bisect_right
from dataclasses import replace
from typing import TYPE_CHECKING

from radishshunt.errors import ProtocolError
from radishshunt.gateway.model import LAST_KEY, KeyMap, KeyRange

if TYPE_CHECKING:
    from collections.abc import Iterable

# Prefix of the keys of rows that hold key maps; the service name follows.
KEY_MAP_PREFIX = "keys/"


def encode_key_map(key_map: KeyMap) -> bytes:
    """Encode a key map as the value of a row."""
    ranges = [
        [r.first, r.last, r.target, r.incarnation, r.fence, r.address] for r in key_map.ranges
    ]
    return json.dumps(
        {"next_fence": key_map.next_fence, "ranges": ranges}, separators=(",", ":")
    ).encode()


def decode_key_map(value: bytes) -> KeyMap:
    """Decode a key map from the value of a row.

    :raises ProtocolError: If the value is malformed or the key map does not cover all keys.
    """
    try:
        doc = json.loads(value)
        ranges = tuple(KeyRange(*fields) for fields in doc["ranges"])
        key_map = KeyMap(ranges, int(doc["next_fence"]))
    except (ValueError, KeyError, TypeError) as exc:
        raise ProtocolError(f"malformed key map: {exc!r}") from exc
    expected = 0
    for key_range in ranges:
        if key_range.first != expected or key_range.last < key_range.first:
            raise ProtocolError(
                f"key map has a range that starts at key {key_range.first}, expected {expected}"
            )
        expected = key_range.last + 1
    if ranges and expected != LAST_KEY + 1:
        raise ProtocolError(f"key map ends before key {expected}")
    return key_map


class KeyIndex:
    """Index of a key map by key."""

    def __init__(self, key_map: KeyMap) -> None:
        self.key_map = key_map
        self._firsts = [key_range.first for key_range in key_map.ranges]

    def find(self, key: int) -> KeyRange | None:
        """Return the range that contains a key."""
        index = bisect_right(self._firsts, key) - 1
        return self.key_map.ranges[index] if index >= 0 else None


def split_ranges(ranges: list[KeyRange], first: int, last: int) -> list[KeyRange]:
    """Split ranges at the start and the end of the keys from ``first`` to ``last``."""
    result = []
    for key_range in ranges:
        if (
            last < key_range.first
            or key_range.last < first
            or first <= key_range.first <= key_range.last <= last
        ):
            result.append(key_range)
            continue
        inner = [bound for bound in (first, last + 1) if key_range.first < bound <= key_range.last]
        bounds = [key_range.first, *inner, key_range.last + 1]
        for start, end in zip(bounds, bounds[1:], strict=False):
            result.append(replace(key_range, first=start, last=end - 1))
    return result


def subtract(ranges: Iterable[KeyRange], excluded: Iterable[tuple[int, int]]) -> list[KeyRange]:
    """Return the parts of ranges that are not excluded.

    :param ranges: In ascending order.
    :param excluded: First and last key of each excluded range; they must not overlap.
    """
    gaps = sorted(excluded)
    result = []
    index = 0
    for key_range in ranges:
        first = key_range.first
        while index < len(gaps) and gaps[index][1] < first:
            index += 1
        gap_index = index
        while gap_index < len(gaps) and gaps[gap_index][0] <= key_range.last:
            if first < gaps[gap_index][0]:
                result.append(replace(key_range, first=first, last=gaps[gap_index][0] - 1))
            first = gaps[gap_index][1] + 1
            gap_index += 1
        if first == key_range.first:
            result.append(key_range)
        elif first <= key_range.last:
            result.append(replace(key_range, first=first))
    return result
