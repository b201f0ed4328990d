"""Runs a case within its time limit and turns its result into an exit status."""

import asyncio
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from concurrent.futures import ThreadPoolExecutor
from typing import NoReturn

MAX_SECONDS = 114.0
MAX_THREADS = 32
#: Exit statuses for run.sh. An interpreter that fails to start a case exits with 1.
HELD, BROKEN, UNPLAYED = 10, 11, 12


class UnplayedError(Exception):
    """The case could not be played."""


async def _play_in_time(play: Callable[[], Awaitable[bool]]) -> bool:
    # The default has few threads on a machine with few processors.
    asyncio.get_running_loop().set_default_executor(ThreadPoolExecutor(MAX_THREADS))
    async with asyncio.timeout(MAX_SECONDS):
        return await play()


def _stop(signum: int, frame: object) -> None:
    """Exit, so that the processes of the case are ended first."""
    sys.exit(UNPLAYED)


def run_case(play: Callable[[], Awaitable[bool]]) -> NoReturn:
    """Play a case, which returns whether the rule was broken, and exit."""
    signal.signal(signal.SIGTERM, _stop)
    try:
        is_broken = asyncio.run(_play_in_time(play))
    except Exception:
        traceback.print_exc()
        sys.exit(UNPLAYED)
    sys.exit(BROKEN if is_broken else HELD)
