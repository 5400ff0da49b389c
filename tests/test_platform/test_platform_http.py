"""Platform services over HTTP under slowness, outages, lost answers and rate limits."""

from __future__ import annotations

import contextlib
import json
from random import Random
from typing import Any

import httpx
import pytest
import trio
import trio.testing
from hypothesis import example, given, settings
from hypothesis import strategies as st

from radishshunt.clock import TrioClock
from radishshunt.emulator.platform import Faults, PlatformEmulator
from radishshunt.errors import OutcomeUnknown, PlatformUnavailable, ProtocolError, RadishshuntError
from radishshunt.model import HostInfo
from radishshunt.platform import CommitStatus, Platform, Transaction
from radishshunt.platform.breaker import LARGEST_PAUSE_SECONDS
from radishshunt.platform.http import connect
from radishshunt.platform.transactions import commit
from radishshunt.release.acceptance import history, submit
from tests.test_release.test_release_acceptance import FIRST, change


def emulated(**options: Any) -> tuple[PlatformEmulator, Platform]:
    """Return an emulator and a platform that reaches it without sockets."""
    emulator = PlatformEmulator(TrioClock(), **options)
    transport = httpx.ASGITransport(app=emulator.app)
    return emulator, connect("http://platform", transport=transport, rng=Random(1))


