"""Attempts of one request that go on at the same time, until the first of them is answered.

Load pattern: the target of a read is silent, and the host cannot tell whether it is slow or has
lost the request. If the first attempt ended when a second one is wanted, its work would be lost
whenever the second one finds no place, is refused or breaks off.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from radishshunt.errors import RequestError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from radishshunt.gateway.exchange import HttpResponse


class Repeats:
    """Runs the attempts of a request; the first response ends all of them.

    :param attempt: Makes one attempt and returns the response, or ``None`` if the request may be
        sent again.
    :ivar response: The first response.
    """

    def __init__(self, attempt: Callable[[], Awaitable[HttpResponse | None]]) -> None:
        self._attempt = attempt
        self._started = 0
        self._nursery: trio.Nursery | None = None
        self.response: HttpResponse | None = None
        self._error: RequestError | None = None

    async def run(self) -> HttpResponse:
        """Make attempts until one is answered or none may follow, and return the response.

        If it is cancelled, the response may have arrived just before that.

        :raises RequestError: If no attempt was answered and none may follow.
        """
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await self._attempt_in_turn()
        if self.response is not None:
            return self.response
        error, self._error = self._error, None
        assert error is not None
        try:
            raise error
        finally:
            # A reference to it from its own traceback would keep the request alive.
            del error

    def start_another(self) -> None:
        """Make a further attempt beside the current one, which is not followed by others then."""
        assert self._nursery is not None
        self._started += 1
        self._nursery.start_soon(self._attempt_in_turn)

    async def _attempt_in_turn(self) -> None:
        number = self._started
        response = None
        try:
            while response is None and number == self._started:
                response = await self._attempt()
        except RequestError as exc:
            self._error = exc
        if response is not None and self.response is None:
            self.response = response
            assert self._nursery is not None
            self._nursery.cancel_scope.cancel()
