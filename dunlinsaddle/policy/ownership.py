"""Which node may run which keys: intervals of birth times that never overlap.

Each range of a service holds intervals in order of time. Only the last may change, and only
so that its owner's right never shrinks unless the owner itself has stopped using it:

- the owner moves its own ``until`` on, or closes it early behind the last key it accepted;
- a later run at the very same place closes the interval of a former run, which has ended,
  behind the last key that the former run can have accepted;
- anybody may append an interval that starts where the last one ends.

A node that was paused or cut off can therefore only run keys that nobody else may ever run.
No clock has to agree with another one: the time in a key merely says which interval it is in.
"""

from collections.abc import Collection, Mapping, Sequence
from typing import Any, NamedTuple

import msgspec
import xxhash

from dunlinsaddle.policy.key_table import FUTURE_MARGIN_MS
from dunlinsaddle.policy.keys import RANGE_COUNT

DEFAULT_HORIZON_MS = 300_000  #: how far ahead an owner holds its ranges unless told otherwise, ms
EXTEND_BELOW_SHARE = 0.8  #: an owner extends when less than this part of its horizon is left
CLAIM_BELOW_MS = 60_000  #: others claim what comes next when less than this is left, ms
CLOSED_RETENTION_MS = 3_600_000  #: closed intervals are listed for this long, ms
HANDOVER_BACKDATE_MS = (
    60_000  #: how far behind the owner's clock a range that it gives away may end, ms
)
MAX_HANDOVERS_PER_PLAN = 8
TAKEOVER_MARGIN_MS = FUTURE_MARGIN_MS + 1000  #: from a former run's clock to its last key, ms


class Owner(NamedTuple):
    """One run of one instance; ``epoch`` is new at each start of its process."""

    instance: str
    epoch: str


class Interval(NamedTuple):
    """The keys born in [start, until), Unix milliseconds, and who may run them."""

    owner: Owner
    start: int
    until: int


class ListenerIdentity(NamedTuple):
    """Where a run listens; two runs with the same ``host`` cannot both be listening.

    ``host`` stands for the kernel's boot, the network namespace, and the peers face's address
    and port. ``zero`` is the run's clock, Unix milliseconds, at zero of the monotonic clock,
    which all processes of one boot share.
    """

    endpoint_id: str
    clock_origin: int


Ranges = tuple[tuple[Interval, ...], ...]
EMPTY_RANGES: Ranges = ((),) * RANGE_COUNT


class RangeMap(NamedTuple):
    """The ranges of one service, and the runs of its instances that can be given some."""

    ranges: Ranges = EMPTY_RANGES
    present_epochs: Mapping[str, str] = {}  #: instance -> epoch
    listeners: Mapping[
        str, ListenerIdentity
    ] = {}  #: epoch -> where that run listens, if it can be told

    def find(self, number: int, birth: int) -> Interval | None:
        """Give the interval of a range that a key's birth falls in."""
        return find_interval(self.ranges[number], birth)

    def is_superseded(self, owner: Owner) -> bool:
        """Say whether a newer run of the same instance has entered itself.

        A run that owns nothing here never entered itself: what stands there may be older.
        """
        if self.present_epochs.get(owner.instance, owner.epoch) == owner.epoch:
            return False
        return any(i.owner == owner for row in self.ranges for i in row)

    def later_intervals(self, number: int, birth: int) -> tuple[Interval, ...]:
        """Give the intervals of a range that follow the one that a birth falls in."""
        return tuple(i for i in self.ranges[number] if i.start > birth)

    def is_pruned(self, number: int, birth: int) -> bool:
        """Say whether the interval of a birth may have been listed once and is no more."""
        intervals = self.ranges[number]
        return bool(intervals) and birth < intervals[0].start


class RangePlan(NamedTuple):
    """A change to write, and the own ranges that it closes: range -> last birth allowed + 1."""

    range_map: RangeMap
    closing_times: dict[int, int]


