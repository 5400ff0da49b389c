"""Bounds of the log of a host."""

from __future__ import annotations

import os
from collections import Counter

from radishshunt.util.bounded_writer import (
    LINES_PER_SECOND,
    PENDING_BYTES,
    SUCCESSES_PER_SECOND,
    BoundedWriter,
)


def test_reader_that_takes_nothing_does_not_block_the_program() -> None:
    """Guards against a host that stops since nobody reads its log."""
    reader, writer = os.pipe()
    seconds = [0.0]
    log = BoundedWriter(writer, lambda: seconds[0])
    for number in range(5000):
        seconds[0] = number / 50
        log({"message_type": "attempt", "status": 500, "detail": "x" * 200})
    assert log.dropped["attempt"] > 0
    assert len(log._pending) < PENDING_BYTES + 1000
    os.close(reader)
    os.close(writer)


def test_lines_of_a_kind_are_bounded_and_failures_keep_their_room() -> None:
    """Guards against a flood of lines that hides the failures."""
    reader, writer = os.pipe()
    log = BoundedWriter(writer, lambda: 1.0)
    for _ in range(1000):
        log({"message_type": "attempt", "status": 200})
    for _ in range(1000):
        log({"message_type": "attempt", "status": 503})
    os.close(writer)
    with os.fdopen(reader, "rb") as lines:
        found = Counter(b'"status": 503' in line for line in lines)
    assert found[False] == SUCCESSES_PER_SECOND
    assert found[True] == LINES_PER_SECOND - SUCCESSES_PER_SECOND
