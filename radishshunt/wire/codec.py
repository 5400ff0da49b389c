"""Encoding of messages between hosts as Cap'n Proto frames."""

from __future__ import annotations

from importlib.resources import as_file, files
from typing import Any

import capnp

from radishshunt.errors import ProtocolError
from radishshunt.suspect import Suspect
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
    Window,
)

MAX_FRAME_BYTES = 1024 * 1024
LENGTH_BYTES = 4

capnp.remove_import_hook()
with as_file(files("radishshunt.wire") / "radishshunt.capnp") as _path:
    _schema = capnp.load(str(_path))
_Frame = _schema.Frame

# Messages whose fields are copied without conversion: name of the union member in the frame, and
# pairs of attribute and schema field.
_STRUCTS: dict[type, tuple[str, tuple[tuple[str, str], ...]]] = {
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
_STRUCTS_BY_NAME = {name: (cls, fields) for cls, (name, fields) in _STRUCTS.items()}
# Messages with one field, which the union holds directly: name of the union member, and attribute.
_SINGLE_FIELDS: dict[type, tuple[str, str]] = {
    Chunk: ("chunk", "data"),
    Window: ("window", "size"),
    Acknowledge: ("acknowledge", "accepted"),
    Fetch: ("fetch", "name"),
}
_SINGLE_FIELDS_BY_NAME = {name: (cls, attr) for cls, (name, attr) in _SINGLE_FIELDS.items()}
# Messages without fields.
_EMPTY: dict[type, str] = {End: "end", Cancel: "cancel"}
_EMPTY_BY_NAME = {name: cls for cls, name in _EMPTY.items()}


def encode(stream: int, msg: Message) -> bytes:
    """Return a message as a frame with its length prefix.

    :param stream: Number of the stream that the message belongs to.
    :raises ProtocolError: If the frame would exceed :data:`MAX_FRAME_BYTES`.
    """
    frame = _Frame.new_message()
    frame.stream = stream
    _write_message(frame, msg)
    data = frame.to_bytes()
    if len(data) > MAX_FRAME_BYTES:
        raise ProtocolError(
            f"frame of {len(data)} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes"
        )
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


def decode(data: bytes) -> tuple[int, Message]:
    """Decode one frame without its length prefix.

    :return: Stream number and message.
    :raises ProtocolError: If the bytes are not a valid frame.
    """
    try:
        with _Frame.from_bytes(data) as frame:
            return frame.stream, _read_message(frame)
    except ProtocolError:
        raise
    except Exception as exc:  # pycapnp raises several types, none of them public
        raise ProtocolError(f"malformed frame: {str(exc)[:200]}") from exc


def _write_message(frame: Any, msg: Message) -> None:
    cls = type(msg)
    if cls in _SINGLE_FIELDS:
        name, attr = _SINGLE_FIELDS[cls]
        setattr(frame, name, getattr(msg, attr))
    elif cls in _EMPTY:
        setattr(frame, _EMPTY[cls], None)
    elif cls in _STRUCTS:
        name, fields = _STRUCTS[cls]
        struct = frame.init(name)
        for attr, field in fields:
            setattr(struct, field, getattr(msg, attr))
    elif isinstance(msg, RequestHead):
        _write_request(frame.init("requestHead"), msg)
    elif isinstance(msg, ResponseHead):
        struct = frame.init("responseHead")
        struct.status = msg.status
        _write_headers(struct, msg.headers)
    elif isinstance(msg, Heartbeat):
        _write_heartbeat(frame.init("heartbeat"), msg)
    elif isinstance(msg, Intents):
        _write_intents(frame.init("intents"), msg)
    else:
        raise ProtocolError(f"{cls.__name__} is not a message type")


def _read_message(frame: Any) -> Message:
    name = frame.which()
    name = str(name)
    if name in _SINGLE_FIELDS_BY_NAME:
        cls, attr = _SINGLE_FIELDS_BY_NAME[name]
        value = getattr(frame, name)
        return cls(bytes(value) if cls is Chunk else value)
    if name in _EMPTY_BY_NAME:
        return _EMPTY_BY_NAME[name]()
    if name in _STRUCTS_BY_NAME:
        cls, fields = _STRUCTS_BY_NAME[name]
        struct = getattr(frame, name)
        return cls(**{attr: getattr(struct, field) for attr, field in fields})
    if name == "requestHead":
        return _read_request(frame.requestHead)
    if name == "responseHead":
        struct = frame.responseHead
        return ResponseHead(struct.status, _read_headers(struct.headers))
    if name == "heartbeat":
        return _read_heartbeat(frame.heartbeat)
    if name == "intents":
        return _read_intents(frame.intents)
    raise ProtocolError(f"unknown message type {name}")


def _write_headers(struct: Any, headers: Headers) -> None:
    items = struct.init("headers", len(headers))
    for item, (name, value) in zip(items, headers, strict=True):
        item.name = name
        item.value = value


def _read_headers(items: Any) -> Headers:
    return [(item.name, item.value) for item in items]


def _write_request(struct: Any, msg: RequestHead) -> None:
    struct.id = msg.id
    struct.service = msg.service
    struct.key = msg.key
    struct.method = msg.method
    struct.path = msg.path
    _write_headers(struct, msg.headers)
    struct.deadline = msg.deadline
    struct.idempotencyKey = msg.idempotency_key
    struct.group = msg.group
    struct.query = msg.query


def _read_request(struct: Any) -> RequestHead:
    return RequestHead(
        id=struct.id,
        service=struct.service,
        key=struct.key,
        method=struct.method,
        path=struct.path,
        headers=_read_headers(struct.headers),
        deadline=struct.deadline,
        idempotency_key=struct.idempotencyKey,
        group=struct.group,
        query=struct.query,
    )


def _write_heartbeat(struct: Any, msg: Heartbeat) -> None:
    struct.host = msg.host
    struct.incarnation = msg.incarnation
    struct.domain = msg.domain
    struct.address = msg.address
    struct.catalogVersion = msg.catalog_version
    struct.leaving = msg.leaving
    struct.sentAt = msg.sent_at
    struct.platformSeenAt = msg.platform_seen_at
    struct.rowsDigest = msg.rows_digest
    struct.membersDigest = msg.members_digest
    struct.echo = msg.echo
    for item, member in zip(struct.init("members", len(msg.members)), msg.members, strict=True):
        item.host = member.host
        item.incarnation = member.incarnation
        item.domain = member.domain
        item.address = member.address
        item.state = int(member.state)
        item.at = member.at
    for item, group in zip(struct.init("groups", len(msg.groups)), msg.groups, strict=True):
        item.service = group.service
        item.group = group.group
        item.generation = group.generation
        item.load = group.load
    for item, suspect in zip(struct.init("suspects", len(msg.suspects)), msg.suspects, strict=True):
        item.fingerprint = suspect.fingerprint
        item.deaths = suspect.deaths
        item.idempotencyKey = suspect.idempotency_key
        item.expiresAt = suspect.expires_at


def _read_heartbeat(struct: Any) -> Heartbeat:
    return Heartbeat(
        host=struct.host,
        incarnation=struct.incarnation,
        domain=struct.domain,
        address=struct.address,
        catalog_version=struct.catalogVersion,
        groups=[GroupState(g.service, g.group, g.generation, g.load) for g in struct.groups],
        suspects=[
            Suspect(s.fingerprint, list(s.deaths), s.idempotencyKey, s.expiresAt)
            for s in struct.suspects
        ],
        leaving=struct.leaving,
        sent_at=struct.sentAt,
        platform_seen_at=struct.platformSeenAt,
        rows_digest=struct.rowsDigest,
        members_digest=struct.membersDigest,
        members=[
            Member(m.host, m.incarnation, m.domain, m.address, m.state, m.at)
            for m in struct.members
        ],
        echo=struct.echo,
    )


def _write_intents(struct: Any, msg: Intents) -> None:
    struct.service = msg.service
    struct.group = msg.group
    struct.generation = msg.generation
    struct.source = msg.source
    struct.sequence = msg.sequence
    struct.complete = msg.complete
    records = struct.init("records", len(msg.records))
    for item, record in zip(records, msg.records, strict=True):
        _write_intent(item, record)


def _read_intents(struct: Any) -> Intents:
    return Intents(
        service=struct.service,
        group=struct.group,
        generation=struct.generation,
        source=struct.source,
        sequence=struct.sequence,
        complete=struct.complete,
        records=[_read_intent(item) for item in struct.records],
    )


def _write_intent(struct: Any, msg: Intent) -> None:
    struct.service = msg.service
    struct.group = msg.group
    struct.generation = msg.generation
    struct.idempotencyKey = msg.idempotency_key
    struct.fingerprint = msg.fingerprint
    struct.createdAt = msg.created_at
    struct.state = msg.state
    struct.status = msg.status
    _write_headers(struct, msg.headers)
    struct.body = msg.body


def _read_intent(struct: Any) -> Intent:
    return Intent(
        service=struct.service,
        group=struct.group,
        generation=struct.generation,
        idempotency_key=struct.idempotencyKey,
        fingerprint=struct.fingerprint,
        created_at=struct.createdAt,
        state=struct.state,
        status=struct.status,
        headers=_read_headers(struct.headers),
        body=bytes(struct.body),
    )
