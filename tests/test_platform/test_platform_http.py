"""Platform services over HTTP with delays, outages, lost answers and rate limits."""

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
from radishshunt.errors import (
    PlatformOutcomeUnknown,
    PlatformUnavailable,
    ProtocolError,
    RadishshuntError,
)
from radishshunt.model import HostInfo
from radishshunt.platform import CommitStatus, Platform, Transaction
from radishshunt.platform.breaker import LARGEST_PAUSE_SECONDS
from radishshunt.platform.http import connect
from radishshunt.platform.transactions import commit
from radishshunt.release.acceptance import history, submit
from tests.test_release.test_release_acceptance import FIRST_NOTE, change_note


def connect_emulator(**options: Any) -> tuple[PlatformEmulator, Platform]:
    """Return an emulator, and the platform services that call it without sockets."""
    emulator = PlatformEmulator(TrioClock(), **options)
    transport = httpx.ASGITransport(app=emulator.app)
    return emulator, connect("http://platform", transport=transport, rng=Random(1))


async def test_all_services_answer(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a client and an emulator with different protocols."""
    emulator, platform = connect_emulator()
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
    """Guards against a transfer of 1.5 MB every few seconds in a large system."""
    emulator, platform = connect_emulator()
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


async def test_concurrent_reads_share_one_call(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against one call per row when several rows are read at the same time."""
    emulator, platform = connect_emulator()
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


async def test_cancelled_read_does_not_block_others(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a read that never returns because the task that sent it was cancelled."""
    emulator, platform = connect_emulator()
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


async def test_read_returns_a_write_that_ended_before_it(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a read that joins a call that was sent before the write."""
    emulator, platform = connect_emulator()
    emulator.faults = Faults(delay_seconds=0.3)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(platform.table.read, ["a"])
        await trio.sleep(0.1)
        await emulator.table.commit(Transaction({}, {"a": b"new"}))
        assert (await platform.table.read(["a"]))["a"].value == b"new"


async def test_outcome_of_a_lost_answer_is_read_back(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against repeating a transaction under another id after its answer was lost."""
    for faults in (Faults(lose_answers=1), Faults(lose_requests=1), Faults(lose_requests=2)):
        emulator, platform = connect_emulator()
        emulator.faults = faults
        result = await commit(platform.table, Transaction({"a": 0}, {"a": b""}))
        assert result.status is CommitStatus.COMMITTED
        assert (await emulator.table.read(["a"]))["a"].version == 1


async def test_commit_that_hangs_is_unknown(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against reporting that a commit had no effect while the platform may still run it."""
    emulator, platform = connect_emulator()
    emulator.faults = Faults(hanging=True)
    # The transport without sockets does not apply the client's timeout.
    with trio.move_on_after(5.0) as scope:
        await platform.table.commit(Transaction({}, {"a": b""}))
    assert scope.cancelled_caught
    emulator.faults = Faults()
    # A cancelled call does not change the state of the circuit breaker.
    assert (await platform.table.read(["a"]))["a"].version == 0


@pytest.mark.parametrize("status", [200, 404, 500, 502, 504])
async def test_commit_answered_by_an_error_page_is_unknown(
    status: int, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against taking a proxy's error page for the table's answer."""
    transport = httpx.MockTransport(lambda _req: httpx.Response(status, text="<html>"))
    table = connect("http://platform", transport=transport).table
    with pytest.raises(PlatformOutcomeUnknown):
        await table.commit(Transaction({}, {"a": b""}))
    with pytest.raises((PlatformUnavailable, ProtocolError)):
        await table.read(["a"])


@pytest.mark.parametrize("good_calls", range(6))
async def test_submission_is_reported_correctly_when_a_proxy_answers(
    good_calls: int, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against taking an error page, at any step, for an acceptance or a refusal."""
    emulator = PlatformEmulator(TrioClock())
    inner = httpx.ASGITransport(app=emulator.app)
    calls = 0

    class Proxy(httpx.AsyncBaseTransport):
        async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
            nonlocal calls
            calls += 1
            resp = await inner.handle_async_request(request)
            # A call that is answered with an error page takes effect all the same.
            return resp if calls <= good_calls else httpx.Response(200, text="<html>")

    platform = connect("http://platform", transport=Proxy())
    try:
        await submit(platform, FIRST_NOTE)
        reported = "accepted"
    except PlatformUnavailable as exc:
        assert str(exc).startswith("this submission had no effect")
        reported = "no effect"
    except PlatformOutcomeUnknown:
        reported = "unknown"
    stored = (await emulator.table.read(["release/current"]))["release/current"].version
    assert reported == "unknown" or (reported == "accepted") == bool(stored)


@pytest.mark.parametrize("doc", [{}, {"rows": []}, {"rows": {"a": {}}}, [], {"rows": {"a": 1}}])
async def test_malformed_rows_are_a_protocol_error(
    doc: Any, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against an unexpected exception that ends the reading task."""
    transport = httpx.MockTransport(lambda _req: httpx.Response(200, text=json.dumps(doc)))
    with pytest.raises(RadishshuntError):
        await connect("http://platform", transport=transport).table.scan("")


@pytest.mark.parametrize(
    "faults", [Faults(down=True), Faults(failing=1.0)], ids=["down", "failing"]
)
async def test_calls_pause_during_an_outage_and_resume_after_it(
    faults: Faults, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a host that keeps calling a platform that is down, or never calls it again."""
    emulator, platform = connect_emulator()
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
        # Pauses of 0.5 s to 8 s, with a jitter of half their length, replace 6,000 calls.
        assert 8 <= emulator.attempts <= 30
        emulator.faults = Faults()
        emulator.reads = 0
        await trio.sleep(1.5 * LARGEST_PAUSE_SECONDS)
        assert emulator.reads > 1
        nursery.cancel_scope.cancel()


async def test_rate_limit_is_respected(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against further calls while the platform asks for a pause."""
    emulator, platform = connect_emulator(reads_per_second=5)
    refused_reads = 0
    started_at = trio.current_time()
    for _ in range(400):
        try:
            await platform.table.read(["a"])
        except PlatformUnavailable:
            refused_reads += 1
        await trio.sleep(0.01)
    assert refused_reads
    # The limit allows 5 calls per second; a pause of 1 s follows each refusal.
    elapsed = trio.current_time() - started_at
    assert emulator.reads >= 2 * elapsed
    assert emulator.refused <= elapsed + 1


@settings(max_examples=20, deadline=None)
@given(failing=st.floats(0.0, 0.6), losing=st.floats(0.0, 0.9), seed=st.integers(0, 1000))
@example(failing=0.59375, losing=0.75, seed=262)  # The client's pause outlasted the outage.
def test_notes_are_accepted_once_by_a_faulty_platform(
    failing: float, losing: float, seed: int
) -> None:
    """Guards against a wrong answer to an operator after faults between client and platform."""

    async def run() -> None:
        emulator, platform = connect_emulator(rng=Random(seed))
        faults = Faults(failing=failing, losing=losing, delay_seconds=0.02, jitter_seconds=0.3)
        accepted = []
        for note in (FIRST_NOTE, change_note(1, "anna"), change_note(2, "ben")):
            emulator.faults = faults
            for attempt in range(60):
                if attempt == 50:
                    emulator.faults = Faults()
                try:
                    answer, _ = await submit(platform, note)
                    accepted.append(answer.version)
                    break
                except (PlatformUnavailable, PlatformOutcomeUnknown):
                    await trio.sleep(1.0)
        emulator.faults = Faults()
        await trio.sleep(20.0)
        assert accepted == [1, 2, 3]
        assert [note["version"] for note in await history(platform)] == accepted

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
