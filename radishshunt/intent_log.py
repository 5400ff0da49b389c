"""Exchange of records of non-idempotent requests between hosts."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio

from radishshunt.errors import PeerUnavailable, RadishshuntError
from radishshunt.intents import SENT, GroupRecords, IntentStore, RecordsFull, split_batches
from radishshunt.model import GroupId
from radishshunt.wire.messages import Acknowledge, Failure, IntentFetch, Intents

if TYPE_CHECKING:
    from collections.abc import Iterable

    from radishshunt.clock import Clock
    from radishshunt.model import GroupRow, HostRef
    from radishshunt.peers import PeerNetwork
    from radishshunt.wire.connection import PeerConnection, Stream
    from radishshunt.wire.messages import Intent, Message

logger = logging.getLogger(__name__)

ACK_TIMEOUT_SECONDS = 0.4


class BatchRefused(RadishshuntError):
    """A standby dispatcher refused a batch of records.

    :param reason: ``stale-generation``, ``out-of-sequence`` or ``records-full``.
    """

    category = "records refused"

    def __init__(self, reason: str) -> None:
        super().__init__(f"the standby dispatcher refused the records: {reason}")
        self.reason = reason


class IntentLog:
    """Records of this host as dispatcher and as standby dispatcher, by group.

    :param me: This host and its incarnation.
    :param network: Connections to other hosts; ``None`` to exchange nothing.
    :param store: Store of the records, by default an empty one.
    """

    def __init__(
        self,
        me: HostRef,
        network: PeerNetwork | None,
        clock: Clock,
        store: IntentStore | None = None,
    ) -> None:
        self.me = me
        self.store = store or IntentStore()
        self._network = network
        self._clock = clock
        self._groups: dict[GroupId, GroupRecords] = {}
        self._pages: dict[tuple[GroupId, int], list[list[Intent]]] = {}
        self._changed = trio.Event()
        if network is not None:
            network.register(Intents, self._receive_batch)
            network.register(IntentFetch, self._answer_fetch)

    def lowest_generation(self, group: GroupId) -> int:
        """Return the lowest generation that may still record new requests."""
        return self._group(group).lowest_generation

    def successor(self, group: GroupId) -> str:
        """Return the new dispatcher that requested a group's records, empty if none has."""
        return self._group(group).successor

    def continues_as_dispatcher(self, group: GroupId, generation: int) -> bool:
        """Return whether this host stays the dispatcher under the row that directly follows."""
        return self._group(group).continues_as_dispatcher(generation)

    def become_dispatcher(self, group: GroupId, generation: int, *, first: bool) -> bool:
        """Become a group's dispatcher and return whether this host has all earlier records."""
        return self._group(group).become_dispatcher(generation, first)

    def mark_complete(self, group: GroupId) -> None:
        """Mark a group's records as complete, because the missing ones have expired."""
        self._group(group).has_all_records = True

    def mark_incomplete(self, group: GroupId) -> None:
        """Mark a group's records as incomplete, because it gained slices without their records."""
        self._group(group).has_all_records = False

    def apply_row(self, row: GroupRow) -> None:
        """Keep the copy of a group's records valid under its new row, if the dispatcher stays."""
        if row.standby_dispatcher == self.me and row.group in self._groups:
            self._groups[row.group].renew_replica(row.generation, row.dispatcher.incarnation)

    def record_outcome(self, record: Intent) -> None:
        """Store the outcome of a request and wake the tasks that wait for it."""
        self.store.record_outcome(record)
        self._notify()

    async def wait_changed(self) -> None:
        """Wait until a record has changed."""
        await self._changed.wait()

    async def replicate(self, host: str, batch: Intents) -> None:
        """Send a batch of records to the standby dispatcher and wait until it has stored them.

        :raises BatchRefused: If the standby dispatcher refuses the batch.
        :raises PeerUnavailable: If there is no answer; the batch may have been stored.
        """
        answer = await self._network.call(host, batch, ACK_TIMEOUT_SECONDS)
        if isinstance(answer, Failure):
            raise BatchRefused(answer.reason)

    async def fetch(self, group: GroupId, generation: int, hosts: Iterable[str]) -> bool:
        """Fetch a group's records from its former dispatcher or standby dispatcher.

        :param generation: Generation of this host as the new dispatcher.
        :param hosts: Hosts to ask, until one returns all records.
        :return: Whether this host has all earlier records now.
        """
        for host in hosts:
            try:
                if await self._fetch_from(host, group, generation):
                    self._group(group).has_all_records = True
                    return True
            except (PeerUnavailable, RecordsFull) as exc:
                logger.info("fetching the records of %s from %s failed: %s", group, host, exc)
        return False

    async def _fetch_from(self, host: str, group: GroupId, generation: int) -> bool:
        sequence = 0
        while True:
            fetch = IntentFetch(group.service, group.group, generation, sequence)
            page = await self._network.call(host, fetch, ACK_TIMEOUT_SECONDS)
            if not isinstance(page, Intents):
                return False
            self._store_records(page.records)
            if page.complete:
                return True
            sequence += 1

    def _group(self, group: GroupId) -> GroupRecords:
        return self._groups.setdefault(group, GroupRecords())

    async def _receive_batch(self, _conn: PeerConnection, stream: Stream, msg: Message) -> None:
        assert isinstance(msg, Intents)
        reason = self._accept_batch(msg)
        if reason is None:
            await stream.send(Acknowledge(True))
        else:
            await stream.send(Failure("not-run", reason, reason, 503))

    def _accept_batch(self, msg: Intents) -> str | None:
        state = self._group(GroupId(msg.service, msg.group))
        if msg.generation < state.lowest_generation:
            # A former dispatcher may still report the outcomes of requests that it has sent.
            self._store_records([record for record in msg.records if self._is_late_outcome(record)])
            return "stale-generation"
        if not self.store.has_room([r for r in msg.records if r.state == SENT], self._clock.now()):
            return "records-full"
        reason = state.accept_batch(msg.generation, msg.source, msg.sequence, msg.complete)
        if reason is None:
            self._store_records(msg.records)
        return reason

    def _is_late_outcome(self, record: Intent) -> bool:
        known = self.store.get(record.service, record.idempotency_key, self._clock.now())
        return (
            record.state != SENT
            and known is not None
            and known.state == SENT
            and known.fingerprint == record.fingerprint
            and known.generation == record.generation
        )

    def _store_records(self, records: list[Intent]) -> None:
        now = self._clock.now()
        for record in records:
            if record.state == SENT:
                self.store.add(record, now)
            else:
                self.store.record_outcome(record)
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def _answer_fetch(self, conn: PeerConnection, stream: Stream, msg: Message) -> None:
        assert isinstance(msg, IntentFetch)
        await stream.send(self._build_page(msg, conn.peer_name))

    def _build_page(self, msg: IntentFetch, requester: str) -> Message:
        transfer_key = (GroupId(msg.service, msg.group), msg.generation)
        if msg.sequence == 0:
            if not self._group(transfer_key[0]).seal_below(msg.generation):
                return Failure("unknown", "records-unknown", "this host lacks records", 503)
            self._group(transfer_key[0]).successor = requester
            # Split once for all pages, so that records that change meanwhile do not shift them.
            self._pages = {
                transfer_key: split_batches(self.store.sent_records(msg.service, msg.group))
            }
        batches = self._pages.get(transfer_key, [])
        if msg.sequence >= len(batches):
            return Failure("unknown", "no-such-page", "the transfer has to begin again", 503)
        last = msg.sequence == len(batches) - 1
        return Intents(
            msg.service,
            msg.group,
            msg.generation,
            self.me.incarnation,
            msg.sequence,
            last,
            batches[msg.sequence],
        )
