"""Frames of the links between nodes: MessagePack (msgspec) with a four-byte length prefix."""

import asyncio
import hashlib
import hmac
import secrets
from enum import Enum
from typing import NamedTuple, cast

import msgspec

from dunlinsaddle.calls.keepalive import LINK_KEEPALIVE_IDLE_SECONDS, enable_keepalive
from dunlinsaddle.calls.messages import Frame
from dunlinsaddle.calls.send_watch import Sending
from dunlinsaddle.policy.peer_progress import Verdict

LENGTH_PREFIX_BYTES = 4
MAX_FRAME_OVERHEAD_BYTES = 1 << 16  #: of a frame beside the body: headers and call metadata
MAX_HANDSHAKE_BYTES = 512  #: of a frame before authentication, to limit unknown peers
HANDSHAKE_TIMEOUT_SECONDS = 1.0  #: a live peer completes it within milliseconds
NONCE_BYTES = 16  #: 128 random bits do not repeat
PROBE_INTERVAL_SECONDS = 0.5  #: between two probes of a link with calls in progress
SILENCE_TIMEOUT_SECONDS = 1.5  #: without received data, while three probes are sent

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Frame] = msgspec.msgpack.Decoder(Frame)


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

    def __init__(self, limits: LinkLimits) -> None:
        self.limits = limits
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

    def connection_lost(self, exc: Exception | None) -> None:
        """Mark the link as closed and stop its timer."""
        self.closed = True
        self.stop_timer()

    def data_received(self, data: bytes) -> None:
        """Handle every complete frame."""
        self.last_received_at = self.loop.time()
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
            return None
        body = bytes(buffer[LENGTH_PREFIX_BYTES:end])
        del buffer[:end]
        try:
            return _decoder.decode(body)
        except msgspec.MsgspecError:
            self.transport.abort()
            return None

    def pause_writing(self) -> None:
        """Record that the peer reads more slowly than this end writes."""
        self.write_paused = True

    def resume_writing(self) -> None:
        """Record that the write buffer has drained."""
        self.write_paused = False

    @property
    def is_open(self) -> bool:
        """Whether frames can still be sent."""
        return not self.closed and not self.transport.is_closing()

    def send(self, frame: Frame) -> None:
        """Write one frame."""
        body = _encoder.encode(frame)
        self.transport.write(len(body).to_bytes(LENGTH_PREFIX_BYTES, 'big') + body)
        self.sending.start()

    def end_sending(self, verdict: Verdict, undelivered: int) -> None:
        """Abort the link, as the kernel does if the peer has gone."""
        self.transport.abort()

    def mark_authenticated(self) -> None:
        """Allow frames of full size, once the peer has proved that it holds the key."""
        self.max_frame_bytes = self.limits.max_body_bytes + MAX_FRAME_OVERHEAD_BYTES
        self.transport.set_write_buffer_limits(high=self.max_frame_bytes)

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
