"""Tests of compact maps from slices to their assignments."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from radishshunt.slices import SliceAssignment, SliceMap, from_ranges, to_ranges

NAMES = st.sampled_from(["permits-01", "permits-02", "permits-03"])
ASSIGNMENTS = st.dictionaries(
    st.integers(0, 65535), st.builds(SliceAssignment, NAMES, st.none() | NAMES), max_size=200
)


@given(ASSIGNMENTS)
def test_map_equals_the_dictionary_it_was_built_from(assignments: dict) -> None:
    """Guards against a compact representation that changes the owner of a slice."""
    compact = SliceMap(assignments)
    assert dict(compact.items()) == assignments
    assert compact == assignments
    assert [compact[number] for number in sorted(assignments)] == list(compact.values())
    assert 65536 not in compact


@given(ASSIGNMENTS)
def test_document_is_read_back_unchanged(assignments: dict) -> None:
    """Guards against rows that other hosts read differently from what was written."""
    doc = json.loads(json.dumps(SliceMap(assignments).to_document()))
    assert SliceMap.from_document(doc) == assignments


@given(st.sets(st.integers(0, 300)))
def test_ranges_hold_exactly_the_numbers(numbers: set[int]) -> None:
    """Guards against slices that are missing from the ranges."""
    assert list(from_ranges(to_ranges(sorted(numbers)))) == sorted(numbers)


@pytest.mark.parametrize("codes", ["", "AQA=", "AAAAAA=="])
def test_inconsistent_document_is_refused(codes: str) -> None:
    """Guards against a corrupt row that silently loses or adds assignments."""
    doc = {"pairs": [["permits-01", None]], "ranges": [[4, 4]], "codes": codes}
    with pytest.raises(ValueError):
        SliceMap.from_document(doc)
