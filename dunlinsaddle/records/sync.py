"""Distributes changes of records from the platform to every node, through peers.

Two watchers per failure domain watch the platform. Each pushes changes down a tree over its own
domain and to two members of every other domain, which forward them in theirs. Periodic exchanges
with a few fixed peers repair what a push missed. No agreement is needed: an extra watcher costs
one more call to the platform, and a missing one is made up for by polling.
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
from dunlinsaddle.platform_state import PlatformState
from dunlinsaddle.records import topology
from dunlinsaddle.records.changes import entry_from_object
from dunlinsaddle.records.chunks import split_into_chunks
from dunlinsaddle.records.history import RECORD_KIND
from dunlinsaddle.records.models import RecordEntry
from dunlinsaddle.records.record_cache import RecordCache
from dunlinsaddle.records.sync_parts import RecordTransport, SyncTimings, WatchGrace

PUSHES_PER_REMOTE_DOMAIN = 2  #: members of each other domain that a watcher pushes to
MAX_SEEN_PUSHES = 256
MAX_EXCHANGE_ATTEMPTS = 3


class _PeerSelection(NamedTuple):
    """The watchers and neighbours selected for a version of the membership view."""

    version: int
    watchers: list[str]
    neighbours: list[Member]


class RecordSync:
    """Keeps the record cache of one node up to date."""

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
        self.synced_at = float('-inf')  #: event loop time up to which all changes are known
        self._failures = 0
        self._watch_grace = WatchGrace(timings)
        self._skip_until: dict[str, float] = {}
        self._seen_pushes: dict[tuple[str, int, int], None] = {}
        self._push_tasks: set[asyncio.Task[None]] = set()
        self._selection = _PeerSelection(-1, [], [])

    async def run(self) -> None:
        """Keep the record cache up to date until cancelled."""
        # Nodes that start at the same time must not query the platform at the same time.
        await asyncio.sleep(self.rng.uniform(0, self.timings.startup_jitter))
        await self._pull_from_neighbours()
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._run_repeatedly(self._query_platform))
                group.create_task(self._run_repeatedly(self._poll_if_overdue))
                group.create_task(self._run_repeatedly(self._exchange_with_neighbour))
        finally:
            for task in self._push_tasks:
                task.cancel()

    def watchers(self) -> list[str]:
        """Return the instances that should watch for this failure domain, by this node's view."""
        return list(self._select_peers().watchers)

    def _select_peers(self) -> _PeerSelection:
        """Return the selected peers; recompute only on a new view, as it sorts all members."""
        if self._selection.version != self.view.version:
            local = self.local_member()
            watchers = topology.watchers(
                local.domain, {*self._domain_members(local), local.instance}
            )
            nearby = topology.neighbours(local, self._live_peers())
            self._selection = _PeerSelection(self.view.version, watchers, nearby)
        return self._selection

    def handle_frame(self, frame: RecordFrame) -> RecordsResponse | None:
        """Handle a frame from a peer; return the response to a request."""
        match frame:
            case RecordsRequest(id=request_id, since_version=since_version):
                return self._build_response(request_id, since_version)
            case RecordsPush():
                self._handle_push(frame)
        return None

    def status(self) -> dict[str, Any]:
        """Return the state of records and of the platform at this node, for operators."""
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
                name: entry._asdict() for name, entry in record_cache.unreadable.items()
            },
            'revision': record_cache.complete_version,
            'platform': {'state': state, 'for_seconds': round(seconds, 1)},
            'watchers': self.watchers(),
        }

    async def survey_members(
        self, max_per_domain: int = 8
    ) -> dict[str, list[RecordsResponse | None]]:
        """Query up to ``max_per_domain`` members of each failure domain for their revision."""
        by_domain: dict[str, list[Member]] = {}
        for member in self._live_peers():
            by_domain.setdefault(member.domain, []).append(member)
        sampled = [
            (domain, member)
            for domain, members in by_domain.items()
            for member in self.rng.sample(members, min(max_per_domain, len(members)))
        ]
        up_to_version = self.record_cache.complete_version
        responses = await asyncio.gather(
            *(
                self.links.fetch_records(m.peers, RecordsRequest(0, up_to_version), 0.5)
                for _, m in sampled
            )
        )
        responses_by_domain: dict[str, list[RecordsResponse | None]] = {}
        for (domain, _), response in zip(sampled, responses, strict=True):
            responses_by_domain.setdefault(domain, []).append(response)
        return responses_by_domain

    def _build_response(self, request_id: int, since_version: int) -> RecordsResponse:
        up_to_version = self.record_cache.complete_version
        age = _now() - self.synced_at
        entries = self.record_cache.documents_after(since_version)
        chunk = next(split_into_chunks(entries, since_version, max(up_to_version, since_version)))
        has_more = chunk.up_to_version < up_to_version
        return RecordsResponse(
            request_id, min(chunk.up_to_version, up_to_version), age, has_more, chunk.entries
        )

    def _handle_push(self, push: RecordsPush) -> None:
        updated = self._store_entries(push.entries)
        self.record_cache.mark_complete(push.since_version, push.up_to_version)
        local = self.local_member()
        if push.domain == local.domain and push.tree_root and self._is_first_delivery(push):
            self._push(self._children(local.instance, push.tree_root), push)
        if not updated:
            return
        if push.domain != local.domain:
            # This domain may be cut off from the platform, so forward the push to all of it.
            forwarded = RecordsPush(
                push.since_version, push.up_to_version, local.domain, local.instance, push.entries
            )
            self._push(self._children(local.instance, local.instance), forwarded)
        # A frozen node whose links are still open drops pushes without an error. Forwarding
        # changes to neighbours too reaches the nodes below it before the next exchange.
        nearby = [m for m in self._neighbours() if m.domain == local.domain]
        self._push(
            nearby,
            RecordsPush(push.since_version, push.up_to_version, local.domain, '', push.entries),
        )

    def _is_first_delivery(self, push: RecordsPush) -> bool:
        """Return whether a push arrives through its tree for the first time.

        A push is forwarded even if it contains nothing new: two trees of different shape reach
        each node. If one tree stopped where the other was faster, it would not reach the nodes
        below a node that is dead in the other tree.
        """
        key = (push.tree_root, push.since_version, push.up_to_version)
        if key in self._seen_pushes:
            return False
        self._seen_pushes[key] = None
        if len(self._seen_pushes) > MAX_SEEN_PUSHES:
            self._seen_pushes.pop(next(iter(self._seen_pushes)))
        return True

    def _children(self, instance: str, root: str) -> list[Member]:
        """Return the children of an instance in the tree of ``root`` over this domain."""
        local = self.local_member()
        domain_members = self._domain_members(local)
        names = topology.children(root, {*domain_members, local.instance}, instance)
        return [domain_members[name] for name in names if name in domain_members]

    def _store_entries(self, entries: Iterable[RecordEntry]) -> list[RecordEntry]:
        updated = [entry for entry in entries if self.record_cache.update_entry(entry)]
        for entry in updated:
            self.logger.info(
                'record taken', extra={'service': entry.service, 'version': entry.version}
            )
        return updated

    async def _run_repeatedly(self, step: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await step()
            except Exception:
                # An error in one iteration must not stop the synchronisation for good.
                self.logger.exception('error while synchronising records')
                await asyncio.sleep(self.timings.max_backoff)

    async def _query_platform(self) -> None:
        if self.local_member().instance in self.watchers():
            await self._watch(self.timings.watch_timeout)
        elif _now() - self.synced_at > self.timings.stale_after:
            await self._poll_when_stale()
        else:
            await asyncio.sleep(self.timings.watch_timeout * self.rng.uniform(0.2, 0.4))

    async def _poll_when_stale(self) -> None:
        """Query the platform when peers have not confirmed the records for a long time.

        All members of a disconnected domain get here at the same time. Each waits in proportion
        to the number of members, so that the load on the platform does not grow with it.
        """
        local = self.local_member()
        members = 1 + len(self._domain_members(local))
        await asyncio.sleep(
            members * self.timings.poll_delay_per_member * self.rng.uniform(0.5, 1.5)
        )
        if _now() - self.synced_at > self.timings.stale_after:
            await self._watch(0)

    async def _poll_if_overdue(self) -> None:
        """Query the platform beside a watch whose response is overdue and may never come."""
        timings = self.timings
        await asyncio.sleep(timings.overdue_poll_interval / 2)
        is_overdue = _now() - self.synced_at > timings.watch_timeout + timings.watch_grace
        if not is_overdue or self.local_member().instance not in self.watchers():
            return
        # The watchers of all domains notice an outage at the same time.
        await asyncio.sleep(timings.overdue_poll_interval / 2 * self.rng.random())
        since_version = self.record_cache.complete_version
        result = await self.store.watch(RECORD_KIND, since_version, 0, timings.watch_grace)
        if isinstance(result, Ok):
            self._handle_listing(since_version, result.ok_value)

    async def _watch(self, timeout: float) -> None:
        since_version = self.record_cache.complete_version
        started_at = _now()
        result = await self.store.watch(
            RECORD_KIND, since_version, timeout, self._watch_grace.seconds
        )
        elapsed = _now() - started_at
        self._watch_grace.update(elapsed - timeout, answered=isinstance(result, Ok))
        match result:
            case Ok(listing):
                self._failures = 0
                self.platform.record_result(_now(), True)
                self._handle_listing(since_version, listing)
                # Do not query a platform that responds at once with no change in a busy loop.
                if elapsed < self.timings.initial_backoff and not listing.objects:
                    await asyncio.sleep(self.timings.initial_backoff)
            case Err(error):
                await self._back_off(error)

    def _handle_listing(self, since_version: int, listing: Listing) -> None:
        entries = sorted(map(entry_from_object, listing.objects), key=lambda e: e.version)
        updated = self._store_entries(entries)
        self.record_cache.mark_complete(since_version, listing.version)
        self.synced_at = _now()
        if not updated:
            return
        local = self.local_member()
        # Push all entries, not only new ones: a push must contain all changes up to its
        # ``up_to_version``.
        for chunk in split_into_chunks(entries, since_version, listing.version):
            push = RecordsPush(
                chunk.since_version,
                chunk.up_to_version,
                local.domain,
                local.instance,
                chunk.entries,
            )
            self._push(
                [
                    *self._children(local.instance, local.instance),
                    *self._sample_remote_domains(local),
                ],
                push,
            )

    async def _back_off(self, error: Unavailable) -> None:
        if self._failures == 0:
            self.logger.warning('platform lost', extra={'detail': error.detail})
        self.platform.record_result(_now(), False)
        delay = min(self.timings.initial_backoff * 2**self._failures, self.timings.max_backoff)
        self._failures = min(self._failures + 1, 10)
        await asyncio.sleep(delay * self.rng.uniform(0.5, 1.0))

    def _sample_remote_domains(self, local: Member) -> list[Member]:
        """Return some members of each other failure domain."""
        by_domain: dict[str, list[Member]] = {}
        for member in self._live_peers():
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
            self._push_tasks.add(task)
            task.add_done_callback(self._push_tasks.discard)

    async def _push_to(self, member: Member, push: RecordsPush) -> None:
        delivered = await self.links.notify(member.peers, push)
        if (
            not delivered
            and push.tree_root
            and member.domain == push.domain == self.local_member().domain
        ):
            # A dead node forwards nothing: push to its children now, not at the next exchange.
            self._push(self._children(member.instance, push.tree_root), push)

    async def _exchange_with_neighbour(self) -> None:
        await asyncio.sleep(self.timings.exchange_interval * self.rng.uniform(0.5, 1.0))
        for _ in range(MAX_EXCHANGE_ATTEMPTS):
            neighbours = self._neighbours()
            if not neighbours:
                return
            member = self.rng.choice(neighbours)
            if await self._pull(member):
                return
            self._skip_until[member.instance] = _now() + self.timings.unresponsive_seconds

    async def _pull_from_neighbours(self) -> None:
        # A single peer may be outdated; with several, the highest version is kept.
        await asyncio.gather(*(self._pull(m) for m in self._neighbours()))

    async def _pull(self, member: Member) -> bool:
        """Fetch the records missing here from a peer, and push those that it is missing."""
        while True:
            since_version = self.record_cache.complete_version
            request = RecordsRequest(0, since_version)
            response = await self.links.fetch_records(
                member.peers, request, self.timings.response_timeout
            )
            if response is None:
                return False
            self._store_entries(response.entries)
            self.record_cache.mark_complete(since_version, response.up_to_version)
            if not response.has_more or response.up_to_version <= since_version:
                break
        if response.up_to_version >= self.record_cache.complete_version:
            self.synced_at = max(self.synced_at, _now() - response.age_seconds)
        else:
            self._push_missing(member, response.up_to_version)
        return True

    def _push_missing(self, member: Member, up_to_version: int) -> None:
        entries = self.record_cache.documents_after(up_to_version)
        for chunk in split_into_chunks(entries, up_to_version, self.record_cache.complete_version):
            push = RecordsPush(
                chunk.since_version,
                chunk.up_to_version,
                self.local_member().domain,
                '',
                chunk.entries,
            )
            self._push([member], push)

    def _neighbours(self) -> list[Member]:
        """Return the peers to exchange with.

        A peer that did not respond is skipped for a while. Otherwise a node whose fixed peers
        are all dead, but not yet detected, would get no changes before its next poll.
        """
        now = _now()
        self._skip_until = {i: t for i, t in self._skip_until.items() if t > now}
        if not self._skip_until:
            return list(self._select_peers().neighbours)
        responsive = [m for m in self._live_peers() if m.instance not in self._skip_until]
        return topology.neighbours(self.local_member(), responsive)

    def _domain_members(self, local: Member) -> dict[str, Member]:
        return {m.instance: m for m in self._live_peers() if m.domain == local.domain}

    def _live_peers(self) -> Iterator[Member]:
        instance = self.local_member().instance
        for member in self.view.members():
            if member.instance != instance and member.state not in (State.DEAD, State.LEFT):
                yield member


def _now() -> float:
    return asyncio.get_running_loop().time()
