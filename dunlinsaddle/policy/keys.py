"""Idempotency keys: UUIDv7 keys carry their time of birth, all others are opaque."""

import hashlib
import re
from collections.abc import Collection
from dataclasses import dataclass
from random import Random
from uuid import UUID

import xxhash
from result import Err, Ok, Result

RANGE_COUNT = 64  #: per service
MAX_KEY_LENGTH = 127
_UUID = re.compile(r'[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}')
_VARIANT_BITS = 0b10 << 62
_VERSION_BITS = 7 << 76
_BIRTH_SHIFT = 80


@dataclass(frozen=True, slots=True)
class TimestampedKey:
    """A UUIDv7 (RFC 9562); ``birth`` is its own time stamp in Unix milliseconds."""

    text: str
    birth: int


@dataclass(frozen=True, slots=True)
class OpaqueKey:
    """Any other key. Nothing tells how old it is."""

    text: str

    @property
    def object_name(self) -> str:
        """The key in a form that can name an object of the platform."""
        return hashlib.sha256(self.text.encode()).hexdigest()


Key = TimestampedKey | OpaqueKey


def parse_key(text: str) -> Result[Key, str]:
    """Read an ``Idempotency-Key``; one pair of quotes is left out, a UUID's case is ignored.

    The two kinds never meet: what reads as a UUIDv7 is always a BornKey, however spelled.

    >>> parse_key('"0193A2C0-0000-7000-8000-000000000001"').unwrap().text
    '0193a2c0-0000-7000-8000-000000000001'
    """
    bare = text.strip()
    if len(bare) >= 2 and bare[0] == bare[-1] == '"':
        bare = bare[1:-1]
    if not bare or not bare.isascii() or not bare.isprintable():
        return Err('empty, or characters that cannot be printed')
    if len(bare) > MAX_KEY_LENGTH:
        return Err(f'longer than {MAX_KEY_LENGTH} characters')
    lower = bare.lower()
    if _UUID.fullmatch(lower):
        uuid = UUID(lower)
        if uuid.version == 7:
            return Ok(TimestampedKey(lower, uuid.int >> _BIRTH_SHIFT))
    return Ok(OpaqueKey(bare))


def range_number(service: str, key: TimestampedKey) -> int:
    """Give the range that a key falls in: the same whichever node is asked."""
    return xxhash.xxh64_intdigest(f'{service}\0{key.text}'.encode()) % RANGE_COUNT


def generate_key(
    now: int, rng: Random, service: str, allowed_ranges: Collection[int] = ()
) -> TimestampedKey:
    """Make a key born at ``now`` (ms), in one of the allowed_ranges ranges if any are named."""
    while True:
        low = rng.getrandbits(62) | _VARIANT_BITS
        number = now << _BIRTH_SHIFT | _VERSION_BITS | rng.getrandbits(12) << 64 | low
        key = TimestampedKey(str(UUID(int=number)), now)
        if not allowed_ranges or range_number(service, key) in allowed_ranges:
            return key
