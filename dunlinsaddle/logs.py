"""Logging as one JSON object per line, and an output stream that never blocks the event loop."""

import asyncio
import contextlib
import logging
import os
import select
from collections import deque
from typing import TextIO

from pythonjsonlogger.msgspec import MsgspecFormatter

MAX_WRITE_BYTES = 4096  #: what a writable pipe accepts without blocking (PIPE_BUF)
#: Buffer for a reader that has stalled: a few seconds of heavy logging, below one megabyte.
MAX_BUFFERED_LINES = 2000
RETRY_SECONDS = 0.1  #: interval between attempts to write to a stalled output


class NonBlockingStream:
    """An output stream for log lines that buffers what cannot be written without blocking.

    A reader that stops reading fills the pipe. A blocking write would then stop the event loop
    and with it all requests of the node. Lines are buffered instead. If the buffer is full, new
    lines are dropped; their number is logged once the buffer is less than half full.
    """

    def __init__(self, fileno: int) -> None:
        self.fileno = fileno
        self.dropped = 0
        self._lines: deque[bytes] = deque()
        self._timer: asyncio.TimerHandle | None = None

    def write(self, text: str) -> int:
        """Buffer text until the next flush."""
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self.dropped += 1
            return len(text)
        if self.dropped and len(self._lines) < MAX_BUFFERED_LINES // 2:
            self._lines.append(b'{"message": "log lines dropped", "count": %d}\n' % self.dropped)
            self.dropped = 0
        data = text.encode('utf-8', 'backslashreplace')
        for start in range(0, len(data), MAX_WRITE_BYTES):
            self._lines.append(data[start : start + MAX_WRITE_BYTES])
        return len(text)

    def flush(self) -> None:
        """Write what the output accepts now, and schedule a retry for the rest."""
        while self._lines and self._is_writable():
            chunk = self._lines[0]
            with contextlib.suppress(BlockingIOError):
                written = os.write(self.fileno, chunk)
                if written == len(chunk):
                    self._lines.popleft()
                else:
                    self._lines[0] = chunk[written:]
                continue
            break
        if self._lines and self._timer is None:
            self._schedule_retry()

    def _is_writable(self) -> bool:
        poll = select.poll()
        poll.register(self.fileno, select.POLLOUT)
        return any(events & select.POLLOUT for _, events in poll.poll(0))

    def _schedule_retry(self) -> None:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # No event loop runs at the end of the process, so there is no retry.
            return
        self._timer = loop.call_later(RETRY_SECONDS, self._retry)

    def _retry(self) -> None:
        self._timer = None
        self.flush()


def create_logger(
    stream: 'TextIO | NonBlockingStream', level: str, *, instance: str, domain: str
) -> logging.Logger:
    """Create the daemon's logger; each line has the instance and its failure domain.

    ``time`` is in UTC and has the offset, so that logs of nodes in different time zones can be
    merged.
    """
    handler = logging.StreamHandler(stream)
    handler.setFormatter(
        MsgspecFormatter(
            '%(levelname)s %(message)s',
            rename_fields={'levelname': 'level'},
            timestamp='time',
            static_fields={'instance': instance, 'domain': domain},
        )
    )
    logger = logging.getLogger(f'dunlinsaddle.{instance}')
    logger.handlers[:] = [handler]
    logger.setLevel(level.upper())
    logger.propagate = False
    return logger
