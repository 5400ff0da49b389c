"""HTTP interface for callers."""

from __future__ import annotations

import logging
import re
import secrets
from typing import TYPE_CHECKING, Any

import trio

from radishshunt.caller_exchange import CallerDisconnected, CallerExchange
from radishshunt.errors import NotRun, OutcomeOfRequestUnknown, RequestError
from radishshunt.hashing import key_hash
from radishshunt.intents import new_request_id
from radishshunt.logs import decision
from radishshunt.model import Request
from radishshunt.release.note import NAME_PATTERN
from radishshunt.util.headers import HOP_BY_HOP_HEADERS, connection_options

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from radishshunt.body_memory import BodyMemory, BodyReservation
    from radishshunt.clock import Clock
    from radishshunt.metrics import Metrics
    from radishshunt.router import Router
    from radishshunt.settings import LimitsSection

logger = logging.getLogger(__name__)

METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})
SERVICE_HEADER = "radishshunt-service"
KEY_HEADER = "radishshunt-key"
TIMEOUT_HEADER = "request-timeout"
IDEMPOTENCY_HEADER = "idempotency-key"
# Other headers with this prefix are set by the router only and dropped from callers' requests.
ROUTER_HEADER_PREFIX = "radishshunt-"
MAX_KEY_BYTES = 1024
MAX_IDEMPOTENCY_KEY_BYTES = 256
# A body must be complete this long before the deadline. A slow body is then refused here as not
# run, before the router's own deadline ends the request with an unknown outcome.
BODY_MARGIN_SECONDS = 0.05
# Minimum time for sending a response, so that a response that arrives just before the deadline is
# not truncated.
MIN_RESPONSE_SECONDS = 0.5
_TIMEOUT_PATTERN = re.compile(r"[0-9]{1,6}(\.[0-9]{1,6})?")
_SERVICE_PATTERN = re.compile(NAME_PATTERN)
_SINGLE_VALUED_HEADERS = (SERVICE_HEADER, KEY_HEADER, TIMEOUT_HEADER, IDEMPOTENCY_HEADER)

if TYPE_CHECKING:
    Receive = Callable[[], Awaitable[Any]]
    Send = Callable[[Any], Awaitable[None]]


class Frontend:
    """ASGI application that serves callers.

    Quart buffers a request body without limit before its handler reads it. This application
    reads a body only as fast as it is forwarded.

    :param router: Routes each request.
    """

    def __init__(
        self,
        router: Router,
        limits: LimitsSection,
        clock: Clock,
        metrics: Metrics,
        memory: BodyMemory,
    ) -> None:
        self._router = router
        self._limits = limits
        self._clock = clock
        self._metrics = metrics
        self._running = 0
        self._memory = memory

    @property
    def running(self) -> int:
        """Number of callers' requests in progress."""
        return self._running

    async def app(self, scope: Any, receive: Receive, send: Send) -> None:
        """Serve one request."""
        exchange = CallerExchange(scope, receive, send)
        self._running += 1
        try:
            await self._serve(scope, exchange)
        finally:
            self._running -= 1

    async def _serve(self, scope: Any, exchange: CallerExchange) -> None:
        received_at = self._clock.now()
        request_id = new_request_id(received_at, secrets.randbits(74))
        reservation = self._memory.reserve()
        req = None
        try:
            if self._running > self._limits.callers:
                raise NotRun("host-busy", "too many requests", retry_after=1.0)
            if scope["http_version"] != "1.1":
                # HTTP/1.0 can't tell a truncated response without a length from a complete one.
                raise NotRun("http-version", "callers must use HTTP/1.1", status=505)
            req = parse_request(scope, request_id, received_at, self._limits)
            self._check_content_length(exchange.content_length)
            req.body = self._receive_body(exchange, reservation, req.deadline)
            await self._route_and_respond(req, exchange, received_at)
        except CallerDisconnected:
            self._record_failure(
                "gone", req, request_id, exchange, CallerDisconnected("caller-gone")
            )
        except RequestError as exc:
            reservation.close()
            self._record_failure("refuse", req, request_id, exchange, exc)
            await exchange.refuse(exc)
        except Exception:
            logger.exception("request %s failed", request_id)
            failure = OutcomeOfRequestUnknown("internal", "the router failed", status=500)
            self._record_failure("refuse", req, request_id, exchange, failure)
            await exchange.refuse(failure)
        finally:
            reservation.close()

    async def _route_and_respond(
        self, req: Request, exchange: CallerExchange, received_at: float
    ) -> None:
        with trio.CancelScope() as scope:
            exchange.cancel_on_disconnect(scope)
            resp = await self._router.route(req)
            try:
                # The response is truncated at its deadline, so that a caller that stops reading
                # does not keep the target's slot occupied.
                remaining_seconds = max(MIN_RESPONSE_SECONDS, req.deadline - self._clock.now())
                with trio.move_on_after(remaining_seconds) as sending:
                    await exchange.send_response(resp)
                if sending.cancelled_caught and not exchange.response_ended:
                    raise OutcomeOfRequestUnknown(
                        "answer-cut", "the response was not complete before the deadline"
                    )
            finally:
                with trio.CancelScope(shield=True):
                    await resp.body.aclose()
        if exchange.disconnected:
            raise CallerDisconnected("caller-gone")
        self._metrics.requests.labels(req.service, "answered").inc()
        self._metrics.latency("caller", req.service).record(self._clock.now() - received_at)

    def _check_content_length(self, length: int | None) -> None:
        if length is not None and length > self._limits.body_bytes:
            raise _too_large(self._limits.body_bytes)

    async def _receive_body(
        self, exchange: CallerExchange, reservation: BodyReservation, deadline: float
    ) -> AsyncIterator[bytes]:
        size = 0
        while True:
            remaining_seconds = deadline - BODY_MARGIN_SECONDS - self._clock.now()
            with trio.move_on_after(max(0.0, remaining_seconds)) as scope:
                data = await exchange.read_body_chunk()
            if scope.cancelled_caught:
                raise NotRun("slow-body", "the body did not arrive before the deadline", status=408)
            if data is None:
                return
            size += len(data)
            if size > self._limits.body_bytes:
                raise _too_large(self._limits.body_bytes)
            if data:
                reservation.add(len(data))
                yield data

    def _record_failure(
        self,
        kind: str,
        req: Request | None,
        request_id: str,
        exchange: CallerExchange,
        exc: RequestError,
    ) -> None:
        """Count and log a request that ended without a complete response."""
        service = req.service if req else ""
        result = "gone" if kind == "gone" else "cut" if exchange.response_started else exc.outcome
        self._metrics.requests.labels(service, result).inc()
        decision(
            "refuse",
            listener="callers",
            service=service,
            key_hash=key_hash(req.key) if req else None,
            request_id=request_id,
            status=exc.status,
            reason=exc.reason,
            detail=exc.detail,
            outcome=result,
        )


