"""Ownership of key ranges: this node's ranges, and cached range maps of other services."""

import asyncio
from collections.abc import Callable, Sequence
from random import Random
from typing import NamedTuple

import msgspec
from result import Err, Ok

from dunlinsaddle.platform.store import ABSENT, Conflict, ObjectStore, StoredObject
from dunlinsaddle.policy.keys import TimestampedKey, range_number
from dunlinsaddle.policy.ownership import (
    DEFAULT_HORIZON_MS,
    Interval,
    ListenerIdentity,
    Owner,
    PlanContext,
    RangeMap,
    decode_range_map,
    encode_range_map,
    plan_ranges,
)

RANGE_MAP_KIND = 'ranges'
REREAD_SECONDS = 60.0  #: after a read attempt, until the map is read again
#: Age from which a cached map is read again while a serving node is missing in it.
NEWCOMER_REREAD_SECONDS = 5.0
RETRY_PAUSE_SECONDS = (5.0, 10.0)  #: random pause after a failed read or write
OUTAGE_MEMORY_SECONDS = 1.0  #: after a failed read, further reads fail at once for this long
MAX_WRITE_ATTEMPTS = 4


class _CachedMap(NamedTuple):
    version: int
    map: RangeMap
    read_at: float  #: by the event loop's clock


class OwnedRanges(NamedTuple):
    """The ranges of a service that this node owns.

    ``until`` is the earliest end of these ranges in Unix milliseconds. ``platform_age`` is the time
    in seconds since the store last answered. Both are None if unknown.
    """

    ranges: int
    until: int | None
    platform_age: float | None


class _Fence(NamedTuple):
    """The end of one of this node's intervals, set by a write that may not have taken effect.

    This node accepts no key of the interval that was created at ``closing_time`` or later.
    """

    closing_time: int
    expected_version: int  #: of that conditional write


class MonotonicWallClock:
    """Unix time in milliseconds that never jumps: read once, then advanced by the loop's clock.

    Otherwise a step of the wall clock would end ranges early or make keys expire. This way, a step
    takes effect only at a restart.
    """

    def __init__(self, wall_clock: Callable[[], float]) -> None:
        self.wall_clock = wall_clock
        self._started_at: float | None = None
        self._wall_at_start = 0.0

    def now(self) -> int:
        """Return the time in Unix milliseconds."""
        return int((self._offset() + asyncio.get_running_loop().time()) * 1000)

    def loop_epoch(self) -> int:
        """Return the Unix time in milliseconds at which the loop's clock was zero."""
        return int(self._offset() * 1000)

    def _offset(self) -> float:
        if self._started_at is None:
            self._started_at, self._wall_at_start = (
                asyncio.get_running_loop().time(),
                self.wall_clock(),
            )
        return self._wall_at_start - self._started_at


