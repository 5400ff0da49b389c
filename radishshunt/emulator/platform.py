"""Emulator of the platform: table, object store and host list over HTTP."""

from __future__ import annotations

import base64
import json
from collections import Counter, deque
from dataclasses import asdict, dataclass
from random import Random
from typing import TYPE_CHECKING

import trio
from quart import Response, jsonify, request
from quart_trio import QuartTrio
from xxhash import xxh3_64_hexdigest

from radishshunt.errors import ConflictError
from radishshunt.model import HostInfo
from radishshunt.platform import Transaction
from radishshunt.platform.memory import MemoryHostList, MemoryObjectStore, MemoryTable

if TYPE_CHECKING:
    from radishshunt.clock import Clock
    from radishshunt.platform import CommitResult, TableRow

WRITES_PER_SECOND = 500
READS_PER_SECOND = 2000


@dataclass(slots=True)
class Faults:
    """Faults to inject, which can be changed while the emulator runs.

    :param down: Refuse every call with status 503.
    :param delay_seconds: Delay of every call.
    :param lose_answers: Number of commits to answer with status 504 after they took effect.
    :param lose_requests: Number of commits to answer with status 504 without any effect.
    :param jitter_seconds: Upper bound of a random additional delay of every call.
    :param failing: Share of calls to refuse with status 503, 0 to 1.
    :param losing: Share of writes to answer with status 504 after they took effect, 0 to 1.
    :param hanging: Accept calls and never answer them.
    """

    down: bool = False
    delay_seconds: float = 0.0
    lose_answers: int = 0
    lose_requests: int = 0
    jitter_seconds: float = 0.0
    failing: float = 0.0
    losing: float = 0.0
    hanging: bool = False


class RateLimit:
    """Limits the number of calls within any period of one second."""

    def __init__(self, max_per_second: int, clock: Clock) -> None:
        self._max_per_second = max_per_second
        self._clock = clock
        self._calls: deque[float] = deque()

    def allow(self) -> bool:
        """Return whether another call is allowed now, and count it if so."""
        now = self._clock.now()
        while self._calls and self._calls[0] <= now - 1.0:
            self._calls.popleft()
        if len(self._calls) >= self._max_per_second:
            return False
        self._calls.append(now)
        return True


