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
# A request waits this long for its record to be taken before it is refused.
TICKET_SECONDS = 1.0
# New requests are refused at once when the standby dispatcher has failed for this long, so that
# they do not hold slots while they wait.
FAILING_SECONDS = 0.4
# Records that may wait; with more of them, all are transferred anew once that is possible.
MAX_PENDING = 4096
# A standby dispatcher without room is asked again after this time.
FULL_PAUSE_SECONDS = 0.5


@dataclass(slots=True)
class Ticket:
    """A record on its way to the standby dispatcher.

    :ivar error: Why the record was not taken.
    """

    record: Intent
    done: trio.Event = field(default_factory=trio.Event)
    error: NotRun | None = None

    def resolve(self, error: NotRun | None = None) -> None:
        """Say whether the record was taken."""
        if not self.done.is_set():
            self.error = error
            self.done.set()


class Replicator:
    """Keeps the standby dispatcher's copy of a group's records.

    A batch is sent while the next one gathers, so that many requests share one message.

    :param known: Returns whether this host has all earlier records itself.
    """

    def __init__(
        self,
        row: GroupRow,
        generation: int,
        log: IntentLog,
        clock: Clock,
        known: Callable[[], bool],
    ) -> None:
        self._known = known
        self.row = row
        self.generation = generation
        self._log = log
        self._clock = clock
        self._pending: list[Ticket] = []
        self._wake = trio.Event()
        self._sequence = 0
        self._synced = False
        self._announced = 0
        self._failing_since: float | None = None

    def update_row(self, row: GroupRow, generation: int) -> None:
        """Go on under a new row; a new standby dispatcher gets all records first."""
        if row.standby_dispatcher != self.row.standby_dispatcher:
            self._synced = False
            self._failing_since = None
        self.row = row
        self.generation = generation
        self._wake.set()

    def resync(self) -> None:
        """Send all records again, because it has changed whether this host has all of them."""
        self._synced = False
        self._wake.set()

    def submit(self, record: Intent) -> Ticket:
        """Queue a record that the store already holds."""
        if len(self._pending) >= MAX_PENDING:
            self._fail(_no_standby())
            self._synced = False
        ticket = Ticket(record)
        self._pending.append(ticket)
        self._wake.set()
        return ticket

    async def wait(self, ticket: Ticket, deadline: float) -> None:
        """Wait until a record is taken.

        :param deadline: Seconds since the Unix epoch.
        :raises NotRun: If it is not; the request must not be sent then.
        """
        left = min(deadline - self._clock.now(), TICKET_SECONDS)
        with trio.move_on_after(max(0.0, left)):
            await ticket.done.wait()
        if ticket.done.is_set() and ticket.error is not None:
            raise ticket.error
        self._check_leading()
        if not ticket.done.is_set():
            raise _no_standby()

    def check_available(self) -> None:
        """Check whether a new record has a chance to be taken.

        :raises NotRun: If it has none.
        """
        self._check_leading()
        if self.row.standby_dispatcher == self._log.me:
            raise _no_standby()
        failing = self._failing_since
        if failing is not None and self._clock.now() - failing > FAILING_SECONDS:
            raise _no_standby()

    async def drain(self, seconds: float) -> None:
        """Wait until no record is pending, at most for a time in seconds."""
        with trio.move_on_after(seconds):
            while self._pending:
                await trio.sleep(RETRY_PAUSE_SECONDS / 5)

    async def run(self) -> None:
        """Send records until cancelled."""
        while True:
            if self._idle():
                self._wake = trio.Event()
                await self._wake.wait()
            if self.row.standby_dispatcher is None:
                self._resolve(self._pending)
                self._pending = []
                continue
            try:
                if self._synced:
                    await self._send_pending()
                else:
                    await self._transfer()
            except PeerUnavailable as exc:
                logger.info("records of %s wait: %s", self.row.group, exc)
                self._failing_since = self._failing_since or self._clock.now()
                await trio.sleep(RETRY_PAUSE_SECONDS)
            except BatchRefused as exc:
                await self._on_refused(exc)

    def _idle(self) -> bool:
        if self.row.standby_dispatcher is None:
            return not self._pending
        return self._synced and not self._pending and self._announced == self.generation

    def _check_leading(self) -> None:
        if self._log.lowest_generation(self.row.group) > self.generation:
            raise NotOwner("not-dispatcher", "another host dispatches the group")

    async def _transfer(self) -> None:
        """Send all records of the group; those that wait are among them."""
        standby = self.row.standby_dispatcher
        known = self._known()
        self._sequence = 0
        waiting, self._pending = self._pending, []
        parts = split_batches(self._log.store.of_group(*_name(self.row)))
        try:
            for index, part in enumerate(parts):
                await self._send(part, complete=index == len(parts) - 1 and self._known())
        except BaseException:
            self._pending = waiting + self._pending
            raise
        self._resolve(waiting)
        self._synced = standby == self.row.standby_dispatcher and known == self._known()

    async def _send_pending(self) -> None:
        records = [ticket.record for ticket in self._pending]
        batch = self._pending[: len(split_batches(records)[0])]
        await self._send([ticket.record for ticket in batch], complete=False)
        del self._pending[: len(batch)]
        self._resolve(batch)

    async def _send(self, records: list[Intent], *, complete: bool) -> None:
        standby = self.row.standby_dispatcher
        generation = self.generation
        if standby is None or standby == self._log.me:
            # After a takeover the row still names this host as the standby dispatcher. Until a
            # new row names another one, a record would be lost together with this host.
            raise PeerUnavailable("no standby dispatcher yet", may_have_arrived=False)
        msg = Intents(
            self.row.group.service,
            self.row.group.group,
            generation,
            self._log.me.incarnation,
            self._sequence,
            complete,
            records,
        )
        # A new dispatcher that has fetched the records is told how running requests have ended.
        await self._log.replicate(self._log.successor(self.row.group) or standby.host, msg)
        self._sequence += 1
        self._announced = generation
        self._failing_since = None

    async def _on_refused(self, exc: BatchRefused) -> None:
        if exc.reason == "records-full":
            self._fail(NotRun("records-full", "the standby dispatcher has no room", retry_after=5))
            self._synced = False
            await trio.sleep(FULL_PAUSE_SECONDS)
        elif exc.reason == "stale-generation":
            self._fail(NotOwner("not-dispatcher", "another host dispatches the group"))
            await trio.sleep(RETRY_PAUSE_SECONDS)
        else:
            self._synced = False

    def _fail(self, error: NotRun) -> None:
        waiting, self._pending = self._pending, []
        for ticket in waiting:
            ticket.resolve(error)

    @staticmethod
    def _resolve(tickets: list[Ticket]) -> None:
        for ticket in tickets:
            ticket.resolve()


def _no_standby() -> NotRun:
    return NotRun("no-standby", "the standby dispatcher does not answer", retry_after=1.0)


def _name(row: GroupRow) -> tuple[str, int]:
    return row.group.service, row.group.group
