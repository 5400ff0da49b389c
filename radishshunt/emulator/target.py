"""Stand-in for a target: takes fenced grants and runs requests in slots."""

from __future__ import annotations

import json
from collections import OrderedDict
from dataclasses import asdict, dataclass, field, fields
from typing import TYPE_CHECKING

import trio
from quart import Response, request
from quart_trio import QuartTrio

from radishshunt.emulator.history import CALL_HEADER, Execution, GrantRecord
from radishshunt.model import new_incarnation

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from radishshunt.clock import Clock

METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]
# Requests cancelled before they arrived that are remembered, so that they are refused later.
CANCELLED_KEPT = 1000


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
    :param silent_ports: Peer ports of connections that have gone silent; others work.
    :param crossed: Answer that many requests with the id of another request.
    :param truncated: Cut that many answers in the middle of their body.
    :param crash_on: Requests whose path holds this text end the process; empty for none.
    :param answer_bytes: Size of the filling in answers.
    """

    service_seconds: float = 0.002
    slowdown: float = 1.0
    frozen: bool = False
    silent_ports: frozenset[int] = frozenset()
    crossed: int = 0
    truncated: int = 0
    crash_on: str = ""
    answer_bytes: int = 0


class TargetEmulator:
    """One stand-in target.

    :param checks_fences: Whether it refuses requests without a valid grant.
    :param on_crash: Ends the process, or what stands for it, without an answer.
    """

    def __init__(
        self,
        name: str,
        slots: int,
        clock: Clock,
        *,
        checks_fences: bool = True,
        on_crash: Callable[[], None] = lambda: None,
    ) -> None:
        self.name = name
        self.slots = slots
        self.checks_fences = checks_fences
        self.behaviour = Behaviour()
        self.executions: list[Execution] = []
        self.grants: list[GrantRecord] = []
        self.most_at_once = 0
        self.ports: set[int] = set()
        self._on_crash = on_crash
        self._cancelled: OrderedDict[str, None] = OrderedDict()
        self._clock = clock
        self._running: dict[str, tuple[tuple[str, int], int, int, float]] = {}
        self._scopes: dict[str, trio.CancelScope] = {}
        self.restart()
        self.app = self._build_app()

    def restart(self) -> None:
        """Forget all grants and fences, as a new process would."""
        now = self._clock.now()
        for grant in self.grants:
            grant.until = min(grant.until, now)
        for execution in self.executions:
            execution.ended_at = execution.ended_at or now
        self.incarnation = new_incarnation()
        self._groups: dict[tuple[str, int], GroupFence] = {}
        self._open_grants: dict[tuple[str, int], GrantRecord] = {}

    def _build_app(self) -> QuartTrio:
        app = QuartTrio(f"radishshunt.emulator.target.{self.name}", static_folder=None)
        app.config["MAX_CONTENT_LENGTH"] = None
        app.before_request(self._before)
        app.add_url_rule("/_target/fence", view_func=self._fence, methods=["POST"])
        app.add_url_rule("/_target/grant", view_func=self._grant, methods=["POST"])
        app.add_url_rule("/_target/health", view_func=self._health)
        app.add_url_rule("/_target/load", view_func=self._load)
        rule = "/_target/requests/<request_id>"
        app.add_url_rule(rule, "cancel", self._cancel, methods=["DELETE"])
        app.add_url_rule(rule, "state", self._state, methods=["GET"])
        app.add_url_rule("/_target/history", view_func=self._history)
        app.add_url_rule("/emulator/behaviour", view_func=self._behave, methods=["PUT"])
        app.add_url_rule("/", "work", self._work, methods=METHODS, defaults={"path": ""})
        app.add_url_rule("/<path:path>", "work", self._work, methods=METHODS)
        return app

    async def _before(self) -> None:
        if request.path.startswith("/emulator/") or request.path == "/_target/history":
            return
        port = request.scope["client"][1]
        self.ports.add(port)
        if self.behaviour.frozen or port in self.behaviour.silent_ports:
            await trio.sleep_forever()

    async def _history(self) -> Response:
        return _json(
            {
                "target": self.name,
                "incarnation": self.incarnation,
                "executions": [asdict(execution) for execution in self.executions],
                "grants": [asdict(grant) for grant in self.grants],
                "most_at_once": self.most_at_once,
            }
        )

    async def _behave(self) -> Response:
        doc = await request.get_json()
        if doc.pop("silence_open", False):
            self.silence_open()
        known = {item.name for item in fields(Behaviour)} - {"silent_ports"}
        for name in known & doc.keys():
            setattr(self.behaviour, name, doc[name])
        return Response(b"", status=204)

    def silence_open(self) -> None:
        """Let every connection used so far go silent; new ones work."""
        self.behaviour.silent_ports |= self.ports

    async def _fence(self) -> Response:
        doc = await request.get_json()
        key = (doc["service"], doc["group"])
        fence = self._groups.setdefault(key, GroupFence())
        if doc["generation"] < fence.generation:
            return self._rejected("fenced")
        if doc["generation"] > fence.generation:
            self._end_grants(doc["service"], fence.slices)
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
        former = fence.slices
        fence.slices = dict.fromkeys(doc["owned"], generation * 2)
        fence.slices.update(dict.fromkeys(doc["taken_over"], generation * 2 + 1))
        fence.held_standby.update(doc["taken_over"])
        fence.deadline = max(fence.deadline, doc["deadline"])
        self._record_grants(doc["service"], former, fence)
        return _json({"incarnation": self.incarnation})

    def _record_grants(self, service: str, former: dict[int, int], fence: GroupFence) -> None:
        now = self._clock.now()
        ended = {n: epoch for n, epoch in former.items() if fence.slices.get(n) != epoch}
        self._end_grants(service, ended)
        for number, epoch in fence.slices.items():
            record = self._open_grants.get((service, number))
            if record is not None and record.epoch == epoch and record.until >= now:
                record.until = fence.deadline
                continue
            record = GrantRecord(
                self.name, self.incarnation, service, number, epoch, now, fence.deadline
            )
            self._open_grants[service, number] = record
            self.grants.append(record)

    def _end_grants(self, service: str, slices: dict[int, int]) -> None:
        now = self._clock.now()
        for number in slices:
            record = self._open_grants.pop((service, number), None)
            if record is not None:
                record.until = min(record.until, now)

    async def _health(self) -> Response:
        return _json({"status": "ok", "incarnation": self.incarnation})

    async def _load(self) -> Response:
        return _json({"running": len(self._running), "slots": self.slots})

    async def _cancel(self, request_id: str) -> Response:
        """Cancel a request; one that has not arrived yet is refused when it does."""
        scope = self._scopes.get(request_id)
        if scope is not None:
            scope.cancel()
            return Response(b"", status=204)
        self._cancelled[request_id] = None
        while len(self._cancelled) > CANCELLED_KEPT:
            self._cancelled.popitem(last=False)
        return Response(b"", status=404)

    async def _state(self, request_id: str) -> Response:
        running = request_id in self._running
        return _json({"running": running, "incarnation": self.incarnation})

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
        execution = self._begin(headers)
        if self.behaviour.crash_on and self.behaviour.crash_on in path:
            self._on_crash()
            await trio.sleep_forever()
        if await self._execute(execution, deadline):
            resp = self._answer(execution, f"/{path}", len(body))
        else:
            resp = Response("the deadline passed", status=504)
        resp.headers["Radishshunt-Request-Id"] = request_id
        if self.behaviour.crossed > 0:
            self.behaviour.crossed -= 1
            resp.headers["Radishshunt-Request-Id"] = "another-request"
        return resp

    def _begin(self, headers: dict[str, str]) -> Execution:
        execution = Execution(
            target=self.name,
            incarnation=self.incarnation,
            service=headers.get("Radishshunt-Service", ""),
            key=headers.get("Radishshunt-Key", ""),
            slice=int(headers.get("Radishshunt-Slice", "-1")),
            method=request.method,
            request_id=headers.get("Radishshunt-Request-Id", ""),
            idempotency_key=headers.get("Idempotency-Key", ""),
            call=headers.get(CALL_HEADER, ""),
            epoch=int(headers.get("Radishshunt-Epoch", "0")),
            started_at=self._clock.now(),
        )
        self.executions.append(execution)
        return execution

    async def _execute(self, execution: Execution, deadline: float) -> bool:
        """Run a request and return whether it came to its end."""
        group = (execution.service, int(request.headers.get("Radishshunt-Group", "0")))
        request_id = execution.request_id
        self._running[request_id] = (group, execution.epoch // 2, execution.slice, deadline)
        self.most_at_once = max(self.most_at_once, len(self._running))
        scope = self._scopes[request_id] = trio.CancelScope(
            deadline=trio.current_time() + max(0.0, deadline - self._clock.now())
        )
        try:
            with scope:
                await trio.sleep(self.behaviour.service_seconds * self.behaviour.slowdown)
                execution.complete = True
        finally:
            execution.ended_at = execution.ended_at or self._clock.now()
            del self._running[request_id]
            del self._scopes[request_id]
        return execution.complete

    def _answer(self, execution: Execution, path: str, body_bytes: int) -> Response:
        doc = {
            "target": self.name,
            "key": execution.key,
            "method": execution.method,
            "path": path,
            "request_id": execution.request_id,
            "call": execution.call,
            "body_bytes": body_bytes,
        }
        if self.behaviour.answer_bytes:
            doc["filling"] = "x" * self.behaviour.answer_bytes
        resp = _json(doc)
        if self.behaviour.truncated > 0:
            self.behaviour.truncated -= 1
            data = json.dumps(doc).encode()
            resp = Response(_cut_body(data), content_type="application/json")
            resp.headers["Content-Length"] = str(len(data))
        return resp

    def _refusal(self, headers: dict[str, str], deadline: float) -> str | None:
        if headers.get("Radishshunt-Request-Id", "") in self._cancelled:
            return "cancelled"
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


async def _cut_body(data: bytes) -> AsyncIterator[bytes]:
    """Yield half of a body and break the connection."""
    yield data[: len(data) // 2]
    raise ConnectionAbortedError("the emulator cuts this answer")
