"""Connections to addresses that other processes have written."""

from __future__ import annotations

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from radishshunt.util.streams import ConnectFailed, connect, parse_address

UNUSABLE = ["", ":", "10.0..7:80", ".:80", "a" * 300 + ":80", "127.0.0.1\x00:80", "127.1:80"]
UNUSABLE += ["a.example:80", "[::1]:80", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:\u0661"]
UNUSABLE += ["127.0.0.1:" + "1" * 5000]
# None of the characters is a digit, so that nothing is connected to.
NO_ADDRESSES = st.text(st.characters(exclude_categories=["Nd"]))


async def test_address_is_used_as_it_is() -> None:
    """Guards against an address that is refused although it is valid."""
    assert parse_address("127.0.0.1:8080") == ("127.0.0.1", 8080)
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    stream = await connect(f"127.0.0.1:{port}", 1.0)
    await stream.aclose()
    await listeners[0].aclose()


@pytest.mark.parametrize("address", UNUSABLE)
async def test_unusable_address_is_a_failed_connection(address: str) -> None:
    """Guards against UnicodeError and ValueError, which end the leader, and name lookups."""
    with pytest.raises(ConnectFailed):
        await connect(address, 1.0)


@given(NO_ADDRESSES, NO_ADDRESSES | st.integers(65536).map(str))
def test_any_text_is_a_failed_connection(ip: str, port: str) -> None:
    """Guards against any other exception of an address that another process has written."""
    with pytest.raises(ConnectFailed):
        trio.run(connect, f"{ip}:{port}", 1.0)
