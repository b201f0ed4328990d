"""The context of a call, passed on to every hop, and the priority of its root request."""

import math
from typing import NamedTuple

import xxhash

from dunlinsaddle.policy.quarantine import Crash
from dunlinsaddle.records.models import Rank

SLOTS_PER_RANK = 128  #: priority levels per rank; each is less than 1 % of the rank's demand
LOWEST_LEVEL = SLOTS_PER_RANK * len(Rank) - 1  #: the least important priority level
MAX_HOPS = 32  #: about three times the deepest known call chain, which has eleven hops


class Priority(NamedTuple):
    """The priority of a root request: its rank, then a slot that is the same at every hop.

    All hops order requests in the same way, so overloaded hops shed the same requests and no
    work is spent on a request that fails further down the chain.
    """

    rank: Rank
    slot: int

    @property
    def level(self) -> int:
        """Rank and slot as one number: 0 is most important, ``LOWEST_LEVEL`` least."""
        return self.rank * SLOTS_PER_RANK + self.slot


def priority_of(rank: Rank, request_id: str) -> Priority:
    """Return the priority of a root request; its slot is a hash of the request id."""
    return Priority(rank, xxhash.xxh32_intdigest(request_id.encode()) % SLOTS_PER_RANK)


def inherit_priority(root: Priority, own: Rank) -> Priority:
    """Return the priority of a call that is made on behalf of a root request.

    It is the priority of the root request, so that all hops shed the same requests. A call of
    rank ``critical`` keeps that rank whatever the root request's: it must be shed last.
    """
    return root._replace(rank=Rank.CRITICAL) if own is Rank.CRITICAL else root


class CallContext(NamedTuple):
    """Context of one call. ``deadline`` is a time of the event loop's clock, in seconds."""

    request_id: str
    caller: str
    service: str
    rule: str
    priority: Priority
    deadline: float
    allowance: int  #: retry tokens
    hop: int
    idempotent: bool
    key: str
    fingerprint: int
    own_fingerprint: int = 0  #: of a call that a target makes; 0 for a root request
    crashes: tuple[Crash, ...] = ()  #: of targets that ran this request, as far as is known
    useful_until: float = math.inf  #: time of the loop's clock after which an answer is worth less
    is_resend: bool = False  #: whether this call or its root request was sent before
    organisation: str = ''  #: the organisation that sent the root request

    @property
    def run_fingerprint(self) -> int:
        """Fingerprint of what the target of this call runs.

        A request and the calls made for it share ``fingerprint``. A call that completes says
        nothing of whether the request itself crashes its targets.
        """
        return self.own_fingerprint or self.fingerprint
