"""Which HTTP headers belong to one connection only (RFC 9110, section 7.6.1)."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# The router frames messages itself, so ``host`` and ``content-length`` are not passed on either.
HOP_HEADERS = frozenset(
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
    """Return the names that the ``Connection`` headers list, in lower case.

    :param headers: Pairs with names in lower case.
    """
    return {
        option.strip().lower()
        for name, value in headers
        if name == "connection"
        for option in value.split(",")
        if option.strip()
    }
