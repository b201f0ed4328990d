"""What every hop knows of the request it works for."""

import math
from typing import NamedTuple

import xxhash

from dunlinsaddle.records.models import Rank

SLOTS_PER_RANK = 128  #: levels of one rank: a level then is less than a hundredth of its demand
LOWEST_LEVEL = SLOTS_PER_RANK * len(Rank) - 1
MAX_HOPS = 32  #: three times the deepest chain of the users, which has eleven


class Priority(NamedTuple):
    """The priority of a root request: its rank, then a slot that is the same at every hop.

    All hops order requests alike, so overloaded hops shed the same ones and no work is
    spent on a request that dies further down.
    """

    rank: Rank
    slot: int

    @property
    def level(self) -> int:
        """One number for both: 0 is the most valued, ``LOWEST_LEVEL`` the least."""
        return self.rank * SLOTS_PER_RANK + self.slot


def priority_of(rank: Rank, request_id: str) -> Priority:
    """Derive the priority of a root request."""
    return Priority(rank, xxhash.xxh32_intdigest(request_id.encode()) % SLOTS_PER_RANK)


def inherit_priority(root: Priority, own: Rank) -> Priority:
    """Give the priority of a call that is made on behalf of a root request.

    It is the root's, so that all hops shed the same requests. A call of the most valued rank
    keeps that rank: a release is the last to be shed, whoever asked for it.
    """
    return root._replace(rank=Rank.CRITICAL) if own is Rank.CRITICAL else root


class CallContext(NamedTuple):
    """One call on its way. ``deadline`` is a time of the local loop's clock, in seconds."""

    request_id: str
    caller: str
    service: str
    rule: str
    priority: Priority
    deadline: float
    allowance: int
    hop: int
    idempotent: bool
    key: str
    fingerprint: int
    deaths: int = 0  #: of targets that were lost while they ran this request
    useful_until: float = math.inf  #: an answer after this time of the loop is worth less
    is_resend: bool = False  #: it, or the request that it is made for, was sent before
    organisation: str = ''  #: whose request it is, or the request that it is made for
