"""Brings every change of records from the platform to every node, through peers.

Two watchers per failure domain wait at the platform; each pushes what changed down a tree over
its own domain and to two members of every other one, which do the same in theirs. Slow exchanges
with a few fixed peers repair what a push missed. Nothing here has to agree with anyone: a
watcher too many costs a call, and one too few is found by the slow poll.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterable, Iterator
from random import Random
from typing import Any, NamedTuple

from result import Err, Ok

from dunlinsaddle.calls.messages import RecordFrame, RecordsPush, RecordsRequest, RecordsResponse
from dunlinsaddle.membership.view import Member, MemberView, State
from dunlinsaddle.platform.store import Listing, ObjectStore, Unavailable
from dunlinsaddle.records import topology
from dunlinsaddle.records.book import RecordBook
from dunlinsaddle.records.changes import entry_of
from dunlinsaddle.records.chunks import cut
from dunlinsaddle.records.history import RECORDS
from dunlinsaddle.records.models import RecordEntry
from dunlinsaddle.records.sync_parts import Links, PlatformState, SyncTimes, WatchGrace

REACH = 2  #: members of each other domain that a watcher pushes to
SEEN = 256
EXCHANGE_TRIES = 3


class _Choices(NamedTuple):
    """Whom a version of the view makes watch, and exchange with this node."""

    version: int
    watchers: list[str]
    neighbours: list[Member]


class RecordSync:
    """Keeps one node's book up to date."""

    def __init__(
        self,
        book: RecordBook,
        store: ObjectStore,
        view: MemberView,
        links: Links,
        me: Callable[[], Member],
        rng: Random,
        logger: logging.Logger,
        times: SyncTimes = SyncTimes(),  # noqa: B008 (immutable)
    ) -> None:
        self.book = book
        self.store = store
        self.view = view
        self.links = links
        self.me = me
        self.rng = rng
        self.logger = logger
        self.times = times
        self.platform = PlatformState()
        self.fresh_at = float('-inf')  #: up to then every change is known here
        self._failures = 0
        self._grace = WatchGrace(times)
        self._silent_until: dict[str, float] = {}
        self._seen: dict[tuple[str, int, int], None] = {}
        self._pushes: set[asyncio.Task[None]] = set()
        self._choices = _Choices(-1, [], [])

    async def run(self) -> None:
        """Keep the book up to date until cancelled."""
        # A fleet that starts as one must not ask the platform as one.
        await asyncio.sleep(self.rng.uniform(0, self.times.start_spread))
        await self._ask_some()
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._repeat(self._ask_platform))
                group.create_task(self._repeat(self._exchange))
        finally:
            for task in self._pushes:
                task.cancel()

    def watchers(self) -> list[str]:
        """Give the instances that should watch for this failure domain, as known here."""
        return list(self._chosen().watchers)

    def _chosen(self) -> _Choices:
        """Choose anew only when the view has changed: it sorts all members by their hash."""
        if self._choices.version != self.view.version:
            me = self.me()
            watchers = topology.watchers(me.domain, {*self._own(me), me.instance})
            near = topology.neighbours(me, self._others())
            self._choices = _Choices(self.view.version, watchers, near)
        return self._choices

    def take(self, frame: RecordFrame) -> RecordsResponse | None:
        """Take a frame from a peer; gives the answer to a question."""
        match frame:
            case RecordsRequest(id=number, since=since):
                return self._answer(number, since)
            case RecordsPush():
                self._take_push(frame)
        return None

    def status(self) -> dict[str, Any]:
        """Give what an operator wants to know of records and the platform at this node."""
        seconds = _now() - self.platform.changed_at
        state = {None: 'not asked', True: 'reachable', False: 'lost'}[self.platform.reachable]
        book = self.book
        return {
            'records': {
                e.service: {'version': e.version, 'since': book.since.get(e.service)}
                for e in book.entries()
            },
            'unreadable': {name: found._asdict() for name, found in book.unreadable.items()},
            'revision': book.complete_revision,
            'platform': {'state': state, 'for_seconds': round(seconds, 1)},
            'watchers': self.watchers(),
        }

    async def survey(self, most: int = 8) -> dict[str, list[RecordsResponse | None]]:
        """Ask up to ``most`` members of each failure domain how far they are."""
        by_domain: dict[str, list[Member]] = {}
        for member in self._others():
            by_domain.setdefault(member.domain, []).append(member)
        asked = [
            (domain, member)
            for domain, members in by_domain.items()
            for member in self.rng.sample(members, min(most, len(members)))
        ]
        upto = self.book.complete_revision
        answers = await asyncio.gather(
            *(self.links.fetch_records(m.peers, RecordsRequest(0, upto), 0.5) for _, m in asked)
        )
        found: dict[str, list[RecordsResponse | None]] = {}
        for (domain, _), answer in zip(asked, answers, strict=True):
            found.setdefault(domain, []).append(answer)
        return found

    def _answer(self, number: int, since: int) -> RecordsResponse:
        upto = self.book.complete_revision
        age = _now() - self.fresh_at
        entries = self.book.documents_after(since)
        chunk = next(cut(entries, since, max(upto, since)))
        more = chunk.upto < upto
        return RecordsResponse(number, min(chunk.upto, upto), age, more, chunk.entries)

    def _take_push(self, push: RecordsPush) -> None:
        new = self._take_entries(push.entries)
        self.book.complete(push.since, push.upto)
        me = self.me()
        if push.domain == me.domain and push.tree_root and self._first(push):
            self._push(self._children(me.instance, push.tree_root), push)
        if not new:
            return
        if push.domain != me.domain:
            # This domain may be cut off from the platform: what came in is for all of it.
            passed = RecordsPush(push.since, push.upto, me.domain, me.instance, push.entries)
            self._push(self._children(me.instance, me.instance), passed)
        # A node that is frozen, its links still open, ends a tree without a sign. News that
        # also goes from neighbour to neighbour gets round it without waiting for an exchange.
        near = [m for m in self._neighbours() if m.domain == me.domain]
        self._push(near, RecordsPush(push.since, push.upto, me.domain, '', push.entries))

    def _first(self, push: RecordsPush) -> bool:
        """Say whether a push comes down its tree for the first time.

        Not whether it brought news: two trees of different shape reach each node, and one that
        ended where the other was faster would not go round a node that is dead in that one.
        """
        key = (push.tree_root, push.since, push.upto)
        if key in self._seen:
            return False
        self._seen[key] = None
        if len(self._seen) > SEEN:
            self._seen.pop(next(iter(self._seen)))
        return True

    def _children(self, instance: str, root: str) -> list[Member]:
        """Give those whom an instance serves in the tree of ``root`` over this domain."""
        me = self.me()
        own = self._own(me)
        names = topology.children(root, {*own, me.instance}, instance)
        return [own[name] for name in names if name in own]

    def _take_entries(self, entries: Iterable[RecordEntry]) -> list[RecordEntry]:
        new = [entry for entry in entries if self.book.take_entry(entry)]
        for entry in new:
            self.logger.info(
                'record taken', extra={'service': entry.service, 'version': entry.version}
            )
        return new

    async def _repeat(self, step: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await step()
            except Exception:
                # A fault in one round must not leave the node with old records for ever.
                self.logger.exception('fault while synchronising records')
                await asyncio.sleep(self.times.most_backoff)

    async def _ask_platform(self) -> None:
        if self.me().instance in self.watchers():
            await self._watch(self.times.watch)
        elif _now() - self.fresh_at > self.times.stale_after:
            await self._poll_when_stale()
        else:
            await asyncio.sleep(self.times.watch * self.rng.uniform(0.2, 0.4))

    async def _poll_when_stale(self) -> None:
        """Ask the platform when peers have brought nothing certain for long.

        All members of a cut-off domain come here at once, so each waits longer the more of
        them there are: the platform's load stays the same however large the domain is.
        """
        me = self.me()
        members = 1 + len(self._own(me))
        await asyncio.sleep(members * self.times.per_member * self.rng.uniform(0.5, 1.5))
        if _now() - self.fresh_at > self.times.stale_after:
            await self._watch(0)

    async def _watch(self, timeout: float) -> None:
        since = self.book.complete_revision
        began = _now()
        result = await self.store.watch(RECORDS, since, timeout, self._grace.seconds)
        took = _now() - began
        self._grace.learn(took - timeout, answered=isinstance(result, Ok))
        match result:
            case Ok(listing):
                self._failures = 0
                self.platform.note(_now(), True)
                self._take_listing(since, listing)
                # A platform that answers at once, with nothing new, must not be asked in a spin.
                if took < self.times.first_backoff and not listing.objects:
                    await asyncio.sleep(self.times.first_backoff)
            case Err(error):
                await self._back_off(error)

    def _take_listing(self, since: int, listing: Listing) -> None:
        entries = sorted(map(entry_of, listing.objects), key=lambda e: e.version)
        new = self._take_entries(entries)
        self.book.complete(since, listing.version)
        self.fresh_at = _now()
        if not new:
            return
        me = self.me()
        # All of them, not just the new: a push says that nothing is missing up to its end.
        for chunk in cut(entries, since, listing.version):
            push = RecordsPush(chunk.since, chunk.upto, me.domain, me.instance, chunk.entries)
            self._push([*self._children(me.instance, me.instance), *self._reach(me)], push)

    async def _back_off(self, error: Unavailable) -> None:
        if self._failures == 0:
            self.logger.warning('platform lost', extra={'detail': error.detail})
        self.platform.note(_now(), False)
        most = min(self.times.first_backoff * 2**self._failures, self.times.most_backoff)
        self._failures = min(self._failures + 1, 10)
        await asyncio.sleep(most * self.rng.uniform(0.5, 1.0))

    def _reach(self, me: Member) -> list[Member]:
        """Give some members of each other failure domain."""
        by_domain: dict[str, list[Member]] = {}
        for member in self._others():
            if member.domain != me.domain:
                by_domain.setdefault(member.domain, []).append(member)
        return [
            member
            for members in by_domain.values()
            for member in self.rng.sample(members, min(REACH, len(members)))
        ]

    def _push(self, members: Iterable[Member], push: RecordsPush) -> None:
        for member in members:
            task = asyncio.get_running_loop().create_task(self._push_to(member, push))
            self._pushes.add(task)
            task.add_done_callback(self._pushes.discard)

    async def _push_to(self, member: Member, push: RecordsPush) -> None:
        reached = await self.links.notify(member.peers, push)
        if not reached and push.tree_root and member.domain == push.domain == self.me().domain:
            # A dead node serves nobody, so those below it would wait for the next exchange.
            self._push(self._children(member.instance, push.tree_root), push)

    async def _exchange(self) -> None:
        await asyncio.sleep(self.times.exchange * self.rng.uniform(0.5, 1.0))
        for _ in range(EXCHANGE_TRIES):
            neighbours = self._neighbours()
            if not neighbours:
                return
            member = self.rng.choice(neighbours)
            if await self._pull(member):
                return
            self._silent_until[member.instance] = _now() + self.times.silent

    async def _ask_some(self) -> None:
        # One old peer alone would leave a fresh node behind; the highest of several goes.
        await asyncio.gather(*(self._pull(m) for m in self._neighbours()))

    async def _pull(self, member: Member) -> bool:
        """Take what a peer has and this node lacks, and send it what it lacks itself."""
        while True:
            since = self.book.complete_revision
            ask = RecordsRequest(0, since)
            answer = await self.links.fetch_records(member.peers, ask, self.times.answer)
            if answer is None:
                return False
            self._take_entries(answer.entries)
            self.book.complete(since, answer.upto)
            if not answer.has_more or answer.upto <= since:
                break
        if answer.upto >= self.book.complete_revision:
            self.fresh_at = max(self.fresh_at, _now() - answer.age_seconds)
        else:
            self._push_missing(member, answer.upto)
        return True

    def _push_missing(self, member: Member, upto: int) -> None:
        entries = self.book.documents_after(upto)
        for chunk in cut(entries, upto, self.book.complete_revision):
            push = RecordsPush(chunk.since, chunk.upto, self.me().domain, '', chunk.entries)
            self._push([member], push)

    def _neighbours(self) -> list[Member]:
        """Give the peers to exchange with.

        A peer that gave no answer is passed over for a while: with all of them dead and not
        yet noticed, a node would hear nothing before its slow poll.
        """
        now = _now()
        self._silent_until = {i: t for i, t in self._silent_until.items() if t > now}
        if not self._silent_until:
            return list(self._chosen().neighbours)
        answering = [m for m in self._others() if m.instance not in self._silent_until]
        return topology.neighbours(self.me(), answering)

    def _own(self, me: Member) -> dict[str, Member]:
        return {m.instance: m for m in self._others() if m.domain == me.domain}

    def _others(self) -> Iterator[Member]:
        instance = self.me().instance
        for member in self.view.members():
            if member.instance != instance and member.state not in (State.DEAD, State.LEFT):
                yield member


def _now() -> float:
    return asyncio.get_running_loop().time()
