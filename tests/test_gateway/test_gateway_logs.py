"""Limits on the log output of a host."""

from __future__ import annotations

import os
from collections import Counter

from radishshunt.util.bounded_writer import (
    MAX_LINES_PER_SECOND,
    MAX_PENDING_BYTES,
    MAX_SUCCESSES_PER_SECOND,
    BoundedWriter,
)


def test_blocked_reader_does_not_block_the_writer() -> None:
    """Guards against a host that blocks on a full pipe because nothing reads its log."""
    reader, writer = os.pipe()
    seconds = [0.0]
    log = BoundedWriter(writer, lambda: seconds[0])
    for number in range(5000):
        seconds[0] = number / 50
        log({"message_type": "attempt", "status": 500, "detail": "x" * 200})
    assert log.dropped["attempt"] > 0
    assert len(log._pending) < MAX_PENDING_BYTES + 1000
    os.close(reader)
    os.close(writer)


def test_lines_of_a_kind_are_limited_and_failures_have_a_reserve() -> None:
    """Guards against successful requests using up the line limit, so that failures are dropped."""
    reader, writer = os.pipe()
    log = BoundedWriter(writer, lambda: 1.0)
    for _ in range(1000):
        log({"message_type": "attempt", "status": 200})
    for _ in range(1000):
        log({"message_type": "attempt", "status": 503})
    os.close(writer)
    with os.fdopen(reader, "rb") as lines:
        lines_by_failure = Counter(b'"status": 503' in line for line in lines)
    assert lines_by_failure[False] == MAX_SUCCESSES_PER_SECOND
    assert lines_by_failure[True] == MAX_LINES_PER_SECOND - MAX_SUCCESSES_PER_SECOND
