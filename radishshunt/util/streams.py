"""TCP connections to IPv4 addresses."""

from __future__ import annotations

import trio

from radishshunt.errors import RadishshuntError


class ConnectFailed(RadishshuntError):
    """A connection was refused or could not be established."""

    category = "no connection"


class ConnectTimeout(ConnectFailed):
    """A peer did not answer a connection attempt in time."""

    category = "connection timeout"


async def connect(ip: str, port: int, timeout_seconds: float) -> trio.SocketStream:
    """Connect to an IPv4 address without a name lookup.

    :param timeout_seconds: Timeout of the attempt.
    :raises ConnectTimeout: If the peer does not answer in time.
    :raises ConnectFailed: If the connection is refused or cannot be established.
    """
    sock = trio.socket.socket()
    try:
        with trio.move_on_after(timeout_seconds):
            await sock.connect((ip, port))
            return trio.SocketStream(sock)
    except OSError as exc:
        sock.close()
        raise ConnectFailed(f"{ip}:{port}: {exc}") from exc
    except BaseException:
        sock.close()
        raise
    sock.close()
    raise ConnectTimeout(f"{ip}:{port}: connection attempt timed out after {timeout_seconds} s")
