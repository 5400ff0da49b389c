"""Encoding of messages between hosts as capnp frames."""

from __future__ import annotations

from importlib.resources import as_file, files
from typing import Any

import capnp

from radishshunt.errors import ProtocolError
from radishshunt.wire.messages import (
    Acknowledge,
    Announce,
    Cancel,
    Chunk,
    Document,
    End,
    Failure,
    Fetch,
    GroupState,
    Headers,
    Heartbeat,
    Hello,
    Intent,
    IntentFetch,
    Intents,
    Member,
    Message,
    Notice,
    Probe,
    ProbeAnswer,
    Pulse,
    RequestHead,
    ResponseHead,
    Suspect,
    Window,
)

MAX_FRAME_BYTES = 1024 * 1024
LENGTH_BYTES = 4

capnp.remove_import_hook()
with as_file(files("radishshunt.wire") / "radishshunt.capnp") as _path:
    _schema = capnp.load(str(_path))
_Frame = _schema.Frame

# Field names of the messages whose fields are all plain numbers and texts.
_PLAIN: dict[type, tuple[str, tuple[tuple[str, str], ...]]] = {
    Hello: (
        "hello",
        (
            ("protocol", "protocol"),
            ("host", "host"),
            ("incarnation", "incarnation"),
            ("domain", "domain"),
        ),
    ),
    Failure: (
        "failure",
        (
            ("outcome", "outcome"),
            ("reason", "reason"),
            ("detail", "detail"),
            ("status", "status"),
            ("retry_after", "retryAfter"),
        ),
    ),
    Probe: ("probe", (("host", "host"),)),
    Pulse: (
        "pulse",
        (("sent_at", "sentAt"), ("echo", "echo"), ("catalog_version", "catalogVersion")),
    ),
    ProbeAnswer: ("probeAnswer", (("heard_at", "heardAt"),)),
    Document: ("document", (("name", "name"), ("version", "version"), ("content", "content"))),
    IntentFetch: (
        "intentFetch",
        (
            ("service", "service"),
            ("group", "group"),
            ("generation", "generation"),
            ("sequence", "sequence"),
        ),
    ),
    Notice: (
        "notice",
        (
            ("kind", "kind"),
            ("service", "service"),
            ("group", "group"),
            ("generation", "generation"),
            ("deadline", "deadline"),
        ),
    ),
    Announce: ("announce", (("name", "name"), ("version", "version"), ("content", "content"))),
}
_PLAIN_BY_NAME = {name: (cls, fields) for cls, (name, fields) in _PLAIN.items()}
_SCALARS: dict[type, tuple[str, str]] = {
    Chunk: ("chunk", "data"),
    Window: ("window", "size"),
    Acknowledge: ("acknowledge", "accepted"),
    Fetch: ("fetch", "name"),
}
_SCALARS_BY_NAME = {name: (cls, attr) for cls, (name, attr) in _SCALARS.items()}
_EMPTY: dict[type, str] = {End: "end", Cancel: "cancel"}
_EMPTY_BY_NAME = {name: cls for cls, name in _EMPTY.items()}


def encode(stream: int, msg: Message) -> bytes:
    """Return a frame with its length in front.

    :param stream: Stream of the connection that the message belongs to.
    :raises ProtocolError: If the frame would be larger than :data:`MAX_FRAME_BYTES`.
    """
    frame = _Frame.new_message()
    frame.stream = stream
    _fill(frame, msg)
    data = frame.to_bytes()
    if len(data) > MAX_FRAME_BYTES:
        raise ProtocolError(f"frame of {len(data)} bytes is larger than {MAX_FRAME_BYTES}")
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


def decode(data: bytes) -> tuple[int, Message]:
    """Read one frame without its length.

    :return: Stream number and message.
    :raises ProtocolError: If the bytes are no valid frame.
    """
    try:
        with _Frame.from_bytes(data) as frame:
            return frame.stream, _read(frame)
    except ProtocolError:
        raise
    except Exception as exc:  # pycapnp raises several kinds, none of them public
        raise ProtocolError(f"malformed frame: {str(exc)[:200]}") from exc


def _fill(frame: Any, msg: Message) -> None:
    cls = type(msg)
    if cls in _SCALARS:
        name, attr = _SCALARS[cls]
        setattr(frame, name, getattr(msg, attr))
    elif cls in _EMPTY:
        setattr(frame, _EMPTY[cls], None)
    elif cls in _PLAIN:
        name, fields = _PLAIN[cls]
        part = frame.init(name)
        for attr, field in fields:
            setattr(part, field, getattr(msg, attr))
    elif isinstance(msg, RequestHead):
        _fill_request(frame.init("requestHead"), msg)
    elif isinstance(msg, ResponseHead):
        part = frame.init("responseHead")
        part.status = msg.status
        _fill_headers(part, msg.headers)
    elif isinstance(msg, Heartbeat):
        _fill_heartbeat(frame.init("heartbeat"), msg)
    elif isinstance(msg, Intents):
        _fill_intents(frame.init("intents"), msg)
    else:
        raise ProtocolError(f"{cls.__name__} is not a message")


