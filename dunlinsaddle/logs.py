"""Logs of both programs: one JSON object a line, and an output that never holds up the loop."""

import asyncio
import contextlib
import logging
import os
import select
from collections import deque
from typing import TextIO

from pythonjsonlogger.msgspec import MsgspecFormatter

MAX_WRITE_BYTES = 4096  #: a pipe that is writable takes as much without blocking (PIPE_BUF)
#: Lines kept for a reader that has stopped: some seconds of a flood, less than a megabyte.
MAX_BUFFERED_LINES = 2000
RETRY_SECONDS = 0.1  #: between two looks whether a reader that has stopped reads again


class NonBlockingStream:
    """A stream for log lines that writes only what the reader takes at once.

    A reader that stops fills the pipe, and a blocking write would stop the node with it: all
    its requests would wait for the log. Lines wait here instead; beyond a bound the newest are
    dropped, and their number is told once there is room again.
    """

    def __init__(self, fileno: int) -> None:
        self.fileno = fileno
        self.dropped = 0
        self._lines: deque[bytes] = deque()
        self._timer: asyncio.TimerHandle | None = None

    def write(self, text: str) -> int:
        """Take text for later."""
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
        """Write what can be written now; the rest goes later."""
        while self._lines and self._writable():
            piece = self._lines[0]
            with contextlib.suppress(BlockingIOError):
                written = os.write(self.fileno, piece)
                if written == len(piece):
                    self._lines.popleft()
                else:
                    self._lines[0] = piece[written:]
                continue
            break
        if self._lines and self._timer is None:
            self._retry_later()

    def _writable(self) -> bool:
        poll = select.poll()
        poll.register(self.fileno, select.POLLOUT)
        return any(events & select.POLLOUT for _, events in poll.poll(0))

    def _retry_later(self) -> None:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # The last lines of a process that ends: there is no later.
            return
        self._timer = loop.call_later(RETRY_SECONDS, self._retry)

    def _retry(self) -> None:
        self._timer = None
        self.flush()


def create_logger(
    stream: 'TextIO | NonBlockingStream', level: str, *, instance: str, domain: str
) -> logging.Logger:
    """Prepare the daemon's logger; each line names the instance and its failure domain.

    ``time`` is in UTC with its offset, so that lines of nodes in any zone can be merged.
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
