"""Idempotency keys: UUIDv7 keys contain their creation time, all others are opaque."""

import hashlib
import re
from collections.abc import Collection
from dataclasses import dataclass
from random import Random
from uuid import UUID

import xxhash
from result import Err, Ok, Result

RANGE_COUNT = 64  #: key ranges of each service
MAX_KEY_LENGTH = 127
_UUID = re.compile(r'[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}')
_VARIANT_BITS = 0b10 << 62
_VERSION_BITS = 7 << 76
_TIMESTAMP_SHIFT = 80


@dataclass(frozen=True, slots=True)
class TimestampedKey:
    """A UUIDv7 (RFC 9562); ``birth`` is its creation time in Unix milliseconds."""

    text: str
    birth: int


@dataclass(frozen=True, slots=True)
class OpaqueKey:
    """Any other key, of unknown age."""

    text: str

    @property
    def object_name(self) -> str:
        """The key in a form that is valid as the name of a platform object."""
        return hashlib.sha256(self.text.encode()).hexdigest()


Key = TimestampedKey | OpaqueKey


def parse_key(text: str) -> Result[Key, str]:
    """Parse an ``Idempotency-Key``; remove one pair of quotes and ignore the case of a UUID.

    A key that parses as a UUIDv7 is always a TimestampedKey, however it is written.

    >>> parse_key('"0193A2C0-0000-7000-8000-000000000001"').unwrap().text
    '0193a2c0-0000-7000-8000-000000000001'
    """
    value = text.strip()
    if len(value) >= 2 and value[0] == value[-1] == '"':
        value = value[1:-1]
    if not value or not value.isascii() or not value.isprintable():
        return Err('empty, or characters that cannot be printed')
    if len(value) > MAX_KEY_LENGTH:
        return Err(f'longer than {MAX_KEY_LENGTH} characters')
    lower = value.lower()
    if _UUID.fullmatch(lower):
        uuid = UUID(lower)
        if uuid.version == 7:
            return Ok(TimestampedKey(lower, uuid.int >> _TIMESTAMP_SHIFT))
    return Ok(OpaqueKey(value))


def range_number(service: str, key: TimestampedKey) -> int:
    """Return the number of the range that contains a key, which is the same at all nodes."""
    return xxhash.xxh64_intdigest(f'{service}\0{key.text}'.encode()) % RANGE_COUNT


def generate_key(
    now: int, rng: Random, service: str, allowed_ranges: Collection[int] = ()
) -> TimestampedKey:
    """Generate a key created at ``now`` (ms), in one of the allowed ranges if any are given."""
    while True:
        low = rng.getrandbits(62) | _VARIANT_BITS
        number = now << _TIMESTAMP_SHIFT | _VERSION_BITS | rng.getrandbits(12) << 64 | low
        key = TimestampedKey(str(UUID(int=number)), now)
        if not allowed_ranges or range_number(service, key) in allowed_ranges:
            return key
