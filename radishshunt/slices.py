"""Compact maps from slices to their assignments."""

from __future__ import annotations

import base64
from array import array
from bisect import bisect_left
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class SliceAssignment:
    """Owner and standby of a slice: the two targets that may serve it under one generation."""

    owner: str
    standby: str | None


class SliceMap(Mapping[int, SliceAssignment]):
    """Read-only map from slices to assignments that takes six bytes per slice.

    A group has few targets and therefore few distinct assignments. The map stores each of them
    once, and an index per slice. A dictionary of objects takes over 100 bytes per slice, which at
    a million slices exceeds the memory that a host may use.

    :param assignments: Assignment of each slice.
    """

    __slots__ = ("_numbers", "_codes", "_pairs")

    def __init__(self, assignments: Mapping[int, SliceAssignment]) -> None:
        self._numbers = array("I", sorted(assignments))
        codes: dict[SliceAssignment, int] = {}
        self._codes = array(
            "H", (codes.setdefault(assignments[n], len(codes)) for n in self._numbers)
        )
        self._pairs = tuple(codes)

    def __getitem__(self, number: int) -> SliceAssignment:
        index = bisect_left(self._numbers, number)
        if index == len(self._numbers) or self._numbers[index] != number:
            raise KeyError(number)
        return self._pairs[self._codes[index]]

    def __iter__(self) -> Iterator[int]:
        return iter(self._numbers)

    def __len__(self) -> int:
        return len(self._numbers)

    def __eq__(self, other: object) -> bool:
        if isinstance(other, Mapping):
            return len(self) == len(other) and all(
                other.get(number) == pair for number, pair in self.items()
            )
        return NotImplemented

    __hash__ = None

    def __repr__(self) -> str:
        return f"SliceMap({dict(self.items())!r})"

    def items(self) -> Iterator[tuple[int, SliceAssignment]]:  # type: ignore[override]
        """Yield each slice with its assignment, sorted by slice."""
        pairs = self._pairs
        return (
            (number, pairs[code]) for number, code in zip(self._numbers, self._codes, strict=True)
        )

    def values(self) -> Iterator[SliceAssignment]:  # type: ignore[override]
        """Yield the assignment of each slice, sorted by slice."""
        return (self._pairs[code] for code in self._codes)

    def pairs(self) -> tuple[SliceAssignment, ...]:
        """Return the distinct assignments."""
        return self._pairs

    def to_document(self) -> dict[str, Any]:
        """Return the map as a JSON document.

        ``pairs`` lists the distinct assignments, ``ranges`` the slices as inclusive ranges, and
        ``codes`` the index into ``pairs`` of each slice as base64 of little-endian 16-bit integers.
        """
        return {
            "pairs": [[pair.owner, pair.standby] for pair in self._pairs],
            "ranges": to_ranges(self._numbers),
            "codes": base64.b64encode(_little_endian(self._codes).tobytes()).decode(),
        }

    @classmethod
    def from_document(cls, doc: Mapping[str, Any]) -> SliceMap:
        """Create a map from a document of :meth:`to_document`.

        :raises ValueError: If the document is inconsistent.
        """
        result = cls({})
        result._pairs = tuple(SliceAssignment(*pair) for pair in doc["pairs"])
        result._numbers = array("I", from_ranges(doc["ranges"]))
        codes = array("H")
        codes.frombytes(base64.b64decode(doc["codes"]))
        result._codes = _little_endian(codes)
        if len(result._codes) != len(result._numbers):
            raise ValueError("the number of codes in a row differs from the number of its slices")
        if any(code >= len(result._pairs) for code in result._codes):
            raise ValueError("a row refers to an assignment that is not listed")
        return result


def to_ranges(numbers: Iterator[int] | array) -> list[list[int]]:
    """Convert ascending numbers to inclusive ranges."""
    ranges: list[list[int]] = []
    for number in numbers:
        if ranges and ranges[-1][1] == number - 1:
            ranges[-1][1] = number
        else:
            ranges.append([number, number])
    return ranges


def from_ranges(ranges: list[list[int]]) -> Iterator[int]:
    """Yield the numbers in inclusive ranges."""
    for first, last in ranges:
        yield from range(first, last + 1)


def _little_endian(codes: array) -> array:
    """Convert between native and little-endian byte order, which documents use on all machines."""
    if array("H", [1]).tobytes() != b"\x01\x00":
        codes = codes[:]
        codes.byteswap()
    return codes
