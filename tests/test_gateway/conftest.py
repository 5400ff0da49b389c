"""Fixtures of the gateway's tests: host settings, a view, a store in memory and fake targets."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import pytest
import trio

from radishshunt.clock import TrioClock
from radishshunt.errors import PlatformOutcomeUnknown, PlatformUnavailable
from radishshunt.gateway import target_grants
from radishshunt.gateway.exchange import ExchangeError, HttpResponse
from radishshunt.gateway.model import KEY_COUNT
from radishshunt.gateway.rows import Change, Commit, Row, RowStore, Topic
from radishshunt.gateway.settings import HostSettings
from radishshunt.gateway.view import View
from radishshunt.platform.catalog import CatalogReader

if TYPE_CHECKING:
    from collections.abc import Sequence

    from radishshunt.gateway.exchange import OutgoingRequest

CONFIGURATION = {
    "Version": 7,
    "Resources": [
        {
            "ResourceKind": "Routes",
            "Meta": {"Name": "reads"},
            "Spec": {
                "Host": "a.example",
                "Prefix": "/reads/",
                "Kind": "idempotent",
                "TimeoutMs": 1000,
                "SloMs": 400,
                "Priority": 2,
                "Service": "register",
                "MaxAttempts": 2,
            },
        },
        {
            "ResourceKind": "Routes",
            "Meta": {"Name": "fees"},
            "Spec": {
                "Host": "a.example",
                "Prefix": "/fees/",
                "Kind": "non_idempotent",
                "TimeoutMs": 1200,
                "SloMs": 500,
                "Priority": 1,
                "Service": "register",
                "MaxAttempts": 2,
            },
        },
        {
            "ResourceKind": "Services",
            "Meta": {"Name": "register"},
            "Spec": {"MaxConns": 130, "IsSharded": True, "ColdPerS": 7.0, "WarmS": 3.0},
        },
    ],
}


def entry_value(address: str = "127.0.0.1:9", born: int = 1, **status: object) -> bytes:
    """Return the value of a target's row in the store."""
    doc = {
        "Addr": address,
        "Info": {"Service": "register", "Version": "v1", "Zone": "munich", "Capacity": 3},
        "Status": {"State": "ready", "Sequence": 1, "WarmupLeftMs": 0, **status},
        "born": born,
    }
    return json.dumps(doc).encode()


class MemoryStore(RowStore):
    """Row store that keeps the router's own table in memory.

    :ivar down: Whether all calls fail without effect.
    :ivar write_seconds: Time until a write takes effect.
    :ivar lose_answers: Number of further writes that take effect but are not answered.
    """

    def __init__(self) -> None:
        self.down = False
        self.rows: dict[str, Row] = {}
        self.version = 0
        self.write_seconds = 0.008
        self.lose_answers = 0

    async def read(self, topic: Topic) -> Change:
        await trio.sleep(0.004)
        if self.down:
            raise PlatformUnavailable("the store is down")
        rows = tuple(self.rows.values()) if topic is Topic.OWN else ()
        return Change(topic, rows, max(1, self.version), whole=True)

    async def changes(self, topic: Topic, after: int, wait_seconds: float) -> Change:
        await trio.sleep(wait_seconds)
        return await self.read(topic)

    async def commit(self, checks: dict[str, int], writes: Sequence[tuple[str, bytes]]) -> Commit:
        await trio.sleep(self.write_seconds)
        if self.down:
            raise PlatformUnavailable("the store is down")
        absent = Row("", 0, None)
        mismatched = {
            key: self.rows.get(key, absent)
            for key, version in checks.items()
            if self.rows.get(key, absent).version != version
        }
        if mismatched:
            return Commit(False, 0, mismatched, self._time_ms())
        self.version += 1
        for key, value in writes:
            self.rows[key] = Row(key, self.version, value)
        if self.lose_answers:
            self.lose_answers -= 1
            await trio.sleep(1.0)
            raise PlatformOutcomeUnknown("no answer")
        return Commit(True, self.version, time_ms=self._time_ms())

    def _time_ms(self) -> int:
        return round(trio.current_time() * 1000)


