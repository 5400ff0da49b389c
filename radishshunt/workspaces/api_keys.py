"""Digests of API keys, which stand for the keys everywhere outside the request that carries one."""

from __future__ import annotations

from hashlib import blake2b

DIGEST_BYTES = 16
# Longer keys are unknown without being looked up.
MAX_KEY_BYTES = 256
# Keeps digests apart from those that other programs make of the same keys. Keys are random texts of
# about 100 bits, so that no secret is needed to keep them from being found by trial.
_PERSON = b"radishshunt-key"


def key_digest(key: bytes) -> str:
    """Return the digest of an API key, as 32 hexadecimal digits."""
    return blake2b(key, digest_size=DIGEST_BYTES, person=_PERSON).hexdigest()
