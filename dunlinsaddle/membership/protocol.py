"""State machine of the SWIM gossip protocol: probes, suspicion, refutation and sync.

It has no sockets and no clock: each call takes the current time and returns the messages to send.
Alternatives and measurements: docs/design/membership.md.
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
    has_same_details,
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

#: Larger increments of this node's incarnation by others are ignored, see ``_refute``.
MAX_INCARNATION_STEP = 1 << 40
RETURN_PROBE_COUNT = 30  #: probes of the whole fleet, on average, to a member that was dead


class OutgoingMessage(NamedTuple):
    """A message and its destination."""

    to: Address
    message: AnyMessage


class GossipProtocol:
    """Runs the gossip protocol for one node."""

    def __init__(
        self,
        view: MemberView,
        rng: Random,
        times: GossipTimes = GossipTimes(),  # noqa: B008
        limits: GossipLimits = GossipLimits(),  # noqa: B008
    ) -> None:
        self.view = view
        self.rng = rng
        self.times = times
        self.limits = limits
        self.me: Member
        #: Version of the newest configuration of this node, sent with each message.
        self.configuration_version = 0
        self.on_configuration_version: Callable[[Member, int], None] = lambda member, version: None
        #: Called with a service and the admission level of one of its targets.
        self.on_level: Callable[[str, float], None] = lambda service, level: None
        self.sync_schedule = SyncSchedule(rng, times, limits)
        self.rumors = RumorQueue(limits.extra_transmissions)
        self.budget = ByteBudget(limits.bytes_per_second, limits.burst_bytes)
        self.probe_scheduler = ProbeScheduler(rng)
        self.suspicions = SuspicionTimers(times)
        self.tombstones = Tombstones(view, times.tombstone_ttl)
        self.pending_probes = PendingProbes(rng, times)
        self.sync_responder = SyncResponder(view, rng, self.budget, self.tombstones, limits)
        self._introductions_left = 0  #: see introduce_target
        self._probe_at = self._dead_probe_at = self._last_tick = 0.0

    def start(self, now: float, me: Member) -> None:
        """Add this node to its own view and start the timers."""
        self.me = me
        self._last_tick = now
        self._probe_at = now + self.rng.random() * self.times.probe_interval
        self._dead_probe_at = now + self.rng.random() * self.times.dead_probe_interval
        self.sync_schedule.next_at = now
        self.budget.refill(now)
        self.view.merge(me)
        self.rumors.add(update_of(me))

    def request_sync(self, now: float, addresses: Iterable[Address]) -> None:
        """Sync soon with the nodes at these addresses."""
        self.sync_schedule.add_contacts(now, {*addresses} - {self.me.gossip})

    def announce(self, me: Member) -> None:
        """Publish a change of this node's own entry under a new incarnation."""
        if me._replace(incarnation=self.me.incarnation) == self.me:
            return
        self.me = me._replace(incarnation=self.me.incarnation + 1)
        self.view.merge(self.me)
        self.rumors.add(update_of(self.me))

    def announce_target(self) -> list[OutgoingMessage]:
        """Send this node's own entry, with a target that is new, to many members directly.

        Guards against this failure: all nodes restart, the updates of all members use up the byte
        budget, and nodes learn of a target up to a second after it was announced.
        """
        members = self._random_members(self.limits.target_fanout)
        self._introductions_left = self.limits.target_fanout - len(members)
        return [OutgoingMessage(m.gossip, self._build_rumor([update_of(self.me)])) for m in members]

    def introduce_target(self, member: Member) -> list[OutgoingMessage]:
        """Send this node's own entry, with its target, to a member that was unknown so far.

        Just after a restart, a node knows only some of the members to which it would have sent its
        target directly. The others would learn of it from rumors alone, up to a second later.
        """
        if not self.me.service or self._introductions_left <= 0:
            return []
        self._introductions_left -= 1
        return [OutgoingMessage(member.gossip, self._build_rumor([update_of(self.me)]))]

    def leave(self) -> list[OutgoingMessage]:
        """Leave the group; return messages to a few members, which spread the update."""
        self.announce(self.me._replace(state=State.LEFT))
        peers = self._random_members(self.limits.indirect_probes + self.limits.rumor_fanout)
        return [OutgoingMessage(m.gossip, self._build_rumor([update_of(self.me)])) for m in peers]

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Perform all periodic work that is due."""
        self.budget.refill(now)
        self._recover_from_stall(now)
        self._last_tick = now
        outgoing = self._expire_probes(now)
        self._expire_suspicions(now)
        if now >= self._probe_at:
            self._probe_at = now + self.times.probe_interval
            outgoing += self._probe(now)
        if now >= self._dead_probe_at:
            self._dead_probe_at = now + self.times.dead_probe_interval
            outgoing += self._probe_dead(now)
        if now >= self.sync_schedule.next_at:
            outgoing += self._start_sync(now)
        return outgoing + self.send_rumors()

    def receive(self, now: float, message: AnyMessage) -> list[OutgoingMessage]:
        """Process an authenticated message and return the messages to send."""
        if message.sender == self.me.instance and message.reply_to == self.me.gossip:
            return []
        if self.view.find(message.sender) is None:
            # A node that restarts during a platform outage knows no other node. Its peers still
            # ping its address, and a sync with the sender returns all other members.
            self.request_sync(now, [message.reply_to])
        for update in message.words:
            self._apply_update(now, update)
        if message.news > self.configuration_version:
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
        """Announce a newer configuration to a few random members and to ``members``."""
        self.configuration_version = version
        recipients = {*self._random_members(self.limits.configuration_fanout), *members}
        return [OutgoingMessage(m.gossip, self._build_rumor([])) for m in recipients]

    def send_level(self, level: float) -> list[OutgoingMessage]:
        """Report the admission level of the local target to random members.

        There are as many recipients as it takes for each member to receive two reports of the
        service per round on average, because some receive none in a round by chance.
        """
        targets = max(len(self.view.serving_members(self.me.service)), 1)
        count = min(math.ceil(2 * len(self.view) / targets), self.limits.max_level_fanout)
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

    def _apply_update(self, now: float, update: MemberUpdate) -> None:
        if update.instance == self.me.instance:
            self._refute(update)
            return
        current = self.view.find(update.instance)
        if current is None:
            self._add_member(now, update)
            return
        if (update.incarnation, update.state) <= (current.incarnation, current.state):
            return
        if (
            update.state == State.DEAD
            and not current.is_gone
            and update.incarnation == current.incarnation
        ):
            # Each node declares a death itself, after a suspicion that was not refuted. If it
            # accepted this from others, the first updates after a partition heals would mark
            # live members as dead in the views of their own failure domain.
            self.probe_scheduler.prioritize(update.instance)
            return
        details = update.details
        if details is None and has_same_details(update, current):
            details = details_of(current)
        if details is not None:
            self._merge(now, member_of(update, details), update.age)

    def _add_member(self, now: float, update: MemberUpdate) -> None:
        if update.details is None or self.tombstones.is_outdated(
            update.instance, update.incarnation
        ):
            return
        if update.age >= self.times.tombstone_ttl:
            return
        self._merge(now, member_of(update, update.details), update.age)

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
            details_known = before is not None and details_of(before) == details_of(member)
            self.rumors.add(update_of(member, full=not details_known))

    def _probe_returned(self, returned: Member) -> None:
        """Probe a member that was considered dead, to learn what it believes of this node."""
        # After a partition it may consider this node dead as well, and only nodes on its side of
        # the partition can report that. If a single member returns, a few nodes of the whole fleet
        # probe it; if a failure domain returns, each node probes a few of its members.
        if self.rng.random() * (len(self.probe_scheduler) + 1) < RETURN_PROBE_COUNT:
            self.probe_scheduler.prioritize(returned.instance)

    def _refute(self, update: MemberUpdate) -> None:
        own = (self.me.incarnation, self.me.state)
        if (update.incarnation, update.state) <= own or self.me.state == State.LEFT:
            return
        # Either a former run of this node had a clock that was ahead, or others suspect it. A
        # higher incarnation resolves both. Without the limit, one absurdly high incarnation would
        # make all further refutations impossible.
        if update.incarnation - self.me.incarnation > MAX_INCARNATION_STEP:
            return
        # Members that know this node need no details, which saves bytes when all members refute
        # at once after a partition.
        has_newer_incarnation = update.incarnation > self.me.incarnation
        self.me = self.me._replace(incarnation=update.incarnation + 1)
        self.view.merge(self.me)
        self.rumors.add(update_of(self.me, full=has_newer_incarnation))

    def _probe(self, now: float) -> list[OutgoingMessage]:
        target = self.probe_scheduler.next_target(self.view, self.me)
        return [] if target is None else [self._ping(now, target)]

    def _probe_dead(self, now: float) -> list[OutgoingMessage]:
        """Ping a dead member, so that the sides of a partition find each other after it heals.

        A member that left is pinged for a while, too: it may restart at its address during an
        outage of the platform, from which it would otherwise learn of the other members.
        """
        candidates = [m for m in self.tombstones.members() if self._may_return(now, m)]
        return [self._ping(now, self.rng.choice(candidates))] if candidates else []

    def _may_return(self, now: float, member: Member) -> bool:
        gone_seconds = self.tombstones.age(now, member.instance)
        return member.state == State.DEAD or gone_seconds < self.times.left_probe_period

    def _ping(self, now: float, target: Member) -> OutgoingMessage:
        probe_id = self.pending_probes.start(now, target)
        updates = self._next_updates()
        if target.state in (State.SUSPECT, State.DEAD):
            # The target learns its state in this view and can refute it.
            updates = [update_of(target, full=False), *updates]
        return OutgoingMessage(
            target.gossip, Ping(**self._message_header(updates), probe_id=probe_id)
        )

    def _receive_ack(self, ack: Ack) -> list[OutgoingMessage]:
        probe, relayed = self.pending_probes.pop(ack.probe_id)
        current = self.view.find(probe.instance) if probe else None
        if current is not None and current.state == State.DRAINING:
            self.suspicions.remove(current.instance)
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
        unanswered = self.pending_probes.start_indirect(now)
        return [
            message
            for probe_id, probe in unanswered
            for message in self._request_indirect_probes(probe_id, probe)
        ]

    def _request_indirect_probes(self, probe_id: int, probe: PendingProbe) -> list[OutgoingMessage]:
        current = self.view.find(probe.instance)
        if current is None or current.is_gone:
            return []
        peers = self._random_members(self.limits.indirect_probes, probe.instance)
        return [
            OutgoingMessage(
                m.gossip,
                PingRequest(**self._message_header(), probe_id=probe_id, target=probe.instance),
            )
            for m in peers
        ]

    def _suspect(self, now: float, probe: PendingProbe) -> None:
        current = self.view.find(probe.instance)
        if current is None or current.incarnation != probe.incarnation:
            return
        if current.state == State.ALIVE:
            self._merge(now, current._replace(state=State.SUSPECT))
        elif current.state == State.DRAINING:
            self.suspicions.start(now, current.instance)

    def _recover_from_stall(self, now: float) -> None:
        """Restart all timeouts after this process was paused."""
        # The answers to its probes arrived during the pause and were not processed; without this
        # the node would suspect the whole fleet and declare it dead.
        if now - self._last_tick <= self.times.stall_threshold:
            return
        self.pending_probes.clear()
        self.suspicions.restart_all(now)
        # Refutations that were spread meanwhile are not sent again; a sync fetches them.
        self.sync_schedule.schedule_join(now)

    def _expire_suspicions(self, now: float) -> None:
        for instance in self.suspicions.pop_expired(now):
            # A queued suspicion that is sent after a partition heals would start another one.
            self.rumors.remove(instance)
            current = self.view.find(instance)
            if current is not None:
                self._merge(now, current._replace(state=State.DEAD))
        self.tombstones.expire(now)

    def _start_sync(self, now: float) -> list[OutgoingMessage]:
        peers = [m.gossip for m in self._random_members(self.sync_schedule.peer_count)]
        return [
            OutgoingMessage(to, self._build_sync())
            for to in self.sync_schedule.next_peers(now, self.me.gossip, peers)
        ]

    def _build_sync(self, *, is_reply: bool = False) -> Sync:
        digests = self.view.digests.values()
        return Sync(
            **self._message_header([update_of(self.me)]), digests=digests, is_reply=is_reply
        )

    def _receive_sync(self, now: float, sync: Sync) -> list[OutgoingMessage]:
        differing = self.sync_responder.differing_buckets(sync)
        if not differing:
            return []
        pages = self.sync_responder.build_pages(now, differing)
        outgoing = [self._reply(sync, self._build_rumor(page)) for page in pages]
        if not sync.is_reply:
            outgoing.append(self._reply(sync, self._build_sync(is_reply=True)))
        else:
            self.sync_schedule.resync_if_joining(now, len(differing))
        return outgoing

    def send_rumors(self) -> list[OutgoingMessage]:
        """Return messages with pending updates, without waiting for the next probe."""
        outgoing: list[OutgoingMessage] = []
        if not len(self.rumors):
            return outgoing
        for member in self._random_members(self.limits.rumor_fanout):
            updates = self._next_updates()
            if updates:
                outgoing.append(OutgoingMessage(member.gossip, self._build_rumor(updates)))
        return outgoing

    def _next_updates(self) -> list[MemberUpdate]:
        return self.rumors.next_updates(
            self.limits.max_update_bytes, self.budget, len(self.probe_scheduler)
        )

    def _reply(self, message: AnyMessage, reply: AnyMessage) -> OutgoingMessage:
        current = self.view.find(message.sender)
        if current is not None and current.state != State.ALIVE:
            # A sender that is not considered alive learns this and can refute it.
            reply.words = [update_of(current, full=False), *reply.words]
        return OutgoingMessage(message.reply_to, reply)

    def _random_members(self, count: int, exclude: str = '') -> list[Member]:
        return self.probe_scheduler.sample(self.view, self.me, count, exclude)

    def message_header(self) -> dict[str, Any]:
        """Return the common fields of a message without updates."""
        return self._message_header([])

    def _message_header(self, updates: list[MemberUpdate] | None = None) -> dict[str, Any]:
        updates = self._next_updates() if updates is None else updates
        header = {'sender': self.me.instance, 'reply_to': self.me.gossip}
        return {**header, 'words': updates, 'news': self.configuration_version}

    def _build_rumor(self, updates: list[MemberUpdate]) -> Rumor:
        return Rumor(**self._message_header(updates))
