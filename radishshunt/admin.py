"""HTTP application of the administration listener: API, health, readiness and metrics."""

from __future__ import annotations

import hmac
import logging
from typing import TYPE_CHECKING

from quart import Response, jsonify, request
from quart_trio import QuartTrio
from werkzeug.exceptions import HTTPException

from radishshunt.errors import (
    Conflict,
    OutcomeUnknown,
    PlatformUnavailable,
    RadishshuntError,
    SettingsError,
)
from radishshunt.hashing import key_hash
from radishshunt.release.acceptance import history, submit
from radishshunt.release.note import parse_note
from radishshunt.util.problem_responses import problem

if TYPE_CHECKING:
    from radishshunt.app import Host

logger = logging.getLogger(__name__)

# HTTP status and problem reason of each error that an API call may raise.
_ERROR_RESPONSES: list[tuple[type[RadishshuntError], int, str]] = [
    (SettingsError, 422, "invalid-note"),
    (Conflict, 409, "conflict"),
    (PlatformUnavailable, 503, "platform-unavailable"),
    (OutcomeUnknown, 504, "outcome-unknown"),
]
MAX_NOTE_BYTES = 1024 * 1024
# Load balancers and process supervisors request these paths without a token.
_PUBLIC_PATHS = frozenset({"/healthz", "/readyz"})


def build_app(host: Host) -> QuartTrio:
    """Return the administration application of a host."""
    app = QuartTrio("radishshunt.admin", static_folder=None)
    app.config["MAX_CONTENT_LENGTH"] = MAX_NOTE_BYTES

    @app.before_request
    async def check_token() -> Response | None:
        token = host.cfg.admin.token
        if request.path in _PUBLIC_PATHS or token is None:
            return None
        authorization = request.headers.get("Authorization", "")
        if hmac.compare_digest(authorization.encode(), f"Bearer {token}".encode()):
            return None
        resp = problem(401, "unauthorized", "a valid bearer token is required")
        resp.headers["WWW-Authenticate"] = "Bearer"
        return resp

    @app.errorhandler(RadishshuntError)
    async def on_error(exc: RadishshuntError) -> Response:
        for cls, status, reason in _ERROR_RESPONSES:
            if isinstance(exc, cls):
                return problem(status, reason, str(exc))
        return problem(500, "internal", str(exc))

    @app.errorhandler(HTTPException)
    async def on_http_error(exc: HTTPException) -> Response:
        status = exc.code or 500
        reasons = {404: "not-found", 405: "bad-method", 413: "note-too-large"}
        return problem(status, reasons.get(status, "bad-request"), exc.description or exc.name)

    @app.errorhandler(Exception)
    async def on_unexpected_error(exc: Exception) -> Response:
        logger.exception("administration request failed")
        return problem(500, "internal", repr(exc))

    @app.get("/healthz")
    async def healthz() -> Response:
        return jsonify({"status": "ok"})

    @app.get("/readyz")
    async def readyz() -> Response:
        reasons = host.unready_reasons()
        resp = jsonify({"ready": not reasons, "reasons": reasons})
        resp.status_code = 503 if reasons else 200
        return resp

    @app.get("/metrics")
    async def metrics() -> Response:
        return Response(host.render_metrics(), content_type="text/plain; version=0.0.4")

    @app.get("/v1/status")
    async def status() -> Response:
        return jsonify(host.status())

    @app.get("/v1/hosts")
    async def hosts() -> Response:
        return jsonify(await host.hosts_status())

    @app.post("/v1/releases")
    async def post_release() -> Response:
        note = parse_note((await request.get_data()).decode("utf-8", "replace"))
        acceptance, catalog = await submit(host.platform, note, host.directory.catalog)
        await host.apply_catalog(catalog, note)
        return jsonify({"version": acceptance.version, "digest": acceptance.digest})

    @app.get("/v1/releases")
    async def get_releases() -> Response:
        return jsonify({"releases": await history(host.platform)})

    @app.get("/v1/services/<service>/explain")
    async def explain(service: str) -> Response:
        key = request.args.get("key", "")
        if service not in host.directory.catalog.services:
            return problem(404, "unknown-service", f"there is no service {service}")
        return jsonify({"key_hash": key_hash(key), **host.explain(service, key)})

    return app
