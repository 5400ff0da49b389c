"""What targets state about themselves in responses, while their entries do not show it."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import pytest
import trio

from radishshunt.clock import SystemClock
from radishshunt.errors import NotRun
from radishshunt.gateway.exchange import HttpResponse
from radishshunt.gateway.key_maps import KEY_MAP_PREFIX, encode_key_map
from radishshunt.gateway.model import LAST_KEY, KeyMap, KeyRange
from radishshunt.gateway.protocol import CallerRequest
from radishshunt.gateway.rows import Topic
from radishshunt.gateway.sender import Sender
from radishshunt.platform.target_protocol import HttpTargetProtocol
from radishshunt.quarantine import Quarantine
from tests.test_gateway.conftest import CONFIGURATION, apply_row, entry_value

if TYPE_CHECKING:
    from radishshunt.gateway.settings import HostSettings
    from radishshunt.gateway.view import View

ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Radishshunt-Server-Signature: s\r\n"
    b"X-Radishshunt-Attempt-Id: id\r\n%s\r\nok"
)


class _LeavingTarget:
    """A target whose answers state that it is leaving.

    :ivar requests: Number of requests received.
    """

    def __init__(self) -> None:
        self.requests = 0

    async def serve(self, stream: trio.SocketStream) -> None:
        while data := await stream.receive_some(65536):
            self.requests += data.count(b"\r\n\r\n")
            await stream.send_all(ANSWER % b"Server-Leaving: 1\r\n")


def _add_target(view: View, address: str) -> None:
    apply_row(view, Topic.OPERATOR, "config", json.dumps(CONFIGURATION).encode(), 1)
    apply_row(view, Topic.TARGETS, "i-1", entry_value(address), 2)
    key_map = KeyMap((KeyRange(0, LAST_KEY, "i-1", 1, 1),), 2)
    apply_row(view, Topic.OWN, KEY_MAP_PREFIX + "register", encode_key_map(key_map), 3)


async def _read(view: View, sender: Sender) -> object:
    now = trio.current_time()
    headers = [(b"host", b"a.example")]
    req = CallerRequest(
        "GET", "a.example", "/reads/1", b"/reads/1", headers, "id", 5, now, now + 0.5
    )
    route = view.find_route(req.host, req.path)
    assert route is not None
    assert view.cfg is not None
    try:
        return await sender.send(req, route, view.cfg.services["register"])
    except NotRun as exc:
        return exc


async def test_target_that_states_it_is_leaving_gets_no_requests_while_the_store_is_down(
    cfg: HostSettings, view: View, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against requests to a leaving target whose entry cannot tell it."""
    sender = Sender(cfg, view, HttpTargetProtocol(), Quarantine(), SystemClock())
    target = _LeavingTarget()
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    # Sockets are not idle for the test clock while their bytes are on the way.
    autojump_clock.autojump_threshold = 0.05
    _add_target(view, f"127.0.0.1:{listeners[0].socket.getsockname()[1]}")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, target.serve, listeners)
        assert isinstance(await _read(view, sender), HttpResponse)
        assert isinstance(await _read(view, sender), HttpResponse)
        await trio.sleep(cfg.bounds.drain_seconds)
        assert isinstance(await _read(view, sender), NotRun)
        assert target.requests == 2
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ("status", "headers", "leaving"),
    [
        (200, [], True),
        (503, [], True),
        (200, [(b"x-radishshunt-instance-id", b"i-1")], True),
        (200, [(b"x-radishshunt-instance-id", b"i-2")], False),
        (421, [], False),
        (421, [(b"x-radishshunt-instance-id", b"i-1")], True),
    ],
)
async def test_only_the_target_itself_states_that_it_is_leaving(
    view: View, status: int, headers: list[tuple[bytes, bytes]], leaving: bool
) -> None:
    """Guards against a target that counts as leaving because of another process at its address."""
    _add_target(view, "127.0.0.1:9")
    response = HttpResponse(status, [*headers, (b"server-leaving", b"1")], b"")
    statement = HttpTargetProtocol().statement(response, view.targets["i-1"].entry)
    assert (statement is not None) == leaving


async def test_later_entry_does_not_take_back_that_a_target_is_leaving(view: View) -> None:
    """Guards against an entry of before that puts a leaving target back into use."""
    _add_target(view, "127.0.0.1:9")
    response = HttpResponse(200, [(b"server-leaving", b"1")], b"")
    statement = HttpTargetProtocol().statement(response, view.targets["i-1"].entry)
    assert statement is not None
    view.record_statements((statement,), own=True)
    apply_row(view, Topic.TARGETS, "i-1", entry_value("127.0.0.1:9", Sequence=2), 4)
    assert view.targets["i-1"].leaving_since is not None
    apply_row(view, Topic.TARGETS, "i-1", None, 5)
    apply_row(view, Topic.TARGETS, "i-1", entry_value("127.0.0.1:9", Sequence=3), 6)
    assert view.targets["i-1"].leaving_since is not None
    apply_row(view, Topic.TARGETS, "i-1", entry_value("127.0.0.1:9", born=2), 7)
    assert view.targets["i-1"].leaving_since is None
