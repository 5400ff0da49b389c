"""Problem documents of HTTP errors (RFC 9457)."""

from __future__ import annotations

import json
import math
from http import HTTPStatus

from quart import Response


def problem(
    status: int,
    reason: str,
    detail: str,
    *,
    outcome: str | None = None,
    retry_after: float | None = None,
) -> Response:
    """Return a response of type ``application/problem+json``.

    :param reason: Machine-readable reason, the last part of the problem's type.
    :param outcome: What is known of the request: ``not-run``, ``unknown`` or ``ran``.
    :param retry_after: Seconds after which a new attempt makes sense.
    """
    doc = {
        "type": f"urn:radishshunt:problem:{reason}",
        "title": HTTPStatus(status).phrase,
        "status": status,
        "detail": detail,
        "reason": reason,
    }
    if outcome is not None:
        doc["outcome"] = outcome
    resp = Response(json.dumps(doc), status=status, content_type="application/problem+json")
    if retry_after is not None:
        resp.headers["Retry-After"] = str(max(1, math.ceil(retry_after)))
    return resp
