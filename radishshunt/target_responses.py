"""Checks that a target's response belongs to its request and arrives completely."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httpx
import trio

from radishshunt.errors import NotRun, OutcomeOfRequestUnknown
from radishshunt.model import Response
from radishshunt.util.headers import HOP_BY_HOP_HEADERS, connection_options

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from radishshunt.model import Request

NOT_RUN_HEADER = "radishshunt-not-run"
NOT_RUN_STATUS = 409
REQUEST_ID_HEADER = "radishshunt-request-id"


class TargetResponseBody:
    """Response of a target; iterating over it yields the body.

    This is not a generator: closing a generator that was never started runs none of its code, so
    the target's slot would stay occupied.

    :param on_finished: Called once when the response is closed; its argument tells whether the body
        was read to its end.
    """

    def __init__(
        self, target: str, resp: httpx.Response, on_finished: Callable[[bool], Awaitable[None]]
    ) -> None:
        self._target = target
        self._response = resp
        self._chunks = resp.stream.__aiter__()
        self._on_finished = on_finished
        self._closed = False

    def check_head(self, req: Request) -> None:
        """Validate the head of the response.

        :raises NotRun: If the target reports that it did not run the request.
        :raises OutcomeOfRequestUnknown: If the response belongs to another request, or if the end
            of its body can't be told from a broken connection.
        """
        headers = self._response.headers
        if headers.get(REQUEST_ID_HEADER) != req.id:
            raise OutcomeOfRequestUnknown(
                "wrong-answer",
                f"target {self._target} sent a response with a missing or different request ID",
                status=502,
            )
        reason = headers.get(NOT_RUN_HEADER)
        if reason and self._response.status_code == NOT_RUN_STATUS:
            raise NotRun(reason, f"target {self._target} did not run the request")
        bodiless = req.method == "HEAD" or self._response.status_code in (204, 304)
        chunked = "chunked" in headers.get("transfer-encoding", "").lower()
        if not (bodiless or chunked or "content-length" in headers):
            raise OutcomeOfRequestUnknown(
                "unframed-answer",
                f"target {self._target} sent a response without a length",
                status=502,
            )

    def to_response(self) -> Response:
        """Return the response for the caller, without hop-by-hop headers."""
        raw = self._response.headers.raw
        pairs = [(name.decode("latin-1").lower(), value.decode("latin-1")) for name, value in raw]
        dropped = (HOP_BY_HOP_HEADERS - {"content-length"}) | connection_options(pairs)
        headers = [(name, value) for name, value in pairs if name not in dropped]
        return Response(self._response.status_code, headers, self)

    async def drain(self) -> None:
        """Read the response to its end, so that the connection can be reused."""
        try:
            async for _ in self:
                pass
        except OutcomeOfRequestUnknown:
            pass
        finally:
            await self.aclose()

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        try:
            return await self._chunks.__anext__()
        except StopAsyncIteration:
            await self._close_response(True)
            raise
        except httpx.HTTPError as exc:
            await self._close_response(False)
            raise OutcomeOfRequestUnknown(
                "answer-cut",
                f"target {self._target} sent a truncated response: {exc!r}",
                status=502,
            ) from exc
        except BaseException:
            await self._close_response(False)
            raise

    async def aclose(self) -> None:
        """Close the response; the request is cancelled if the response was not read to its end."""
        await self._close_response(False)

    async def _close_response(self, complete: bool) -> None:
        if self._closed:
            return
        self._closed = True
        with trio.CancelScope(shield=True):
            await self._response.aclose()
            await self._on_finished(complete)
