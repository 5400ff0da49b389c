"""Stand-in for a target: takes fenced grants and runs requests in slots."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio
from quart import Response, request
from quart_trio import QuartTrio

from radishshunt.model import new_incarnation

if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import BinaryIO

    from radishshunt.clock import Clock

METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]


@dataclass(frozen=True, slots=True)
class Execution:
    """Record of a request that a target has run.

    :param started_at: Seconds since the Unix epoch.
    :param ended_at: Seconds since the Unix epoch, 0 while it runs or if it was cut.
    """

    target: str
    service: str
    key: str
    method: str
    request_id: str
    idempotency_key: str
    epoch: int
    started_at: float
    ended_at: float = 0.0


@dataclass(slots=True)
class GroupFence:
    """What a target remembers of a group.

    :param generation: Lowest generation that it accepts.
    :param slices: Epoch of each granted slice.
    :param deadline: End of the grant, seconds since the Unix epoch.
    """

    generation: int = 0
    granted_generation: int = 0
    slices: dict[int, int] = field(default_factory=dict)
    deadline: float = 0.0
    held_standby: set[int] = field(default_factory=set)


@dataclass(slots=True)
class Behaviour:
    """How a target works, switchable at any time.

    :param service_seconds: Time to run one request.
    :param slowdown: Factor on the service time.
    :param frozen: Take requests and never answer.
    """

    service_seconds: float = 0.002
    slowdown: float = 1.0
    frozen: bool = False


class TargetEmulator:
    """One stand-in target.

    :param checks_fences: Whether it refuses requests without a valid grant.
    :param journal: Unbuffered file for a JSON line at each start and end of a request, which
        outlives the process.
    """

    def __init__(
        self,
        name: str,
        slots: int,
        clock: Clock,
        *,
        checks_fences: bool = True,
        journal: BinaryIO | None = None,
    ) -> None:
        self.name = name
        self.slots = slots
        self.checks_fences = checks_fences
        self.behaviour = Behaviour()
        self.executions: list[Execution] = []
        # Idempotency key and start of every request begun, also of those that a kill cut off.
        self.starts: list[tuple[str, float]] = []
        self.most_at_once = 0
        self._clock = clock
        self._journal = journal
        self._running: dict[str, tuple[tuple[str, int], int, int, float]] = {}
        self._scopes: dict[str, trio.CancelScope] = {}
        self.restart()
        self.app = self._build_app()

    def restart(self) -> None:
        """Forget all grants and fences, as a new process would."""
        self.incarnation = new_incarnation()
        self._groups: dict[tuple[str, int], GroupFence] = {}

    def _build_app(self) -> QuartTrio:
        app = QuartTrio(f"radishshunt.emulator.target.{self.name}", static_folder=None)
        app.config["MAX_CONTENT_LENGTH"] = None
        app.before_request(self._before)
        app.add_url_rule("/_target/fence", view_func=self._fence, methods=["POST"])
        app.add_url_rule("/_target/grant", view_func=self._grant, methods=["POST"])
        app.add_url_rule("/_target/health", view_func=self._health)
        app.add_url_rule("/_target/load", view_func=self._load)
        app.add_url_rule(
            "/_target/requests/<request_id>", view_func=self._cancel, methods=["DELETE"]
        )
        app.add_url_rule("/", "work", self._work, methods=METHODS, defaults={"path": ""})
        app.add_url_rule("/<path:path>", "work", self._work, methods=METHODS)
        return app

    async def _before(self) -> None:
        if self.behaviour.frozen:
            await trio.sleep_forever()

    async def _fence(self) -> Response:
        doc = await request.get_json()
        key = (doc["service"], doc["group"])
        fence = self._groups.setdefault(key, GroupFence())
        if doc["generation"] < fence.generation:
            return self._rejected("fenced")
        fence.generation = doc["generation"]
        busy = [
            deadline
            for group, generation, _slice, deadline in self._running.values()
            if group == key and generation < doc["generation"]
        ]
        return _json(
            {
                "incarnation": self.incarnation,
                "held_standby": sorted(fence.held_standby),
                "busy_until": max(busy, default=0.0),
            }
        )

    async def _grant(self) -> Response:
        doc = await request.get_json()
        if doc["incarnation"] != self.incarnation:
            return self._rejected("incarnation")
        fence = self._groups.setdefault((doc["service"], doc["group"]), GroupFence())
        generation = doc["generation"]
        if generation < fence.generation:
            return self._rejected("fenced")
        if generation > fence.granted_generation:
            fence.held_standby = set()
            fence.deadline = 0.0
        fence.generation = fence.granted_generation = generation
        fence.slices = dict.fromkeys(doc["owned"], generation * 2)
        fence.slices.update(dict.fromkeys(doc["taken_over"], generation * 2 + 1))
        fence.held_standby.update(doc["taken_over"])
        fence.deadline = max(fence.deadline, doc["deadline"])
        return _json({"incarnation": self.incarnation})

    async def _health(self) -> Response:
        return _json({"status": "ok", "incarnation": self.incarnation})

    async def _load(self) -> Response:
        return _json({"running": len(self._running), "slots": self.slots})

    async def _cancel(self, request_id: str) -> Response:
        scope = self._scopes.get(request_id)
        if scope is not None:
            scope.cancel()
        return Response(b"", status=204 if scope else 404)

    async def _work(self, path: str) -> Response:
        headers = request.headers
        request_id = headers.get("Radishshunt-Request-Id", "")
        body = await request.get_data()
        deadline = float(headers.get("Radishshunt-Deadline", "inf"))
        reason = self._refusal(headers, deadline)
        if reason:
            refusal = Response(b"", status=409)
            refusal.headers["Radishshunt-Not-Run"] = reason
            refusal.headers["Radishshunt-Request-Id"] = request_id
            return refusal
        group = (headers.get("Radishshunt-Service", ""), int(headers.get("Radishshunt-Group", "0")))
        epoch = int(headers.get("Radishshunt-Epoch", "0"))
        number = int(headers.get("Radishshunt-Slice", "-1"))
        self._running[request_id] = (group, epoch // 2, number, deadline)
        self.most_at_once = max(self.most_at_once, len(self._running))
        scope = self._scopes[request_id] = trio.CancelScope(
            deadline=trio.current_time() + max(0.0, deadline - self._clock.now())
        )
        started_at = self._clock.now()
        self.starts.append((headers.get("Idempotency-Key", ""), started_at))
        self._write_journal("start", request_id, headers, number)
        try:
            with scope:
                await trio.sleep(self.behaviour.service_seconds * self.behaviour.slowdown)
        finally:
            del self._running[request_id]
            del self._scopes[request_id]
            self._write_journal("end", request_id, headers, number)
        execution = Execution(
            target=self.name,
            service=group[0],
            key=headers.get("Radishshunt-Key", ""),
            method=request.method,
            request_id=request_id,
            idempotency_key=headers.get("Idempotency-Key", ""),
            epoch=epoch,
            started_at=started_at,
            ended_at=0.0 if scope.cancelled_caught else self._clock.now(),
        )
        self.executions.append(execution)
        if scope.cancelled_caught:
            resp = Response("the deadline passed", status=504)
        else:
            resp = _json(
                {
                    "target": self.name,
                    "key": execution.key,
                    "method": request.method,
                    "path": f"/{path}",
                    "request_id": request_id,
                    "body_bytes": len(body),
                }
            )
        resp.headers["Radishshunt-Request-Id"] = request_id
        return resp

    def _write_journal(
        self, event: str, request_id: str, headers: Mapping[str, str], number: int
    ) -> None:
        if self._journal is None:
            return
        doc = {
            "event": event,
            "at": self._clock.now(),
            "target": self.name,
            "incarnation": self.incarnation,
            "request_id": request_id,
            "service": headers.get("Radishshunt-Service", ""),
            "key": headers.get("Radishshunt-Key", ""),
            "idempotency_key": headers.get("Idempotency-Key", ""),
            "epoch": int(headers.get("Radishshunt-Epoch", "0")),
            "slice": number,
        }
        self._journal.write(json.dumps(doc).encode() + b"\n")

    def _refusal(self, headers: dict[str, str], deadline: float) -> str | None:
        if self._clock.now() >= deadline:
            return "deadline"
        if not self.checks_fences or "Radishshunt-Epoch" not in headers:
            return None
        key = (headers["Radishshunt-Service"], int(headers["Radishshunt-Group"]))
        fence = self._groups.get(key)
        epoch = int(headers["Radishshunt-Epoch"])
        if fence is None or self._clock.now() >= fence.deadline:
            return "no-grant"
        if epoch // 2 != fence.generation or fence.granted_generation != fence.generation:
            return "wrong-epoch"
        number = headers.get("Radishshunt-Slice")
        if number is not None and fence.slices.get(int(number)) != epoch:
            return "wrong-epoch"
        return None

    def _rejected(self, reason: str) -> Response:
        resp = _json({"reason": reason, "incarnation": self.incarnation})
        resp.status_code = 409
        return resp


def _json(doc: dict) -> Response:
    return Response(json.dumps(doc), content_type="application/json")
