"""Validation of release notes and their effect on the catalog."""

from __future__ import annotations

import pytest
import yaml

from radishshunt.errors import SettingsError
from radishshunt.release.catalog import Catalog, DomainState
from radishshunt.release.note import ReleaseNote, apply_note, parse_note

FIRST = """\
predecessor: 0
added:
  domains: [akl-a, akl-b]
  services:
    permits: {keyed: true}
  targets:
    permits-01: {service: permits, address: "127.0.0.1:9000", domain: akl-a}
    permits-02: {service: permits, address: "127.0.0.2:9000", domain: akl-b}
"""


def test_all_problems_are_reported_with_line_and_path() -> None:
    """Guards against validation that stops at the first problem of a note."""
    text = FIRST.replace("keyed: true", "keyed: perhaps").replace('"127.0.0.1:9000"', "nowhere")
    with pytest.raises(SettingsError) as caught:
        parse_note(text, "note.yaml")
    assert [p.split(": ")[0:2] for p in caught.value.problems] == [
        ["note.yaml:5", "added.services.permits.keyed"],
        ["note.yaml:7", "added.targets.permits-01.address"],
    ]


def test_taken_out_domain_gets_no_work_until_brought_back() -> None:
    """Guards against new work for a failure domain that operators have taken out."""
    catalog = apply_note(Catalog(), parse_note(FIRST))
    assert catalog.takes_work("permits-01")
    out = apply_note(catalog, parse_note("predecessor: 1\ntaken_out: {domains: [akl-a]}"))
    assert out.domains["akl-a"] is DomainState.OUT
    assert not out.takes_work("permits-01")
    assert out.takes_work("permits-02")
    back = apply_note(out, parse_note("predecessor: 2\nbrought_back: {domains: [akl-a]}"))
    assert back.takes_work("permits-01")


def test_note_with_unknown_names_is_rejected_as_a_whole() -> None:
    """Guards against a partly applied note when some of its names are unknown."""
    note = parse_note("predecessor: 0\nwithdrawn: {targets: [x], services: [y]}")
    with pytest.raises(SettingsError) as caught:
        apply_note(Catalog(), note)
    assert len(caught.value.problems) == 2


INCONSISTENT = {
    "withdrawn: {services: [permits]}": "service permits is withdrawn",
    "withdrawn: {domains: [akl-a]}": "domain akl-a is withdrawn",
    "withdrawn: {targets: [permits-01, permits-02]}": "has no target in a domain that accepts work",
    "taken_out: {domains: [akl-a, akl-b]}": "has no target in a domain that accepts work",
    "added: {services: {documents: {keyed: false}}}": "documents: has no target in a domain",
    "changed: {targets: {permits-01: {address: '127.0.0.2:9000'}}}": "is already used by target",
    "changed: {services: {permits: {slices: 64}}}": "slices: cannot change",
    "changed: {services: {permits: {keyed: false}}}": "keyed: cannot change",
    "changed: {targets: {permits-01: {cold_slots: 4}}}": "cold_slots is larger than slots",
    "changed: {targets: {permits-01: {connections: 3}}}": "connections is not larger than slots",
    "{taken_out: {domains: [akl-a]}, brought_back: {domains: [akl-a]}}": "is taken out by the same",
    "taken_out: {domains: [akl-a, akl-a]}": "is listed more than once",
    "{withdrawn: {targets: [permits-01]}, added: {targets: {permits-01: "
    "{service: permits, address: '127.0.0.3:9000', domain: akl-a}}}}": "is withdrawn by the same",
    "{added: {targets: {permits-03: {service: permits, address: '127.0.0.3:9000', domain: "
    "akl-a}}}, changed: {targets: {permits-03: {slots: 2}}}}": "is added by the same note",
}


@pytest.mark.parametrize("part", INCONSISTENT)
def test_inconsistent_note_is_rejected(part: str) -> None:
    """Guards against accepting a note that contradicts itself or makes the catalog unusable."""
    catalog = apply_note(Catalog(), parse_note(FIRST))
    doc = yaml.safe_load(part)
    with pytest.raises(SettingsError) as caught:
        apply_note(catalog, ReleaseNote.model_validate({"predecessor": 1, **doc}))
    assert INCONSISTENT[part] in str(caught.value)


def test_repeating_the_number_of_slices_is_accepted() -> None:
    """Guards against rejecting a note that repeats an immutable member with its current value."""
    catalog = apply_note(Catalog(), parse_note(FIRST))
    note = parse_note("predecessor: 1\nchanged: {services: {permits: {slices: 1024}}}")
    assert apply_note(catalog, note).services == catalog.services
