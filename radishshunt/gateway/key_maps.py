"""Lookup in key maps and their encoding in the store."""

from __future__ import annotations

import json
from bisect import bisect_right
from dataclasses import replace
from typing import TYPE_CHECKING, Annotated

import msgspec

from radishshunt.errors import ProtocolError
from radishshunt.gateway.model import KEY_COUNT, LAST_KEY, KeyMap, KeyRange
from radishshunt.util.json_decoder import JsonDecoder

if TYPE_CHECKING:
    from collections.abc import Iterable

# Prefix of the keys of rows that hold key maps; the service name follows.
KEY_MAP_PREFIX = "keys/"
# Prefix of the keys of rows that hold a part of a large key map; the service name, the number of
# parts and the number of the part follow.
KEY_MAP_PART_PREFIX = "key-ranges/"
# A key map stands in one row up to this size. A larger one is divided, since the store bounds the
# size of a row, and a change of one range would be sent to all hosts with all the other ranges.
MAX_UNDIVIDED_BYTES = 16 * 1024
# Mean number of ranges in a part.
RANGES_PER_PART = 64
# A transaction writes at most 100 rows.
MAX_PARTS = 64

_Key = Annotated[int, msgspec.Meta(ge=0, le=LAST_KEY)]
_Integer = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class _RangeFields(msgspec.Struct, array_like=True):
    first: _Key
    last: _Key
    target: str
    incarnation: _Integer
    fence: _Integer
    address: str = ""


class _IndexFields(msgspec.Struct):
    """Fields of the row that holds a whole key map or tells how it is divided."""

    next_fence: _Integer
    ranges: list[_RangeFields] = []
    # Number of parts, absent if the row holds the whole key map.
    parts: Annotated[int, msgspec.Meta(ge=1, le=MAX_PARTS)] | None = None
    uncertain: bool = False


class _PartFields(msgspec.Struct):
    # Target, incarnation and address of each owner.
    owners: list[tuple[str, _Integer, str]]
    # First key, last key, position of the owner and fencing token of each range.
    ranges: list[tuple[_Key, _Key, _Integer, _Integer]]


_INDEX_DECODER = JsonDecoder(_IndexFields)
_PART_DECODER = JsonDecoder(_PartFields)


def encode_key_map(key_map: KeyMap, *, uncertain: bool = False) -> bytes:
    """Encode a key map as the value of a single row.

    :param uncertain: Whether targets may hold keys by a newer key map that was lost.
    """
    doc = {"next_fence": key_map.next_fence, "ranges": _range_fields(key_map.ranges)}
    return _encode(doc | {"uncertain": True} if uncertain else doc)


def encode_key_map_rows(
    service: str, key_map: KeyMap, parts: int, max_row_bytes: int, *, uncertain: bool = False
) -> tuple[dict[str, bytes], int]:
    """Encode a key map as rows: one row, or an index row and one row for each part.

    :param parts: Number of parts of the earlier version, which does not shrink; 0 for one row.
    :param max_row_bytes: Maximum size of a row's value.
    :param uncertain: Whether targets may hold keys by a newer key map that was lost.
    :return: Value of each row by key, and the number of parts.
    """
    row_key = KEY_MAP_PREFIX + service
    if not parts:
        value = encode_key_map(key_map, uncertain=uncertain)
        if len(value) <= min(MAX_UNDIVIDED_BYTES, max_row_bytes):
            return {row_key: value}, 0
        parts = 1
    while parts < min(MAX_PARTS, len(key_map.ranges) / RANGES_PER_PART):
        parts *= 2
    while True:
        rows = {
            _part_key(service, parts, number): _encode(_part_fields(ranges))
            for number, ranges in enumerate(_divide(key_map.ranges, parts))
        }
        if parts >= MAX_PARTS or max(len(value) for value in rows.values()) <= max_row_bytes:
            doc = {"next_fence": key_map.next_fence, "parts": parts}
            rows[row_key] = _encode(doc | {"uncertain": True} if uncertain else doc)
            return rows, parts
        parts *= 2


def decode_key_map(value: bytes) -> KeyMap:
    """Decode a key map from the value of a single row.

    :raises ProtocolError: If the value is malformed or the key map does not cover all keys.
    """
    return _whole_key_map(_decode_index(value))


class KeyIndex:
    """Index of a key map by key.

    :ivar parts: Ranges of each part of the keys; ``None`` if the part is not known.
    """

    def __init__(self, next_fence: int, parts: list[tuple[KeyRange, ...] | None]) -> None:
        self.next_fence = next_fence
        self.parts = parts
        self._firsts = [[item.first for item in ranges or ()] for ranges in parts]

    @classmethod
    def of(cls, key_map: KeyMap) -> KeyIndex:
        """Return the index of a key map that is not divided."""
        return cls(key_map.next_fence, [key_map.ranges])

    @property
    def key_map(self) -> KeyMap:
        """The whole key map; empty if a part is not known."""
        if not all(self.parts):
            return KeyMap((), self.next_fence)
        joined: list[KeyRange] = []
        for ranges in self.parts:
            first, *others = ranges or ()
            # A range that crosses the border of two parts stands in both.
            if joined and replace(joined[-1], last=first.last) == replace(
                first, first=joined[-1].first
            ):
                joined[-1] = replace(joined[-1], last=first.last)
            else:
                joined.append(first)
            joined += others
        return KeyMap(tuple(joined), self.next_fence)

    def set_part(self, number: int, ranges: tuple[KeyRange, ...]) -> None:
        """Replace the ranges of a part."""
        self.parts[number] = ranges
        self._firsts[number] = [item.first for item in ranges]

    def find(self, key: int) -> KeyRange | None:
        """Return the range that contains a key, or ``None`` if it is not known."""
        number = key * len(self.parts) // KEY_COUNT
        index = bisect_right(self._firsts[number], key) - 1
        return (self.parts[number] or ())[index] if index >= 0 else None


