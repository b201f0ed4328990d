"""Keeps this node's ranges in the platform, and a copy of the maps of other services."""

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
REREAD_SECONDS = 60.0
NEWCOMER_REREAD_SECONDS = 5.0
RETRY_PAUSE_SECONDS = (5.0, 10.0)  #: after an attempt that the platform did not answer
OUTAGE_MEMORY_SECONDS = 1.0
MAX_WRITE_ATTEMPTS = 4


class _CachedMap(NamedTuple):
    version: int
    map: RangeMap
    read_at: float  #: the loop's clock


class OwnedRanges(NamedTuple):
    """What this node owns of a service.

    ``until`` is the earliest end of its ranges, Unix milliseconds; ``platform_age`` the seconds
    since the platform last answered the keeper. None where there is nothing to tell.
    """

    ranges: int
    until: int | None
    platform_age: float | None


class _Fence(NamedTuple):
    """An own interval that a write of uncertain end may have closed at ``cut``."""

    cut: int
    version: int  #: the version on whose condition that write was sent


class MonotonicWallClock:
    """Unix time in milliseconds that never jumps: read once, then moved on by the loop's clock.

    A step of the wall clock would make ranges end early or keys expire; it costs a restart at
    most this way.
    """

    def __init__(self, wall_clock: Callable[[], float]) -> None:
        self.wall_clock = wall_clock
        self._began: float | None = None
        self._wall = 0.0

    def now(self) -> int:
        """Give the time in Unix milliseconds."""
        return int((self._offset() + asyncio.get_running_loop().time()) * 1000)

    def loop_epoch(self) -> int:
        """Give the time at zero of the loop's clock, in Unix milliseconds."""
        return int(self._offset() * 1000)

    def _offset(self) -> float:
        if self._began is None:
            self._began, self._wall = asyncio.get_running_loop().time(), self.wall_clock()
        return self._wall - self._began


