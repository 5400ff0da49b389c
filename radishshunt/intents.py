"""Records of non-idempotent requests, which ensure that each runs at most once."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING
from uuid import UUID

from radishshunt.clock import CLOCK_SKEW_BOUND_SECONDS
from radishshunt.errors import NotRun, OutcomeOfRequestUnknown, RanWithoutResponse
from radishshunt.model import Response, body_of

if TYPE_CHECKING:
    from collections.abc import Iterable

    from radishshunt.wire.messages import Intent

RETENTION_SECONDS = 600.0
MAX_RECORDS = 100_000
MAX_BYTES = 64 * 1024 * 1024
# Largest answer body that is stored with a record.
MAX_ANSWER_BYTES = 64 * 1024
# Memory of a record's objects, about 700 bytes, without its key, headers and answer body.
RECORD_OVERHEAD_BYTES = 700
# Callers' clocks may run ahead by this much. A key whose timestamp is further in the future is
# refused at its first use: if both dispatchers are lost later, the timestamp would make the key
# look unused.
CALLER_SKEW_SECONDS = 5.0
# Limits of the records in one message; a frame is at most 1 MiB.
BATCH_RECORDS = 256
BATCH_BYTES = 512 * 1024

# Waits for a slot. The record is not replicated, so it disappears if the dispatcher is lost.
QUEUED = "queued"
SENT = "sent"
ANSWERED = "answered"
RAN = "ran"
UNKNOWN = "unknown"
NOT_RUN = "not-run"


def key_time(key: str) -> float | None:
    """Return the creation time of a UUIDv7, in seconds since the Unix epoch.

    :return: ``None`` if the key is not a UUIDv7.
    """
    try:
        uuid = UUID(key)
    except ValueError:
        return None
    if uuid.version != 7:
        return None
    return (uuid.int >> 80) / 1000


def new_request_id(now: float, random_bits: int) -> str:
    """Return a UUIDv7 as 32 hexadecimal digits.

    :param now: Seconds since the Unix epoch.
    :param random_bits: At least 74 random bits.
    """
    value = (int(now * 1000) & ((1 << 48) - 1)) << 80
    value |= 7 << 76
    value |= ((random_bits >> 62) & 0xFFF) << 64
    value |= 0b10 << 62
    value |= random_bits & ((1 << 62) - 1)
    return f"{value:032x}"


class RecordsFull(NotRun):
    """The store has no room for another record."""

    def __init__(self) -> None:
        super().__init__("records-full", "too many recorded requests", retry_after=5.0)


class IntentStore:
    """Records of one host, by service and idempotency key.

    :param max_records: Maximum number of records.
    :param max_bytes: Maximum memory of all records, in bytes.
    """

    def __init__(self, max_records: int = MAX_RECORDS, max_bytes: int = MAX_BYTES) -> None:
        self.max_records = max_records
        self.max_bytes = max_bytes
        self.bytes = 0
        self._records: OrderedDict[tuple[str, str], Intent] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def get(self, service: str, key: str, now: float) -> Intent | None:
        """Return the record of a key, ``None`` if there is none or it has expired."""
        self._expire(now)
        return self._records.get((service, key))

    def sent_records(self, service: str, group: int) -> list[Intent]:
        """Return the records of a group's sent requests, in order of creation."""
        return [
            record
            for record in self._records.values()
            if (record.service, record.group) == (service, group) and record.state != QUEUED
        ]

    def add(self, record: Intent, now: float) -> None:
        """Add or update the record of a request that has not ended.

        :raises RecordsFull: If there is no room for the record.
        """
        self._expire(now)
        existing = self._records.get((record.service, record.idempotency_key))
        freed = _size_of(existing) if existing is not None else 0
        if len(self._records) - (existing is not None) >= self.max_records:
            raise RecordsFull
        if self.bytes - freed + _size_of(record) > self.max_bytes:
            raise RecordsFull
        self._put(record)

    def has_room(self, records: list[Intent], now: float) -> bool:
        """Return whether there is room for all of the given records."""
        self._expire(now)
        new = [r for r in records if (r.service, r.idempotency_key) not in self._records]
        return (
            len(self._records) + len(new) <= self.max_records
            and self.bytes + sum(_size_of(r) for r in new) <= self.max_bytes
        )

    def record_outcome(self, record: Intent) -> None:
        """Store the outcome of a request; the record of one that did not run is removed.

        If there is no memory for the answer, only the fact that the request ran is kept.
        """
        record_key = (record.service, record.idempotency_key)
        existing = self._records.get(record_key)
        if record.state == NOT_RUN:
            if existing is not None:
                self._remove(record_key)
            return
        freed = _size_of(existing) if existing is not None else 0
        if self.bytes - freed + _size_of(record) > self.max_bytes:
            record = without_answer(record)
        self._put(record)

    def _put(self, record: Intent) -> None:
        record_key = (record.service, record.idempotency_key)
        existing = self._records.get(record_key)
        if existing is not None:
            self.bytes -= _size_of(existing)
        self._records[record_key] = record
        self.bytes += _size_of(record)

    def _remove(self, record_key: tuple[str, str]) -> None:
        self.bytes -= _size_of(self._records.pop(record_key))

    def _expire(self, now: float) -> None:
        while self._records:
            record_key, record = next(iter(self._records.items()))
            if record.created_at + RETENTION_SECONDS > now:
                return
            self._remove(record_key)


