"""Log output that never blocks the program and limits the number of lines."""

from __future__ import annotations

import json
import os
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

# Limit per message type; lines beyond it are dropped, and only their number is written.
MAX_LINES_PER_SECOND = 200
# Smaller limit for lines about successes, so that lines about failures always have room.
MAX_SUCCESSES_PER_SECOND = 100
# Limit of buffered output that the reader has not accepted; lines beyond it are dropped.
MAX_PENDING_BYTES = 256 * 1024


class BoundedWriter:
    """Writes messages as JSON lines to a file descriptor.

    :param now: Returns the time in seconds.
    :ivar dropped: Number of lines dropped so far, by message type.
    """

    def __init__(self, descriptor: int, now: Callable[[], float]) -> None:
        self.dropped: dict[str, int] = {}
        self._descriptor = descriptor
        self._now = now
        self._pending = bytearray()
        self._current_second = 0
        self._lines_this_second: dict[str, int] = {}
        self._unreported: dict[str, int] = {}
        os.set_blocking(descriptor, False)

    def __call__(self, message: dict[str, Any]) -> None:
        """Write a message, or drop and count it."""
        second = int(self._now())
        if second != self._current_second:
            self._current_second = second
            self._lines_this_second.clear()
            self._report_dropped(second)
        message_type = str(message.get("message_type", "log"))
        count = self._lines_this_second.get(message_type, 0)
        limit = MAX_SUCCESSES_PER_SECOND if message.get("status") == 200 else MAX_LINES_PER_SECOND
        if count >= limit:
            self._count_dropped(message_type)
            return
        self._lines_this_second[message_type] = count + 1
        if not self._write(message):
            self._count_dropped(message_type)

    def _report_dropped(self, second: int) -> None:
        if self._unreported:
            unreported, self._unreported = self._unreported, {}
            message = {"timestamp": second, "message_type": "log-left-out", "lines": unreported}
            if not self._write(message):
                self._unreported = unreported

    def _count_dropped(self, message_type: str) -> None:
        self.dropped[message_type] = self.dropped.get(message_type, 0) + 1
        self._unreported[message_type] = self._unreported.get(message_type, 0) + 1

    def _write(self, message: dict[str, Any]) -> bool:
        if len(self._pending) > MAX_PENDING_BYTES and not self._flush():
            return False
        self._pending += json.dumps(message, default=str).encode() + b"\n"
        self._flush()
        return True

    def _flush(self) -> bool:
        """Write pending output until the reader accepts no more.

        :return: Whether there is room for another line.
        """
        try:
            while self._pending:
                written = os.write(self._descriptor, self._pending)
                del self._pending[:written]
        except BlockingIOError:
            return len(self._pending) <= MAX_PENDING_BYTES
        except OSError:
            # The reader is gone, so the failure itself could not be logged either.
            self._pending.clear()
        return True
