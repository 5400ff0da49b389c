"""Compact load reports from a group's dispatcher to the planner, typically a few hundred bytes."""

from __future__ import annotations

import struct
from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from radishshunt.errors import ProtocolError

if TYPE_CHECKING:
    from radishshunt.model import GroupId

_HEADER = struct.Struct("<Bfd")
_TARGET = struct.Struct("<HHf")
FORMAT_VERSION = 1
MAX_VARINT_BYTES = 10


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """Load of one target, measured by its dispatcher.

    :param running: Requests that run on the target.
    :param queued: Requests that wait for the target at the dispatcher.
    :param capacity: Usable share of a warm target's capacity, from 0 (lost target) to 1; reduced
        for stragglers and during a cold start.
    """

    running: int
    queued: int
    capacity: float


@dataclass(frozen=True, slots=True)
class GroupLoad:
    """Load of a group over one interval.

    :param seconds: Length of the interval.
    :param ended_at: End of the interval in seconds since the Unix epoch.
    :param targets: Load of each target, in the order of the group's row.
    :param slices: Number of requests of each slice; slices without requests are left out.
    """

    seconds: float
    ended_at: float
    targets: tuple[TargetLoad, ...]
    slices: dict[int, int] = field(default_factory=dict)

    def encode(self) -> bytes:
        """Return the load as bytes; each slice with requests usually takes 2 to 3 bytes."""
        parts = [
            _HEADER.pack(FORMAT_VERSION, self.seconds, self.ended_at),
            _varint(len(self.targets)),
        ]
        parts += [_TARGET.pack(t.running, t.queued, t.capacity) for t in self.targets]
        previous = -1
        for slice_number in sorted(self.slices):
            parts += [_varint(slice_number - previous), _varint(self.slices[slice_number])]
            previous = slice_number
        return b"".join(parts)

    @classmethod
    def decode(cls, data: bytes) -> GroupLoad:
        """Decode a load from the bytes that :meth:`encode` returned.

        :raises ProtocolError: If the bytes are malformed.
        """
        try:
            version, seconds, ended_at = _HEADER.unpack_from(data)
            if version != FORMAT_VERSION:
                raise ProtocolError(f"load report has unsupported format version {version}")
            count, offset = _read_varint(data, _HEADER.size)
            targets = []
            for _ in range(count):
                targets.append(TargetLoad(*_TARGET.unpack_from(data, offset)))
                offset += _TARGET.size
            slices: dict[int, int] = {}
            slice_number = -1
            while offset < len(data):
                step, offset = _read_varint(data, offset)
                requests, offset = _read_varint(data, offset)
                slice_number += step
                slices[slice_number] = requests
        except (struct.error, IndexError) as exc:
            raise ProtocolError("load report is truncated") from exc
        return cls(seconds, ended_at, tuple(targets), slices)


class LoadSource(ABC):
    """Source of the planner's load data.

    A group's dispatcher knows the group's exact load; other hosts know the last :class:`GroupLoad`
    that it sent.
    """

    @abstractmethod
    def group_load(self, group: GroupId) -> GroupLoad | None:
        """Return the newest known load of a group, or ``None`` if none is known."""


def _varint(value: int) -> bytes:
    parts = bytearray()
    while value > 0x7F:
        parts.append(value & 0x7F | 0x80)
        value >>= 7
    parts.append(value)
    return bytes(parts)


def _read_varint(data: bytes, offset: int) -> tuple[int, int]:
    """Return the integer at an offset, and the offset of the byte after it."""
    value = 0
    for index in range(MAX_VARINT_BYTES):
        byte = data[offset + index]
        value |= (byte & 0x7F) << (7 * index)
        if byte < 0x80:
            return value, offset + index + 1
    raise ProtocolError("load report has an integer with too many bytes")
