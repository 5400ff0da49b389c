"""Rows as differences to their earlier versions, so that they cost few bytes between hosts."""

from __future__ import annotations

import zlib
from dataclasses import replace
from typing import TYPE_CHECKING

from radishshunt.errors import ProtocolError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from radishshunt.gateway.rows import Change, Row, Topic

# Smaller rows are sent whole.
DELTA_BYTES = 1024
# zlib looks back this far, so that only the end of a longer row helps.
WINDOW_BYTES = 32 * 1024
# A key map differs in a few ranges; the fastest level finds them.
LEVEL = 1


class RowHistory:
    """Rows that all receivers know, as the basis of the next differences."""

    def __init__(self) -> None:
        self._rows: dict[tuple[Topic, str], Row] = {}

    def encode(self, changes: Iterable[Change]) -> tuple[Change, ...]:
        """Return changes with the newest version of each row, large ones as differences."""
        return tuple(self._encode(change) for change in _newest(changes))

    def _encode(self, change: Change) -> Change:
        if change.whole:
            for row in change.rows:
                self._remember(change.topic, row)
            return change
        return replace(change, rows=tuple(self._row(change.topic, row) for row in change.rows))

    def _row(self, topic: Topic, row: Row) -> Row:
        base = self._rows.get((topic, row.key))
        self._remember(topic, row)
        if base is None or base.value is None or row.value is None:
            return row
        packer = zlib.compressobj(LEVEL, zdict=base.value[-WINDOW_BYTES:])
        data = packer.compress(row.value) + packer.flush()
        if len(data) >= len(row.value):
            return row
        return replace(row, value=data, base=base.version)

    def _remember(self, topic: Topic, row: Row) -> None:
        if row.value is not None and len(row.value) >= DELTA_BYTES:
            self._rows[topic, row.key] = row
        else:
            self._rows.pop((topic, row.key), None)


def expand(change: Change, known: dict[str, Row]) -> Change:
    """Return a change with whole rows; rows that are known already are left out.

    :param known: The receiver's rows of the topic.
    :raises ProtocolError: If the receiver does not know the basis of a difference.
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
            raise ProtocolError(f"row {row.key}: version {row.base} is not known here")
        unpacker = zlib.decompressobj(zdict=(base.value or b"")[-WINDOW_BYTES:])
        try:
            value = unpacker.decompress(row.value or b"")
        except zlib.error as exc:
            raise ProtocolError(f"row {row.key}: {exc}") from exc
        rows.append(replace(row, value=value, base=0))
    return replace(change, rows=tuple(rows))


def _newest(changes: Iterable[Change]) -> list[Change]:
    """Return one change a topic, with the newest version of each row."""
    merged: dict[Topic, Change] = {}
    for change in changes:
        before = merged.get(change.topic)
        if before is None or change.whole:
            merged[change.topic] = change
            continue
        rows = {row.key: row for row in before.rows}
        for row in change.rows:
            if row.key not in rows or rows[row.key].version < row.version:
                rows.pop(row.key, None)
                rows[row.key] = row
        version = max(before.version, change.version)
        merged[change.topic] = replace(before, rows=tuple(rows.values()), version=version)
    return list(merged.values())