@dataclass
class FakeTargets:
    """Fake targets by address: their behaviour and the commands that they received.

    :ivar commands: Address, path and fields of each command, in the order of taking effect.
    :ivar refused: Grants that a target refused.
    :ivar delays: Seconds until a command takes effect and is answered, by path.
    :ivar jitter: Additional seconds for a command, multiplied by 0 to 6 in turn.
    :ivar sent_count: Number of commands sent so far.
    :ivar unanswered: Paths whose commands take effect but are not answered.
    :ivar refuses_grants: Whether targets refuse grants, but not because of their tokens.
    :ivar registrations: Registration of the process at each address.
    :ivar unreachable: Addresses at which no command arrives.
    """

    commands: list[tuple[str, str, dict]] = field(default_factory=list)
    refused: list[tuple[str, str, dict]] = field(default_factory=list)
    delays: dict[str, float] = field(default_factory=dict)
    jitter: float = 0.0
    sent_count: int = 0
    unanswered: set[str] = field(default_factory=set)
    refuses_grants: bool = False
    registrations: dict[str, str] = field(default_factory=dict)
    unreachable: set[str] = field(default_factory=set)

    def fences(self, suffix: str) -> list[int]:
        """Return the fencing tokens of all commands whose path has this suffix."""
        return [doc["fence"] for _, path, doc in self.commands if path.endswith(suffix)]

    def take(self, address: str, path: str, doc: dict) -> int:
        """Let a command take effect at a target, and return the status of its answer."""
        if path.endswith("grant") and any(
            command_address == address
            and command_path.endswith("grant")
            and command["From"] <= doc["Target"]
            and doc["From"] <= command["Target"]
            and command["fence"] > doc["fence"]
            for command_address, command_path, command in self.commands
        ):
            self.refused.append((address, path, doc))
            return 409
        if path.endswith("grant") and self.refuses_grants:
            self.refused.append((address, path, doc))
            return 400
        self.commands.append((address, path, doc))
        return 200

    def held_ranges(self, address: str) -> list[tuple[int, int]]:
        """Return the ranges that a target holds after all commands."""
        held = bytearray(KEY_COUNT)
        for command_address, path, doc in self.commands:
            if command_address == address:
                mark = b"\x01" if path.endswith("grant") else b"\x00"
                size = doc["Target"] + 1 - doc["From"]
                held[doc["From"] : doc["Target"] + 1] = mark * size
        return [(m.start(), m.end() - 1) for m in re.finditer(b"\x01+", held)]


class _FakeTargetPool:
    fake_targets: FakeTargets

    def __init__(self, address: str, verify: object = None) -> None:
        # Nothing can be sent to an owner whose address is not known.
        int(address.rpartition(":")[2])
        self._address = address
        self._verify = verify
        self._connected = False

    async def exchange(
        self, req: OutgoingRequest, *, repeatable: bool, on_send: object = None
    ) -> HttpResponse:
        fake_targets = self.fake_targets
        if self._address in fake_targets.unreachable:
            await trio.sleep_forever()
        if not self._connected and self._verify is not None:
            await self._verify(_FakeConnection(fake_targets.registrations.get(self._address, "")))
            self._connected = True
        path = req.target.decode()
        if req.method == b"GET":
            name = fake_targets.registrations.get(self._address, "")
            return await _FakeConnection(name).exchange(req)
        fake_targets.sent_count += 1
        await trio.sleep(
            fake_targets.delays.get(path, 0.002)
            + fake_targets.jitter * (fake_targets.sent_count % 7)
        )
        status = fake_targets.take(self._address, path, json.loads(req.body))
        if path in fake_targets.unanswered:
            self._connected = False
            raise ExchangeError("no answer", sent=True)
        return HttpResponse(status, [(b"x-radishshunt-handover", b"h")], b"")

    async def acquire(self, used: set, *, repeatable: bool) -> PoolConnection:
        return PoolConnection(self)

    def give_back(self, conn: PoolConnection) -> None:
        pass

    def close(self) -> None:
        pass


class PoolConnection:
    """Connection of a fake pool, which sends like any other."""

    reusable = True

    def __init__(self, pool: object) -> None:
        self._pool = pool

    async def exchange(self, req: OutgoingRequest) -> HttpResponse:
        return await self._pool.exchange(req, repeatable=True)


class _FakeConnection:
    reusable = True

    def __init__(self, name: str) -> None:
        self._name = name

    async def exchange(self, _req: OutgoingRequest, _on_send: object = None) -> HttpResponse:
        return HttpResponse(200, [(b"x-radishshunt-instance-id", self._name.encode())], b"")


@pytest.fixture
def fake_targets(monkeypatch: pytest.MonkeyPatch) -> FakeTargets:
    """Replace the connections to targets by connections to fake targets."""
    fake_targets = FakeTargets()

    class Pool(_FakeTargetPool):
        pass

    Pool.fake_targets = fake_targets
    monkeypatch.setattr(target_grants, "TargetPool", Pool)
    return fake_targets


@pytest.fixture
def cfg() -> HostSettings:
    """Return the settings of a host."""
    return HostSettings(
        name="edge-1",
        ip="127.0.0.1",
        domain="munich",
        callers_address="127.0.0.1:1",
        readiness_address="127.0.0.1:2",
        peer_port=3,
        metrics_port=4,
        store_address="127.0.0.1:5",
    )


@pytest.fixture
async def view(autojump_clock: object) -> View:
    """Return an empty view that uses trio's clock."""
    return View(CatalogReader(), TrioClock())


@pytest.fixture
def store() -> MemoryStore:
    """Return an empty store."""
    return MemoryStore()


def apply_row(view: View, topic: Topic, key: str, value: bytes | None, version: int) -> None:
    """Apply one row to a view, as the host that reads the store does at once."""
    row = Row(key, version, value, changed_after=view.clock.now())
    view.apply(Change(topic, (row,), version, whole=False))
