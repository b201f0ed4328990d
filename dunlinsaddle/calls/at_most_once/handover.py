"""Handover of the remembered keys of a leaving owner to the next owners of their ranges.

After a graceful restart, a caller that resends a key gets the stored reply; without the handover
its outcome would stay unknown. The next owner only remembers these keys: it never runs a key of an
interval that it does not own.
"""

import asyncio
import logging
from typing import NamedTuple

from result import Ok

from dunlinsaddle.batches import split_into_batches
from dunlinsaddle.calls.messages import FinishedKey, KeysPush, Reply
from dunlinsaddle.calls.outbound.link import PeerLinks
from dunlinsaddle.key_ownership.range_manager import RangeManager
from dunlinsaddle.membership.view import Member, MemberView
from dunlinsaddle.policy.key_table import KeyRecord, KeyTable
from dunlinsaddle.policy.keys import TimestampedKey, parse_key
from dunlinsaddle.policy.ownership import Owner

MAX_MESSAGE_BYTES = 1 << 18  #: 0.25 s on a link of 10 Mbit/s
KEY_OVERHEAD_BYTES = 256  #: upper bound of the size of an entry without its reply
MESSAGE_TIMEOUT_SECONDS = 2.0  #: short, because a leaving node has little time

Tables = dict[str, KeyTable[Reply]]


class HandoverResult(NamedTuple):
    """Numbers of keys that the next owners took and that no node took."""

    taken: int
    not_taken: int


def has_owner_ended(
    range_manager: RangeManager, view: MemberView, service: str, owner: Owner
) -> bool:
    """Return whether the owner's process is considered ended.

    This is reason enough to ask other nodes about its keys, but never to run them.
    """
    if owner == range_manager.me:
        return False
    range_map, member = range_manager.range_map_of(service), view.find(owner.instance)
    superseded = range_map is not None and range_map.is_superseded(owner)
    return (
        superseded
        or owner.instance == range_manager.me.instance
        or (member is not None and member.is_gone)
    )


def find_next_owner(
    range_manager: RangeManager,
    view: MemberView,
    service: str,
    key: TimestampedKey,
    *,
    leaving: bool = False,
) -> Owner | None:
    """Return the first later owner of a key's range whose process has not ended, if any.

    It received the key when the owner of the key left. With ``leaving`` set, this node is leaving
    and skips itself.
    """
    for interval in range_manager.later_intervals(service, key):
        owner = interval.owner
        if leaving and owner == range_manager.me:
            continue
        if not has_owner_ended(range_manager, view, service, owner):
            return owner
    return None


async def hand_over_keys(
    tables: Tables, range_manager: RangeManager, view: MemberView, links: PeerLinks
) -> HandoverResult:
    """Send all tables to the next owners in batches, after this node has stopped accepting keys."""
    keys_by_owner: dict[tuple[str, str], list[KeyRecord[Reply]]] = {}
    not_taken = 0
    for service, table in tables.items():
        for entry in table.export_records():
            next_owner = _find_next_owner_of(range_manager, view, service, entry.key)
            if next_owner is None:
                not_taken += 1
            else:
                keys_by_owner.setdefault((service, next_owner.instance), []).append(entry)
    transfers = [
        _send_keys(links, view.find(name), service, entries)
        for (service, name), entries in keys_by_owner.items()
    ]
    taken = sum(await asyncio.gather(*transfers))
    return HandoverResult(taken, not_taken + sum(map(len, keys_by_owner.values())) - taken)


def take_over_keys(tables: Tables, push: KeysPush) -> None:
    """Remember the keys that a leaving owner has sent."""
    table = tables.setdefault(push.service, KeyTable())
    for received in push.keys:
        match parse_key(received.key):
            case Ok(TimestampedKey(text, birth)):
                size = received.reply.size if received.reply else 0
                done = received.completed
                table.import_record(
                    KeyRecord(text, birth, received.fingerprint, done, received.reply, size)
                )


def log_handover(logger: logging.Logger, result: HandoverResult) -> None:
    """Log for how many keys the next owners can answer resends."""
    logger.info('keys handed over', extra={'taken': result.taken, 'left': result.not_taken})


def _find_next_owner_of(
    range_manager: RangeManager, view: MemberView, service: str, text: str
) -> Owner | None:
    match parse_key(text):
        case Ok(TimestampedKey() as key):
            return find_next_owner(range_manager, view, service, key, leaving=True)
    return None


async def _send_keys(
    links: PeerLinks, member: Member | None, service: str, entries: list[KeyRecord[Reply]]
) -> int:
    taken = 0
    for batch in split_into_batches(
        entries, lambda entry: KEY_OVERHEAD_BYTES + entry.size, MAX_MESSAGE_BYTES
    ):
        keys = [FinishedKey(k.key, k.fingerprint, k.done, k.answer) for k in batch]
        push = KeysPush(0, service, keys)
        if member is None or not await links.push_keys(member.peers, push, MESSAGE_TIMEOUT_SECONDS):
            break
        taken += len(batch)
    return taken
