"""Gossip messages and their encoding: MessagePack with a message authentication code."""

import hashlib
import hmac
from enum import IntEnum
from typing import Annotated

import msgspec
import xxhash
from msgspec import Meta

from dunlinsaddle.membership.view import Member, State
from dunlinsaddle.settings import Address

MAC_BYTES = 16  #: 128 bits cannot be guessed
MAX_MESSAGE_BYTES = 1400  #: below the smallest usual MTU, so that nothing is fragmented
SYNC_PAGE_BYTES = 1000  #: member updates in one message of a sync
MAC_PERSONALIZATION = b'dunlin-gossip'
#: Rejects absurd values. The decoder also rejects NaN, which would never leave a moving average.
MAX_LEVEL = 1e6
MAX_COUNT = 10**8  #: events of one window, rejects absurd values
MAX_LOAN = 1000  #: repeats of one loan, rejects absurd values
MAX_WAIT_SECONDS = 60.0  #: rejects absurd values
#: Rank and longest useful wait, in seconds, of a quota request of an older build, which sends none.
DEFAULT_RANK, DEFAULT_USEFUL_SECONDS = 2, 0.8


class Details(msgspec.Struct, array_like=True, frozen=True):
    """The fields of a member that change only when the instance announces itself."""

    domain: str
    service: str
    peers: Address
    gossip: Address


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True):
    """State of one instance as the sender knows it.

    ``age`` is the time since the instance died or left, in seconds. An update without details is
    about a third as long; it carries ``details_checksum`` instead, by which the receiver checks
    whether it has the same details. ``target_checksum`` changes when the target restarts.
    """

    instance: str
    incarnation: int
    state: State
    details: Details | None = None
    age: int = 0
    details_checksum: int = 0
    target_checksum: int = 0


class Message(msgspec.Struct, array_like=True, tag=True, kw_only=True):
    """Base of all messages.

    ``words`` are piggybacked updates of members. ``news`` is the version of the newest
    configuration that the sender has, 0 for none.
    """

    sender: str
    reply_to: Address
    words: list[MemberUpdate] = []
    news: int = 0


class Ping(Message, tag='p'):
    """Checks whether the receiver is alive. ``probe_id`` is random and returned in the Ack."""

    probe_id: int


class Ack(Message, tag='a'):
    """Confirms that the probed instance is alive."""

    probe_id: int


class PingRequest(Message, tag='r'):
    """Asks the receiver to ping ``target`` on the sender's behalf."""

    probe_id: int
    target: str


class Rumor(Message, tag='u'):
    """Carries only updates and needs no reply."""


class Sync(Message, tag='s'):
    """Carries the digests of the sender's view. A message with ``is_reply`` gets no Sync back."""

    digests: list[int]
    is_reply: bool = False


class LevelReport(Message, tag='l'):
    """Reports the admission level of the sender's local target."""

    level: Annotated[float, Meta(ge=0, le=MAX_LEVEL)]


class QuotaStatus(IntEnum):
    """Result of a quota request."""

    GRANTED = 0
    EXHAUSTED = 1  #: try again later
    NOT_LENDER = 2  #: the receiver does not lend tokens of this quota


class _BaseQuotaRequest(Message, tag='qa'):
    """The fields that all builds know. New ones are added to the subclass.

    Fields that are not keyword-only precede those of ``Message`` in the array. A new one here would
    move those, and no older build could read the message.
    """

    correlation_id: int
    organisation: str
    relayed: bool = False


class QuotaRequest(_BaseQuotaRequest, tag='qa', kw_only=True):
    """Asks for one token of an organisation's quota; without organisation, checks liveness only.

    ``relayed`` is set by a node that forwards the request on behalf of another: the receiver
    decides alone. ``returning`` says that a token was reserved for the caller for this time.
    ``fingerprint`` is the same for all attempts of a request, 0 if unknown. ``useful_seconds`` is
    the longest wait after which the request is still useful. ``refused`` is the number of requests
    of this rank that the sender has refused without a query since its latest one.
    """

    rank: Annotated[int, Meta(ge=0)] = DEFAULT_RANK
    returning: bool = False
    fingerprint: int = 0
    useful_seconds: Annotated[float, Meta(ge=0, le=MAX_WAIT_SECONDS)] = DEFAULT_USEFUL_SECONDS
    refused: Annotated[int, Meta(ge=0)] = 0


class _BaseQuotaResponse(Message, tag='qr'):
    """The fields that all builds know; see ``_BaseQuotaRequest``."""

    correlation_id: int
    status: QuotaStatus
    wait_seconds: Annotated[float, Meta(ge=0, le=MAX_WAIT_SECONDS)] = 0.0


