"""HTTP client of the users' store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from radishshunt.platform.fakes import FakeStore
from radishshunt.platform.store import HttpRowStore

if TYPE_CHECKING:
    from collections.abc import Callable


async def test_answers_to_transactions_tell_the_time_of_the_store(
    loopback: Callable[[], str],
) -> None:
    # Guards against terms whose fencing tokens start at 0, because the store's time got lost.
    address = loopback()
    fake_store, store = FakeStore(address), HttpRowStore(address)
    async with trio.open_nursery() as nursery:
        await nursery.start(fake_store.server.run)
        done = await store.commit({"a": 0}, [("a", b"1")])
        await trio.sleep(0.01)
        refused = await store.commit({"a": 0}, [("a", b"2")])
        nursery.cancel_scope.cancel()
    assert done.done
    assert not refused.done
    assert 0 < done.time_ms < refused.time_ms
