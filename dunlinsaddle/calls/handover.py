"""Gives what a leaving owner knows of its keys to who owns their ranges next.

A caller that resends after a graceful restart gets the stored answer, in place of "unknown" for
ever. The next owner only remembers: it never runs a key of an interval that is not its own.
"""

import asyncio
import logging
from typing import NamedTuple

from result import Ok

from dunlinsaddle.calls.link import PeerLinks
from dunlinsaddle.calls.messages import FinishedKey, KeysPush, Reply
from dunlinsaddle.key_ownership.range_manager import RangeManager
from dunlinsaddle.membership.view import Member, MemberView
from dunlinsaddle.pieces import cut_pieces
from dunlinsaddle.policy.key_table import KeyRecord, KeyTable
from dunlinsaddle.policy.keys import TimestampedKey, parse_key
from dunlinsaddle.policy.ownership import Owner

MAX_MESSAGE_BYTES = 1 << 18  #: of one message: a quarter of a second on a link of ten megabits
KEY_OVERHEAD_BYTES = 256  #: more than a key takes without its answer
MESSAGE_TIMEOUT_SECONDS = (
    2.0  #: seconds for one message, by judgement: what a leaving node can spare
)

Tables = dict[str, KeyTable[Reply]]


class HandoverResult(NamedTuple):
    """How many keys the next owners took, and how many nobody did."""

    taken: int
    not_taken: int


def has_owner_ended(keeper: RangeManager, view: MemberView, service: str, owner: Owner) -> bool:
    """Say whether a run is held to have ended: enough to ask others, never to run its keys."""
    if owner == keeper.me:
        return False
    held, member = keeper.range_map_of(service), view.find(owner.instance)
    superseded = held is not None and held.is_superseded(owner)
    return (
        superseded
        or owner.instance == keeper.me.instance
        or (member is not None and member.is_gone)
    )


def find_next_owner(
    keeper: RangeManager,
    view: MemberView,
    service: str,
    key: TimestampedKey,
    *,
    leaving: bool = False,
) -> Owner | None:
    """Give who was told of a key when its owner left: the next owner that has not ended.

    One that is ``leaving`` itself looks for another one.
    """
    for interval in keeper.later_intervals(service, key):
        owner = interval.owner
        if leaving and owner == keeper.me:
            continue
        if not has_owner_ended(keeper, view, service, owner):
            return owner
    return None


async def hand_over_keys(
    tables: Tables, keeper: RangeManager, view: MemberView, links: PeerLinks
) -> HandoverResult:
    """Give all tables away, piece by piece; only after this node has stopped accepting keys."""
    plans: dict[tuple[str, str], list[KeyRecord[Reply]]] = {}
    left = 0
    for service, table in tables.items():
        for known in table.export_records():
            heir = _heir_of_text(keeper, view, service, known.key)
            if heir is None:
                left += 1
            else:
                plans.setdefault((service, heir.instance), []).append(known)
    gifts = [
        _give(links, view.find(name), service, known) for (service, name), known in plans.items()
    ]
    taken = sum(await asyncio.gather(*gifts))
    return HandoverResult(taken, left + sum(map(len, plans.values())) - taken)


def take_over_keys(tables: Tables, push: KeysPush) -> None:
    """Remember what a leaving owner has told."""
    table = tables.setdefault(push.service, KeyTable())
    for given in push.keys:
        match parse_key(given.key):
            case Ok(TimestampedKey(text, birth)):
                size = given.reply.size if given.reply else 0
                done = given.completed
                table.import_record(
                    KeyRecord(text, birth, given.fingerprint, done, given.reply, size)
                )


def log_handover(logger: logging.Logger, handed: HandoverResult) -> None:
    """Tell operators how many resends will be answered by the next owners."""
    logger.info('keys handed over', extra={'taken': handed.taken, 'left': handed.not_taken})


def _heir_of_text(keeper: RangeManager, view: MemberView, service: str, text: str) -> Owner | None:
    match parse_key(text):
        case Ok(TimestampedKey() as key):
            return find_next_owner(keeper, view, service, key, leaving=True)
    return None


async def _give(
    links: PeerLinks, member: Member | None, service: str, known: list[KeyRecord[Reply]]
) -> int:
    taken = 0
    for piece in cut_pieces(
        known, lambda entry: KEY_OVERHEAD_BYTES + entry.size, MAX_MESSAGE_BYTES
    ):
        keys = [FinishedKey(k.key, k.fingerprint, k.done, k.answer) for k in piece]
        push = KeysPush(0, service, keys)
        if member is None or not await links.push_keys(member.peers, push, MESSAGE_TIMEOUT_SECONDS):
            break
        taken += len(piece)
    return taken
