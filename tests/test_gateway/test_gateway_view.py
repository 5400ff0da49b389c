"""The local view of a host, built from rows of the store."""

from __future__ import annotations

import json

import pytest
import trio

from radishshunt.gateway.key_maps import encode_key_map
from radishshunt.gateway.model import LAST_KEY, KeyMap, KeyRange
from radishshunt.gateway.rows import RESTORE_SHIFT, Change, Row, Topic
from radishshunt.gateway.view import RESTORED_ROW_HEARTBEATS, View
from radishshunt.platform.catalog import CatalogReader
from tests.test_gateway.conftest import CONFIGURATION, apply_row, entry_value


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


@pytest.mark.parametrize("value", [entry_value(State="draining"), None])
async def test_target_that_left_unheard_is_not_used_for_longer_than_others(
    autojump_clock: object, view: View, value: bytes | None
) -> None:
    """Guards against a time of use that starts when the host hears of a change, seconds late."""
    apply_row(view, Topic.TARGETS, "i-1", entry_value(), 1)
    view.freshness.record_read(Topic.TARGETS, view.clock.now())
    await trio.sleep(1.4)
    view.apply(Change(Topic.TARGETS, (Row("i-1", 2, value),), 2, whole=False))
    target = view.targets["i-1"]
    assert view.may_use(target, owner=True) == (value is not None)
    # Before two seconds after the earliest time at which it can have left.
    await trio.sleep(0.3)
    assert not view.may_use(target, owner=True)


async def test_change_that_is_heard_of_late_is_not_taken_for_a_new_one(
    autojump_clock: object, view: View
) -> None:
    """Guards against a time of use that starts late although nothing seemed to be missing."""
    apply_row(view, Topic.TARGETS, "i-1", entry_value(), 1)
    left_at = view.clock.now()
    await trio.sleep(0.6)
    view.freshness.record_read(Topic.TARGETS, view.clock.now())
    row = Row("i-1", 2, entry_value(State="draining"), changed_after=left_at)
    view.apply(Change(Topic.TARGETS, (row,), 2, whole=False))
    assert view.may_use(view.targets["i-1"], owner=True)
    await trio.sleep(1.1)
    assert not view.may_use(view.targets["i-1"], owner=True)


async def test_evacuation_that_is_heard_of_late_ends_the_use_of_owners_in_time(
    autojump_clock: object, view: View
) -> None:
    """Guards against requests to an evacuated domain beyond 5 s after an outage of the links."""
    apply_row(view, Topic.TARGETS, "i-1", entry_value(), 1)
    evacuated_at = view.clock.now()
    await trio.sleep(4.0)
    row = Row("evacuate/munich", 2, b"{}", changed_after=evacuated_at)
    view.apply(Change(Topic.OPERATOR, (row,), 2, whole=False))
    assert view.may_use(view.targets["i-1"], owner=True)
    await trio.sleep(0.7)
    assert not view.may_use(view.targets["i-1"], owner=True)


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


# With the view's default of one heartbeat a second.
RESTORED_ROW_SECONDS = RESTORED_ROW_HEARTBEATS


def _after_restore(version: int) -> int:
    """Return the version that a store restored once gives out."""
    return 1 << RESTORE_SHIFT | version


async def _follow_store(view: View, seconds: float) -> None:
    """Let the store answer for some seconds."""
    deadline = trio.current_time() + seconds
    while trio.current_time() < deadline:
        view.record_store_answer()
        view.settle_disputed_rows()
        await trio.sleep(0.2)


async def test_target_that_left_is_not_in_use_again_after_a_restore_of_the_store(
    autojump_clock: object, view: View
) -> None:
    """Guards against requests to a target that left, whose entry comes back with the copy."""
    apply_row(view, Topic.TARGETS, "i-1", entry_value(), 5)
    apply_row(view, Topic.TARGETS, "i-2", entry_value(), 6)
    apply_row(view, Topic.TARGETS, "i-2", entry_value(State="draining", Sequence=2), 8)
    apply_row(view, Topic.TARGETS, "i-1", None, 9)
    rows = tuple(Row(f"i-{n}", _after_restore(4 + n), entry_value()) for n in (1, 2))
    view.apply(Change(Topic.TARGETS, rows, _after_restore(7), whole=True))
    assert [view.targets[name].leaving_since is None for name in ("i-1", "i-2")] == [False, False]
    # A host that knows only the copy learns of the targets from this one.
    other = View(CatalogReader(), view.clock)
    other.apply(Change(Topic.TARGETS, rows, _after_restore(7), whole=True))
    for change in view.changes_since(other.versions):
        other.apply(change)
    assert other.targets["i-1"].gone
    assert other.targets["i-2"].gone


