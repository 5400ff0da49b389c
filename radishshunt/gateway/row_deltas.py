"""Delta encoding of rows, which reduces the traffic between hosts."""

from __future__ import annotations

import zlib
from dataclasses import replace
from typing import TYPE_CHECKING

from radishshunt.errors import ProtocolError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from radishshunt.gateway.rows import Change, Row, Topic

# Smaller rows are sent in full.
MIN_DELTA_ROW_BYTES = 1024
# Window of zlib; of a longer row, only the end is useful as a dictionary.
DICTIONARY_BYTES = 32 * 1024
# Versions of a key map differ in a few ranges, which the fastest level finds.
COMPRESSION_LEVEL = 1


class DeltaEncoder:
    """Encodes changed rows as deltas from the versions that all receivers have."""

    def __init__(self) -> None:
        self._base_rows: dict[tuple[Topic, str], Row] = {}

    def encode(self, changes: Iterable[Change]) -> tuple[Change, ...]:
        """Return the changes with the newest version of each row, large rows as deltas."""
        return tuple(self._encode(change) for change in _coalesce(changes))

    def _encode(self, change: Change) -> Change:
        if change.whole:
            for row in change.rows:
                self._set_base(change.topic, row)
            return change
        return replace(
            change, rows=tuple(self._encode_row(change.topic, row) for row in change.rows)
        )

    def _encode_row(self, topic: Topic, row: Row) -> Row:
        base = self._base_rows.get((topic, row.key))
        self._set_base(topic, row)
        if base is None or base.value is None or row.value is None:
            return row
        compressor = zlib.compressobj(COMPRESSION_LEVEL, zdict=base.value[-DICTIONARY_BYTES:])
        data = compressor.compress(row.value) + compressor.flush()
        if len(data) >= len(row.value):
            return row
        return replace(row, value=data, base=base.version)

    def _set_base(self, topic: Topic, row: Row) -> None:
        if row.value is not None and len(row.value) >= MIN_DELTA_ROW_BYTES:
            self._base_rows[topic, row.key] = row
        else:
            self._base_rows.pop((topic, row.key), None)


def decode_deltas(change: Change, known: dict[str, Row]) -> Change:
    """Decode the deltas of a change; omit delta rows whose version the receiver already has.

    :param known: The receiver's rows of the topic.
    :raises ProtocolError: If the receiver does not have the base version of a delta.
    """
    rows = []
    for row in change.rows:
        if not row.base:
            rows.append(row)
            continue
        base = known.get(row.key)
        if base is not None and base.version >= row.version:
            continue
        if base is None or base.version != row.base:
            raise ProtocolError(f"row {row.key}: base version {row.base} of the delta is unknown")
        decompressor = zlib.decompressobj(zdict=(base.value or b"")[-DICTIONARY_BYTES:])
        try:
            value = decompressor.decompress(row.value or b"")
        except zlib.error as exc:
            raise ProtocolError(f"row {row.key}: malformed delta: {exc}") from exc
        rows.append(replace(row, value=value, base=0))
    return replace(change, rows=tuple(rows))


def _coalesce(changes: Iterable[Change]) -> list[Change]:
    """Merge changes into one per topic with the newest version of each row."""
    merged: dict[Topic, Change] = {}
    for change in changes:
        earlier = merged.get(change.topic)
        if earlier is None or change.whole:
            merged[change.topic] = change
            continue
        rows = {row.key: row for row in earlier.rows}
        for row in change.rows:
            if row.key not in rows or rows[row.key].version < row.version:
                rows.pop(row.key, None)
                rows[row.key] = row
        version = max(earlier.version, change.version)
        merged[change.topic] = replace(earlier, rows=tuple(rows.values()), version=version)
    return list(merged.values())
