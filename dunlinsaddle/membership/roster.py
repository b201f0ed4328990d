"""Rosters in the platform's store, from which a new node learns addresses of other nodes.

There is one roster per failure domain. It lists only a few instances; gossip provides the others.
Only the coordinators of the domain, selected by rendezvous hashing, maintain it, so the number of
store calls does not grow with the fleet.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple, TypedDict

import msgspec
from result import Ok

from dunlinsaddle.membership.coordinators import COORDINATORS_PER_DOMAIN, rank_by_hash
from dunlinsaddle.membership.protocol import GossipProtocol
from dunlinsaddle.membership.view import Member, State
from dunlinsaddle.platform.store import ABSENT, ObjectStore
from dunlinsaddle.settings import parse_address

ROSTER_KIND = 'rosters'
MIN_LIVE_LISTED = 3  #: live members that a roster must list: one remains when any two are lost
MAX_LISTED = 8  #: members that a roster lists; a new node needs one that answers
INITIAL_PERIOD_SECONDS = 0.5  #: period of a node that knows no others, doubled with each pass
#: Delay of the second pass of a node that knows others, quadrupled with each pass: domains that
#: start at the same time discover each other's rosters this way.
SECOND_PASS_SECONDS = 2.0
#: Longest period; a fleet of 960 nodes in 3 domains reads nine times within it.
MAX_PERIOD_SECONDS = 30.0
#: Retry period of a node that knows no others while the store is unavailable: half of the two
#: seconds in which nodes that started during the outage must find each other after it ends.
OUTAGE_RETRY_SECONDS = 1.0
#: Window over which the coordinators spread their pass after the store was restored from a backup.
#: They all notice it at once, and a new node must find the others within two seconds.
RESTORE_SPREAD_SECONDS = 1.0


class RosterEntry(TypedDict):
    """A member as stored in a roster."""

    instance: str
    incarnation: int
    state: int
    domain: str
    service: str
    peers: str
    gossip: str


class StoredRoster(NamedTuple):
    """A roster and its version in the store."""

    version: int
    members: list[Member]


def roster_entry_of(member: Member) -> RosterEntry:
    """Return the roster entry of a member."""
    return RosterEntry(
        instance=member.instance,
        incarnation=member.incarnation,
        state=int(member.state),
        domain=member.domain,
        service=member.service,
        peers=str(member.peers),
        gossip=str(member.gossip),
    )


def member_of_entry(raw: Any) -> Member | None:
    """Return the member of a stored roster entry, or None if the entry is invalid."""
    try:
        entry = msgspec.convert(raw, RosterEntry)
        return Member(
            entry['instance'],
            entry['incarnation'],
            State(entry['state']),
            entry['domain'],
            entry['service'],
            parse_address(entry['peers']),
            parse_address(entry['gossip']),
        )
    except (msgspec.MsgspecError, ValueError):
        return None


class RosterStore:
    """Reads the rosters of all failure domains and writes that of one."""

    def __init__(self, store: ObjectStore, domain: str) -> None:
        self.store = store
        self.domain = domain

    async def read(self) -> dict[str, StoredRoster] | None:
        """Return the roster of each failure domain, or None if the store is unavailable."""
        match await self.store.list(ROSTER_KIND):
            case Ok(listing):
                return {o.name: StoredRoster(o.version, _members(o.value)) for o in listing.objects}
            case _:
                return None

    async def write(self, members: list[Member], stored: StoredRoster | None) -> bool:
        """Replace the roster that was read; return whether the write was confirmed."""
        value = {'members': [roster_entry_of(m) for m in members]}
        expected = stored.version if stored else ABSENT
        match await self.store.put(ROSTER_KIND, self.domain, value, expected):
            case Ok(_):
                return True
            case _:
                return False


def _members(value: Any) -> list[Member]:
    raw = value.get('members') if isinstance(value, dict) else None
    members = map(member_of_entry, raw if isinstance(raw, list) else [])
    return [m for m in members if m is not None]


class Bootstrap:
    """Discovers other nodes through the rosters, and maintains the roster if this node coordinates.

    A node that knows no others counts as a coordinator: it reads the rosters at its start, and
    stops as soon as gossip shows that other nodes are the coordinators.
    """

    def __init__(self, roster: RosterStore, gossip: GossipProtocol, rng: Random) -> None:
        self.roster = roster
        self.gossip = gossip
        self.rng = rng
        self._unconfirmed: set[Member] = set()
        self._all_contacted = False
        self._refresh_requested = asyncio.Event()
        #: Called when members of a roster are to be contacted, which the next tick does.
        self.on_contacts: Callable[[], None] = lambda: None

    @property
    def is_settled(self) -> bool:
        """Whether other nodes are known, or all listed ones had time to answer.

        Without this check, a restarted node reports ready before the listed nodes answer its first
        message, and rejects requests because it knows no target yet. If all listed nodes are dead,
        it becomes ready one pass later.
        """
        return self._all_contacted or not self._is_alone()

    @property
    def unconfirmed_count(self) -> int:
        """Number of listed members that were not known to be alive in the latest pass."""
        return len(self._unconfirmed)

    def refresh_soon(self) -> None:
        """Run the next pass soon, because the store was restored from a backup.

        The backup may contain no roster, or one that lists only nodes that are gone. A node that
        starts then would find no others and reject its callers until a coordinator's next pass,
        half a minute later.
        """
        self._refresh_requested.set()

    async def run(self) -> None:
        """Run passes until cancelled, with increasing periods."""
        period = INITIAL_PERIOD_SECONDS
        while True:
            is_available = await self.run_pass()
            if not is_available and self._is_alone():
                await asyncio.sleep(OUTAGE_RETRY_SECONDS * self.rng.uniform(0.5, 1.0))
                continue
            await self._pause(period * self.rng.uniform(0.5, 1.5))
            if self._is_alone():
                period = min(2 * period, MAX_PERIOD_SECONDS)
                continue
            if period < SECOND_PASS_SECONDS:
                await self._pause(SECOND_PASS_SECONDS)
            period = min(4 * max(period, SECOND_PASS_SECONDS), MAX_PERIOD_SECONDS)

    async def _pause(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._refresh_requested.wait()
        except TimeoutError:
            return
        self._refresh_requested.clear()
        await asyncio.sleep(self.rng.uniform(0, RESTORE_SPREAD_SECONDS))

    def _is_alone(self) -> bool:
        # Nodes that know others need no fast retries: if all nodes retried this often, they would
        # overload a store that has just recovered.
        view = self.gossip.view
        return not any(m for m in view.members() if m != self.gossip.me and not m.is_gone)

    async def run_pass(self) -> bool:
        """Read and repair the roster if this node coordinates; False if the store is down."""
        view = self.gossip.view
        me = self.gossip.me
        if me not in rank_by_hash(view, me.domain)[:COORDINATORS_PER_DOMAIN]:
            return True
        rosters = await self.roster.read()
        if rosters is None:
            return False
        if not self._contact_unconfirmed(rosters):
            self._all_contacted = True
            await self._repair(rosters)
        return True

    async def _repair(self, rosters: dict[str, StoredRoster]) -> None:
        view = self.gossip.view
        me = self.gossip.me
        stored = rosters.get(me.domain)
        live = rank_by_hash(view, me.domain)[:MAX_LISTED]
        usable = [m for m in stored.members if self._is_usable(m)] if stored else []
        if len(usable) < min(MIN_LIVE_LISTED, len(live)):
            await self.roster.write(live, stored)

    def _contact_unconfirmed(self, rosters: dict[str, StoredRoster]) -> bool:
        """Sync with listed members not known to be alive; return whether one is listed newly."""
        listed = {m for stored in rosters.values() for m in stored.members}
        unconfirmed = {m for m in listed if not self._is_usable(m)}
        newly_listed = unconfirmed - self._unconfirmed
        self._unconfirmed = unconfirmed
        now = asyncio.get_running_loop().time()
        self.gossip.request_sync(now, [m.gossip for m in unconfirmed])
        if newly_listed:
            self.on_contacts()
        return bool(newly_listed)

    def _is_usable(self, listed: Member) -> bool:
        known = self.gossip.view.find(listed.instance)
        return known is not None and not known.is_gone and known.gossip == listed.gossip
