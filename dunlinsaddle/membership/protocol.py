"""The gossip state machine: probes, suspicion, refutation. No sockets and no clock of its own.

Time is handed in with every call; what is to be sent comes back. Ways weighed and figures:
docs/design/membership.md.
"""

import math
from collections.abc import Callable, Iterable
from random import Random
from typing import Any, NamedTuple

from dunlinsaddle.membership.messages import (
    Ack,
    AnyMessage,
    LevelReport,
    MemberUpdate,
    Ping,
    PingRequest,
    Rumor,
    Sync,
    details_of,
    has_omitted_details,
    member_of,
    update_of,
)
from dunlinsaddle.membership.probing import PendingProbe, PendingProbes, ProbeScheduler
from dunlinsaddle.membership.rumors import ByteBudget, RumorQueue
from dunlinsaddle.membership.suspicion import SuspicionTimers
from dunlinsaddle.membership.sync import SyncResponder, SyncSchedule
from dunlinsaddle.membership.tombstones import Tombstones
from dunlinsaddle.membership.tuning import GossipLimits, GossipTimes
from dunlinsaddle.membership.view import Member, MemberView, State
from dunlinsaddle.settings import Address

MAX_INCARNATION_STEP = (
    1 << 40
)  #: how far beyond our own an incarnation may be that we answer by going past it
RETURN_PROBE_COUNT = 30  #: of the whole fleet, when one who was held dead comes back


class OutgoingMessage(NamedTuple):
    """A message to be sent."""

    to: Address
    message: AnyMessage


