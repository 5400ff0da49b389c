"""Rows sent as differences between hosts."""

from __future__ import annotations

import pytest

from radishshunt.errors import ProtocolError
from radishshunt.gateway.key_maps import encode_key_map
from radishshunt.gateway.messages import News, decode, encode
from radishshunt.gateway.model import KeyMap, KeyRange
from radishshunt.gateway.row_deltas import RowHistory, expand
from radishshunt.gateway.rows import Change, Row, Topic

RANGES = 400


def key_map(moved: int, fence: int) -> bytes:
    """Return a key map of which one range has another owner and token."""
    ranges = tuple(
        KeyRange(
            number * 160,
            number * 160 + 159,
            f"i-{(number + (number == moved)) * 7919:010x}",
            1769141578000 + number,
            fence if number == moved else number,
            f"10.1.64.{number % 200}:8042",
        )
        for number in range(RANGES)
    )
    return encode_key_map(KeyMap(ranges, fence + 1))


def change(version: int, value: bytes) -> Change:
    return Change(Topic.OWN, (Row("keys/register", version, value),), version, whole=False)


@pytest.fixture
def history() -> RowHistory:
    history = RowHistory()
    history.encode([change(1, key_map(0, 1000))])
    return history


@pytest.fixture
def known() -> dict[str, Row]:
    return {"keys/register": Row("keys/register", 1, key_map(0, 1000))}


def test_one_move_costs_a_small_part_of_the_key_map(history, known) -> None:
    # Guards against sending the whole key map to every host with each move; with 59 hosts this was
    # most of the bytes between failure domains.
    new = key_map(7, 1001)
    encoded = history.encode([change(2, new)])
    assert len(encoded[0].rows[0].value) < len(new) / 10
    sent = decode(encode(News(True, 0.0, 59, encoded))[4:]).changes[0]
    assert expand(sent, known).rows == (Row("keys/register", 2, new),)


def test_receiver_that_missed_a_version_takes_no_difference(history, known) -> None:
    # Guards against a key map that is put together from the wrong basis.
    history.encode([change(2, key_map(7, 1001))])
    late = history.encode([change(3, key_map(8, 1002))])[0]
    with pytest.raises(ProtocolError):
        expand(late, known)


def test_receiver_that_is_ahead_leaves_a_difference_out(history, known) -> None:
    # Guards against a link that ends since its host has read the same change from the store.
    known["keys/register"] = Row("keys/register", 2, key_map(7, 1001))
    encoded = history.encode([change(2, key_map(7, 1001))])[0]
    assert expand(encoded, known).rows == ()


def test_changes_of_one_row_that_come_together_are_sent_once(history, known) -> None:
    # Guards against a difference to a version that no receiver has.
    encoded = history.encode([change(2, key_map(7, 1001)), change(3, key_map(8, 1002))])
    assert len(encoded) == 1
    assert expand(encoded[0], known).rows == (Row("keys/register", 3, key_map(8, 1002)),)


def test_large_frames_are_compressed_and_bounded(known) -> None:
    # Guards against a whole state that takes a host with a slow link many seconds, and against a
    # small frame that unpacks without bound.
    whole = Change(Topic.OWN, tuple(known.values()), 1, whole=True)
    frame = encode(News(True, 0.0, 59, (whole,)))
    assert len(frame) < len(known["keys/register"].value) / 2
    assert decode(frame[4:]).changes == (whole,)
