"""The gossip state machine: probes, suspicion, refutation. No sockets and no clock of its own.

Time is handed in with every call; what is to be sent comes back. Ways weighed and figures:
docs/design/membership.md.
"""

import math
from collections.abc import Callable, Iterable
from random import Random
from typing import Any, NamedTuple

from dunlinsaddle.membership.departed import Departed
from dunlinsaddle.membership.messages import (
    Ack,
    AnyMessage,
    Level,
    Ping,
    PingRequest,
    Rumor,
    Sync,
    Word,
    details_of,
    member_of,
    stands_for,
    word_of,
)
from dunlinsaddle.membership.probing import Outstanding, ProbeOrder, Probes
from dunlinsaddle.membership.rumors import Budget, Rumors
from dunlinsaddle.membership.suspects import Suspects
from dunlinsaddle.membership.sync import Exchange, SyncTurns
from dunlinsaddle.membership.tuning import GossipSizes, GossipTimes
from dunlinsaddle.membership.view import Member, MemberView, State
from dunlinsaddle.settings import Address

MAX_STEP = 1 << 40  #: how far beyond our own an incarnation may be that we answer by going past it
RETURN_PROBES = 30  #: of the whole fleet, when one who was held dead comes back


class Send(NamedTuple):
    """A message to be sent."""

    to: Address
    message: AnyMessage


