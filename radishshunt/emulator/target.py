"""Stand-in for a target: takes fenced grants and runs requests in slots."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio
from quart import Response, request
from quart_trio import QuartTrio

from radishshunt.emulator.grants import Rejected, TargetGrants
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
        self._scopes: dict[str, trio.CancelScope] = {}
        self.restart()
        self.app = self._build_app()

    def restart(self) -> None:
        """Forget all grants and fences, as a new process would."""
        self.incarnation = new_incarnation()
        self._grants = TargetGrants(self.incarnation)

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
        group = (doc["service"], doc["group"])
        try:
            result = self._grants.fence(group, doc["generation"], doc.get("slices", ()))
        except Rejected as exc:
            return self._rejected(exc.reason)
        return _json(
            {
                "incarnation": self.incarnation,
                "held_standby": result.held_standby,
                "busy": {str(number): deadline for number, deadline in result.busy.items()},
                "busy_until": max(result.busy.values(), default=0.0),
            }
        )

    async def _grant(self) -> Response:
        doc = await request.get_json()
        try:
            self._grants.grant(
                (doc["service"], doc["group"]),
                doc["generation"],
                doc["incarnation"],
                doc["owned"],
                doc["taken_over"],
                doc["deadline"],
            )
        except Rejected as exc:
            return self._rejected(exc.reason)
        return _json({"incarnation": self.incarnation})

    async def _health(self) -> Response:
        return _json({"status": "ok", "incarnation": self.incarnation})

    async def _load(self) -> Response:
        return _json({"running": self._grants.running, "slots": self.slots})

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
        grants = self._grants
        grants.start(request_id, group, number if number >= 0 else None, epoch, deadline)
        self.most_at_once = max(self.most_at_once, grants.running)
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
            grants.finish(request_id)
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
        number = headers.get("Radishshunt-Slice")
        return self._grants.refusal(
            (headers["Radishshunt-Service"], int(headers["Radishshunt-Group"])),
            int(number) if number is not None else None,
            int(headers["Radishshunt-Epoch"]),
            self._clock.now(),
        )

    def _rejected(self, reason: str) -> Response:
        resp = _json({"reason": reason, "incarnation": self.incarnation})
        resp.status_code = 409
        return resp


def _json(doc: dict) -> Response:
    return Response(json.dumps(doc), content_type="application/json")
