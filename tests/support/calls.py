"""Callers of scenarios, whose answers are judged together with the targets' histories."""

from __future__ import annotations

import threading
import time
import uuid
from typing import TYPE_CHECKING

import httpx

from radishshunt.emulator.history import (
    CALL_HEADER,
    CallerAnswer,
    Finding,
    History,
    find_violations,
)

if TYPE_CHECKING:
    from tests.support.system import System


class Calls:
    """Makes calls from several threads and keeps what came back.

    :param service: Service that all calls are for.
    """

    def __init__(self, system: System, service: str) -> None:
        self._system = system
        self._service = service
        self.answers: list[CallerAnswer] = []

    def call(
        self,
        host: str,
        key: str,
        method: str = "GET",
        path: str = "/permit",
        idempotency_key: str = "",
        timeout: float = 2.0,
    ) -> CallerAnswer:
        """Make one call and return its answer; a cut or missing one has no status."""
        call = uuid.uuid4().hex
        headers = {
            "Radishshunt-Service": self._service,
            "Radishshunt-Key": key,
            "Request-Timeout": f"{timeout:g}",
            CALL_HEADER: call,
        }
        if idempotency_key:
            headers["Idempotency-Key"] = idempotency_key
        status, body, complete, content_length, problem = 0, b"", False, -1, {}
        try:
            with httpx.Client(trust_env=False, timeout=timeout + 5) as client:
                resp = client.request(method, self._system.caller_url(host, path), headers=headers)
            status, body, complete = resp.status_code, resp.content, True
            content_length = int(resp.headers.get("content-length", -1))
            if resp.headers.get("content-type") == "application/problem+json":
                problem = resp.json()
        except httpx.HTTPError:
            pass
        answer = CallerAnswer(
            call=call,
            service=self._service,
            key=key,
            method=method,
            ended_at=time.time(),
            status=status,
            idempotency_key=idempotency_key,
            outcome=problem.get("outcome", ""),
            reason=problem.get("reason", ""),
            complete=complete,
            body=body,
            content_length=content_length,
        )
        self.answers.append(answer)
        return answer

    def pay(self, host: str, key: str, seconds: float = 15.0) -> CallerAnswer:
        """Pay a fee: repeat a POST under one idempotency key until a target's answer comes."""
        fee = str(uuid.uuid4())
        ends_at = time.monotonic() + seconds
        while True:
            answer = self.call(host, key, "POST", idempotency_key=fee)
            if answer.status == 200 or time.monotonic() > ends_at:
                return answer
            time.sleep(0.2)

    def in_parallel(self, *calls: tuple) -> list[threading.Thread]:
        """Start calls, each a function with its arguments, in threads of their own."""
        threads = [threading.Thread(target=call[0], args=call[1:]) for call in calls]
        for thread in threads:
            thread.start()
        return threads

    def findings(self) -> list[Finding]:
        """Return the violations in what callers and living targets have recorded."""
        return find_violations(self.history())

    def history(self) -> History:
        """Return what callers and living targets have recorded."""
        history = History(answers=list(self.answers))
        for name, address in self._system.targets.items():
            if self.lives(name):
                resp = self._system.client.get(f"http://{address}/_target/history")
                history.add_target(resp.json())
        return history

    def lives(self, target: str) -> bool:
        """Return whether a target's process runs."""
        return self._system.processes[target].poll() is None

    def set_behaviour(self, **behaviour: object) -> None:
        """Change how all living targets work."""
        for name, address in self._system.targets.items():
            if self.lives(name):
                url = f"http://{address}/emulator/behaviour"
                self._system.client.put(url, json=behaviour).raise_for_status()
