"""Messages between the leader and the other hosts, and their encoding."""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass, field
from importlib.resources import as_file, files
from typing import TYPE_CHECKING

import capnp

from radishshunt.errors import ProtocolError
from radishshunt.gateway.rows import Change, Row, Topic
from radishshunt.policy.direct.target_statements import TargetStatement
from radishshunt.suspect import Suspect

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_FRAME_BYTES = 8 * 1024 * 1024
LENGTH_BYTES = 4
# Frames of at least this size are compressed. The full state of 180 targets and 450 routes is
# 200 kB of text.
COMPRESSION_THRESHOLD_BYTES = 4096
COMPRESSION_LEVEL = 1

capnp.remove_import_hook()
with as_file(files("radishshunt.gateway") / "gateway.capnp") as _path:
    _schema = capnp.load(str(_path))


@dataclass(frozen=True, slots=True)
class TargetSpeed:
    """Learned speed of a target.

    :param incarnation: Start of the target's process in Unix milliseconds.
    :param work_ratio: Work time relative to that of the service.
    :param error: Standard error of the ratio.
    :param in_progress: Number of requests in progress that the target takes without slowing down.
    :param age: Seconds since the last measurement.
    """

    target: str
    incarnation: int
    work_ratio: float
    error: float
    in_progress: float
    age: float


@dataclass(frozen=True, slots=True)
class StateUpdate:
    """State update from the leader to the other hosts.

    :param leading: Whether the sender leads.
    :param followed_age: Seconds since the sender last had all changes by operators and targets.
    :param hosts: Number of hosts connected to the leader, including the leader.
    :param changes: Changed rows, or all rows in the first update of a link.
    :param moving: Key ranges that are being moved, by service.
    :param overloaded: Load of overloaded targets by all hosts, relative to the target's capacity.
    :param suspects: Requests that were running on targets when these were lost.
    :param backups: Addresses of the hosts that read the store while the leader is silent.
    :param target_speeds: Estimates that have changed, or all in the first update of a link.
    :param statements: What targets have stated about themselves since the last update, or all of it
        in the first update of a link.
    :param sent_at: Time of the sender's clock, to which the times of the rows refer.
    :param complete_until: Time of the sender's clock up to which it knows all changes by operators
        and targets.
    :param resigned_term: Last term of the sender that it has ended before its lease, empty if there
        is none.
    """

    leading: bool
    followed_age: float
    hosts: int
    changes: tuple[Change, ...] = ()
    moving: dict[str, list[tuple[int, int]]] = field(default_factory=dict)
    overloaded: dict[str, float] = field(default_factory=dict)
    suspects: tuple[Suspect, ...] = ()
    backups: tuple[str, ...] = ()
    target_speeds: tuple[TargetSpeed, ...] = ()
    statements: tuple[TargetStatement, ...] = ()
    sent_at: float = 0.0
    complete_until: float = -math.inf
    resigned_term: str = ""


