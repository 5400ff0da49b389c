"""HTTP interface of the targets on the users' platform."""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING

from radishshunt.gateway.exchange import HttpResponse, OutgoingRequest
from radishshunt.gateway.model import LAST_KEY
from radishshunt.gateway.protocol import LoadReport, TargetProtocol
from radishshunt.platform.names import (
    API_KEY_HEADER,
    ATTEMPT_ID_HEADER,
    COLD_MS_HEADER,
    DEADLINE_MS_HEADER,
    EXPECTED_TARGET_HEADER,
    GRANT_PATH,
    HANDOVER_HEADER,
    INSTANCE_HEADER,
    KEY_HEADER,
    LEAVING_HEADER,
    LOAD_HEADER,
    NOT_RUN_HEADER,
    RELEASE_PATH,
    REQUEST_LIMIT_HEADER,
    SIGNATURE_HEADER,
    WORKSPACE_HEADER,
)
from radishshunt.policy.direct.target_statements import NEVER, TargetStatement

if TYPE_CHECKING:
    from radishshunt.gateway.model import KeyRange, TargetEntry
    from radishshunt.gateway.protocol import CallerRequest

_ATTEMPT_ID_HEADER = ATTEMPT_ID_HEADER.encode()
_DEADLINE_MS_HEADER = DEADLINE_MS_HEADER.encode()
_KEY_HEADER = KEY_HEADER.encode()
_EXPECTED_TARGET_HEADER = EXPECTED_TARGET_HEADER.encode()
_LOAD_HEADER = LOAD_HEADER.encode()
_REQUEST_LIMIT_HEADER = REQUEST_LIMIT_HEADER.encode()
_LEAVING_HEADER = LEAVING_HEADER.encode()
_COLD_MS_HEADER = COLD_MS_HEADER.encode()
_NOT_RUN_HEADER = NOT_RUN_HEADER.encode()
_INSTANCE_HEADER = INSTANCE_HEADER.encode()
_HANDOVER_HEADER = HANDOVER_HEADER.encode()
_SIGNATURE_HEADER = SIGNATURE_HEADER.encode()
_API_KEY_HEADER = API_KEY_HEADER.encode()
_WORKSPACE_HEADER = WORKSPACE_HEADER.encode()
_IDENTITY_HEADERS = frozenset({_API_KEY_HEADER, _WORKSPACE_HEADER})
_HEADERS_SET_BY_HOST = frozenset({_DEADLINE_MS_HEADER, _EXPECTED_TARGET_HEADER, _SIGNATURE_HEADER})
_METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})
MISDIRECTED_REQUEST = 421
# Longer cold starts are not believed.
MAX_COLD_SECONDS = 600.0
# Longer numbers in headers are ignored; Python does not convert those of over 4,300 digits.
MAX_DIGITS = 32


