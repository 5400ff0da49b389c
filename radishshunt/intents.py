"""Records of non-idempotent requests, so that each runs at most once."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING
from uuid import UUID

from radishshunt.clock import CLOCK_SKEW_BOUND
from radishshunt.errors import NotRun, OutcomeOfRequestUnknown, RanWithoutRecord
from radishshunt.model import Response, body_of

if TYPE_CHECKING:
    from collections.abc import Iterable

    from radishshunt.wire.messages import Intent

RETENTION_SECONDS = 600.0
MAX_RECORDS = 100_000
MAX_BYTES = 64 * 1024 * 1024
# Largest answer that is recorded.
MAX_ANSWER_BYTES = 64 * 1024
# Memory of a record beside its texts and its answer, measured as about 700 bytes of objects.
RECORD_BYTES = 700
# Callers' clocks may run ahead by this much. A key of a later time is refused at its first use,
# because after a double loss its time would not show that the key was used before.
CALLER_SKEW_SECONDS = 5.0
# Records of one message; a frame is at most 1 MiB.
BATCH_RECORDS = 256
BATCH_BYTES = 512 * 1024

# Waits for a slot at the dispatcher; known nowhere else, so that its loss leaves no record.
QUEUED = "queued"
SENT = "sent"
ANSWERED = "answered"
RAN = "ran"
UNKNOWN = "unknown"
NOT_RUN = "not-run"


def key_time(key: str) -> float | None:
    """Return when a UUIDv7 was made, in seconds since the Unix epoch.

    :return: ``None`` if the key is no UUIDv7.
    """
    try:
        number = UUID(key)
    except ValueError:
        return None
    if number.version != 7:
        return None
    return (number.int >> 80) / 1000


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
    """No room for another record."""

    def __init__(self) -> None:
        super().__init__("records-full", "too many recorded requests", retry_after=5.0)


class IntentStore:
    """Records of one host, by service and idempotency key.

    :param max_records: Number of records that are kept.
    :param max_bytes: Memory for all records.
    """

    def __init__(self, max_records: int = MAX_RECORDS, max_bytes: int = MAX_BYTES) -> None:
        self.max_records = max_records
        self.max_bytes = max_bytes
        self.bytes = 0
        self._records: OrderedDict[tuple[str, str], Intent] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def get(self, service: str, key: str, now: float) -> Intent | None:
        """Return the record of a key within its retention."""
        self._expire(now)
        return self._records.get((service, key))

    def of_group(self, service: str, group: int) -> list[Intent]:
        """Return the records of a group's sent requests, in order of their creation."""
        return [
            record
            for record in self._records.values()
            if (record.service, record.group) == (service, group) and record.state != QUEUED
        ]

    def add(self, record: Intent, now: float) -> None:
        """Add the record of a request that is about to be sent.

        :raises RecordsFull: If there is no room for it.
        """
        self._expire(now)
        known = self._records.get((record.service, record.idempotency_key))
        freed = _size_of(known) if known is not None else 0
        if len(self._records) - (known is not None) >= self.max_records:
            raise RecordsFull
        if self.bytes - freed + _size_of(record) > self.max_bytes:
            raise RecordsFull
        self._put(record)

    def has_room(self, records: list[Intent], now: float) -> bool:
        """Return whether all of some new records can be added."""
        self._expire(now)
        new = [r for r in records if (r.service, r.idempotency_key) not in self._records]
        return (
            len(self._records) + len(new) <= self.max_records
            and self.bytes + sum(_size_of(r) for r in new) <= self.max_bytes
        )

    def settle(self, record: Intent) -> None:
        """Take the end of a recorded request; one that did not run is forgotten.

        An answer for which there is no memory is not kept, but that the request ran is.
        """
        at = (record.service, record.idempotency_key)
        known = self._records.get(at)
        if record.state == NOT_RUN:
            if known is not None:
                self._remove(at)
            return
        freed = _size_of(known) if known is not None else 0
        if self.bytes - freed + _size_of(record) > self.max_bytes:
            record = without_answer(record)
        self._put(record)

    def _put(self, record: Intent) -> None:
        at = (record.service, record.idempotency_key)
        known = self._records.get(at)
        if known is not None:
            self.bytes -= _size_of(known)
        self._records[at] = record
        self.bytes += _size_of(record)

    def _remove(self, at: tuple[str, str]) -> None:
        self.bytes -= _size_of(self._records.pop(at))

    def _expire(self, now: float) -> None:
        while self._records:
            at, record = next(iter(self._records.items()))
            if record.created_at + RETENTION_SECONDS > now:
                return
            self._remove(at)


