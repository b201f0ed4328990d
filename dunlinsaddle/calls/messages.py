"""What nodes say to each other about calls, as MessagePack frames (msgspec)."""

from dataclasses import dataclass
from typing import Annotated

import msgspec
from msgspec import Meta

from dunlinsaddle.errors import ErrorKind, Failure, Outcome, problem_of
from dunlinsaddle.policy.admission import Load
from dunlinsaddle.policy.context import MAX_HOPS, SLOTS_PER_RANK
from dunlinsaddle.records.models import Rank, RecordEntry
from dunlinsaddle.records.schema import MAX_RETRY_BOUND

MAX_TIMEOUT_SECONDS = 86_400.0  #: seconds; a day is a bound against absurd numbers only
MAX_RATE = 1e9  #: calls a second; a bound against absurd numbers only

Headers = list[tuple[bytes, bytes]]

# The decoder refuses what is out of range, NaN included: a peer with a fault must not hand
# out retries without bound, or a deadline that never comes.
RankNumber = Annotated[int, Meta(ge=0, lt=len(Rank))]
SlotNumber = Annotated[int, Meta(ge=0, lt=SLOTS_PER_RANK)]
Seconds = Annotated[float, Meta(ge=0, le=MAX_TIMEOUT_SECONDS)]
RetryTokens = Annotated[int, Meta(ge=0, le=MAX_RETRY_BOUND)]
HopCount = Annotated[int, Meta(ge=0, le=MAX_HOPS)]
Rate = Annotated[float, Meta(gt=0, le=MAX_RATE)]
#: Above 1 where the rate is under one call a second.
RateUse = Annotated[float, Meta(ge=0, le=MAX_RATE)]
StatusCode = Annotated[int, Meta(ge=200, le=599)]


class Challenge(msgspec.Struct, tag='h', array_like=True):
    """First frame of the listening side: a nonce that the other side must sign."""

    nonce: bytes


class Hello(msgspec.Struct, tag='a', array_like=True):
    """First frame of the dialling side: who it is, and the proof that it holds the key."""

    instance: str
    proof: bytes
    nonce: bytes = b''


class Welcome(msgspec.Struct, tag='w', array_like=True):
    """Answers a Hello: the listening side holds the key too."""

    proof: bytes


class RelayedTargetState(msgspec.Struct, array_like=True, frozen=True):
    """What a target has said of itself with its answers, as the node beside it tells others."""

    incarnation: str  #: the start of the target that has said it
    rate: Rate | None = None  #: requests a second that it takes from all nodes, None for any number
    rate_use: RateUse = 0.0  #: of the rate, over the last second
    leaving: bool = False


class Call(msgspec.Struct, tag='c', array_like=True):
    """One call handed to the node beside a target. ``timeout`` is the time left in seconds.

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
    rank: RankNumber
    slot: SlotNumber
    timeout: Seconds
    retry_tokens: RetryTokens
    hop: HopCount
    idempotent: bool
    idempotency_key: str = ''
    fingerprint: int = 0
    deaths: int = 0
    owner_lookups: HopCount = 0  #: nodes that were asked before for who owns the key
    owner_approved: bool = False  #: the key's owner has decided that the call may run
    useful_seconds: Seconds = MAX_TIMEOUT_SECONDS  #: seconds after which an answer is worth less
    resent: bool = False  #: it, or the request that it is made for, was sent before
    organisation: str = ''  #: whose request it is, empty where callers need no key
    target_state: RelayedTargetState | None = (
        None  #: what the receiver has told of its target, in case it forgot
    )


class Reply(msgspec.Struct, tag='r', array_like=True):
    """The answer to one call, whole, with what is known of the work behind it."""

    id: int
    status: StatusCode
    headers: Headers
    body: bytes
    outcome: Outcome
    kind: str = ''  #: the value of an ErrorKind, empty when the target itself answered
    retry_after: Seconds = 0.0
    unspent_retry_tokens: RetryTokens = 0
    load: Load | None = None
    deaths: int = 0
    cause: str = ''  #: the call that it failed for: its service, and how it ended
    target_state: RelayedTargetState | None = (
        None  #: None where the target has said nothing of itself
    )

    @property
    def size(self) -> int:
        """Bytes of the body and headers."""
        return len(self.body) + sum(len(name) + len(value) for name, value in self.headers)


class Cancel(msgspec.Struct, tag='x', array_like=True):
    """The caller of this call has gone."""

    id: int


class Ping(msgspec.Struct, tag='p', array_like=True):
    """Asks for a sign of life on this very connection."""

    number: int


class Pong(msgspec.Struct, tag='q', array_like=True):
    """Answers a Ping."""

    number: int


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


class RecordsRequest(msgspec.Struct, tag='ra', array_like=True):
    """Asks for records newer than ``since``, up to which the asker knows all changes."""

    id: int
    since: int


class RecordsResponse(msgspec.Struct, tag='rr', array_like=True):
    """All changes after what was asked for and up to ``upto``; more may follow after that.

    ``age`` in seconds since the answering side last knew itself up to date.
    """

    id: int
    upto: int
    age_seconds: float
    has_more: bool
    entries: list[RecordEntry]


class RecordsPush(msgspec.Struct, tag='rp', array_like=True):
    """All changes after ``since`` and up to ``upto``, sent unasked by a node of ``domain``.

    ``root`` is the instance whose tree over that domain it goes down, empty for none.
    """

    since: int
    upto: int
    domain: str
    tree_root: str
    entries: list[RecordEntry]


class TargetDeaths(msgspec.Struct, tag='d', array_like=True):
    """Targets died while they ran the request with this fingerprint, so many of them."""

    fingerprint: int
    deaths: int


class FinishedKey(msgspec.Struct, array_like=True):
    """A key that the sender owned: ``done`` unless nobody can tell, ``reply`` while it is held."""

    key: str
    fingerprint: int
    completed: bool
    reply: Reply | None


class KeysPush(msgspec.Struct, tag='kp', array_like=True):
    """Part of what an owner that leaves knows of its keys, for who owns their ranges next."""

    id: int
    service: str
    keys: list[FinishedKey]


class KeysAck(msgspec.Struct, tag='kt', array_like=True):
    """Answers a KeysPush, so that the next part is sent only when this one is read."""

    id: int


RecordFrame = RecordsRequest | RecordsPush
Frame = (
    Challenge
    | Hello
    | Welcome
    | Call
    | Reply
    | Cancel
    | Ping
    | Pong
    | RecordsRequest
    | RecordsResponse
    | RecordsPush
    | TargetDeaths
    | KeysPush
    | KeysAck
)
