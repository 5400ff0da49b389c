"""Grants, renewals and releases of key ranges."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import replace
from itertools import count
from typing import TYPE_CHECKING

import h11
import pytest
import trio

from radishshunt.clock import TrioClock
from radishshunt.gateway import target_grants
from radishshunt.gateway.exchange import HttpResponse
from radishshunt.gateway.model import KeyRange, TargetEntry
from radishshunt.gateway.target_grants import CLOCK_DRIFT_FACTOR, FenceTooLow, TargetGrants
from radishshunt.platform.target_protocol import HttpTargetProtocol
from tests.test_gateway.conftest import PoolConnection

if TYPE_CHECKING:
    from collections.abc import Callable

    from radishshunt.gateway.exchange import OutgoingRequest
    from tests.test_gateway.conftest import FakeTargets

ADDRESS = "127.0.0.1:9"
ENTRY = TargetEntry("i-1", 1, "register", ADDRESS, "munich", 3, draining=False, cold_seconds=0)
KEY_RANGE = KeyRange(0, 99, "i-1", 1, fence=5)
GRANT = "/radishshunt/grant"
RELEASE = "/radishshunt/release"


def _target_grants(fake_targets: FakeTargets) -> TargetGrants:
    fake_targets.registrations[ADDRESS] = "i-1"
    return TargetGrants(ENTRY, HttpTargetProtocol(), TrioClock(), lambda: True, "/healthz")


async def test_renewal_in_flight_does_not_grant_a_released_range_again(
    autojump_clock: object, fake_targets: FakeTargets
) -> None:
    """Guards against two owners: a renewal of the whole range arrived after the release."""
    grants = _target_grants(fake_targets)
    await grants.grant(KEY_RANGE, 4.0, "")
    fake_targets.delays[GRANT] = 0.3
    async with trio.open_nursery() as nursery:
        nursery.start_soon(grants.renew, 4.0)
        await trio.sleep(0.1)
        granted_range = grants.stop_renewing(20, 39)
        assert granted_range is not None
        release = await grants.release(granted_range, lambda: 6)
    assert release.done
    await grants.renew(4.0)
    assert fake_targets.held_ranges(ADDRESS) == [(0, 19), (40, 99)]


async def test_another_process_at_the_address_gets_no_grant(
    autojump_clock: object, fake_targets: FakeTargets
) -> None:
    """Guards against a grant with a used token to a new process at the address of an ended one."""
    grants = _target_grants(fake_targets)
    grants.record_earlier_grant(KEY_RANGE, 0.0)
    fake_targets.registrations[ADDRESS] = "i-2"
    await grants.renew(4.0)
    assert grants.process_ended
    assert fake_targets.commands == []


async def test_release_after_an_unanswered_grant_raises_the_token_first(
    autojump_clock: object, fake_targets: FakeTargets
) -> None:
    """Guards against a grant that takes effect after the keys were granted to another target."""
    grants = _target_grants(fake_targets)
    fake_targets.unanswered.add(GRANT)
    assert not await grants.grant(KEY_RANGE, 4.0, "")
    fake_targets.unanswered.clear()
    granted_range = grants.stop_renewing(0, 99)
    assert granted_range is not None
    release = await grants.release(granted_range, lambda: 6)
    assert release.done
    assert fake_targets.fences("grant") == [5, 6]
    assert fake_targets.fences("release") == [6]


async def test_former_owner_refuses_renewals_by_a_leader_with_an_outdated_key_map(
    autojump_clock: object, fake_targets: FakeTargets
) -> None:
    """Guards against two owners, if a leader takes an older key map for the newest one."""
    grants = _target_grants(fake_targets)
    await grants.grant(KEY_RANGE, 4.0, "")
    granted_range = grants.stop_renewing(0, 99)
    assert granted_range is not None
    assert (await grants.release(granted_range, lambda: 6)).done
    outdated = _target_grants(fake_targets)
    outdated.record_earlier_grant(KEY_RANGE, 0.0)
    with pytest.raises(FenceTooLow):
        await outdated.renew(4.0)
    assert fake_targets.held_ranges(ADDRESS) == []


async def test_unreachable_target_does_not_hold_keys_for_longer_by_their_release(
    autojump_clock: object, fake_targets: FakeTargets
) -> None:
    """Guards against keys that have no owner for longer, because their token was raised."""
    grants = _target_grants(fake_targets)
    await grants.grant(KEY_RANGE, 4.5, "")
    await trio.sleep(1.0)
    fake_targets.unanswered |= {GRANT, RELEASE}
    granted_range = grants.stop_renewing(0, 99)
    assert granted_range is not None
    held_until = granted_range.expiry.until
    release = await grants.release(granted_range, lambda: 6)
    assert not release.done
    assert release.until <= held_until + 0.001


async def test_target_that_refuses_grants_releases_its_keys(
    autojump_clock: object, fake_targets: FakeTargets
) -> None:
    """Guards against a move that waits for the end of a grant, though the target has answered."""
    grants = _target_grants(fake_targets)
    await grants.grant(KEY_RANGE, 4.0, "")
    fake_targets.refuses_grants = True
    granted_range = grants.stop_renewing(0, 99)
    assert granted_range is not None
    assert (await grants.release(granted_range, lambda: 6)).done
    assert fake_targets.held_ranges(ADDRESS) == []


async def test_failed_release_returns_the_expiry_of_the_last_grant(
    autojump_clock: object, fake_targets: FakeTargets
) -> None:
    """Guards against keys that move before the grant of an unreachable target has expired."""
    grants = _target_grants(fake_targets)
    clock = TrioClock()
    await grants.grant(KEY_RANGE, 4.0, "")
    fake_targets.unanswered.add(RELEASE)
    granted_range = grants.stop_renewing(0, 99)
    assert granted_range is not None
    release = await grants.release(granted_range, lambda: 6)
    assert not release.done
    assert release.until >= clock.now() + 4.0 * CLOCK_DRIFT_FACTOR - 0.1


async def test_grant_with_a_higher_token_does_not_shorten_the_time_that_keys_may_be_held(
    autojump_clock: object, fake_targets: FakeTargets
) -> None:
    """Guards against moving keys that a target holds by a longer grant of before."""
    grants = _target_grants(fake_targets)
    clock = TrioClock()
    await grants.grant(KEY_RANGE, 7.5, "")
    granted_range = grants.stop_renewing(0, 99)
    assert granted_range is not None
    held_until = granted_range.expiry.until
    fake_targets.unanswered |= {GRANT, RELEASE}
    await grants.grant(replace(KEY_RANGE, fence=6), 4.5, "", held_until)
    granted_range = grants.stop_renewing(0, 99)
    assert granted_range is not None
    release = await grants.release(granted_range, lambda: 7)
    assert not release.done
    assert release.until >= clock.now() + 7.5 - 0.1


async def test_nothing_is_granted_without_the_lease(
    autojump_clock: object, fake_targets: FakeTargets
) -> None:
    """Guards against commands from a host whose lease has expired."""
    fake_targets.registrations[ADDRESS] = "i-1"
    grants = TargetGrants(ENTRY, HttpTargetProtocol(), TrioClock(), lambda: False, "/healthz")
    grants.record_earlier_grant(replace(KEY_RANGE), 0.0)
    await grants.renew(4.0)
    assert fake_targets.commands == []


async def test_keys_of_a_slow_target_that_closes_each_connection_are_released(
    autojump_clock: object, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against keys without an owner for seconds, as a leaving target takes no command."""

    class Connection:
        reusable = False

        async def exchange(self, _req: OutgoingRequest) -> HttpResponse:
            await trio.sleep(0.3)
            return HttpResponse(200, [(b"x-radishshunt-instance-id", b"i-1")], b"")

    class ClosingPool:
        def __init__(self, _address: str, verify: Callable) -> None:
            self._verify = verify

        async def exchange(self, _req: OutgoingRequest, *, repeatable: bool) -> HttpResponse:
            await self._verify(Connection())
            return HttpResponse(200, [], b"")

        async def acquire(self, _used: object, *, repeatable: bool) -> PoolConnection:
            return PoolConnection(self)

        def give_back(self, _conn: PoolConnection) -> None:
            pass

    monkeypatch.setattr(target_grants, "TargetPool", ClosingPool)
    grants = TargetGrants(ENTRY, HttpTargetProtocol(), TrioClock(), lambda: True, "/healthz")
    grants.record_earlier_grant(KEY_RANGE, 0.0)
    granted_range = grants.stop_renewing(0, 99)
    assert granted_range is not None
    release = await grants.release(granted_range, lambda: 6)
    assert release.done


