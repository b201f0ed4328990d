"""Ownership of ranges of idempotency keys: which node may run keys of which creation time.

The key ranges of a service each hold a list of intervals of creation time, in order and without
overlap. Only the last interval may change, and only so that the rights of its owner never shrink
unless the owner itself has stopped using them:

- the owner extends its own interval, or closes it early, after the last key it accepted;
- a later run at the same network endpoint closes the interval of a former run, which must have
  ended, after the last key that the former run can have accepted;
- any node may append an interval that starts where the last one ends.

A node that was paused or partitioned can therefore only run keys that no other node may ever run.
Clocks need not be synchronized: the time in a key only determines the interval that it is in.
"""

from collections.abc import Collection, Mapping, Sequence
from typing import Any, NamedTuple

import msgspec
import xxhash

from dunlinsaddle.policy.key_table import FUTURE_MARGIN_MS
from dunlinsaddle.policy.keys import RANGE_COUNT

DEFAULT_HORIZON_MS = 300_000  #: how far ahead of its clock an owner extends its intervals
EXTEND_BELOW_SHARE = 0.8  #: an owner extends when less than this share of the horizon is left
CLAIM_BELOW_MS = 60_000  #: other nodes claim the next interval when less than this is left
CLOSED_RETENTION_MS = 3_600_000  #: how long closed intervals stay in the list
#: How far behind the owner's clock an interval that is handed over may end.
HANDOVER_BACKDATE_MS = 60_000
MAX_HANDOVERS_PER_PLAN = 8
#: Margin after a former run's clock, beyond the creation time of any key that it accepted.
TAKEOVER_MARGIN_MS = FUTURE_MARGIN_MS + 1000


class Owner(NamedTuple):
    """One run of an instance; each start of the process has a new ``epoch``."""

    instance: str
    epoch: str


class Interval(NamedTuple):
    """The owner of the keys created in [start, until), Unix milliseconds."""

    owner: Owner
    start: int
    until: int


class ListenerIdentity(NamedTuple):
    """Network endpoint and clock of a run; only one run at a time can listen at an endpoint.

    ``endpoint_id`` identifies the boot of the kernel, the network namespace, and the address and
    port on which the run listens for other nodes. ``clock_origin`` is what the run's clock shows,
    in Unix milliseconds, at zero of the monotonic clock, which all processes of one boot share.
    """

    endpoint_id: str
    clock_origin: int


Ranges = tuple[tuple[Interval, ...], ...]
EMPTY_RANGES: Ranges = ((),) * RANGE_COUNT


class RangeMap(NamedTuple):
    """The ranges of one service, and the runs of its instances that may become owners."""

    ranges: Ranges = EMPTY_RANGES
    present_epochs: Mapping[str, str] = {}  #: instance -> epoch
    #: epoch -> listener of that run, for runs whose endpoint can be identified
    listeners: Mapping[str, ListenerIdentity] = {}

    def find(self, number: int, birth: int) -> Interval | None:
        """Return the interval of a range that contains a key's creation time."""
        return find_interval(self.ranges[number], birth)

    def is_superseded(self, owner: Owner) -> bool:
        """Return whether a newer run of the same instance has registered itself.

        A run that owns no interval here never registered, so the registered one may be older.
        """
        if self.present_epochs.get(owner.instance, owner.epoch) == owner.epoch:
            return False
        return any(i.owner == owner for row in self.ranges for i in row)

    def later_intervals(self, number: int, birth: int) -> tuple[Interval, ...]:
        """Return the intervals of a range after the interval that contains a creation time."""
        return tuple(i for i in self.ranges[number] if i.start > birth)

    def is_pruned(self, number: int, birth: int) -> bool:
        """Return whether the interval of a creation time may have been removed from the list."""
        intervals = self.ranges[number]
        return bool(intervals) and birth < intervals[0].start


class RangePlan(NamedTuple):
    """A map to write, and the times at which it closes ranges of the planning node.

    ``closing_times`` maps a range to the first creation time that the node may not accept.
    """

    range_map: RangeMap
    closing_times: dict[int, int]


