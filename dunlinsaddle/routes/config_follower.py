"""Keeps a node's routing configuration up to date: by a watch on the store, or from peers.

A few nodes of each failure domain watch the store. Every message of the gossip tells the version
that its sender holds, and who hears of a newer one fetches it from there.
"""

import asyncio
import logging
import math
from collections.abc import Callable
from random import Random
from typing import Any

from result import Err, Ok, Result

from dunlinsaddle.access.configuration_lease import ConfigurationLease
from dunlinsaddle.calls.link import PeerLinks
from dunlinsaddle.calls.messages import (
    MAX_TIMEOUT_SECONDS,
    RecordFrame,
    RecordsRequest,
    RecordsResponse,
)
from dunlinsaddle.loops import Backoff, OnLoop
from dunlinsaddle.membership.view import Member
from dunlinsaddle.platform.store import (
    JsonValue,
    Listing,
    ObjectStore,
    StoredObject,
    Unavailable,
    place_of,
)
from dunlinsaddle.records.models import RecordEntry
from dunlinsaddle.routes.models import Configuration, Organisation
from dunlinsaddle.routes.table import RouteTable

#: Seconds that one watch waits, and so the longest that a change is missed after the answer to a
#: watch was lost on an open connection, which nothing else shows. A shorter one costs more calls:
#: with three watchers in each of five failure domains three a second, of thousands.
WATCH_TIMEOUT_SECONDS = 5.0
#: Seconds that an answer may take beyond that, at first and at most. A store that does not answer
#: must not hold up a node that knows nothing: its peers are asked after the first bound. It is
#: doubled after each call that was not answered in time, so that a slow store is heard, too.
INITIAL_GRACE_SECONDS = 1.0
MAX_GRACE_SECONDS = 8.0  #: seconds; a store slower than that counts as away
INITIAL_BACKOFF_SECONDS = (
    0.1  #: seconds; a store that refuses a call is mostly back within a second
)
MAX_BACKOFF_SECONDS = 1.0  #: half of the two seconds within which a change has to be in force
PEER_TIMEOUT_SECONDS = 0.5  #: for a peer's answer; a round trip between failure domains takes 1 ms
#: Seconds between two looks whether it falls to this node to watch. A watcher that dies is
#: suspected within three seconds; the two others of its domain watch meanwhile.
WATCH_CHECK_SECONDS = 0.5
#: Seconds for which a node without a configuration leaves the store alone. Its peers tell it of
#: theirs with the first answer to its gossip.
PEER_CONFIGURATION_WAIT_SECONDS = 1.0

Decoder = Callable[[Any], Result[Configuration, str]]


