"""Administration API: protection, statuses and what it shows."""

from __future__ import annotations

from dataclasses import replace

import httpx
import pytest
import trio

from radishshunt.emulator.platform import Faults

from .conftest import FIRST_NOTE, TOKEN

AUTH = {"Authorization": f"Bearer {TOKEN}"}
PROTECTED = [
    ("GET", "/v1/status"),
    ("GET", "/v1/hosts"),
    ("GET", "/v1/releases"),
    ("POST", "/v1/releases"),
    ("GET", "/v1/services/permits/explain?key=a"),
    ("GET", "/metrics"),
    ("GET", "/nowhere"),
]


@pytest.mark.parametrize("token", [None, "Bearer wrong", f"Basic {TOKEN}", "Bearer"])
async def test_nothing_is_shown_without_the_token(open_system, token) -> None:
    """Guards against an open administration API."""
    async with open_system() as system, httpx.AsyncClient(base_url=system.admin) as client:
        headers = {"Authorization": token} if token else {}
        for method, path in PROTECTED:
            resp = await client.request(method, path, headers=headers, content=FIRST_NOTE)
            assert resp.status_code == 401, path
            assert resp.headers["www-authenticate"] == "Bearer"
        assert await system.platform.table.scan("release/") == {}
        assert (await client.get("/healthz")).status_code == 200


async def test_readiness_follows_the_note_and_the_stop(open_system) -> None:
    """Guards against a balancer that sends callers to a host that can't serve them."""
    async with open_system() as system, httpx.AsyncClient(base_url=system.admin) as client:
        resp = await client.get("/readyz")
        assert (resp.status_code, resp.json()["ready"]) == (503, False)
        resp = await client.post("/v1/releases", content=FIRST_NOTE, headers=AUTH)
        assert resp.json()["version"] == 1
        assert (await client.get("/readyz")).status_code == 200
        system.hosts[0].leaving = True
        resp = await client.get("/readyz")
        assert (resp.status_code, resp.json()["reasons"]) == (503, ["the host is stopping"])


async def test_each_end_of_a_submission_has_its_status(open_system) -> None:
    """Guards against operators who can't tell a refused note from an unknown outcome."""
    async with open_system() as system, httpx.AsyncClient(base_url=system.admin) as client:

        async def submit(note: str) -> tuple[int, str]:
            resp = await client.post("/v1/releases", content=note, headers=AUTH)
            assert resp.headers["content-type"] == "application/problem+json"
            return resp.status_code, resp.json()["reason"]

        assert await submit("predecessor: x\nadded: {domains: [A]}") == (422, "invalid-note")
        system.platform.faults = Faults(down=True)
        assert await submit(FIRST_NOTE) == (503, "platform-unavailable")
        system.platform.faults = Faults()
        assert (await client.post("/v1/releases", content=FIRST_NOTE, headers=AUTH)).is_success
        assert await submit(FIRST_NOTE.replace("tests", "other")) == (409, "conflict")
        assert await submit("x" * 2_000_000) == (413, "note-too-large")


async def test_hosts_are_marked_that_differ_or_do_not_answer(open_system, monkeypatch) -> None:
    """Guards against a host that quietly runs under an old note or is gone."""
    async with open_system(hosts=2) as system, httpx.AsyncClient(base_url=system.admin) as client:

        async def states() -> dict[str, str]:
            doc = (await client.get("/v1/hosts", headers=AUTH)).json()
            return {item["host"]: item["state"] for item in doc["hosts"]}

        await client.post("/v1/releases", content=FIRST_NOTE, headers=AUTH)
        await _until(states, {"host-01": "ok", "host-02": "ok"})
        membership = system.hosts[0].membership
        await _until(lambda: _has_heartbeat(membership, "host-02"), True)
        old = replace(membership.last_heartbeat("host-02"), catalog_version=0)
        with monkeypatch.context() as patch:
            patch.setattr(membership, "last_heartbeat", lambda _host: old)
            assert await states() == {"host-01": "ok", "host-02": "differs"}
        system.scopes[1].cancel()
        await _until(states, {"host-01": "ok", "host-02": "no-answer"})


async def test_metrics_hold_counters_and_percentiles(open_system) -> None:
    """Guards against metrics that a collector can't read."""
    async with open_system() as system, httpx.AsyncClient(base_url=system.admin) as client:
        await client.post("/v1/releases", content=FIRST_NOTE, headers=AUTH)
        url = f"http://{system.hosts[0].cfg.callers.address}/"
        refused = await client.get(
            url,
            headers={
                "Radishshunt-Service": "permits",
                "Radishshunt-Key": "a",
                "Request-Timeout": "0.1",
            },
        )
        assert refused.json()["outcome"] == "not-run"
        assert (await client.get(url, headers={"Radishshunt-Service": "permits"})).json()[
            "reason"
        ] == "no-key"
        system.hosts[0].metrics.latency("caller", "permits").record(0.25)
        resp = await client.get("/metrics", headers=AUTH)
        assert resp.headers["content-type"].startswith("text/plain")
        lines = resp.text.splitlines()
        assert 'radishshunt_requests_total{result="not-run",service="permits"} 2.0' in lines
        assert "radishshunt_catalog_version 1.0" in lines
        quantiles = [line for line in lines if 'quantile="0.99"' in line]
        assert len(quantiles) == 1
        assert abs(float(quantiles[0].rsplit(" ", 1)[1]) - 0.25) < 0.001


async def test_explain_names_the_state_of_a_key(open_system) -> None:
    """Guards against an operator who is told of an owner without a grant."""
    async with open_system() as system, httpx.AsyncClient(base_url=system.admin) as client:
        path = "/v1/services/permits/explain?key=a"
        assert (await client.get(path, headers=AUTH)).status_code == 404
        await client.post("/v1/releases", content=FIRST_NOTE, headers=AUTH)

        async def reason() -> str:
            return (await client.get(path, headers=AUTH)).json()["reason"]

        await _until(reason, "no target holds a valid grant for the slice and takes work")


async def _has_heartbeat(membership, host: str) -> bool:
    return membership.last_heartbeat(host) is not None


async def _until(ask, wanted) -> None:
    found = None
    with trio.move_on_after(5):
        while (found := await ask()) != wanted:
            await trio.sleep(0.02)
        return
    raise AssertionError(f"{found} is not {wanted}")
