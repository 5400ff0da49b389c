"""Record of what was sent, answered and run in a case."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path


class Record:
    """Writes one line for each event, with the seconds since the start of the traffic.

    :ivar started_at: Time of the start of the traffic on the monotonic clock.
    """

    def __init__(self, path: Path) -> None:
        self.started_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the seconds since the start of the traffic."""
        return time.monotonic() - self.started_at

    def write(self, kind: str, **fields: object) -> None:
        """Write one event."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():8.3f} {kind} {text}\n")
        self._file.flush()