class Gossip:
    """What one node knows of the others, and what it sends to find out more."""

    def __init__(
        self,
        view: MemberView,
        rng: Random,
        times: GossipTimes = GossipTimes(),  # noqa: B008
        sizes: GossipSizes = GossipSizes(),  # noqa: B008
    ) -> None:
        self.view = view
        self.rng = rng
        self.times = times
        self.sizes = sizes
        self.me: Member
        self.news = 0  #: version of the newest configuration held here; each message tells it
        self.on_news: Callable[[Member, int], None] = lambda member, version: None
        #: Is told the service and the level that one of its targets admits.
        self.on_level: Callable[[str, float], None] = lambda service, level: None
        self.turns = SyncTurns(rng, times, sizes)
        self.rumors = Rumors(sizes.extra_sends)
        self.budget = Budget(sizes.bytes_per_second, sizes.burst)
        self.order = ProbeOrder(rng)
        self.suspects = Suspects(times)
        self.departed = Departed(view, times.forget)
        self.probes = Probes(rng, times)
        self.exchange = Exchange(view, rng, self.budget, self.departed, sizes)
        self._probe_at = self._revisit_at = self._ticked = 0.0

    def start(self, now: float, me: Member) -> None:
        """Begin with the word on oneself."""
        self.me = me
        self._ticked = now
        self._probe_at = now + self.rng.random() * self.times.probe
        self._revisit_at = now + self.rng.random() * self.times.revisit
        self.turns.at = now
        self.budget.refill(now)
        self.view.take(me)
        self.rumors.add(word_of(me))

    def contact(self, now: float, addresses: Iterable[Address]) -> None:
        """Compare views soon with those at these addresses."""
        self.turns.contact(now, {*addresses} - {self.me.gossip})

    def announce(self, me: Member) -> None:
        """Spread a changed word on oneself, under a new incarnation."""
        if me._replace(incarnation=self.me.incarnation) == self.me:
            return
        self.me = me._replace(incarnation=self.me.incarnation + 1)
        self.view.take(self.me)
        self.rumors.add(word_of(self.me))

    def leave(self) -> list[Send]:
        """Say goodbye to a few, who pass it on."""
        self.announce(self.me._replace(state=State.LEFT))
        peers = self._others(self.sizes.relays + self.sizes.fanout)
        return [Send(m.gossip, self._rumor([word_of(self.me)])) for m in peers]

    def tick(self, now: float) -> list[Send]:
        """Do what is due."""
        self.budget.refill(now)
        self._forgive(now)
        self._ticked = now
        sends = self._time_out(now)
        self._conclude(now)
        if now >= self._probe_at:
            self._probe_at = now + self.times.probe
            sends += self._probe(now)
        if now >= self._revisit_at:
            self._revisit_at = now + self.times.revisit
            sends += self._revisit(now)
        if now >= self.turns.at:
            sends += self._begin_sync(now)
        return sends + self.spread()

    def receive(self, now: float, message: AnyMessage) -> list[Send]:
        """Take a message that was opened with the shared key."""
        if message.sender == self.me.instance and message.reply_to == self.me.gossip:
            return []
        if self.view.find(message.sender) is None:
            # A node that restarted while the platform is out knows nobody. Its peers still
            # ping its address: whoever does can tell it of all the others.
            self.contact(now, [message.reply_to])
        for word in message.words:
            self._hear(now, word)
        if message.news > self.news:
            self._hear_news(message)
        match message:
            case Ping(number=number):
                return [self._answer(message, Ack(**self._head(), number=number))]
            case Ack():
                return self._acked(message)
            case PingRequest():
                return self._relay(now, message)
            case Sync():
                return self._compare(now, message)
            case Level(level=level):
                self._hear_level(message.sender, level)
                return []
            case _:
                return []

    def tell_news(self, version: int, members: Iterable[Member] = ()) -> list[Send]:
        """Tell a newer version to a few others at random, and to ``members``."""
        self.news = version
        told = {*self._others(self.sizes.news_fanout), *members}
        return [Send(m.gossip, self._rumor([])) for m in told]

    def tell_level(self, level: float) -> list[Send]:
        """Tell the level that the target beside this node admits to some others at random.

        To so many that each member hears twice a round: by chance some hear nothing in one.
        """
        targets = max(len(self.view.serving(self.me.service)), 1)
        count = min(math.ceil(2 * len(self.view) / targets), self.sizes.level_fanout)
        return [Send(m.gossip, Level(**self._head([]), level=level)) for m in self._others(count)]

    def _hear_level(self, sender: str, level: float) -> None:
        member = self.view.find(sender)
        if member is not None and member.service:
            self.on_level(member.service, level)

    def _hear_news(self, message: AnyMessage) -> None:
        sender = self.view.find(message.sender)
        if sender is not None:
            self.on_news(sender, message.news)

    def _hear(self, now: float, word: Word) -> None:
        if word.instance == self.me.instance:
            self._refute(word)
            return
        held = self.view.find(word.instance)
        if held is None:
            self._meet(now, word)
            return
        if (word.incarnation, word.state) <= (held.incarnation, held.state):
            return
        if word.state == State.DEAD and not held.gone and word.incarnation == held.incarnation:
            # Death is concluded by each node for itself, from a suspicion that nobody denied.
            # Were it taken from others, the first words after a cut has healed would kill
            # the living in the views of their own failure domain.
            self.order.first(word.instance)
            return
        details = word.details
        if details is None and stands_for(word, held):
            details = details_of(held)
        if details is not None:
            self._take(now, member_of(word, details), word.age)

    def _meet(self, now: float, word: Word) -> None:
        if word.details is None or self.departed.is_old(word.instance, word.incarnation):
            return
        if word.age >= self.times.forget:
            return
        self._take(now, member_of(word, word.details), word.age)

    def _take(self, now: float, member: Member, age: int = 0) -> None:
        before = self.view.find(member.instance)
        if not self.view.take(member):
            return
        if before is not None and before.state == State.DEAD and not member.gone:
            self._call_on(member)
        self.suspects.drop(member.instance)
        self.departed.returned(member.instance)
        if member.state == State.SUSPECT:
            self.suspects.begin(now, member.instance)
        if member.gone:
            self.departed.note(now - age, member.instance)
        if member.state != State.DEAD:
            known = before is not None and details_of(before) == details_of(member)
            self.rumors.add(word_of(member, full=not known))

    def _call_on(self, returned: Member) -> None:
        """Probe one who was held dead, in the hope of hearing what it holds of us."""
        # After a cut it may hold us dead as well, and only one of its side can tell us. When a
        # single one returns, a few of the whole fleet ask; when a failure domain does, each
        # asks a few of its members.
        if self.rng.random() * (len(self.order) + 1) < RETURN_PROBES:
            self.order.first(returned.instance)

    def _refute(self, word: Word) -> None:
        mine = (self.me.incarnation, self.me.state)
        if (word.incarnation, word.state) <= mine or self.me.state == State.LEFT:
            return
        # An older self whose clock ran ahead, or a suspicion: both end with a higher number.
        # Without the bound one absurd number would leave no higher one to answer with.
        if word.incarnation - self.me.incarnation > MAX_STEP:
            return
        # Words without details suffice for those who know us, and after a cut all refute at once.
        restarted = word.incarnation > self.me.incarnation
        self.me = self.me._replace(incarnation=word.incarnation + 1)
        self.view.take(self.me)
        self.rumors.add(word_of(self.me, full=restarted))

    def _probe(self, now: float) -> list[Send]:
        target = self.order.next(self.view, self.me)
        return [] if target is None else [self._ping(now, target)]

    def _revisit(self, now: float) -> list[Send]:
        """Ping one of the dead: after a cut this is how the sides find each other again.

        One that said goodbye may start again at its address while the platform, which would
        show it the others, is out; so it is asked for a while, too.
        """
        gone = [m for m in self.departed.members() if self._may_return(now, m)]
        return [self._ping(now, self.rng.choice(gone))] if gone else []

    def _may_return(self, now: float, member: Member) -> bool:
        left_for = self.departed.age(now, member.instance)
        return member.state == State.DEAD or left_for < self.times.left_revisit

    def _ping(self, now: float, target: Member) -> Send:
        number = self.probes.begin(now, target)
        words = self._words()
        if target.state in (State.SUSPECT, State.DEAD):
            # The target learns what is said of it, and can deny it.
            words = [word_of(target, full=False), *words]
        return Send(target.gossip, Ping(**self._head(words), number=number))

    def _acked(self, ack: Ack) -> list[Send]:
        probe, relayed = self.probes.answered(ack.number)
        held = self.view.find(probe.instance) if probe else None
        if held is not None and held.state == State.DRAINING:
            self.suspects.drop(held.instance)
        if relayed is None:
            return []
        return [Send(relayed.reply_to, Ack(**self._head(), number=relayed.number))]

    def _relay(self, now: float, req: PingRequest) -> list[Send]:
        target = self.view.find(req.target)
        number = target and self.probes.relay(now, req.reply_to, req.number)
        if target is None or number is None:
            return []
        return [Send(target.gossip, Ping(**self._head(), number=number))]

    def _time_out(self, now: float) -> list[Send]:
        for probe in self.probes.silent(now):
            self._suspect(now, probe)
        overdue = self.probes.overdue(now)
        return [send for number, probe in overdue for send in self._ask_others(number, probe)]

    def _ask_others(self, number: int, probe: Outstanding) -> list[Send]:
        held = self.view.find(probe.instance)
        if held is None or held.gone:
            return []
        others = self._others(self.sizes.relays, probe.instance)
        return [
            Send(m.gossip, PingRequest(**self._head(), number=number, target=probe.instance))
            for m in others
        ]

    def _suspect(self, now: float, probe: Outstanding) -> None:
        held = self.view.find(probe.instance)
        if held is None or held.incarnation != probe.incarnation:
            return
        if held.state == State.ALIVE:
            self._take(now, held._replace(state=State.SUSPECT))
        elif held.state == State.DRAINING:
            self.suspects.begin(now, held.instance)

    def _forgive(self, now: float) -> None:
        """Start all waits anew after a pause of our own."""
        # A paused process wakes to probes that were all answered while it slept, and would
        # suspect and then bury the whole fleet.
        if now - self._ticked <= self.times.stall:
            return
        self.probes.clear()
        self.suspects.restart(now)
        # Denials that were spread meanwhile will not be sent again: ask what was missed.
        self.turns.join(now)

    def _conclude(self, now: float) -> None:
        for instance in self.suspects.take_out(now):
            # Passed on after a cut has healed, the suspicion would start all over again.
            self.rumors.drop(instance)
            held = self.view.find(instance)
            if held is not None:
                self._take(now, held._replace(state=State.DEAD))
        self.departed.forget_old(now)

    def _begin_sync(self, now: float) -> list[Send]:
        others = [m.gossip for m in self._others(self.turns.count)]
        return [Send(to, self._sync()) for to in self.turns.take(now, self.me.gossip, others)]

    def _sync(self, *, answer: bool = False) -> Sync:
        digests = self.view.digests.numbers()
        return Sync(**self._head([word_of(self.me)]), digests=digests, answer=answer)

    def _compare(self, now: float, sync: Sync) -> list[Send]:
        differing = self.exchange.differing(sync)
        if not differing:
            return []
        pages = self.exchange.pages(now, differing)
        sends = [self._answer(sync, self._rumor(page)) for page in pages]
        if not sync.answer:
            sends.append(self._answer(sync, self._sync(answer=True)))
        else:
            self.turns.again_if_young(now, len(differing))
        return sends

    def spread(self) -> list[Send]:
        """Pass fresh words on without waiting for the next probe."""
        sends: list[Send] = []
        if not len(self.rumors):
            return sends
        for member in self._others(self.sizes.fanout):
            words = self._words()
            if words:
                sends.append(Send(member.gossip, self._rumor(words)))
        return sends

    def _words(self) -> list[Word]:
        return self.rumors.take(self.sizes.words, self.budget, len(self.order))

    def _answer(self, message: AnyMessage, answer: AnyMessage) -> Send:
        held = self.view.find(message.sender)
        if held is not None and held.state != State.ALIVE:
            # Whoever is thought dead while it talks has a right to hear it, and to deny it.
            answer.words = [word_of(held, full=False), *answer.words]
        return Send(message.reply_to, answer)

    def _others(self, count: int, but: str = '') -> list[Member]:
        return self.order.sample(self.view, self.me, count, but)

    def head(self) -> dict[str, Any]:
        """Give the head of a message that carries no words."""
        return self._head([])

    def _head(self, words: list[Word] | None = None) -> dict[str, Any]:
        words = self._words() if words is None else words
        head = {'sender': self.me.instance, 'reply_to': self.me.gossip}
        return {**head, 'words': words, 'news': self.news}

    def _rumor(self, words: list[Word]) -> Rumor:
        return Rumor(**self._head(words))
