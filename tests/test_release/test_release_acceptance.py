"""Acceptance of release notes with races, repeated submissions and platform faults."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from radishshunt.errors import (
    ConflictError,
    PlatformOutcomeUnknown,
    PlatformUnavailable,
    SettingsError,
)
from radishshunt.platform import Platform
from radishshunt.release import acceptance
from radishshunt.release.acceptance import (
    SNAPSHOT_INTERVAL_VERSIONS,
    Acceptance,
    history,
    load_catalog,
    load_current,
    submit,
)
from radishshunt.release.catalog import Catalog
from radishshunt.release.note import ReleaseNote, apply_note, parse_note
from tests.test_release.faults import Fault, faulty_platform

FIRST_NOTE = parse_note("""\
predecessor: 0
author: anna
added:
  domains: [akl-a, akl-b]
  services:
    permits: {keyed: true}
  targets:
    permits-01: {service: permits, address: "127.0.0.1:9000", domain: akl-a}
    permits-02: {service: permits, address: "127.0.0.2:9000", domain: akl-b}
""")


def change_note(predecessor: int, author: str, connections: int = 100) -> ReleaseNote:
    """Return a note that changes the number of connections of a target."""
    return ReleaseNote.model_validate(
        {
            "predecessor": predecessor,
            "author": author,
            "changed": {"targets": {"permits-01": {"connections": connections}}},
        }
    )


@dataclass
class Trace:
    """Answers to the submissions of a run.

    :ivar accepted: Notes that were reported as accepted, with the answer and the catalog.
    :ivar refused: Notes that were refused because another note has their version.
    :ivar ineffective: Notes whose submission was reported to have had no effect.
    :ivar unresolved: Notes whose outcome was reported as unknown.
    """

    accepted: list[tuple[ReleaseNote, Acceptance, Catalog]] = field(default_factory=list)
    refused: list[ReleaseNote] = field(default_factory=list)
    ineffective: list[ReleaseNote] = field(default_factory=list)
    unresolved: list[ReleaseNote] = field(default_factory=list)

    async def submit(self, platform: Platform, note: ReleaseNote) -> None:
        """Submit a note and record the answer."""
        try:
            answer, catalog = await submit(platform, note)
            self.accepted.append((note, answer, catalog))
        except ConflictError as exc:
            # A note that skips a version may be accepted later; one whose version is taken may not.
            (self.ineffective if "follows version" in str(exc) else self.refused).append(note)
        except (PlatformUnavailable, SettingsError):
            self.ineffective.append(note)
        except PlatformOutcomeUnknown:
            self.unresolved.append(note)


OPERATORS = st.lists(
    st.lists(
        st.tuples(
            st.integers(0, 3),  # predecessor
            st.sampled_from(["anna", "ben"]),
            st.integers(0, 2),  # pause before the submission, in half seconds
        ),
        max_size=4,
    ),
    min_size=1,
    max_size=4,
)
FAULTS = st.lists(st.sampled_from(list(Fault)), max_size=60)


@settings(max_examples=300, deadline=None)
@given(operators=OPERATORS, faults=FAULTS)
def test_answers_agree_with_the_history_despite_races_and_faults(
    operators: list[list[tuple[int, str, int]]], faults: list[Fault]
) -> None:
    """Guards against a false acceptance, a false refusal and two notes for one version.

    They come about when operators submit competing notes while calls to the platform fail.
    """

    async def run() -> None:
        platform = faulty_platform(faults)
        trace = Trace()

        async def run_operator(submissions: list[tuple[int, str, int]]) -> None:
            for predecessor, author, pause in submissions:
                await trio.sleep(pause / 2)
                note = FIRST_NOTE if predecessor == 0 else change_note(predecessor, author)
                await trace.submit(platform, note)

        async with trio.open_nursery() as nursery:
            platform.table.nursery = nursery
            for submissions in operators:
                nursery.start_soon(run_operator, submissions)
        await _check(platform, trace)

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


async def _check(platform: Platform, trace: Trace) -> None:
    reliable = Platform(platform.table.inner, platform.objects.inner, platform.host_list)
    notes = {n["version"]: n for n in await history(reliable)}
    assert sorted(notes) == list(range(1, len(notes) + 1))
    digests = {
        v: ReleaseNote.model_validate({k: m for k, m in n.items() if k != "version"}).digest
        for v, n in notes.items()
    }
    assert (await load_current(reliable)).version == len(notes)
    catalog = await load_catalog(reliable)
    assert (catalog.version, catalog.digest) == (len(notes), digests.get(len(notes), ""))
    for note, answer, catalog_after in trace.accepted:
        assert digests[note.version] == note.digest
        assert answer == Acceptance(note.version, note.digest)
        assert catalog_after.version in (0, *range(note.version, len(notes) + 1))
    # A refused note never comes into force, not even by a delayed commit.
    for note in trace.refused:
        assert digests[note.version] != note.digest
    submitted = [n for n, _, _ in trace.accepted] + trace.unresolved
    assert set(digests.values()) <= {n.digest for n in submitted}
    # Submitting a note again resolves its unknown outcome once the platform is available.
    for note in trace.unresolved:
        if digests.get(note.version) == note.digest:
            answer, _ = await submit(reliable, note)
            assert answer == Acceptance(note.version, note.digest)


@settings(max_examples=100, deadline=None)
@given(faults=st.lists(st.sampled_from(list(Fault)), max_size=14))
def test_repeated_submission_ends_with_one_acceptance(faults: list[Fault]) -> None:
    """Guards against a note that is accepted twice or, despite repeated submissions, never."""

    async def run() -> None:
        platform = faulty_platform(faults)
        async with trio.open_nursery() as nursery:
            platform.table.nursery = nursery
            for _ in range(len(faults) + 1):
                try:
                    answer, _ = await submit(platform, FIRST_NOTE)
                    break
                except (PlatformUnavailable, PlatformOutcomeUnknown):
                    await trio.sleep(1.0)
        assert answer == Acceptance(1, FIRST_NOTE.digest)
        reliable = Platform(platform.table.inner, platform.objects.inner, platform.host_list)
        assert len(await history(reliable)) == 1

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


STEPS = 6  # Platform calls: read, put, commit, and two rounds of reading the outcome.


@pytest.mark.parametrize("fault", [Fault.DOWN, Fault.LOST_REQUEST, Fault.LOST_ANSWER])
@pytest.mark.parametrize("step", range(STEPS))
async def test_outage_that_begins_at_any_call_gives_no_false_answer(
    fault: Fault, step: int, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against an answer other than unknown when an outage hides whether a note is stored."""
    outage = [Fault.DOWN] * 50
    platform = faulty_platform([Fault.NONE] * step + [fault] + outage)
    try:
        await submit(platform, FIRST_NOTE)
        outcome = "accepted"
    except PlatformUnavailable:
        outcome = "no effect"
    except PlatformOutcomeUnknown as exc:
        assert "submit the same note again" in str(exc)
        outcome = "unknown"
    stored = (await platform.table.inner.read(["release/current"]))["release/current"].version
    assert outcome == "unknown" or (outcome == "accepted") == bool(stored)


