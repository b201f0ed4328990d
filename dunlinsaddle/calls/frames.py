"""Links between nodes: frames of MessagePack (msgspec) with a four-byte length prefix."""

import asyncio
import hashlib
import hmac
import secrets
from enum import Enum
from typing import NamedTuple, cast

import msgspec

from dunlinsaddle.calls.frame_codec import (
    LENGTH_PREFIX_BYTES,
    FrameStart,
    decode_frame,
    encode_frame,
    read_frame_start,
)
from dunlinsaddle.calls.held_memory import HeldMemory
from dunlinsaddle.calls.http_codec import write_parts
from dunlinsaddle.calls.keepalive import (
    LINK_KEEPALIVE_IDLE_SECONDS,
    enable_keepalive,
    limit_unread_bytes,
)
from dunlinsaddle.calls.messages import LARGE_BODY_BYTES, Frame
from dunlinsaddle.calls.send_watch import Sending
from dunlinsaddle.policy.peer_progress import Verdict

MAX_FRAME_OVERHEAD_BYTES = 1 << 16  #: of a frame beside the body: headers and call metadata
MAX_HANDSHAKE_BYTES = 512  #: of a frame before authentication, to limit unknown peers
HANDSHAKE_TIMEOUT_SECONDS = 1.0  #: a live peer completes it within milliseconds
NONCE_BYTES = 16  #: 128 random bits do not repeat
PROBE_INTERVAL_SECONDS = 0.5  #: between two probes of a link with calls in progress
SILENCE_TIMEOUT_SECONDS = 1.5  #: without received data, while three probes are sent
#: Unsent bytes of a link beyond which calls and replies wait. They would wait in its buffer as
#: long, but could not be given up there.
MAX_UNSENT_BYTES = 1 << 18
MAX_UNREAD_BYTES = 1 << 17  #: of the kernel, while this process reads other connections
FRAME_START_BYTES = 32  #: more than enough to read the number of a call


class LinkLimits(NamedTuple):
    """Limits of a link. Sizes in bytes, times in seconds.

    A link with calls in progress on which nothing is received ends at most ``silence_timeout``
    plus ``probe_interval`` after the last received data.
    """

    max_body_bytes: int = 1 << 20
    probe_interval: float = PROBE_INTERVAL_SECONDS
    silence_timeout: float = SILENCE_TIMEOUT_SECONDS
    max_links: int = 4096
    max_calls: int = 4096


class Role(Enum):
    """The two ends of a link; the proof of one end is not valid for the other."""

    DIALLING = b'dialling'
    LISTENING = b'listening'


def make_proof(key: str, role: Role, nonce: bytes, instance: str) -> bytes:
    """Return the proof that one end holds the shared key, bound to the other end's nonce."""
    return hmac.digest(key.encode(), role.value + nonce + instance.encode(), hashlib.sha256)


def is_valid_proof(key: str, role: Role, nonce: bytes, instance: str, proof: bytes) -> bool:
    """Return whether ``proof`` is what ``make_proof`` returns for the same arguments."""
    return hmac.compare_digest(make_proof(key, role, nonce, instance), proof)


