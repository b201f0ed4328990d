"""The platform's roster of a failure domain: where a fresh node finds the others.

A roster names a few instances, not all: gossip brings the rest. Only the few nodes that the
rendezvous hash picks keep it, so the platform's calls do not grow with the fleet.
"""

import asyncio
from random import Random
from typing import Any, NamedTuple, TypedDict

import msgspec
from result import Ok

from dunlinsaddle.membership.coordinators import COORDINATORS_PER_DOMAIN, rank_by_hash
from dunlinsaddle.membership.protocol import GossipProtocol
from dunlinsaddle.membership.view import Member, State
from dunlinsaddle.platform.store import ABSENT, ObjectStore
from dunlinsaddle.settings import parse_address

ROSTERS = 'rosters'
MIN_LIVE_LISTED = 3  #: live members that a roster must list, for the same reason
MAX_LISTED = 8  #: members that it lists: a fresh node needs one that answers
INITIAL_PERIOD_SECONDS = (
    0.5  #: seconds between the first passes of a node that is alone, doubled each time
)
#: Seconds from the first pass to the second of a node that knows others, and four times as long to
#: each further one: domains that start at the same time find each other's rosters with it.
SECOND_PASS_SECONDS = 2.0
#: Seconds between two passes later; 960 nodes in 3 domains read nine times in it.
MAX_PERIOD_SECONDS = 30.0
#: Seconds between two tries while the platform is out. Nodes that started in the outage know
#: nobody; half of the two seconds in which they have to find each other once it returns.
OUTAGE_RETRY_SECONDS = 1.0
#: Seconds over which keepers spread their pass after the store has returned from a copy: they see
#: it at once, and a fresh node must find the others within two.
RESTORE_SPREAD_SECONDS = 1.0


class RosterEntry(TypedDict):
    """One instance in a roster."""

    instance: str
    incarnation: int
    state: int
    domain: str
    service: str
    peers: str
    gossip: str


class StoredRoster(NamedTuple):
    """A roster as the platform holds it."""

    version: int
    members: list[Member]


def roster_entry_of(member: Member) -> RosterEntry:
    """Give the roster's form of a member."""
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
    """Read a roster entry; None where it cannot be read."""
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
    """Reads all rosters, and writes that of one failure domain."""

    def __init__(self, store: ObjectStore, domain: str) -> None:
        self.store = store
        self.domain = domain

    async def read(self) -> dict[str, StoredRoster] | None:
        """Give the roster of each failure domain; None while the platform is out."""
        match await self.store.list(ROSTERS):
            case Ok(listing):
                return {o.name: StoredRoster(o.version, _members(o.value)) for o in listing.objects}
            case _:
                return None

    async def write(self, members: list[Member], held: StoredRoster | None) -> bool:
        """Replace the roster that was read; say whether that is certain."""
        value = {'members': [roster_entry_of(m) for m in members]}
        expected = held.version if held else ABSENT
        match await self.store.put(ROSTERS, self.domain, value, expected):
            case Ok(_):
                return True
            case _:
                return False


def _members(value: Any) -> list[Member]:
    raw = value.get('members') if isinstance(value, dict) else None
    found = map(member_of_entry, raw if isinstance(raw, list) else [])
    return [m for m in found if m is not None]


class Bootstrap:
    """Finds the others through the platform, and keeps the roster if that falls to this node.

    A node that knows nobody is the keeper of its own small world: it reads at its start, and
    stops as soon as gossip has shown it that others keep the roster.
    """

    def __init__(self, roster: RosterStore, gossip: GossipProtocol, rng: Random) -> None:
        self.roster = roster
        self.gossip = gossip
        self.rng = rng
        self._contacted: set[Member] = set()
        self._asked_all = False
        self._refresh_requested = asyncio.Event()

    @property
    def is_settled(self) -> bool:
        """Whether others are known, or all that are listed have had the time to answer.

        Failure: a restarted node says that it is ready, and refuses what comes at once, for it
        knows of no target yet: those listed are a ping away. A list of the dead holds it up for
        one more pass.
        """
        return self._asked_all or not self._is_alone()

    @property
    def unconfirmed_count(self) -> int:
        """How many are listed that were not known to be alive at the latest look."""
        return len(self._contacted)

    def refresh_soon(self) -> None:
        """Pass again soon: the store lost what was written since the copy that it came from.

        Failure: the copy holds no roster, or one of nodes that have gone. Who starts then finds
        nobody, and refuses its callers until the next pass of a keeper, half a minute later.
        """
        self._refresh_requested.set()

    async def run(self) -> None:
        """Pass until cancelled, soon at first and seldom later."""
        period = INITIAL_PERIOD_SECONDS
        while True:
            answered = await self.run_pass()
            if not answered and self._is_alone():
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
        # Those who know others can wait; if all asked this often, they would hit a platform
        # that has just come back as one.
        view = self.gossip.view
        return not any(m for m in view.members() if m != self.gossip.me and not m.is_gone)

    async def run_pass(self) -> bool:
        """Read and mend the roster, if it falls to this node; False while the platform is out."""
        view = self.gossip.view
        me = self.gossip.me
        if me not in rank_by_hash(view, me.domain)[:COORDINATORS_PER_DOMAIN]:
            return True
        rosters = await self.roster.read()
        if rosters is None:
            return False
        if not self._contact_unconfirmed(rosters):
            self._asked_all = True
            await self._repair(rosters)
        return True

    async def _repair(self, rosters: dict[str, StoredRoster]) -> None:
        view = self.gossip.view
        me = self.gossip.me
        held = rosters.get(me.domain)
        live = rank_by_hash(view, me.domain)[:MAX_LISTED]
        usable = [m for m in held.members if self._is_usable(m)] if held else []
        if len(usable) < min(MIN_LIVE_LISTED, len(live)):
            await self.roster.write(live, held)

    def _contact_unconfirmed(self, rosters: dict[str, StoredRoster]) -> bool:
        """Call those who are not known to be alive; say whether one is called the first time."""
        listed = {m for held in rosters.values() for m in held.members}
        strangers = {m for m in listed if not self._is_usable(m)}
        fresh = strangers - self._contacted
        self._contacted = strangers
        now = asyncio.get_running_loop().time()
        self.gossip.request_sync(now, [m.gossip for m in strangers])
        return bool(fresh)

    def _is_usable(self, listed: Member) -> bool:
        known = self.gossip.view.find(listed.instance)
        return known is not None and not known.is_gone and known.gossip == listed.gossip
