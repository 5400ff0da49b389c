"""Hash functions: slice and group of a key, and fingerprint of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from xxhash import xxh3_64_hexdigest, xxh3_64_intdigest

if TYPE_CHECKING:
    from collections.abc import Sequence

    from radishshunt.model import GroupId

# A request's fingerprint covers this many bytes from the start of its body.
FINGERPRINT_BODY_BYTES = 64 * 1024


def slice_of(key: str, slices: int) -> int:
    """Return the slice of a key, from 0 to ``slices - 1``.

    :param key: The key as the caller gave it.
    :param slices: Number of slices of the service.
    """
    return (xxh3_64_intdigest(key.encode()) * slices) >> 64


def rendezvous_group(groups: Sequence[GroupId], key: str) -> GroupId:
    """Return the group with the highest hash for a key (rendezvous hashing).

    When a group is added or removed, only the keys that it gains or loses change their group.
    """
    return max(
        groups, key=lambda group: (xxh3_64_intdigest(f"{group.group}:{key}".encode()), group)
    )


def key_hash(key: str) -> str:
    """Return the hash of a key as 16 hexadecimal digits, for logs.

    Keys may be personal data, so logs contain only their hash.
    """
    return xxh3_64_hexdigest(key.encode())


def fingerprint(service: str, method: str, path: str, key: str, body: bytes) -> int:
    """Return a 64-bit fingerprint of a request's content.

    :param body: The body, of which the fingerprint covers the first 64 KiB.
    """
    head = "\x00".join((service, method, path, key)).encode()
    return xxh3_64_intdigest(head + b"\x00" + body[:FINGERPRINT_BODY_BYTES])
