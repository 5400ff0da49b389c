"""Acceptance of release notes through the platform's table."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING

from radishshunt.errors import Conflict
from radishshunt.platform import Platform, Transaction
from radishshunt.platform.transactions import commit, committed
from radishshunt.release.catalog import Catalog
from radishshunt.release.note import apply_note

if TYPE_CHECKING:
    from radishshunt.release.note import ReleaseNote

CURRENT_KEY = "release/current"


@dataclass(frozen=True, slots=True)
class Acceptance:
    """Answer to a submitted note.

    :param version: Version under which the note is accepted.
    """

    version: int
    digest: str


async def load_catalog(platform: Platform) -> Catalog:
    """Return the catalog in force according to the platform.

    :raises PlatformUnavailable: If the platform does not answer.
    """
    row = (await platform.table.read([CURRENT_KEY]))[CURRENT_KEY]
    if row.version == 0:
        return Catalog()
    current = json.loads(row.value)
    content = await platform.objects.get(_object_name(current["version"], current["digest"]))
    if content is None:
        raise Conflict(f"object of release {current['version']} is missing")
    return Catalog.from_json(content)


async def submit(platform: Platform, note: ReleaseNote) -> tuple[Acceptance, Catalog]:
    """Accept a note, or say which other note holds its place.

    :return: The acceptance and the catalog it leads to.
    :raises Conflict: If another note follows the same predecessor.
    :raises SettingsError: If the note does not fit the catalog.
    :raises PlatformUnavailable: If the note was not accepted.
    :raises OutcomeUnknown: If it may have been accepted; submit it again to find out.
    """
    row = (await platform.table.read([CURRENT_KEY]))[CURRENT_KEY]
    catalog = await load_catalog(platform)
    if await _accepted_before(platform, note):
        return Acceptance(note.version, note.digest), catalog
    if catalog.version != note.predecessor:
        raise Conflict(
            f"the note follows version {note.predecessor}, but version {catalog.version} "
            f"({catalog.digest[:12]}) is in force"
        )
    following = apply_note(catalog, note)
    await platform.objects.put(_object_name(note.version, note.digest), following.to_json())
    value = json.dumps({"version": note.version, "digest": note.digest}).encode()
    tx = Transaction(
        checks={CURRENT_KEY: row.version},
        writes={CURRENT_KEY: value, _history_key(note.version): note.model_dump_json().encode()},
    )
    if not committed(await commit(platform.table, tx)):
        if await _accepted_before(platform, note):
            return Acceptance(note.version, note.digest), await load_catalog(platform)
        winner = await load_catalog(platform)
        raise Conflict(f"version {winner.version} ({winner.digest[:12]}) was accepted first")
    return Acceptance(note.version, note.digest), following


async def history(platform: Platform) -> list[dict]:
    """Return the accepted notes, oldest first, as JSON documents with their versions."""
    rows = await platform.table.scan("release/note/")
    notes = [json.loads(row.value) for _, row in sorted(rows.items())]
    return [{"version": note["predecessor"] + 1, **note} for note in notes]


async def _accepted_before(platform: Platform, note: ReleaseNote) -> bool:
    key = _history_key(note.version)
    row = (await platform.table.read([key]))[key]
    return row.version > 0 and type(note).model_validate_json(row.value).digest == note.digest


def _history_key(version: int) -> str:
    return f"release/note/{version:010d}"


def _object_name(version: int, digest: str) -> str:
    return f"release/{version}/{digest}"
