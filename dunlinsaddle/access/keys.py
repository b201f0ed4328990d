"""Digests of callers' keys; no key is kept in plain text."""

import hashlib

DIGEST_BYTES = 16  #: 128 bits: the digests of a deployment don't collide and can't be guessed


def key_digest(key: str) -> bytes:
    """Return the digest of a key. Keys are long and random, so a hash without salt is enough."""
    return hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES).digest()
