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
from dunlinsaddle.records.changes import entry_from_object
from dunlinsaddle.records.chunks import split_into_chunks
from dunlinsaddle.records.history import RECORDS
from dunlinsaddle.records.models import RecordEntry
from dunlinsaddle.records.record_cache import RecordCache
from dunlinsaddle.records.sync_parts import PlatformState, RecordTransport, SyncTimings, WatchGrace

PUSHES_PER_REMOTE_DOMAIN = 2  #: members of each other domain that a watcher pushes to
MAX_SEEN_PUSHES = 256
MAX_EXCHANGE_ATTEMPTS = 3


class _Choices(NamedTuple):
    """Whom a version of the view makes watch, and exchange with this node."""

    version: int
    watchers: list[str]
    neighbours: list[Member]


class RecordSync:
    """Keeps one node's book up to date."""

    def __init__(
        self,
        record_cache: RecordCache,
        store: ObjectStore,
        view: MemberView,
        links: RecordTransport,
        local_member: Callable[[], Member],
        rng: Random,
        logger: logging.Logger,
        timings: SyncTimings = SyncTimings(),  # noqa: B008 (immutable)
    ) -> None:
        self.record_cache = record_cache
        self.store = store
        self.view = view
        self.links = links
        self.local_member = local_member
        self.rng = rng
        self.logger = logger
        self.timings = timings
        self.platform = PlatformState()
        self.synced_at = float('-inf')  #: up to then every change is known here
        self._failures = 0
        self._grace = WatchGrace(timings)
        self._silent_until: dict[str, float] = {}
        self._seen: dict[tuple[str, int, int], None] = {}
        self._pushes: set[asyncio.Task[None]] = set()
        self._choices = _Choices(-1, [], [])

    async def run(self) -> None:
        """Keep the book up to date until cancelled."""
        # A fleet that starts as one must not ask the platform as one.
        await asyncio.sleep(self.rng.uniform(0, self.timings.startup_jitter))
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
            local = self.local_member()
            watchers = topology.watchers(local.domain, {*self._own(local), local.instance})
            near = topology.neighbours(local, self._others())
            self._choices = _Choices(self.view.version, watchers, near)
        return self._choices

    def handle_frame(self, frame: RecordFrame) -> RecordsResponse | None:
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
        record_cache = self.record_cache
        return {
            'records': {
                e.service: {
                    'version': e.version,
                    'since': record_cache.in_force_since.get(e.service),
                }
                for e in record_cache.entries()
            },
            'unreadable': {
                name: found._asdict() for name, found in record_cache.unreadable.items()
            },
            'revision': record_cache.complete_revision,
            'platform': {'state': state, 'for_seconds': round(seconds, 1)},
            'watchers': self.watchers(),
        }

    async def survey_members(
        self, max_per_domain: int = 8
    ) -> dict[str, list[RecordsResponse | None]]:
        """Ask up to ``max_per_domain`` members of each failure domain how far they are."""
        by_domain: dict[str, list[Member]] = {}
        for member in self._others():
            by_domain.setdefault(member.domain, []).append(member)
        asked = [
            (domain, member)
            for domain, members in by_domain.items()
            for member in self.rng.sample(members, min(max_per_domain, len(members)))
        ]
        upto = self.record_cache.complete_revision
        answers = await asyncio.gather(
            *(self.links.fetch_records(m.peers, RecordsRequest(0, upto), 0.5) for _, m in asked)
        )
        found: dict[str, list[RecordsResponse | None]] = {}
        for (domain, _), answer in zip(asked, answers, strict=True):
            found.setdefault(domain, []).append(answer)
        return found

    def _answer(self, number: int, since: int) -> RecordsResponse:
        upto = self.record_cache.complete_revision
        age = _now() - self.synced_at
        entries = self.record_cache.documents_after(since)
        chunk = next(split_into_chunks(entries, since, max(upto, since)))
        more = chunk.upto < upto
        return RecordsResponse(number, min(chunk.upto, upto), age, more, chunk.entries)

    def _take_push(self, push: RecordsPush) -> None:
        new = self._take_entries(push.entries)
        self.record_cache.mark_complete(push.since, push.upto)
        local = self.local_member()
        if push.domain == local.domain and push.tree_root and self._first(push):
            self._push(self._children(local.instance, push.tree_root), push)
        if not new:
            return
        if push.domain != local.domain:
            # This domain may be cut off from the platform: what came in is for all of it.
            passed = RecordsPush(push.since, push.upto, local.domain, local.instance, push.entries)
            self._push(self._children(local.instance, local.instance), passed)
        # A node that is frozen, its links still open, ends a tree without a sign. News that
        # also goes from neighbour to neighbour gets round it without waiting for an exchange.
        near = [m for m in self._neighbours() if m.domain == local.domain]
        self._push(near, RecordsPush(push.since, push.upto, local.domain, '', push.entries))

    def _first(self, push: RecordsPush) -> bool:
        """Say whether a push comes down its tree for the first time.

        Not whether it brought news: two trees of different shape reach each node, and one that
        ended where the other was faster would not go round a node that is dead in that one.
        """
        key = (push.tree_root, push.since, push.upto)
        if key in self._seen:
            return False
        self._seen[key] = None
        if len(self._seen) > MAX_SEEN_PUSHES:
            self._seen.pop(next(iter(self._seen)))
        return True

    def _children(self, instance: str, root: str) -> list[Member]:
        """Give those whom an instance serves in the tree of ``root`` over this domain."""
        local = self.local_member()
        own = self._own(local)
        names = topology.children(root, {*own, local.instance}, instance)
        return [own[name] for name in names if name in own]

    def _take_entries(self, entries: Iterable[RecordEntry]) -> list[RecordEntry]:
        new = [entry for entry in entries if self.record_cache.update_entry(entry)]
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
                await asyncio.sleep(self.timings.max_backoff)

    async def _ask_platform(self) -> None:
        if self.local_member().instance in self.watchers():
            await self._watch(self.timings.watch_timeout)
        elif _now() - self.synced_at > self.timings.stale_after:
            await self._poll_when_stale()
        else:
            await asyncio.sleep(self.timings.watch_timeout * self.rng.uniform(0.2, 0.4))

    async def _poll_when_stale(self) -> None:
        """Ask the platform when peers have brought nothing certain for long.

        All members of a cut-off domain come here at once, so each waits longer the more of
        them there are: the platform's load stays the same however large the domain is.
        """
        local = self.local_member()
        members = 1 + len(self._own(local))
        await asyncio.sleep(
            members * self.timings.poll_delay_per_member * self.rng.uniform(0.5, 1.5)
        )
        if _now() - self.synced_at > self.timings.stale_after:
            await self._watch(0)

    async def _watch(self, timeout: float) -> None:
        since = self.record_cache.complete_revision
        began = _now()
        result = await self.store.watch(RECORDS, since, timeout, self._grace.seconds)
        took = _now() - began
        self._grace.update(took - timeout, answered=isinstance(result, Ok))
        match result:
            case Ok(listing):
                self._failures = 0
                self.platform.record_result(_now(), True)
                self._take_listing(since, listing)
                # A platform that answers at once, with nothing new, must not be asked in a spin.
                if took < self.timings.initial_backoff and not listing.objects:
                    await asyncio.sleep(self.timings.initial_backoff)
            case Err(error):
                await self._back_off(error)

    def _take_listing(self, since: int, listing: Listing) -> None:
        entries = sorted(map(entry_from_object, listing.objects), key=lambda e: e.version)
        new = self._take_entries(entries)
        self.record_cache.mark_complete(since, listing.version)
        self.synced_at = _now()
        if not new:
            return
        local = self.local_member()
        # All of them, not just the new: a push says that nothing is missing up to its end.
        for chunk in split_into_chunks(entries, since, listing.version):
            push = RecordsPush(chunk.since, chunk.upto, local.domain, local.instance, chunk.entries)
            self._push([*self._children(local.instance, local.instance), *self._reach(local)], push)

    async def _back_off(self, error: Unavailable) -> None:
        if self._failures == 0:
            self.logger.warning('platform lost', extra={'detail': error.detail})
        self.platform.record_result(_now(), False)
        delay = min(self.timings.initial_backoff * 2**self._failures, self.timings.max_backoff)
        self._failures = min(self._failures + 1, 10)
        await asyncio.sleep(delay * self.rng.uniform(0.5, 1.0))

    def _reach(self, local: Member) -> list[Member]:
        """Give some members of each other failure domain."""
        by_domain: dict[str, list[Member]] = {}
        for member in self._others():
            if member.domain != local.domain:
                by_domain.setdefault(member.domain, []).append(member)
        return [
            member
            for members in by_domain.values()
            for member in self.rng.sample(members, min(PUSHES_PER_REMOTE_DOMAIN, len(members)))
        ]

    def _push(self, members: Iterable[Member], push: RecordsPush) -> None:
        for member in members:
            task = asyncio.get_running_loop().create_task(self._push_to(member, push))
            self._pushes.add(task)
            task.add_done_callback(self._pushes.discard)

    async def _push_to(self, member: Member, push: RecordsPush) -> None:
        reached = await self.links.notify(member.peers, push)
        if (
            not reached
            and push.tree_root
            and member.domain == push.domain == self.local_member().domain
        ):
            # A dead node serves nobody, so those below it would wait for the next exchange.
            self._push(self._children(member.instance, push.tree_root), push)

    async def _exchange(self) -> None:
        await asyncio.sleep(self.timings.exchange_interval * self.rng.uniform(0.5, 1.0))
        for _ in range(MAX_EXCHANGE_ATTEMPTS):
            neighbours = self._neighbours()
            if not neighbours:
                return
            member = self.rng.choice(neighbours)
            if await self._pull(member):
                return
            self._silent_until[member.instance] = _now() + self.timings.unresponsive_seconds

    async def _ask_some(self) -> None:
        # One old peer alone would leave a fresh node behind; the highest of several goes.
        await asyncio.gather(*(self._pull(m) for m in self._neighbours()))

    async def _pull(self, member: Member) -> bool:
        """Take what a peer has and this node lacks, and send it what it lacks itself."""
        while True:
            since = self.record_cache.complete_revision
            request = RecordsRequest(0, since)
            answer = await self.links.fetch_records(
                member.peers, request, self.timings.response_timeout
            )
            if answer is None:
                return False
            self._take_entries(answer.entries)
            self.record_cache.mark_complete(since, answer.upto)
            if not answer.has_more or answer.upto <= since:
                break
        if answer.upto >= self.record_cache.complete_revision:
            self.synced_at = max(self.synced_at, _now() - answer.age_seconds)
        else:
            self._push_missing(member, answer.upto)
        return True

    def _push_missing(self, member: Member, upto: int) -> None:
        entries = self.record_cache.documents_after(upto)
        for chunk in split_into_chunks(entries, upto, self.record_cache.complete_revision):
            push = RecordsPush(
                chunk.since, chunk.upto, self.local_member().domain, '', chunk.entries
            )
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
        return topology.neighbours(self.local_member(), answering)

    def _own(self, local: Member) -> dict[str, Member]:
        return {m.instance: m for m in self._others() if m.domain == local.domain}

    def _others(self) -> Iterator[Member]:
        instance = self.local_member().instance
        for member in self.view.members():
            if member.instance != instance and member.state not in (State.DEAD, State.LEFT):
                yield member


def _now() -> float:
    return asyncio.get_running_loop().time()
