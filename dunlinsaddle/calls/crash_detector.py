"""Finds out whether the local target has crashed, names the crash, and what the target ran."""

import asyncio
import secrets
from typing import NamedTuple

import xxhash

from dunlinsaddle.calls.call_state import RunningCalls
from dunlinsaddle.calls.outbound.client import HttpClient
from dunlinsaddle.calls.target import LocalTarget
from dunlinsaddle.loops import LoopBound

MAX_NAME = (1 << 63) - 1  #: of a crash; 0 stands for crashes without a name


class TargetCrash(NamedTuple):
    """The crash of one start of the target."""

    name: int
    fingerprints: frozenset[int]  #: of the requests that were in progress


class CrashDetector(LoopBound):
    """Decides whether a start of the target has ended, once for all calls that it has lost.

    A target that crashes loses all calls in progress, one shortly after the other. If each of them
    counted as a crash, equal requests at one target would be taken for a request that crashes
    every target.
    """

    def __init__(self, target: LocalTarget, client: HttpClient, running: RunningCalls) -> None:
        self.target = target
        self.client = client
        self.running = running
        self._process_token = secrets.token_hex(8)  #: distinguishes crashes seen by other processes
        self._crashes: dict[int, TargetCrash] = {}  #: the latest, by the number of the start
        self._check: asyncio.Task[TargetCrash | None] | None = None

    async def find_crash(self, start_number: int) -> TargetCrash | None:
        """Return the crash that ended a start of the target, None if it is alive.

        ``start_number`` is that of the start which lost a call.
        """
        known = self._crashes.get(start_number)
        if known is not None:
            return known
        if start_number != self.target.start_number:
            # Another start has announced itself at this node since.
            return self._add_crash(start_number)
        if self._check is None:
            self._check = self.loop.create_task(self._check_target(start_number))
            self._check.add_done_callback(self._forget_check)
        # Calls that are lost at the same time share a check. One that is cancelled must not cancel
        # it for the others.
        return await asyncio.shield(self._check)

    async def _check_target(self, start_number: int) -> TargetCrash | None:
        # The first call that is lost: the others are still in progress.
        crash = self._build_crash(start_number)
        address = self.target.address
        if address is not None and await self.client.is_listening(address):
            return None
        self.target.record_connection_refused()
        return self._add_crash(start_number, crash)

    def _add_crash(self, start_number: int, crash: TargetCrash | None = None) -> TargetCrash:
        crash = crash or self._build_crash(start_number)
        self._crashes = {start_number: crash}
        return crash

    def _build_crash(self, start_number: int) -> TargetCrash:
        digest = xxhash.xxh64_intdigest(f'{self._process_token}/{start_number}'.encode())
        return TargetCrash(1 + digest % MAX_NAME, frozenset(self.running.fingerprints()))

    def _forget_check(self, task: 'asyncio.Task[TargetCrash | None]') -> None:
        self._check = None
