"""Whom a node probes next."""

from random import Random
from typing import NamedTuple

import xxhash

from dunlinsaddle.membership.tuning import GossipTimes
from dunlinsaddle.membership.view import Member, MemberView
from dunlinsaddle.settings import Address

MOST_FIRST = 8  #: instances that are probed out of turn: eight periods of one second
MOST_RELAYED = 1000  #: probes for others at a time: what they ask must not fill the memory


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


class Probes:
    """The probes that are out, by the numbers that their answers bear."""

    def __init__(self, rng: Random, times: GossipTimes) -> None:
        self.rng = rng
        self.times = times
        self._outstanding: dict[int, Outstanding] = {}
        self._relayed: dict[int, Relayed] = {}

    def begin(self, now: float, target: Member) -> int:
        """Note a probe of one's own; gives its number."""
        number = self.rng.getrandbits(48)
        self._outstanding[number] = Outstanding(target.instance, target.incarnation, now)
        return number

    def relay(self, now: float, reply_to: Address, asked: int) -> int | None:
        """Note a probe for another node; None when there are too many."""
        if len(self._relayed) > MOST_RELAYED:
            return None
        number = self.rng.getrandbits(48)
        self._relayed[number] = Relayed(reply_to, asked, now)
        return number

    def answered(self, number: int) -> tuple[Outstanding | None, Relayed | None]:
        """Take out what a number stands for."""
        return self._outstanding.pop(number, None), self._relayed.pop(number, None)

    def silent(self, now: float) -> list[Outstanding]:
        """Take out the probes that nobody has answered, neither directly nor through others."""
        limit = self.times.direct + self.times.indirect
        for number, relayed in list(self._relayed.items()):
            if now - relayed.since > limit:
                del self._relayed[number]
        late = {n: p for n, p in self._outstanding.items() if now - p.sent >= limit}
        for number in late:
            del self._outstanding[number]
        return list(late.values())

    def overdue(self, now: float) -> list[tuple[int, Outstanding]]:
        """Give the probes without a direct answer that others are to be asked about, once."""
        found = [
            (number, probe)
            for number, probe in self._outstanding.items()
            if now - probe.sent >= self.times.direct and not probe.asked_others
        ]
        for number, probe in found:
            self._outstanding[number] = probe._replace(asked_others=True)
        return found

    def clear(self) -> None:
        """Forget all that are out."""
        self._outstanding.clear()
        self._relayed.clear()


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
