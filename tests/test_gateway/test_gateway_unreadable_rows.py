"""Rows of the store that cannot be read."""

from __future__ import annotations

import json
from random import Random
from typing import TYPE_CHECKING

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishshunt.clock import TrioClock
from radishshunt.gateway.key_maps import encode_key_map_rows
from radishshunt.gateway.leader_row import LEADER_KEY, Leader, encode_leader
from radishshunt.gateway.model import LAST_KEY, KeyMap, KeyRange
from radishshunt.gateway.rows import Topic
from radishshunt.gateway.view import View
from radishshunt.platform.catalog import CatalogReader
from tests.test_gateway.conftest import CONFIGURATION, apply_row, entry_value

if TYPE_CHECKING:
    from collections.abc import Callable

NESTED = [b'{"Info":' * 2000, b"[" * 60_000, b'{"a":' * 10_000 + b"1" + b"}" * 10_000]
KEY_MAP = KeyMap((KeyRange(0, 999, "i-1", 1, 7, "127.0.0.1:9"), KeyRange(1000, LAST_KEY, "", 0, 8)))
PART_ROWS, _ = encode_key_map_rows("register", KEY_MAP, 2, 65536)
# A valid value of each kind of row, by topic and key.
VALUES: dict[tuple[Topic, str], bytes] = {
    (Topic.TARGETS, "i-1"): entry_value(),
    (Topic.OPERATOR, "config"): json.dumps(CONFIGURATION).encode(),
    (Topic.OPERATOR, "evacuate/munich"): b"{}",
    (Topic.OWN, LEADER_KEY): encode_leader(Leader("edge-2", "127.0.0.2:3", "t1")),
    **{(Topic.OWN, key): value for key, value in PART_ROWS.items()},
}
ROW_KEYS = sorted(VALUES, key=lambda key: (key[0].value, key[1]))
# Values of other types and out of range.
ODD_VALUES = [None, True, -1, 0.5, 10**30, 1e300, "", "1", "\x00", "²", [], {}, [[]], {"a": {}}]


def _scalars(doc: object) -> list[tuple[object, object]]:
    """Return the container and the key or index of each value in a document."""
    if isinstance(doc, dict):
        items = list(doc.items())
    elif isinstance(doc, list):
        items = list(enumerate(doc))
    else:
        return []
    return [(doc, key) for key, _ in items] + [
        place for _, value in items for place in _scalars(value)
    ]


def _spoil_field(value: bytes, rng: Random) -> bytes:
    """Replace or remove one value of a document."""
    doc = json.loads(value)
    places = _scalars(doc)
    if not places:
        return value
    container, key = rng.choice(places)
    if rng.random() < 0.2:
        del container[key]
    else:
        container[key] = rng.choice(ODD_VALUES)
    return json.dumps(doc).encode()


def _cut(value: bytes, rng: Random) -> bytes:
    return value[: rng.randrange(len(value) + 1)]


def _spoil_bytes(value: bytes, rng: Random) -> bytes:
    data = bytearray(value)
    for _ in range(rng.randrange(1, 4)):
        data[rng.randrange(len(data))] = rng.randrange(256)
    return bytes(data)


def _nest(value: bytes, rng: Random) -> bytes:
    """Insert a deeply nested value where a value of the document begins."""
    starts = [index + 1 for index, byte in enumerate(value) if byte in b":[,"] or [0]
    start = rng.choice(starts)
    return value[:start] + b"[" * rng.choice([900, 5_000, 50_000]) + value[start:]


def _check_other_rows(view: View) -> None:
    """Check that the rows that were applied before are still in force."""
    assert view.cfg is not None
    assert view.cfg.version == CONFIGURATION["Version"]
    assert [target.entry.id for target in view.targets_of("register")] == ["i-0"]
    assert view.leader.host == "edge-1"
    assert view.find_key_range("other", 5) == KEY_MAP.ranges[0]


def _view() -> View:
    """Return a view with a row of each kind."""
    view = View(CatalogReader(), TrioClock())
    apply_row(view, Topic.OPERATOR, "config", VALUES[Topic.OPERATOR, "config"], 1)
    apply_row(view, Topic.TARGETS, "i-0", entry_value("127.0.0.2:9"), 2)
    apply_row(view, Topic.OWN, LEADER_KEY, encode_leader(Leader("edge-1", "127.0.0.1:3", "t")), 3)
    rows, _ = encode_key_map_rows("other", KEY_MAP, 0, 65536)
    apply_row(view, Topic.OWN, *rows.popitem(), 4)
    return view


@pytest.mark.parametrize("value", NESTED, ids=["object", "list", "closed"])
@pytest.mark.parametrize(("topic", "key"), ROW_KEYS, ids=[key for _, key in ROW_KEYS])
async def test_row_that_is_nested_too_deep_does_not_end_a_host(
    autojump_clock: object, topic: Topic, key: str, value: bytes
) -> None:
    """Guards against processes of all hosts that end again and again because of one row."""
    view = _view()
    apply_row(view, topic, key, value, 10)
    _check_other_rows(view)
    if topic is Topic.TARGETS:
        return
    # The next version of the row is in force.
    apply_row(view, topic, key, VALUES[topic, key], 11)
    if key == LEADER_KEY:
        assert view.leader.host == "edge-2"


async def test_entry_that_is_overwritten_by_unreadable_bytes_names_no_target(
    autojump_clock: object,
) -> None:
    """Guards against requests to a target by an entry that another writer has replaced."""
    view = _view()
    apply_row(view, Topic.TARGETS, "i-1", entry_value(), 10)
    apply_row(view, Topic.TARGETS, "i-1", NESTED[0], 11)
    assert not view.may_use(view.targets["i-1"], owner=True)
    apply_row(view, Topic.TARGETS, "i-1", entry_value(Sequence=2), 12)
    assert view.may_use(view.targets["i-1"], owner=True)


@pytest.mark.parametrize("spoil", [_spoil_field, _cut, _spoil_bytes, _nest])
@given(st.sampled_from(ROW_KEYS), st.integers(0, 2**32))
@settings(max_examples=150, deadline=None)
def test_no_spoilt_row_raises_an_exception(
    spoil: Callable[[bytes, Random], bytes], row: tuple[Topic, str], seed: int
) -> None:
    """Guards against components that fail because of what another writer wrote."""
    topic, key = row
    view = View(CatalogReader(), _StoppedClock())
    apply_row(view, topic, key, VALUES[row], 1)
    apply_row(view, topic, key, spoil(VALUES[row], Random(seed)), 2)
    if topic is not Topic.OWN:
        return
    for index in view.key_maps.values():
        assert isinstance(index.key_map, KeyMap)
        assert index.find(5) is None or 5 in index.find(5)


class _StoppedClock(TrioClock):
    def now(self) -> float:
        return 0.0
