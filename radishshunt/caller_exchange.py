"""One request of a caller and its answer, on an ASGI connection."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from radishshunt.errors import RequestError
from radishshunt.http_requests import DISCONNECT
from radishshunt.util.problems import CONTENT_TYPE, problem_document, retry_after_value

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    import trio

    from radishshunt.model import Response

    Receive = Callable[[], Awaitable[Any]]
    Send = Callable[[Any], Awaitable[None]]


class CallerGone(RequestError):
    """The caller closed its connection."""

    category = "caller gone"


class Exchange:
    """One request and its answer on a caller's connection.

    :param scope: ASGI scope, from :class:`~radishshunt.http_server.HttpServer`.
    :param retry_after_text: Writes the seconds of ``Retry-After``.
    """

    def __init__(
        self,
        scope: Any,
        receive: Receive,
        send: Send,
        *,
        retry_after_text: Callable[[float], str] = retry_after_value,
    ) -> None:
        self._retry_after_text = retry_after_text
        self._receive = receive
        self._send = send
        self._on_disconnect = scope["extensions"][DISCONNECT]
        self.length = _length(scope["headers"])
        self.complete = self.length == 0
        self.gone = False
        self.started = False
        self.ended = False

    async def read(self) -> bytes | None:
        """Return the next part of the body, or ``None`` after the last.

        :raises CallerGone: If the caller closed its connection.
        """
        if self.complete:
            return None
        event = await self._receive()
        if event["type"] == "http.disconnect":
            self.gone = True
            raise CallerGone("caller-gone")
        if not event.get("more_body", False):
            self.complete = True
        return event.get("body", b"")

    def watch(self, scope: trio.CancelScope) -> None:
        """Cancel a scope when the caller goes away before its answer has been sent."""

        def leave() -> None:
            if not self.ended:
                self.gone = True
                scope.cancel()

        self._on_disconnect(leave)

    async def send_response(self, resp: Response) -> None:
        """Pass a target's answer on."""
        headers = [(name.encode("latin-1"), v.encode("latin-1")) for name, v in resp.headers]
        if not self.complete:
            headers.append((b"connection", b"close"))
        self.started = True
        await self._send({"type": "http.response.start", "status": resp.status, "headers": headers})
        # With a known length the last part goes out together with the end.
        left = int(dict(resp.headers).get("content-length", -1))
        async for chunk in resp.body:
            left -= len(chunk)
            if left == 0:
                self.ended = True
            message = {"type": "http.response.body", "body": chunk, "more_body": left != 0}
            await self._send(message)
        if not self.ended:
            self.ended = True
            await self._send({"type": "http.response.body", "body": b"", "more_body": False})

    async def send_whole(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Send an answer that is in memory.

        :param headers: Pairs of lower-case name and value, without the length.
        """
        headers = [*headers, (b"content-length", str(len(body)).encode())]
        if not self.complete:
            headers.append((b"connection", b"close"))
        self.started = self.ended = True
        await self._send({"type": "http.response.start", "status": status, "headers": headers})
        await self._send({"type": "http.response.body", "body": body, "more_body": False})

    async def refuse(self, exc: RequestError) -> None:
        """Answer with a problem.

        An answer that has begun is left without its end instead, so that it does not look whole.
        """
        if self.started:
            return
        document = problem_document(exc.status, exc.reason, exc.detail, exc.outcome)
        body = json.dumps(document).encode()
        headers = [(b"content-type", CONTENT_TYPE.encode())]
        if exc.retry_after is not None:
            headers.append((b"retry-after", self._retry_after_text(exc.retry_after).encode()))
        await self.send_whole(exc.status, headers, body)


def _length(headers: list[tuple[bytes, bytes]]) -> int | None:
    """Return the length of the body, or ``None`` if it is not known beforehand."""
    length: int | None = 0
    for name, value in headers:
        if name == b"transfer-encoding":
            return None
        if name == b"content-length":
            length = int(value)
    return length
