"""Checks that a target's answer belongs to its request and is whole."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httpx
import trio

from radishshunt.errors import NotRun, OutcomeOfRequestUnknown
from radishshunt.model import Response
from radishshunt.util.headers import HOP_HEADERS, connection_options

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from radishshunt.model import Request

NOT_RUN_HEADER = "radishshunt-not-run"
NOT_RUN_STATUS = 409
REQUEST_ID_HEADER = "radishshunt-request-id"


class TargetAnswer:
    """Body of an answer; an object and not a generator, because closing a generator that was
    never started runs none of its code and the target's slot would stay taken.

    :param finish: Called once, with whether the answer was read to its end.
    """

    def __init__(
        self, target: str, resp: httpx.Response, finish: Callable[[bool], Awaitable[None]]
    ) -> None:
        self._target = target
        self._resp = resp
        self._chunks = resp.stream.__aiter__()
        self._finish = finish
        self._finished = False

    def check(self, req: Request) -> None:
        """Check the head of the answer.

        :raises NotRun: If the target says that it did not run the request.
        :raises OutcomeOfRequestUnknown: If it answers another request, or if the end of its body
            could not be told from a broken connection.
        """
        headers = self._resp.headers
        if headers.get(REQUEST_ID_HEADER) != req.id:
            raise OutcomeOfRequestUnknown(
                "wrong-answer", f"target {self._target} answered another request", status=502
            )
        reason = headers.get(NOT_RUN_HEADER)
        if reason and self._resp.status_code == NOT_RUN_STATUS:
            raise NotRun(reason, f"target {self._target} did not run the request")
        bodiless = req.method == "HEAD" or self._resp.status_code in (204, 304)
        chunked = "chunked" in headers.get("transfer-encoding", "").lower()
        if not (bodiless or chunked or "content-length" in headers):
            raise OutcomeOfRequestUnknown(
                "unframed-answer", f"target {self._target} gave no length", status=502
            )

    def response(self) -> Response:
        """Return the answer in the form that is passed on."""
        raw = self._resp.headers.raw
        items = [(n.decode("latin-1").lower(), v.decode("latin-1")) for n, v in raw]
        dropped = (HOP_HEADERS - {"content-length"}) | connection_options(items)
        headers = [(name, value) for name, value in items if name not in dropped]
        return Response(self._resp.status_code, headers, self)

    async def drain(self) -> None:
        """Read the answer to its end, so that the connection can be kept."""
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
            await self._close(True)
            raise
        except httpx.HTTPError as exc:
            await self._close(False)
            raise OutcomeOfRequestUnknown(
                "answer-cut", f"target {self._target} cut its answer: {exc!r}", status=502
            ) from exc
        except BaseException:
            await self._close(False)
            raise

    async def aclose(self) -> None:
        """End the answer; the request is cancelled if the answer was not read to its end."""
        await self._close(False)

    async def _close(self, whole: bool) -> None:
        if self._finished:
            return
        self._finished = True
        with trio.CancelScope(shield=True):
            await self._resp.aclose()
            await self._finish(whole)