class PlanContext(NamedTuple):
    """The state of a node for which ranges are planned.

    ``serving`` lists the instances that serve the service, ``now`` is the node's clock.
    ``latest_births`` maps a range to the latest creation time accepted in it, in milliseconds.
    ``listener`` is set only while this run listens; without it no interval is taken over early.
    """

    owner: Owner
    serving: Sequence[str]
    now: int
    latest_births: Mapping[int, int]
    is_leaving: bool = False
    listener: ListenerIdentity | None = None
    horizon: int = DEFAULT_HORIZON_MS


def find_interval(intervals: Sequence[Interval], birth: int) -> Interval | None:
    """Return the interval that contains a key's creation time."""
    for interval in reversed(intervals):
        if interval.start <= birth < interval.until:
            return interval
    return None


def preferred_instance(service: str, number: int, instances: Collection[str]) -> str | None:
    """Return the instance that should own a range, by rendezvous hashing; None if none exists."""
    return max(
        instances,
        key=lambda name: xxhash.xxh64_intdigest(f'{service}\0{number}\0{name}'.encode()),
        default=None,
    )


def plan_ranges(service: str, current: RangeMap, context: PlanContext) -> RangePlan | None:
    """Return the changes that this node should make to the ranges, or None for no change.

    A range is handed over only to a run that has registered itself as present.
    """
    planned = list(current.ranges)
    closing_times: dict[int, int] = {}
    extension_due = any(_is_extension_due(intervals, context) for intervals in current.ranges)
    for number, intervals in enumerate(current.ranges):
        last = intervals[-1] if intervals else None
        if last is None or last.owner != context.owner:
            intervals = _take_over(intervals, context, current.listeners)
            planned[number] = _claim_next(service, number, intervals, context)
            continue
        successor = _successor(service, number, context, current.present_epochs)
        if context.is_leaving or (
            successor is not None and len(closing_times) < MAX_HANDOVERS_PER_PLAN
        ):
            closing_times[number] = _closing_time(
                last, context.latest_births.get(number, 0), context.now
            )
            planned[number] = _close_last(intervals, closing_times[number], successor, context)
        elif extension_due:
            extended = last._replace(until=max(last.until, context.now + context.horizon))
            planned[number] = (*intervals[:-1], extended)
    present = _updated_presence(current.present_epochs, context)
    if tuple(planned) == current.ranges and present == current.present_epochs:
        return None
    ranges = _prune_closed(planned, context.now)
    return RangePlan(
        RangeMap(ranges, present, _updated_listeners(current, context, ranges, present)),
        closing_times,
    )


def _updated_presence(current: Mapping[str, str], context: PlanContext) -> dict[str, str]:
    owner = context.owner
    if current.get(owner.instance) == (None if context.is_leaving else owner.epoch):
        return dict(current)
    present = {name: epoch for name, epoch in current.items() if name in context.serving}
    present.pop(owner.instance, None)
    return present if context.is_leaving else {**present, owner.instance: owner.epoch}


def _updated_listeners(
    current: RangeMap, context: PlanContext, ranges: Ranges, present: Mapping[str, str]
) -> dict[str, ListenerIdentity]:
    listeners = dict(current.listeners)
    if context.listener is not None:
        listeners[context.owner.epoch] = context.listener
    needed = {row[-1].owner.epoch for row in ranges if row} | set(present.values())
    return {epoch: listener for epoch, listener in listeners.items() if epoch in needed}


def _take_over(
    intervals: tuple[Interval, ...], context: PlanContext, listeners: Mapping[str, ListenerIdentity]
) -> tuple[Interval, ...]:
    """Take over the last interval at once if its owner is a former run at the same endpoint.

    The range of a killed owner would otherwise have no running owner until the interval ends, and
    callers would get "unknown" for the whole horizon. That this run can listen at the endpoint
    proves that the former run has ended, as a stopped process still holds its port. The interval
    is closed after every key that the former run can have accepted: it accepted none further
    ahead of its clock than the margin, and the two clock origins show what its clock would be.
    """
    last = intervals[-1] if intervals else None
    former = listeners.get(last.owner.epoch) if last else None
    if last is None or former is None or context.listener is None or context.is_leaving:
        return intervals
    if former.endpoint_id != context.listener.endpoint_id:
        return intervals
    former_now = context.now - context.listener.clock_origin + former.clock_origin
    closing_time = max(last.start, context.now, former_now + TAKEOVER_MARGIN_MS)
    if closing_time >= last.until:
        return intervals
    return _close_last(intervals, closing_time, context.owner, context)