class ConfigFollower(OnLoop):
    """The newest configuration that this node has heard of. It never goes back.

    What is newer, the operators' own version says. The store's versions only say what it has told
    this node already: when it returns from an older copy, that may hold an older configuration
    for a while, which must not be taken for a newer one by any node.
    """

    def __init__(
        self,
        store: ObjectStore,
        kind: str,
        name: str,
        decode: Decoder,
        rng: Random,
        logger: logging.Logger,
        configuration_lease: ConfigurationLease,
    ) -> None:
        self.store = store
        self.kind = kind
        self.name = name
        self.decode = decode
        self.rng = rng
        self.logger = logger
        self.configuration_lease = configuration_lease
        self.table: RouteTable | None = None
        self.on_change: Callable[[Configuration], None] = lambda configuration: None
        self.on_store_restored: Callable[[], None] = lambda: (
            None
        )  #: the store has returned from a copy
        self.links: PeerLinks | None = None
        self.list_peers: Callable[[], list[Member]] = list
        self.should_watch: Callable[[], bool] = lambda: (
            True
        )  #: whether it falls to this node to watch
        self.store_version = 0  #: the store's version up to which this node has heard all
        self._entry: RecordEntry | None = None  #: in force here, with the operators' version
        self._read_to = 0  #: the store's version of the latest object that it brought
        self._refused = 0  #: the operators' version of a peer's that could not be read
        #: Whether the store holds a configuration as new as this node's: not, from its return from
        #: an older copy until the operators have written it again.
        self._caught_up = True
        self._reachable: bool | None = None
        self._fetching: asyncio.Task[None] | None = None

    @property
    def version(self) -> int:
        """The version in force here, 0 for none."""
        return self.table.configuration.version if self.table else 0

    @property
    def requires_keys(self) -> bool:
        """Whether callers are let in by keys, which may be taken away at any time."""
        table = self.table
        return table is not None and table.requires_keys

    def find_organisation(self, name: str) -> Organisation | None:
        """Give an organisation of the configuration in force."""
        return self.table.find_organisation(name) if self.table else None

    async def run(self, members_known_at: float = -math.inf) -> None:
        """Follow the store until cancelled, while that falls to this node.

        Before ``members_known_at`` it can't tell, and leaves the store alone once it knows a
        configuration.
        """
        backoff, grace = (
            Backoff(INITIAL_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS, self.rng),
            INITIAL_GRACE_SECONDS,
        )
        patient_until = self.now() + PEER_CONFIGURATION_WAIT_SECONDS
        while True:
            now = self.now()
            ours = self.should_watch() and (now >= members_known_at or not self.version)
            if not ours and (self.version or now < patient_until):
                # What it heard of the store is old when its turn comes.
                self._reachable = None
                await asyncio.sleep(WATCH_CHECK_SECONDS * self.rng.uniform(0.5, 1.0))
                continue
            # After a failure first a call that does not wait: connections that were cut may have
            # hidden a change, and one that goes silent shows only when its answer is overdue.
            wait = WATCH_TIMEOUT_SECONDS if self.store_version and self._reachable else 0.0
            began = self.now()
            read_to = self._read_to
            match await self._watch(wait, grace):
                case Ok():
                    grace = INITIAL_GRACE_SECONDS
                    self._note_store(reachable=True, why='')
                    took = self.now() - began
                    if took < min(wait, backoff.seconds) and self._read_to == read_to:
                        # A store without history lists in place of waiting: asked in a spin, it
                        # would have no calls left for the others.
                        await backoff.pause()
                    else:
                        backoff.reset()
                case Err(Unavailable(detail)):
                    self._note_store(reachable=False, why=detail)
                    if self.now() - began >= wait + grace:
                        grace = min(grace * 2, MAX_GRACE_SECONDS)
                    await self._ask_any()
                    await backoff.pause()

    async def poll_store(self) -> bool:
        """Ask the store once, whoever's turn it is; say whether it answered."""
        return isinstance(await self._watch(0.0, INITIAL_GRACE_SECONDS), Ok)

    async def _watch(self, wait: float, grace: float) -> Result[Listing, Unavailable]:
        began = self.configuration_lease.clock()
        found = await self.store.watch(self.kind, self.store_version, wait, grace)
        if isinstance(found, Ok):
            self._take_listing(found.ok_value)
            if self._caught_up:
                self.configuration_lease.renew(began)
        return found

    def answer_peer(self, frame: RecordFrame) -> RecordsResponse | None:
        """Answer a peer that has heard of a newer configuration, or cannot reach the store."""
        if not isinstance(frame, RecordsRequest):
            return None
        entry = self._entry
        entries = [entry] if entry is not None and entry.version > frame.since else []
        age = min(max(self.configuration_lease.age, 0.0), MAX_TIMEOUT_SECONDS)
        return RecordsResponse(frame.id, self.version, age, False, entries)

    def handle_peer_version(self, member: Member, version: int) -> None:
        """Fetch what a peer says is newer; word of it comes again if that fails."""
        if version <= self.version or self._fetching is not None:
            return
        self._fetching = self.loop.create_task(self.ask_peer(member))
        self._fetching.add_done_callback(self._fetched)

    def _fetched(self, task: 'asyncio.Task[None]') -> None:
        self._fetching = None

    async def _ask_any(self) -> None:
        """Hear from a peer what the store would say: one that is cut off stays up to date."""
        peers = self.list_peers()
        if peers:
            await self.ask_peer(self.rng.choice(peers))

    async def ask_peer(self, member: Member) -> None:
        """Ask a peer for what is newer, and for its proof that nothing is.

        The proof counts from before the question was sent: an answer may have been long on its
        way, but the peer cannot have known less when it gave it.
        """
        if self.links is None:
            return
        began = self.configuration_lease.clock()
        ask = RecordsRequest(0, self.version)
        answer = await self.links.fetch_records(member.peers, ask, PEER_TIMEOUT_SECONDS)
        if answer is None:
            return
        for entry in answer.entries:
            self._take_told(entry, member.instance)
        if max(self.version, self._refused) >= answer.upto:
            self.configuration_lease.renew(began - answer.age_seconds)

    def _take_listing(self, listing: Listing) -> None:
        before, now = place_of(self.store_version), place_of(listing.version)
        if self.store_version and now.epoch > before.epoch:
            self._caught_up = False
            extra = {'epoch': now.epoch, 'revision': now.revision, 'before': before.revision}
            self.logger.warning('store returned from a copy', extra=extra)
            self.on_store_restored()
        self.store_version = max(listing.version, self.store_version)
        for held in listing.objects:
            if held.name == self.name and held.value is not None:
                self._take_stored(held)

    def _take_stored(self, held: StoredObject) -> None:
        if held.version <= self._read_to:
            return
        self._read_to = held.version
        found = self._take(held.value, 'store')
        self._caught_up = self._caught_up or found is None or found >= self.version

    def _take_told(self, entry: RecordEntry, source: str) -> None:
        if entry.version > self.version and self._take(entry.doc, source) is None:
            self._refused = max(self._refused, entry.version)

    def _take(self, doc: JsonValue, source: str) -> int | None:
        """Put a configuration in force if it is newer; gives its version, None if unreadable."""
        if self._entry is not None and doc == self._entry.doc:
            return self.version
        match self.decode(doc):
            case Err(why):
                # The last good one stays in force: no answer is better than a wrong route.
                self.logger.error('configuration unusable', extra={'why': why, 'source': source})
                return None
            case Ok(configuration):
                found = configuration.version
        extra = {'version': found, 'source': source}
        if found <= self.version:
            self.logger.info('configuration passed over', extra={**extra, 'held': self.version})
            return found
        self.logger.info('configuration taken', extra=extra)
        self._entry = RecordEntry(self.name, found, doc)
        self.table = RouteTable(configuration, self.table)
        self.configuration_lease.notify_waiters()
        self.on_change(configuration)
        return found

    def _note_store(self, *, reachable: bool, why: str) -> None:
        if reachable is self._reachable:
            return
        first = self._reachable is None
        self._reachable = reachable
        if reachable and not first:
            self.logger.info('store regained')
        elif not reachable:
            self.logger.warning('store lost', extra={'why': why})
