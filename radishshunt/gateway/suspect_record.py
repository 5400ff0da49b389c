"""Record of suspects in the store, which outlasts all hosts.

Hosts pass suspects on to each other, and lose them if all of them end at once. The leader keeps the
most important ones in one row, which every host has read before it serves, itself or through the
host that it follows. The size of the row and the rate of writes are bounded.
"""

from __future__ import annotations

import json
import logging
from typing import TYPE_CHECKING

import trio

from radishshunt.errors import PlatformOutcomeUnknown, PlatformUnavailable, ProtocolError
from radishshunt.gateway.leadership import LeaseLost
from radishshunt.gateway.rows import Topic
from radishshunt.logs import decision
from radishshunt.suspect import Suspect

if TYPE_CHECKING:
    from collections.abc import Iterable

    from radishshunt.clock import Clock
    from radishshunt.gateway.leadership import Leadership
    from radishshunt.gateway.rows import Change
    from radishshunt.gateway.suspect_exchange import SuspectExchange
    from radishshunt.gateway.view import View
    from radishshunt.quarantine import Quarantine, SuspectKey

logger = logging.getLogger(__name__)

SUSPECTS_KEY = "suspects"
MAX_RECORDED_SUSPECTS = 64
# Share of a row's maximum size that the record may take.
MAX_ROW_SHARE = 0.5
CHECK_INTERVAL_SECONDS = 0.05
# Interval of writes. Suspects that are refused from now on are written at once.
WRITE_INTERVAL_SECONDS = 2.0
RETRY_DELAY_SECONDS = 0.2


class SuspectRecord:
    """Writes suspects to the store while this host leads, and takes over those found there.

    :param clock: Clock with Unix time, which the expiry of suspects refers to.
    """

    def __init__(
        self,
        view: View,
        leadership: Leadership,
        quarantine: Quarantine,
        suspects: SuspectExchange,
        clock: Clock,
        max_row_bytes: int,
    ) -> None:
        self._leadership = leadership
        self._quarantine = quarantine
        self._suspects = suspects
        self._clock = clock
        self._max_bytes = int(max_row_bytes * MAX_ROW_SHARE)
        self._changed = True
        # What the row is known to contain, and the term in which it was written.
        self._recorded: frozenset[tuple[int, frozenset[int], bool]] = frozenset()
        self._term = ""
        view.listeners.append(self._on_change)
        quarantine.listeners.append(self._on_suspect)

    async def run(self) -> None:
        """Keep the row up to date while this host leads; run until cancelled."""
        next_write_at = float("-inf")
        while True:
            await trio.sleep(CHECK_INTERVAL_SECONDS)
            if not self._leadership.valid:
                continue
            if self._leadership.term != self._term:
                # Another leader may have written the row, or a restore may have lost it.
                self._term, self._changed, self._recorded = self._leadership.term, True, frozenset()
            if not self._changed:
                continue
            suspects = self._quarantine.known_suspects(self._clock.now(), MAX_RECORDED_SUSPECTS)
            state = frozenset(self._describe(suspect) for suspect in suspects)
            if state == self._recorded:
                self._changed = False
                continue
            newly_refused = any(refused for _, _, refused in state - self._recorded)
            if not newly_refused and trio.current_time() < next_write_at:
                continue
            self._changed = False
            if await self._write(suspects):
                self._recorded = state
                next_write_at = trio.current_time() + WRITE_INTERVAL_SECONDS
            else:
                self._changed = True
                await trio.sleep(RETRY_DELAY_SECONDS)

    async def _write(self, suspects: tuple[Suspect, ...]) -> bool:
        """Write the row, and return whether that is known to have succeeded."""
        value = encode_suspects(suspects, self._max_bytes)
        try:
            result = await self._leadership.commit({}, [(SUSPECTS_KEY, value)])
        except (PlatformUnavailable, PlatformOutcomeUnknown, ProtocolError, LeaseLost) as exc:
            logger.info("writing the suspects failed: %r", exc)
            return False
        if result.done:
            decision("suspects-recorded", suspects=len(suspects), bytes=len(value))
        return result.done

    def _describe(self, suspect: Suspect) -> tuple[int, frozenset[int], bool]:
        refused = self._quarantine.would_refuse(
            suspect.fingerprint, suspect.idempotency_key, self._clock.now()
        )
        return suspect.fingerprint, frozenset(suspect.deaths), refused

    def _on_suspect(self, _key: SuspectKey) -> None:
        self._changed = True

    def _on_change(self, change: Change | None) -> None:
        """Take over the suspects of a row that was read."""
        if change is None or change.topic is not Topic.OWN:
            return
        for row in change.rows:
            if row.key == SUSPECTS_KEY and row.value is not None:
                try:
                    self._suspects.merge(decode_suspects(row.value))
                except ProtocolError as exc:
                    logger.warning("ignoring the recorded suspects: %s", exc)


def encode_suspects(suspects: Iterable[Suspect], max_bytes: int) -> bytes:
    """Return suspects as the value of a row: as many of the last ones as fit."""
    items = [
        {
            "fingerprint": f"{suspect.fingerprint:016x}",
            "key": suspect.idempotency_key,
            "lost": [f"{item:016x}" for item in suspect.deaths],
            "concurrent": [f"{item:016x}" for item in suspect.concurrent],
            "cleared": [f"{item:016x}" for item in suspect.cleared],
            "expires_at": suspect.expires_at,
        }
        for suspect in suspects
    ]
    while True:
        value = json.dumps({"suspects": items}, separators=(",", ":")).encode()
        if len(value) <= max_bytes:
            return value
        del items[: len(items) // 4 + 1]


def decode_suspects(value: bytes) -> tuple[Suspect, ...]:
    """Return the suspects in the value of a row.

    :raises ProtocolError: If it is malformed.
    """
    try:
        return tuple(
            Suspect(
                int(item["fingerprint"], 16),
                [int(lost, 16) for lost in item["lost"]],
                str(item["key"]),
                float(item["expires_at"]),
                [int(lost, 16) for lost in item["concurrent"]],
                [int(lost, 16) for lost in item["cleared"]],
            )
            for item in json.loads(value)["suspects"]
        )
    except (ValueError, TypeError, KeyError, RecursionError) as exc:
        raise ProtocolError(f"malformed record of suspects: {exc!r}") from exc
