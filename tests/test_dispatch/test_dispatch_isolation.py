"""A dispatcher sends no new work while it cannot learn of withdrawn targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from radishshunt.app import Host
from radishshunt.clock import TrioClock
from radishshunt.contact import ISOLATION_SECONDS
from radishshunt.directory import Directory
from radishshunt.dispatch.group import GroupDispatcher
from radishshunt.errors import NotRun
from radishshunt.model import GroupId, GroupRow, HostInfo, HostRef, Request, body_of
from radishshunt.ownership import ServingGrant
from radishshunt.release.catalog import Catalog
from radishshunt.release.note import apply_note
from radishshunt.settings import LimitsSection, Settings
from tests.test_release.test_release_acceptance import FIRST_NOTE

if TYPE_CHECKING:
    import trio.testing


def make_request(deadline: float) -> Request:
    """Return a request with a deadline in seconds since the Unix epoch."""
    return Request("r1", "permits", "kauri", "GET", "/", [], body_of(b""), deadline)


async def test_isolated_dispatcher_sends_nothing(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against work for a target that was withdrawn while its dispatcher was isolated."""
    clock = TrioClock()
    directory = Directory()
    directory.update_catalog(apply_note(Catalog(), FIRST_NOTE))
    row = GroupRow(GroupId("permits", 0), 2, HostRef("a", 1), None, ("permits-01",))
    dispatcher = GroupDispatcher(row, 2, directory, LimitsSection(), clock)
    sent = []

    async def send(req: Request, *_args: object, **_options: object) -> str:
        sent.append(req.id)
        return "answer"

    monkeypatch.setattr(dispatcher._targets.clients["permits-01"], "send", send)
    serving = ServingGrant("permits-01", 4, clock.now() + 1.0)
    dispatcher.may_send = lambda now: False
    with pytest.raises(NotRun) as caught:
        await dispatcher._send(make_request(clock.now() + 1.0), b"", 0, serving)
    assert (caught.value.reason, sent) == ("isolated", [])
    dispatcher.may_send = lambda now: True
    await dispatcher._send(make_request(clock.now() + 1.0), b"", 0, serving)
    assert sent == ["r1"]


async def test_dispatchers_of_a_host_ask_its_contact(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a host that detects its isolation but still sends new work.

    This happens if its dispatchers do not ask the host's contact tracker before sending.
    """
    cfg = Settings.model_validate(
        {
            "host": {"name": "host-01", "domain": "akl-a"},
            "callers": {"address": "127.0.0.1:1"},
            "admin": {"address": "127.0.0.1:2", "token": "x" * 16},
            "peers": {"address": "127.0.0.1:3"},
            "platform": {"url": "http://127.0.0.1:4"},
        }
    )
    host = Host(cfg, clock=TrioClock())
    host.members.apply_host_list([HostInfo("host-02", "akl-b", "127.0.0.2:3")])
    now = host.clock.now()
    assert not host.dispatch.may_send(now)
    host.contact.record(now, 0)
    assert host.dispatch.may_send(now + ISOLATION_SECONDS)
    assert not host.dispatch.may_send(now + ISOLATION_SECONDS + 0.01)
