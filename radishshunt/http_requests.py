"""Task group that runs the application for the requests of one HTTP connection."""

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

# ASGI scope extension that registers a callback for the disconnection of the peer. A callback costs
# less than a task that waits for the disconnect event.
DISCONNECT_EXTENSION = "radishshunt.disconnect"
# Limit of body chunks queued for the application. With the size of a read, it bounds their memory.
BODY_QUEUE_CHUNKS = 2


class _EventQueue:
    """Queue of ASGI events for one request, with at most :data:`BODY_QUEUE_CHUNKS` body chunks.

    Hypercorn's own queue deadlocks if an application responds before it has read the body: the
    final event of the exchange then waits for space in a queue that is no longer read.
    """

    def __init__(self) -> None:
        self._events: deque[Any] = deque()
        self._disconnected = False
        self._callback: Callable[[], None] | None = None
        self._state_changed = trio.Event()

    def on_disconnect(self, callback: Callable[[], None]) -> None:
        """Register the function that is called once the peer has disconnected."""
        self._callback = callback
        if self._disconnected:
            callback()

    async def put(self, event: Any) -> None:
        """Add an event, after waiting for space if the queue is full.

        A disconnect is recorded without waiting.
        """
        if event["type"] == "http.disconnect":
            self._disconnected = True
            if self._callback is not None:
                self._callback()
        else:
            while len(self._events) >= BODY_QUEUE_CHUNKS and not self._disconnected:
                await self._state_changed.wait()
            self._events.append(event)
        self._notify()

    async def receive(self) -> Any:
        """Wait for the next event and return it.

        Once the peer has disconnected, every call returns a disconnect event at once; events still
        queued are dropped.
        """
        while not self._events and not self._disconnected:
            await self._state_changed.wait()
        if self._disconnected:
            return {"type": "http.disconnect"}
        event = self._events.popleft()
        self._notify()
        return event

    def _notify(self) -> None:
        self._state_changed.set()
        self._state_changed = trio.Event()


class RequestTaskGroup(TaskGroup):
    """Task group that starts the application for each request of a connection."""

    async def spawn_app(self, app: Any, config: Config, scope: Any, send: Any) -> Any:
        events = _EventQueue()
        scope["extensions"][DISCONNECT_EXTENSION] = events.on_disconnect
        self._nursery.start_soon(_run_application, app, scope, events.receive, send)
        return events.put


async def _run_application(app: Any, scope: Any, receive: Any, send: Any) -> None:
    try:
        await app(scope, receive, send)
    except* Exception as group:
        logger.error(
            "ASGI application raised an exception: %r", group.exceptions[0], exc_info=group
        )
    finally:
        await send(None)
