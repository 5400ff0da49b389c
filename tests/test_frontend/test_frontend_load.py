"""Counts of request outcomes by the load generator."""

from __future__ import annotations

import json

from radishshunt.clock import SystemClock
from radishshunt.emulator.demo import DemoResult
from radishshunt.emulator.load import LoadGenerator, LoadPlan, Result
from radishshunt.errors import NotRun, OutcomeOfRequestUnknown
from radishshunt.model import Response, body_of


async def test_each_outcome_is_counted_once(open_listener) -> None:
    """Guards against a report whose counts do not add up to the requests sent."""
    async with open_listener() as listener:

        async def respond(req) -> Response:
            number = len(listener.router.requests) % 4
            if number == 0:
                raise NotRun("queue-full")
            if number == 1:
                raise OutcomeOfRequestUnknown("deadline")
            if number == 2:
                return Response(200, [], truncated_body())
            doc = {"target": "t", "key": req.key, "request_id": req.id}
            return Response(200, [], body_of(json.dumps(doc).encode()))

        async def truncated_body():
            yield b"{"
            raise OutcomeOfRequestUnknown("answer-cut")

        listener.router.respond = respond
        plan = LoadPlan(rate=200, seconds=0.2, services={"permits": 1}, keyed=frozenset())
        generator = LoadGenerator([f"http://{listener.address}"], plan, SystemClock())
        report = await generator.run()
        counts = {result: report.count(result) for result in Result}
        assert counts == dict.fromkeys(Result, 10)
        assert len(report.requests) == len(listener.router.requests) == 40
        fees = [sent for sent in report.requests if sent.non_idempotent]
        assert {r.idempotency_key for r in listener.router.requests} - {""} == {
            sent.idempotency_key for sent in fees
        }


def test_demo_result_line() -> None:
    """Guards against a changed format of the result line, which scripts parse."""
    result = DemoResult(sent=10, answered=7, refused=1, unknown=1, lost=1, duplicates=0)
    counts = "sent=10 answered=7 refused=1 unknown=1 duplicates=0 lost=1"
    assert result.summary_line == f"demo: ok {counts}"
    result.failures.append("lost")
    assert result.summary_line == f"demo: failed {counts}"
