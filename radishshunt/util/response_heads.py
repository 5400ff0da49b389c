"""Strict reading of the heads of HTTP/1.1 responses.

h11 accepts what RFC 9112 asks recipients to tolerate: lines that end with a bare line feed, folded
lines and statuses without a class. A reader that passes responses on can't: such a head may end
elsewhere for the next reader, so that a line counts as another field or as a part of the body.
"""

from __future__ import annotations

import re

import h11

_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_HEAD = re.compile(
    rb"HTTP/1\.[01] [1-5][0-9]{2}(?: [^\r\n\x00]*)?\r\n"
    rb"(?:%s:[^\r\n\x00]*\r\n)*"
    rb"\r\n" % _TOKEN
)
_END_OF_HEAD = re.compile(rb"\n\r?\n")


def next_response_event(http: h11.Connection) -> h11.Event | type[h11.NEED_DATA]:
    """Return the next event of the response that a connection of a client receives.

    :raises h11.RemoteProtocolError: If the response is malformed.
    """
    if http.their_state is h11.SEND_RESPONSE:
        _check_head(http.trailing_data[0])
    return http.next_event()


def _check_head(data: bytes) -> None:
    """Check the first head in received bytes, if it has arrived completely.

    :raises h11.RemoteProtocolError: If it is malformed.
    """
    end = _END_OF_HEAD.search(data)
    if end is not None and _HEAD.fullmatch(data, 0, end.end()) is None:
        raise h11.RemoteProtocolError(f"illegal head {data[: end.end()][:200]!r}")