async def test_conflict_names_the_accepted_note() -> None:
    """Guards against a refusal that does not tell the operator whose note was accepted instead."""
    platform = faulty_platform([])
    await submit(platform, FIRST_NOTE)
    accepted = change_note(1, "ben", 110).model_copy(update={"summary": "More connections"})
    await submit(platform, accepted)
    await submit(platform, change_note(2, "cora", 111))
    with pytest.raises(ConflictError) as caught:
        await submit(platform, change_note(1, "anna", 112))
    assert accepted.digest[:12] in str(caught.value)
    assert "of ben: More connections" in str(caught.value)
    assert "version 3 is in force" in str(caught.value)


async def test_note_that_skips_a_version_is_refused() -> None:
    """Guards against a gap in the versions of the history."""
    platform = faulty_platform([])
    await submit(platform, FIRST_NOTE)
    with pytest.raises(ConflictError, match="follows version 2, but version 1"):
        await submit(platform, change_note(2, "anna"))


async def test_note_is_confirmed_again_after_later_notes() -> None:
    """Guards against refusing an accepted note that is submitted again.

    It comes about if later notes are in force, or if the members are written in another order.
    """
    platform = faulty_platform([])
    await submit(platform, FIRST_NOTE)
    await submit(platform, change_note(1, "ben"))
    doc = FIRST_NOTE.model_dump(mode="json")
    doc["added"]["domains"].reverse()
    doc["added"]["targets"] = dict(reversed(doc["added"]["targets"].items()))
    answer, catalog = await submit(platform, ReleaseNote.model_validate(doc))
    assert answer == Acceptance(1, FIRST_NOTE.digest)
    assert catalog.version == 2


async def test_versions_between_snapshots_are_rebuilt_from_notes() -> None:
    """Guards against a host that reads an old snapshot and misses the notes after it."""
    platform = faulty_platform([])
    _, expected = await submit(platform, FIRST_NOTE)
    for version in range(1, 2 * SNAPSHOT_INTERVAL_VERSIONS + 3):
        note = change_note(version, "ben", 100 + version)
        expected = apply_note(expected, note)
        await submit(platform, note, known=expected)
        assert await load_catalog(platform) == expected
    current = await load_current(platform)
    assert current.snapshot_version == 2 * SNAPSHOT_INTERVAL_VERSIONS + 1
    old = Catalog(version=current.version - 1, digest="x", domains=expected.domains)
    assert (await load_catalog(platform, old)).domains == expected.domains


async def test_missing_snapshot_is_an_outage_and_not_a_conflict() -> None:
    """Guards against reporting a conflict when the object store has lost a snapshot."""
    platform = faulty_platform([])
    await submit(platform, FIRST_NOTE)
    platform.objects.inner._objects.clear()
    with pytest.raises(PlatformUnavailable):
        await submit(platform, change_note(1, "anna"))


async def test_accepted_note_stays_in_force_under_stricter_checks(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a new release of the program that cannot apply an accepted note."""
    platform = faulty_platform([])
    await submit(platform, FIRST_NOTE)
    await submit(platform, change_note(1, "anna"))

    def refuse(*_args: object) -> Catalog:
        raise SettingsError(["refused"])

    monkeypatch.setattr(acceptance, "apply_note", refuse)
    assert (await load_catalog(platform)).version == 2