class RecordHorizon:
    """Decides whether the absence of a record proves that a request was never sent.

    For a dispatcher that lacks its predecessor's records, this holds only for keys that were
    created after the predecessor had certainly stopped sending. For each slice, that is certain
    from the time when a target that was fenced for this dispatcher first serves the slice.

    :param has_all_records: Whether the dispatcher has all earlier records.
    """

    def __init__(self, has_all_records: bool) -> None:
        self.has_all_records = has_all_records
        self._served_since: dict[int | None, float] = {}

    def reset(self, has_all_records: bool) -> None:
        """Start again after another dispatcher may have sent requests.

        :param has_all_records: Whether this host has the records of that dispatcher.
        """
        self.has_all_records = has_all_records
        self._served_since.clear()

    def add_gained_slices(self, gained: Iterable[int], kept: Iterable[int]) -> None:
        """Add slices from another group, whose records this host does not have.

        :param gained: The added slices.
        :param kept: Slices that the group had before; nothing changes for them.
        """
        if self.has_all_records:
            # The records of the kept slices are complete, whatever the age of a key.
            self._served_since = dict.fromkeys(kept, -RETENTION_SECONDS)
            self.has_all_records = False
        for slice_number in gained:
            self._served_since.pop(slice_number, None)

    def add_served_slices(self, slices: Iterable[int | None], now: float) -> None:
        """Record that targets serve slices under this dispatcher's fences."""
        if not self.has_all_records:
            for slice_number in slices:
                self._served_since.setdefault(slice_number, now)

    def missing_records_expired(self, slices: Iterable[int | None], now: float) -> bool:
        """Return whether the missing records of all given slices have expired by now."""
        if self.has_all_records:
            return False
        return all(
            slice_number in self._served_since
            and now >= self._served_since[slice_number] + RETENTION_SECONDS
            for slice_number in slices
        )

    def check_never_sent(
        self, slice_number: int | None, key: str, now: float, *, from_caller: bool
    ) -> None:
        """Check that a request without a record was never sent before.

        :param slice_number: Slice of the request's key.
        :param key: Idempotency key, or the request id that a host created.
        :param from_caller: Whether the key was created by a caller and not by a host.
        :raises OutcomeOfRequestUnknown: If an earlier dispatcher may have sent the request, or if
            its record may have expired.
        :raises NotRun: If the key's timestamp is in the future.
        """
        made_at = key_time(key)
        skew = CALLER_SKEW_SECONDS if from_caller else CLOCK_SKEW_BOUND_SECONDS
        if made_at is not None and made_at > now + skew:
            raise NotRun(
                "key-from-future", "the idempotency key's timestamp is in the future", status=422
            )
        if made_at is not None and made_at + RETENTION_SECONDS < now:
            raise OutcomeOfRequestUnknown(
                "key-expired", "records of keys of that age are no longer kept"
            )
        if self.has_all_records:
            return
        since = self._served_since.get(slice_number)
        if since is not None and now >= since + RETENTION_SECONDS:
            return
        if since is None or made_at is None or made_at < since + skew:
            raise OutcomeOfRequestUnknown(
                "records-lost", "an earlier dispatcher may have sent it; its records are lost"
            )


@dataclass(slots=True)
class ReplicaState:
    """State of a standby dispatcher's copy of a group's records.

    :param generation: Generation of the last accepted batch or row.
    :param source: Incarnation of the dispatcher that sends the records.
    :param next_sequence: Sequence number of the next batch.
    :param complete: Whether the copy has all records of the group.
    """

    generation: int
    source: int
    next_sequence: int = 1
    complete: bool = False


