"""Simulation of entries that other writers put beside, or in the place of, those of targets.

They come at random steps of grants, renewals and releases, while leaders are killed and targets
restart, are cut off or drain.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from tests.support.grant_simulation import GrantSimulation
from tests.test_gateway.conftest import entry_value

if TYPE_CHECKING:
    from radishshunt.gateway.exchange import HttpResponse, OutgoingRequest
    from tests.support.grant_simulation import Process

# Share of the commands at which an entry is written.
RENEWAL_SHARE = 0.1
RELEASE_SHARE = 0.5
# Time until a target writes its own entry again.
MAX_REWRITE_SECONDS = 0.9
LATER_BORN = 1_000_000


class ForeignEntrySimulation(GrantSimulation):
    """Leaders that grant keys while other writers register processes that do not exist.

    :ivar written: Number of foreign entries so far.
    """

    written = 0

    async def deliver(self, process: Process, req: OutgoingRequest) -> HttpResponse:
        """Deliver a command, and write a foreign entry before or after it at random."""
        share = RELEASE_SHARE if req.target.endswith(b"release") else RENEWAL_SHARE
        if self.faults and self.rng.random() < share:
            self.later(self.rng.uniform(0.0, 1.0), lambda: self._write_foreign_entry(process))
        return await super().deliver(process, req)

    def _write_foreign_entry(self, process: Process) -> None:
        self.written += 1
        choice = self.rng.random()
        born = LATER_BORN + self.written
        if choice < 0.4:
            doc = json.loads(entry_value(process.address, born=born))
            doc["Info"]["Service"] = "inventory"
            self._write_row(f"x-{self.written}", json.dumps(doc).encode())
        elif choice < 0.6:
            self._write_row(f"x-{self.written}", entry_value(process.address, born=born))
        elif process.alive:
            value = entry_value("127.0.0.99:9", born=born)
            if choice < 0.7:
                value = b"no entry"
            self._write_row(process.registration, value)
            self.later(
                self.rng.uniform(0.1, MAX_REWRITE_SECONDS), lambda: self._write_own_entry(process)
            )

    def _write_own_entry(self, process: Process) -> None:
        if process.alive:
            value = entry_value(process.address, born=process.born, Sequence=self.written + 1)
            self._write_row(process.registration, value)
