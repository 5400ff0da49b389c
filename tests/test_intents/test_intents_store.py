"""Records of non-idempotent requests: limits, retention and missing records."""

from __future__ import annotations

from dataclasses import replace

import pytest

from radishshunt.errors import NotRun, OutcomeOfRequestUnknown, RanWithoutResponse
from radishshunt.intents import (
    ANSWERED,
    NOT_RUN,
    RAN,
    RETENTION_SECONDS,
    SENT,
    UNKNOWN,
    GroupRecords,
    IntentStore,
    RecordHorizon,
    RecordsFull,
    key_time,
    new_request_id,
    recorded_answer,
    split_batches,
)
from radishshunt.wire.codec import MAX_FRAME_BYTES, encode
from radishshunt.wire.messages import Intent, Intents

NOW = 1_790_000_000.0


def record(key: str = "k", created_at: float = NOW, state: str = SENT, **changes) -> Intent:
    """Return a record, by default of a sent request."""
    return replace(Intent("permits", 1, 4, key, 7, created_at, state), **changes)


def test_record_is_kept_for_its_retention_only() -> None:
    """Guards against records that never expire, or expire too early."""
    store = IntentStore()
    store.add(record(), NOW)
    assert store.get("permits", "k", NOW + RETENTION_SECONDS - 1) is not None
    assert store.get("permits", "k", NOW + RETENTION_SECONDS) is None
    assert store.bytes == 0


def test_full_store_refuses_new_records_and_keeps_existing_ones() -> None:
    """Guards against dropping a record for lack of room, after which its request runs twice."""
    store = IntentStore(max_records=2)
    store.add(record("a"), NOW)
    store.add(record("b"), NOW)
    assert not store.has_room([record("c")], NOW)
    with pytest.raises(RecordsFull):
        store.add(record("c"), NOW)
    store.add(record("a", state=SENT), NOW)
    assert store.get("permits", "a", NOW) and store.get("permits", "b", NOW)
    store.record_outcome(record("a", state=NOT_RUN))
    store.add(record("c"), NOW)


def test_answer_without_room_is_recorded_as_ran() -> None:
    """Guards against a store that exceeds its memory limit or drops the record."""
    store = IntentStore(max_bytes=2000)
    store.add(record("a"), NOW)
    store.record_outcome(record("a", state=ANSWERED, status=200, body=b"x" * 5000))
    assert store.bytes <= 2000
    assert store.get("permits", "a", NOW).state == RAN
    with pytest.raises(RecordsFull):
        store.add(record("b" * 1500), NOW)


def test_memory_is_counted_correctly_over_changes() -> None:
    """Guards against a count of the memory in use that drifts as records change."""
    store = IntentStore()
    for size in (0, 5000, 10):
        store.record_outcome(record("a", state=ANSWERED, body=b"x" * size))
    store.record_outcome(record("a", state=NOT_RUN))
    assert (store.bytes, len(store)) == (0, 0)


@pytest.mark.parametrize(
    ("state", "error"),
    [
        (SENT, OutcomeOfRequestUnknown),
        (UNKNOWN, OutcomeOfRequestUnknown),
        (RAN, RanWithoutResponse),
    ],
)
def test_record_without_an_answer_raises_its_outcome(state: str, error: type) -> None:
    """Guards against an answer that claims more about a request than its record shows."""
    with pytest.raises(error):
        recorded_answer(record(state=state))


def test_batches_fit_into_frames() -> None:
    """Guards against a batch over the frame limit, for which the receiver closes the connection."""
    records = [record(f"k{n}", state=ANSWERED, body=b"x" * 65536) for n in range(50)]
    records += [record("k" * 1024 + str(n)) for n in range(600)]
    batches = split_batches(records)
    assert [r for batch in batches for r in batch] == records
    for batch in batches:
        assert len(encode(1, Intents("permits", 1, 4, 1, 1, True, batch))) < MAX_FRAME_BYTES
    assert split_batches([]) == [[]]


def test_time_of_a_key_is_read_from_a_uuidv7_only() -> None:
    """Guards against reading a timestamp from a key that has none."""
    uuid = new_request_id(NOW, 2**74 - 1)
    assert key_time(uuid) == pytest.approx(NOW, abs=0.001)
    assert key_time(f"{uuid[:8]}-{uuid[8:12]}-{uuid[12:16]}-{uuid[16:20]}-{uuid[20:]}") is not None
    assert key_time("3f2504e0-4f89-41d3-9a0c-0305e82c3301") is None
    assert key_time("order 17") is None
    assert key_time("") is None


def check(horizon: RecordHorizon, key: str, now: float, *, from_caller: bool = True) -> None:
    horizon.check_never_sent(5, key, now, from_caller=from_caller)


def test_dispatcher_with_all_records_runs_any_key() -> None:
    """Guards against ``unknown`` for a request without a record when all records are here."""
    check(RecordHorizon(has_all_records=True), "order 17", NOW)


def test_keys_from_before_the_horizon_or_without_timestamp_are_unknown() -> None:
    """Guards against rerunning a request whose record was lost with both dispatchers."""
    horizon = RecordHorizon(has_all_records=False)
    earlier_key = new_request_id(NOW - 1, 5)
    with pytest.raises(OutcomeOfRequestUnknown):
        check(horizon, new_request_id(NOW, 5), NOW)
    horizon.add_served_slices([5], NOW)
    for key in (earlier_key, "order 17"):
        with pytest.raises(OutcomeOfRequestUnknown):
            check(horizon, key, NOW + 10)
    check(horizon, new_request_id(NOW + 1, 5), NOW + 1, from_caller=False)
    check(horizon, new_request_id(NOW + 6, 5), NOW + 6)
    with pytest.raises(OutcomeOfRequestUnknown):
        # A caller's clock may run ahead.
        check(horizon, new_request_id(NOW + 1, 5), NOW + 1)
    check(horizon, "order 17", NOW + RETENTION_SECONDS)
    assert not horizon.missing_records_expired([5, 6], NOW + RETENTION_SECONDS)
    assert horizon.missing_records_expired([5], NOW + RETENTION_SECONDS)


