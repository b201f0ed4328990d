"""The platform's roster of a failure domain: where a fresh node finds the others."""

from typing import Any, TypedDict

import msgspec
from result import Err, Ok

from dunlinsaddle.membership.view import Member, State
from dunlinsaddle.platform.store import ABSENT, Conflict, ObjectStore
from dunlinsaddle.settings import read_address

ROSTERS = 'rosters'
WRITE_TRIES = 8


class RosterEntry(TypedDict):
    """One instance in a roster."""

    instance: str
    incarnation: int
    state: int
    domain: str
    service: str
    peers: str
    gossip: str


def entry_of(member: Member) -> RosterEntry:
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


def member_of(raw: Any) -> Member | None:
    """Read a roster entry; None where it cannot be read."""
    try:
        entry = msgspec.convert(raw, RosterEntry)
        return Member(
            entry['instance'],
            entry['incarnation'],
            State(entry['state']),
            entry['domain'],
            entry['service'],
            read_address(entry['peers']),
            read_address(entry['gossip']),
        )
    except (msgspec.MsgspecError, ValueError):
        return None


class Roster:
    """Reads all rosters, and keeps one's own entry in that of its domain."""

    def __init__(self, store: ObjectStore, domain: str) -> None:
        self.store = store
        self.domain = domain

    async def read(self) -> list[Member] | None:
        """Give all members that any roster names; None while the platform is out."""
        match await self.store.list(ROSTERS):
            case Ok(listing):
                raw = [e for o in listing.objects for e in (o.value or {}).get('members', [])]
                return [m for m in map(member_of, raw) if m is not None]
            case _:
                return None

    async def write(self, member: Member) -> bool:
        """Put one member into its domain's roster; say whether that is certain."""
        for _ in range(WRITE_TRIES):
            match await self.store.get(ROSTERS, self.domain):
                case Ok(held):
                    pass
                case _:
                    return False
            entries: list[Any] = list((held.value or {}).get('members', [])) if held else []
            entries = [e for e in entries if e['instance'] != member.instance]
            entries.append(entry_of(member))
            expected = held.version if held else ABSENT
            match await self.store.put(ROSTERS, self.domain, {'members': entries}, expected):
                case Ok(_):
                    return True
                case Err(Conflict()):
                    continue
                case _:
                    return False
        return False
