"""Administration API: authentication, status codes and response documents."""

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
async def test_requests_without_the_token_are_refused(open_system, token) -> None:
    """Guards against an administration API that answers without a valid token."""
    async with open_system() as system, httpx.AsyncClient(base_url=system.admin) as client:
        headers = {"Authorization": token} if token else {}
        for method, path in PROTECTED:
            resp = await client.request(method, path, headers=headers, content=FIRST_NOTE)
            assert resp.status_code == 401, path
            assert resp.headers["www-authenticate"] == "Bearer"
        assert await system.platform.table.scan("release/") == {}
        assert (await client.get("/healthz")).status_code == 200


async def test_readiness_needs_a_release_note_and_ends_with_the_stop(open_system) -> None:
    """Guards against a load balancer that routes callers to a host that cannot serve them.

    A host is not ready before it knows a release note, nor while it stops.
    """
    async with open_system() as system, httpx.AsyncClient(base_url=system.admin) as client:
        resp = await client.get("/readyz")
        assert (resp.status_code, resp.json()["ready"]) == (503, False)
        resp = await client.post("/v1/releases", content=FIRST_NOTE, headers=AUTH)
        assert resp.json()["version"] == 1
        assert (await client.get("/readyz")).status_code == 200
        system.hosts[0].leaving = True
        resp = await client.get("/readyz")
        assert (resp.status_code, resp.json()["reasons"]) == (503, ["the host is stopping"])


async def test_each_outcome_of_a_submission_has_its_status(open_system) -> None:
    """Guards against submissions whose outcome cannot be told from the HTTP status and reason."""
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


async def test_hosts_that_differ_or_do_not_answer_are_marked(open_system, monkeypatch) -> None:
    """Guards against overlooking a host that has an old release note or does not answer."""
    async with open_system(hosts=2) as system, httpx.AsyncClient(base_url=system.admin) as client:

        async def states() -> dict[str, str]:
            doc = (await client.get("/v1/hosts", headers=AUTH)).json()
            return {item["host"]: item["state"] for item in doc["hosts"]}

        await client.post("/v1/releases", content=FIRST_NOTE, headers=AUTH)
        await _wait_until(states, {"host-01": "ok", "host-02": "ok"})
        membership = system.hosts[0].membership
        await _wait_until(lambda: _has_heartbeat(membership, "host-02"), True)
        outdated = replace(membership.last_heartbeat("host-02"), catalog_version=0)
        with monkeypatch.context() as patch:
            patch.setattr(membership, "last_heartbeat", lambda _host: outdated)
            assert await states() == {"host-01": "ok", "host-02": "differs"}
        system.scopes[1].cancel()
        await _wait_until(states, {"host-01": "ok", "host-02": "no-answer"})


async def test_metrics_contain_counters_and_percentiles(open_system) -> None:
    """Guards against metrics that Prometheus cannot parse, and against missing percentiles."""
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


async def test_explain_reports_that_no_target_holds_a_grant(open_system) -> None:
    """Guards against naming an owner of a key that holds no valid grant."""
    async with open_system() as system, httpx.AsyncClient(base_url=system.admin) as client:
        path = "/v1/services/permits/explain?key=a"
        assert (await client.get(path, headers=AUTH)).status_code == 404
        await client.post("/v1/releases", content=FIRST_NOTE, headers=AUTH)

        async def reason() -> str:
            return (await client.get(path, headers=AUTH)).json()["reason"]

        await _wait_until(reason, "no target holds a valid grant for the slice and takes work")


async def _has_heartbeat(membership, host: str) -> bool:
    return membership.last_heartbeat(host) is not None


async def _wait_until(query, expected) -> None:
    actual = None
    with trio.move_on_after(5):
        while (actual := await query()) != expected:
            await trio.sleep(0.02)
        return
    raise AssertionError(f"got {actual}, expected {expected} within 5 s")
