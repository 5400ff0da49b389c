"""Client of the users' store, when the store comes back from a copy."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from radishshunt.errors import PlatformUnavailable
from radishshunt.gateway.rows import HistoryLost, Topic
from radishshunt.platform.fakes import FakeStore
from radishshunt.platform.store import HttpRowStore

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

LOST_WRITES = 5


@pytest.fixture
async def fake(loopback: Callable[[], str]) -> AsyncIterator[FakeStore]:
    """Return a running store with rows of operators and targets."""
    fake = FakeStore(loopback())
    fake.put("op", "config", {"Version": 1})
    fake.put("servers", "i-0", {})
    async with trio.open_nursery() as nursery:
        await nursery.start(fake.server.run)
        yield fake
        nursery.cancel_scope.cancel()


@pytest.fixture
async def client(fake: FakeStore) -> HttpRowStore:
    """Return a client of the store."""
    return HttpRowStore(fake.server._address)


@pytest.mark.parametrize("topic", Topic)
async def test_versions_read_after_a_restore_are_higher_than_all_before(
    fake: FakeStore, client: HttpRowStore, topic: Topic
) -> None:
    """Guards against reads of the restored store that views ignore since they know more."""
    fake.copy()
    for number in range(LOST_WRITES):
        fake.put("op", "config", {"Version": number})
    before = await client.read(topic)
    fake.restore()
    after = await client.read(topic)
    assert after.whole
    assert after.version > before.version
    fake.put("op", "config", {"Version": 9})
    again = await client.read(topic)
    assert again.version > after.version


@pytest.mark.parametrize("topic", [Topic.OPERATOR, Topic.TARGETS])
async def test_rows_read_after_a_restore_are_newer_than_all_before(
    fake: FakeStore, client: HttpRowStore, topic: Topic
) -> None:
    """Guards against rows written after a restore that views take for older ones."""
    table, key = ("op", "config") if topic is Topic.OPERATOR else ("servers", "i-0")
    fake.copy()
    for number in range(LOST_WRITES):
        fake.put(table, key, {"Version": number})
    (before,) = (await client.read(topic)).rows
    fake.restore()
    await client.read(topic)
    fake.put(table, key, {"Version": 9})
    (after,) = (await client.read(topic)).rows
    assert after.version > before.version


async def test_each_restore_raises_the_versions(fake: FakeStore, client: HttpRowStore) -> None:
    """Guards against versions that only the first restore raises."""
    fake.copy()
    versions = []
    for _ in range(4):
        for number in range(LOST_WRITES):
            fake.put("op", "config", {"Version": number})
        versions.append((await client.read(Topic.OPERATOR)).version)
        fake.restore()
    versions.append((await client.read(Topic.OPERATOR)).version)
    assert versions == sorted(set(versions))


async def test_clients_agree_on_the_versions_after_a_restore(
    fake: FakeStore, client: HttpRowStore
) -> None:
    """Guards against hosts that number the rows of a restored store differently."""
    fake.copy()
    fake.put("op", "config", {"Version": 2})
    await client.read(Topic.OPERATOR)
    fake.restore()
    late_client = HttpRowStore(fake.server._address)
    known, late = await client.read(Topic.OPERATOR), await late_client.read(Topic.OPERATOR)
    assert known == late


async def test_version_that_the_copy_lacks_is_no_history(
    fake: FakeStore, client: HttpRowStore
) -> None:
    """Guards against a call for changes that is repeated from a version that is gone."""
    fake.copy()
    for number in range(LOST_WRITES):
        fake.put("op", "config", {"Version": number})
    version = (await client.read(Topic.OPERATOR)).version
    fake.restore()
    with pytest.raises(HistoryLost):
        await client.changes(Topic.OPERATOR, version, 0.0)


@pytest.mark.parametrize("wait_seconds", [0.0, 0.3])
async def test_version_that_was_given_out_again_is_no_history(
    fake: FakeStore, client: HttpRowStore, wait_seconds: float
) -> None:
    """Guards against changes that are missed as other writes got the known version again."""
    fake.copy()
    for number in range(LOST_WRITES):
        fake.put("op", "config", {"Version": number})
    version = (await client.read(Topic.OPERATOR)).version
    fake.restore()
    fake.put("op", "evacuate/munich", {})
    for _ in range(2 * LOST_WRITES):
        fake.put("servers", "i-0", {})
    with pytest.raises(HistoryLost):
        await client.changes(Topic.OPERATOR, version, wait_seconds)


async def test_client_that_saw_another_answer_does_not_trust_an_older_version(
    fake: FakeStore, client: HttpRowStore
) -> None:
    """Guards against one topic that keeps its version since another one showed the restore."""
    fake.copy()
    fake.put("op", "config", {"Version": 2})
    version = (await client.read(Topic.OPERATOR)).version
    fake.restore()
    for _ in range(LOST_WRITES):
        fake.put("servers", "i-0", {})
    await client.read(Topic.TARGETS)
    with pytest.raises(HistoryLost):
        await client.changes(Topic.OPERATOR, version, 0.0)


async def test_changes_are_followed_from_a_version_read_after_a_restore(
    fake: FakeStore, client: HttpRowStore
) -> None:
    """Guards against versions that the store does not know when they are sent back to it."""
    fake.copy()
    fake.put("op", "config", {"Version": 2})
    await client.read(Topic.OPERATOR)
    fake.restore()
    read = await client.read(Topic.OPERATOR)
    unchanged = await client.changes(Topic.OPERATOR, read.version, 0.0)
    assert (unchanged.rows, unchanged.version, unchanged.whole) == ((), read.version, False)
    fake.put("op", "evacuate/munich", {})
    change = await client.changes(Topic.OPERATOR, unchanged.version, 0.0)
    assert [row.key for row in change.rows] == ["evacuate/munich"]
    assert change.version == change.rows[0].version > read.version


async def test_waiting_call_ends_at_a_restore(fake: FakeStore, client: HttpRowStore) -> None:
    """Guards against an answer of the restored store that is taken for one to an older version."""
    fake.copy()
    for number in range(LOST_WRITES):
        fake.put("op", "config", {"Version": number})
    version = (await client.read(Topic.OPERATOR)).version
    raised = []

    async def wait() -> None:
        try:
            await client.changes(Topic.OPERATOR, version, 1.0)
        except (HistoryLost, PlatformUnavailable) as exc:
            raised.append(exc)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(wait)
        await trio.sleep(0.1)
        fake.restore()
        fake.put("op", "config", {"Version": 9})
    assert len(raised) == 1


async def test_row_written_after_a_restore_has_a_higher_version(
    fake: FakeStore, client: HttpRowStore
) -> None:
    """Guards against a row of the router that a host takes for older than what it lost."""
    result = await client.commit({"leader": 0}, [("leader", b"copied")])
    (row,) = (await client.read(Topic.OWN)).rows
    assert row.version == result.version
    fake.copy()
    for _ in range(LOST_WRITES):
        result = await client.commit({"leader": row.version}, [("leader", b"lost")])
        assert result.done
        row = (await client.read(Topic.OWN)).rows[0]
        assert row.version == result.version
    fake.restore()
    (copied,) = (await client.read(Topic.OWN)).rows
    assert copied.value == b"copied"
    result = await client.commit({"leader": copied.version}, [("leader", b"written again")])
    assert result.done
    assert result.version > row.version
    (written,) = (await client.read(Topic.OWN)).rows
    assert (written.value, written.version) == (b"written again", result.version)
