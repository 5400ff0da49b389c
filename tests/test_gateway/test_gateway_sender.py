"""Attempts and retries of a request at targets."""

from __future__ import annotations

import json
from contextlib import suppress
from typing import TYPE_CHECKING

import h11
import pytest
import trio

from radishshunt.clock import SystemClock, TrioClock
from radishshunt.errors import NotRun, OutcomeOfRequestUnknown
from radishshunt.gateway import target_pool
from radishshunt.gateway.exchange import HttpResponse
from radishshunt.gateway.key_maps import KEY_MAP_PREFIX, encode_key_map
from radishshunt.gateway.model import LAST_KEY, KeyMap, KeyRange
from radishshunt.gateway.protocol import CallerRequest
from radishshunt.gateway.rows import Change, Row, Topic
from radishshunt.gateway.sender import Sender, _Attempt
from radishshunt.gateway.view import View
from radishshunt.platform.catalog import CatalogReader
from radishshunt.platform.target_protocol import HttpTargetProtocol
from radishshunt.quarantine import Quarantine
from radishshunt.util.streams import connect
from radishshunt.workspaces.authentication import KeyRefusal
from tests.test_gateway.conftest import CONFIGURATION, apply_row, entry_value

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from radishshunt.gateway.settings import HostSettings

    Responder = Callable[[trio.SocketStream, int], Awaitable[bool]]

# Targets add the id of the request to each response, and their signature to each success.
ID = b"X-Radishshunt-Attempt-Id: id\r\n"
OK = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Radishshunt-Server-Signature: s\r\n"
    + ID
    + b"\r\nok"
)
REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nX-Radishshunt-Not-Executed: 1\r\n"
    b"X-Radishshunt-Server-Load: 1,0,3\r\n" + ID + b"\r\n"
)


class _Target:
    """A target on loopback that responds by calling a function.

    :param respond: Called with the stream and the number of the request; returns whether the
        connection stays open.
    :ivar requests: Number of requests received completely.
    """

    def __init__(self, respond: Responder) -> None:
        self.requests = 0
        self._respond = respond

    async def serve(self, stream: trio.SocketStream) -> None:
        http = h11.Connection(h11.SERVER)
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await stream.receive_some(65536))
            elif isinstance(event, h11.EndOfMessage):
                self.requests += 1
                if not await self._respond(stream, self.requests):
                    return
                http = h11.Connection(h11.SERVER)
            elif isinstance(event, h11.ConnectionClosed):
                return


def _request(path: str, seconds: float, body: bytes = b"") -> CallerRequest:
    now = trio.current_time()
    method = "POST" if body else "GET"
    headers = [(b"host", b"a.example")]
    return CallerRequest(
        method, "a.example", path, path.encode(), headers, "id", 5, now, now + seconds, body
    )


async def _send(
    cfg: HostSettings,
    target: _Target,
    req_path: str,
    seconds: float,
    body: bytes,
    *,
    retries: bool = True,
    stopping: bool = False,
    view: View | None = None,
    linger: float = 0.0,
    key_refusal: Callable[[], KeyRefusal | None] | None = None,
):
    view = view or View(CatalogReader(), TrioClock())
    sender = Sender(cfg, view, HttpTargetProtocol(), Quarantine(), SystemClock())
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    apply_row(view, Topic.OPERATOR, "config", json.dumps(CONFIGURATION).encode(), 1)
    apply_row(view, Topic.TARGETS, "i-1", entry_value(f"127.0.0.1:{port}"), 2)
    key_map = KeyMap((KeyRange(0, LAST_KEY, "i-1", 1, 1),), 2)
    apply_row(view, Topic.OWN, KEY_MAP_PREFIX + "register", encode_key_map(key_map), 3)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, target.serve, listeners)
        nursery.start_soon(sender.watch_silence)
        req = _request(req_path, seconds, body)
        req.key_refusal = key_refusal
        route = view.find_route(req.host, req.path)
        assert route is not None
        assert view.cfg is not None
        sender.stopping = stopping
        if not retries:
            while sender._budget(view.cfg.services["register"]).spend():
                pass
        try:
            return await sender.send(req, route, view.cfg.services["register"])
        except (NotRun, OutcomeOfRequestUnknown) as exc:
            return exc
        finally:
            await trio.sleep(linger)
            nursery.cancel_scope.cancel()


