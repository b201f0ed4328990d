"""Whom a node probes next."""

from random import Random
from typing import NamedTuple

import xxhash

from dunlinsaddle.membership.view import Member, MemberView
from dunlinsaddle.settings import Address

MOST_FIRST = 8


class Outstanding(NamedTuple):
    """A probe without an answer yet."""

    instance: str
    incarnation: int
    sent: float
    asked_others: bool = False


class Relayed(NamedTuple):
    """A probe made for another node."""

    reply_to: Address
    number: int
    since: float


class ProbeOrder:
    """Turns between the next in a ring of hashes and a shuffled round of all.

    Random probes alone find a death in one period on average, but one in eight takes more
    than two. In the ring every instance has one that probes it each second turn, which
    bounds the wait; the shuffled round covers for a prober that died at the same time.
    """

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self._first: list[str] = []
        self._round: list[str] = []
        self._ring_turn = False
        self._live: list[Member] = []
        self._version = -1
        self._ring: Member | None = None

    def __len__(self) -> int:
        return len(self._live)

    def first(self, instance: str) -> None:
        """Probe an instance before all others, at one of the next turns."""
        if instance not in self._first and len(self._first) < MOST_FIRST:
            self._first.append(instance)

    def next(self, view: MemberView, me: Member) -> Member | None:
        """Give the member to probe now; None while there is no other."""
        while self._first:
            member = view.find(self._first.pop(0))
            if member is not None and not member.gone:
                return member
        live = self._live_of(view, me)
        if not live:
            return None
        self._ring_turn = not self._ring_turn
        if not self._ring_turn:
            return self._next_in_round(view, live)
        if self._ring is None:
            self._ring = _successor(live, me)
        return self._ring

    def sample(self, view: MemberView, me: Member, count: int, but: str) -> list[Member]:
        """Give up to ``count`` live members at random."""
        live = self._live_of(view, me)
        if but:
            live = [m for m in live if m.instance != but]
        return self.rng.sample(live, min(count, len(live)))

    def _live_of(self, view: MemberView, me: Member) -> list[Member]:
        # Asked several times a second: a walk over a thousand members holds up the calls.
        if view.version != self._version:
            self._live = [m for m in view.members() if not m.gone and m.instance != me.instance]
            self._version = view.version
            self._ring = None
        return self._live

    def _next_in_round(self, view: MemberView, live: list[Member]) -> Member:
        while self._round:
            member = view.find(self._round.pop())
            if member is not None and not member.gone:
                return member
        self._round = [m.instance for m in live]
        self.rng.shuffle(self._round)
        return self._next_in_round(view, live)


def _place(instance: str) -> int:
    return xxhash.xxh64_intdigest(instance.encode())


def _successor(live: list[Member], me: Member) -> Member:
    mine = _place(me.instance)
    return min(live, key=lambda m: (_place(m.instance) - mine) % (1 << 64))