class KnowledgeHorizon:
    """Which keys a dispatcher knows everything about.

    A dispatcher that lacks its predecessor's records knows only of keys made after the
    predecessor had surely stopped sending, which it has when a slice is first served by a target
    that was fenced for this dispatcher.

    :param known: Whether the dispatcher has all earlier records.
    """

    def __init__(self, known: bool) -> None:
        self.known = known
        self._since: dict[int | None, float] = {}

    def restart(self, known: bool) -> None:
        """Take the news that another dispatcher may have sent requests meanwhile.

        :param known: Whether its records are here.
        """
        self.known = known
        self._since.clear()

    def note_gained(self, gained: Iterable[int], kept: Iterable[int]) -> None:
        """Take the news that slices came from another group, whose records are not here.

        :param kept: Slices that the group had before; nothing changes for them.
        """
        if self.known:
            # The records of these slices are complete, however old a key is.
            self._since = dict.fromkeys(kept, -RETENTION_SECONDS)
            self.known = False
        for number in gained:
            self._since.pop(number, None)

    def note_served(self, slices: Iterable[int | None], now: float) -> None:
        """Take the news that slices are served under this dispatcher's fences."""
        if not self.known:
            for number in slices:
                self._since.setdefault(number, now)

    def passed(self, slices: Iterable[int | None], now: float) -> bool:
        """Return whether the missing records are too old to be needed."""
        if self.known:
            return False
        return all(
            number in self._since and now >= self._since[number] + RETENTION_SECONDS
            for number in slices
        )

    def check(self, number: int | None, key: str, now: float, *, from_caller: bool) -> None:
        """Check that a request without a record was never sent before.

        :param number: Slice of the request's key.
        :param from_caller: Whether a caller made the key, and not a host.
        :raises OutcomeOfRequestUnknown: If an earlier dispatcher may have sent it.
        :raises NotRun: If the key's time is in the future.
        """
        made_at = key_time(key)
        skew = CALLER_SKEW_SECONDS if from_caller else CLOCK_SKEW_BOUND
        if made_at is not None and made_at > now + skew:
            raise NotRun("key-from-future", "the idempotency key's time is ahead", status=422)
        if made_at is not None and made_at + RETENTION_SECONDS < now:
            raise OutcomeOfRequestUnknown(
                "key-expired", "records of keys of that age are no longer kept"
            )
        if self.known:
            return
        since = self._since.get(number)
        if since is not None and now >= since + RETENTION_SECONDS:
            return
        if since is None or made_at is None or made_at < since + skew:
            raise OutcomeOfRequestUnknown(
                "records-lost", "an earlier dispatcher may have sent it; its records are lost"
            )


@dataclass(slots=True)
class Following:
    """What a standby dispatcher knows of a dispatcher's records.

    :param source: Incarnation of the dispatcher.
    :param expected: Number of the next batch.
    :param complete: Whether all records of the group are here.
    """

    generation: int
    source: int
    expected: int = 1
    complete: bool = False


@dataclass(slots=True)
class GroupRecords:
    """A host's part in keeping the records of one group.

    :ivar lowest: Lowest generation whose new records are taken.
    :ivar led: Generation that this host uses as the dispatcher, 0 if it is not.
    :ivar known: Whether this host as the dispatcher has all earlier records.
    :ivar successor: Host that has fetched the records as the new dispatcher.
    """

    lowest: int = 0
    led: int = 0
    known: bool = False
    successor: str = ""
    following: Following | None = None

    def continues(self, generation: int) -> bool:
        """Return whether this host goes on as the dispatcher without another one in between."""
        return bool(self.led) and generation - (self.led & ~1) == 2

    def lead(self, generation: int, first: bool) -> bool:
        """Become the group's dispatcher; records of lower generations are refused from now on.

        :param first: Whether the group has never had a dispatcher.
        :return: Whether all earlier records are here.
        """
        following, self.following = self.following, None
        self.lowest = max(self.lowest, generation)
        if self.continues(generation):
            # Between two successive rows only the standby dispatcher can have taken over, and it
            # records no new requests before a row names a standby dispatcher for it.
            known = self.known
        else:
            known = (
                following is not None
                and following.complete
                and 0 < generation - following.generation <= 2
            )
        self.led = generation
        self.successor = ""
        self.known = first or known
        return self.known

    def surrender(self, generation: int) -> bool:
        """Stop taking new records of generations below that of a new dispatcher.

        :return: Whether this host has all records of the dispatchers before the new one.
        """
        following = self.following
        if following is not None:
            known = following.complete and 0 < generation - following.generation <= 2
        else:
            known = self.known and 0 < generation - self.led <= 2
        if known:
            self.lowest = max(self.lowest, generation)
        return known

    def follow_row(self, generation: int, source: int) -> None:
        """Take the news that the same dispatcher goes on under the next row with this host.

        :param source: Incarnation of the dispatcher that the row names.
        """
        following = self.following
        if (
            following is not None
            and following.source == source
            and generation == following.generation + 2
        ):
            following.generation = generation

    def admit(self, generation: int, source: int, sequence: int, complete: bool) -> str | None:
        """Take a batch's place in the order.

        :return: Why the batch is refused, or ``None``.
        """
        following = self.following
        if generation < self.lowest or (following and generation < following.generation):
            return "stale-generation"
        if sequence == 0:
            self.led = 0
            self.following = Following(generation, source, complete=complete)
            return None
        if following is None or following.source != source:
            return "out-of-sequence"
        if sequence not in (following.expected, following.expected - 1):
            return "out-of-sequence"
        following.generation = generation
        following.expected = sequence + 1
        following.complete = following.complete or complete
        return None


def split_batches(records: list[Intent]) -> list[list[Intent]]:
    """Return records as batches that fit a frame; one empty batch if there are none."""
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
    """Return a record that keeps only that the request ran."""
    if record.state != ANSWERED:
        return record
    return replace(record, state=RAN, status=0, headers=[], body=b"")


def recorded_answer(record: Intent) -> Response:
    """Return the recorded answer of a request that has ended.

    :raises RanWithoutRecord: If it ran, but the answer is not kept.
    :raises OutcomeOfRequestUnknown: If nobody knows whether it ran.
    """
    if record.state == ANSWERED:
        return Response(record.status, list(record.headers), body_of(record.body))
    if record.state == RAN:
        raise RanWithoutRecord("answer-not-kept", "the request ran; its answer is not kept")
    raise OutcomeOfRequestUnknown("outcome-lost", "the request was sent; its result is not known")


def _size_of(record: Intent) -> int:
    headers = sum(len(name) + len(value) for name, value in record.headers)
    return RECORD_BYTES + len(record.idempotency_key) + headers + len(record.body)
