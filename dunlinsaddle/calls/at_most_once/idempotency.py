"""Routing of calls that are not idempotent to the only node that may run their key."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple

from result import Err

from dunlinsaddle.calls.at_most_once.handover import find_next_owner, has_owner_ended
from dunlinsaddle.calls.at_most_once.owned_keys import OwnedKeys
from dunlinsaddle.calls.call_state import PendingCall, read_call_frame
from dunlinsaddle.calls.execute import Executor
from dunlinsaddle.calls.messages import Call, Lost, NotSent, Reply, refusal
from dunlinsaddle.calls.outbound.link import PeerLinks
from dunlinsaddle.calls.outbound.member_calls import MemberCaller, to_candidates
from dunlinsaddle.errors import ErrorKind, Failure
from dunlinsaddle.key_ownership.claims import claim_key
from dunlinsaddle.key_ownership.range_manager import RangeManager
from dunlinsaddle.membership.view import Member, MemberView
from dunlinsaddle.policy.key_table import KeyTable
from dunlinsaddle.policy.keys import (
    RANGE_COUNT,
    Key,
    OpaqueKey,
    TimestampedKey,
    generate_key,
    parse_key,
    range_number,
)
from dunlinsaddle.policy.ownership import Interval, Owner, RangeMap
from dunlinsaddle.policy.route import Router
from dunlinsaddle.stats import Stats

MAX_OWNER_HOPS = 2  #: the entry node asks a node, which may know a newer owner
UNREACHABLE_KINDS = frozenset(
    {ErrorKind.OWNER_UNAVAILABLE.value, ErrorKind.OWNER_UNREACHABLE.value}
)
KEY_HEADER = b'idempotency-key'


class KeyRoute(NamedTuple):
    """State of a call while it is forwarded to the owner of its key.

    ``nodes_asked`` counts the nodes that were asked as the supposed owner before this one.
    ``is_generated_here`` is set if this node created the key, so that no other node can have run it
    before. ``is_map_refreshed`` is set if the map of owners was read again for this call.
    """

    nodes_asked: int = 0
    is_generated_here: bool = False
    is_map_refreshed: bool = False


class IdempotencyRouter:
    """Executes keyed calls at most once: forwards each to the owner of its key, or runs it here.

    "Not run" refers to the key, not to one attempt, because the caller may have sent the key
    through another node before. Therefore only these may answer it: the owner of the key, the
    node that generated the key, and a node that has just read that no node owns the key.
    """

    def __init__(
        self,
        range_manager: RangeManager,
        view: MemberView,
        router: Router,
        links: PeerLinks,
        executor: Executor,
        stats: Stats,
        rng: Random,
        key_window: Callable[[str], float],
    ) -> None:
        self.range_manager = range_manager
        self.view = view
        self.router = router
        self.rng = rng
        self.member_calls = MemberCaller(router, links)
        self.owned_keys = OwnedKeys(
            range_manager.me,
            range_manager.clock,
            view,
            self.member_calls,
            executor,
            stats,
            key_window,
        )
        self._refresh_tasks: set[asyncio.Task[bool]] = set()

    @property
    def me(self) -> Owner:
        """The owner identity of this process: its instance and the epoch of its present run."""
        return self.range_manager.me

    async def handle(self, call: PendingCall) -> Reply:
        """Handle a call that entered the system here, from a caller or from the local target."""
        if not call.ctx.key:
            return await self._handle_without_key(call)
        parsed = parse_key(call.ctx.key)
        if isinstance(parsed, Err):
            return refusal(Failure(ErrorKind.KEY_MALFORMED, parsed.err_value))
        return await self._route(call, parsed.ok_value, KeyRoute())

    async def handle_peer_call(self, frame: Call) -> Reply:
        """Handle a call forwarded by a node that considers this one the owner of its key."""
        call = read_call_frame(frame, asyncio.get_running_loop().time())
        parsed = parse_key(frame.idempotency_key)
        if isinstance(parsed, Err):
            return refusal(Failure(ErrorKind.KEY_MALFORMED, parsed.err_value))
        reply = await self._route(call, parsed.ok_value, KeyRoute(frame.owner_lookups))
        reply.unspent_retry_tokens = call.allowance.tokens
        return reply

    async def generate_key(self, service: str) -> TimestampedKey:
        """Create a key for a caller that is owned by a node which can be reached."""
        if self.range_manager.range_map_of(service) is None:
            await self.range_manager.refresh(service)
        return self._generate_key(service, set())

    def status(self, service: str) -> dict[str, Any]:
        """Return the state of the keys at this node for operators; times in seconds."""
        owned_ranges = self.range_manager.owned_ranges(service)
        age = owned_ranges.platform_age
        return {
            'ranges': owned_ranges.ranges,
            'owned_until': owned_ranges.until and owned_ranges.until / 1000,
            'platform_answered_ago': age if age is None else round(age, 1),
            'held': {name: len(table) for name, table in self.tables.items()},
        }

    @property
    def tables(self) -> dict[str, KeyTable[Reply]]:
        """The remembered keys, by service."""
        return self.owned_keys.tables

    async def wait_idle(self) -> None:
        """Wait until no run started by this node as an owner is in progress, on any node."""
        await self.owned_keys.wait_idle()

    async def _handle_without_key(self, call: PendingCall) -> Reply:
        """Generate a key of a serving node, and another one while its owner is unreachable."""
        service = call.ctx.service
        if self.range_manager.range_map_of(service) is None:
            await self.range_manager.refresh(service)
        tried_instances: set[str] = set()
        while True:
            key = self._generate_key(service, tried_instances)
            headers = [*call.headers, (KEY_HEADER, key.text.encode())]
            call_with_key = call._replace(ctx=call.ctx._replace(key=key.text), headers=headers)
            reply = await self._route(call_with_key, key, KeyRoute(is_generated_here=True))
            if reply.kind != ErrorKind.OWNER_UNAVAILABLE.value:
                return reply
            interval = self.range_manager.find(service, key)
            if interval is None or not call.allowance.spend():
                return reply
            tried_instances.add(interval.owner.instance)

    def _generate_key(self, service: str, tried_instances: set[str]) -> TimestampedKey:
        now = self.range_manager.clock()
        range_map = self.range_manager.range_map_of(service) or RangeMap()
        ranges: dict[str, list[int]] = {}
        for number in range(RANGE_COUNT):
            interval = range_map.find(number, now)
            if interval is not None:
                ranges.setdefault(interval.owner.instance, []).append(number)
        members = [m for m in self.view.serving_members(service) if m.instance in ranges]
        candidates = to_candidates(members)
        loop_time = asyncio.get_running_loop().time()
        chosen = self.router.choose(loop_time, candidates, frozenset(tried_instances))
        return generate_key(now, self.rng, service, ranges[chosen.instance] if chosen else ())

    async def _route(self, call: PendingCall, key: Key, route: KeyRoute) -> Reply:
        known_reply = self.owned_keys.find_reply(call, key.text)
        if known_reply is not None:
            return known_reply
        match key:
            case OpaqueKey():
                return await self._route_opaque_key(call, key, route)
            case TimestampedKey():
                return await self._route_timestamped_key(call, key, route)

    async def _route_opaque_key(self, call: PendingCall, key: OpaqueKey, route: KeyRoute) -> Reply:
        claim = await claim_key(
            self.range_manager.store, call.ctx.service, key, self.me, self.range_manager.clock
        )
        if claim is None:
            return self.owned_keys.refuse(
                ErrorKind.PLATFORM_UNAVAILABLE, 'the key cannot be claimed'
            )
        if claim.owner == self.me:
            return await self.owned_keys.run_once(call, key, claim.birth)
        return await self._forward_to_owner(call, claim.owner, route)

    async def _route_timestamped_key(
        self, call: PendingCall, key: TimestampedKey, route: KeyRoute
    ) -> Reply:
        service = call.ctx.service
        interval = self.range_manager.find(service, key)
        if not route.is_map_refreshed and self._may_be_outdated(service, interval, route):
            route = route._replace(is_map_refreshed=await self.range_manager.refresh(service))
            interval = self.range_manager.find(service, key)
        elif self.range_manager.is_stale(service):
            self._refresh_in_background(service)
        if interval is None:
            return await self._route_unowned_key(call, key, route)
        if interval.owner == self.me:
            return await self._run_owned_key(call, key)
        reply = await self._forward_to_owner(
            call, self._choose_answering_owner(service, key, interval.owner, route), route
        )
        reply = self._mark_not_run(reply) if route.is_generated_here else reply
        if (
            reply.kind not in UNREACHABLE_KINDS
            or route.is_map_refreshed
            or not await self.range_manager.refresh(service)
        ):
            return reply
        newer_interval = self.range_manager.find(service, key)
        if newer_interval is None or newer_interval.owner == interval.owner:
            return reply
        return await self._route_timestamped_key(call, key, route._replace(is_map_refreshed=True))

    def _may_be_outdated(self, service: str, interval: Interval | None, route: KeyRoute) -> bool:
        """Return whether a newer map may name a different owner than this interval."""
        if interval is None:
            return True
        if interval.owner == self.me:
            return False
        # A node that forwarded the call here considers this node the owner, perhaps by a newer
        # map.
        return route.nodes_asked > 0 or self._has_ended(service, interval.owner)

    def _has_ended(self, service: str, owner: Owner) -> bool:
        return has_owner_ended(self.range_manager, self.view, service, owner)

    def _choose_answering_owner(
        self, service: str, key: TimestampedKey, owner: Owner, route: KeyRoute
    ) -> Owner:
        """Return the node to ask about a key: its owner, or the next owner if that has ended."""
        if route.is_generated_here or not self._has_ended(service, owner):
            return owner
        next_owner = find_next_owner(self.range_manager, self.view, service, key)
        return owner if next_owner is None or next_owner == self.me else next_owner

    async def _run_owned_key(self, call: PendingCall, key: TimestampedKey) -> Reply:
        if self.range_manager.try_accept(call.ctx.service, key):
            return await self.owned_keys.run_once(call, key, key.birth)
        # The range is being handed over to another node, and that write is not confirmed yet.
        return self.owned_keys.refuse(ErrorKind.OWNER_UNREACHABLE, 'the key is being handed over')

    async def _route_unowned_key(
        self, call: PendingCall, key: TimestampedKey, route: KeyRoute
    ) -> Reply:
        range_map = self.range_manager.range_map_of(call.ctx.service)
        if range_map is not None and range_map.is_pruned(
            range_number(call.ctx.service, key), key.birth
        ):
            return self.owned_keys.refuse(
                ErrorKind.KEY_EXPIRED, 'older than all that is remembered'
            )
        if (
            route.is_map_refreshed
            and key.birth > self.range_manager.clock() + self.range_manager.horizon
        ):
            return self.owned_keys.refuse(
                ErrorKind.KEY_IN_FUTURE, 'no node owns keys of that time yet'
            )
        # Without a map, as after a start during an outage of the platform, other nodes may know
        # the owner.
        if route.is_map_refreshed or (route.is_generated_here and range_map is not None):
            return self.owned_keys.refuse(ErrorKind.OWNER_UNAVAILABLE, 'no node owns this key now')
        others = [
            m for m in self.view.serving_members(call.ctx.service) if m.instance != self.me.instance
        ]
        if not others or route.nodes_asked >= MAX_OWNER_HOPS:
            kind = (
                ErrorKind.OWNER_UNAVAILABLE
                if route.is_generated_here
                else ErrorKind.OWNER_UNREACHABLE
            )
            return self.owned_keys.refuse(kind, 'no node here knows the owner')
        reply = await self._forward(call, self.rng.choice(others), route)
        return self._mark_not_run(reply) if route.is_generated_here else reply

    async def _forward_to_owner(self, call: PendingCall, owner: Owner, route: KeyRoute) -> Reply:
        member = self.view.find(owner.instance)
        ended = self._has_ended(call.ctx.service, owner)
        if route.is_generated_here and (member is None or ended):
            return self.owned_keys.refuse(
                ErrorKind.OWNER_UNAVAILABLE, f'{owner.instance} is not there'
            )
        if ended:
            detail = f'{owner.instance}, which alone could have run it, has ended'
            return self.owned_keys.refuse(ErrorKind.OUTCOME_UNKNOWN, detail)
        if member is None:
            return self.owned_keys.refuse(
                ErrorKind.OWNER_UNREACHABLE, f'{owner.instance} is not known here'
            )
        if route.nodes_asked >= MAX_OWNER_HOPS:
            return self.owned_keys.refuse(
                ErrorKind.OWNER_UNREACHABLE,
                f'{owner.instance} was not asked',
            )
        return await self._forward(call, member, route)

    async def _forward(self, call: PendingCall, member: Member, route: KeyRoute) -> Reply:
        match await self.member_calls.call(call, member, owner_lookups=route.nodes_asked + 1):
            case Reply() as reply:
                return reply
            case NotSent(detail) if route.is_generated_here:
                return self.owned_keys.refuse(ErrorKind.OWNER_UNAVAILABLE, detail)
            case NotSent(detail):
                return self.owned_keys.refuse(ErrorKind.OWNER_UNREACHABLE, detail)
            case Lost(detail, kind):
                return refusal(Failure(kind, detail))

    def _mark_not_run(self, reply: Reply) -> Reply:
        """Answer "not run" for a key generated here that no node accepted.

        The key was created for this call, so no earlier attempt can have run it.
        """
        if reply.kind != ErrorKind.OWNER_UNREACHABLE.value:
            return reply
        return self.owned_keys.refuse(ErrorKind.OWNER_UNAVAILABLE, 'its owner cannot be reached')

    def _refresh_in_background(self, service: str) -> None:
        task = asyncio.get_running_loop().create_task(self.range_manager.refresh(service))
        self._refresh_tasks.add(task)
        task.add_done_callback(self._refresh_tasks.discard)
