"""Documents that hosts fetch from each other: release notes, catalogs, rows and member records."""

from __future__ import annotations

import json
import zlib
from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

from radishshunt.errors import ProtocolError
from radishshunt.model import GroupId, GroupRow
from radishshunt.release.note import ReleaseNote
from radishshunt.wire.messages import Document, Member

if TYPE_CHECKING:
    from collections.abc import Iterable

    from radishshunt.directory import Directory
    from radishshunt.members import Members

# A frame holds at most 1 MiB; larger documents are served in parts well below that size.
PART_BYTES = 512 * 1024
# Shorter or equally long JSON is sent uncompressed.
MAX_UNCOMPRESSED_BYTES = 512
# Limits the memory that a peer can make this host allocate; a catalog of 100,000 targets has about
# 25 MB.
MAX_DOCUMENT_BYTES = 64 * 1024 * 1024
# Release notes kept for peers that are a few versions behind; other peers fetch the whole catalog.
NOTES_KEPT = 64
NOTES_KEPT_BYTES = 1024 * 1024
ROWS_PER_FETCH = 64
# Rows are divided into this many buckets. Two hosts compare the digests of their buckets and list
# only the rows in buckets that differ. This keeps the lists short even while rows change
# continuously, when some buckets always differ.
BUCKETS = 64


def pack(data: bytes) -> bytes:
    """Encode JSON for the exchange between hosts, compressed unless it is short."""
    return zlib.compress(data, 1) if len(data) > MAX_UNCOMPRESSED_BYTES else data


def unpack(data: bytes) -> bytes:
    """Return the JSON that :func:`pack` encoded.

    :raises ProtocolError: If the data are corrupt, truncated or too large.
    """
    if data[:1] in (b"{", b"["):
        return data
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(data, MAX_DOCUMENT_BYTES)
    except zlib.error as exc:
        raise ProtocolError(f"document is corrupt: {exc}") from exc
    if not decompressor.eof:
        raise ProtocolError("document is truncated or too large")
    return content


def row_name(group: GroupId) -> str:
    """Return the name under which a group's row is fetched."""
    return f"row/{group.service}/{group.group}"


def parse_row_name(name: str) -> GroupId:
    """Return the group that a name made by :func:`row_name` refers to.

    :raises ValueError: If the name does not have that form.
    """
    kind, service, number = name.split("/")
    if kind != "row":
        raise ValueError(f"document name {name} does not have the form row/SERVICE/GROUP")
    return GroupId(service, int(number))


def bucket_of(name: str) -> int:
    """Return the bucket of a row, from 0 to :data:`BUCKETS` - 1.

    :param name: Name of the row.
    """
    return xxh3_64_intdigest(name.encode()) % BUCKETS


def pack_rows(rows: Iterable[GroupRow]) -> bytes:
    """Encode rows as a ``rows`` document, which :func:`parse_rows` decodes."""
    return pack(json.dumps([[row.version, row.to_json().decode()] for row in rows]).encode())


