"""Quart responses with problem documents."""

from __future__ import annotations

import json

from quart import Response

from radishshunt.util.problems import CONTENT_TYPE, problem_document, retry_after_value


def problem_response(
    status: int,
    reason: str,
    detail: str,
    *,
    outcome: str | None = None,
    retry_after: float | None = None,
) -> Response:
    """Return a response of type ``application/problem+json``.

    :param reason: Machine-readable reason, used as the last part of the problem's type.
    :param outcome: Whether the request ran: ``not-run``, ``unknown`` or ``ran``.
    :param retry_after: Seconds after which the client should retry, or ``None``.
    """
    doc = problem_document(status, reason, detail, outcome)
    resp = Response(json.dumps(doc), status=status, content_type=CONTENT_TYPE)
    if retry_after is not None:
        resp.headers["Retry-After"] = retry_after_value(retry_after)
    return resp