def _is_extension_due(intervals: Sequence[Interval], context: PlanContext) -> bool:
    if not intervals or intervals[-1].owner != context.owner or context.is_leaving:
        return False
    return intervals[-1].until - context.now < EXTEND_BELOW_SHARE * context.horizon


def _claim_next(
    service: str, number: int, intervals: tuple[Interval, ...], context: PlanContext
) -> tuple[Interval, ...]:
    if context.is_leaving:
        return intervals
    last = intervals[-1] if intervals else None
    if last is not None and last.until - context.now >= CLAIM_BELOW_MS:
        return intervals
    # The last owner did not extend in time: it may be dead, or only cut off from the platform.
    absent = last.owner.instance if last else ''
    others = [n for n in context.serving if n != absent or n == context.owner.instance]
    if preferred_instance(service, number, others) != context.owner.instance:
        return intervals
    start = last.until if last else context.now
    return (*intervals, Interval(context.owner, start, max(start, context.now) + context.horizon))


def _successor(
    service: str, number: int, context: PlanContext, epochs: Mapping[str, str]
) -> Owner | None:
    others = [n for n in context.serving if n in epochs and n != context.owner.instance]
    eligible = others if context.is_leaving else [*others, context.owner.instance]
    chosen = preferred_instance(service, number, eligible)
    if chosen is None or chosen == context.owner.instance:
        return None
    return Owner(chosen, epochs[chosen])


def _closing_time(last: Interval, latest_birth: int, now: int) -> int:
    """Return when to close this node's interval: a minute ago, or after the last accepted key.

    If the interval ended at the node's current time, keys created before that but sent after the
    node's end would be "unknown" although no node ran them; with a fast clock, even keys created
    in the next seconds.
    """
    return min(last.until, max(last.start, now - HANDOVER_BACKDATE_MS, latest_birth + 1))


def _close_last(
    intervals: tuple[Interval, ...],
    closing_time: int,
    successor: Owner | None,
    context: PlanContext,
) -> tuple[Interval, ...]:
    closed = (*intervals[:-1], intervals[-1]._replace(until=closing_time))
    return (
        (
            *closed,
            Interval(successor, closing_time, max(closing_time, context.now) + context.horizon),
        )
        if successor
        else closed
    )


def _prune_closed(ranges: Sequence[tuple[Interval, ...]], now: int) -> Ranges:
    def prune(intervals: tuple[Interval, ...]) -> tuple[Interval, ...]:
        kept = tuple(i for i in intervals[:-1] if i.until > now - CLOSED_RETENTION_MS)
        return (*kept, *intervals[-1:])

    return tuple(prune(intervals) for intervals in ranges)


def encode_range_map(range_map: RangeMap) -> Any:
    """Encode a map as stored on the platform: each owner once, intervals as numbers."""
    owners: dict[Owner, int] = {}
    rows = [
        [[owners.setdefault(i.owner, len(owners)), i.start, i.until] for i in intervals]
        for intervals in range_map.ranges
    ]
    return {
        'owners': [list(o) for o in owners],
        'ranges': rows,
        'present': dict(range_map.present_epochs),
        'places': {epoch: list(listener) for epoch, listener in range_map.listeners.items()},
    }


class _Stored(msgspec.Struct):
    owners: list[Owner]
    ranges: list[list[tuple[int, int, int]]]
    present: dict[str, str]
    places: dict[str, ListenerIdentity] = {}


def decode_range_map(value: Any) -> RangeMap:
    """Decode a stored map. Raises ValueError or MsgspecError if it is malformed."""
    stored = msgspec.convert(value, _Stored)
    if len(stored.ranges) != RANGE_COUNT:
        raise ValueError(f'{len(stored.ranges)} ranges, expected {RANGE_COUNT}')
    try:
        ranges = tuple(
            tuple(Interval(stored.owners[o], start, until) for o, start, until in row)
            for row in stored.ranges
        )
    except IndexError as exc:
        raise ValueError('an interval refers to an unknown owner') from exc
    return RangeMap(ranges, stored.present, stored.places)
