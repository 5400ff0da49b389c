"""Checks and effect of release notes."""

from __future__ import annotations

import pytest

from radishshunt.errors import SettingsError
from radishshunt.release.catalog import Catalog, DomainState
from radishshunt.release.note import apply_note, parse_note

FIRST = """\
predecessor: 0
added:
  domains: [akl-a]
  services:
    permits: {keyed: true}
  targets:
    permits-01: {service: permits, address: "127.0.0.1:9000", domain: akl-a}
"""


def test_all_problems_are_reported_with_line_and_path() -> None:
    """Guards against operators who find one problem at a time."""
    text = FIRST.replace("keyed: true", "keyed: perhaps").replace('"127.0.0.1:9000"', "nowhere")
    with pytest.raises(SettingsError) as caught:
        parse_note(text, "note.yaml")
    assert [p.split(": ")[0:2] for p in caught.value.problems] == [
        ["note.yaml:5", "added.services.permits.keyed"],
        ["note.yaml:7", "added.targets.permits-01.address"],
    ]


def test_taken_out_domain_takes_no_work_until_brought_back() -> None:
    """Guards against work for a failure domain that operators took out."""
    catalog = apply_note(Catalog(), parse_note(FIRST))
    assert catalog.takes_work("permits-01")
    out = apply_note(catalog, parse_note("predecessor: 1\ntaken_out: {domains: [akl-a]}"))
    assert out.domains["akl-a"] is DomainState.OUT
    assert not out.takes_work("permits-01")
    back = apply_note(out, parse_note("predecessor: 2\nbrought_back: {domains: [akl-a]}"))
    assert back.takes_work("permits-01")


def test_note_that_names_unknown_things_is_refused_as_a_whole() -> None:
    """Guards against a note of which only a part takes effect."""
    note = parse_note("predecessor: 0\nwithdrawn: {targets: [x], services: [y]}")
    with pytest.raises(SettingsError) as caught:
        apply_note(Catalog(), note)
    assert len(caught.value.problems) == 2
