"""What a dispatcher tells the planner about a group's load, in a few hundred bytes."""

from __future__ import annotations

import struct
from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from radishshunt.errors import ProtocolError

if TYPE_CHECKING:
    from radishshunt.model import GroupId

_HEAD = struct.Struct("<Bfd")
_TARGET = struct.Struct("<HHf")
FORMAT = 1
MAX_VARINT_BYTES = 10


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """Load of one target as its dispatcher sees it.

    :param capacity: Usable share of a warm target's capacity: 0 while lost, small for a
        straggler, in between during a cold start.
    """

    running: int
    queued: int
    capacity: float


@dataclass(frozen=True, slots=True)
class GroupLoad:
    """Load of a group over one interval.

    :param seconds: Length of the interval.
    :param ended_at: End of the interval, seconds since the Unix epoch.
    :param targets: Load of each target, in the order of the group's row.
    :param slices: Requests of each slice; slices without requests are left out.
    """

    seconds: float
    ended_at: float
    targets: tuple[TargetLoad, ...]
    slices: dict[int, int] = field(default_factory=dict)

    def encode(self) -> bytes:
        """Return the load as bytes: per slice with requests, 2 to 3 bytes."""
        parts = [_HEAD.pack(FORMAT, self.seconds, self.ended_at), _varint(len(self.targets))]
        parts += [_TARGET.pack(t.running, t.queued, t.capacity) for t in self.targets]
        last = -1
        for number in sorted(self.slices):
            parts += [_varint(number - last), _varint(self.slices[number])]
            last = number
        return b"".join(parts)

    @classmethod
    def decode(cls, data: bytes) -> GroupLoad:
        """Read a load back.

        :raises ProtocolError: If the bytes are malformed.
        """
        try:
            kind, seconds, ended_at = _HEAD.unpack_from(data)
            if kind != FORMAT:
                raise ProtocolError(f"load report of unknown format {kind}")
            count, at = _read_varint(data, _HEAD.size)
            targets = []
            for _ in range(count):
                targets.append(TargetLoad(*_TARGET.unpack_from(data, at)))
                at += _TARGET.size
            slices: dict[int, int] = {}
            number = -1
            while at < len(data):
                step, at = _read_varint(data, at)
                requests, at = _read_varint(data, at)
                number += step
                slices[number] = requests
        except (struct.error, IndexError) as exc:
            raise ProtocolError("load report is cut") from exc
        return cls(seconds, ended_at, tuple(targets), slices)


class LoadSource(ABC):
    """Where a planner gets the load of the groups from.

    A group's dispatcher knows the group's load exactly; other hosts know the last
    :class:`GroupLoad` that it sent.
    """

    @abstractmethod
    def group_load(self, group: GroupId) -> GroupLoad | None:
        """Return the newest load of a group, or ``None`` if none is known."""


def _varint(value: int) -> bytes:
    parts = bytearray()
    while value > 0x7F:
        parts.append(value & 0x7F | 0x80)
        value >>= 7
    parts.append(value)
    return bytes(parts)


def _read_varint(data: bytes, at: int) -> tuple[int, int]:
    value = 0
    for index in range(MAX_VARINT_BYTES):
        byte = data[at + index]
        value |= (byte & 0x7F) << (7 * index)
        if byte < 0x80:
            return value, at + index + 1
    raise ProtocolError("load report has a number that is too long")
