"""Sends learned state to nodes that start, and restores that of this node at its own start."""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import NamedTuple

import msgspec
from result import Err, Ok, Result

from dunlinsaddle.calls.messages import RecordsRequest
from dunlinsaddle.calls.outbound.link import PeerLinks
from dunlinsaddle.calls.target import LocalTarget
from dunlinsaddle.loops import LoopBound
from dunlinsaddle.membership.view import Member, MemberView
from dunlinsaddle.platform.store import ABSENT, ObjectStore
from dunlinsaddle.policy.learned_state import (
    FORMAT_VERSION,
    MAX_AGE_SECONDS,
    MIN_CHANGE_SHARE,
    Ignored,
    LearnedState,
    RuleTime,
    change_share,
    check_age,
    decode_state,
    encode_state,
    smoothed,
    without_short_lived,
)
from dunlinsaddle.policy.level import ChainLevels
from dunlinsaddle.policy.quarantine import Quarantine
from dunlinsaddle.policy.request_costs import RequestCosts
from dunlinsaddle.policy.route import Router
from dunlinsaddle.policy.slots import SlotAdmission

KIND = 'learned-state'
#: Time for which a node that starts waits for the answers of peers.
PEER_WAIT_SECONDS = 0.3
POLL_SECONDS = 0.03  #: between two checks whether gossip has found a member
#: Together with the poll after the last one, leaves a tenth of PEER_WAIT_SECONDS for the answers.
MAX_POLLS = 8
#: Peers that are asked. Those of the same service know its service times, all know the costs.
MAX_ASKED_PEERS = 3
WRITE_INTERVAL_SECONDS = 10.0  #: shortest time between two writes of a failure domain
#: Age from which unchanged state is written again. Without it the object of a steady load would be
#: ignored. The margin allows for two writes that fail.
REFRESH_SECONDS = MAX_AGE_SECONDS - 2 * WRITE_INTERVAL_SECONDS
#: Version in a request for learned state only: no configuration is newer.
NO_RECORDS = (1 << 62) - 1


class Sources(NamedTuple):
    """The parts of a node that learn."""

    levels: ChainLevels
    costs: RequestCosts
    router: Router
    admission: SlotAdmission
    target: LocalTarget
    quarantine: Quarantine


class _PendingTimes(NamedTuple):
    """Service times that wait until the local target is announced."""

    instance: str
    incarnation: str
    times: list[RuleTime]
    expires_at: float  #: time of the event loop