class FrameProtocol(asyncio.Protocol):
    """Splits a byte stream into frames; an invalid frame aborts the connection."""

    def __init__(self, limits: LinkLimits, held_memory: HeldMemory) -> None:
        self.limits = limits
        self.held_memory = held_memory
        self.skipped_bytes = 0  #: of the current frame, which are still to be discarded
        self.arriving_bytes = 0  #: size of the current frame, 0 if it is small or none
        self.unsent_bytes = 0  #: while writing is paused
        self.writable_waiters: list[asyncio.Future[None]] = []
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport
        self.buffer = bytearray()
        self.max_frame_bytes = MAX_HANDSHAKE_BYTES
        self.last_received_at = self.loop.time()
        self.nonce = secrets.token_bytes(16)
        self.timer: asyncio.TimerHandle | None = None
        self.write_paused = False
        self.closed = False
        self.sending = Sending(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and enable TCP keepalive."""
        # The transport of another event loop need not be a subclass of asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        # Links with calls in progress send pings, and an idle link is checked before it is
        # reused. Probing each of a thousand idle links once a second would cost ten times the
        # budget for control traffic.
        enable_keepalive(transport, LINK_KEEPALIVE_IDLE_SECONDS)
        limit_unread_bytes(transport, MAX_UNREAD_BYTES)

    def connection_lost(self, exc: Exception | None) -> None:
        """Mark the link as closed and stop its timer."""
        self.closed = True
        self.stop_timer()
        self.buffer = bytearray()
        self.held_memory.release(self)
        self._wake_writers()

    def data_received(self, data: bytes) -> None:
        """Handle every complete frame."""
        self.last_received_at = self.loop.time()
        if self.skipped_bytes:
            skipped = min(self.skipped_bytes, len(data))
            self.skipped_bytes -= skipped
            data = data[skipped:]
        self.buffer += data
        # A frame may end the connection: data after it is ignored.
        while not self.transport.is_closing():
            frame = self._next_frame()
            if frame is None:
                return
            self.handle_frame(frame)

    def _next_frame(self) -> Frame | None:
        buffer = self.buffer
        if len(buffer) < LENGTH_PREFIX_BYTES:
            return None
        size = int.from_bytes(buffer[:LENGTH_PREFIX_BYTES], 'big')
        if size > self.max_frame_bytes:
            self.transport.abort()
            return None
        end = LENGTH_PREFIX_BYTES + size
        if len(buffer) < end:
            if size >= LARGE_BODY_BYTES <= len(buffer) and not self.arriving_bytes:
                self.arriving_bytes = size
                self.count_held()
            return None
        try:
            return decode_frame(self._take_frame(end))
        except msgspec.MsgspecError:
            self.transport.abort()
            return None

    def _take_frame(self, end: int) -> bytes | memoryview:
        """Remove the complete frame at the start of the buffer, up to ``end``, and return it."""
        buffer = self.buffer
        if end < LARGE_BODY_BYTES:
            frame = bytes(memoryview(buffer)[LENGTH_PREFIX_BYTES:end])
            del buffer[:end]
            return frame
        # The frame keeps the buffer, so that a large body is not copied out of it.
        self.buffer = buffer[end:]
        del buffer[end:]
        if self.arriving_bytes:
            self.arriving_bytes = 0
            self.release_arrived()
        return memoryview(buffer)[LENGTH_PREFIX_BYTES:]

    @property
    def has_begun(self) -> bool:
        """Whether something is lost if the link gives way; an arriving call can be refused."""
        return not self.arriving_bytes

    def count_held(self) -> None:
        """Count what the link holds: an arriving frame, whole, and what is not sent."""
        if not self.closed:
            # Not what a link takes without frames: it must not give way to calls.
            self.held_memory.set(self, self.arriving_bytes + self.unsent_bytes)

    def release_arrived(self) -> None:
        """Discount a complete frame, which is handled now."""
        self.count_held()

    def give_up(self) -> None:
        """Discard the arriving frame and refuse its call; end the link if it has none."""
        if not self.arriving_bytes:
            self.transport.abort()
            return
        start = read_frame_start(self.buffer[LENGTH_PREFIX_BYTES:FRAME_START_BYTES])
        # First of all, as a refusal that is sent may make this link give way once more.
        self.skipped_bytes = LENGTH_PREFIX_BYTES + self.arriving_bytes - len(self.buffer)
        self.arriving_bytes = 0
        self.buffer = bytearray()
        if start is None or not self.refuse_arriving(start):
            self.transport.abort()
            return
        self.count_held()

    def refuse_arriving(self, start: FrameStart) -> bool:
        """End the call of an arriving frame, which is not kept; return whether it is known."""
        raise NotImplementedError

    def pause_writing(self) -> None:
        """Record that the peer reads more slowly than this end writes."""
        self.write_paused = True
        self.unsent_bytes = self.transport.get_write_buffer_size()
        self.count_held()

    def resume_writing(self) -> None:
        """Record that the write buffer has drained."""
        self.write_paused = False
        self.unsent_bytes = 0
        self.count_held()
        self._wake_writers()

    def _wake_writers(self) -> None:
        waiters, self.writable_waiters = self.writable_waiters, []
        for fut in waiters:
            if not fut.done():
                fut.set_result(None)

    async def wait_writable(self) -> None:
        """Wait until little is left to be sent, or the link has ended."""
        while self.write_paused and self.is_open:
            fut = self.loop.create_future()
            self.writable_waiters.append(fut)
            await fut

    @property
    def is_open(self) -> bool:
        """Whether frames can still be sent."""
        return not self.closed and not self.transport.is_closing()

    def send(self, frame: Frame) -> None:
        """Write one frame."""
        write_parts(self.transport, encode_frame(frame))
        self.sending.start()

    def end_sending(self, verdict: Verdict, undelivered: int) -> None:
        """Abort the link, as the kernel does if the peer has gone."""
        self.transport.abort()

    def mark_authenticated(self) -> None:
        """Allow frames of full size, once the peer has proved that it holds the key."""
        self.max_frame_bytes = self.limits.max_body_bytes + MAX_FRAME_OVERHEAD_BYTES
        self.transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)

    def stop_timer(self) -> None:
        """Cancel the timer of this connection."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def is_silent(self, since: float) -> bool:
        """Return whether nothing was received for too long, counted from ``since`` or later."""
        return self.loop.time() - max(self.last_received_at, since) > self.limits.silence_timeout

    def handle_frame(self, frame: Frame) -> None:
        """Handle one frame."""
        raise NotImplementedError