@dataclass(frozen=True, slots=True)
class Hello:
    """Introduction of a host that opens a link.

    :param address: Address of the host's port for other hosts, empty if unknown.
    :param capacity: Capacity relative to that recommended for a leader, at most 1.
    :param follow: Whether the host wants updates although the other host does not lead.
    :param versions: Version up to which the host has all rows, by topic; 0 if it has none.
    """

    address: str = ""
    domain: str = ""
    capacity: float = 0.0
    follow: bool = False
    versions: dict[Topic, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class TargetWorkTime:
    """Measured work time of a target.

    :param seconds: Mean time for which a request occupies a slot.
    :param samples: Number of responses measured since the last report.
    :param request_limit: Requests per second that the target takes from all hosts together,
        infinite if it names no limit.
    :param ratio: Mean of the measured work times relative to those expected of the same requests,
        0 if unknown.
    """

    target: str
    seconds: float
    samples: int
    request_limit: float = math.inf
    ratio: float = 0.0


@dataclass(frozen=True, slots=True)
class AllowanceDemand:
    """What a host wants of an allowance that all hosts share.

    :param wanted: Tokens that the host wants in addition to those that it holds.
    :param returned: Tokens that the host has held and gives back; negative for tokens of its safe
        share that it has used although its reports may have reached the leader.
    :param held: Tokens that the host still holds, without those that it gives back.
    """

    allowance: str
    wanted: float
    returned: float = 0.0
    held: float = 0.0


@dataclass(frozen=True, slots=True)
class AllowanceGrant:
    """Tokens of an allowance that a host may use."""

    allowance: str
    tokens: float


@dataclass(frozen=True, slots=True)
class ReportAnswer:
    """Answer to the last report of a host, sent after all changes that its sender had applied.

    :param report: Number of the report.
    :param state_age: Seconds since the operators' rows of the sender were known to be complete,
        infinite if they never were.
    """

    report: int
    state_age: float = math.inf
    grants: tuple[AllowanceGrant, ...] = ()


@dataclass(frozen=True, slots=True)
class Report:
    """Load report from a host to the leader.

    :param request_counts: Number of requests since the last report, by service and key.
    :param work_times: Work times of the targets that responded since the last report.
    :param suspects: Requests that were running on targets when these were lost.
    :param hello: Introduction of the host, in the first report of a link.
    :param configuration: Version of the configuration in force on the host, 0 if there is none.
    :param number: Number of the report on its link, from 1 on.
    :param demands: Demand for allowances that all hosts share.
    :param statements: What targets have stated about themselves to this host since the last report,
        or all that it knows in the first report of a link.
    :param followed_age: Seconds since the host itself last had all changes by operators and targets
        from the store, infinite if it never had.
    """

    host: str
    request_counts: dict[str, dict[int, int]]
    work_times: tuple[TargetWorkTime, ...] = ()
    suspects: tuple[Suspect, ...] = ()
    hello: Hello | None = None
    configuration: int = 0
    number: int = 0
    demands: tuple[AllowanceDemand, ...] = ()
    statements: tuple[TargetStatement, ...] = ()
    followed_age: float = math.inf


Message = StateUpdate | Report | ReportAnswer


def encode(msg: Message) -> bytes:
    """Return a message as a frame, including its length prefix."""
    if isinstance(msg, ReportAnswer):
        frame = _schema.Frame.new_message(answer=_answer_fields(msg))
    elif isinstance(msg, StateUpdate):
        news = {
            "leading": msg.leading,
            "hosts": msg.hosts,
            "followedAge": msg.followed_age,
            "sentAt": msg.sent_at,
            "completeUntil": msg.complete_until,
            "resignedTerm": msg.resigned_term,
            "changes": [_change_fields(change) for change in msg.changes],
            "moving": [
                {"service": service, "first": first, "last": last}
                for service, ranges in msg.moving.items()
                for first, last in ranges
            ],
            "overloaded": [
                {"target": target, "load": load} for target, load in msg.overloaded.items()
            ],
            "suspects": _suspect_fields(msg.suspects),
            "backups": list(msg.backups),
            "targetSpeeds": [
                {
                    "target": speed.target,
                    "incarnation": speed.incarnation,
                    "workRatio": speed.work_ratio,
                    "error": speed.error,
                    "inProgress": speed.in_progress,
                    "age": speed.age,
                }
                for speed in msg.target_speeds
            ],
            "statements": _statement_fields(msg.statements),
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
                for service, counts in msg.request_counts.items()
            ],
            "work": [
                {
                    "target": item.target,
                    "seconds": item.seconds,
                    "samples": item.samples,
                    "requestLimit": item.request_limit,
                    "ratio": item.ratio,
                }
                for item in msg.work_times
            ],
            "suspects": _suspect_fields(msg.suspects),
            "configuration": msg.configuration,
            "number": msg.number,
            "followedAge": msg.followed_age,
            "demands": [
                {
                    "allowance": item.allowance,
                    "wanted": item.wanted,
                    "returned": item.returned,
                    "held": item.held,
                }
                for item in msg.demands
            ],
            "statements": _statement_fields(msg.statements),
        }
        if msg.hello is not None:
            report["hello"] = _hello_fields(msg.hello)
        frame = _schema.Frame.new_message(report=report)
    data = frame.to_bytes()
    if len(data) >= COMPRESSION_THRESHOLD_BYTES:
        compressed = zlib.compress(data, COMPRESSION_LEVEL)
        data = _schema.Frame.new_message(packed=compressed).to_bytes()
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


def decode(data: bytes) -> Message:
    """Return the message in a frame without its length prefix.

    :raises ProtocolError: If the frame is malformed.
    """
    try:
        with _schema.Frame.from_bytes(data) as frame:
            if frame.which() == "packed":
                return _decode_compressed(bytes(frame.packed))
            return _decode_message(frame)
    except (capnp.KjException, ValueError, zlib.error) as exc:
        raise ProtocolError(f"malformed frame from a host: {exc}") from exc


def _decode_message(frame: capnp.lib.capnp._DynamicStructReader) -> Message:
    if frame.which() == "news":
        return _decode_update(frame.news)
    if frame.which() == "answer":
        return _decode_answer(frame.answer)
    return _decode_report(frame.report)


def _decode_compressed(compressed: bytes) -> Message:
    decompressor = zlib.decompressobj()
    data = decompressor.decompress(compressed, MAX_FRAME_BYTES)
    if not decompressor.eof:
        raise ProtocolError(f"compressed frame of more than {MAX_FRAME_BYTES} bytes")
    with _schema.Frame.from_bytes(data) as frame:
        if frame.which() == "packed":
            raise ProtocolError("compressed frame contains another compressed frame")
        return _decode_message(frame)