class PlatformEmulator:
    """Serves the platform's interface from memory.

    :param rng: Decides which calls fail and how long they are delayed.
    :ivar reads: Number of reads that were let through.
    :ivar writes: Number of writes that were let through.
    :ivar attempts: Number of calls that arrived, answered or not.
    :ivar refused: Number of calls that were refused by a fault or a rate limit.
    :ivar calls_by_path: Number of calls that were let through, by the first two segments of their
        path.
    """

    def __init__(
        self,
        clock: Clock,
        rng: Random | None = None,
        reads_per_second: int = READS_PER_SECOND,
        writes_per_second: int = WRITES_PER_SECOND,
    ) -> None:
        self.table = MemoryTable()
        self.objects = MemoryObjectStore()
        self.host_list = MemoryHostList()
        self.faults = Faults()
        self.reads = 0
        self.writes = 0
        self.attempts = 0
        self.refused = 0
        self.calls_by_path: Counter[str] = Counter()
        self._rng = rng or Random(0)
        self._read_limit = RateLimit(reads_per_second, clock)
        self._write_limit = RateLimit(writes_per_second, clock)
        self.app = self._build_app()

    def _build_app(self) -> QuartTrio:
        app = QuartTrio("radishshunt.emulator.platform", static_folder=None)
        app.before_request(self._apply_faults_and_limits)
        app.add_url_rule("/table/read", view_func=self._read, methods=["POST"])
        app.add_url_rule("/table/scan", view_func=self._scan, methods=["POST"])
        app.add_url_rule("/table/commit", view_func=self._commit, methods=["POST"])
        app.add_url_rule("/table/outcome/<transaction_id>", view_func=self._outcome)
        app.add_url_rule("/objects/<path:name>", view_func=self._get_object, methods=["GET"])
        app.add_url_rule("/objects/<path:name>", view_func=self._put_object, methods=["PUT"])
        app.add_url_rule("/hosts", view_func=self._hosts)
        app.add_url_rule("/emulator/faults", view_func=self._set_faults, methods=["PUT"])
        app.add_url_rule("/emulator/hosts", view_func=self._set_hosts, methods=["PUT"])
        app.add_url_rule("/emulator/counts", view_func=self._counts)
        return app

    async def _apply_faults_and_limits(self) -> Response | None:
        if request.path.startswith("/emulator/"):
            return None
        self.attempts += 1
        faults = self.faults
        if faults.hanging:
            await trio.sleep_forever()
        delay = faults.delay_seconds + self._rng.uniform(0.0, faults.jitter_seconds)
        if delay:
            await trio.sleep(delay)
        if self.faults.down or self._rng.random() < faults.failing:
            self.refused += 1
            return Response("the platform is down", status=503)
        is_write = request.path == "/table/commit" or request.method == "PUT"
        if not (self._write_limit if is_write else self._read_limit).allow():
            self.refused += 1
            return Response("too many calls", status=429, headers={"Retry-After": "1"})
        self.writes += is_write
        self.reads += not is_write
        self.calls_by_path["/".join(request.path.split("/")[:3])] += 1
        return None

    async def _read(self) -> Response:
        doc = await request.get_json()
        return _rows_response(await self.table.read(doc["keys"]))

    async def _scan(self) -> Response:
        doc = await request.get_json()
        return _rows_response(await self.table.scan(doc["prefix"]))

    async def _commit(self) -> Response:
        doc = await request.get_json()
        writes = {
            key: None if value is None else base64.b64decode(value)
            for key, value in doc["writes"].items()
        }
        if self.faults.lose_requests > 0:
            self.faults.lose_requests -= 1
            return Response("the request is lost", status=504)
        tx = Transaction(doc["checks"], writes, doc["transaction_id"])
        result = await self.table.commit(tx)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return Response("the answer is lost", status=504)
        if self._rng.random() < self.faults.losing:
            return Response("the answer is lost", status=504)
        return _commit_response(result)

    async def _outcome(self, transaction_id: str) -> Response:
        result = await self.table.outcome(transaction_id)
        return Response(b"", status=404) if result is None else _commit_response(result)

    async def _get_object(self, name: str) -> Response:
        content = await self.objects.get(name)
        return Response(b"", status=404) if content is None else Response(content)

    async def _put_object(self, name: str) -> Response:
        try:
            await self.objects.put(name, await request.get_data())
        except ConflictError as exc:
            return Response(str(exc), status=409)
        if self._rng.random() < self.faults.losing:
            return Response("the answer is lost", status=504)
        return Response(b"", status=204)

    async def _hosts(self) -> Response:
        hosts = json.dumps([asdict(info) for info in await self.host_list.hosts()])
        etag = f'"{xxh3_64_hexdigest(hosts.encode())}"'
        if request.headers.get("If-None-Match") == etag:
            return Response(b"", status=304, headers={"ETag": etag})
        content = f'{{"hosts": {hosts}}}'
        return Response(content, content_type="application/json", headers={"ETag": etag})

    async def _set_faults(self) -> Response:
        self.faults = Faults(**await request.get_json())
        return Response(b"", status=204)

    async def _set_hosts(self) -> Response:
        doc = await request.get_json()
        self.host_list.entries = {item["host"]: HostInfo(**item) for item in doc["hosts"]}
        return Response(b"", status=204)

    async def _counts(self) -> Response:
        counts = {"reads": self.reads, "writes": self.writes}
        counts |= {"attempts": self.attempts, "refused": self.refused}
        return jsonify(counts | {"paths": self.calls_by_path})


def _rows_response(rows: dict[str, TableRow]) -> Response:
    return jsonify(
        {
            "rows": {
                key: {"version": row.version, "value": base64.b64encode(row.value).decode()}
                for key, row in rows.items()
                if row.version
            }
        }
    )


def _commit_response(result: CommitResult) -> Response:
    return jsonify({"status": result.status.value, "versions": result.versions})