class LearnedStateExchange(LoopBound):
    """Answers nodes that start, restores the state of this node, and keeps the stored object.

    Guards against this failure: what a process learned ends with it, and the first seconds after
    a restart are decided without knowledge. Nothing waits for the state: whatever the node has
    learned meanwhile is kept, and only what it does not know is taken over.
    """

    def __init__(
        self,
        instance: str,
        domain: str,
        service: str,
        sources: Sources,
        view: MemberView,
        links: PeerLinks,
        store: ObjectStore,
        wall_clock: Callable[[], float],
        rng: Random,
        logger: logging.Logger,
    ) -> None:
        self.instance = instance
        self.domain = domain
        self.service = service
        self.sources = sources
        self.view = view
        self.links = links
        self.store = store
        self.wall_clock = wall_clock
        self.rng = rng
        self.logger = logger
        #: Returns the nodes that do the shared work of the failure domain, the writer first.
        self.coordinators: Callable[[], list[Member]] = list
        self.counts: Counter[tuple[str, str]] = Counter()  #: by source and result
        self.stored_bytes = 0  #: size of the latest object that this node wrote
        self._pending_times: _PendingTimes | None = None
        self._smoothed: LearnedState | None = None  #: moving average while this node is the writer
        self._stored: LearnedState | None = None
        self._stored_version: int | None = None  #: None if this node has not read the object

    async def run(self, *, restore: bool) -> None:
        """Restore the state unless the deployment starts for the first time; then write it."""
        if restore:
            await self.restore()
        while True:
            await asyncio.sleep(WRITE_INTERVAL_SECONDS * self.rng.uniform(1.0, 1.2))
            await self.write_if_changed()

    def encode(self) -> bytes:
        """Return what this node has learned, empty if it is nothing."""
        state = self.snapshot()
        return b'' if state.is_empty else encode_state(state)

    def snapshot(self) -> LearnedState:
        """Return what this node has learned."""
        now, sources = self.now(), self.sources
        latencies = sources.router.latencies
        return LearnedState(
            FORMAT_VERSION,
            self.wall_clock(),
            self.instance,
            self.service,
            sources.target.incarnation,
            sources.admission.snapshot_service_times(),
            latencies.snapshot_means(),
            sources.costs.snapshot(now),
            sources.levels.snapshot(now),
            latencies.snapshot_ratios(now, self._incarnations()),
            sources.quarantine.snapshot(now),
        )

    async def restore(self) -> None:
        """Ask peers, and read the object of the failure domain if they know nothing.

        Only coordinators read it. When all nodes restart, the others ask these once more.
        """
        if await self._ask_peers():
            return
        if any(m.instance == self.instance for m in self.coordinators()):
            await self._read_object()
            return
        await asyncio.sleep(PEER_WAIT_SECONDS * self.rng.uniform(0.5, 1.5))
        await self._ask_peers()

    async def _ask_peers(self) -> bool:
        """Ask the nearest peers at the same time; return whether one has answered with state."""
        until = self.now() + PEER_WAIT_SECONDS
        for _ in range(MAX_POLLS):
            if self._nearest_peers():
                break
            await asyncio.sleep(POLL_SECONDS)
        # The first member that is found sends the list of the others shortly afterwards.
        await asyncio.sleep(POLL_SECONDS)
        peers = self._nearest_peers()[:MAX_ASKED_PEERS]
        seconds = max(until - self.now(), 0.0)
        return any(await asyncio.gather(*(self._ask(peer, seconds) for peer in peers)))

    async def _ask(self, peer: Member, seconds: float) -> bool:
        request = RecordsRequest(0, NO_RECORDS, wants_learned_state=True)
        answer = await self.links.fetch_records(peer.peers, request, seconds)
        if answer is None or not answer.learned_state:
            self.counts['peer', 'nothing'] += 1
            return False
        return self._apply('peer', answer.learned_state, decode_state(answer.learned_state), 0.0)

    def _nearest_peers(self) -> list[Member]:
        """Return the other members, those of this failure domain and of this service first."""
        others = [m for m in self.view.members() if m.instance != self.instance and not m.is_gone]
        self.rng.shuffle(others)
        return sorted(others, key=lambda m: (m.domain != self.domain, m.service != self.service))

    async def _read_object(self) -> None:
        match await self.store.get(KIND, self.domain):
            case Ok(stored) if stored is not None and stored.value is not None:
                data = msgspec.json.encode(stored.value)
            case _:
                self.counts['store', 'nothing'] += 1
                return
        decoded = decode_state(data)
        age = decoded.and_then(lambda state: check_age(self.wall_clock(), state))
        match age:
            case Ok(seconds):
                self._apply('store', data, decoded, seconds)
            case Err(ignored):
                self._apply('store', data, Err(ignored), ignored.age)

    def _apply(
        self, source: str, data: bytes, decoded: Result[LearnedState, Ignored], age: float
    ) -> bool:
        extra = {'source': source, 'bytes': len(data), 'age': round(age, 3)}
        match decoded:
            case Err(Ignored(reason)):
                self.counts[source, reason.value] += 1
                self.logger.warning('learned state ignored', extra={**extra, 'why': reason.value})
                return False
            case Ok(state):
                applied = self._restore_parts(state, age)
        self.counts[source, 'applied'] += 1
        self.logger.info(
            'learned state applied', extra={**extra, 'written_by': state.instance, **applied}
        )
        return True

    def _restore_parts(self, state: LearnedState, age: float) -> dict[str, int]:
        now, sources = self.now(), self.sources
        latencies = sources.router.latencies
        if state.service == self.service and state.service_times:
            self._pending_times = self._pending_times or _PendingTimes(
                state.instance,
                state.incarnation,
                state.service_times,
                now + MAX_AGE_SECONDS - age,
            )
        return {
            'levels': sources.levels.restore(now, state.levels, age),
            'costs': sources.costs.restore(now, state.costs, age),
            'call_times': latencies.restore_means(state.call_times),
            'ratios': latencies.restore_ratios(now, state.ratios, age, self._incarnations()),
            'service_times': self.restore_service_times(),
            'crashed_requests': sources.quarantine.restore(now, state.crashed_requests, age),
        }

    def restore_service_times(self) -> int:
        """Apply the received service times once the target is announced; return their number.

        Those of this node's former target apply only if the target is still that incarnation.
        """
        pending, target = self._pending_times, self.sources.target
        if pending is None or target.address is None:
            return 0
        self._pending_times = None
        if self.now() > pending.expires_at:
            return 0
        if pending.instance == self.instance and pending.incarnation != target.incarnation:
            self.counts['target', 'another incarnation'] += 1
            extra = {'source': 'target', 'why': 'another incarnation'}
            self.logger.info('learned state ignored', extra=extra)
            return 0
        return self.sources.admission.restore_service_times(pending.times)

    async def write_if_changed(self) -> None:
        """Write the object of the failure domain if this node is its writer and it has changed."""
        if [m.instance for m in self.coordinators()][:1] != [self.instance]:
            self._smoothed = self._stored_version = None
            return
        state = self._smoothed = smoothed(self._smoothed, without_short_lived(self.snapshot()))
        if state.is_empty or not await self._load_stored() or not self._is_worth_writing(state):
            return
        data = encode_state(state)
        value = msgspec.json.decode(data)
        match await self.store.put(KIND, self.domain, value, self._stored_version or ABSENT):
            case Ok(stored):
                self._stored, self._stored_version = state, stored.version
                self.stored_bytes = len(data)
                self.counts['store', 'written'] += 1
            case _:
                # Another node has written, or the outcome is unknown: the object is read again.
                self._stored_version = None
                self.counts['store', 'not written'] += 1

    async def _load_stored(self) -> bool:
        """Read the stored object if that has not been done; return False if it cannot be read."""
        if self._stored_version is not None:
            return True
        match await self.store.get(KIND, self.domain):
            case Ok(stored) if stored is None:
                self._stored, self._stored_version = None, ABSENT
            case Ok(stored) if stored is not None:
                decoded = decode_state(msgspec.json.encode(stored.value))
                self._stored, self._stored_version = decoded.ok(), stored.version
            case _:
                return False
        return True

    def _is_worth_writing(self, state: LearnedState) -> bool:
        before = self._stored
        is_old = before is None or state.written_at - before.written_at >= REFRESH_SECONDS
        return is_old or change_share(before, state) > MIN_CHANGE_SHARE

    def _incarnations(self) -> dict[str, int]:
        return {m.instance: m.incarnation for m in self.view.members() if not m.is_gone}
