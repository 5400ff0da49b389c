"""Sends a dispatcher's records of non-idempotent requests to its standby dispatcher."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from radishshunt.errors import NotOwner, NotRun, PeerUnavailable
from radishshunt.intent_log import BatchRefused
from radishshunt.intents import split_batches
from radishshunt.wire.messages import Intents

if TYPE_CHECKING:
    from collections.abc import Callable

    from radishshunt.clock import Clock
    from radishshunt.intent_log import IntentLog
    from radishshunt.model import GroupRow
    from radishshunt.wire.messages import Intent

logger = logging.getLogger(__name__)

RETRY_PAUSE_SECONDS = 0.1
# A request is refused if the standby dispatcher has not accepted its record within this time.
RECORD_TIMEOUT_SECONDS = 1.0
# New requests are refused immediately when the standby dispatcher has not answered for this long,
# so that they do not hold slots while they wait.
STANDBY_FAILING_SECONDS = 0.4
# Limit of records that wait to be sent. When it is reached, the requests of these records are
# refused, and all records of the group are sent again as soon as possible.
MAX_PENDING_RECORDS = 4096
# Pause before sending again to a standby dispatcher that has no room for records.
STANDBY_FULL_PAUSE_SECONDS = 0.5


@dataclass(slots=True)
class PendingRecord:
    """A record that waits for the standby dispatcher to accept it.

    :ivar error: Why the record was not accepted.
    """

    record: Intent
    done: trio.Event = field(default_factory=trio.Event)
    error: NotRun | None = None

    def resolve(self, error: NotRun | None = None) -> None:
        """Report that the record was accepted, or why it was not; later calls do nothing."""
        if not self.done.is_set():
            self.error = error
            self.done.set()


class Replicator:
    """Replicates a group's records to the standby dispatcher.

    While one batch is sent, the next one is collected, so that many requests share one message.

    :param has_all_records: Returns whether this host has all earlier records.
    """

    def __init__(
        self,
        row: GroupRow,
        generation: int,
        log: IntentLog,
        clock: Clock,
        has_all_records: Callable[[], bool],
    ) -> None:
        self._has_all_records = has_all_records
        self.row = row
        self.generation = generation
        self._log = log
        self._clock = clock
        self._pending_records: list[PendingRecord] = []
        self._wake_event = trio.Event()
        self._sequence = 0
        self._synced = False
        self._replicated_generation = 0
        self._failing_since: float | None = None

    def update_row(self, row: GroupRow, generation: int) -> None:
        """Continue under a new row; a new standby dispatcher first gets all records."""
        if row.standby_dispatcher != self.row.standby_dispatcher:
            self._synced = False
            self._failing_since = None
        self.row = row
        self.generation = generation
        self._wake_event.set()

    def resync(self) -> None:
        """Send all records again.

        Called when the earlier records that this host has may have become complete or incomplete.
        """
        self._synced = False
        self._wake_event.set()

    def submit(self, record: Intent) -> PendingRecord:
        """Queue a record for sending; the store must already hold it."""
        if len(self._pending_records) >= MAX_PENDING_RECORDS:
            self._fail_pending(_no_standby_error())
            self._synced = False
        pending = PendingRecord(record)
        self._pending_records.append(pending)
        self._wake_event.set()
        return pending

    async def wait(self, pending: PendingRecord, deadline: float) -> None:
        """Wait until the standby dispatcher has accepted a record.

        :param deadline: Seconds since the Unix epoch.
        :raises NotRun: If the standby dispatcher has not accepted the record in time; the
            request must not be sent then.
        """
        remaining = min(deadline - self._clock.now(), RECORD_TIMEOUT_SECONDS)
        with trio.move_on_after(max(0.0, remaining)):
            await pending.done.wait()
        if pending.done.is_set() and pending.error is not None:
            raise pending.error
        self._check_still_dispatcher()
        if not pending.done.is_set():
            raise _no_standby_error()

    def check_available(self) -> None:
        """Check that the standby dispatcher can be expected to accept a new record.

        :raises NotRun: If this host does not dispatch the group any more, or if the standby
            dispatcher is missing or failing.
        """
        self._check_still_dispatcher()
        if self.row.standby_dispatcher == self._log.me:
            raise _no_standby_error()
        failing = self._failing_since
        if failing is not None and self._clock.now() - failing > STANDBY_FAILING_SECONDS:
            raise _no_standby_error()

    async def drain(self, seconds: float) -> None:
        """Wait until no record is pending, or until a time in seconds has passed."""
        with trio.move_on_after(seconds):
            while self._pending_records:
                await trio.sleep(RETRY_PAUSE_SECONDS / 5)

    async def run(self) -> None:
        """Send records until cancelled."""
        while True:
            if self._is_idle():
                self._wake_event = trio.Event()
                await self._wake_event.wait()
            if self.row.standby_dispatcher is None:
                self._resolve_all(self._pending_records)
                self._pending_records = []
                continue
            try:
                if self._synced:
                    await self._send_pending()
                else:
                    await self._send_all_records()
            except PeerUnavailable as exc:
                logger.info("replication of records of %s is delayed: %s", self.row.group, exc)
                self._failing_since = self._failing_since or self._clock.now()
                await trio.sleep(RETRY_PAUSE_SECONDS)
            except BatchRefused as exc:
                await self._on_batch_refused(exc)

    def _is_idle(self) -> bool:
        if self.row.standby_dispatcher is None:
            return not self._pending_records
        return (
            self._synced
            and not self._pending_records
            and self._replicated_generation == self.generation
        )

    def _check_still_dispatcher(self) -> None:
        if self._log.lowest_generation(self.row.group) > self.generation:
            raise NotOwner("not-dispatcher", "another host dispatches the group")

    async def _send_all_records(self) -> None:
        """Send all records of the group, which include the pending ones."""
        standby = self.row.standby_dispatcher
        known = self._has_all_records()
        self._sequence = 0
        pending_records, self._pending_records = self._pending_records, []
        batches = split_batches(self._log.store.sent_records(*_group_key(self.row)))
        try:
            for index, batch in enumerate(batches):
                await self._send_batch(
                    batch, complete=index == len(batches) - 1 and self._has_all_records()
                )
        except BaseException:
            self._pending_records = pending_records + self._pending_records
            raise
        self._resolve_all(pending_records)
        self._synced = standby == self.row.standby_dispatcher and known == self._has_all_records()

    async def _send_pending(self) -> None:
        records = [pending.record for pending in self._pending_records]
        batch = self._pending_records[: len(split_batches(records)[0])]
        await self._send_batch([pending.record for pending in batch], complete=False)
        del self._pending_records[: len(batch)]
        self._resolve_all(batch)

    async def _send_batch(self, records: list[Intent], *, complete: bool) -> None:
        standby = self.row.standby_dispatcher
        generation = self.generation
        if standby is None or standby == self._log.me:
            # After a takeover, the row still names this host as the standby dispatcher. Until a
            # new row names another host, the only copy of a record would be lost with this host.
            raise PeerUnavailable("no standby dispatcher is assigned yet", may_have_arrived=False)
        msg = Intents(
            self.row.group.service,
            self.row.group.group,
            generation,
            self._log.me.incarnation,
            self._sequence,
            complete,
            records,
        )
        # If a new dispatcher has fetched the records, it gets the outcomes of running requests.
        await self._log.replicate(self._log.successor(self.row.group) or standby.host, msg)
        self._sequence += 1
        self._replicated_generation = generation
        self._failing_since = None

    async def _on_batch_refused(self, exc: BatchRefused) -> None:
        if exc.reason == "records-full":
            self._fail_pending(
                NotRun("records-full", "the standby dispatcher has no room", retry_after=5)
            )
            self._synced = False
            await trio.sleep(STANDBY_FULL_PAUSE_SECONDS)
        elif exc.reason == "stale-generation":
            self._fail_pending(NotOwner("not-dispatcher", "another host dispatches the group"))
            await trio.sleep(RETRY_PAUSE_SECONDS)
        else:
            self._synced = False

    def _fail_pending(self, error: NotRun) -> None:
        pending_records, self._pending_records = self._pending_records, []
        for pending in pending_records:
            pending.resolve(error)

    @staticmethod
    def _resolve_all(pending_records: list[PendingRecord]) -> None:
        for pending in pending_records:
            pending.resolve()


def _no_standby_error() -> NotRun:
    return NotRun("no-standby", "the standby dispatcher does not answer", retry_after=1.0)


def _group_key(row: GroupRow) -> tuple[str, int]:
    return row.group.service, row.group.group
