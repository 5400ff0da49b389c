"""HTTP interface for callers: routes each request and returns the target's response."""

from __future__ import annotations

import logging
from copy import deepcopy
from functools import partial
from typing import TYPE_CHECKING, Any

import trio

from radishshunt.body_memory import body_buffer, buffered_body
from radishshunt.caller_exchange import CallerDisconnected, CallerExchange
from radishshunt.errors import NotRun, OutcomeOfRequestUnknown, RequestError
from radishshunt.gateway.protocol import CallerRequest
from radishshunt.logs import decision
from radishshunt.policy.direct.shares import SmoothWeightedRoundRobin
from radishshunt.util.headers import HOP_BY_HOP_HEADERS, connection_options
from radishshunt.workspaces.authentication import KEY_REASONS
from radishshunt.workspaces.quotas import QuotaExceeded

if TYPE_CHECKING:
    from radishshunt.body_memory import BodyMemory, BodyReservation
    from radishshunt.caller_exchange import Receive, Send
    from radishshunt.gateway.exchange import HttpResponse
    from radishshunt.gateway.model import CallerLimits, Route, Service
    from radishshunt.gateway.protocol import TargetProtocol
    from radishshunt.gateway.sender import Sender
    from radishshunt.gateway.view import View
    from radishshunt.metrics import Metrics
    from radishshunt.workspaces.authentication import Authentication
    from radishshunt.workspaces.quotas import WorkspaceQuotas

logger = logging.getLogger(__name__)

# Headers that are not passed on in either direction; unlike the front end, the gateway forwards
# Host.
_CONNECTION_HEADERS = frozenset(name.encode() for name in HOP_BY_HOP_HEADERS - {"host"})
# Timeout of requests for which the caller sets none.
DEFAULT_TIMEOUT_SECONDS = 30.0


def format_retry_after(seconds: float) -> str:
    """Return the value of ``Retry-After``, in seconds with two decimals."""
    return f"{seconds:.2f}"