class HttpTargetProtocol(TargetProtocol):
    """Headers and commands in the form that the users' targets accept."""

    def parse_caller_headers(
        self, headers: list[tuple[bytes, bytes]]
    ) -> tuple[str, float | None, int | None]:
        values = dict(headers)
        deadline = values.get(_DEADLINE_MS_HEADER, b"")
        key = values.get(_KEY_HEADER, b"")
        seconds = float(deadline) / 1000 if _is_number(deadline) else None
        number = _count(key)
        if number is not None and number > LAST_KEY:
            number = None
        return values.get(_ATTEMPT_ID_HEADER, b"").decode("latin-1"), seconds, number

    def api_keys(self, headers: list[tuple[bytes, bytes]]) -> list[bytes]:
        return [value for name, value in headers if name.lower() == _API_KEY_HEADER]

    def remove_identity(self, headers: list[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
        # Many servers read both characters as one.
        return [
            (name, value)
            for name, value in headers
            if name.lower().replace(b"_", b"-") not in _IDENTITY_HEADERS
        ]

    def build_request(self, req: CallerRequest, target_id: str, seconds: float) -> OutgoingRequest:
        headers = [pair for pair in req.headers if pair[0] not in _HEADERS_SET_BY_HOST]
        headers.append((_DEADLINE_MS_HEADER, str(max(1, int(seconds * 1000))).encode()))
        headers.append((_EXPECTED_TARGET_HEADER, target_id.encode()))
        if req.caller is not None:
            headers.append((_WORKSPACE_HEADER, req.caller.workspace.name.encode()))
        if req.body or req.method in _METHODS_WITH_BODY:
            headers.append((b"content-length", str(len(req.body)).encode()))
        attempt_id = req.attempt_id.encode("latin-1")
        echo = (_ATTEMPT_ID_HEADER, attempt_id) if attempt_id else None
        method = req.method.encode()
        return OutgoingRequest(
            method, req.target, headers, req.body, echo, req.memory, _SIGNATURE_HEADER
        )

    def load_report(self, response: HttpResponse) -> LoadReport | None:
        value = response.header(_LOAD_HEADER)
        if value is None:
            return None
        numbers = [_count(part.strip()) for part in value.split(b",")]
        if len(numbers) < 3 or None in numbers:
            return None
        running, waiting, slots, *rest = numbers
        return LoadReport(running, waiting, max(1, slots), rest[0] / 100 if rest else 1.0)

    def request_limit(self, response: HttpResponse) -> float | None:
        value = response.header(_REQUEST_LIMIT_HEADER)
        if value is None:
            return math.inf
        return float(value) if _is_number(value) else None

    def statement(self, response: HttpResponse, entry: TargetEntry) -> TargetStatement | None:
        identity = self.identity(response)
        # A process that the request was not meant for refuses it, and need not name itself.
        if identity not in ("", entry.id) or (not identity and self.is_wrong_target(response)):
            return None
        leaving = (response.header(_LEAVING_HEADER) or b"").strip() == b"1"
        cold_ms = _count(response.header(_COLD_MS_HEADER) or b"") or 0
        if not leaving and not cold_ms:
            return None
        return TargetStatement(
            entry.id,
            entry.incarnation,
            leaving_age=0.0 if leaving else NEVER,
            cold_seconds=min(cold_ms / 1000, MAX_COLD_SECONDS),
        )

    def is_not_run(self, response: HttpResponse) -> bool:
        return (
            response.header(_NOT_RUN_HEADER) is not None or response.status == MISDIRECTED_REQUEST
        )

    def is_wrong_target(self, response: HttpResponse) -> bool:
        return response.status == MISDIRECTED_REQUEST

    def identity_check(self, host: str, path: str) -> OutgoingRequest:
        return OutgoingRequest(b"GET", path.encode(), [(b"host", host.encode())], b"")

    def identity(self, response: HttpResponse) -> str:
        return (response.header(_INSTANCE_HEADER) or b"").decode("latin-1")

    def grant(self, host: str, keys: KeyRange, seconds: float, handover: str) -> OutgoingRequest:
        doc = {
            "From": keys.first,
            "Target": keys.last,
            "fence": keys.fence,
            "HoldMs": int(seconds * 1000),
        }
        if handover:
            doc["Handover"] = handover
        return _build_command(host, GRANT_PATH, keys.target, doc)

    def release(self, host: str, keys: KeyRange) -> OutgoingRequest:
        doc = {"From": keys.first, "Target": keys.last, "fence": keys.fence}
        return _build_command(host, RELEASE_PATH, keys.target, doc, _HANDOVER_HEADER)

    def handover(self, response: HttpResponse) -> str:
        return (response.header(_HANDOVER_HEADER) or b"").decode("latin-1")


def _build_command(
    host: str, path: str, target_id: str, doc: dict, success_header: bytes | None = None
) -> OutgoingRequest:
    body = json.dumps(doc).encode()
    headers = [
        (b"host", host.encode()),
        (b"content-type", b"application/json"),
        (_EXPECTED_TARGET_HEADER, target_id.encode()),
        (b"content-length", str(len(body)).encode()),
    ]
    return OutgoingRequest(b"POST", path.encode(), headers, body, success_header=success_header)


def _count(value: bytes) -> int | None:
    """Return a number of at most :data:`MAX_DIGITS` digits, ``None`` for anything else."""
    return int(value) if value.isdigit() and len(value) <= MAX_DIGITS else None


def _is_number(value: bytes) -> bool:
    """Return whether a value is a decimal number of at most :data:`MAX_DIGITS` digits."""
    digits = value.replace(b".", b"", 1)
    return digits.isdigit() and len(digits) <= MAX_DIGITS