async def test_all_services_answer(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a client and an emulator that differ in their protocol."""
    emulator, platform = emulated()
    tx = Transaction({"a": 0}, {"a": b"\x00\xff", "b": b""})
    result = await platform.table.commit(tx)
    assert (result.status, result.versions) == (CommitStatus.COMMITTED, {"a": 1, "b": 1})
    assert await platform.table.commit(tx) == result
    assert await platform.table.outcome(tx.transaction_id) == result
    assert await platform.table.outcome("other") is None
    rows = await platform.table.read(["a", "c"])
    assert (rows["a"].value, rows["c"].version) == (b"\x00\xff", 0)
    assert set(await platform.table.scan("")) == {"a", "b"}
    await platform.objects.put("x/y", b"content")
    await platform.objects.put("x/y", b"content")
    assert await platform.objects.get("x/y") == b"content"
    assert await platform.objects.get("x/z") is None
    emulator.host_list.entries["h"] = HostInfo("h", "akl-a", "127.0.0.1:1")
    assert await platform.host_list.hosts() == [HostInfo("h", "akl-a", "127.0.0.1:1")]


async def test_unchanged_host_list_is_not_sent_again(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against reading 1.5 MB every few seconds in a large system."""
    emulator, platform = emulated()
    emulator.host_list.entries["h"] = HostInfo("h", "akl-a", "127.0.0.1:1")
    first = await platform.host_list.hosts()
    sizes: list[int] = []

    @emulator.app.after_request
    async def measure(resp: Any) -> Any:
        sizes.append(len(await resp.get_data()))
        return resp

    assert await platform.host_list.hosts() == first
    emulator.host_list.entries["i"] = HostInfo("i", "akl-a", "127.0.0.2:1")
    assert len(await platform.host_list.hosts()) == 2
    assert sizes[0] == 0 < sizes[1]


async def test_simultaneous_reads_are_one_call(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against one call for each of several rows that are needed at once."""
    emulator, platform = emulated()
    await platform.table.commit(Transaction({}, {f"k{i}": b"%d" % i for i in range(20)}))
    results: dict[int, bytes] = {}

    async def read(i: int) -> None:
        results[i] = (await platform.table.read([f"k{i}"]))[f"k{i}"].value

    async with trio.open_nursery() as nursery:
        for i in range(20):
            nursery.start_soon(read, i)
    assert results == {i: b"%d" % i for i in range(20)}
    assert emulator.reads == 1
    rows = await platform.table.read([f"k{i}" for i in range(1200)])
    assert len(rows) == 1200
    assert emulator.reads == 4


async def test_cancelled_reader_does_not_take_others_with_it(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a read that never returns since the one that sent the call was cancelled."""
    emulator, platform = emulated()
    emulator.faults = Faults(delay_seconds=0.5)
    async with trio.open_nursery() as nursery:
        scope = trio.CancelScope()

        async def cancelled() -> None:
            with scope:
                await platform.table.read(["a"])

        nursery.start_soon(cancelled)
        await trio.sleep(0.001)
        nursery.start_soon(platform.table.read, ["b"])
        await trio.sleep(0.2)
        scope.cancel()
        nursery.cancel_scope.deadline = trio.current_time() + 1.5
    assert not nursery.cancel_scope.cancelled_caught


async def test_read_sees_a_write_that_ended_before_it(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a batched read that joins a call which was sent before the write."""
    emulator, platform = emulated()
    emulator.faults = Faults(delay_seconds=0.3)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(platform.table.read, ["a"])
        await trio.sleep(0.1)
        await emulator.table.commit(Transaction({}, {"a": b"new"}))
        assert (await platform.table.read(["a"]))["a"].value == b"new"


async def test_lost_answer_is_resolved(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a transaction that is repeated under another id after its answer is lost."""
    for faults in (Faults(lose_answers=1), Faults(lose_requests=1), Faults(lose_requests=2)):
        emulator, platform = emulated()
        emulator.faults = faults
        result = await commit(platform.table, Transaction({"a": 0}, {"a": b""}))
        assert result.status is CommitStatus.COMMITTED
        assert (await emulator.table.read(["a"]))["a"].version == 1


async def test_commit_that_hangs_is_unknown(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against reporting no effect for a commit that the platform may still run."""
    emulator, platform = emulated()
    emulator.faults = Faults(hanging=True)
    # The transport without sockets has no time limit of its own.
    with trio.move_on_after(5.0) as scope:
        await platform.table.commit(Transaction({}, {"a": b""}))
    assert scope.cancelled_caught
    emulator.faults = Faults()
    # A cancelled call leaves the circuit breaker as it was.
    assert (await platform.table.read(["a"]))["a"].version == 0


@pytest.mark.parametrize("status", [200, 404, 500, 502, 504])
async def test_answer_that_is_no_answer_is_unknown(
    status: int, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a proxy whose error page counts as the table's answer."""
    transport = httpx.MockTransport(lambda _req: httpx.Response(status, text="<html>"))
    table = connect("http://platform", transport=transport).table
    with pytest.raises(OutcomeUnknown):
        await table.commit(Transaction({}, {"a": b""}))
    with pytest.raises((PlatformUnavailable, ProtocolError)):
        await table.read(["a"])


@pytest.mark.parametrize("good_calls", range(6))
async def test_note_is_not_answered_falsely_when_a_proxy_takes_over(
    good_calls: int, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against an error page in any step that counts as acceptance or as refusal."""
    emulator = PlatformEmulator(TrioClock())
    inner = httpx.ASGITransport(app=emulator.app)
    calls = 0

    class Proxy(httpx.AsyncBaseTransport):
        async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
            nonlocal calls
            calls += 1
            resp = await inner.handle_async_request(request)
            # The call that is answered with a page takes effect.
            return resp if calls <= good_calls else httpx.Response(200, text="<html>")

    platform = connect("http://platform", transport=Proxy())
    try:
        await submit(platform, FIRST)
        told = "accepted"
    except PlatformUnavailable as exc:
        assert str(exc).startswith("this submission had no effect")
        told = "no effect"
    except OutcomeUnknown:
        told = "unknown"
    stored = (await emulator.table.read(["release/current"]))["release/current"].version
    assert told == "unknown" or (told == "accepted") == bool(stored)


@pytest.mark.parametrize("doc", [{}, {"rows": []}, {"rows": {"a": {}}}, [], {"rows": {"a": 1}}])
async def test_malformed_rows_are_a_protocol_error(
    doc: Any, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against an exception that takes the reading task down."""
    transport = httpx.MockTransport(lambda _req: httpx.Response(200, text=json.dumps(doc)))
    with pytest.raises(RadishshuntError):
        await connect("http://platform", transport=transport).table.scan("")


@pytest.mark.parametrize(
    "faults", [Faults(down=True), Faults(failing=1.0)], ids=["down", "failing"]
)
async def test_outage_is_not_hammered_and_its_end_is_noticed(
    faults: Faults, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a host whose tasks all call a platform that is down, or that gives up."""
    emulator, platform = emulated()
    emulator.faults = faults

    async def call_often() -> None:
        while True:
            with contextlib.suppress(PlatformUnavailable):
                await platform.table.read(["a"])
            await trio.sleep(0.05)

    async with trio.open_nursery() as nursery:
        for _ in range(5):
            nursery.start_soon(call_often)
        await trio.sleep(60.0)
        # Pauses of 0.5 s to 8 s with a jitter of half of them, where 6,000 calls were made.
        assert 8 <= emulator.attempts <= 30
        emulator.faults = Faults()
        emulator.reads = 0
        await trio.sleep(1.5 * LARGEST_PAUSE_SECONDS)
        assert emulator.reads > 1
        nursery.cancel_scope.cancel()


async def test_rate_limit_is_respected(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against calls that go on while the platform asks for a pause."""
    emulator, platform = emulated(reads_per_second=5)
    refused = 0
    started_at = trio.current_time()
    for _ in range(400):
        try:
            await platform.table.read(["a"])
        except PlatformUnavailable:
            refused += 1
        await trio.sleep(0.01)
    assert refused
    # The limit lets 5 calls a second through; a pause of a second follows each refusal.
    elapsed = trio.current_time() - started_at
    assert emulator.reads >= 2 * elapsed
    assert emulator.refused <= elapsed + 1


@settings(max_examples=20, deadline=None)
@given(failing=st.floats(0.0, 0.6), losing=st.floats(0.0, 0.9), seed=st.integers(0, 1000))
@example(failing=0.59375, losing=0.75, seed=262)  # The client paused past the end of the outage.
def test_notes_are_accepted_once_through_a_bad_platform(
    failing: float, losing: float, seed: int
) -> None:
    """Guards against a false answer to an operator through the HTTP client."""

    async def run() -> None:
        emulator, platform = emulated(rng=Random(seed))
        faults = Faults(failing=failing, losing=losing, delay_seconds=0.02, jitter_seconds=0.3)
        accepted = []
        for note in (FIRST, change(1, "anna"), change(2, "ben")):
            emulator.faults = faults
            for attempt in range(60):
                if attempt == 50:
                    emulator.faults = Faults()
                try:
                    answer, _ = await submit(platform, note)
                    accepted.append(answer.version)
                    break
                except (PlatformUnavailable, OutcomeUnknown):
                    await trio.sleep(1.0)
        emulator.faults = Faults()
        await trio.sleep(20.0)
        assert accepted == [1, 2, 3]
        assert [note["version"] for note in await history(platform)] == accepted

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
