"""TCP connections to IPv4 addresses."""

from __future__ import annotations

from ipaddress import IPv4Address

import trio

from radishshunt.errors import ProtocolError, RadishshuntError

MAX_PORT = 65535


class ConnectFailed(RadishshuntError):
    """A connection was refused or could not be established."""

    category = "no connection"


class ConnectTimeout(ConnectFailed):
    """A peer did not answer a connection attempt in time."""

    category = "connection timeout"


def parse_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port of ``ip:port``.

    :raises ProtocolError: If it is not an IPv4 address with a port from 1 to :data:`MAX_PORT`.
    """
    ip, _, port = address.rpartition(":")
    try:
        number = int(port) if port.isascii() and port.isdecimal() else 0
        if not 0 < number <= MAX_PORT:
            raise ValueError("invalid port")
        return str(IPv4Address(ip)), number
    except ValueError as exc:
        raise ProtocolError(f"invalid address {address[:100]!r}: {exc}") from exc


async def connect(address: str, timeout_seconds: float) -> trio.SocketStream:
    """Connect to an IPv4 address; names are not looked up.

    :param address: ``ip:port``.
    :param timeout_seconds: Timeout of the attempt.
    :raises ConnectTimeout: If the peer does not answer in time.
    :raises ConnectFailed: If the connection is refused or cannot be established, or if the address
        is invalid.
    """
    try:
        ip, port = parse_address(address)
    except ProtocolError as exc:
        raise ConnectFailed(str(exc)) from exc
    sock = trio.socket.socket()
    try:
        with trio.move_on_after(timeout_seconds):
            await sock.connect((ip, port))
            return trio.SocketStream(sock)
    except OSError as exc:
        sock.close()
        raise ConnectFailed(f"{address}: {exc}") from exc
    except BaseException:
        sock.close()
        raise
    sock.close()
    raise ConnectTimeout(f"{address}: connection attempt timed out after {timeout_seconds} s")
