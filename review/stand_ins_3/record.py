"""Record of what was sent, run and answered in a case."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path


@dataclass(slots=True)
class Exchange:
    """One client attempt.

    :ivar kept: Whether its connection had carried an answered request before.
    :ivar arrived: Whether a worker has received it, and not refused it.
    :ivar arrived_at: Time of that.
    :ivar worker: The worker that received it last.
    :ivar runs: Workers that began to run it, and when.
    :ivar received: Bytes of the answer's body that the client has read.
    :ivar outcome: ``200`` and the like, ``cut``, ``deadline`` or ``no connection``.
    """

    id: str
    machine: str
    sent_at: float
    kept: bool
    arrived: bool = False
    arrived_at: float = 0.0
    worker: str = ""
    runs: list[tuple[str, float]] = field(default_factory=list)
    received: int = 0
    outcome: str = ""
    ended_at: float = 0.0


@dataclass(slots=True)
class Record:
    """Everything that a case has seen, with times in seconds since its start."""

    started_at: float = field(default_factory=time.monotonic)
    exchanges: dict[str, Exchange] = field(default_factory=dict)
    notes: list[str] = field(default_factory=list)

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at

    def note(self, text: str) -> None:
        """Record an event."""
        self.notes.append(f"{self.now():8.3f} s  {text}")

    def write(self, path: Path) -> None:
        """Write the events, and one line for each client attempt."""
        lines = [*self.notes, ""]
        lines += [
            f"{item.sent_at:8.3f} s  {item.id} sent to {item.machine}"
            f" on a {'kept' if item.kept else 'new'} connection;"
            f" {f'{item.arrived_at:8.3f} s: reached' if item.arrived else 'reached no'} worker;"
            f" {', '.join(f'{at:.3f} s: run by {name}' for name, at in item.runs) or 'not run'};"
            f" {item.ended_at:8.3f} s: {item.outcome}, {item.received} bytes of the body"
            for item in self.exchanges.values()
        ]
        path.write_text("\n".join(lines) + "\n")