@dataclass(slots=True)
class GroupRecords:
    """A host's state as dispatcher or standby dispatcher for the records of one group.

    :ivar lowest_generation: Lowest generation whose new records are accepted.
    :ivar dispatcher_generation: Generation under which this host is the dispatcher, 0 if it is
        not.
    :ivar has_all_records: Whether this host as the dispatcher has all earlier records.
    :ivar successor: Host that has requested the records as the new dispatcher.
    :ivar replica: This host's copy as the standby dispatcher, ``None`` if it has none.
    """

    lowest_generation: int = 0
    dispatcher_generation: int = 0
    has_all_records: bool = False
    successor: str = ""
    replica: ReplicaState | None = None

    def continues_as_dispatcher(self, generation: int) -> bool:
        """Return whether this host stays the dispatcher under the row that directly follows."""
        return (
            bool(self.dispatcher_generation) and generation - (self.dispatcher_generation & ~1) == 2
        )

    def become_dispatcher(self, generation: int, first: bool) -> bool:
        """Become the group's dispatcher and refuse new records of lower generations from now on.

        :param first: Whether the group has never had a dispatcher.
        :return: Whether this host has all earlier records.
        """
        replica, self.replica = self.replica, None
        self.lowest_generation = max(self.lowest_generation, generation)
        if self.continues_as_dispatcher(generation):
            # Between two successive rows only the standby dispatcher can have taken over, and it
            # records no new requests before a row gives it a standby dispatcher of its own.
            complete = self.has_all_records
        else:
            complete = (
                replica is not None
                and replica.complete
                and 0 < generation - replica.generation <= 2
            )
        self.dispatcher_generation = generation
        self.successor = ""
        self.has_all_records = first or complete
        return self.has_all_records

    def seal_below(self, generation: int) -> bool:
        """Refuse new records of generations below that of a new dispatcher.

        Nothing is refused if this host lacks records.

        :param generation: Generation of the new dispatcher.
        :return: Whether this host has all records of the dispatchers before the new one.
        """
        replica = self.replica
        if replica is not None:
            complete = replica.complete and 0 < generation - replica.generation <= 2
        else:
            complete = self.has_all_records and 0 < generation - self.dispatcher_generation <= 2
        if complete:
            self.lowest_generation = max(self.lowest_generation, generation)
        return complete

    def renew_replica(self, generation: int, source: int) -> None:
        """Keep the copy valid under the next row if that row names the same dispatcher.

        :param generation: Generation of the row, which names this host as standby dispatcher.
        :param source: Incarnation of the dispatcher that the row names.
        """
        replica = self.replica
        if (
            replica is not None
            and replica.source == source
            and generation == replica.generation + 2
        ):
            replica.generation = generation

    def accept_batch(
        self, generation: int, source: int, sequence: int, complete: bool
    ) -> str | None:
        """Accept a batch if it is the next one in sequence or repeats the last one.

        Batch 0 starts a new copy.

        :param complete: Whether the copy has all records of the group with this batch.
        :return: Reason for which the batch is refused, or ``None``.
        """
        replica = self.replica
        if generation < self.lowest_generation or (replica and generation < replica.generation):
            return "stale-generation"
        if sequence == 0:
            self.dispatcher_generation = 0
            self.replica = ReplicaState(generation, source, complete=complete)
            return None
        if replica is None or replica.source != source:
            return "out-of-sequence"
        if sequence not in (replica.next_sequence, replica.next_sequence - 1):
            return "out-of-sequence"
        replica.generation = generation
        replica.next_sequence = sequence + 1
        replica.complete = replica.complete or complete
        return None


def split_batches(records: list[Intent]) -> list[list[Intent]]:
    """Split records into batches that fit into a frame; no records give one empty batch."""
    parts: list[list[Intent]] = [[]]
    size = 0
    for record in records:
        if parts[-1] and (len(parts[-1]) >= BATCH_RECORDS or size > BATCH_BYTES):
            parts.append([])
            size = 0
        parts[-1].append(record)
        size += _size_of(record)
    return parts


def without_answer(record: Intent) -> Intent:
    """Return a record without its answer, which states only that the request ran."""
    if record.state != ANSWERED:
        return record
    return replace(record, state=RAN, status=0, headers=[], body=b"")


def recorded_answer(record: Intent) -> Response:
    """Return the recorded answer of a request that has ended.

    :raises RanWithoutResponse: If the request ran, but its answer was not stored.
    :raises OutcomeOfRequestUnknown: If it is not known whether the request ran.
    """
    if record.state == ANSWERED:
        return Response(record.status, list(record.headers), body_of(record.body))
    if record.state == RAN:
        raise RanWithoutResponse("answer-not-kept", "the request ran; its answer is not kept")
    raise OutcomeOfRequestUnknown("outcome-lost", "the request was sent; its result is not known")


def _size_of(record: Intent) -> int:
    headers = sum(len(name) + len(value) for name, value in record.headers)
    return RECORD_OVERHEAD_BYTES + len(record.idempotency_key) + headers + len(record.body)
