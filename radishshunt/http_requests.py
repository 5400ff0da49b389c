"""Tasks of the application for the requests of one HTTP connection."""

from __future__ import annotations

import logging
from collections import deque
from typing import TYPE_CHECKING, Any

import trio
from hypercorn.trio.task_group import TaskGroup

if TYPE_CHECKING:
    from collections.abc import Callable

    from hypercorn.config import Config

logger = logging.getLogger(__name__)

# Extension of the ASGI scope: takes a function to call when the peer goes away, which costs less
# than a task that waits for it.
DISCONNECT = "radishshunt.disconnect"
# Chunks of a body that wait for the application; with the size of a read this bounds their memory.
BODY_QUEUE_CHUNKS = 2


class _Inbox:
    """Events for an application, at most :data:`BODY_QUEUE_CHUNKS` of a body.

    Hypercorn's own queue blocks for good if an application answers before it has read the body:
    the event that ends the exchange then waits for room that nobody makes.
    """

    def __init__(self) -> None:
        self._events: deque[Any] = deque()
        self._gone = False
        self._callback: Callable[[], None] | None = None
        self._changed = trio.Event()

    def on_disconnect(self, callback: Callable[[], None]) -> None:
        """Name what to call when the peer goes away."""
        self._callback = callback
        if self._gone:
            callback()

    async def put(self, event: Any) -> None:
        """Add an event, waiting for room."""
        if event["type"] == "http.disconnect":
            self._gone = True
            if self._callback is not None:
                self._callback()
        else:
            while len(self._events) >= BODY_QUEUE_CHUNKS and not self._gone:
                await self._changed.wait()
            self._events.append(event)
        self._notify()

    async def receive(self) -> Any:
        """Return the next event; a disconnect comes at once and for ever."""
        while not self._events and not self._gone:
            await self._changed.wait()
        if self._gone:
            return {"type": "http.disconnect"}
        event = self._events.popleft()
        self._notify()
        return event

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


class RequestTasks(TaskGroup):
    """Starts the application for each request of a connection."""

    async def spawn_app(self, app: Any, config: Config, scope: Any, send: Any) -> Any:
        inbox = _Inbox()
        scope["extensions"][DISCONNECT] = inbox.on_disconnect
        self._nursery.start_soon(_run_app, app, scope, inbox.receive, send)
        return inbox.put


async def _run_app(app: Any, scope: Any, receive: Any, send: Any) -> None:
    try:
        await app(scope, receive, send)
    except* Exception as group:
        logger.error("application failed: %r", group.exceptions[0], exc_info=group)
    finally:
        await send(None)
