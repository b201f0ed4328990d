"""Object store in memory, without HTTP, with simulated outages, delays and lost responses."""

import asyncio
import copy
from collections.abc import Collection
from typing import Any

from result import Err, Ok, Result

from dunlinsaddle.platform.store import (
    WATCH_GRACE_SECONDS,
    Conflict,
    Listing,
    StoredObject,
    StoreError,
    Unavailable,
)


class FakeStore:
    """Implements the platform's object store and simulates its failures.

    The kinds in ``separate_kinds`` have their own version counter, so that a test can predict the
    versions of other kinds while a node writes these. Simulated lost writes and responses do not
    apply to them, since it is random which kind a node writes first.
    """

    def __init__(self, separate_kinds: Collection[str] = ()) -> None:
        self.separate_kinds = separate_kinds
        self.separate_revision = 0
        self.objects: dict[tuple[str, str], StoredObject] = {}
        self.revision = 0
        self.down = False
        self.delay = 0.0
        self.lose_answers = 0  #: number of writes that take effect but whose responses are lost
        self.drop_writes = 0  #: number of writes that never arrive
        self.calls = 0
        self.call_times: list[float] = []
        self.changed = asyncio.Event()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def get(self, kind: str, name: str) -> Result[StoredObject | None, Unavailable]:
        if await self._fails():
            return Err(Unavailable('down'))
        return Ok(copy.deepcopy(self.objects.get((kind, name))))

    async def list(self, kind: str) -> Result[Listing, Unavailable]:
        if await self._fails():
            return Err(Unavailable('down'))
        return Ok(self._listing(kind, 0))

    async def put(
        self, kind: str, name: str, value: Any, expected: int
    ) -> Result[StoredObject, StoreError]:
        return await self._write(kind, name, value, expected)

    async def delete(self, kind: str, name: str, expected: int) -> Result[StoredObject, StoreError]:
        return await self._write(kind, name, None, expected)

    async def watch(
        self, kind: str, since: int, timeout: float, grace: float = WATCH_GRACE_SECONDS
    ) -> Result[Listing, Unavailable]:
        if await self._fails():
            return Err(Unavailable('down'))
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        while not (listing := self._listing(kind, since)).objects:
            try:
                # asyncio.wait_for would lose a cancellation that coincides with a change.
                async with asyncio.timeout_at(deadline):
                    await self.changed.wait()
            except TimeoutError:
                break
            if self.down:
                return Err(Unavailable('down'))
        return Ok(listing)

    async def _fails(self) -> bool:
        self.calls += 1
        self.call_times.append(asyncio.get_running_loop().time())
        if self.delay:
            await asyncio.sleep(self.delay)
        return self.down

    async def _write(
        self, kind: str, name: str, value: Any, expected: int
    ) -> Result[StoredObject, StoreError]:
        if await self._fails():
            return Err(Unavailable('down'))
        if self.drop_writes > 0 and kind not in self.separate_kinds:
            self.drop_writes -= 1
            return Err(Unavailable('no response'))
        existing = self.objects.get((kind, name))
        if (existing.version if existing else 0) != expected:
            return Err(Conflict(copy.deepcopy(existing)))
        stored = StoredObject(kind, name, self._next_revision(kind), copy.deepcopy(value))
        self.objects[kind, name] = stored
        self._wake()
        if self.lose_answers > 0 and kind not in self.separate_kinds:
            self.lose_answers -= 1
            return Err(Unavailable('the response got lost'))
        return Ok(copy.deepcopy(stored))

    def _next_revision(self, kind: str) -> int:
        if kind in self.separate_kinds:
            self.separate_revision += 1
            return self.separate_revision
        self.revision += 1
        return self.revision

    def _listing(self, kind: str, since: int) -> Listing:
        objects = [o for (k, _), o in self.objects.items() if k == kind and o.version > since]
        version = self.separate_revision if kind in self.separate_kinds else self.revision
        return Listing(copy.deepcopy(objects), version)