def parse_request(
    scope: Any, request_id: str, received_at: float, limits: LimitsSection
) -> Request:
    """Validate the head of a caller's request and return the request with an empty body.

    :param scope: ASGI scope; header names are in lower case.
    :param received_at: Seconds since the Unix epoch.
    :raises NotRun: If the head violates a rule of docs/reference/http.md.
    """
    headers = [(n.decode("latin-1"), v.decode("latin-1").strip()) for n, v in scope["headers"]]
    single_valued: dict[str, str] = {}
    for name, value in headers:
        if name in _SINGLE_VALUED_HEADERS:
            if name in single_valued:
                raise _bad("repeated-header", f"{name} occurs more than once")
            single_valued[name] = value
    if scope["method"] not in METHODS:
        raise NotRun("bad-method", f"the method {scope['method']} is not supported", status=405)
    service = single_valued.get(SERVICE_HEADER, "")
    if not service:
        raise _bad("no-service", f"{SERVICE_HEADER} is missing")
    if not _SERVICE_PATTERN.fullmatch(service):
        raise _bad("bad-service", f"{SERVICE_HEADER} is not a valid service name")
    key = single_valued.get(KEY_HEADER, "")
    if len(key) > MAX_KEY_BYTES:
        raise _bad("key-too-long", f"{KEY_HEADER} is over {MAX_KEY_BYTES} bytes")
    idempotency_key = single_valued.get(IDEMPOTENCY_HEADER, "")
    if len(idempotency_key) > MAX_IDEMPOTENCY_KEY_BYTES:
        detail = f"{IDEMPOTENCY_HEADER} is over {MAX_IDEMPOTENCY_KEY_BYTES} bytes"
        raise _bad("bad-idempotency-key", detail)
    if IDEMPOTENCY_HEADER in single_valued and not idempotency_key:
        raise _bad("bad-idempotency-key", f"{IDEMPOTENCY_HEADER} is empty")
    dropped = HOP_BY_HOP_HEADERS | connection_options(headers)
    query = scope["query_string"].decode("latin-1")
    return Request(
        id=request_id,
        service=service,
        key=key,
        method=scope["method"],
        path=scope["raw_path"].decode("latin-1") + (f"?{query}" if query else ""),
        headers=[
            (name, value)
            for name, value in headers
            if name not in dropped
            and name not in _SINGLE_VALUED_HEADERS
            and not name.startswith(ROUTER_HEADER_PREFIX)
        ],
        body=_empty_body(),
        deadline=received_at + _parse_timeout(single_valued.get(TIMEOUT_HEADER), limits),
        idempotency_key=idempotency_key,
    )


def _parse_timeout(text: str | None, limits: LimitsSection) -> float:
    if text is None:
        return limits.default_timeout_seconds
    seconds = float(text) if _TIMEOUT_PATTERN.fullmatch(text) else 0.0
    if not 0 < seconds <= limits.max_timeout_seconds:
        limit = f"{limits.max_timeout_seconds:g}"
        raise _bad("bad-timeout", f"{TIMEOUT_HEADER} must be a number of seconds up to {limit}")
    return seconds


def _bad(reason: str, detail: str) -> NotRun:
    return NotRun(reason, detail, status=400)


def _too_large(limit: int) -> NotRun:
    return NotRun("body-too-large", f"the body is over {limit} bytes", status=413)


async def _empty_body() -> AsyncIterator[bytes]:
    return
    yield b""
