"""Graceful shutdown of a node on the users' platform, within the time until it is killed."""

import asyncio
import contextlib
import logging
from typing import NamedTuple

from dunlinsaddle.calls.inbound.drain import RequestDrain

#: Time for which a stopping node still accepts requests. Callers learn that it is not ready from
#: two readiness checks, a second apart, and requests already sent arrive after that.
CALLER_DRAIN_SECONDS = 2.5
#: Share of the grace time in which a stopping node starts requests: later ones, such as uploads
#: that were still arriving, would mostly be cut off at its end, and are refused as not run.
LATEST_START_SHARE = 0.5
#: Time before the kill at which a stopping node ends the requests that still run.
KILL_MARGIN_SECONDS = 0.4


class ShutdownTimes(NamedTuple):
    """Times of the event loop at which a stopping node restricts what it does."""

    started_at: float
    finish_at: float  #: from then on, no request starts behind another on its connection
    refuse_at: float  #: from then on, only calls of the local target start
    end_at: float  #: whatever still runs is cut off


def shutdown_times(started_at: float, grace_seconds: float) -> ShutdownTimes:
    """Return the times of a shutdown; the node is killed ``grace_seconds`` after its start."""
    start_seconds = grace_seconds * LATEST_START_SHARE
    return ShutdownTimes(
        started_at,
        started_at + min(CALLER_DRAIN_SECONDS, start_seconds),
        started_at + start_seconds,
        started_at + grace_seconds - KILL_MARGIN_SECONDS,
    )


async def drain_requests(
    requests: RequestDrain, times: ShutdownTimes, logger: logging.Logger
) -> None:
    """Serve callers until they have left, then finish what is in progress, and log the end."""
    loop = asyncio.get_running_loop()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout_at(times.end_at):
            await asyncio.sleep(times.finish_at - loop.time())
            await requests.finish_target()
            await requests.finish()
    requests.log_end(logger, loop.time() - times.started_at)
