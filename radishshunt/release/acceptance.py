"""Acceptance of release notes by transactions on the platform's table."""

from __future__ import annotations

import json
from dataclasses import dataclass
from hashlib import sha256
from typing import TYPE_CHECKING

from radishshunt.errors import (
    ConflictError,
    PlatformOutcomeUnknown,
    PlatformUnavailable,
    ProtocolError,
)
from radishshunt.platform import Platform, Transaction
from radishshunt.platform.transactions import commit, is_committed
from radishshunt.release.catalog import Catalog
from radishshunt.release.note import ReleaseNote, apply_accepted, apply_note

if TYPE_CHECKING:
    from radishshunt.platform import TableRow

CURRENT_RELEASE_KEY = "release/current"
# A complete catalog of 15,000 targets takes about 3 MB, and 14,000 notes a day are expected, so
# only every 16th version is stored as a snapshot. Versions in between are rebuilt from the snapshot
# and their notes.
SNAPSHOT_INTERVAL_VERSIONS = 16
ACCEPTANCE_UNKNOWN = "unknown whether the note was accepted; submit the same note again to find out"


@dataclass(frozen=True, slots=True)
class Acceptance:
    """Confirmation that a submitted note is accepted.

    :param version: Version that results from the note.
    :param digest: Digest of the note.
    """

    version: int
    digest: str


@dataclass(frozen=True, slots=True)
class CurrentRelease:
    """Content of the table row that identifies the release in force.

    :param snapshot_version: Latest version that is stored as a snapshot, 0 for none.
    :param snapshot_object: Name of the object that holds the snapshot.
    :param row_version: Version of the table row.
    """

    version: int = 0
    digest: str = ""
    snapshot_version: int = 0
    snapshot_object: str = ""
    row_version: int = 0

    @classmethod
    def from_row(cls, row: TableRow) -> CurrentRelease:
        """Parse the table row; a missing row stands for version 0."""
        if row.version == 0:
            return cls()
        return cls(**json.loads(row.value), row_version=row.version)

    def to_json(self) -> bytes:
        """Return the value of the table row."""
        doc = {name: getattr(self, name) for name in self.__slots__ if name != "row_version"}
        return json.dumps(doc, sort_keys=True).encode()


async def load_current(platform: Platform) -> CurrentRelease:
    """Read from the platform which release is in force.

    :raises PlatformUnavailable: If the platform does not answer.
    """
    return CurrentRelease.from_row(
        (await platform.table.read([CURRENT_RELEASE_KEY]))[CURRENT_RELEASE_KEY]
    )


async def load_catalog(platform: Platform, known: Catalog | None = None) -> Catalog:
    """Read the catalog in force from the platform.

    :param known: Catalog that the caller has; if possible, only the notes after it are read.
    :raises PlatformUnavailable: If the platform does not answer.
    """
    return await _rebuild_catalog(platform, await load_current(platform), known)


async def load_notes(platform: Platform, after: int, upto: int) -> list[ReleaseNote]:
    """Read the accepted notes after one version and up to another, oldest first.

    :param after: Version before the first one.
    :param upto: Last version.
    :raises PlatformUnavailable: If the platform does not answer or a row is missing.
    """
    keys = [note_key(version) for version in range(after + 1, upto + 1)]
    rows = await platform.table.read(keys) if keys else {}
    missing = [key for key in keys if rows[key].version == 0]
    if missing:
        raise PlatformUnavailable(f"row {missing[0]} is missing")
    return [ReleaseNote.model_validate_json(rows[key].value) for key in keys]


async def submit(
    platform: Platform, note: ReleaseNote, known: Catalog | None = None
) -> tuple[Acceptance, Catalog]:
    """Accept a release note, or raise an error that names the note accepted in its place.

    :param known: Catalog in force on the submitting host, to save reads.
    :return: The acceptance and the catalog in force, which is of a later version if the note was
        accepted earlier and others followed.
    :raises ConflictError: If another note has the version that this one would get, or if the
        note skips a version.
    :raises SettingsError: If the note does not fit the catalog.
    :raises PlatformUnavailable: If this submission had no effect.
    :raises PlatformOutcomeUnknown: If this submission may have had an effect; submitting the same
        note again resolves this.
    """
    try:
        return await _submit(platform, note, known)
    except (PlatformUnavailable, ProtocolError) as exc:
        raise PlatformUnavailable(f"this submission had no effect: {exc}") from exc