async def test_target_that_a_restored_store_keeps_is_in_use_again(
    autojump_clock: object, view: View
) -> None:
    """Guards against a live target that no host uses, since its entry had expired before."""
    apply_row(view, Topic.TARGETS, "i-1", entry_value(), 5)
    apply_row(view, Topic.TARGETS, "i-1", None, 9)
    row = Row("i-1", _after_restore(5), entry_value())
    view.apply(Change(Topic.TARGETS, (row,), _after_restore(7), whole=True))
    await _follow_store(view, RESTORED_ROW_SECONDS - 0.1)
    assert view.targets["i-1"].gone
    await _follow_store(view, 0.5)
    assert not view.targets["i-1"].gone


async def test_rows_missing_after_a_restore_of_the_store_stay_in_force_until_written_again(
    autojump_clock: object, view: View
) -> None:
    """Guards against targets and evacuations that are forgotten because the copy lacks them."""
    apply_row(view, Topic.OPERATOR, "config", _configuration(9), 4)
    apply_row(view, Topic.OPERATOR, "evacuate/munich", b"{}", 5)
    apply_row(view, Topic.TARGETS, "i-1", entry_value(), 6)
    config = Row("config", _after_restore(2), _configuration(8))
    view.apply(Change(Topic.OPERATOR, (config,), _after_restore(3), whole=True))
    view.apply(Change(Topic.TARGETS, (), _after_restore(3), whole=True))
    view.settle_disputed_rows()
    assert view.cfg is not None
    assert view.cfg.version == 9
    assert view.rows[Topic.OPERATOR]["config"].version == 4
    assert "munich" in view.evacuated
    assert not view.targets["i-1"].gone
    await _follow_store(view, RESTORED_ROW_SECONDS + 0.5)
    assert "munich" not in view.evacuated
    assert view.targets["i-1"].gone


async def test_own_rows_outlive_a_restore_of_the_store(autojump_clock: object, view: View) -> None:
    """Guards against a key map of the copy that replaces a newer one."""
    newer = KeyMap((KeyRange(0, LAST_KEY, "i-new", 1, 7),), 8)
    older = KeyMap((KeyRange(0, LAST_KEY, "i-old", 1, 3),), 4)
    apply_row(view, Topic.OWN, "keys/register", encode_key_map(newer), 9)
    apply_row(view, Topic.OWN, "keys/other", encode_key_map(newer), 9)
    copied = Row("keys/register", 5, encode_key_map(older))
    view.apply(Change(Topic.OWN, (copied,), _after_restore(6), whole=True))
    assert view.find_key_range("register", 0).target == "i-new"
    assert view.find_key_range("other", 0).target == "i-new"


@pytest.mark.parametrize("restored_again", [False, True])
async def test_evacuation_stays_in_force_while_nobody_can_write_it_again(
    autojump_clock: object, view: View, restored_again: bool
) -> None:
    """Guards against requests to an evacuated domain, as the store is away after its restore."""
    apply_row(view, Topic.OPERATOR, "evacuate/munich", b"{}", 5)
    view.apply(Change(Topic.OPERATOR, (), _after_restore(3), whole=True))
    await _follow_store(view, 1.0)
    if restored_again:
        await _follow_store(view, RESTORED_ROW_SECONDS - 1.5)
        view.apply(Change(Topic.OPERATOR, (), 2 << RESTORE_SHIFT | 3, whole=True))
    else:
        await trio.sleep(RESTORED_ROW_SECONDS)
    await _follow_store(view, 1.0)
    assert "munich" in view.evacuated
    await _follow_store(view, RESTORED_ROW_SECONDS)
    assert "munich" not in view.evacuated
