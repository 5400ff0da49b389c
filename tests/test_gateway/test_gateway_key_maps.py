"""Key maps as rows of the store."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from radishshunt.errors import ProtocolError
from radishshunt.gateway.key_maps import (
    KEY_MAP_PART_PREFIX,
    KEY_MAP_PREFIX,
    MAX_UNDIVIDED_BYTES,
    KeyMapRows,
    encode_key_map,
    encode_key_map_rows,
)
from radishshunt.gateway.model import KEY_COUNT, LAST_KEY, KeyMap, KeyRange

ROW_BYTES = 65536
ROW_KEY = KEY_MAP_PREFIX + "register"


def _key_map(count: int, targets: int = 620, seed: int = 1) -> KeyMap:
    """Return a key map with random ranges of random owners."""
    rng = Random(seed)
    firsts = [0, *sorted(rng.sample(range(1, KEY_COUNT), count - 1))]
    lasts = [first - 1 for first in firsts[1:]] + [LAST_KEY]
    ranges = []
    for fence, (first, last) in enumerate(zip(firsts, lasts, strict=True), 1):
        number = rng.randrange(targets)
        target, address = f"i-{number:010x}", f"10.4.{number // 250}.{number % 250}:8344"
        ranges.append(KeyRange(first, last, target, 1788582249927, fence, address))
    return KeyMap(tuple(ranges), count + 1)


def _apply(rows: KeyMapRows, written: dict[str, bytes]) -> None:
    for key, value in written.items():
        if key.startswith(KEY_MAP_PREFIX):
            rows.apply_index_row(key[len(KEY_MAP_PREFIX) :], value)
        else:
            rows.apply_part_row(key[len(KEY_MAP_PART_PREFIX) :], value)


def test_no_row_grows_past_the_bound_of_the_store() -> None:
    """Guards against a key map that the store refuses, so that no key can move any more.

    Seen in scale-1 of lsgb-gateway-large: 620 targets with three ranges each.
    """
    key_map = _key_map(3 * 620)
    assert len(encode_key_map(key_map)) > ROW_BYTES
    written, parts = encode_key_map_rows("register", key_map, 0, ROW_BYTES)
    assert parts > 1
    assert max(len(value) for value in written.values()) <= MAX_UNDIVIDED_BYTES


def test_divided_key_map_is_read_back() -> None:
    """Guards against a leader that grants keys by another map than the one that was written."""
    for seed in range(5):
        key_map = _key_map(900, seed=seed)
        written, _ = encode_key_map_rows("register", key_map, 0, ROW_BYTES)
        for order in (list(written.items()), list(reversed(written.items()))):
            rows = KeyMapRows()
            _apply(rows, dict(order))
            assert rows.indexes["register"].key_map == key_map
            for key in range(0, KEY_COUNT, 97):
                owner = next(item for item in key_map.ranges if key in item)
                found = rows.indexes["register"].find(key)
                assert found is not None
                assert (found.target, found.fence) == (owner.target, owner.fence)


def test_small_key_map_stays_in_one_row() -> None:
    """Guards against an earlier build that cannot read the map of a small service."""
    key_map = _key_map(90, targets=30)
    assert encode_key_map_rows("register", key_map, 0, ROW_BYTES) == (
        {ROW_KEY: encode_key_map(key_map)},
        0,
    )
    rows = KeyMapRows()
    rows.apply_index_row("register", encode_key_map(key_map))
    assert rows.indexes["register"].key_map == key_map


def test_move_of_a_range_changes_few_rows() -> None:
    """Guards against bytes to every host that grow with the number of targets."""
    key_map = _key_map(1860)
    written, parts = encode_key_map_rows("register", key_map, 0, ROW_BYTES)
    moved = replace(key_map.ranges[500], target="i-new", fence=9000)
    ranges = (*key_map.ranges[:500], moved, *key_map.ranges[501:])
    later, same_parts = encode_key_map_rows("register", KeyMap(ranges, 9001), parts, ROW_BYTES)
    assert same_parts == parts
    changed = [key for key, value in later.items() if written.get(key) != value]
    assert ROW_KEY in changed
    assert len(changed) <= 3


def test_parts_do_not_shrink_and_busy_parts_are_divided_further() -> None:
    """Guards against a part that many hot keys let grow past the bound of the store."""
    hot = [
        KeyRange(key, key, "i-hot", 1788582249927, key + 1, "10.4.0.1:8344") for key in range(900)
    ]
    ranges = (*hot, KeyRange(900, LAST_KEY, "i-cold", 1, 1000, "10.4.0.2:8344"))
    written, parts = encode_key_map_rows("register", KeyMap(ranges, 1001), 0, 20_000)
    assert max(len(value) for value in written.values()) <= 20_000
    fewer, same_parts = encode_key_map_rows("register", _key_map(4), parts, 20_000)
    assert same_parts == parts
    rows = KeyMapRows()
    _apply(rows, written)
    _apply(rows, fewer)
    assert rows.indexes["register"].key_map == _key_map(4)


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("register", b"[]"),
        ("register/4", b"[]"),
        ("register/4/4", b"[]"),
        ("register/9999/1", b"[]"),
        ("register/4/0", b"{"),
        ("register/4/0", b'{"owners":[],"ranges":[[0,16383,0,1]]}'),
        ("register/4/0", b'{"owners":[["i-1",1,""]],"ranges":[[0,16382,0,1]]}'),
        ("register/4/1", b'{"owners":[["i-1",1,""]],"ranges":[[0,16383,0,1]]}'),
        ("register/4/0", b'{"owners":[["i-1",1,""]],"ranges":[[0,5]]}'),
    ],
)
def test_malformed_part_is_refused(key: str, value: bytes) -> None:
    """Guards against keys that are routed by a part of the map that could not be read."""
    rows = KeyMapRows()
    with pytest.raises(ProtocolError):
        rows.apply_part_row(key, value)


def test_index_of_unknown_parts_names_no_owner() -> None:
    """Guards against an owner of another key while a part has not arrived yet."""
    key_map = _key_map(400)
    written, _ = encode_key_map_rows("register", key_map, 0, ROW_BYTES)
    rows = KeyMapRows()
    rows.apply_index_row("register", written[ROW_KEY])
    assert rows.indexes["register"].find(5) is None
    assert rows.indexes["register"].key_map == KeyMap((), 401)