class GossipProtocol:
    """What one node knows of the others, and what it sends to find out more."""

    def __init__(
        self,
        view: MemberView,
        rng: Random,
        times: GossipTimes = GossipTimes(),  # noqa: B008
        sizes: GossipLimits = GossipLimits(),  # noqa: B008
    ) -> None:
        self.view = view
        self.rng = rng
        self.times = times
        self.sizes = sizes
        self.me: Member
        self.news = 0  #: version of the newest configuration held here; each message tells it
        self.on_configuration_version: Callable[[Member, int], None] = lambda member, version: None
        #: Is told the service and the level that one of its targets admits.
        self.on_level: Callable[[str, float], None] = lambda service, level: None
        self.sync_schedule = SyncSchedule(rng, times, sizes)
        self.rumors = RumorQueue(sizes.extra_transmissions)
        self.budget = ByteBudget(sizes.bytes_per_second, sizes.burst_bytes)
        self.probe_scheduler = ProbeScheduler(rng)
        self.suspicions = SuspicionTimers(times)
        self.tombstones = Tombstones(view, times.tombstone_ttl)
        self.pending_probes = PendingProbes(rng, times)
        self.sync_responder = SyncResponder(view, rng, self.budget, self.tombstones, sizes)
        self._probe_at = self._dead_probe_at = self._last_tick = 0.0

    def start(self, now: float, me: Member) -> None:
        """Begin with the word on oneself."""
        self.me = me
        self._last_tick = now
        self._probe_at = now + self.rng.random() * self.times.probe_interval
        self._dead_probe_at = now + self.rng.random() * self.times.dead_probe_interval
        self.sync_schedule.next_at = now
        self.budget.refill(now)
        self.view.merge(me)
        self.rumors.add(update_of(me))

    def request_sync(self, now: float, addresses: Iterable[Address]) -> None:
        """Compare views soon with those at these addresses."""
        self.sync_schedule.add_contacts(now, {*addresses} - {self.me.gossip})

    def announce(self, me: Member) -> None:
        """Spread a changed word on oneself, under a new incarnation."""
        if me._replace(incarnation=self.me.incarnation) == self.me:
            return
        self.me = me._replace(incarnation=self.me.incarnation + 1)
        self.view.merge(self.me)
        self.rumors.add(update_of(self.me))

    def leave(self) -> list[OutgoingMessage]:
        """Say goodbye to a few, who pass it on."""
        self.announce(self.me._replace(state=State.LEFT))
        peers = self._random_members(self.sizes.indirect_probes + self.sizes.rumor_fanout)
        return [OutgoingMessage(m.gossip, self._build_rumor([update_of(self.me)])) for m in peers]

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Do what is due."""
        self.budget.refill(now)
        self._recover_from_stall(now)
        self._last_tick = now
        sends = self._expire_probes(now)
        self._expire_suspicions(now)
        if now >= self._probe_at:
            self._probe_at = now + self.times.probe_interval
            sends += self._probe(now)
        if now >= self._dead_probe_at:
            self._dead_probe_at = now + self.times.dead_probe_interval
            sends += self._probe_dead(now)
        if now >= self.sync_schedule.next_at:
            sends += self._start_sync(now)
        return sends + self.send_rumors()

    def receive(self, now: float, message: AnyMessage) -> list[OutgoingMessage]:
        """Take a message that was opened with the shared key."""
        if message.sender == self.me.instance and message.reply_to == self.me.gossip:
            return []
        if self.view.find(message.sender) is None:
            # A node that restarted while the platform is out knows nobody. Its peers still
            # ping its address: whoever does can tell it of all the others.
            self.request_sync(now, [message.reply_to])
        for word in message.words:
            self._apply_update(now, word)
        if message.news > self.news:
            self._receive_configuration_version(message)
        match message:
            case Ping(probe_id=probe_id):
                return [self._reply(message, Ack(**self._message_header(), probe_id=probe_id))]
            case Ack():
                return self._receive_ack(message)
            case PingRequest():
                return self._relay_probe(now, message)
            case Sync():
                return self._receive_sync(now, message)
            case LevelReport(level=level):
                self._receive_level(message.sender, level)
                return []
            case _:
                return []

    def announce_configuration(
        self, version: int, members: Iterable[Member] = ()
    ) -> list[OutgoingMessage]:
        """Tell a newer version to a few others at random, and to ``members``."""
        self.news = version
        told = {*self._random_members(self.sizes.configuration_fanout), *members}
        return [OutgoingMessage(m.gossip, self._build_rumor([])) for m in told]

    def send_level(self, level: float) -> list[OutgoingMessage]:
        """Tell the level that the target beside this node admits to some others at random.

        To so many that each member hears twice a round: by chance some hear nothing in one.
        """
        targets = max(len(self.view.serving_members(self.me.service)), 1)
        count = min(math.ceil(2 * len(self.view) / targets), self.sizes.max_level_fanout)
        return [
            OutgoingMessage(m.gossip, LevelReport(**self._message_header([]), level=level))
            for m in self._random_members(count)
        ]

    def _receive_level(self, sender: str, level: float) -> None:
        member = self.view.find(sender)
        if member is not None and member.service:
            self.on_level(member.service, level)

    def _receive_configuration_version(self, message: AnyMessage) -> None:
        sender = self.view.find(message.sender)
        if sender is not None:
            self.on_configuration_version(sender, message.news)

    def _apply_update(self, now: float, word: MemberUpdate) -> None:
        if word.instance == self.me.instance:
            self._refute(word)
            return
        held = self.view.find(word.instance)
        if held is None:
            self._add_member(now, word)
            return
        if (word.incarnation, word.state) <= (held.incarnation, held.state):
            return
        if word.state == State.DEAD and not held.is_gone and word.incarnation == held.incarnation:
            # Death is concluded by each node for itself, from a suspicion that nobody denied.
            # Were it taken from others, the first words after a cut has healed would kill
            # the living in the views of their own failure domain.
            self.probe_scheduler.prioritize(word.instance)
            return
        details = word.details
        if details is None and has_omitted_details(word, held):
            details = details_of(held)
        if details is not None:
            self._merge(now, member_of(word, details), word.age)

    def _add_member(self, now: float, word: MemberUpdate) -> None:
        if word.details is None or self.tombstones.is_outdated(word.instance, word.incarnation):
            return
        if word.age >= self.times.tombstone_ttl:
            return
        self._merge(now, member_of(word, word.details), word.age)

    def _merge(self, now: float, member: Member, age: int = 0) -> None:
        before = self.view.find(member.instance)
        if not self.view.merge(member):
            return
        if before is not None and before.state == State.DEAD and not member.is_gone:
            self._probe_returned(member)
        self.suspicions.remove(member.instance)
        self.tombstones.remove(member.instance)
        if member.state == State.SUSPECT:
            self.suspicions.start(now, member.instance)
        if member.is_gone:
            self.tombstones.add(now - age, member.instance)
        if member.state != State.DEAD:
            known = before is not None and details_of(before) == details_of(member)
            self.rumors.add(update_of(member, full=not known))

    def _probe_returned(self, returned: Member) -> None:
        """Probe one who was held dead, in the hope of hearing what it holds of us."""
        # After a cut it may hold us dead as well, and only one of its side can tell us. When a
        # single one returns, a few of the whole fleet ask; when a failure domain does, each
        # asks a few of its members.
        if self.rng.random() * (len(self.probe_scheduler) + 1) < RETURN_PROBE_COUNT:
            self.probe_scheduler.prioritize(returned.instance)

    def _refute(self, word: MemberUpdate) -> None:
        mine = (self.me.incarnation, self.me.state)
        if (word.incarnation, word.state) <= mine or self.me.state == State.LEFT:
            return
        # An older self whose clock ran ahead, or a suspicion: both end with a higher probe_id.
        # Without the bound one absurd probe_id would leave no higher one to answer with.
        if word.incarnation - self.me.incarnation > MAX_INCARNATION_STEP:
            return
        # Words without details suffice for those who know us, and after a cut all refute at once.
        restarted = word.incarnation > self.me.incarnation
        self.me = self.me._replace(incarnation=word.incarnation + 1)
        self.view.merge(self.me)
        self.rumors.add(update_of(self.me, full=restarted))

    def _probe(self, now: float) -> list[OutgoingMessage]:
        target = self.probe_scheduler.next_target(self.view, self.me)
        return [] if target is None else [self._ping(now, target)]

    def _probe_dead(self, now: float) -> list[OutgoingMessage]:
        """Ping one of the dead: after a cut this is how the sides find each other again.

        One that said goodbye may start again at its address while the platform, which would
        show it the others, is out; so it is asked for a while, too.
        """
        gone = [m for m in self.tombstones.members() if self._may_return(now, m)]
        return [self._ping(now, self.rng.choice(gone))] if gone else []

    def _may_return(self, now: float, member: Member) -> bool:
        left_for = self.tombstones.age(now, member.instance)
        return member.state == State.DEAD or left_for < self.times.left_probe_period

    def _ping(self, now: float, target: Member) -> OutgoingMessage:
        probe_id = self.pending_probes.start(now, target)
        words = self._next_updates()
        if target.state in (State.SUSPECT, State.DEAD):
            # The target learns what is said of it, and can deny it.
            words = [update_of(target, full=False), *words]
        return OutgoingMessage(
            target.gossip, Ping(**self._message_header(words), probe_id=probe_id)
        )

    def _receive_ack(self, ack: Ack) -> list[OutgoingMessage]:
        probe, relayed = self.pending_probes.pop(ack.probe_id)
        held = self.view.find(probe.instance) if probe else None
        if held is not None and held.state == State.DRAINING:
            self.suspicions.remove(held.instance)
        if relayed is None:
            return []
        return [
            OutgoingMessage(
                relayed.reply_to, Ack(**self._message_header(), probe_id=relayed.probe_id)
            )
        ]

    def _relay_probe(self, now: float, req: PingRequest) -> list[OutgoingMessage]:
        target = self.view.find(req.target)
        probe_id = target and self.pending_probes.start_relayed(now, req.reply_to, req.probe_id)
        if target is None or probe_id is None:
            return []
        return [OutgoingMessage(target.gossip, Ping(**self._message_header(), probe_id=probe_id))]

    def _expire_probes(self, now: float) -> list[OutgoingMessage]:
        for probe in self.pending_probes.pop_timed_out(now):
            self._suspect(now, probe)
        overdue = self.pending_probes.start_indirect(now)
        return [
            send
            for probe_id, probe in overdue
            for send in self._request_indirect_probes(probe_id, probe)
        ]

    def _request_indirect_probes(self, probe_id: int, probe: PendingProbe) -> list[OutgoingMessage]:
        held = self.view.find(probe.instance)
        if held is None or held.is_gone:
            return []
        others = self._random_members(self.sizes.indirect_probes, probe.instance)
        return [
            OutgoingMessage(
                m.gossip,
                PingRequest(**self._message_header(), probe_id=probe_id, target=probe.instance),
            )
            for m in others
        ]

    def _suspect(self, now: float, probe: PendingProbe) -> None:
        held = self.view.find(probe.instance)
        if held is None or held.incarnation != probe.incarnation:
            return
        if held.state == State.ALIVE:
            self._merge(now, held._replace(state=State.SUSPECT))
        elif held.state == State.DRAINING:
            self.suspicions.start(now, held.instance)

    def _recover_from_stall(self, now: float) -> None:
        """Start all waits anew after a pause of our own."""
        # A paused process wakes to probes that were all answered while it slept, and would
        # suspect and then bury the whole fleet.
        if now - self._last_tick <= self.times.stall_threshold:
            return
        self.pending_probes.clear()
        self.suspicions.restart_all(now)
        # Denials that were spread meanwhile will not be sent again: ask what was missed.
        self.sync_schedule.schedule_join(now)

    def _expire_suspicions(self, now: float) -> None:
        for instance in self.suspicions.pop_expired(now):
            # Passed on after a cut has healed, the suspicion would start all over again.
            self.rumors.remove(instance)
            held = self.view.find(instance)
            if held is not None:
                self._merge(now, held._replace(state=State.DEAD))
        self.tombstones.expire(now)

    def _start_sync(self, now: float) -> list[OutgoingMessage]:
        others = [m.gossip for m in self._random_members(self.sync_schedule.peer_count)]
        return [
            OutgoingMessage(to, self._build_sync())
            for to in self.sync_schedule.next_peers(now, self.me.gossip, others)
        ]

    def _build_sync(self, *, is_reply: bool = False) -> Sync:
        digests = self.view.digests.numbers()
        return Sync(
            **self._message_header([update_of(self.me)]), digests=digests, is_reply=is_reply
        )

    def _receive_sync(self, now: float, sync: Sync) -> list[OutgoingMessage]:
        differing = self.sync_responder.differing_buckets(sync)
        if not differing:
            return []
        pages = self.sync_responder.build_pages(now, differing)
        sends = [self._reply(sync, self._build_rumor(page)) for page in pages]
        if not sync.is_reply:
            sends.append(self._reply(sync, self._build_sync(is_reply=True)))
        else:
            self.sync_schedule.resync_if_joining(now, len(differing))
        return sends

    def send_rumors(self) -> list[OutgoingMessage]:
        """Pass fresh words on without waiting for the next probe."""
        sends: list[OutgoingMessage] = []
        if not len(self.rumors):
            return sends
        for member in self._random_members(self.sizes.rumor_fanout):
            words = self._next_updates()
            if words:
                sends.append(OutgoingMessage(member.gossip, self._build_rumor(words)))
        return sends

    def _next_updates(self) -> list[MemberUpdate]:
        return self.rumors.next_updates(
            self.sizes.max_update_bytes, self.budget, len(self.probe_scheduler)
        )

    def _reply(self, message: AnyMessage, answer: AnyMessage) -> OutgoingMessage:
        held = self.view.find(message.sender)
        if held is not None and held.state != State.ALIVE:
            # Whoever is thought dead while it talks has a right to hear it, and to deny it.
            answer.words = [update_of(held, full=False), *answer.words]
        return OutgoingMessage(message.reply_to, answer)

    def _random_members(self, count: int, exclude: str = '') -> list[Member]:
        return self.probe_scheduler.sample(self.view, self.me, count, exclude)

    def message_header(self) -> dict[str, Any]:
        """Give the head of a message that carries no words."""
        return self._message_header([])

    def _message_header(self, words: list[MemberUpdate] | None = None) -> dict[str, Any]:
        words = self._next_updates() if words is None else words
        header = {'sender': self.me.instance, 'reply_to': self.me.gossip}
        return {**header, 'words': words, 'news': self.news}

    def _build_rumor(self, words: list[MemberUpdate]) -> Rumor:
        return Rumor(**self._message_header(words))