class PlanContext(NamedTuple):
    """What a plan is made from. ``highest`` is the latest birth accepted in each range, ms.

    ``place`` is given only once this run listens there; without it nothing is taken over early.
    """

    owner: Owner
    serving: Sequence[str]
    now: int
    latest_births: Mapping[int, int]
    is_leaving: bool = False
    listener: ListenerIdentity | None = None
    horizon: int = DEFAULT_HORIZON_MS


def find_interval(intervals: Sequence[Interval], birth: int) -> Interval | None:
    """Give the interval that a key's birth falls in."""
    for interval in reversed(intervals):
        if interval.start <= birth < interval.until:
            return interval
    return None


def preferred_instance(service: str, number: int, instances: Collection[str]) -> str | None:
    """Give the instance that should own a range (rendezvous hash); None without instances."""
    return max(
        instances,
        key=lambda name: xxhash.xxh64_intdigest(f'{service}\0{number}\0{name}'.encode()),
        default=None,
    )


def plan_ranges(service: str, held: RangeMap, context: PlanContext) -> RangePlan | None:
    """Give the ranges as this node would like them, or None where all is well.

    A range is handed over only to a run of an instance that has entered itself as present.
    """
    planned = list(held.ranges)
    cuts: dict[int, int] = {}
    extends = any(_wants_extension(intervals, context) for intervals in held.ranges)
    for number, intervals in enumerate(held.ranges):
        last = intervals[-1] if intervals else None
        if last is None or last.owner != context.owner:
            intervals = _end_former(intervals, context, held.listeners)
            planned[number] = _claim(service, number, intervals, context)
            continue
        heir = _heir(service, number, context, held.present_epochs)
        if context.is_leaving or (heir is not None and len(cuts) < MAX_HANDOVERS_PER_PLAN):
            cuts[number] = _cut(last, context.latest_births.get(number, 0), context.now)
            planned[number] = _close(intervals, cuts[number], heir, context)
        elif extends:
            longer = last._replace(until=max(last.until, context.now + context.horizon))
            planned[number] = (*intervals[:-1], longer)
    present = _present(held.present_epochs, context)
    if tuple(planned) == held.ranges and present == held.present_epochs:
        return None
    ranges = _without_old(planned, context.now)
    return RangePlan(RangeMap(ranges, present, _places(held, context, ranges, present)), cuts)


def _present(held: Mapping[str, str], context: PlanContext) -> dict[str, str]:
    me = context.owner
    if held.get(me.instance) == (None if context.is_leaving else me.epoch):
        return dict(held)
    present = {name: epoch for name, epoch in held.items() if name in context.serving}
    present.pop(me.instance, None)
    return present if context.is_leaving else {**present, me.instance: me.epoch}


def _places(
    held: RangeMap, context: PlanContext, ranges: Ranges, present: Mapping[str, str]
) -> dict[str, ListenerIdentity]:
    places = dict(held.listeners)
    if context.listener is not None:
        places[context.owner.epoch] = context.listener
    needed = {row[-1].owner.epoch for row in ranges if row} | set(present.values())
    return {epoch: place for epoch, place in places.items() if epoch in needed}


def _end_former(
    intervals: tuple[Interval, ...], context: PlanContext, places: Mapping[str, ListenerIdentity]
) -> tuple[Interval, ...]:
    """Close the last interval early and go on in its owner's stead, where that run has ended.

    A killed owner leaves its range without an owner up to its ``until``: its callers would get
    "unknown" for the whole horizon. That this run listens at the same place proves that the
    former one has ended: a stopped process still holds its port. The cut lies behind every key
    that it can have accepted, for it accepted none further ahead of its own clock than the
    margin, and its clock can be told from ours.
    """
    last = intervals[-1] if intervals else None
    former = places.get(last.owner.epoch) if last else None
    if last is None or former is None or context.listener is None or context.is_leaving:
        return intervals
    if former.endpoint_id != context.listener.endpoint_id:
        return intervals
    its_now = context.now - context.listener.clock_origin + former.clock_origin
    cut = max(last.start, context.now, its_now + TAKEOVER_MARGIN_MS)
    if cut >= last.until:
        return intervals
    return _close(intervals, cut, context.owner, context)


