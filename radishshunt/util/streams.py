"""Connections to numeric addresses."""

from __future__ import annotations

import trio

from radishshunt.errors import RadishshuntError


class ConnectFailed(RadishshuntError):
    """A connection was refused or can't be made."""

    category = "no connection"


class ConnectTimeout(ConnectFailed):
    """A peer did not answer the attempt to connect in time."""

    category = "connection timeout"


async def connect(ip: str, port: int, seconds: float) -> trio.SocketStream:
    """Connect to an IPv4 address without a name look-up.

    :param seconds: Longest time for the attempt.
    :raises ConnectTimeout: If the peer does not answer.
    :raises ConnectFailed: If the connection is refused or can't be made.
    """
    sock = trio.socket.socket()
    try:
        with trio.move_on_after(seconds):
            await sock.connect((ip, port))
            return trio.SocketStream(sock)
    except OSError as exc:
        sock.close()
        raise ConnectFailed(f"{ip}:{port}: {exc}") from exc
    except BaseException:
        sock.close()
        raise
    sock.close()
    raise ConnectTimeout(f"{ip}:{port}: not within {seconds} s")