async def _submit(
    platform: Platform, note: ReleaseNote, known: Catalog | None
) -> tuple[Acceptance, Catalog]:
    key = note_key(note.version)
    rows = await platform.table.read([CURRENT_RELEASE_KEY, key])
    current = CurrentRelease.from_row(rows[CURRENT_RELEASE_KEY])
    if rows[key].version:
        return await _answer_for_accepted(platform, note, rows[key], current, known)
    if current.version < note.predecessor:
        raise ConflictError(
            f"the note follows version {note.predecessor}, but version {current.version} "
            f"({current.digest[:12]}) is in force"
        )
    catalog = await _rebuild_catalog(platform, current, known)
    if catalog.version != note.predecessor:
        raise PlatformUnavailable(f"row {key} is missing, version {current.version} is in force")
    next_catalog = apply_note(catalog, note)
    value = await _store_snapshot_if_due(platform, current, next_catalog)
    tx = Transaction(
        checks={CURRENT_RELEASE_KEY: current.row_version, key: 0},
        writes={CURRENT_RELEASE_KEY: value, key: note.model_dump_json().encode()},
    )
    try:
        if is_committed(await commit(platform.table, tx)):
            return Acceptance(note.version, note.digest), next_catalog
    except PlatformOutcomeUnknown as exc:
        raise PlatformOutcomeUnknown(f"{ACCEPTANCE_UNKNOWN} ({exc})") from exc
    return await _resolve_conflict(platform, note, known)


async def history(platform: Platform) -> list[dict]:
    """Read all accepted notes, oldest first, as JSON documents with their versions."""
    rows = await platform.table.scan("release/note/")
    notes = [json.loads(row.value) for _, row in sorted(rows.items())]
    return [{"version": note["predecessor"] + 1, **note} for note in notes]


def note_key(version: int) -> str:
    """Return the key of the table row that holds the note of a version."""
    return f"release/note/{version:010d}"


async def _resolve_conflict(
    platform: Platform, note: ReleaseNote, known: Catalog | None
) -> tuple[Acceptance, Catalog]:
    """Find out which note was accepted after the transaction of this one met a conflict."""
    key = note_key(note.version)
    try:
        rows = await platform.table.read([CURRENT_RELEASE_KEY, key])
    except (PlatformUnavailable, ProtocolError) as exc:
        # The accepted note may be the same one, submitted through another host.
        raise PlatformOutcomeUnknown(f"{ACCEPTANCE_UNKNOWN} ({exc})") from exc
    if rows[key].version == 0:
        raise PlatformOutcomeUnknown(f"{ACCEPTANCE_UNKNOWN} (row {key} is missing)")
    return await _answer_for_accepted(
        platform, note, rows[key], CurrentRelease.from_row(rows[CURRENT_RELEASE_KEY]), known
    )


async def _answer_for_accepted(
    platform: Platform,
    note: ReleaseNote,
    row: TableRow,
    current: CurrentRelease,
    known: Catalog | None,
) -> tuple[Acceptance, Catalog]:
    """Answer a submission whose version is already taken by an accepted note.

    :param row: Table row of the accepted note.
    :raises ConflictError: If the accepted note differs from the submitted one.
    """
    accepted = ReleaseNote.model_validate_json(row.value)
    if accepted.digest != note.digest:
        author = f" of {accepted.author}" if accepted.author else ""
        summary = f": {accepted.summary}" if accepted.summary else ""
        raise ConflictError(
            f"version {accepted.version} is note {accepted.digest[:12]}{author}{summary}; "
            f"version {current.version} is in force"
        )
    acceptance = Acceptance(note.version, note.digest)
    try:
        return acceptance, await _rebuild_catalog(platform, current, known)
    except (PlatformUnavailable, ProtocolError):
        # The acceptance is certain, and the host gets the catalog later from the platform or peers.
        return acceptance, known or Catalog()


async def _store_snapshot_if_due(
    platform: Platform, current: CurrentRelease, next_catalog: Catalog
) -> bytes:
    """Store a snapshot of the catalog if one is due.

    :return: New value of the row that identifies the release in force.
    """
    snapshot_version, name = current.snapshot_version, current.snapshot_object
    if not name or next_catalog.version - snapshot_version >= SNAPSHOT_INTERVAL_VERSIONS:
        content = next_catalog.to_json()
        # The name contains a digest of the content, so that releases of this program that encode a
        # catalog differently do not write to the same object.
        name = f"release/{next_catalog.version}/{sha256(content).hexdigest()}"
        await platform.objects.put(name, content)
        snapshot_version = next_catalog.version
    return CurrentRelease(
        next_catalog.version, next_catalog.digest, snapshot_version, name
    ).to_json()


async def _rebuild_catalog(
    platform: Platform, current: CurrentRelease, known: Catalog | None
) -> Catalog:
    """Rebuild the current catalog from the known one or the snapshot, and the notes after it."""
    catalog = Catalog()
    if known is not None and current.snapshot_version <= known.version <= current.version:
        catalog = known
    elif current.snapshot_version:
        content = await platform.objects.get(current.snapshot_object)
        if content is None:
            raise PlatformUnavailable(f"object {current.snapshot_object} is missing")
        catalog = Catalog.from_json(content)
    for note in await load_notes(platform, catalog.version, current.version):
        catalog = apply_accepted(catalog, note)
    return catalog
