"""Decoded records of services, used by all parts of a node."""

from enum import IntEnum, StrEnum
from typing import Any, NamedTuple


class Rank(IntEnum):
    """Priority of a request. The smallest value is shed last."""

    CRITICAL = 0
    HIGH = 1
    NORMAL = 2
    LOW = 3


class Mode(StrEnum):
    """Whether admission decisions for a service are only counted or also enforced."""

    OBSERVE = 'observe'
    ENFORCE = 'enforce'


class RequestRule(NamedTuple):
    """Priority and idempotency of the requests that match a method and a path.

    ``path`` is a pattern below the service's prefix; ``*`` matches one segment and a trailing
    ``**`` matches any remainder.
    """

    name: str
    method: str
    path: str
    rank: Rank = Rank.NORMAL
    idempotent: bool = True


class ServiceRecord(NamedTuple):
    """Settings of one service, written by operators. Times in seconds."""

    service: str
    schema: int
    mode: Mode = Mode.ENFORCE
    rules: tuple[RequestRule, ...] = ()
    deadline: float = 10.0  #: used when the caller sends none
    retry_bound: int = 2  #: maximum resends of one root request over all its hops
    slots: int = 0  #: initial concurrency limit of a target; 0 for none
    connections: int = 1000  #: maximum concurrent calls to a target
    resend_ratio: float = 0.2  #: maximum share of a caller's calls that may be resends
    recovery_bias: float = 0.5  #: 0 favours goodput, 1 favours fast recovery
    key_window: float = 900.0  #: how long an idempotency key is remembered


class VersionedRecord(NamedTuple):
    """A decoded record and its version; ``record`` is None once it is deleted."""

    service: str
    version: int
    record: ServiceRecord | None


class RecordEntry(NamedTuple):
    """A record as sent between nodes: the document as written, None once it is deleted."""

    service: str
    version: int
    doc: Any
