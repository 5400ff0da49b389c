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
    """A standby dispatcher did not take a batch of records.

    :param reason: ``stale-generation``, ``out-of-sequence`` or ``records-full``.
    """

    category = "records refused"

    def __init__(self, reason: str) -> None:
        super().__init__(f"the standby dispatcher refused the records: {reason}")
        self.reason = reason


class IntentLog:
    """Records of this host as dispatcher and as standby dispatcher.

    :param me: This run of this host.
    :param network: Connections to other hosts; without them nothing is exchanged.
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
            network.register(Intents, self._serve)
            network.register(IntentFetch, self._serve_fetch)

    def lowest_generation(self, group: GroupId) -> int:
        """Return the lowest generation that may still record new requests."""
        return self._group(group).lowest

    def successor(self, group: GroupId) -> str:
        """Return the host that dispatches a group after this one, empty if none has asked."""
        return self._group(group).successor

    def continues(self, group: GroupId, generation: int) -> bool:
        """Return whether this host goes on as the dispatcher without another one in between."""
        return self._group(group).continues(generation)

    def lead(self, group: GroupId, generation: int, *, first: bool) -> bool:
        """Become a group's dispatcher and return whether all earlier records are here."""
        return self._group(group).lead(generation, first)

    def set_known(self, group: GroupId) -> None:
        """Take the news that records that are not here are too old to be needed."""
        self._group(group).known = True

    def set_unknown(self, group: GroupId) -> None:
        """Take the news that slices whose records are not here were added to a group."""
        self._group(group).known = False

    def follow_row(self, row: GroupRow) -> None:
        """Take a new row of a group."""
        if row.standby_dispatcher == self.me and row.group in self._groups:
            self._groups[row.group].follow_row(row.generation, row.dispatcher.incarnation)

    def settle(self, record: Intent) -> None:
        """Take the end of a request that was recorded here."""
        self.store.settle(record)
        self._notify()

    async def wait_changed(self) -> None:
        """Wait until a recorded request has ended."""
        await self._changed.wait()

    async def replicate(self, host: str, batch: Intents) -> None:
        """Have a batch of records taken by the standby dispatcher.

        :raises BatchRefused: If it is not taken.
        :raises PeerUnavailable: If there is no answer; the batch may have been taken.
        """
        answer = await self._network.call(host, batch, ACK_TIMEOUT_SECONDS)
        if isinstance(answer, Failure):
            raise BatchRefused(answer.reason)

    async def fetch(self, group: GroupId, generation: int, hosts: Iterable[str]) -> bool:
        """Get a group's records from its former dispatcher or standby dispatcher.

        :param generation: Generation of this host as the new dispatcher.
        :return: Whether all earlier records are here now.
        """
        for host in hosts:
            try:
                if await self._fetch_from(host, group, generation):
                    self._group(group).known = True
                    return True
            except (PeerUnavailable, RecordsFull) as exc:
                logger.info("records of %s from %s: %s", group, host, exc)
        return False

    async def _fetch_from(self, host: str, group: GroupId, generation: int) -> bool:
        sequence = 0
        while True:
            ask = IntentFetch(group.service, group.group, generation, sequence)
            page = await self._network.call(host, ask, ACK_TIMEOUT_SECONDS)
            if not isinstance(page, Intents):
                return False
            self._take(page.records)
            if page.complete:
                return True
            sequence += 1

    def _group(self, group: GroupId) -> GroupRecords:
        return self._groups.setdefault(group, GroupRecords())

    async def _serve(self, _conn: PeerConnection, stream: Stream, msg: Message) -> None:
        assert isinstance(msg, Intents)
        reason = self._admit(msg)
        if reason is None:
            await stream.send(Acknowledge(True))
        else:
            await stream.send(Failure("not-run", reason, reason, 503))

    def _admit(self, msg: Intents) -> str | None:
        state = self._group(GroupId(msg.service, msg.group))
        if msg.generation < state.lowest:
            # A former dispatcher may still report how the requests that it sent have ended.
            self._take([record for record in msg.records if self._settles(record)])
            return "stale-generation"
        if not self.store.has_room([r for r in msg.records if r.state == SENT], self._clock.now()):
            return "records-full"
        reason = state.admit(msg.generation, msg.source, msg.sequence, msg.complete)
        if reason is None:
            self._take(msg.records)
        return reason

    def _settles(self, record: Intent) -> bool:
        known = self.store.get(record.service, record.idempotency_key, self._clock.now())
        return (
            record.state != SENT
            and known is not None
            and known.state == SENT
            and known.fingerprint == record.fingerprint
            and known.generation == record.generation
        )

    def _take(self, records: list[Intent]) -> None:
        now = self._clock.now()
        for record in records:
            if record.state == SENT:
                self.store.add(record, now)
            else:
                self.store.settle(record)
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def _serve_fetch(self, conn: PeerConnection, stream: Stream, msg: Message) -> None:
        assert isinstance(msg, IntentFetch)
        await stream.send(self._page(msg, conn.peer_name))

    def _page(self, msg: IntentFetch, asker: str) -> Message:
        at = (GroupId(msg.service, msg.group), msg.generation)
        if msg.sequence == 0:
            if not self._group(at[0]).surrender(msg.generation):
                return Failure("unknown", "records-unknown", "this host lacks records", 503)
            self._group(at[0]).successor = asker
            # Kept until the last page is fetched, so that records that end meanwhile move nothing.
            self._pages = {at: split_batches(self.store.of_group(msg.service, msg.group))}
        parts = self._pages.get(at, [])
        if msg.sequence >= len(parts):
            return Failure("unknown", "no-such-page", "the transfer has to begin again", 503)
        last = msg.sequence == len(parts) - 1
        return Intents(
            msg.service,
            msg.group,
            msg.generation,
            self.me.incarnation,
            msg.sequence,
            last,
            parts[msg.sequence],
        )