def _read(frame: Any) -> Message:
    name = frame.which()
    name = str(name)
    if name in _SCALARS_BY_NAME:
        cls, attr = _SCALARS_BY_NAME[name]
        value = getattr(frame, name)
        return cls(bytes(value) if cls is Chunk else value)
    if name in _EMPTY_BY_NAME:
        return _EMPTY_BY_NAME[name]()
    if name in _PLAIN_BY_NAME:
        cls, fields = _PLAIN_BY_NAME[name]
        part = getattr(frame, name)
        return cls(**{attr: getattr(part, field) for attr, field in fields})
    if name == "requestHead":
        return _read_request(frame.requestHead)
    if name == "responseHead":
        part = frame.responseHead
        return ResponseHead(part.status, _read_headers(part.headers))
    if name == "heartbeat":
        return _read_heartbeat(frame.heartbeat)
    if name == "intents":
        return _read_intents(frame.intents)
    raise ProtocolError(f"unknown message {name}")


def _fill_headers(part: Any, headers: Headers) -> None:
    items = part.init("headers", len(headers))
    for item, (name, value) in zip(items, headers, strict=True):
        item.name = name
        item.value = value


def _read_headers(items: Any) -> Headers:
    return [(item.name, item.value) for item in items]


def _fill_request(part: Any, msg: RequestHead) -> None:
    part.id = msg.id
    part.service = msg.service
    part.key = msg.key
    part.method = msg.method
    part.path = msg.path
    _fill_headers(part, msg.headers)
    part.deadline = msg.deadline
    part.idempotencyKey = msg.idempotency_key
    part.group = msg.group
    part.query = msg.query


def _read_request(part: Any) -> RequestHead:
    return RequestHead(
        id=part.id,
        service=part.service,
        key=part.key,
        method=part.method,
        path=part.path,
        headers=_read_headers(part.headers),
        deadline=part.deadline,
        idempotency_key=part.idempotencyKey,
        group=part.group,
        query=part.query,
    )


def _fill_heartbeat(part: Any, msg: Heartbeat) -> None:
    part.host = msg.host
    part.incarnation = msg.incarnation
    part.domain = msg.domain
    part.address = msg.address
    part.catalogVersion = msg.catalog_version
    part.leaving = msg.leaving
    part.sentAt = msg.sent_at
    part.platformSeenAt = msg.platform_seen_at
    part.rowsDigest = msg.rows_digest
    part.membersDigest = msg.members_digest
    part.echo = msg.echo
    for item, member in zip(part.init("members", len(msg.members)), msg.members, strict=True):
        item.host = member.host
        item.incarnation = member.incarnation
        item.domain = member.domain
        item.address = member.address
        item.state = int(member.state)
        item.at = member.at
    for item, group in zip(part.init("groups", len(msg.groups)), msg.groups, strict=True):
        item.service = group.service
        item.group = group.group
        item.generation = group.generation
        item.load = group.load
    for item, suspect in zip(part.init("suspects", len(msg.suspects)), msg.suspects, strict=True):
        item.fingerprint = suspect.fingerprint
        item.deaths = suspect.deaths
        item.idempotencyKey = suspect.idempotency_key
        item.expiresAt = suspect.expires_at


def _read_heartbeat(part: Any) -> Heartbeat:
    return Heartbeat(
        host=part.host,
        incarnation=part.incarnation,
        domain=part.domain,
        address=part.address,
        catalog_version=part.catalogVersion,
        groups=[GroupState(g.service, g.group, g.generation, g.load) for g in part.groups],
        suspects=[
            Suspect(s.fingerprint, list(s.deaths), s.idempotencyKey, s.expiresAt)
            for s in part.suspects
        ],
        leaving=part.leaving,
        sent_at=part.sentAt,
        platform_seen_at=part.platformSeenAt,
        rows_digest=part.rowsDigest,
        members_digest=part.membersDigest,
        members=[
            Member(m.host, m.incarnation, m.domain, m.address, m.state, m.at) for m in part.members
        ],
        echo=part.echo,
    )


def _fill_intents(part: Any, msg: Intents) -> None:
    part.service = msg.service
    part.group = msg.group
    part.generation = msg.generation
    part.source = msg.source
    part.sequence = msg.sequence
    part.complete = msg.complete
    records = part.init("records", len(msg.records))
    for item, record in zip(records, msg.records, strict=True):
        _fill_intent(item, record)


def _read_intents(part: Any) -> Intents:
    return Intents(
        service=part.service,
        group=part.group,
        generation=part.generation,
        source=part.source,
        sequence=part.sequence,
        complete=part.complete,
        records=[_read_intent(item) for item in part.records],
    )


def _fill_intent(part: Any, msg: Intent) -> None:
    part.service = msg.service
    part.group = msg.group
    part.generation = msg.generation
    part.idempotencyKey = msg.idempotency_key
    part.fingerprint = msg.fingerprint
    part.createdAt = msg.created_at
    part.state = msg.state
    part.status = msg.status
    _fill_headers(part, msg.headers)
    part.body = msg.body


def _read_intent(part: Any) -> Intent:
    return Intent(
        service=part.service,
        group=part.group,
        generation=part.generation,
        idempotency_key=part.idempotencyKey,
        fingerprint=part.fingerprint,
        created_at=part.createdAt,
        state=part.state,
        status=part.status,
        headers=_read_headers(part.headers),
        body=bytes(part.body),
    )
