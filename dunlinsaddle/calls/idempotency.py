"""Gives each call that is not idempotent to the one node that may run its key."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple

from result import Err

from dunlinsaddle.calls.call_state import PendingCall, read_call_frame
from dunlinsaddle.calls.execute import Executor
from dunlinsaddle.calls.handover import find_next_owner, has_owner_ended
from dunlinsaddle.calls.link import PeerLinks
from dunlinsaddle.calls.member_calls import MemberCaller, to_candidates
from dunlinsaddle.calls.messages import Call, Lost, NotSent, Reply, refusal
from dunlinsaddle.calls.owned_keys import OwnedKeys
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

MAX_OWNER_HOPS = 2  #: an entry asks one node, and that one may know a newer owner
UNREACHABLE_KINDS = frozenset(
    {ErrorKind.OWNER_UNAVAILABLE.value, ErrorKind.OWNER_UNREACHABLE.value}
)
KEY_HEADER = b'idempotency-key'


class KeyRoute(NamedTuple):
    """How far a call has come on its way to the owner of its key.

    ``asked`` counts the nodes that were taken for the owner before this one. ``fresh`` says
    that this very node made the key: nobody else can have run it before. ``reread`` says that
    the map was read again for this call.
    """

    asked: int = 0
    fresh: bool = False
    reread: bool = False


class IdempotencyRouter:
    """The entry's and the owner's side of at-most-once.

    "Not run" is said of the key, not of one attempt, for a caller may have sent the key by
    another entry before. So it comes only from the key's owner, from a node that minted the
    key itself, or on a fresh reading that nobody owns the key.
    """

    def __init__(
        self,
        keeper: RangeManager,
        view: MemberView,
        router: Router,
        links: PeerLinks,
        executor: Executor,
        stats: Stats,
        rng: Random,
        window: Callable[[str], float],
    ) -> None:
        self.keeper = keeper
        self.view = view
        self.router = router
        self.rng = rng
        self.member_calls = MemberCaller(router, links)
        self.owned_keys = OwnedKeys(
            keeper.me, keeper.clock, view, self.member_calls, executor, stats, window
        )
        self._refreshing: set[asyncio.Task[bool]] = set()

    @property
    def me(self) -> Owner:
        """The present run of this instance."""
        return self.keeper.me

    async def handle(self, call: PendingCall) -> Reply:
        """Answer a call that came in here, from a caller or from the local target."""
        if not call.ctx.key:
            return await self._enter_without_key(call)
        parsed = parse_key(call.ctx.key)
        if isinstance(parsed, Err):
            return refusal(Failure(ErrorKind.KEY_MALFORMED, parsed.err_value))
        return await self._route(call, parsed.ok_value, KeyRoute())

    async def handle_peer_call(self, frame: Call) -> Reply:
        """Answer another node that takes this one for the owner of the call's key."""
        call = read_call_frame(frame, asyncio.get_running_loop().time())
        parsed = parse_key(frame.idempotency_key)
        if isinstance(parsed, Err):
            return refusal(Failure(ErrorKind.KEY_MALFORMED, parsed.err_value))
        reply = await self._route(call, parsed.ok_value, KeyRoute(frame.owner_lookups))
        reply.unspent_retry_tokens = call.allowance.tokens
        return reply

    async def mint_key(self, service: str) -> TimestampedKey:
        """Make a key that a node which can be reached owns now, for a caller to send."""
        if self.keeper.range_map_of(service) is None:
            await self.keeper.refresh(service)
        return self._mint_key(service, set())

    def status(self, service: str) -> dict[str, Any]:
        """Give what an operator wants to know of the keys here; times in seconds."""
        owned_ranges = self.keeper.owned_ranges(service)
        age = owned_ranges.platform_age
        return {
            'ranges': owned_ranges.ranges,
            'owned_until': owned_ranges.until and owned_ranges.until / 1000,
            'platform_answered_ago': age if age is None else round(age, 1),
            'held': {name: len(table) for name, table in self.tables.items()},
        }

    @property
    def tables(self) -> dict[str, KeyTable[Reply]]:
        """What is remembered of keys, by service."""
        return self.owned_keys.tables

    async def wait_idle(self) -> None:
        """Wait until no run that this node decided on is in progress, here or elsewhere."""
        await self.owned_keys.wait_idle()

    async def _enter_without_key(self, call: PendingCall) -> Reply:
        """Mint a key that a reachable node owns; another one if that node was never reached."""
        service = call.ctx.service
        if self.keeper.range_map_of(service) is None:
            await self.keeper.refresh(service)
        tried: set[str] = set()
        while True:
            key = self._mint_key(service, tried)
            headers = [*call.headers, (KEY_HEADER, key.text.encode())]
            keyed = call._replace(ctx=call.ctx._replace(key=key.text), headers=headers)
            reply = await self._route(keyed, key, KeyRoute(fresh=True))
            if reply.kind != ErrorKind.OWNER_UNAVAILABLE.value:
                return reply
            interval = self.keeper.find(service, key)
            if interval is None or not call.allowance.spend():
                return reply
            tried.add(interval.owner.instance)

    def _mint_key(self, service: str, tried: set[str]) -> TimestampedKey:
        now = self.keeper.clock()
        held = self.keeper.range_map_of(service) or RangeMap()
        ranges: dict[str, list[int]] = {}
        for number in range(RANGE_COUNT):
            interval = held.find(number, now)
            if interval is not None:
                ranges.setdefault(interval.owner.instance, []).append(number)
        members = [m for m in self.view.serving_members(service) if m.instance in ranges]
        candidates = to_candidates(members)
        now_loop = asyncio.get_running_loop().time()
        chosen = self.router.choose(now_loop, candidates, frozenset(tried))
        return generate_key(now, self.rng, service, ranges[chosen.instance] if chosen else ())

    async def _route(self, call: PendingCall, key: Key, way: KeyRoute) -> Reply:
        known = self.owned_keys.find_reply(call, key.text)
        if known is not None:
            return known
        match key:
            case OpaqueKey():
                return await self._route_opaque(call, key, way)
            case TimestampedKey():
                return await self._route_born(call, key, way)

    async def _route_opaque(self, call: PendingCall, key: OpaqueKey, way: KeyRoute) -> Reply:
        claim = await claim_key(
            self.keeper.store, call.ctx.service, key, self.me, self.keeper.clock
        )
        if claim is None:
            return self.owned_keys.refuse(
                ErrorKind.PLATFORM_UNAVAILABLE, 'the key cannot be claimed'
            )
        if claim.owner == self.me:
            return await self.owned_keys.run_once(call, key, claim.birth)
        return await self._ask(call, claim.owner, way)

    async def _route_born(self, call: PendingCall, key: TimestampedKey, way: KeyRoute) -> Reply:
        service = call.ctx.service
        interval = self.keeper.find(service, key)
        if not way.reread and self._doubtful(service, interval, way):
            way = way._replace(reread=await self.keeper.refresh(service))
            interval = self.keeper.find(service, key)
        elif self.keeper.is_stale(service):
            self._refresh_later(service)
        if interval is None:
            return await self._route_unowned(call, key, way)
        if interval.owner == self.me:
            return await self._own_born(call, key)
        reply = await self._ask(call, self._witness(service, key, interval.owner, way), way)
        reply = self._new_key_turned_down(reply) if way.fresh else reply
        if (
            reply.kind not in UNREACHABLE_KINDS
            or way.reread
            or not await self.keeper.refresh(service)
        ):
            return reply
        newer = self.keeper.find(service, key)
        if newer is None or newer.owner == interval.owner:
            return reply
        return await self._route_born(call, key, way._replace(reread=True))

    def _doubtful(self, service: str, interval: Interval | None, way: KeyRoute) -> bool:
        """Say whether a newer map may name another owner than this interval does."""
        if interval is None:
            return True
        if interval.owner == self.me:
            return False
        # Whoever asked takes this node for the owner, by a map that may be newer than ours.
        return way.asked > 0 or self._ended(service, interval.owner)

    def _ended(self, service: str, owner: Owner) -> bool:
        return has_owner_ended(self.keeper, self.view, service, owner)

    def _witness(self, service: str, key: TimestampedKey, owner: Owner, way: KeyRoute) -> Owner:
        """Give who can answer for a key: its owner, or who that one told of it when it left."""
        if way.fresh or not self._ended(service, owner):
            return owner
        heir = find_next_owner(self.keeper, self.view, service, key)
        return owner if heir is None or heir == self.me else heir

    async def _own_born(self, call: PendingCall, key: TimestampedKey) -> Reply:
        if self.keeper.try_accept(call.ctx.service, key):
            return await self.owned_keys.run_once(call, key, key.birth)
        # The range is on its way to another node, and the write that says so is not settled.
        return self.owned_keys.refuse(ErrorKind.OWNER_UNREACHABLE, 'the key is being handed over')

    async def _route_unowned(self, call: PendingCall, key: TimestampedKey, way: KeyRoute) -> Reply:
        held = self.keeper.range_map_of(call.ctx.service)
        if held is not None and held.is_pruned(range_number(call.ctx.service, key), key.birth):
            return self.owned_keys.refuse(
                ErrorKind.KEY_EXPIRED, 'older than all that is remembered'
            )
        if way.reread and key.birth > self.keeper.clock() + self.keeper.horizon:
            return self.owned_keys.refuse(
                ErrorKind.KEY_IN_FUTURE, 'no node owns keys of that time yet'
            )
        # Without any map, as after a start in an outage of the platform, others may know more.
        if way.reread or (way.fresh and held is not None):
            return self.owned_keys.refuse(ErrorKind.OWNER_UNAVAILABLE, 'no node owns this key now')
        others = [
            m for m in self.view.serving_members(call.ctx.service) if m.instance != self.me.instance
        ]
        if not others or way.asked >= MAX_OWNER_HOPS:
            kind = ErrorKind.OWNER_UNAVAILABLE if way.fresh else ErrorKind.OWNER_UNREACHABLE
            return self.owned_keys.refuse(kind, 'no node here knows the owner')
        reply = await self._send(call, self.rng.choice(others), way)
        return self._new_key_turned_down(reply) if way.fresh else reply

    async def _ask(self, call: PendingCall, owner: Owner, way: KeyRoute) -> Reply:
        member = self.view.find(owner.instance)
        ended = self._ended(call.ctx.service, owner)
        if way.fresh and (member is None or ended):
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
        if way.asked >= MAX_OWNER_HOPS:
            return self.owned_keys.refuse(
                ErrorKind.OWNER_UNREACHABLE, f'{owner.instance} was not asked'
            )
        return await self._send(call, member, way)

    async def _send(self, call: PendingCall, member: Member, way: KeyRoute) -> Reply:
        match await self.member_calls.call(call, member, owner_lookups=way.asked + 1):
            case Reply() as reply:
                return reply
            case NotSent(detail) if way.fresh:
                return self.owned_keys.refuse(ErrorKind.OWNER_UNAVAILABLE, detail)
            case NotSent(detail):
                return self.owned_keys.refuse(ErrorKind.OWNER_UNREACHABLE, detail)
            case Lost(detail, kind):
                return refusal(Failure(kind, detail))

    def _new_key_turned_down(self, reply: Reply) -> Reply:
        """Say "not run" of a key that was made for this call, if each node asked turned it down."""
        if reply.kind != ErrorKind.OWNER_UNREACHABLE.value:
            return reply
        return self.owned_keys.refuse(ErrorKind.OWNER_UNAVAILABLE, 'its owner cannot be reached')

    def _refresh_later(self, service: str) -> None:
        task = asyncio.get_running_loop().create_task(self.keeper.refresh(service))
        self._refreshing.add(task)
        task.add_done_callback(self._refreshing.discard)
