"""The callers' HTTP interface."""

from __future__ import annotations

import math
import secrets
from typing import TYPE_CHECKING, Any

import trio
from quart import Response as QuartResponse
from quart import request
from quart_trio import QuartTrio
from quart_trio.asgi import TrioASGIHTTPConnection

from radishshunt.answers import HOP_HEADERS
from radishshunt.errors import NotRun, RequestError
from radishshunt.intents import new_request_id
from radishshunt.model import Request
from radishshunt.util.problems import problem

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from radishshunt.clock import Clock
    from radishshunt.metrics import Metrics
    from radishshunt.router import Router
    from radishshunt.settings import LimitsSection

METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]
SERVICE_HEADER = "Radishshunt-Service"
KEY_HEADER = "Radishshunt-Key"
TIMEOUT_HEADER = "Request-Timeout"
IDEMPOTENCY_HEADER = "Idempotency-Key"
MAX_KEY_BYTES = 1024
# Time for an answer that came right before its deadline.
MIN_ANSWER_SECONDS = 0.5
_OWN_HEADERS = frozenset(
    {"radishshunt-service", "radishshunt-key", "request-timeout", "idempotency-key"}
)


class CallersConnection(TrioASGIHTTPConnection):
    """Closes the body of an answer also if the caller goes before the first byte of it."""

    async def _send_response(self, send: Any, response: Any) -> None:
        try:
            await super()._send_response(send, response)
        finally:
            with trio.CancelScope(shield=True):
                async with response.response:
                    pass


class AnswerBody:
    """Body of an answer to a caller.

    :param finish: Called once, with whether the whole answer was passed on.
    """

    def __init__(self, body: AsyncIterator[bytes], finish: Callable[[bool], None]) -> None:
        self._body = body
        self._finish = finish
        self._finished = False

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        try:
            return await self._body.__anext__()
        except StopAsyncIteration:
            self._end(True)
            raise

    async def aclose(self) -> None:
        """End the answer; what was not read of it is given up."""
        self._end(False)
        await self._body.aclose()

    def _end(self, whole: bool) -> None:
        if not self._finished:
            self._finished = True
            self._finish(whole)


class Frontend:
    """Serves callers.

    :param router: Routes each request.
    """

    def __init__(
        self, router: Router, limits: LimitsSection, clock: Clock, metrics: Metrics
    ) -> None:
        self._router = router
        self._limits = limits
        self._clock = clock
        self._metrics = metrics
        self._running = 0
        self.app = self._build_app()

    @property
    def running(self) -> int:
        """Number of callers' requests being served."""
        return self._running

    def _build_app(self) -> QuartTrio:
        app = QuartTrio("radishshunt.callers", static_folder=None)
        app.asgi_http_class = CallersConnection
        app.config["MAX_CONTENT_LENGTH"] = None
        app.config["BODY_TIMEOUT"] = None
        app.config["RESPONSE_TIMEOUT"] = None
        app.add_url_rule("/", "serve", self._serve, methods=METHODS, defaults={"path": ""})
        app.add_url_rule("/<path:path>", "serve", self._serve, methods=METHODS)
        return app

    async def _serve(self, path: str) -> QuartResponse:
        received_at = self._clock.now()
        service = request.headers.get(SERVICE_HEADER, "")
        if request.http_version != "1.1":
            # In HTTP/1.0 the end of an answer without a length is the end of the connection, and
            # hypercorn does not reset a cut HTTP/2 stream: callers would not notice the cut.
            refusal = NotRun("http-version", "callers have to use HTTP/1.1", status=505)
            return self._refuse(service, refusal)
        if self._running >= self._limits.callers:
            return self._refuse(service, NotRun("host-busy", "too many requests", retry_after=1.0))
        self._running += 1
        try:
            req = self._parse(received_at)
            resp = await self._router.route(req)
        except RequestError as exc:
            self._running -= 1
            return self._refuse(service, exc)
        except BaseException:
            self._running -= 1
            raise
        self._metrics.requests.labels(service, "answered").inc()

        def finish(whole: bool) -> None:
            self._running -= 1
            if whole:
                latency = self._clock.now() - received_at
                self._metrics.latency("caller", service).record(latency)
            else:
                self._metrics.requests.labels(service, "cut").inc()

        answer = QuartResponse(AnswerBody(resp.body, finish), status=resp.status)
        # A caller that stops reading would hold the target's slot; its answer is cut instead.
        answer.timeout = max(MIN_ANSWER_SECONDS, req.deadline - self._clock.now())
        answer.headers.clear()
        for name, value in resp.headers:
            answer.headers.add(name, value)
        return answer

    def _parse(self, received_at: float) -> Request:
        length = request.content_length
        if length is not None and length > self._limits.body_bytes:
            raise NotRun("body-too-large", "the body is over the limit", status=413)
        service = request.headers.get(SERVICE_HEADER)
        if not service:
            raise NotRun("no-service", f"{SERVICE_HEADER} is missing", status=400)
        key = request.headers.get(KEY_HEADER, "")
        if len(key) > MAX_KEY_BYTES:
            raise NotRun("key-too-long", f"{KEY_HEADER} is over {MAX_KEY_BYTES}", status=400)
        query = request.query_string.decode("latin-1")
        return Request(
            id=new_request_id(received_at, secrets.randbits(74)),
            service=service,
            key=key,
            method=request.method,
            path=request.scope["raw_path"].decode("latin-1") + (f"?{query}" if query else ""),
            headers=[
                (name.lower(), value)
                for name, value in request.headers.items()
                if name.lower() not in HOP_HEADERS and name.lower() not in _OWN_HEADERS
            ],
            body=_body_chunks(self._limits.body_bytes),
            deadline=received_at + self._timeout(request.headers.get(TIMEOUT_HEADER)),
            idempotency_key=request.headers.get(IDEMPOTENCY_HEADER, ""),
        )

    def _timeout(self, text: str | None) -> float:
        if text is None:
            return self._limits.default_timeout_seconds
        try:
            seconds = float(text)
        except ValueError:
            seconds = math.nan
        if not 0 < seconds <= self._limits.max_timeout_seconds:
            raise NotRun(
                "bad-timeout",
                f"{TIMEOUT_HEADER} is a number of seconds up to "
                f"{self._limits.max_timeout_seconds:g}",
                status=400,
            )
        return seconds

    def _refuse(self, service: str, exc: RequestError) -> QuartResponse:
        self._metrics.requests.labels(service, exc.outcome).inc()
        return problem(
            exc.status, exc.reason, exc.detail, outcome=exc.outcome, retry_after=exc.retry_after
        )


async def _body_chunks(limit: int) -> AsyncIterator[bytes]:
    size = 0
    async for chunk in request.body:
        size += len(chunk)
        if size > limit:
            raise NotRun("body-too-large", "the body is over the limit", status=413)
        yield chunk
