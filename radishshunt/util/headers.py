"""HTTP headers that the router does not forward.

Most of them are hop-by-hop headers, which belong to one connection only (RFC 9110, section 7.6.1).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Headers that are not forwarded. Besides hop-by-hop headers, these are ``host``,
# ``content-length`` and ``expect``: the router frames messages itself and sets or handles them.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
        "expect",
    }
)


def connection_options(headers: Iterable[tuple[str, str]]) -> set[str]:
    """Return the header names that the ``Connection`` headers list, in lower case.

    :param headers: Pairs of name and value, with names in lower case.
    """
    return {
        option.strip().lower()
        for name, value in headers
        if name == "connection"
        for option in value.split(",")
        if option.strip()
    }
