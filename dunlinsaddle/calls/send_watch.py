"""Watches connections whose peers have not taken all data that was written to them."""

import asyncio
import logging
import math
import weakref
from typing import Protocol

from dunlinsaddle.calls.keepalive import (
    NO_TIMEOUT,
    UNACKED_TIMEOUT_MILLISECONDS,
    read_send_state,
    set_unacked_timeout,
    socket_of,
)
from dunlinsaddle.policy.peer_progress import (
    DEFAULT_MAX_STALL_SECONDS,
    PeerProgress,
    SendState,
    Verdict,
)

WATCH_INTERVAL_SECONDS = 0.5  #: between two looks at a connection


class Sender(Protocol):
    """A connection that data is written to."""

    transport: asyncio.Transport

    def end_sending(self, verdict: Verdict, undelivered: int) -> None:
        """End the connection: its peer has gone, or takes nothing."""


class Sending:
    """The data of one connection that is on its way to the peer."""

    def __init__(self, sender: Sender) -> None:
        self.sender = sender
        #: Time of the event loop until which the data is of use to the peer.
        self.useful_until = math.inf
        self.max_stall_seconds = DEFAULT_MAX_STALL_SECONDS
        self.progress: PeerProgress | None = None  #: None while nothing is watched
        self._watch = watch_of_loop()

    def start(self) -> None:
        """Watch the connection, to which data was written, until the peer has taken it."""
        if self.progress is None and socket_of(self.sender.transport) is not None:
            self.progress = PeerProgress(asyncio.get_running_loop().time())
            self._watch.add(self)

    @property
    def is_undelivered(self) -> bool:
        """Whether the peer has not taken all data, as far as is known; then the watch goes on."""
        return self.progress is not None and bool(self._read().undelivered)

    def look(self, now: float) -> None:
        """Act on what the peer has taken; ``progress`` is None if there is no more to watch."""
        if self.progress is None or socket_of(self.sender.transport) is None:
            self.progress = None
            return
        state = self._read()
        verdict = self.progress.judge(now, state, self.useful_until, self.max_stall_seconds)
        match verdict:
            case Verdict.WAIT if state.silent_seconds is None and self.progress.looks > 1:
                # A peer that reads slowly cannot be told from one that has gone: the kernel's
                # timeout stays in force for both.
                self._watch.log_unknown('the kernel does not fill them in')
            case Verdict.SLOW:
                self._set_timeout(NO_TIMEOUT)
            case Verdict.DELIVERED:
                if self.progress.is_slow:
                    self._set_timeout(UNACKED_TIMEOUT_MILLISECONDS)
                self.progress = None
            case Verdict.GONE | Verdict.STALLED:
                self.progress = None
                self.sender.end_sending(verdict, state.undelivered)

    def outlive_connection(self) -> None:
        """Have the kernel deliver the rest to a slow peer after the socket is closed here."""
        if self.is_undelivered:
            self._set_timeout(round(self.max_stall_seconds * 1000))

    def _read(self) -> SendState:
        buffered = self.sender.transport.get_write_buffer_size()
        sock = socket_of(self.sender.transport)
        if sock is None:
            return SendState(0)
        try:
            return read_send_state(sock, buffered)
        except OSError as exc:
            self._watch.log_unknown(str(exc))
            return SendState(buffered)

    def _set_timeout(self, milliseconds: int) -> None:
        sock = socket_of(self.sender.transport)
        if sock is not None:
            set_unacked_timeout(sock, milliseconds)


class SendWatch:
    """Looks at all connections with undelivered data, twice a second while there are any.

    Guards against this failure: the kernel ends a connection whose peer leaves data unread for as
    long as one whose peer has gone, and drops the answers in it. The kernel's timeout stays in
    force until it is known that the peer is alive.
    """

    def __init__(self) -> None:
        self.logger: logging.Logger | None = None
        self._watched: set[Sending] = set()
        self._is_scheduled = False
        self._has_logged = False

    def add(self, sending: Sending) -> None:
        """Look at a connection from now on."""
        self._watched.add(sending)
        if not self._is_scheduled:
            self._schedule()

    def log_unknown(self, error: str) -> None:
        """Log once that the kernel does not say whether peers acknowledge what is sent."""
        if self.logger is not None and not self._has_logged:
            self._has_logged = True
            self.logger.warning('acknowledgements of peers unknown', extra={'error': error})

    def _schedule(self) -> None:
        # The loop is not kept: the watch must not keep it alive.
        self._is_scheduled = True
        asyncio.get_running_loop().call_later(WATCH_INTERVAL_SECONDS, self._look)

    def _look(self) -> None:
        now = asyncio.get_running_loop().time()
        for sending in list(self._watched):
            sending.look(now)
        self._watched = {sending for sending in self._watched if sending.progress is not None}
        self._is_scheduled = False
        if self._watched:
            self._schedule()


_watches: 'weakref.WeakKeyDictionary[asyncio.AbstractEventLoop, SendWatch]' = (
    weakref.WeakKeyDictionary()
)


def watch_of_loop() -> SendWatch:
    """Return the watch of the running event loop."""
    loop = asyncio.get_running_loop()
    watch = _watches.get(loop)
    if watch is None:
        watch = _watches[loop] = SendWatch()
    return watch
