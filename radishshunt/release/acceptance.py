"""Acceptance of release notes through the platform's table."""

from __future__ import annotations

import json
from dataclasses import dataclass
from hashlib import sha256
from typing import TYPE_CHECKING

from radishshunt.errors import Conflict, OutcomeUnknown, PlatformUnavailable, ProtocolError
from radishshunt.platform import Platform, Transaction
from radishshunt.platform.transactions import commit, committed
from radishshunt.release.catalog import Catalog
from radishshunt.release.note import ReleaseNote, apply_accepted, apply_note

if TYPE_CHECKING:
    from radishshunt.platform import TableRow

CURRENT_KEY = "release/current"
# A whole catalog of 15,000 targets is about 3 MB, and 14,000 notes a day are expected, so only
# every 16th version is stored whole; the versions between follow from it and their notes.
SNAPSHOT_INTERVAL = 16
ASK_AGAIN = "unknown whether the note was accepted; submit the same note again to find out"


@dataclass(frozen=True, slots=True)
class Acceptance:
    """Answer to a submitted note.

    :param version: Version under which the note is accepted.
    """

    version: int
    digest: str


@dataclass(frozen=True, slots=True)
class Current:
    """Content of the row that names the release in force.

    :param snapshot_version: Newest version that is stored as a whole, 0 for none.
    :param snapshot_object: Object with that version.
    :param row_version: Version of the table row.
    """

    version: int = 0
    digest: str = ""
    snapshot_version: int = 0
    snapshot_object: str = ""
    row_version: int = 0

    @classmethod
    def from_row(cls, row: TableRow) -> Current:
        """Read the table row."""
        if row.version == 0:
            return cls()
        return cls(**json.loads(row.value), row_version=row.version)

    def to_json(self) -> bytes:
        """Return the row's value."""
        doc = {name: getattr(self, name) for name in self.__slots__ if name != "row_version"}
        return json.dumps(doc, sort_keys=True).encode()


async def load_current(platform: Platform) -> Current:
    """Return which release is in force.

    :raises PlatformUnavailable: If the platform does not answer.
    """
    return Current.from_row((await platform.table.read([CURRENT_KEY]))[CURRENT_KEY])


async def load_catalog(platform: Platform, known: Catalog | None = None) -> Catalog:
    """Return the catalog in force according to the platform.

    :param known: Catalog that the caller has; only what follows it is read.
    :raises PlatformUnavailable: If the platform does not answer.
    """
    return await _catalog_at(platform, await load_current(platform), known)


async def load_notes(platform: Platform, after: int, upto: int) -> list[ReleaseNote]:
    """Return the accepted notes of a range of versions, oldest first.

    :raises PlatformUnavailable: If the platform does not answer.
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
    """Accept a note, or say which other note holds its place.

    :param known: Catalog that the submitting host has in force, to save reads.
    :return: The acceptance and the catalog in force, which is a later one if the note was
        accepted before.
    :raises Conflict: If another note has the version that this one would get.
    :raises SettingsError: If the note does not fit the catalog.
    :raises PlatformUnavailable: If this submission had no effect.
    :raises OutcomeUnknown: If it may have had one; submit the note again to find out.
    """
    try:
        return await _submit(platform, note, known)
    except (PlatformUnavailable, ProtocolError) as exc:
        raise PlatformUnavailable(f"this submission had no effect: {exc}") from exc


async def _submit(
    platform: Platform, note: ReleaseNote, known: Catalog | None
) -> tuple[Acceptance, Catalog]:
    key = note_key(note.version)
    rows = await platform.table.read([CURRENT_KEY, key])
    current = Current.from_row(rows[CURRENT_KEY])
    if rows[key].version:
        return await _settled(platform, note, rows[key], current, known)
    if current.version < note.predecessor:
        raise Conflict(
            f"the note follows version {note.predecessor}, but version {current.version} "
            f"({current.digest[:12]}) is in force"
        )
    catalog = await _catalog_at(platform, current, known)
    if catalog.version != note.predecessor:
        raise PlatformUnavailable(f"row {key} is missing, version {current.version} is in force")
    following = apply_note(catalog, note)
    value = await _store(platform, current, following)
    tx = Transaction(
        checks={CURRENT_KEY: current.row_version, key: 0},
        writes={CURRENT_KEY: value, key: note.model_dump_json().encode()},
    )
    try:
        if committed(await commit(platform.table, tx)):
            return Acceptance(note.version, note.digest), following
    except OutcomeUnknown as exc:
        raise OutcomeUnknown(f"{ASK_AGAIN} ({exc})") from exc
    return await _after_conflict(platform, note, known)


async def history(platform: Platform) -> list[dict]:
    """Return the accepted notes, oldest first, as JSON documents with their versions."""
    rows = await platform.table.scan("release/note/")
    notes = [json.loads(row.value) for _, row in sorted(rows.items())]
    return [{"version": note["predecessor"] + 1, **note} for note in notes]


def note_key(version: int) -> str:
    """Return the key of the table row with the note of a version."""
    return f"release/note/{version:010d}"


async def _after_conflict(
    platform: Platform, note: ReleaseNote, known: Catalog | None
) -> tuple[Acceptance, Catalog]:
    """Find out who holds the note's place after its transaction lost against another."""
    key = note_key(note.version)
    try:
        rows = await platform.table.read([CURRENT_KEY, key])
    except (PlatformUnavailable, ProtocolError) as exc:
        # The winner can be the same note, submitted through another host.
        raise OutcomeUnknown(f"{ASK_AGAIN} ({exc})") from exc
    if rows[key].version == 0:
        raise OutcomeUnknown(f"{ASK_AGAIN} (row {key} is missing)")
    return await _settled(platform, note, rows[key], Current.from_row(rows[CURRENT_KEY]), known)


async def _settled(
    platform: Platform, note: ReleaseNote, row: TableRow, current: Current, known: Catalog | None
) -> tuple[Acceptance, Catalog]:
    """Answer for a version that a note has been accepted under."""
    winner = ReleaseNote.model_validate_json(row.value)
    if winner.digest != note.digest:
        author = f" of {winner.author}" if winner.author else ""
        summary = f": {winner.summary}" if winner.summary else ""
        raise Conflict(
            f"version {winner.version} is note {winner.digest[:12]}{author}{summary}; "
            f"version {current.version} is in force"
        )
    acceptance = Acceptance(note.version, note.digest)
    try:
        return acceptance, await _catalog_at(platform, current, known)
    except (PlatformUnavailable, ProtocolError):
        # The acceptance is certain, and the catalog arrives from the platform or from peers.
        return acceptance, known or Catalog()


async def _store(platform: Platform, current: Current, following: Catalog) -> bytes:
    """Store a catalog as a whole if that is due, and return the value of the current row."""
    snapshot_version, name = current.snapshot_version, current.snapshot_object
    if not name or following.version - snapshot_version >= SNAPSHOT_INTERVAL:
        content = following.to_json()
        # Named by content, so that two releases of this program can't collide over its form.
        name = f"release/{following.version}/{sha256(content).hexdigest()}"
        await platform.objects.put(name, content)
        snapshot_version = following.version
    return Current(following.version, following.digest, snapshot_version, name).to_json()


async def _catalog_at(platform: Platform, current: Current, known: Catalog | None) -> Catalog:
    """Return the catalog of a version from the nearest one that is known or stored."""
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
