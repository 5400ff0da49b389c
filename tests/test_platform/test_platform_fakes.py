"""Fake of the users' store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httpx
import trio

from radishshunt.platform.fakes import FakeStore

if TYPE_CHECKING:
    from collections.abc import Callable


async def test_restored_store_tells_its_era_and_refuses_versions_that_it_lacks(
    loopback: Callable[[], str],
) -> None:
    """Guards against a fake with which the loss of rows and versions goes unnoticed."""
    store = FakeStore(loopback())
    store.put("op", "config", {"Version": 1})
    store.copy()
    store.put("op", "config", {"Version": 2})
    check = {"Table": "radishshunt", "part": "", "Key": "leader", "RowVersion": 9}
    async with (
        trio.open_nursery() as nursery,
        httpx.AsyncClient(base_url=f"http://{store.server._address}", trust_env=False) as client,
    ):
        await nursery.start(store.server.run)
        before = await client.get("/radishshunt/rows-get?Table=op&part=")
        waiting = []

        async def wait() -> None:
            call = "/radishshunt/rows-feed?Table=op&after=3&WaitMs=5000"
            waiting.append(await client.get(call))

        nursery.start_soon(wait)
        await trio.sleep(0.1)
        store.restore()
        answers = [
            await client.get("/radishshunt/rows-get?Table=op&part="),
            await client.get("/radishshunt/rows-feed?Table=op&after=2&WaitMs=0"),
            await client.get("/radishshunt/rows-feed?Table=op&after=3&WaitMs=0"),
            await client.post("/radishshunt/rows-tx", json={"ExpectRev": [check], "Puts": []}),
            await client.get("/radishshunt/none"),
        ]
        store.down = True
        answers += [await client.get("/radishshunt/rows-get?Table=op&part="), *waiting]
        nursery.cancel_scope.cancel()
    assert before.headers["Store-Era"] == "1"
    assert [answer.status_code for answer in answers] == [200, 200, 410, 412, 404, 503, 503]
    assert {answer.headers["Store-Era"] for answer in answers} == {"2"}
    assert (before.json()["RowVersion"], answers[0].json()["RowVersion"]) == (3, 2)
    times = [answer.json()["TimeMs"] for answer in (before, answers[0], answers[1], answers[3])]
    assert times == sorted(times)
    assert store.value("op", "config") == {"Version": 1}
    assert store.calls == 8
