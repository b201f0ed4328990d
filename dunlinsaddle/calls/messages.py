"""Messages between nodes about calls, records and keys, as MessagePack frames (msgspec)."""

from dataclasses import dataclass
from itertools import chain
from typing import TYPE_CHECKING, Annotated, NamedTuple

import msgspec
from msgspec import Meta

from dunlinsaddle.errors import ErrorKind, Failure, Outcome, problem_document
from dunlinsaddle.policy.admission import Load
from dunlinsaddle.policy.context import MAX_HOPS, SLOTS_PER_RANK
from dunlinsaddle.policy.quarantine import MAX_CRASHES, Crash
from dunlinsaddle.policy.target_speed import TargetSpeed
from dunlinsaddle.records.models import Rank, RecordEntry
from dunlinsaddle.records.schema import MAX_RETRY_BOUND

MAX_TIMEOUT_SECONDS = 86_400.0  #: a day, only to reject absurd values
MAX_CLEARED_REQUESTS = 256  #: in one frame
MAX_RATE = 1e9  #: requests per second, only to reject absurd values

Headers = list[tuple[bytes, bytes]]
if TYPE_CHECKING:
    Body = bytes | memoryview
else:
    #: The decoder copies ``bytes`` out of a frame; a memoryview shares its memory.
    Body = memoryview
#: Memory that a call takes besides its headers and body: its context, tasks and timers.
CALL_COST_BYTES = 8192
#: Memory that a header takes besides its text: two objects, a pair and a place in a list.
HEADER_COST_BYTES = 160
LARGE_BODY_BYTES = 1 << 16  #: from which a body is not copied on its way

# The decoder rejects values out of range, NaN included: a faulty peer must not be able to grant
# unlimited retries or a deadline that never passes.
RankNumber = Annotated[int, Meta(ge=0, lt=len(Rank))]
SlotNumber = Annotated[int, Meta(ge=0, lt=SLOTS_PER_RANK)]
Seconds = Annotated[float, Meta(ge=0, le=MAX_TIMEOUT_SECONDS)]
RetryTokens = Annotated[int, Meta(ge=0, le=MAX_RETRY_BOUND)]
HopCount = Annotated[int, Meta(ge=0, le=MAX_HOPS)]
Rate = Annotated[float, Meta(gt=0, le=MAX_RATE)]
#: Exceeds 1 where the rate is less than one request per second.
RateUse = Annotated[float, Meta(ge=0, le=MAX_RATE)]
#: A share; the decoder also rejects NaN, which would never leave a moving average.
Share = Annotated[float, Meta(ge=0, le=1)]
MAX_CALLS = 1_000_000  #: of one request, only to reject absurd values
Crashes = Annotated[list[Crash], Meta(max_length=MAX_CRASHES)]
StatusCode = Annotated[int, Meta(ge=200, le=599)]


def _held_by_headers(headers: Headers) -> int:
    return sum(map(len, chain.from_iterable(headers))) + HEADER_COST_BYTES * len(headers)


class Challenge(msgspec.Struct, tag='h', array_like=True):
    """First frame of the listening side: a nonce that the other side must sign."""

    nonce: bytes


class Hello(msgspec.Struct, tag='a', array_like=True):
    """First frame of the dialling side: its instance and the proof that it holds the key."""

    instance: str
    proof: bytes
    nonce: bytes = b''


class Welcome(msgspec.Struct, tag='w', array_like=True):
    """Answers a Hello with the proof that the listening side holds the key too."""

    proof: bytes


class RelayedTargetState(msgspec.Struct, array_like=True, frozen=True):
    """State that a target advertised in its responses, as its node relays it to other nodes."""

    incarnation: str  #: of the target that advertised it
    rate: Rate | None = None  #: requests per second accepted from all nodes, None for no limit
    rate_use: RateUse = 0.0  #: used part of the rate over the last second
    leaving: bool = False


class Call(msgspec.Struct, tag='c', array_like=True):
    """A call sent to the node beside a target. ``timeout`` is the time left in seconds.

    The time left is sent, not a point in time, so that clocks need not be synchronized.
    """

    id: int
    service: str
    method: str
    path: str
    headers: Headers
    body: Body
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
    crash_count: int = 0  #: for older builds
    owner_lookups: HopCount = 0  #: nodes already asked for the owner of the key
    owner_approved: bool = False  #: the owner of the key has decided that the call may run
    useful_seconds: Seconds = MAX_TIMEOUT_SECONDS  #: after which an answer is worth less
    resent: bool = False  #: the call, or the request that it is part of, was sent before
    organisation: str = ''  #: of the request, empty where callers need no key
    target_state: RelayedTargetState | None = None  #: last sent by the receiver, if it restarted
    crashes: Crashes = []  #: what the sender knows; older builds send only their number
    own_fingerprint: int = 0  #: of a call that a target makes

    @property
    def held_bytes(self) -> int:
        """Memory that it takes, in bytes."""
        return len(self.body) + _held_by_headers(self.headers) + CALL_COST_BYTES


class RefusedCalls(msgspec.Struct, array_like=True, frozen=True):
    """How the targets of a service refuse the calls that were made for a request."""

    service: str
    share: Share  #: of the calls that targets refused over the last fraction of a second
    budget_left: Share  #: of the repeats that the reporting node may send in one window
    calls: Annotated[int, Meta(ge=0, le=MAX_CALLS)]  #: made at the service for this request