class KeyMapRows:
    """Builds the key indexes of all services from their rows.

    :ivar indexes: Index of each service whose key map is known.
    :ivar uncertain: Services whose targets may hold keys by a newer key map that was lost.
    """

    def __init__(self) -> None:
        self.indexes: dict[str, KeyIndex] = {}
        self.uncertain: set[str] = set()
        # Ranges of each part by service and number of parts, also before the index row is known.
        self._parts: dict[tuple[str, int], dict[int, tuple[KeyRange, ...]]] = {}

    def apply_index_row(self, service: str, value: bytes) -> None:
        """Apply the row that holds a whole key map or tells how it is divided.

        :raises ProtocolError: If the value is malformed.
        """
        fields = _decode_index(value)
        if fields.parts is None:
            self.indexes[service] = KeyIndex.of(_whole_key_map(fields))
        else:
            known = self._parts.get((service, fields.parts), {})
            self.indexes[service] = KeyIndex(
                fields.next_fence, [known.get(number) for number in range(fields.parts)]
            )
        if fields.uncertain:
            self.uncertain.add(service)
        else:
            self.uncertain.discard(service)

    def apply_part_row(self, key: str, value: bytes) -> None:
        """Apply the row of one part.

        :param key: Key of the row without :data:`KEY_MAP_PART_PREFIX`.
        :raises ProtocolError: If the row is malformed.
        """
        service, count, number = _parse_part_key(key)
        ranges = _decode_part(value)
        first, last = _part_bounds(count, number)
        _check_coverage(ranges, first, last)
        self._parts.setdefault((service, count), {})[number] = ranges
        index = self.indexes.get(service)
        if index is not None and len(index.parts) == count:
            index.set_part(number, ranges)


def _encode(doc: object) -> bytes:
    return json.dumps(doc, separators=(",", ":")).encode()


def _range_fields(ranges: Iterable[KeyRange]) -> list[list]:
    return [[r.first, r.last, r.target, r.incarnation, r.fence, r.address] for r in ranges]


def _part_fields(ranges: Iterable[KeyRange]) -> dict:
    """Return the fields of a part, in which each owner stands once."""
    owners: dict[tuple[str, int, str], int] = {}
    fields = []
    for item in ranges:
        number = owners.setdefault((item.target, item.incarnation, item.address), len(owners))
        fields.append([item.first, item.last, number, item.fence])
    return {"owners": list(owners), "ranges": fields}


def _decode_part(value: bytes) -> tuple[KeyRange, ...]:
    try:
        fields = _PART_DECODER.decode(value)
    except ProtocolError as exc:
        raise ProtocolError(f"part of a key map: {exc}") from exc
    ranges = []
    for first, last, number, fence in fields.ranges:
        if number >= len(fields.owners):
            raise ProtocolError(f"part of a key map: there is no owner {number}")
        target, incarnation, address = fields.owners[number]
        ranges.append(KeyRange(first, last, target, incarnation, fence, address))
    return tuple(ranges)


def _decode_index(value: bytes) -> _IndexFields:
    try:
        return _INDEX_DECODER.decode(value)
    except ProtocolError as exc:
        raise ProtocolError(f"key map: {exc}") from exc


def _whole_key_map(fields: _IndexFields) -> KeyMap:
    """Return the key map of an undivided row.

    :raises ProtocolError: If it does not cover all keys.
    """
    ranges = tuple(
        KeyRange(r.first, r.last, r.target, r.incarnation, r.fence, r.address)
        for r in fields.ranges
    )
    if ranges:
        _check_coverage(ranges, 0, LAST_KEY)
    return KeyMap(ranges, fields.next_fence)


def _check_coverage(ranges: tuple[KeyRange, ...], first: int, last: int) -> None:
    """Check that ranges cover the keys from ``first`` to ``last`` once.

    :raises ProtocolError: If they do not.
    """
    expected = first
    for key_range in ranges:
        if key_range.first != expected or key_range.last < key_range.first:
            raise ProtocolError(
                f"key map has a range that starts at key {key_range.first}, expected {expected}"
            )
        expected = key_range.last + 1
    if expected != last + 1:
        raise ProtocolError(f"key map ends before key {expected}")


def _part_bounds(count: int, number: int) -> tuple[int, int]:
    """Return the first and the last key of a part."""
    return -(-number * KEY_COUNT // count), -(-(number + 1) * KEY_COUNT // count) - 1


def _divide(ranges: tuple[KeyRange, ...], count: int) -> list[list[KeyRange]]:
    """Divide ranges at the borders of parts."""
    divided: list[list[KeyRange]] = [[] for _ in range(count)]
    for item in ranges:
        for number in range(item.first * count // KEY_COUNT, item.last * count // KEY_COUNT + 1):
            first, last = _part_bounds(count, number)
            divided[number].append(
                replace(item, first=max(first, item.first), last=min(last, item.last))
            )
    return divided


def _part_key(service: str, count: int, number: int) -> str:
    return f"{KEY_MAP_PART_PREFIX}{service}/{count}/{number}"


def _parse_part_key(key: str) -> tuple[str, int, int]:
    service, _, numbers = key.rpartition("/")
    service, _, count = service.rpartition("/")
    if (
        not (service and count.isdecimal() and numbers.isdecimal())
        or not int(numbers) < int(count) <= MAX_PARTS
    ):
        raise ProtocolError(f"malformed key of a part of a key map: {key}")
    return service, int(count), int(numbers)


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
