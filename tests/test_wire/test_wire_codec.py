"""Encoding of messages between hosts."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from radishshunt.errors import ProtocolError
from radishshunt.suspect import Suspect
from radishshunt.wire.codec import LENGTH_BYTES, MAX_FRAME_BYTES, decode, encode
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
    Heartbeat,
    Hello,
    Intent,
    IntentFetch,
    Intents,
    Member,
    Message,
    Probe,
    ProbeAnswer,
    Pulse,
    RequestHead,
    ResponseHead,
    Window,
)

MESSAGES: list[Message] = [
    Hello(1, "host-01", 2**62, "akl-a"),
    Heartbeat(
        "host-01",
        7,
        "akl-a",
        "127.0.0.1:1",
        3,
        [GroupState("permits", 2, 4, 0.5)],
        [Suspect(2**63, [2**62, 1], "key", 5.5)],
        True,
        1.25,
        1.5,
        2**64 - 1,
        2**63,
        [Member("host-02", 2**62, "akl-b", "127.0.0.2:1", 3, 2.25)],
        2.5,
    ),
    Pulse(1.25, 1.5, 7),
    RequestHead("id", "permits", "kauri 12", "POST", "/a?b=c", [("a", "b")], 1.5, "i", 9, True),
    ResponseHead(204, [("a", "1"), ("a", "2")]),
    Failure("not-run", "queue-full", "detail", 503, 1.5),
    Chunk(b"\x00\xff" * 10),
    End(),
    Cancel(),
    Window(65536),
    Probe("host-02"),
    ProbeAnswer(12.5),
    Intents(
        "permits",
        1,
        4,
        2**62,
        7,
        True,
        [Intent("permits", 1, 4, "k", 2**64 - 1, 1.5, "answered", 200, [("a", "b")], b"x")],
    ),
    IntentFetch("permits", 1, 4, 2),
    Acknowledge(True),
    Fetch("catalog"),
    Document("catalog", 3, b"{}"),
    Announce("row/permits/1", 3, b"{}"),
]


@pytest.mark.parametrize("msg", MESSAGES, ids=lambda msg: type(msg).__name__)
def test_message_survives_a_round_trip(msg: Message) -> None:
    """Guards against a field that encoding or decoding drops or swaps with another one."""
    frame = encode(11, msg)
    assert int.from_bytes(frame[:LENGTH_BYTES], "big") == len(frame) - LENGTH_BYTES
    assert decode(frame[LENGTH_BYTES:]) == (11, msg)


@given(st.binary(max_size=300))
def test_malformed_bytes_raise_only_protocol_errors(data: bytes) -> None:
    """Guards against malformed bytes from a peer that raise another exception in the reader."""
    with contextlib.suppress(ProtocolError):
        decode(data)


def test_frame_over_the_limit_is_rejected_before_sending() -> None:
    """Guards against sending a frame so large that the receiver closes the connection."""
    with pytest.raises(ProtocolError):
        encode(1, Chunk(b"x" * MAX_FRAME_BYTES))
