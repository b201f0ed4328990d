"""What nodes say to each other about calls, as MessagePack frames (msgspec)."""

from dataclasses import dataclass

import msgspec

from dunlinsaddle.errors import ErrorKind, Failure, Outcome, problem_of
from dunlinsaddle.policy.admission import Load

Headers = list[tuple[bytes, bytes]]


class Challenge(msgspec.Struct, tag='h', array_like=True):
    """First frame of the listening side: a nonce that the other side must sign."""

    nonce: bytes


class Hello(msgspec.Struct, tag='a', array_like=True):
    """First frame of the dialling side: who it is, and the proof that it holds the key."""

    instance: str
    proof: bytes


class Call(msgspec.Struct, tag='c', array_like=True):
    """One call handed to the node beside a target. ``budget`` is the time left in seconds.

    The time left crosses the wire, not a moment: no two nodes need clocks that agree.
    """

    id: int
    service: str
    method: str
    path: str
    headers: Headers
    body: bytes
    request_id: str
    caller: str
    rule: str
    rank: int
    slot: int
    budget: float
    allowance: int
    hop: int
    idempotent: bool
    key: str = ''
    fingerprint: int = 0
    deaths: int = 0


class Reply(msgspec.Struct, tag='r', array_like=True):
    """The answer to one call, whole, with what is known of the work behind it."""

    id: int
    status: int
    headers: Headers
    body: bytes
    outcome: Outcome
    kind: str = ''  #: the value of an ErrorKind, empty when the target itself answered
    retry_after: float = 0.0
    unspent: int = 0
    load: Load | None = None
    deaths: int = 0


class Cancel(msgspec.Struct, tag='x', array_like=True):
    """The caller of this call has gone."""

    id: int


class Ping(msgspec.Struct, tag='p', array_like=True):
    """Asks for a sign of life on this very connection."""

    number: int


class Pong(msgspec.Struct, tag='q', array_like=True):
    """Answers a Ping."""

    number: int


Frame = Challenge | Hello | Call | Reply | Cancel | Ping | Pong


@dataclass(frozen=True, slots=True)
class NotSent:
    """The call never left this node: it did not run."""

    detail: str


@dataclass(frozen=True, slots=True)
class Lost:
    """The call left, and no whole answer came: it may have run."""

    detail: str
    kind: ErrorKind = ErrorKind.PEER_LOST


def refusal(failure: Failure, *, call_id: int = 0, load: Load | None = None) -> Reply:
    """Give the reply that answers a failure with its problem document."""
    headers: Headers = [(b'content-type', b'application/problem+json')]
    return Reply(
        id=call_id,
        status=failure.rule.status,
        headers=headers,
        body=msgspec.json.encode(problem_of(failure)),
        outcome=failure.outcome,
        kind=failure.kind.value,
        retry_after=failure.retry_after if failure.rule.retry_after else 0.0,
        load=load,
    )
