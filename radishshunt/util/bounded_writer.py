"""Log lines that never block the program and are bounded in number."""

from __future__ import annotations

import json
import os
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

# Lines of one kind in one second; beyond, only their number is written.
LINES_PER_SECOND = 200
# Lines about successes leave room for those about failures.
SUCCESSES_PER_SECOND = 100
# What a reader has not taken; beyond, lines are dropped and counted.
PENDING_BYTES = 256 * 1024


class BoundedWriter:
    """Writes messages as JSON lines to a file descriptor.

    :param now: Returns the time in seconds.
    :ivar dropped: Lines left out so far, by kind.
    """

    def __init__(self, descriptor: int, now: Callable[[], float]) -> None:
        self.dropped: dict[str, int] = {}
        self._descriptor = descriptor
        self._now = now
        self._pending = bytearray()
        self._second = 0
        self._counts: dict[str, int] = {}
        self._left_out: dict[str, int] = {}
        os.set_blocking(descriptor, False)

    def __call__(self, message: dict[str, Any]) -> None:
        """Write a message, or count it as left out."""
        second = int(self._now())
        if second != self._second:
            self._second = second
            self._counts.clear()
            self._report(second)
        kind = str(message.get("message_type", "log"))
        count = self._counts.get(kind, 0)
        limit = SUCCESSES_PER_SECOND if message.get("status") == 200 else LINES_PER_SECOND
        if count >= limit:
            self._drop(kind)
            return
        self._counts[kind] = count + 1
        if not self._write(message):
            self._drop(kind)

    def _report(self, second: int) -> None:
        if self._left_out:
            left_out, self._left_out = self._left_out, {}
            message = {"timestamp": second, "message_type": "log-left-out", "lines": left_out}
            if not self._write(message):
                self._left_out = left_out

    def _drop(self, kind: str) -> None:
        self.dropped[kind] = self.dropped.get(kind, 0) + 1
        self._left_out[kind] = self._left_out.get(kind, 0) + 1

    def _write(self, message: dict[str, Any]) -> bool:
        if len(self._pending) > PENDING_BYTES and not self._flush():
            return False
        self._pending += json.dumps(message, default=str).encode() + b"\n"
        self._flush()
        return True

    def _flush(self) -> bool:
        """Write what is pending as far as the reader takes it."""
        try:
            while self._pending:
                written = os.write(self._descriptor, self._pending)
                del self._pending[:written]
        except BlockingIOError:
            return len(self._pending) <= PENDING_BYTES
        except OSError:
            # Nobody reads any more; a log line about it would have nowhere to go.
            self._pending.clear()
        return True
