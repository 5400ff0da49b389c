"""Messages between the leader and the other hosts, and their encoding."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field
from importlib.resources import as_file, files
from typing import TYPE_CHECKING

import capnp

from radishshunt.errors import ProtocolError
from radishshunt.gateway.rows import Change, Row, Topic
from radishshunt.wire.messages import Suspect

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_FRAME_BYTES = 8 * 1024 * 1024
LENGTH_BYTES = 4
# Longer frames are compressed: the whole state of 180 targets and 450 routes is 200 kB of text.
PACKED_BYTES = 4096
PACK_LEVEL = 1

capnp.remove_import_hook()
with as_file(files("radishshunt.gateway") / "gateway.capnp") as _path:
    _schema = capnp.load(str(_path))


@dataclass(frozen=True, slots=True)
class News:
    """What the leader tells the other hosts.

    :param leading: Whether the sender leads.
    :param followed_age: Seconds since the sender knew all changes by operators and targets.
    :param hosts: Hosts that the leader hears, itself included.
    :param moving: Ranges of keys that are being moved, by service.
    :param overloaded: Load of all hosts relative to the capacity, by target.
    :param suspects: Requests that were running on targets as those were lost.
    """

    leading: bool
    followed_age: float
    hosts: int
    changes: tuple[Change, ...] = ()
    moving: dict[str, list[tuple[int, int]]] = field(default_factory=dict)
    overloaded: dict[str, float] = field(default_factory=dict)
    suspects: tuple[Suspect, ...] = ()


@dataclass(frozen=True, slots=True)
class Work:
    """Measured work time of a target.

    :param seconds: Mean time for which a request holds a slot.
    :param samples: Answers measured since the last report.
    """

    target: str
    seconds: float
    samples: int


@dataclass(frozen=True, slots=True)
class Report:
    """What a host tells the leader.

    :param heat: Requests since the last report, by service and key.
    """

    host: str
    heat: dict[str, dict[int, int]]
    work: tuple[Work, ...] = ()
    suspects: tuple[Suspect, ...] = ()


def encode(msg: News | Report) -> bytes:
    """Return a message as a frame, its length included."""
    if isinstance(msg, News):
        news = {
            "leading": msg.leading,
            "hosts": msg.hosts,
            "followedAge": msg.followed_age,
            "changes": [_change(change) for change in msg.changes],
            "moving": [
                {"service": service, "first": first, "last": last}
                for service, ranges in msg.moving.items()
                for first, last in ranges
            ],
            "overloaded": [
                {"target": target, "load": load} for target, load in msg.overloaded.items()
            ],
            "suspects": _suspects(msg.suspects),
        }
        frame = _schema.Frame.new_message(news=news)
    else:
        report = {
            "host": msg.host,
            "heat": [
                {
                    "service": service,
                    "counts": [{"key": key, "count": count} for key, count in counts.items()],
                }
                for service, counts in msg.heat.items()
            ],
            "work": [
                {"target": item.target, "seconds": item.seconds, "samples": item.samples}
                for item in msg.work
            ],
            "suspects": _suspects(msg.suspects),
        }
        frame = _schema.Frame.new_message(report=report)
    data = frame.to_bytes()
    if len(data) >= PACKED_BYTES:
        packed = zlib.compress(data, PACK_LEVEL)
        data = _schema.Frame.new_message(packed=packed).to_bytes()
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


def decode(data: bytes) -> News | Report:
    """Return the message in a frame without its length.

    :raises ProtocolError: If it is malformed.
    """
    try:
        with _schema.Frame.from_bytes(data) as frame:
            if frame.which() == "packed":
                return _decode_packed(bytes(frame.packed))
            if frame.which() == "news":
                return _news(frame.news)
            return _report(frame.report)
    except (capnp.KjException, ValueError, zlib.error) as exc:
        raise ProtocolError(f"frame between hosts: {exc}") from exc


def _decode_packed(packed: bytes) -> News | Report:
    unpacker = zlib.decompressobj()
    data = unpacker.decompress(packed, MAX_FRAME_BYTES)
    if not unpacker.eof:
        raise ProtocolError(f"compressed frame of more than {MAX_FRAME_BYTES} bytes")
    with _schema.Frame.from_bytes(data) as frame:
        if frame.which() == "packed":
            raise ProtocolError("frame that is compressed twice")
        return _news(frame.news) if frame.which() == "news" else _report(frame.report)


def _change(change: Change) -> dict:
    return {
        "topic": change.topic.value,
        "version": change.version,
        "whole": change.whole,
        "rows": [
            {
                "key": row.key,
                "version": row.version,
                "value": row.value or b"",
                "gone": row.value is None,
                "base": row.base,
            }
            for row in change.rows
        ],
    }


def _suspects(suspects: tuple[Suspect, ...]) -> list[dict]:
    return [
        {"fingerprint": item.fingerprint, "deaths": item.deaths, "expiresAt": item.expires_at}
        for item in suspects
    ]


def _read_suspects(items: Iterable[capnp.lib.capnp._DynamicStructReader]) -> tuple[Suspect, ...]:
    return tuple(Suspect(item.fingerprint, list(item.deaths), "", item.expiresAt) for item in items)


def _news(news: capnp.lib.capnp._DynamicStructReader) -> News:
    moving: dict[str, list[tuple[int, int]]] = {}
    for item in news.moving:
        moving.setdefault(item.service, []).append((item.first, item.last))
    changes = tuple(
        Change(
            Topic(change.topic),
            tuple(
                Row(row.key, row.version, None if row.gone else bytes(row.value), row.base)
                for row in change.rows
            ),
            change.version,
            change.whole,
        )
        for change in news.changes
    )
    overloaded = {item.target: item.load for item in news.overloaded}
    suspects = _read_suspects(news.suspects)
    return News(
        news.leading,
        news.followedAge,
        news.hosts,
        changes,
        moving,
        overloaded,
        suspects,
    )


def _report(report: capnp.lib.capnp._DynamicStructReader) -> Report:
    heat = {item.service: {entry.key: entry.count for entry in item.counts} for item in report.heat}
    work = tuple(Work(item.target, item.seconds, item.samples) for item in report.work)
    return Report(report.host, heat, work, _read_suspects(report.suspects))
