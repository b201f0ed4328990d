"""Whom a node probes next."""

from random import Random
from typing import NamedTuple

import xxhash

from dunlinsaddle.membership.tuning import GossipTimes
from dunlinsaddle.membership.view import Member, MemberView
from dunlinsaddle.settings import Address

MAX_PRIORITY_PROBES = 8  #: instances that are probed out of turn: eight periods of one second
MAX_RELAYED_PROBES = 1000  #: probes for others at a time: what they ask must not fill the memory


class PendingProbe(NamedTuple):
    """A probe without an answer yet."""

    instance: str
    incarnation: int
    sent_at: float
    indirect_started: bool = False


class RelayedProbe(NamedTuple):
    """A probe made for another node."""

    reply_to: Address
    probe_id: int
    since: float


class PendingProbes:
    """The probes that are out, by the numbers that their answers bear."""

    def __init__(self, rng: Random, times: GossipTimes) -> None:
        self.rng = rng
        self.times = times
        self._outstanding: dict[int, PendingProbe] = {}
        self._relayed: dict[int, RelayedProbe] = {}

    def start(self, now: float, target: Member) -> int:
        """Note a probe of one's own; gives its probe_id."""
        probe_id = self.rng.getrandbits(48)
        self._outstanding[probe_id] = PendingProbe(target.instance, target.incarnation, now)
        return probe_id

    def start_relayed(self, now: float, reply_to: Address, requested_id: int) -> int | None:
        """Note a probe for another node; None when there are too many."""
        if len(self._relayed) > MAX_RELAYED_PROBES:
            return None
        probe_id = self.rng.getrandbits(48)
        self._relayed[probe_id] = RelayedProbe(reply_to, requested_id, now)
        return probe_id

    def pop(self, probe_id: int) -> tuple[PendingProbe | None, RelayedProbe | None]:
        """Take out what a probe_id stands for."""
        return self._outstanding.pop(probe_id, None), self._relayed.pop(probe_id, None)

    def pop_timed_out(self, now: float) -> list[PendingProbe]:
        """Take out the probes that nobody has answered, neither directly nor through others."""
        limit = self.times.direct_timeout + self.times.indirect_timeout
        for probe_id, relayed in list(self._relayed.items()):
            if now - relayed.since > limit:
                del self._relayed[probe_id]
        late = {n: p for n, p in self._outstanding.items() if now - p.sent_at >= limit}
        for probe_id in late:
            del self._outstanding[probe_id]
        return list(late.values())

    def start_indirect(self, now: float) -> list[tuple[int, PendingProbe]]:
        """Give the probes without a direct answer that others are to be asked about, once."""
        found = [
            (probe_id, probe)
            for probe_id, probe in self._outstanding.items()
            if now - probe.sent_at >= self.times.direct_timeout and not probe.indirect_started
        ]
        for probe_id, probe in found:
            self._outstanding[probe_id] = probe._replace(indirect_started=True)
        return found

    def clear(self) -> None:
        """Forget all that are out."""
        self._outstanding.clear()
        self._relayed.clear()


class ProbeScheduler:
    """Turns between the next in a ring of hashes and a shuffled round of all.

    Random probes alone find a death in one period on average, but one in eight takes more
    than two. In the ring every instance has one that probes it each second turn, which
    bounds the wait; the shuffled round covers for a prober that died at the same time.
    """

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self._priority: list[str] = []
        self._round: list[str] = []
        self._use_ring = False
        self._live: list[Member] = []
        self._version = -1
        self._ring_successor: Member | None = None

    def __len__(self) -> int:
        return len(self._live)

    def prioritize(self, instance: str) -> None:
        """Probe an instance before all others, at one of the next turns."""
        if instance not in self._priority and len(self._priority) < MAX_PRIORITY_PROBES:
            self._priority.append(instance)

    def next_target(self, view: MemberView, me: Member) -> Member | None:
        """Give the member to probe now; None while there is no other."""
        while self._priority:
            member = view.find(self._priority.pop(0))
            if member is not None and not member.is_gone:
                return member
        live = self._live_members(view, me)
        if not live:
            return None
        self._use_ring = not self._use_ring
        if not self._use_ring:
            return self._next_in_round(view, live)
        if self._ring_successor is None:
            self._ring_successor = _successor(live, me)
        return self._ring_successor

    def sample(self, view: MemberView, me: Member, count: int, exclude: str) -> list[Member]:
        """Give up to ``count`` live members at random."""
        live = self._live_members(view, me)
        if exclude:
            live = [m for m in live if m.instance != exclude]
        return self.rng.sample(live, min(count, len(live)))

    def _live_members(self, view: MemberView, me: Member) -> list[Member]:
        # Asked several times a second: a walk over a thousand members holds up the calls.
        if view.version != self._version:
            self._live = [m for m in view.members() if not m.is_gone and m.instance != me.instance]
            self._version = view.version
            self._ring_successor = None
        return self._live

    def _next_in_round(self, view: MemberView, live: list[Member]) -> Member:
        while self._round:
            member = view.find(self._round.pop())
            if member is not None and not member.is_gone:
                return member
        self._round = [m.instance for m in live]
        self.rng.shuffle(self._round)
        return self._next_in_round(view, live)


def _ring_position(instance: str) -> int:
    return xxhash.xxh64_intdigest(instance.encode())


def _successor(live: list[Member], me: Member) -> Member:
    mine = _ring_position(me.instance)
    return min(live, key=lambda m: (_ring_position(m.instance) - mine) % (1 << 64))
