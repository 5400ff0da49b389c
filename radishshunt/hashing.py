"""Hashing of keys to slices and fingerprints of requests."""

from __future__ import annotations

from xxhash import xxh3_64_hexdigest, xxh3_64_intdigest

# Bytes of a body that take part in a request's fingerprint.
FINGERPRINT_BODY_BYTES = 64 * 1024


def slice_of(key: str, slices: int) -> int:
    """Return the slice of a key, from 0 to ``slices - 1``.

    :param key: The key as the caller gave it.
    :param slices: Number of slices of the service.
    """
    return (xxh3_64_intdigest(key.encode()) * slices) >> 64


def key_hash(key: str) -> str:
    """Return the hash of a key as 16 hexadecimal digits, for logs.

    Keys may be personal data, so logs hold the hash only.
    """
    return xxh3_64_hexdigest(key.encode())


def fingerprint(service: str, method: str, path: str, key: str, body: bytes) -> int:
    """Return a 64-bit fingerprint of what a request asks for.

    :param body: The body, of which the first 64 KiB count.
    """
    head = "\x00".join((service, method, path, key)).encode()
    return xxh3_64_intdigest(head + b"\x00" + body[:FINGERPRINT_BODY_BYTES])
