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
    """The two targets that may own a slice under one generation."""

    owner: str
    standby: str | None


class SliceMap(Mapping[int, SliceAssignment]):
    """Assignments of a group's slices, in six bytes a slice.

    A group has few targets and so few distinct assignments. The map keeps each of them once and
    an index for each slice; a dictionary of objects takes over 100 bytes a slice, which at a
    million slices is more than a host may use.

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
        """Yield each slice with its assignment, in order of slices."""
        pairs = self._pairs
        return (
            (number, pairs[code]) for number, code in zip(self._numbers, self._codes, strict=True)
        )

    def values(self) -> Iterator[SliceAssignment]:  # type: ignore[override]
        """Yield the assignment of each slice, in order of slices."""
        return (self._pairs[code] for code in self._codes)

    def pairs(self) -> tuple[SliceAssignment, ...]:
        """Return the distinct assignments."""
        return self._pairs

    def to_document(self) -> dict[str, Any]:
        """Return the map as a JSON document: distinct pairs, ranges of slices and codes."""
        return {
            "pairs": [[pair.owner, pair.standby] for pair in self._pairs],
            "ranges": to_ranges(self._numbers),
            "codes": base64.b64encode(_little_endian(self._codes).tobytes()).decode(),
        }

    @classmethod
    def from_document(cls, doc: Mapping[str, Any]) -> SliceMap:
        """Read a map back from what :meth:`to_document` returned.

        :raises ValueError: If the document is inconsistent.
        """
        result = cls({})
        result._pairs = tuple(SliceAssignment(*pair) for pair in doc["pairs"])
        result._numbers = array("I", from_ranges(doc["ranges"]))
        codes = array("H")
        codes.frombytes(base64.b64decode(doc["codes"]))
        result._codes = _little_endian(codes)
        if len(result._codes) != len(result._numbers):
            raise ValueError("a row has not one code for each slice")
        if any(code >= len(result._pairs) for code in result._codes):
            raise ValueError("a row refers to an assignment that it does not list")
        return result


def to_ranges(numbers: Iterator[int] | array) -> list[list[int]]:
    """Return ascending numbers as inclusive ranges."""
    ranges: list[list[int]] = []
    for number in numbers:
        if ranges and ranges[-1][1] == number - 1:
            ranges[-1][1] = number
        else:
            ranges.append([number, number])
    return ranges


def from_ranges(ranges: list[list[int]]) -> Iterator[int]:
    """Yield the numbers of inclusive ranges."""
    for first, last in ranges:
        yield from range(first, last + 1)


def _little_endian(codes: array) -> array:
    """Swap the bytes on machines that are not little-endian, so that documents agree."""
    if array("H", [1]).tobytes() != b"\x01\x00":
        codes = codes[:]
        codes.byteswap()
    return codes
