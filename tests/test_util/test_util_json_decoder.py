"""Decoding of JSON that other processes have written."""

from __future__ import annotations

from contextlib import suppress
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from radishshunt.errors import ProtocolError
from radishshunt.util.json_decoder import JsonDecoder, convert

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda values: st.lists(values) | st.dictionaries(st.text(), values),
)


class _Model(msgspec.Struct):
    number: int = 0
    ratio: float = 0.0
    names: list[str] = []
    rest: dict[str, Any] = {}


@pytest.mark.parametrize("depth", [1_000, 30_000])
@pytest.mark.parametrize("opening", [b"[", b'{"rest":', b'{"other":'])
def test_value_that_is_nested_too_deep_is_a_protocol_error(opening: bytes, depth: int) -> None:
    """Guards against RecursionError, which no caller of a decoder expects."""
    with pytest.raises(ProtocolError):
        JsonDecoder(_Model).decode(opening * depth)


@given(st.binary() | st.text().map(str.encode))
def test_any_bytes_are_a_value_or_a_protocol_error(data: bytes) -> None:
    """Guards against an exception of a library that reaches the components of a host."""
    with suppress(ProtocolError):
        assert isinstance(JsonDecoder(_Model).decode(data), _Model)


@given(st.dictionaries(st.sampled_from(["number", "ratio", "names", "rest"]), JSON_VALUES))
def test_any_part_is_a_value_or_a_protocol_error(value: dict[str, Any]) -> None:
    """Guards against an exception of a library on a value of another type."""
    with suppress(ProtocolError):
        assert isinstance(convert(value, _Model), _Model)