def test_horizon_of_a_slice_begins_when_it_is_first_served() -> None:
    """Guards against running requests of a slice whose former owner is not fenced yet."""
    horizon = RecordHorizon(has_all_records=False)
    horizon.add_served_slices([6], NOW)
    with pytest.raises(OutcomeOfRequestUnknown):
        check(horizon, new_request_id(NOW + 8, 5), NOW + 8)


def test_key_with_a_timestamp_in_the_future_is_refused() -> None:
    """Guards against keys that were used before a horizon but have a timestamp after it."""
    with pytest.raises(NotRun):
        check(RecordHorizon(has_all_records=True), new_request_id(NOW + 60, 5), NOW)


def test_key_older_than_the_retention_is_unknown() -> None:
    """Guards against rerunning a request whose record has expired."""
    with pytest.raises(OutcomeOfRequestUnknown):
        check(RecordHorizon(has_all_records=True), new_request_id(NOW - 601, 5), NOW)


def test_standby_dispatcher_with_a_complete_copy_has_all_records() -> None:
    """Guards against ``unknown`` for old keys after the loss of the dispatcher alone."""
    state = GroupRecords()
    assert state.accept_batch(4, 77, 0, False) is None
    assert not GroupRecords(replica=state.replica).become_dispatcher(5, first=False)
    state = GroupRecords()
    state.accept_batch(4, 77, 0, False)
    assert state.accept_batch(4, 77, 1, True) is None
    assert state.become_dispatcher(5, first=False)
    assert state.accept_batch(4, 77, 2, False) == "stale-generation"


@pytest.mark.parametrize(
    ("sequence", "source", "reason"),
    [(2, 77, None), (1, 77, None), (3, 77, "out-of-sequence"), (2, 78, "out-of-sequence")],
)
def test_batches_are_accepted_in_order_from_one_dispatcher(sequence, source, reason) -> None:
    """Guards against a copy with a gap that counts as complete."""
    state = GroupRecords()
    state.accept_batch(4, 77, 0, False)
    state.accept_batch(4, 77, 1, True)
    assert state.accept_batch(4, source, sequence, False) == reason


def test_copy_from_before_other_rows_is_not_complete() -> None:
    """Guards against a former standby dispatcher that treats its outdated copy as complete."""
    state = GroupRecords()
    state.accept_batch(4, 77, 0, True)
    assert not GroupRecords(replica=state.replica).become_dispatcher(8, first=False)
    state.renew_replica(6, 77)
    assert state.become_dispatcher(8, first=False)


def test_copy_is_not_valid_under_a_row_of_another_dispatcher() -> None:
    """Guards against a copy that counts as complete without the records of a later dispatcher."""
    state = GroupRecords()
    state.accept_batch(4, 77, 0, True)
    state.renew_replica(6, 78)
    assert not state.become_dispatcher(8, first=False)


def test_dispatcher_that_missed_a_row_lacks_records() -> None:
    """Guards against a dispatcher that counts its records as complete after a pause.

    Another dispatcher may have been named and replaced by this one again in the meantime.
    """
    state = GroupRecords()
    assert state.become_dispatcher(2, first=True)
    assert state.become_dispatcher(4, first=False)
    assert not state.become_dispatcher(8, first=False)


def test_former_dispatcher_refuses_records_after_the_transfer() -> None:
    """Guards against new records on a former dispatcher after a new one has fetched its copy."""
    state = GroupRecords()
    state.become_dispatcher(2, first=True)
    assert state.seal_below(4)
    assert state.accept_batch(3, 77, 0, True) == "stale-generation"
    assert state.lowest_generation == 4
    assert not GroupRecords().seal_below(4)


def test_slices_from_another_group_have_a_horizon_of_their_own() -> None:
    """Guards against rerunning a request whose record stayed with its slice's former group."""
    horizon = RecordHorizon(has_all_records=True)
    horizon.add_gained_slices([5], [1, 2])
    horizon.add_served_slices([1, 2, 5], NOW)
    assert not horizon.has_all_records
    horizon.check_never_sent(1, "order 17", NOW, from_caller=True)
    with pytest.raises(OutcomeOfRequestUnknown):
        horizon.check_never_sent(5, "order 17", NOW, from_caller=True)
    with pytest.raises(OutcomeOfRequestUnknown):
        horizon.check_never_sent(5, new_request_id(NOW - 30, 5), NOW, from_caller=True)
    horizon.check_never_sent(5, new_request_id(NOW + 2, 5), NOW + 2, from_caller=False)
    assert not horizon.missing_records_expired([1, 2, 5], NOW + RETENTION_SECONDS - 1)
    assert horizon.missing_records_expired([1, 2, 5], NOW + RETENTION_SECONDS)


def test_horizon_of_a_regained_slice_begins_again() -> None:
    """Guards against an outdated horizon of a slice that left the group and came back."""
    horizon = RecordHorizon(has_all_records=False)
    horizon.add_served_slices([1, 5], NOW - RETENTION_SECONDS)
    horizon.add_gained_slices([5], [1])
    horizon.add_served_slices([1, 5], NOW)
    horizon.check_never_sent(1, "order 17", NOW, from_caller=True)
    with pytest.raises(OutcomeOfRequestUnknown):
        horizon.check_never_sent(5, "order 17", NOW, from_caller=True)
