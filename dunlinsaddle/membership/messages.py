"""What nodes gossip, and how it is packed: MessagePack behind a keyed checksum."""

import hashlib
import hmac
from enum import IntEnum
from typing import Annotated

import msgspec
import xxhash
from msgspec import Meta

from dunlinsaddle.membership.view import Member, State
from dunlinsaddle.settings import Address

MAC_BYTES = 16  #: 128 bits: enough against a guess
MAX_MESSAGE_BYTES = 1400  #: under the least packet size of usual networks, so nothing is fragmented
SYNC_PAGE_BYTES = 1000  #: words in one message of a view's exchange
MAC_PERSONALIZATION = b'dunlin-gossip'
#: A bound against absurd numbers; the decoder refuses NaN, too, which would stay in every average.
MAX_LEVEL = 1e6
MAX_WAIT_SECONDS = 60.0  #: seconds; a bound against absurd numbers


class Details(msgspec.Struct, array_like=True, frozen=True):
    """What does not change between two announcements of an instance."""

    domain: str
    service: str
    peers: Address
    gossip: Address


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True):
    """What the sender knows of one instance.

    ``age`` is the time since the instance died or left, in seconds. An update without details is
    about a third as long; it carries ``details_checksum`` instead, by which a receiver sees
    whether it holds the same details.
    """

    instance: str
    incarnation: int
    state: State
    details: Details | None = None
    age: int = 0
    details_checksum: int = 0


class Message(msgspec.Struct, array_like=True, tag=True, kw_only=True):
    """What every message carries: who sends it, the address for answers, piggybacked words.

    ``news`` is the version of the newest configuration that the sender holds, 0 for none.
    """

    sender: str
    reply_to: Address
    words: list[MemberUpdate] = []
    news: int = 0


class Ping(Message, tag='p'):
    """Asks whether the receiver is alive. ``probe_id`` is random and comes back in the Ack."""

    probe_id: int


class Ack(Message, tag='a'):
    """Says that the instance that was asked is alive."""

    probe_id: int


class PingRequest(Message, tag='r'):
    """Asks the receiver to ping ``target`` on the sender's behalf."""

    probe_id: int
    target: str


class Rumor(Message, tag='u'):
    """Carries words and wants no answer."""


class Sync(Message, tag='s'):
    """Carries a digest for each bucket of the sender's view; ``is_reply`` stops the exchange."""

    digests: list[int]
    is_reply: bool = False


class LevelReport(Message, tag='l'):
    """Tells the level that the target beside the sender admits of its service."""

    level: Annotated[float, Meta(ge=0, le=MAX_LEVEL)]


class QuotaStatus(IntEnum):
    """How a request stands with the quota of its organisation."""

    GRANTED = 0
    EXHAUSTED = 1  #: the quota is used up
    NOT_LENDER = 2  #: the node that was asked does not lend this quota


class QuotaRequest(Message, tag='qa'):
    """Asks for one request's part of a quota; with no organisation only for a sign of life.

    ``relayed`` by a node that stands in: the one asked decides alone.
    """

    correlation_id: int
    organisation: str
    relayed: bool = False


class QuotaResponse(Message, tag='qr'):
    """Answers a QuotaAsk. ``wait_seconds`` is the time in seconds until there is room."""

    correlation_id: int
    status: QuotaStatus
    wait_seconds: Annotated[float, Meta(ge=0, le=MAX_WAIT_SECONDS)] = 0.0


class QuotaReturn(Message, tag='qg'):
    """Gives one request's part back: it did not run."""

    organisation: str


QuotaMessage = QuotaRequest | QuotaResponse | QuotaReturn
AnyMessage = Ping | Ack | PingRequest | Rumor | Sync | LevelReport | QuotaMessage

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[AnyMessage] = msgspec.msgpack.Decoder(AnyMessage)


def update_of(member: Member, *, full: bool = True, age: float = 0.0) -> MemberUpdate:
    """Give the word on a member, with its details or with their checksum."""
    details = details_of(member)
    message_header = (member.instance, member.incarnation, member.state)
    if full:
        return MemberUpdate(*message_header, details, int(age))
    return MemberUpdate(*message_header, None, int(age), checksum_of(details))


def details_of(member: Member) -> Details:
    """Give the details of a member."""
    return Details(member.domain, member.service, member.peers, member.gossip)


def checksum_of(details: Details) -> int:
    """Give the checksum of details, 32 bits."""
    return xxhash.xxh32_intdigest(_encoder.encode(details))


def member_of(word: MemberUpdate, details: Details) -> Member:
    """Give the member that a word is about."""
    return Member(
        word.instance,
        word.incarnation,
        word.state,
        details.domain,
        details.service,
        details.peers,
        details.gossip,
    )


def encoded_size(word: MemberUpdate) -> int:
    """Give the bytes that a word takes in a message."""
    return len(_encoder.encode(word))


class MessageCodec:
    """Packs messages behind a checksum that needs the shared key, and opens only such."""

    def __init__(self, key: str) -> None:
        self._key = hashlib.blake2b(key.encode(), digest_size=32).digest()

    def encode(self, message: AnyMessage) -> bytes:
        """Give the bytes to send."""
        body = _encoder.encode(message)
        return self._mac(body) + body

    def decode(self, data: bytes) -> AnyMessage | None:
        """Give the message; None for bytes that no holder of the key has sealed."""
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


def has_omitted_details(word: MemberUpdate, held: Member) -> bool:
    """Whether the details that a word leaves out are those that are held."""
    if word.incarnation == held.incarnation or word.state == State.LEFT:
        return True
    return word.details_checksum == checksum_of(details_of(held))
