"""Pending probes, and the choice of the next instance to probe."""

from random import Random
from typing import NamedTuple

import xxhash

from dunlinsaddle.membership.tuning import GossipTimes
from dunlinsaddle.membership.view import Member, MemberView
from dunlinsaddle.settings import Address

MAX_PRIORITY_PROBES = 8  #: probed ahead of the regular order; at one per second, eight seconds
MAX_RELAYED_PROBES = 1000  #: pending probes on behalf of others, which must not fill the memory


class PendingProbe(NamedTuple):
    """A probe that was not answered yet."""

    instance: str
    incarnation: int
    sent_at: float
    indirect_started: bool = False


class RelayedProbe(NamedTuple):
    """A probe sent on behalf of another node."""

    reply_to: Address
    probe_id: int
    started_at: float


class PendingProbes:
    """Probes that wait for an answer, by the probe ID that the answer carries."""

    def __init__(self, rng: Random, times: GossipTimes) -> None:
        self.rng = rng
        self.times = times
        self._pending: dict[int, PendingProbe] = {}
        self._relayed: dict[int, RelayedProbe] = {}

    def start(self, now: float, target: Member) -> int:
        """Record a direct probe and return its ID."""
        probe_id = self.rng.getrandbits(48)
        self._pending[probe_id] = PendingProbe(target.instance, target.incarnation, now)
        return probe_id

    def start_relayed(self, now: float, reply_to: Address, requested_id: int) -> int | None:
        """Record a probe for another node and return its ID, or None if there are too many."""
        if len(self._relayed) > MAX_RELAYED_PROBES:
            return None
        probe_id = self.rng.getrandbits(48)
        self._relayed[probe_id] = RelayedProbe(reply_to, requested_id, now)
        return probe_id

    def pop(self, probe_id: int) -> tuple[PendingProbe | None, RelayedProbe | None]:
        """Remove and return the direct and the relayed probe with this ID."""
        return self._pending.pop(probe_id, None), self._relayed.pop(probe_id, None)

    def pop_timed_out(self, now: float) -> list[PendingProbe]:
        """Remove and return the probes that got neither a direct nor an indirect answer in time."""
        timeout = self.times.direct_timeout + self.times.indirect_timeout
        for probe_id, relayed in list(self._relayed.items()):
            if now - relayed.started_at > timeout:
                del self._relayed[probe_id]
        timed_out = {n: p for n, p in self._pending.items() if now - p.sent_at >= timeout}
        for probe_id in timed_out:
            del self._pending[probe_id]
        return list(timed_out.values())

    def start_indirect(self, now: float) -> list[tuple[int, PendingProbe]]:
        """Return, once each, the probes without a direct answer that other nodes should repeat."""
        unanswered = [
            (probe_id, probe)
            for probe_id, probe in self._pending.items()
            if now - probe.sent_at >= self.times.direct_timeout and not probe.indirect_started
        ]
        for probe_id, probe in unanswered:
            self._pending[probe_id] = probe._replace(indirect_started=True)
        return unanswered

    def clear(self) -> None:
        """Remove all probes."""
        self._pending.clear()
        self._relayed.clear()


class ProbeScheduler:
    """Alternates between the successor on a hash ring and a shuffled round over all members.

    Random probes alone detect a death within one period on average, but one death in eight takes
    more than two periods. On the ring each instance has one node that probes it every second
    period, which bounds the detection time. The shuffled round detects deaths whose ring
    predecessor died at the same time.
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
        """Probe an instance ahead of the regular order."""
        if instance not in self._priority and len(self._priority) < MAX_PRIORITY_PROBES:
            self._priority.append(instance)

    def next_target(self, view: MemberView, me: Member) -> Member | None:
        """Return the member to probe now, or None if there is no other member."""
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
        """Return up to ``count`` random live members other than ``me`` and ``exclude``."""
        live = self._live_members(view, me)
        if exclude:
            live = [m for m in live if m.instance != exclude]
        return self.rng.sample(live, min(count, len(live)))

    def _live_members(self, view: MemberView, me: Member) -> list[Member]:
        # Cached: it runs several times per second, and scanning a thousand members delays requests.
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
    own_position = _ring_position(me.instance)
    return min(live, key=lambda m: (_ring_position(m.instance) - own_position) % (1 << 64))
