"""Frames on the connections between hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from radishshunt.errors import ProtocolError
from radishshunt.gateway.messages import LENGTH_BYTES, MAX_FRAME_BYTES, decode

if TYPE_CHECKING:
    from radishshunt.gateway.messages import Report, StateUpdate

READ_BYTES = 64 * 1024
# A link on which nothing arrives for this long is closed. It exceeds two of the longest intervals
# between messages, and leaves time to follow another host before the state counts as old.
RECEIVE_TIMEOUT_SECONDS = 0.95


class FrameReader:
    """Reads messages from a stream of length-prefixed frames."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._buffer = bytearray()

    async def read(self) -> StateUpdate | Report | None:
        """Return the next message, or ``None`` at the end of the stream or after a timeout.

        The timeout restarts with each received chunk, so a long message on a slow link does not
        time out while its bytes keep arriving.

        :raises ProtocolError: If a frame is malformed.
        """
        while True:
            if len(self._buffer) >= LENGTH_BYTES:
                size = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
                if size > MAX_FRAME_BYTES:
                    raise ProtocolError(f"frame of {size} bytes exceeds the limit")
                end = LENGTH_BYTES + size
                if len(self._buffer) >= end:
                    data = bytes(self._buffer[LENGTH_BYTES:end])
                    del self._buffer[:end]
                    return decode(data)
            data = b""
            with trio.move_on_after(RECEIVE_TIMEOUT_SECONDS):
                data = await self._stream.receive_some(READ_BYTES)
            if not data:
                return None
            self._buffer += data