@pytest.mark.parametrize("address", ["10.0..7:80", "a" * 300 + ":80", "127.0.0.1", "x:y"])
async def test_owner_whose_address_is_unusable_does_not_end_the_leader(
    autojump_clock: object, address: str
) -> None:
    """Guards against a leader that fails again and again because of one address in a key map."""
    entry = TargetEntry("i-1", 1, "register", address, "munich", 3, False, 0.0)
    clock = TrioClock()
    grants = TargetGrants(entry, HttpTargetProtocol(), clock, lambda: True, "/healthz")
    keys = KeyRange(0, 9, "i-1", 1, 5, address)
    assert not await grants.grant(keys, 1.0, "")
    await grants.renew(1.0)
    await grants.check_reachable()
    granted = grants.stop_renewing(0, 9)
    assert granted is not None
    assert not (await grants.release(granted, lambda: 6)).done
    grants.close()


class _CopyingTarget:
    """Target on loopback that sends second copies of its answers late.

    :param copied: Path whose answers are sent once more, when the next answer is expected.
    :ivar at_work_until: Time at which the work on released keys ends.
    """

    def __init__(self, copied: str) -> None:
        self.at_work_until = 0.0
        self._copied = copied

    async def serve(self, stream: trio.SocketStream) -> None:
        # Connections with unread bytes are reset.
        with suppress(trio.BrokenResourceError):
            await self._serve(stream)

    async def _serve(self, stream: trio.SocketStream) -> None:
        http, copy = h11.Connection(h11.SERVER), b""
        path = ""
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await stream.receive_some(65536))
            elif isinstance(event, h11.Request):
                path = event.target.decode()
            elif isinstance(event, h11.EndOfMessage):
                await stream.send_all(copy)
                answer = await self._answer(path)
                await stream.send_all(answer)
                copy = answer if path == self._copied else b""
                http = h11.Connection(h11.SERVER)
            elif isinstance(event, h11.ConnectionClosed):
                return

    async def _answer(self, path: str) -> bytes:
        headers = b"Content-Length: 0\r\nX-Radishshunt-Instance-Id: i-1\r\n"
        if path == RELEASE:
            await trio.sleep(0.2)
            self.at_work_until = trio.current_time()
            headers += b"X-Radishshunt-Handover: h\r\n"
        return b"HTTP/1.1 200 OK\r\n" + headers + b"\r\n"


@pytest.mark.parametrize("copied", ["/healthz", GRANT, RELEASE])
async def test_second_copy_of_an_answer_is_not_taken_for_the_answer_to_a_release(
    copied: str,
) -> None:
    """Guards against keys that get a new owner while the former one is at work on them."""
    target = _CopyingTarget(copied)
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
    entry = replace(ENTRY, address=address)
    grants = TargetGrants(entry, HttpTargetProtocol(), TrioClock(), lambda: True, "/healthz")
    fences = count(10)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, target.serve, listeners)
        for first in (0, 50, 100):
            keys = replace(KEY_RANGE, first=first, last=first + 49)
            assert await grants.grant(keys, 4.0, "")
            granted = grants.stop_renewing(keys.first, keys.last)
            assert granted is not None
            sent_at = trio.current_time()
            result = await grants.release(granted, lambda: next(fences))
            assert result.done
            assert result.handover == "h"
            assert sent_at < target.at_work_until <= trio.current_time()
        grants.close()
        nursery.cancel_scope.cancel()
