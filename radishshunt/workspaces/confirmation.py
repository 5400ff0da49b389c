"""Until when the operators' rows that a host has applied are known to be complete.

A key that the operators have removed must not be accepted for long, also on a host that hears
nothing of the removal. So a host accepts keys only for a bounded time after the last moment before
which its rows are known to have been complete.

Times are those of the host's boot clock, so that a host that was frozen or suspended notices it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from radishshunt.gateway.model import Configuration
    from radishshunt.gateway.rows import Row, RowReader


@dataclass(slots=True)
class Confirmation:
    """Confirmation of the operators' rows of one host.

    :ivar confirmed_at: Time before which these rows are known to be complete.
    :ivar suspended: Whether the newest row of the configuration is not the one in force, so that
        nothing is confirmed.
    """

    confirmed_at: float = -math.inf
    suspended: bool = False

    def age(self, now: float) -> float:
        """Return the seconds since the rows were known to be complete, infinite if never."""
        return max(0.0, now - self.confirmed_at)

    def confirm(self, complete_before: float) -> None:
        """Record that the rows applied so far include all that were written before a time.

        :param complete_before: Start of a call to the store, never the time of its answer.
        """
        if not self.suspended:
            self.confirmed_at = max(self.confirmed_at, complete_before)

    def read_configuration(
        self, reader: RowReader, row: Row, known: Configuration | None
    ) -> Configuration:
        """Decode a newer row of the configuration.

        :param known: Configuration in force. One of an older version stands only in a restored
            store and does not replace it. Another one of the same version is not put in force
            either, and might lack a key.
        :raises ProtocolError: If the row is malformed; nothing is confirmed then until another row
            is read.
        """
        self.suspended = True
        cfg = reader.configuration(row.value or b"")
        self.suspended = known is not None and cfg.version == known.version and cfg != known
        return cfg