class Documents:
    """Builds the documents that peers fetch.

    :ivar loaded: Whether this host has read all rows since its start.
    """

    def __init__(self, directory: Directory, members: Members) -> None:
        self._directory = directory
        self._members = members
        self._notes: dict[int, bytes] = {}
        # Kind, version and parts of the last document that was split into parts.
        self._cached_parts: tuple[str, int, list[bytes]] = ("", 0, [])
        # Digest of all rows, and the digests of the buckets computed at that state of the rows.
        self._cached_digests: tuple[int, list[int]] | None = None
        self.loaded = False

    def keep_note(self, note: ReleaseNote) -> None:
        """Keep an accepted release note for peers that lack it."""
        self._notes[note.version] = note.model_dump_json(exclude_defaults=True).encode()
        size = sum(len(data) for data in self._notes.values())
        while len(self._notes) > NOTES_KEPT or size > NOTES_KEPT_BYTES:
            size -= len(self._notes.pop(min(self._notes)))

    def find(self, name: str) -> Document:
        """Return a document, or an empty one of version 0 if there is none of that name."""
        kind, _, rest = name.partition("/")
        version = self._directory.catalog.version
        content = None
        if kind == "notes" and rest.isdigit():
            content = self._notes_after(int(rest))
        elif kind == "catalog" and version:
            return self._part(name, version, rest)
        elif kind == "members":
            return self._part(name, max(1, self._members.digest >> 1), rest)
        elif kind == "index":
            content = self._index(rest)
        elif kind == "digests":
            content = json.dumps(self.digests()).encode()
        elif kind == "rows":
            content = self._rows(rest.split(","))
        elif kind == "row":
            return self._row(name)
        return (
            Document(name, 0, b"") if content is None else Document(name, max(1, version), content)
        )

    def _notes_after(self, version: int) -> bytes | None:
        wanted = range(version + 1, self._directory.catalog.version + 1)
        if not wanted or any(number not in self._notes for number in wanted):
            return None
        notes = b",".join(self._notes[number] for number in wanted)
        content = pack(b"[" + notes + b"]")
        return content if len(content) <= PART_BYTES else None

    def _part(self, name: str, version: int, number: str) -> Document:
        kind = name.partition("/")[0]
        index = int(number) if number.isdigit() else 0
        if self._cached_parts[:2] != (kind, version):
            if index:
                return Document(name, 0, b"")  # Makes the peer start again with the new version.
            data = self._directory.catalog.to_json() if kind == "catalog" else self._members_json()
            packed = pack(data)
            parts = [packed[i : i + PART_BYTES] for i in range(0, len(packed), PART_BYTES)]
            self._cached_parts = (kind, version, parts)
        parts = self._cached_parts[2]
        if index >= len(parts):
            return Document(name, 0, b"")
        return Document(f"{kind}/{index}/{len(parts)}", version, parts[index])

    def digests(self) -> list[int]:
        """Return the digest of each bucket of the rows known here."""
        if self._cached_digests is None or self._cached_digests[0] != self._directory.rows_digest:
            digests = [0] * BUCKETS
            for group, row in self._directory.rows.items():
                name = row_name(group)
                digests[bucket_of(name)] ^= xxh3_64_intdigest(f"{name}/{row.generation}".encode())
            self._cached_digests = (self._directory.rows_digest, digests)
        return self._cached_digests[1]

    def _index(self, buckets: str) -> bytes:
        wanted = {int(number) for number in buckets.split(",") if number.isdigit()}
        rows = {
            name: row.generation
            for group, row in self._directory.rows.items()
            if bucket_of(name := row_name(group)) in wanted or not buckets
        }
        return pack(json.dumps({"loaded": self.loaded, "rows": rows}).encode())

    def _rows(self, names: Iterable[str]) -> bytes:
        found: list[list] = []
        size = 0
        for name in names:
            row = self._find_row(name)
            if row is None or len(found) == ROWS_PER_FETCH:
                continue
            data = row.to_json()
            size += len(data)
            # The size is measured before compression, which reduces it to well below PART_BYTES.
            # The first row is always included.
            if found and size > 4 * PART_BYTES:
                break
            found.append([row.version, data.decode()])
        return pack(json.dumps(found).encode())

    def _row(self, name: str) -> Document:
        row = self._find_row(name)
        if row is None:
            return Document(name, 0, b"")
        return Document(name, max(1, row.version), pack(row.to_json()))

    def _find_row(self, name: str) -> GroupRow | None:
        try:
            return self._directory.rows.get(parse_row_name(name))
        except ValueError:
            return None

    def _members_json(self) -> bytes:
        records = [
            [m.host, m.incarnation, m.domain, m.address, int(m.state), m.at]
            for m in self._members.records()
        ]
        return json.dumps(records).encode()


def parse_notes(content: bytes) -> list[ReleaseNote]:
    """Decode a ``notes`` document."""
    return [ReleaseNote.model_validate(doc) for doc in json.loads(unpack(content))]


def parse_rows(content: bytes) -> list[GroupRow]:
    """Decode a ``rows`` document."""
    return [
        GroupRow.from_json(data.encode(), version) for version, data in json.loads(unpack(content))
    ]


def parse_members(content: bytes) -> list[Member]:
    """Decode a ``members`` document whose parts have been joined."""
    return [Member(*fields) for fields in json.loads(unpack(content))]
