"""Messages between hosts that cannot be read."""

from __future__ import annotations

import math
from contextlib import suppress
from typing import TYPE_CHECKING

import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from radishshunt.clock import SystemClock
from radishshunt.errors import ProtocolError
from radishshunt.gateway.link_server import LinkServer
from radishshunt.gateway.messages import (
    LENGTH_BYTES,
    Hello,
    Report,
    StateUpdate,
    TargetWorkTime,
    decode,
    encode,
)
from radishshunt.gateway.rows import Change, Row, Topic
from radishshunt.gateway.suspect_exchange import SuspectExchange
from radishshunt.quarantine import Quarantine
from radishshunt.suspect import Suspect

if TYPE_CHECKING:
    from radishshunt.gateway.settings import HostSettings
    from radishshunt.gateway.view import View

CHANGE = Change(Topic.TARGETS, (Row("i-1", 5, b"{}"), Row("i-2", 6, None)), 7, whole=True)
SUSPECT = Suspect(1, [2], "", 3.0, [4], [5])
UPDATE = StateUpdate(
    leading=True,
    followed_age=0.1,
    hosts=3,
    changes=(CHANGE,),
    moving={"register": [(0, 9)]},
    overloaded={"i-1": 1.5},
    suspects=(SUSPECT,),
    backups=("127.0.0.1:3",),
)
REPORT = Report(
    "edge-2",
    {"register": {5: 2}},
    (TargetWorkTime("i-1", 0.1, 3, math.inf),),
    (SUSPECT,),
    Hello("127.0.0.2:3", "munich", 0.5, versions={Topic.OWN: 5}),
    7,
)
LARGE = StateUpdate(
    leading=True,
    followed_age=0.1,
    hosts=3,
    changes=(Change(Topic.OWN, (Row("a", 1, bytes(range(256)) * 40),), 1, whole=True),),
)
FRAMES = [encode(msg)[LENGTH_BYTES:] for msg in (UPDATE, REPORT, LARGE)]


@st.composite
def _spoilt_frames(draw: st.DrawFn) -> bytes:
    """Return a frame with a few other bytes, or a part of one."""
    data = bytearray(draw(st.sampled_from(FRAMES)))
    for _ in range(draw(st.integers(1, 6))):
        data[draw(st.integers(0, len(data) - 1))] = draw(st.integers(0, 255))
    return bytes(data[: draw(st.integers(0, len(data)) | st.just(len(data)))])


@given(st.binary(max_size=200) | _spoilt_frames())
@settings(max_examples=1500, deadline=None)
def test_any_frame_is_a_message_or_a_protocol_error(data: bytes) -> None:
    """Guards against an exception that ends the links of a host, and after some the host."""
    with suppress(ProtocolError):
        assert isinstance(decode(data), (StateUpdate, Report))


async def test_exception_in_one_link_leaves_the_others_open(
    autojump_clock: object, view: View, cfg: HostSettings
) -> None:
    """Guards against hosts that all lose the leader because of what one of them reports."""

    def on_report(report: Report) -> None:
        if report.host == "edge-2":
            raise OverflowError("number out of range")

    suspects = SuspectExchange(Quarantine(), SystemClock())
    server = LinkServer(cfg, view, lambda: True, on_report, suspects)
    async with trio.open_nursery() as nursery:
        ends = []
        for name in ("edge-2", "edge-3"):
            near, far = trio.testing.memory_stream_pair()
            far.socket = _Socket(far)
            nursery.start_soon(server._serve, far)
            await near.send_all(encode(Report(name, {}, hello=Hello(f"{name}:1"))))
            ends.append(near)
        await trio.sleep(0.5)
        assert server.hosts == 2
        nursery.cancel_scope.cancel()


class _Socket:
    """The part of a socket that a link uses."""

    def __init__(self, stream: trio.StapledStream) -> None:
        self._stream = stream

    def close(self) -> None:
        self._stream.send_stream.close()
        self._stream.receive_stream.close()