def _change_fields(change: Change) -> dict:
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
                "changedAfter": row.changed_after,
            }
            for row in change.rows
        ],
    }


def _suspect_fields(suspects: tuple[Suspect, ...]) -> list[dict]:
    return [
        {
            "fingerprint": item.fingerprint,
            "deaths": item.deaths,
            "expiresAt": item.expires_at,
            "concurrent": item.concurrent,
            "cleared": item.cleared,
        }
        for item in suspects
    ]


def _decode_suspects(items: Iterable[capnp.lib.capnp._DynamicStructReader]) -> tuple[Suspect, ...]:
    return tuple(
        Suspect(
            item.fingerprint,
            list(item.deaths),
            "",
            item.expiresAt,
            list(item.concurrent),
            list(item.cleared),
        )
        for item in items
    )


def _decode_update(news: capnp.lib.capnp._DynamicStructReader) -> StateUpdate:
    if not math.isfinite(news.sentAt):
        raise ValueError("update without a valid time")
    moving: dict[str, list[tuple[int, int]]] = {}
    for item in news.moving:
        moving.setdefault(item.service, []).append((item.first, item.last))
    changes = tuple(
        Change(
            Topic(change.topic),
            tuple(
                Row(
                    row.key,
                    row.version,
                    None if row.gone else bytes(row.value),
                    row.base,
                    row.changedAfter,
                )
                for row in change.rows
            ),
            change.version,
            change.whole,
        )
        for change in news.changes
    )
    overloaded = {item.target: item.load for item in news.overloaded}
    suspects = _decode_suspects(news.suspects)
    return StateUpdate(
        news.leading,
        news.followedAge,
        news.hosts,
        changes,
        moving,
        overloaded,
        suspects,
        tuple(news.backups),
        tuple(
            TargetSpeed(
                item.target,
                item.incarnation,
                item.workRatio,
                item.error,
                item.inProgress,
                item.age,
            )
            for item in news.targetSpeeds
        ),
        _decode_statements(news.statements),
        news.sentAt,
        news.completeUntil,
        news.resignedTerm,
    )


def _decode_report(report: capnp.lib.capnp._DynamicStructReader) -> Report:
    request_counts = {
        item.service: {entry.key: entry.count for entry in item.counts} for item in report.heat
    }
    work_times = tuple(
        TargetWorkTime(item.target, item.seconds, item.samples, item.requestLimit, item.ratio)
        for item in report.work
    )
    suspects = _decode_suspects(report.suspects)
    hello = _decode_hello(report.hello) if report._has("hello") else None
    demands = tuple(
        AllowanceDemand(item.allowance, item.wanted, item.returned, item.held)
        for item in report.demands
    )
    return Report(
        report.host,
        request_counts,
        work_times,
        suspects,
        hello,
        report.configuration,
        report.number,
        demands,
        _decode_statements(report.statements),
        report.followedAge,
    )


def _statement_fields(statements: Iterable[TargetStatement]) -> list[dict]:
    return [
        {
            "target": item.target,
            "incarnation": item.incarnation,
            "leavingAge": item.leaving_age,
            "coldSeconds": item.cold_seconds,
        }
        for item in statements
    ]


def _decode_statements(
    items: capnp.lib.capnp._DynamicListReader,
) -> tuple[TargetStatement, ...]:
    """Return the statements in a message.

    :raises ValueError: If a time in them is no number of seconds.
    """
    statements = tuple(
        TargetStatement(item.target, item.incarnation, item.leavingAge, item.coldSeconds)
        for item in items
    )
    for statement in statements:
        if not (statement.leaving_age >= 0.0 and 0.0 <= statement.cold_seconds < math.inf):
            raise ValueError(f"statement of target {statement.target} with an invalid time")
    return statements


def _answer_fields(answer: ReportAnswer) -> dict:
    return {
        "report": answer.report,
        "stateAge": answer.state_age,
        "grants": [
            {"allowance": grant.allowance, "tokens": grant.tokens} for grant in answer.grants
        ],
    }


def _decode_answer(answer: capnp.lib.capnp._DynamicStructReader) -> ReportAnswer:
    grants = tuple(AllowanceGrant(item.allowance, item.tokens) for item in answer.grants)
    return ReportAnswer(answer.report, answer.stateAge, grants)


def _hello_fields(hello: Hello) -> dict:
    return {
        "address": hello.address,
        "domain": hello.domain,
        "capacity": hello.capacity,
        "follow": hello.follow,
        "versions": [
            {"topic": topic.value, "version": version} for topic, version in hello.versions.items()
        ],
    }


def _decode_hello(hello: capnp.lib.capnp._DynamicStructReader) -> Hello:
    versions = {Topic(item.topic): item.version for item in hello.versions}
    return Hello(hello.address, hello.domain, hello.capacity, hello.follow, versions)