@pytest.mark.parametrize("size", [10, 100_000])
async def test_request_that_timed_out_at_a_target_may_have_run(
    cfg: HostSettings, size: int
) -> None:
    """Guards against reporting a request as not run that timed out while a target was running it.

    The sizes cover both ways of sending: before and while receiving the response.
    """

    async def respond(stream: trio.SocketStream, number: int) -> bool:
        await trio.sleep(5)
        return False

    target = _Target(respond)
    result = await _send(cfg, target, "/fees/1", 0.3, b"x" * size)
    assert isinstance(result, OutcomeOfRequestUnknown)
    assert result.status == 504


async def test_non_idempotent_request_is_not_sent_again_after_a_broken_connection(
    cfg: HostSettings,
) -> None:
    """Guards against running a non-idempotent request twice, such as charging a fee."""

    async def respond(stream: trio.SocketStream, number: int) -> bool:
        return False

    target = _Target(respond)
    result = await _send(cfg, target, "/fees/1", 0.5, b"fee")
    assert isinstance(result, OutcomeOfRequestUnknown)
    assert target.requests == 1


async def test_idempotent_request_is_sent_again_after_a_broken_connection(
    cfg: HostSettings,
) -> None:
    """Guards against failing an idempotent request because of one lost connection."""

    async def respond(stream: trio.SocketStream, number: int) -> bool:
        if number == 1:
            return False
        await stream.send_all(OK)
        return True

    target = _Target(respond)
    result = await _send(cfg, target, "/reads/1", 0.5, b"")
    assert result.status == 200
    assert target.requests == 2


async def test_refused_request_is_sent_again_to_a_target_with_free_slots(cfg: HostSettings) -> None:
    """Guards against rejecting a request when a target with free slots refuses some requests."""

    async def respond(stream: trio.SocketStream, number: int) -> bool:
        await stream.send_all(REFUSAL if number < 3 else OK)
        return True

    target = _Target(respond)
    result = await _send(cfg, target, "/fees/1", 0.5, b"fee")
    assert result.status == 200
    assert target.requests == 3


async def test_request_that_targets_refused_is_reported_as_not_run(cfg: HostSettings) -> None:
    """Guards against reporting an unknown outcome for a request that targets refused to run."""

    async def respond(stream: trio.SocketStream, number: int) -> bool:
        await stream.send_all(REFUSAL)
        return True

    result = await _send(cfg, _Target(respond), "/fees/1", 0.5, b"fee")
    assert isinstance(result, NotRun)
    assert result.retry_after is not None


async def test_read_on_a_connection_that_is_never_answered_is_sent_on_another_one(
    cfg: HostSettings,
) -> None:
    """Guards against a read that fails since its target could not queue it and stays silent."""

    async def respond(stream: trio.SocketStream, number: int) -> bool:
        if number == 1:
            await trio.sleep_forever()
        await stream.send_all(OK)
        return True

    started_at = trio.current_time()
    target = _Target(respond)
    result = await _send(cfg, target, "/reads/1", 3.0, b"")
    assert result.status == 200
    assert target.requests == 2
    assert trio.current_time() - started_at < 1.0


async def test_write_to_a_silent_target_is_sent_once_and_its_outcome_is_unknown(
    cfg: HostSettings,
) -> None:
    """Guards against a second fee: the silent target may still run the first one."""

    async def respond(stream: trio.SocketStream, number: int) -> bool:
        await trio.sleep_forever()
        return False

    target = _Target(respond)
    result = await _send(cfg, target, "/fees/1", 0.9, b"fee")
    assert isinstance(result, OutcomeOfRequestUnknown)
    assert target.requests == 1


