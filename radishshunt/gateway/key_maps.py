"""Look-ups in key maps and their form in the store."""

from __future__ import annotations

import json
from bisect import bisect_right
from dataclasses import replace
from typing import TYPE_CHECKING

from radishshunt.errors import ProtocolError
from radishshunt.gateway.model import LAST_KEY, KeyMap, KeyRange

if TYPE_CHECKING:
    from collections.abc import Iterable

# Prefix of the rows that hold key maps; the service's name follows.
KEY_MAP_PREFIX = "keys/"


def encode_key_map(key_map: KeyMap) -> bytes:
    """Return a key map as the value of a row."""
    ranges = [[r.first, r.last, r.target, r.life, r.fence, r.address] for r in key_map.ranges]
    return json.dumps(
        {"next_fence": key_map.next_fence, "ranges": ranges}, separators=(",", ":")
    ).encode()


def decode_key_map(value: bytes) -> KeyMap:
    """Return the key map in a row.

    :raises ProtocolError: If it can't be read or does not cover all keys.
    """
    try:
        doc = json.loads(value)
        ranges = tuple(KeyRange(*item) for item in doc["ranges"])
        key_map = KeyMap(ranges, int(doc["next_fence"]))
    except (ValueError, KeyError, TypeError) as exc:
        raise ProtocolError(f"key map: {exc!r}") from exc
    expected = 0
    for item in ranges:
        if item.first != expected or item.last < item.first:
            raise ProtocolError(f"key map: range at {item.first}, expected {expected}")
        expected = item.last + 1
    if ranges and expected != LAST_KEY + 1:
        raise ProtocolError(f"key map: ends before key {expected}")
    return key_map


class KeyIndex:
    """Finds the range of a key."""

    def __init__(self, key_map: KeyMap) -> None:
        self.key_map = key_map
        self._firsts = [item.first for item in key_map.ranges]

    def find(self, key: int) -> KeyRange | None:
        """Return the range that contains a key."""
        at = bisect_right(self._firsts, key) - 1
        return self.key_map.ranges[at] if at >= 0 else None


def split_ranges(ranges: list[KeyRange], first: int, last: int) -> list[KeyRange]:
    """Return ranges cut so that ``first`` to ``last`` begins and ends at a border."""
    result = []
    for item in ranges:
        if last < item.first or item.last < first or first <= item.first <= item.last <= last:
            result.append(item)
            continue
        inner = [cut for cut in (first, last + 1) if item.first < cut <= item.last]
        borders = [item.first, *inner, item.last + 1]
        for start, end in zip(borders, borders[1:], strict=False):
            result.append(replace(item, first=start, last=end - 1))
    return result


def subtract(ranges: Iterable[KeyRange], pieces: Iterable[tuple[int, int]]) -> list[KeyRange]:
    """Return the parts of ranges that no piece covers.

    :param ranges: In ascending order.
    :param pieces: First and last key of each piece; they do not overlap.
    """
    cuts = sorted(pieces)
    result = []
    at = 0
    for item in ranges:
        first = item.first
        while at < len(cuts) and cuts[at][1] < first:
            at += 1
        number = at
        while number < len(cuts) and cuts[number][0] <= item.last:
            if first < cuts[number][0]:
                result.append(replace(item, first=first, last=cuts[number][0] - 1))
            first = cuts[number][1] + 1
            number += 1
        if first == item.first:
            result.append(item)
        elif first <= item.last:
            result.append(replace(item, first=first))
    return result
