"""HTTP/1.1 messages on asyncio streams, with the raw bytes in the hands of the caller."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

MAX_LINE_BYTES = 64 * 1024


@dataclass
class Message:
    """A request or a response.

    :param start: First line, split at blanks.
    :param headers: Values by lower-case name.
    :param complete: Whether the whole body has arrived.
    """

    start: list[str]
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = True

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message; ``None`` if the connection ended before its first byte."""
    line = await reader.readline()
    if not line:
        return None
    msg = Message(line.decode("latin-1").split())
    while (line := await reader.readline()) not in (b"\r\n", b"\n"):
        if not line:
            raise ConnectionError("connection ended within a head")
        name, _, value = line.decode("latin-1").partition(":")
        msg.headers[name.strip().lower()] = value.strip()
    try:
        if "chunked" in msg.headers.get("transfer-encoding", ""):
            msg.body = await _read_chunks(reader)
        else:
            msg.body = await reader.readexactly(int(msg.headers.get("content-length", "0")))
    except asyncio.IncompleteReadError as exc:
        msg.body, msg.complete = exc.partial, False
    return msg


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while size := int((await reader.readline()).split(b";")[0], 16):
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
    while (await reader.readline()) not in (b"\r\n", b"\n", b""):
        pass
    return b"".join(parts)


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message with its length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    writer.transport.abort()