async def test_read_without_a_retry_left_waits_for_its_slow_answer(cfg: HostSettings) -> None:
    """Guards against giving up a read that its target is working on, when it cannot be repeated.

    Seen in quiet-1 of lsgb-gateway-large: 68 reads of a day failed in this way.
    """

    async def respond(stream: trio.SocketStream, number: int) -> bool:
        await trio.sleep(0.8)
        await stream.send_all(OK)
        return True

    target = _Target(respond)
    result = await _send(cfg, target, "/reads/1", 3.0, b"", retries=False)
    assert result.status == 200
    assert target.requests == 1


async def test_reload_of_the_settings_permits_no_further_retries(
    autojump_clock: object, cfg: HostSettings, view: View
) -> None:
    """Guards against retries that multiply, as the settings files of all hosts change often."""
    sender = Sender(cfg, view, HttpTargetProtocol(), Quarantine(), SystemClock())
    apply_row(view, Topic.OPERATOR, "config", json.dumps(CONFIGURATION).encode(), 1)
    assert view.cfg is not None
    budget = sender._budget(view.cfg.services["register"])
    while budget.spend():
        pass
    sender.update_settings(cfg)
    assert not sender._budget(view.cfg.services["register"]).spend()


async def test_stopping_host_waits_for_the_slow_answer_of_a_read(cfg: HostSettings) -> None:
    """Guards against a planned stop that gives up requests at which targets are at work.

    Seen in scale-1, trouble-2 and trouble-3 of faelg-gw.
    """

    async def respond(stream: trio.SocketStream, number: int) -> bool:
        await trio.sleep(0.8)
        await stream.send_all(OK)
        return True

    target = _Target(respond)
    result = await _send(cfg, target, "/reads/1", 3.0, b"", stopping=True)
    assert result.status == 200
    assert target.requests == 1