class RangeManager:
    """Claims, extends and hands over ranges in advance, by conditional writes.

    No request waits for the platform while the cached range map covers its key.
    """

    def __init__(
        self,
        store: ObjectStore,
        me: Owner,
        clock: Callable[[], int],
        rng: Random,
        horizon: int = DEFAULT_HORIZON_MS,
    ) -> None:
        self.store = store
        self.me = me
        self.clock = clock
        self.rng = rng
        self.horizon = horizon  #: ms
        self.listener: ListenerIdentity | None = None  #: set when the peer listener is open
        self.closed = False
        self.reads = 0
        self.writes = 0
        self._cached: dict[str, _CachedMap] = {}
        self._newest_accepted: dict[str, dict[int, int]] = {}
        self._fences: dict[tuple[str, int], _Fence] = {}
        self._locks: dict[str, asyncio.Lock] = {}
        self._read_counts: dict[str, int] = {}
        self._read_attempt_at: dict[str, float] = {}
        self._paused_until = 0.0
        self._read_failed_at = -OUTAGE_MEMORY_SECONDS

    def range_map_of(self, service: str) -> RangeMap | None:
        """Return the cached range map of a service, or None if none was read."""
        cached = self._cached.get(service)
        return cached.map if cached else None

    def owned_ranges(self, service: str) -> OwnedRanges:
        """Return the ranges of a service that this node owns by the cached map."""
        cached = self._cached.get(service)
        if cached is None:
            return OwnedRanges(0, None, None)
        rows = [row[-1] for row in cached.map.ranges if row and row[-1].owner == self.me]
        age = asyncio.get_running_loop().time() - cached.read_at
        return OwnedRanges(len(rows), min((i.until for i in rows), default=None), age)

    def find(self, service: str, key: TimestampedKey) -> Interval | None:
        """Return the interval that contains a key, by the cached map."""
        cached = self._cached.get(service)
        return cached.map.find(range_number(service, key), key.birth) if cached else None

    def later_intervals(self, service: str, key: TimestampedKey) -> Sequence[Interval]:
        """Return the intervals that follow the one that contains a key, by the cached map."""
        cached = self._cached.get(service)
        return cached.map.later_intervals(range_number(service, key), key.birth) if cached else ()

    def try_accept(self, service: str, key: TimestampedKey) -> bool:
        """Return whether this node may run a key; if so, its range will not end before the key."""
        interval = self.find(service, key)
        if self.closed or interval is None or interval.owner != self.me:
            return False
        number = range_number(service, key)
        fence = self._fences.get((service, number))
        if fence is not None and key.birth >= fence.closing_time:
            return False
        newest_births = self._newest_accepted.setdefault(service, {})
        newest_births[number] = max(newest_births.get(number, 0), key.birth)
        return True

    def close(self) -> None:
        """Accept no more keys. Call this before the port of the peer listener is released.

        The next process that binds the port takes this as proof that this process accepts no keys.
        This holds even if this process is paused after the release and resumes later.
        """
        self.closed = True

    def is_stale(self, service: str) -> bool:
        """Return whether the map of a service must be read again."""
        attempted_at = self._read_attempt_at.get(service)
        return (
            attempted_at is None
            or asyncio.get_running_loop().time() - attempted_at > REREAD_SECONDS
        )

    async def refresh(self, service: str) -> bool:
        """Read a map again; return whether a read that started after this call succeeded.

        Calls made during a read share the next read, because a read that started earlier may miss
        later writes.
        """
        loop = asyncio.get_running_loop()
        if loop.time() - self._read_failed_at < OUTAGE_MEMORY_SECONDS:
            return False
        reads_before = self._read_counts.get(service, 0)
        async with self._locks.setdefault(service, asyncio.Lock()):
            if self._read_counts.get(service, 0) > reads_before:
                return loop.time() - self._read_failed_at >= OUTAGE_MEMORY_SECONDS
            self._read_counts[service] = reads_before + 1
            self._read_attempt_at[service] = loop.time()
            self.reads += 1
            match await self.store.get(RANGE_MAP_KIND, service):
                case Ok(stored) if self._cache_map(service, stored):
                    return True
            self._read_failed_at = loop.time()
            return False

    async def tick(self, service: str, serving: Sequence[str], *, leaving: bool = False) -> None:
        """Perform the changes that are due for the ranges of the local target's service."""
        if asyncio.get_running_loop().time() < self._paused_until and not leaving:
            return
        if self._needs_read(service, serving) and not await self.refresh(service):
            self._pause()
            return
        for _ in range(MAX_WRITE_ATTEMPTS):
            context = PlanContext(
                self.me,
                serving,
                self.clock(),
                self._newest_accepted.get(service, {}),
                leaving,
                self.listener,
                self.horizon,
            )
            cached = self._cached.get(service) or _CachedMap(ABSENT, RangeMap(), 0.0)
            plan = plan_ranges(service, cached.map, context)
            if plan is None:
                return
            for number, closing_time in plan.closing_times.items():
                self._add_fence(service, number, _Fence(closing_time, cached.version))
            if await self._write(service, plan.range_map, cached.version):
                return

    def _needs_read(self, service: str, serving: Sequence[str]) -> bool:
        cached = self._cached.get(service)
        if cached is None or self.is_stale(service) or self._has_uncertain_write(service, cached):
            return True
        newcomers = any(name not in cached.map.present_epochs for name in serving)
        age = asyncio.get_running_loop().time() - cached.read_at
        return newcomers and age > NEWCOMER_REREAD_SECONDS

    def _add_fence(self, service: str, number: int, fence: _Fence) -> None:
        """Stop accepting newer keys before the write that ends the interval is sent.

        If this happened only after the answer, the next owner could run a key that this node still
        accepts. An earlier write with unknown outcome may still take effect, so the lower cut is
        kept.
        """
        earlier = self._fences.get((service, number))
        if earlier is None or fence.closing_time < earlier.closing_time:
            self._fences[service, number] = fence

    def _has_uncertain_write(self, service: str, cached: _CachedMap) -> bool:
        return any(
            fence.expected_version >= cached.version
            for (name, _), fence in self._fences.items()
            if name == service
        )

    async def _write(self, service: str, range_map: RangeMap, expected: int) -> bool:
        """Write a map; return False on a conflict, after which the plan must be recomputed."""
        self.writes += 1
        match await self.store.put(RANGE_MAP_KIND, service, encode_range_map(range_map), expected):
            case Ok(stored):
                self._cache_map(service, stored)
                return True
            case Err(Conflict(current)):
                self._cache_map(service, current)
                return False
        # The answer is lost: the write may have taken effect, or may still do so. Ownership
        # results only from a map that was read. The fences stay until a map newer than the
        # write's expected version is read: from then on the platform rejects that write.
        self._pause()
        await self.refresh(service)
        return True

    def _pause(self) -> None:
        # Random, because all nodes retry after an outage and must stay below the rate limits.
        self._paused_until = asyncio.get_running_loop().time() + self.rng.uniform(
            *RETRY_PAUSE_SECONDS
        )

    def _cache_map(self, service: str, stored: StoredObject | None) -> bool:
        """Cache a map that was read; return False if it does not show the owners."""
        now = asyncio.get_running_loop().time()
        cached = self._cached.get(service) or _CachedMap(ABSENT, RangeMap(), now)
        self._cached[service] = cached._replace(read_at=now)
        if stored is None:
            return cached.version == ABSENT
        if stored.version <= cached.version:
            return stored.version == cached.version
        try:
            range_map = decode_range_map(stored.value)
        except (ValueError, msgspec.MsgspecError):
            # Deleted or invalid: an empty map could overlap with ranges that others own.
            return False
        self._cached[service] = _CachedMap(stored.version, range_map, now)
        for fenced_range, fence in list(self._fences.items()):
            if fenced_range[0] == service and fence.expected_version < stored.version:
                del self._fences[fenced_range]
        return True
