"""Problem documents for HTTP errors (RFC 9457)."""

from __future__ import annotations

import math
from http import HTTPStatus
from typing import Any

CONTENT_TYPE = "application/problem+json"


def problem_document(
    status: int, reason: str, detail: str, outcome: str | None = None
) -> dict[str, Any]:
    """Return the members of a problem document.

    :param reason: Machine-readable reason, used as the last part of the problem's type.
    :param outcome: Whether the request ran: ``not-run``, ``unknown`` or ``ran``.
    """
    doc = {
        "type": f"urn:radishshunt:problem:{reason}",
        "title": _status_phrase(status),
        "status": status,
        "detail": detail,
        "reason": reason,
    }
    if outcome is not None:
        doc["outcome"] = outcome
    return doc


def retry_after_value(seconds: float) -> str:
    """Return the value of ``Retry-After``: whole seconds, rounded up, at least one."""
    return str(max(1, math.ceil(seconds)))


def _status_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Error"