@pytest.mark.parametrize(
    "second_answer", [REFUSAL, b"", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\no"]
)
async def test_read_gets_its_slow_answer_when_the_second_attempt_fails(
    cfg: HostSettings, second_answer: bytes
) -> None:
    """Guards against a host that gives up the attempt at which a target is at work for another one.

    Seen in a hunted day of totara-permits, where a stopping host answered 502 in its place.
    """

    async def respond(stream: trio.SocketStream, number: int) -> bool:
        if number == 1:
            await trio.sleep(0.8)
            await stream.send_all(OK)
        elif second_answer:
            await stream.send_all(second_answer)
        return number == 1

    target = _Target(respond)
    result = await _send(cfg, target, "/reads/1", 3.0, b"")
    assert result.status == 200
    assert target.requests >= 2


async def test_read_gets_its_slow_answer_when_its_key_loses_its_owner(cfg: HostSettings) -> None:
    """Guards against giving up a read at work when no target can take its second attempt."""
    view, answered = View(CatalogReader(), TrioClock()), trio.Event()

    async def respond(stream: trio.SocketStream, number: int) -> bool:
        apply_row(view, Topic.OWN, KEY_MAP_PREFIX + "register", encode_key_map(KeyMap((), 3)), 4)
        await trio.sleep(0.8)
        with suppress(trio.BrokenResourceError):
            await stream.send_all(OK)
            answered.set()
        return False

    result = await _send(cfg, _Target(respond), "/reads/1", 3.0, b"", view=view)
    assert answered.is_set()
    assert result.status == 200


async def test_silent_attempt_ends_once_the_second_one_is_answered(cfg: HostSettings) -> None:
    """Guards against a target that works on for an attempt whose request has been answered."""
    ended = trio.Event()

    async def respond(stream: trio.SocketStream, number: int) -> bool:
        if number == 1:
            with suppress(trio.BrokenResourceError):
                await stream.receive_some(1)
            ended.set()
            return False
        await stream.send_all(OK)
        with trio.fail_after(0.5):
            await ended.wait()
        return True

    result = await _send(cfg, _Target(respond), "/reads/1", 3.0, b"")
    assert result.status == 200
    assert ended.is_set()


async def test_both_attempts_end_at_the_deadline(cfg: HostSettings) -> None:
    """Guards against targets that work on for two attempts of a read that has been given up."""
    ended = 0

    async def respond(stream: trio.SocketStream, number: int) -> bool:
        nonlocal ended
        with suppress(trio.BrokenResourceError):
            await stream.receive_some(1)
        ended += 1
        return False

    target = _Target(respond)
    result = await _send(cfg, target, "/reads/1", 3.0, b"", linger=0.1)
    assert isinstance(result, OutcomeOfRequestUnknown)
    assert result.status == 504
    assert target.requests == ended == 2


async def test_answer_at_the_deadline_is_returned_though_another_attempt_still_runs(
    cfg: HostSettings, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against answering 504 in place of a response that has arrived.

    Seen in trouble-2 of totara-permits, seed 11, on the first trial of concurrent attempts.
    """

    async def exchange(sender: Sender, attempt: _Attempt, deadline: float) -> HttpResponse:
        if attempt.number == 1:
            sender._repeat(attempt, trio.current_time())
            await trio.sleep_forever()
        with trio.CancelScope(shield=True):
            await trio.sleep_until(deadline + 0.01)
        return HttpResponse(200, [], b"ok")

    async def respond(stream: trio.SocketStream, number: int) -> bool:
        return False

    monkeypatch.setattr(Sender, "_exchange", exchange)
    result = await _send(cfg, _Target(respond), "/reads/1", 0.3, b"")
    assert result.status == 200


async def test_second_copy_of_a_refusal_is_not_taken_for_the_answer_to_the_next_attempt(
    cfg: HostSettings,
) -> None:
    """Guards against a fee that runs twice, or that is reported as not run though it has run.

    The copy arrives when the same request has been sent to the same target again.
    """
    refused_on: list[trio.SocketStream] = []

    async def respond(stream: trio.SocketStream, number: int) -> bool:
        if stream in refused_on:
            await stream.send_all(REFUSAL)
        if number == 1:
            refused_on.append(stream)
            await stream.send_all(REFUSAL)
        else:
            await stream.send_all(OK)
        return True

    target = _Target(respond)
    result = await _send(cfg, target, "/fees/1", 0.9, b"fee")
    assert result.status == 200
    assert target.requests == 2


@pytest.mark.parametrize("checks", [0, 1, 2, 3, 4, 5])
@pytest.mark.parametrize("first_answer", [REFUSAL, b""])
async def test_request_is_not_sent_again_after_its_key_was_removed(
    cfg: HostSettings, checks: int, first_answer: bytes
) -> None:
    """Guards against a repeat of a request after the removal of its key, and false outcomes.

    The key is removed after some checks; there are three until the first send, two until the next.
    """
    left = checks

    def refusal() -> KeyRefusal | None:
        nonlocal left
        left -= 1
        return KeyRefusal("key-removed", "removed", 0.1) if left < 0 else None

    async def respond(stream: trio.SocketStream, number: int) -> bool:
        await stream.send_all(first_answer if number == 1 else OK)
        return bool(first_answer)

    target = _Target(respond)
    result = await _send(cfg, target, "/reads/1", 0.9, b"", key_refusal=refusal)
    assert target.requests == (0 if checks < 3 else 1 if checks < 5 else 2)
    if checks == 5:
        assert result.status == 200
        return
    assert result.reason == "key-removed"
    assert isinstance(result, OutcomeOfRequestUnknown) == (checks >= 3 and not first_answer)


async def test_target_that_left_while_a_connection_was_opened_gets_no_request(
    cfg: HostSettings, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against requests after the use of a target has ended, by slow connections."""
    view = View(CatalogReader(), TrioClock())

    async def connect_slowly(address: str, seconds: float) -> trio.SocketStream:
        row = Row("i-1", 9, entry_value(address, State="draining"), changed_after=left_at)
        view.apply(Change(Topic.TARGETS, (row,), 9, whole=False))
        assert view.may_use(view.targets["i-1"], owner=True)
        await trio.sleep(0.3)
        return await connect(address, seconds)

    async def respond(stream: trio.SocketStream, number: int) -> bool:
        await stream.send_all(OK)
        return True

    left_at = view.clock.now() - 1.4
    monkeypatch.setattr(target_pool, "connect", connect_slowly)
    target = _Target(respond)
    result = await _send(cfg, target, "/reads/1", 0.6, b"", view=view)
    assert isinstance(result, NotRun)
    assert target.requests == 0
