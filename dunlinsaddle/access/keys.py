"""Keys of callers, held as digests only."""

import hashlib

DIGEST_BYTES = 16  #: 128 bits: no two keys of a deployment meet, and none can be guessed


def key_digest(key: str) -> bytes:
    """Give what stands for a key. Keys are long and random, so a plain hash does not tell them."""
    return hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES).digest()
