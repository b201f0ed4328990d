"""The typed record of one service, as every part of a node reads it."""

from enum import IntEnum, StrEnum
from typing import Any, NamedTuple


class Rank(IntEnum):
    """How much a request is valued. The smallest value is shed last."""

    CRITICAL = 0
    HIGH = 1
    NORMAL = 2
    LOW = 3


class Mode(StrEnum):
    """Whether decisions for a service are only counted or also carried out."""

    OBSERVE = 'observe'
    ENFORCE = 'enforce'


class RequestRule(NamedTuple):
    """Which requests of a service a rule covers, and what they are worth.

    ``path`` is a pattern below the service's prefix; ``*`` stands for one segment and a
    trailing ``**`` for any rest.
    """

    name: str
    method: str
    path: str
    rank: Rank = Rank.NORMAL
    idempotent: bool = True


class ServiceRecord(NamedTuple):
    """What operators say of one service. Times in seconds."""

    service: str
    schema: int
    mode: Mode = Mode.ENFORCE
    rules: tuple[RequestRule, ...] = ()
    deadline: float = 10.0  #: when a caller names none
    retry_bound: int = 2  #: resends of one root request over its whole chain
    slots: int = 0  #: first guess of a target's concurrency; 0 means none
    connections: int = 1000  #: the most calls a target is ever given at once
    resend_ratio: float = 0.2  #: share of a caller's calls that may be resends
    recovery_bias: float = 0.5  #: 0 favours goodput, 1 favours fast recovery
    key_window: float = 900.0  #: for how long an idempotency key is remembered


class VersionedRecord(NamedTuple):
    """A record as the platform holds it; ``record`` is None once it is deleted."""

    service: str
    version: int
    record: ServiceRecord | None


class RecordEntry(NamedTuple):
    """A record as nodes pass it on: the document as written, None once it is deleted."""

    service: str
    version: int
    doc: Any
