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
MAX_BYTES = 1400  #: under the least packet size of usual networks, so nothing is fragmented
PAGE_BYTES = 1000  #: words in one message of a view's exchange
PERSON = b'dunlin-gossip'
#: A bound against absurd numbers; the decoder refuses NaN, too, which would stay in every average.
MAX_LEVEL = 1e6
MAX_WAIT = 60.0  #: seconds; a bound against absurd numbers


class Details(msgspec.Struct, array_like=True, frozen=True):
    """What does not change between two announcements of an instance."""

    domain: str
    service: str
    peers: Address
    gossip: Address


class Word(msgspec.Struct, array_like=True, frozen=True):
    """One word on one instance. ``age`` is the time since it died or left, in seconds.

    A word without details is about a third as long. ``check`` is the checksum of those that it
    stands for, by which a receiver sees whether it holds the same.
    """

    instance: str
    incarnation: int
    state: State
    details: Details | None = None
    age: int = 0
    check: int = 0


class Message(msgspec.Struct, array_like=True, tag=True, kw_only=True):
    """What every message carries: who sends it, the address for answers, piggybacked words.

    ``news`` is the version of the newest configuration that the sender holds, 0 for none.
    """

    sender: str
    reply_to: Address
    words: list[Word] = []
    news: int = 0


class Ping(Message, tag='p'):
    """Asks whether the receiver is alive. ``number`` is random and comes back in the Ack."""

    number: int


class Ack(Message, tag='a'):
    """Says that the instance that was asked is alive."""

    number: int


class PingRequest(Message, tag='r'):
    """Asks the receiver to ping ``target`` on the sender's behalf."""

    number: int
    target: str


class Rumor(Message, tag='u'):
    """Carries words and wants no answer."""


class Sync(Message, tag='s'):
    """Carries a digest for each bucket of the sender's view; ``answer`` stops the exchange."""

    digests: list[int]
    answer: bool = False


class Level(Message, tag='l'):
    """Tells the level that the target beside the sender admits of its service."""

    level: Annotated[float, Meta(ge=0, le=MAX_LEVEL)]


class Standing(IntEnum):
    """How a request stands with the quota of its organisation."""

    LENT = 0
    LATER = 1  #: the quota is used up
    NOT_MINE = 2  #: the node that was asked does not lend this quota


class QuotaAsk(Message, tag='qa'):
    """Asks for one request's part of a quota; with no organisation only for a sign of life.

    ``relayed`` by a node that stands in: the one asked decides alone.
    """

    number: int
    organisation: str
    relayed: bool = False


class QuotaAnswer(Message, tag='qr'):
    """Answers a QuotaAsk. ``wait`` is the time in seconds until there is room."""

    number: int
    standing: Standing
    wait: Annotated[float, Meta(ge=0, le=MAX_WAIT)] = 0.0


class QuotaReturn(Message, tag='qg'):
    """Gives one request's part back: it did not run."""

    organisation: str


QuotaMessage = QuotaAsk | QuotaAnswer | QuotaReturn
AnyMessage = Ping | Ack | PingRequest | Rumor | Sync | Level | QuotaMessage

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[AnyMessage] = msgspec.msgpack.Decoder(AnyMessage)


def word_of(member: Member, *, full: bool = True, age: float = 0.0) -> Word:
    """Give the word on a member, with its details or with their checksum."""
    details = details_of(member)
    head = (member.instance, member.incarnation, member.state)
    if full:
        return Word(*head, details, int(age))
    return Word(*head, None, int(age), check_of(details))


def details_of(member: Member) -> Details:
    """Give the details of a member."""
    return Details(member.domain, member.service, member.peers, member.gossip)


def check_of(details: Details) -> int:
    """Give the checksum of details, 32 bits."""
    return xxhash.xxh32_intdigest(_encoder.encode(details))


def member_of(word: Word, details: Details) -> Member:
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


def size_of(word: Word) -> int:
    """Give the bytes that a word takes in a message."""
    return len(_encoder.encode(word))


class Sealer:
    """Packs messages behind a checksum that needs the shared key, and opens only such."""

    def __init__(self, key: str) -> None:
        self._key = hashlib.blake2b(key.encode(), digest_size=32).digest()

    def seal(self, message: AnyMessage) -> bytes:
        """Give the bytes to send."""
        body = _encoder.encode(message)
        return self._mac(body) + body

    def open(self, data: bytes) -> AnyMessage | None:
        """Give the message; None for bytes that no holder of the key has sealed."""
        body = data[MAC_BYTES:]
        if len(data) > MAX_BYTES or not hmac.compare_digest(data[:MAC_BYTES], self._mac(body)):
            return None
        try:
            return _decoder.decode(body)
        except (msgspec.MsgspecError, RecursionError):
            return None

    def _mac(self, body: bytes) -> bytes:
        return hashlib.blake2b(body, digest_size=MAC_BYTES, key=self._key, person=PERSON).digest()


def stands_for(word: Word, held: Member) -> bool:
    """Whether the details that a word leaves out are those that are held."""
    if word.incarnation == held.incarnation or word.state == State.LEFT:
        return True
    return word.check == check_of(details_of(held))