class RangeManager:
    """Claims, extends and hands over ranges by conditional writes, ahead of need.

    No call of a caller waits for the platform while the map held here covers its key.
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
        self.listener: ListenerIdentity | None = None  #: set once this run listens for its peers
        self.closed = False
        self.reads = 0
        self.writes = 0
        self._cached: dict[str, _CachedMap] = {}
        self._newest_accepted: dict[str, dict[int, int]] = {}
        self._fences: dict[tuple[str, int], _Fence] = {}
        self._locks: dict[str, asyncio.Lock] = {}
        self._read_numbers: dict[str, int] = {}
        self._read_attempt_at: dict[str, float] = {}
        self._paused_until = 0.0
        self._read_failed_at = -OUTAGE_MEMORY_SECONDS

    def range_map_of(self, service: str) -> RangeMap | None:
        """Give the map held of a service; None where none was ever read."""
        held = self._cached.get(service)
        return held.map if held else None

    def owned_ranges(self, service: str) -> OwnedRanges:
        """Give what this node owns of a service now, by the map held."""
        held = self._cached.get(service)
        if held is None:
            return OwnedRanges(0, None, None)
        rows = [row[-1] for row in held.map.ranges if row and row[-1].owner == self.me]
        age = asyncio.get_running_loop().time() - held.read_at
        return OwnedRanges(len(rows), min((i.until for i in rows), default=None), age)

    def find(self, service: str, key: TimestampedKey) -> Interval | None:
        """Give the interval that a key is in, by the map held."""
        held = self._cached.get(service)
        return held.map.find(range_number(service, key), key.birth) if held else None

    def later_intervals(self, service: str, key: TimestampedKey) -> Sequence[Interval]:
        """Give the intervals that follow the one that a key is in, by the map held."""
        held = self._cached.get(service)
        return held.map.later_intervals(range_number(service, key), key.birth) if held else ()

    def try_accept(self, service: str, key: TimestampedKey) -> bool:
        """Say whether this node may run a key; from a yes on, the range reaches behind it."""
        interval = self.find(service, key)
        if self.closed or interval is None or interval.owner != self.me:
            return False
        number = range_number(service, key)
        fence = self._fences.get((service, number))
        if fence is not None and key.birth >= fence.cut:
            return False
        highest = self._newest_accepted.setdefault(service, {})
        highest[number] = max(highest.get(number, 0), key.birth)
        return True

    def close(self) -> None:
        """Accept no key any more, before the peers' port is let go.

        Whoever binds that port next takes it for the proof that this run accepts nothing: one
        that is paused between the two and wakes later must find its right gone.
        """
        self.closed = True

    def is_stale(self, service: str) -> bool:
        """Say whether the map of a service is due to be read again."""
        tried_at = self._read_attempt_at.get(service)
        return tried_at is None or asyncio.get_running_loop().time() - tried_at > REREAD_SECONDS

    async def refresh(self, service: str) -> bool:
        """Read a map anew; True when the answer to a read begun after this call came.

        Calls that come while one read is on its way share the next one: a read that began
        earlier proves nothing about what was written since.
        """
        loop = asyncio.get_running_loop()
        if loop.time() - self._read_failed_at < OUTAGE_MEMORY_SECONDS:
            return False
        asked = self._read_numbers.get(service, 0)
        async with self._locks.setdefault(service, asyncio.Lock()):
            if self._read_numbers.get(service, 0) > asked:
                return loop.time() - self._read_failed_at >= OUTAGE_MEMORY_SECONDS
            self._read_numbers[service] = asked + 1
            self._read_attempt_at[service] = loop.time()
            self.reads += 1
            match await self.store.get(RANGE_MAP_KIND, service):
                case Ok(stored) if self._store_read(service, stored):
                    return True
            self._read_failed_at = loop.time()
            return False

    async def tick(self, service: str, serving: Sequence[str], *, leaving: bool = False) -> None:
        """Do what is due for the ranges of the local target's service."""
        if asyncio.get_running_loop().time() < self._paused_until and not leaving:
            return
        if self._needs_read(service, serving) and not await self.refresh(service):
            self._pause()
            return
        for _ in range(MAX_WRITE_ATTEMPTS):
            here = PlanContext(
                self.me,
                serving,
                self.clock(),
                self._newest_accepted.get(service, {}),
                leaving,
                self.listener,
                self.horizon,
            )
            held = self._cached.get(service) or _CachedMap(ABSENT, RangeMap(), 0.0)
            plan = plan_ranges(service, held.map, here)
            if plan is None:
                return
            for number, cut in plan.closing_times.items():
                self._fence(service, number, _Fence(cut, held.version))
            if await self._write(service, plan.range_map, held.version):
                return

    def _needs_read(self, service: str, serving: Sequence[str]) -> bool:
        held = self._cached.get(service)
        if held is None or self.is_stale(service) or self._has_uncertain_write(service, held):
            return True
        newcomers = any(name not in held.map.present_epochs for name in serving)
        age = asyncio.get_running_loop().time() - held.read_at
        return newcomers and age > NEWCOMER_REREAD_SECONDS

    def _fence(self, service: str, number: int, fence: _Fence) -> None:
        """End the right to run newer keys, before the write that closes the range leaves.

        Were it to end with the answer, the heir could run a key while this node still takes
        it. An earlier write of uncertain end may yet be the one that counts: the lower cut stays.
        """
        earlier = self._fences.get((service, number))
        if earlier is None or fence.cut < earlier.cut:
            self._fences[service, number] = fence

    def _has_uncertain_write(self, service: str, held: _CachedMap) -> bool:
        return any(
            fence.version >= held.version
            for (name, _), fence in self._fences.items()
            if name == service
        )

    async def _write(self, service: str, wanted: RangeMap, expected: int) -> bool:
        """Write a map; False when another write came first and the plan must be made anew."""
        self.writes += 1
        match await self.store.put(RANGE_MAP_KIND, service, encode_range_map(wanted), expected):
            case Ok(stored):
                self._store_read(service, stored)
                return True
            case Err(Conflict(current)):
                self._store_read(service, current)
                return False
        # The answer is lost: the write may have taken effect, or may still do so. Rights
        # come only from a map that was read, and the fences stay until one newer than the
        # write's condition was: from then on the platform turns that write down.
        self._pause()
        await self.refresh(service)
        return True

    def _pause(self) -> None:
        # All nodes meet the end of an outage at once; spread, they stay below its rates.
        self._paused_until = asyncio.get_running_loop().time() + self.rng.uniform(
            *RETRY_PAUSE_SECONDS
        )

    def _store_read(self, service: str, stored: StoredObject | None) -> bool:
        """Take what was read; False where it says nothing of who owns what."""
        now = asyncio.get_running_loop().time()
        held = self._cached.get(service) or _CachedMap(ABSENT, RangeMap(), now)
        self._cached[service] = held._replace(read_at=now)
        if stored is None:
            return held.version == ABSENT
        if stored.version <= held.version:
            return stored.version == held.version
        try:
            newer = decode_range_map(stored.value)
        except (ValueError, msgspec.MsgspecError):
            # Deleted or unreadable: starting afresh could overlap with what others hold.
            return False
        self._cached[service] = _CachedMap(stored.version, newer, now)
        for place, fence in list(self._fences.items()):
            if place[0] == service and fence.version < stored.version:
                del self._fences[place]
        return True
