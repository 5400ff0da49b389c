"""The local view of a host, built from rows of the store."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import pytest
import trio

from radishshunt.gateway.rows import Change, Row, Topic
from tests.test_gateway.conftest import CONFIGURATION, apply_row, entry_value

if TYPE_CHECKING:
    from radishshunt.gateway.view import View


def _configuration(version: int, prefix: str = "/reads/") -> bytes:
    doc = json.loads(json.dumps(CONFIGURATION))
    doc["Version"] = version
    doc["Resources"][0]["Spec"]["Prefix"] = prefix
    return json.dumps(doc).encode()


async def test_older_configuration_is_ignored(autojump_clock: object, view: View) -> None:
    """Guards against a late row that replaces the configuration by an older version."""
    apply_row(view, Topic.OPERATOR, "config", _configuration(9), 10)
    apply_row(view, Topic.OPERATOR, "config", _configuration(7, "/old/"), 11)
    assert view.cfg is not None
    assert view.cfg.version == 9
    assert view.find_route("a.example", "/old/x") is None


async def test_longest_prefix_wins(autojump_clock: object, view: View) -> None:
    """Guards against a route that gets the requests of a route with a longer prefix."""
    doc = json.loads(_configuration(1))
    doc["Resources"][1]["Spec"]["Prefix"] = "/reads/fees/"
    apply_row(view, Topic.OPERATOR, "config", json.dumps(doc).encode(), 1)
    route = view.find_route("A.example:80", "/reads/fees/1")
    assert route is not None
    assert route.name == "fees"


@pytest.mark.parametrize(
    "value",
    [
        b"\xff\xfe",
        b"[]",
        b'{"Addr": 5}',
        entry_value(State="sleeping"),
        entry_value(Sequence="1"),
        entry_value("no-port"),
    ],
)
async def test_malformed_entry_is_ignored_and_other_targets_stay(
    autojump_clock: object, view: View, value: bytes
) -> None:
    """Guards against malformed entries of other writers that break the discovery of targets."""
    apply_row(view, Topic.TARGETS, "i-1", entry_value(), 1)
    apply_row(view, Topic.TARGETS, "i-2", value, 2)
    assert [target.entry.id for target in view.targets_of("register")] == ["i-1"]


async def test_draining_target_is_used_only_as_owner_and_for_a_limited_time(
    autojump_clock: object, view: View
) -> None:
    """Guards against requests to a draining target after 2 s."""
    apply_row(view, Topic.TARGETS, "i-1", entry_value(), 1)
    apply_row(view, Topic.TARGETS, "i-1", entry_value(State="draining"), 2)
    target = view.targets["i-1"]
    assert not view.may_use(target, owner=False)
    assert view.may_use(target, owner=True)
    await trio.sleep(1.9)
    assert not view.may_use(target, owner=True)


async def test_target_whose_entry_expired_in_an_outage_is_used_until_it_can_register_again(
    autojump_clock: object, view: View
) -> None:
    """Guards against dropping all targets whose entries expired during an outage of the store."""
    apply_row(view, Topic.TARGETS, "i-1", entry_value(), 1)
    view.record_store_answer()
    await trio.sleep(6.0)
    view.record_store_answer()
    apply_row(view, Topic.TARGETS, "i-1", None, 2)
    target = view.targets["i-1"]
    assert view.may_use(target, owner=False)
    await trio.sleep(1.9)
    assert not view.may_use(target, owner=False)


async def test_evacuated_domain_gets_no_new_requests(autojump_clock: object, view: View) -> None:
    """Guards against requests to a failure domain that operators evacuated."""
    apply_row(view, Topic.TARGETS, "i-1", entry_value(), 1)
    apply_row(view, Topic.OPERATOR, "evacuate/munich", b"{}", 2)
    assert not view.may_use(view.targets["i-1"], owner=False)
    apply_row(view, Topic.OPERATOR, "evacuate/munich", None, 3)
    assert view.may_use(view.targets["i-1"], owner=False)


async def test_targets_missing_from_a_complete_read_are_gone(
    autojump_clock: object, view: View
) -> None:
    """Guards against use of targets that left while the change history of the store was lost."""
    apply_row(view, Topic.TARGETS, "i-1", entry_value(), 1)
    apply_row(view, Topic.TARGETS, "i-2", entry_value(), 2)
    rows = (Row("i-2", 2, entry_value()),)
    view.apply(Change(Topic.TARGETS, rows, 5, whole=True))
    assert view.targets["i-1"].gone
    assert not view.targets["i-2"].gone