class CallerApi:
    """ASGI application that serves callers.

    :ivar running: Number of requests being served.
    """

    def __init__(
        self,
        view: View,
        sender: Sender,
        protocol: TargetProtocol,
        memory: BodyMemory,
        metrics: Metrics,
        authentication: Authentication,
        quotas: WorkspaceQuotas,
    ) -> None:
        self._metrics = metrics
        self.running = 0
        self._view = view
        self._sender = sender
        self._protocol = protocol
        self._memory = memory
        self._authentication = authentication
        self._quotas = quotas
        self._weighted_round_robin = SmoothWeightedRoundRobin()

    async def app(self, scope: Any, receive: Receive, send: Send) -> None:
        """Serve one request."""
        exchange = CallerExchange(scope, receive, send, format_retry_after=format_retry_after)
        received_at = trio.current_time()
        reservation = self._memory.reserve()
        self.running += 1
        try:
            with trio.CancelScope() as caller_scope:
                exchange.cancel_on_disconnect(caller_scope)
                await self._serve(scope, exchange, received_at, reservation)
        finally:
            reservation.close()
            self.running -= 1

    async def _serve(
        self, scope: Any, exchange: CallerExchange, received_at: float, reservation: BodyReservation
    ) -> None:
        req = self._build_request(scope, received_at)
        try:
            route = self._identify(scope, req, self._find_route(req))
            req.memory = reservation
            body_deadline = min(req.deadline, received_at + route.timeout_seconds)
            req.body = await self._read_body(exchange, reservation, body_deadline)
            # A response without room would be lost after its request has run.
            reservation.expect(self._sender.chooser.response_costs.expected_bytes(route))
            response = await self._send_to_target(req, route)
        except CallerDisconnected:
            decision("caller-gone", request_id=req.attempt_id)
        except RequestError as exc:
            self._log_rejection(req, exc)
            await exchange.refuse(exc)
        except Exception:
            logger.exception("request %s failed", req.attempt_id)
            await exchange.refuse(
                OutcomeOfRequestUnknown("internal", "the router failed", status=500)
            )
        else:
            # The caller may read slowly.
            req.body = b""
            reservation.keep(len(response.body))
            await exchange.send_buffered_response(
                response.status, _response_headers(response), response.body
            )
            service = _service_label(route)
            self._metrics.requests.labels(service, f"status-{response.status // 100}xx").inc()
            self._metrics.latency("caller", service).record(trio.current_time() - received_at)
        finally:
            # Tracebacks may keep the request in reference cycles until the next garbage collection.
            req.body = b""

    async def _send_to_target(self, req: CallerRequest, route: Route) -> HttpResponse:
        service = self._choose_service(route, self._weighted_round_robin)
        if req.caller is None:
            return await self._sender.send(req, route, service)
        workspace = req.caller.workspace
        deadline = min(req.deadline, req.received_at + route.timeout_seconds)
        token = await self._quotas.acquire(workspace, req.attempt_id, deadline)
        try:
            return await self._sender.send(req, route, service)
        finally:
            if token is not None and not req.sent:
                self._quotas.give_back(workspace, token)

    def preview_service(self, route: Route) -> Service:
        """Return the service that the next request of a route goes to.

        :raises NotRun: If there is none.
        """
        return self._choose_service(route, deepcopy(self._weighted_round_robin))

    def _choose_service(self, route: Route, round_robin: SmoothWeightedRoundRobin) -> Service:
        if not route.shares:
            raise NotRun("no-service", f"route {route.name} has no service", retry_after=0.5)
        service_name = round_robin.next(route.name, route.shares)
        cfg = self._view.cfg
        service = cfg.services.get(service_name) if cfg else None
        if service is None:
            raise NotRun("no-service", f"service {service_name} is not configured", retry_after=0.5)
        return service

    def _build_request(self, scope: Any, received_at: float) -> CallerRequest:
        headers = list(scope["headers"])
        attempt_id, timeout, key = self._protocol.parse_caller_headers(headers)
        query = scope["query_string"]
        target = scope["raw_path"] + (b"?" + query if query else b"")
        hop_by_hop = _CONNECTION_HEADERS | {
            option.encode()
            for option in connection_options(
                (name.decode("latin-1"), value.decode("latin-1")) for name, value in headers
            )
        }
        values = dict(headers)
        forwarded = [(name, value) for name, value in headers if name not in hop_by_hop]
        return CallerRequest(
            method=scope["method"],
            host=values.get(b"host", b"").decode("latin-1"),
            path=scope["raw_path"].decode("latin-1"),
            target=target,
            headers=forwarded,
            attempt_id=attempt_id,
            key=key,
            received_at=received_at,
            deadline=received_at + (timeout if timeout is not None else DEFAULT_TIMEOUT_SECONDS),
        )

    def _find_route(self, req: CallerRequest) -> Route:
        return route_of(self._view, req)

    def _identify(self, scope: Any, req: CallerRequest, route: Route) -> Route:
        """Record whose request it is, and return the route with the priority that it has for them.

        :raises NotRun: If the request has no valid API key although it needs one.
        """
        if self._view.cfg is None or self._view.cfg.workspaces is None:
            return route
        req.headers = self._protocol.remove_identity(req.headers)
        if route.public:
            return route
        req.caller = self._authentication.identify(self._protocol.api_keys(scope["headers"]))
        req.key_refusal = partial(self._authentication.refusal, req.caller)
        self._metrics.count_workspace_request(req.caller.workspace.name)
        return self._authentication.effective_route(route, req.caller)

    async def _read_body(
        self, exchange: CallerExchange, reservation: BodyReservation, deadline: float
    ) -> bytes:
        limits: CallerLimits = self._view.cfg.limits
        check_body_size(exchange.content_length or 0, limits)
        # Other hosts may have more memory, so that a body too large for this one is refused as if
        # there were no room at present.
        reserved = exchange.content_length or 0
        reservation.add_request(reserved, reserved)
        body = body_buffer(reserved)
        size = 0
        with trio.move_on_at(deadline):
            while (data := await exchange.read_body_chunk()) is not None:
                size += len(data)
                check_body_size(size, limits)
                if size > reserved:
                    reservation.add_request(size - reserved, size)
                    reserved = size
                body.write(data)
            return buffered_body(body)
        raise NotRun("slow-body", "the body did not arrive before the deadline", status=408)

    def _log_rejection(self, req: CallerRequest, exc: RequestError) -> None:
        route = self._view.find_route(req.host, req.path)
        service = _service_label(route) if route else ""
        self._metrics.requests.labels(service, exc.reason).inc()
        if exc.reason in KEY_REASONS:
            self._metrics.key_refusals.labels(exc.reason).inc()
            self._authentication.log_refusal(req.attempt_id, exc.reason, req.caller)
        if isinstance(exc, QuotaExceeded) and not exc.logged:
            return
        decision(
            "reject",
            request_id=req.attempt_id,
            path=req.path,
            status=exc.status,
            reason=exc.reason,
            detail=exc.detail,
            outcome=exc.outcome,
            retry_after=exc.retry_after,
        )


def _service_label(route: Route) -> str:
    return route.shares[0].service if route.shares else ""


def _response_headers(response: HttpResponse) -> list[tuple[bytes, bytes]]:
    return [(name, value) for name, value in response.headers if name not in _CONNECTION_HEADERS]


def route_of(view: View, req: CallerRequest) -> Route:
    """Return the route of a request.

    :raises NotRun: If there is none.
    """
    if view.cfg is None:
        raise NotRun("no-configuration", "this host has no configuration", retry_after=0.5)
    route = view.find_route(req.host, req.path)
    if route is None:
        raise NotRun("no-route", f"no route for {req.host}{req.path}", status=404)
    return route


def check_body_size(size: int, limits: CallerLimits) -> None:
    """Check the size of a request's body.

    :raises NotRun: If it is over the limit.
    """
    if size > limits.body_bytes:
        detail = f"the body is over {limits.body_bytes} bytes"
        raise NotRun("body-too-large", detail, status=413)
