"""Delta encoding of rows between hosts."""

from __future__ import annotations

import pytest

from radishshunt.errors import ProtocolError
from radishshunt.gateway.key_maps import encode_key_map
from radishshunt.gateway.messages import StateUpdate, decode, encode
from radishshunt.gateway.model import KeyMap, KeyRange
from radishshunt.gateway.row_deltas import DeltaEncoder, decode_deltas
from radishshunt.gateway.rows import Change, Row, Topic

RANGES = 400


def key_map(moved: int, fence: int) -> bytes:
    """Return a key map in which one range has another owner and fencing token."""
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
def encoder() -> DeltaEncoder:
    encoder = DeltaEncoder()
    encoder.encode([change(1, key_map(0, 1000))])
    return encoder


@pytest.fixture
def known() -> dict[str, Row]:
    return {"keys/register": Row("keys/register", 1, key_map(0, 1000))}


def test_one_move_is_sent_as_a_small_delta(encoder, known) -> None:
    # Guards against sending the complete key map to every host at each move, which with 59 hosts
    # caused most of the traffic between failure domains.
    new = key_map(7, 1001)
    encoded = encoder.encode([change(2, new)])
    assert len(encoded[0].rows[0].value) < len(new) / 10
    sent = decode(encode(StateUpdate(True, 0.0, 59, encoded))[4:]).changes[0]
    assert decode_deltas(sent, known).rows == (Row("keys/register", 2, new),)


def test_receiver_without_the_base_version_rejects_a_delta(encoder, known) -> None:
    # Guards against a key map that is decoded with the wrong base version.
    encoder.encode([change(2, key_map(7, 1001))])
    late = encoder.encode([change(3, key_map(8, 1002))])[0]
    with pytest.raises(ProtocolError):
        decode_deltas(late, known)


def test_receiver_that_has_the_row_version_skips_its_delta(encoder, known) -> None:
    # Guards against closing a link because its host has already read the change from the store.
    known["keys/register"] = Row("keys/register", 2, key_map(7, 1001))
    encoded = encoder.encode([change(2, key_map(7, 1001))])[0]
    assert decode_deltas(encoded, known).rows == ()


def test_changes_of_one_row_are_merged_into_one_delta(encoder, known) -> None:
    # Guards against a delta against a version that no receiver has.
    encoded = encoder.encode([change(2, key_map(7, 1001)), change(3, key_map(8, 1002))])
    assert len(encoded) == 1
    assert decode_deltas(encoded[0], known).rows == (Row("keys/register", 3, key_map(8, 1002)),)


def test_large_frames_are_compressed_and_bounded(known) -> None:
    # Guards against a complete state that takes many seconds on a slow link, and against a small
    # frame that decompresses to an unbounded size.
    whole = Change(Topic.OWN, tuple(known.values()), 1, whole=True)
    frame = encode(StateUpdate(True, 0.0, 59, (whole,)))
    assert len(frame) < len(known["keys/register"].value) / 2
    assert decode(frame[4:]).changes == (whole,)