class QuotaResponse(_BaseQuotaResponse, tag='qr', kw_only=True):
    """Answers a QuotaRequest. ``wait_seconds`` is the time until a token is available.

    For ``closed_seconds`` there is no capacity for requests of ``closed_rank`` and less important
    ones; 0 for none. ``reserved`` says whether a token is reserved for the caller after
    ``wait_seconds``; a lender of an older build does not say it.
    """

    closed_rank: Annotated[int, Meta(ge=0)] = 0
    closed_seconds: Annotated[float, Meta(ge=0, le=MAX_WAIT_SECONDS)] = 0  #: one byte, 0.0 is nine
    reserved: bool | None = None


class QuotaReturn(Message, tag='qg'):
    """Returns a token whose request did not run."""

    organisation: str


EventCount = Annotated[int, Meta(ge=0, le=MAX_COUNT)]


class LoanQuery(Message, tag='ba'):
    """Asks for repeats of the receiver's retry budget of a service."""

    correlation_id: int
    service: str
    wanted: Annotated[int, Meta(ge=1, le=MAX_LOAN)]
    wants_counts: bool = False  #: older builds neither ask for counts nor read a grant of none


class LoanCounts(msgspec.Struct, array_like=True, frozen=True):
    """Requests and repeats that the lender has counted for the service."""

    #: Of the present window, the one half a window ago, and the one before.
    requests: tuple[EventCount, EventCount, EventCount]
    repeats: EventCount  #: of the present window


class LoanGrant(Message, tag='bl'):
    """Lends repeats. A node that has none to lend answers only a query that wants counts."""

    correlation_id: int
    amount: Annotated[int, Meta(ge=0, le=MAX_LOAN)]
    counts: LoanCounts | None = None


LoanMessage = LoanQuery | LoanGrant
QuotaMessage = QuotaRequest | QuotaResponse | QuotaReturn
AnyMessage = Ping | Ack | PingRequest | Rumor | Sync | LevelReport | QuotaMessage | LoanMessage

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[AnyMessage] = msgspec.msgpack.Decoder(AnyMessage)


def update_of(member: Member, *, full: bool = True, age: float = 0.0) -> MemberUpdate:
    """Return an update for a member, with its details or only their checksum."""
    details = details_of(member)
    header = (member.instance, member.incarnation, member.state)
    target = member.target_checksum
    if full:
        return MemberUpdate(*header, details, int(age), target_checksum=target)
    return MemberUpdate(*header, None, int(age), checksum_of(details), target)


def details_of(member: Member) -> Details:
    """Return the details of a member."""
    return Details(member.domain, member.service, member.peers, member.gossip)


def checksum_of(details: Details) -> int:
    """Return the 32-bit checksum of details."""
    return xxhash.xxh32_intdigest(_encoder.encode(details))


def member_of(update: MemberUpdate, details: Details) -> Member:
    """Return the member that an update describes."""
    return Member(
        update.instance,
        update.incarnation,
        update.state,
        details.domain,
        details.service,
        details.peers,
        details.gossip,
        update.target_checksum,
    )


def encoded_size(update: MemberUpdate) -> int:
    """Return the encoded size of an update in bytes."""
    return len(_encoder.encode(update))


class MessageCodec:
    """Encodes messages with an authentication code of the shared key and verifies it."""

    def __init__(self, key: str) -> None:
        self._key = hashlib.blake2b(key.encode(), digest_size=32).digest()

    def encode(self, message: AnyMessage) -> bytes:
        """Return the encoded message with its authentication code."""
        body = _encoder.encode(message)
        return self._mac(body) + body

    def decode(self, data: bytes) -> AnyMessage | None:
        """Return the message, or None if it is malformed or not authenticated with the key."""
        body = data[MAC_BYTES:]
        if len(data) > MAX_MESSAGE_BYTES or not hmac.compare_digest(
            data[:MAC_BYTES], self._mac(body)
        ):
            return None
        try:
            return _decoder.decode(body)
        except (msgspec.MsgspecError, RecursionError):
            return None

    def _mac(self, body: bytes) -> bytes:
        return hashlib.blake2b(
            body, digest_size=MAC_BYTES, key=self._key, person=MAC_PERSONALIZATION
        ).digest()


def has_same_details(update: MemberUpdate, current: Member) -> bool:
    """Return whether the details that an update omits equal those of the current entry."""
    if update.incarnation == current.incarnation or update.state == State.LEFT:
        return True
    return update.details_checksum == checksum_of(details_of(current))