class Reply(msgspec.Struct, tag='r', array_like=True):
    """The whole response to a call, with its outcome and the load of the target."""

    id: int
    status: StatusCode
    headers: Headers
    body: Body
    outcome: Outcome
    kind: str = ''  #: value of an ErrorKind, empty if the target itself answered
    retry_after: Seconds = 0.0
    unspent_retry_tokens: RetryTokens = 0
    load: Load | None = None
    crash_count: int = 0  #: for older builds
    cause: str = ''  #: the downstream call that made it fail: its service, and how it ended
    target_state: RelayedTargetState | None = None  #: None if the target advertised nothing
    #: Of the target for the rule of the call; None from older builds and learned limits. Checked
    #: by the router, since a reply with unusable figures is still the reply to its call.
    speed: TargetSpeed | None = None
    refused_calls: RefusedCalls | None = None  #: None if few of its calls are refused
    #: Whether a target got the call, although the kind is one of those by which nodes refuse calls.
    #: False from older builds.
    reached_target: bool = False
    #: Number of the connection of the target's node that carried the call; 0 if none did.
    connection: int = 0
    earlier_answers: int = 0  #: that this connection had brought to earlier calls
    crashes: Crashes = []  #: of targets that ran the request, as far as the replying node knows

    @property
    def size(self) -> int:
        """Size of the headers and the body in bytes."""
        return len(self.body) + sum(len(name) + len(value) for name, value in self.headers)

    @property
    def held_bytes(self) -> int:
        """Memory that it takes, in bytes."""
        return len(self.body) + _held_by_headers(self.headers)


class Cancel(msgspec.Struct, tag='x', array_like=True):
    """Cancels a call: nobody waits for its reply any more."""

    id: int


class Ping(msgspec.Struct, tag='p', array_like=True):
    """Asks the peer to show that this connection still works."""

    number: int


class Pong(msgspec.Struct, tag='q', array_like=True):
    """Answers a Ping."""

    number: int


@dataclass(frozen=True, slots=True)
class NotSent:
    """The call was never sent, so it did not run."""

    detail: str
    is_refused: bool = False  #: nothing listens at the address
    is_local_exhaustion: bool = False  #: this process lacks descriptors or memory


@dataclass(frozen=True, slots=True)
class Lost:
    """The call was sent but no complete answer was received, so it may have run."""

    detail: str
    kind: ErrorKind = ErrorKind.PEER_LOST
    connection: int = 0  #: number of the connection to the target; 0 for a link to a node
    earlier_answers: int = 0  #: that the connection had brought to earlier calls


def refusal(failure: Failure, *, call_id: int = 0, load: Load | None = None) -> Reply:
    """Return the reply that reports a failure as a problem document."""
    headers: Headers = [(b'content-type', b'application/problem+json')]
    return Reply(
        id=call_id,
        status=failure.rule.status,
        headers=headers,
        body=msgspec.json.encode(problem_document(failure)),
        outcome=failure.outcome,
        kind=failure.kind.value,
        retry_after=failure.retry_after if failure.rule.retry_after else 0.0,
        load=load,
    )


class RecordsRequest(msgspec.Struct, tag='ra', array_like=True):
    """Requests the records changed after ``since_version``, up to which the sender is complete."""

    id: int
    since_version: int
    wants_learned_state: bool = False  #: of a node that has just started


class RecordsResponse(msgspec.Struct, tag='rr', array_like=True):
    """All changes after the requested version and up to ``up_to_version``.

    ``has_more`` is set if the responding node has further changes.
    ``age_seconds`` is the time since the responding node last knew that it was up to date.
    """

    id: int
    up_to_version: int
    age_seconds: float
    has_more: bool
    entries: list[RecordEntry]
    #: Encoded by ``policy/learned_state.py``; empty if not requested, or if nothing was learned.
    learned_state: bytes = b''


class RecordsPush(msgspec.Struct, tag='rp', array_like=True):
    """Changes that a node of ``domain`` sends unrequested.

    These are all changes after ``since_version``, up to and including ``up_to_version``.
    ``tree_root`` is the instance at the root of the broadcast tree over that domain, empty if the
    push does not follow a tree.
    """

    since_version: int
    up_to_version: int
    domain: str
    tree_root: str
    entries: list[RecordEntry]


class ClearedRequest(NamedTuple):
    """A request of which an equal one has completed, and the crashes that this takes back."""

    fingerprint: int
    names: Annotated[list[int], Meta(max_length=MAX_CRASHES)]


class TargetCrashes(msgspec.Struct, tag='d', array_like=True):
    """Crashes of targets that ran the request with this fingerprint, and crashes taken back."""

    fingerprint: int  #: 0 in a frame that only takes crashes back
    crash_count: int  #: for older builds; 0 changes nothing there
    crashes: Crashes = []
    cleared: Annotated[list[ClearedRequest], Meta(max_length=MAX_CLEARED_REQUESTS)] = []


class FinishedKey(msgspec.Struct, array_like=True):
    """A key of which the sender was the owner.

    ``completed`` is false if the outcome is unknown; ``reply`` is set while it is still stored.
    """

    key: str
    fingerprint: int
    completed: bool
    reply: Reply | None


class KeysPush(msgspec.Struct, tag='kp', array_like=True):
    """Part of the keys of a leaving owner, sent to the next owner of their ranges."""

    id: int
    service: str
    keys: list[FinishedKey]


class KeysAck(msgspec.Struct, tag='kt', array_like=True):
    """Acknowledges a KeysPush, so that the next part is sent only after this one is handled."""

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
    | TargetCrashes
    | KeysPush
    | KeysAck
)