def _wants_extension(intervals: Sequence[Interval], context: PlanContext) -> bool:
    if not intervals or intervals[-1].owner != context.owner or context.is_leaving:
        return False
    return intervals[-1].until - context.now < EXTEND_BELOW_SHARE * context.horizon


def _claim(
    service: str, number: int, intervals: tuple[Interval, ...], context: PlanContext
) -> tuple[Interval, ...]:
    if context.is_leaving:
        return intervals
    last = intervals[-1] if intervals else None
    if last is not None and last.until - context.now >= CLAIM_BELOW_MS:
        return intervals
    # The last owner missed its extension: it may be dead, or cut off from the platform alone.
    gone = last.owner.instance if last else ''
    others = [n for n in context.serving if n != gone or n == context.owner.instance]
    if preferred_instance(service, number, others) != context.owner.instance:
        return intervals
    start = last.until if last else context.now
    return (*intervals, Interval(context.owner, start, max(start, context.now) + context.horizon))


def _heir(
    service: str, number: int, context: PlanContext, epochs: Mapping[str, str]
) -> Owner | None:
    others = [n for n in context.serving if n in epochs and n != context.owner.instance]
    able = others if context.is_leaving else [*others, context.owner.instance]
    chosen = preferred_instance(service, number, able)
    if chosen is None or chosen == context.owner.instance:
        return None
    return Owner(chosen, epochs[chosen])


def _cut(last: Interval, highest: int, now: int) -> int:
    """Give where an own interval may end: behind each key that was accepted from it.

    Were it to end at the owner's clock, keys born before that and sent after the owner's end
    would be "unknown", though nobody ran them: by a fast clock, even those of the next seconds.
    """
    return min(last.until, max(last.start, now - HANDOVER_BACKDATE_MS, highest + 1))


def _close(
    intervals: tuple[Interval, ...], cut: int, heir: Owner | None, context: PlanContext
) -> tuple[Interval, ...]:
    closed = (*intervals[:-1], intervals[-1]._replace(until=cut))
    return (
        (*closed, Interval(heir, cut, max(cut, context.now) + context.horizon)) if heir else closed
    )


def _without_old(ranges: Sequence[tuple[Interval, ...]], now: int) -> Ranges:
    def young(intervals: tuple[Interval, ...]) -> tuple[Interval, ...]:
        kept = tuple(i for i in intervals[:-1] if i.until > now - CLOSED_RETENTION_MS)
        return (*kept, *intervals[-1:])

    return tuple(young(intervals) for intervals in ranges)


def encode_range_map(held: RangeMap) -> Any:
    """Give the form that the platform keeps: owners once, intervals as numbers."""
    owners: dict[Owner, int] = {}
    rows = [
        [[owners.setdefault(i.owner, len(owners)), i.start, i.until] for i in intervals]
        for intervals in held.ranges
    ]
    return {
        'owners': [list(o) for o in owners],
        'ranges': rows,
        'present': dict(held.present_epochs),
        'places': {epoch: list(place) for epoch, place in held.listeners.items()},
    }


class _Stored(msgspec.Struct):
    owners: list[Owner]
    ranges: list[list[tuple[int, int, int]]]
    present: dict[str, str]
    places: dict[str, ListenerIdentity] = {}


def decode_range_map(value: Any) -> RangeMap:
    """Read what the platform keeps. Raises ValueError or MsgspecError if it cannot be."""
    stored = msgspec.convert(value, _Stored)
    if len(stored.ranges) != RANGE_COUNT:
        raise ValueError(f'{len(stored.ranges)} ranges, expected {RANGE_COUNT}')
    try:
        ranges = tuple(
            tuple(Interval(stored.owners[o], start, until) for o, start, until in row)
            for row in stored.ranges
        )
    except IndexError as exc:
        raise ValueError('an interval names no owner') from exc
    return RangeMap(ranges, stored.present, stored.places)
