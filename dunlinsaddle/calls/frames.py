"""Frames of the link between nodes: MessagePack (msgspec) behind a length of four bytes."""

import asyncio
import hashlib
import hmac
import secrets
from enum import Enum
from typing import NamedTuple, cast

import msgspec

from dunlinsaddle.calls.keepalive import LINK_KEEPALIVE_IDLE_SECONDS, enable_keepalive
from dunlinsaddle.calls.messages import Frame

LENGTH_PREFIX_BYTES = 4  #: of a frame's length
MAX_FRAME_OVERHEAD_BYTES = (
    1 << 16
)  #: bytes of a frame beside the body: headers, and what goes with a call
MAX_HANDSHAKE_BYTES = 512  #: of a greeting: a bound against strangers
HANDSHAKE_TIMEOUT_SECONDS = 1.0  #: seconds; a live peer greets within milliseconds
NONCE_BYTES = 16  #: 128 bits do not come twice
PROBE_INTERVAL_SECONDS = 0.5  #: seconds between two probes of a link that carries calls
SILENCE_TIMEOUT_SECONDS = 1.5  #: seconds without an answer to three probes

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Frame] = msgspec.msgpack.Decoder(Frame)


class LinkLimits(NamedTuple):
    """Bounds of a link. Sizes in bytes, times in seconds.

    A link that carries calls and is silent is ended ``silence_timeout`` plus ``probe_interval``
    after the last sign of life, at the latest.
    """

    max_body_bytes: int = 1 << 20
    probe_interval: float = PROBE_INTERVAL_SECONDS
    silence_timeout: float = SILENCE_TIMEOUT_SECONDS
    max_links: int = 4096
    max_calls: int = 4096


class Role(Enum):
    """The two ends of a link; a proof made for one is none for the other."""

    DIALLING = b'dialling'
    LISTENING = b'listening'


def make_proof(key: str, role: Role, nonce: bytes, instance: str) -> bytes:
    """Give the proof that an end holds the shared key, bound to the other end's nonce."""
    return hmac.digest(key.encode(), role.value + nonce + instance.encode(), hashlib.sha256)


def is_valid_proof(key: str, role: Role, nonce: bytes, instance: str, proof: bytes) -> bool:
    """Say whether a proof is the right one."""
    return hmac.compare_digest(make_proof(key, role, nonce, instance), proof)


class FrameProtocol(asyncio.Protocol):
    """Cuts a stream of bytes into frames; a wrong frame ends the connection."""

    def __init__(self, limits: LinkLimits) -> None:
        self.limits = limits
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport
        self.buffer = bytearray()
        self.most = MAX_HANDSHAKE_BYTES
        self.last_received_at = self.loop.time()
        self.nonce = secrets.token_bytes(16)
        self.timer: asyncio.TimerHandle | None = None
        self.full = False
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Watch over the new connection."""
        # The transport of another loop need not be a subclass of asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        # A link that carries calls pings, and an idle one is asked before it is used again. A
        # probe a second on each of a thousand idle links would take ten times the budget.
        enable_keepalive(transport, LINK_KEEPALIVE_IDLE_SECONDS)

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end of the connection."""
        self.closed = True
        self.stop_timer()

    def data_received(self, data: bytes) -> None:
        """Take every whole frame."""
        self.last_received_at = self.loop.time()
        self.buffer += data
        # A frame may end the connection: what came behind it is not looked at.
        while not self.transport.is_closing():
            frame = self._next_frame()
            if frame is None:
                return
            self.take(frame)

    def _next_frame(self) -> Frame | None:
        buffer = self.buffer
        if len(buffer) < LENGTH_PREFIX_BYTES:
            return None
        size = int.from_bytes(buffer[:LENGTH_PREFIX_BYTES], 'big')
        if size > self.most:
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
        """Note that the other side does not read as fast as this one writes."""
        self.full = True

    def resume_writing(self) -> None:
        """Note that the other side has caught up."""
        self.full = False

    @property
    def open(self) -> bool:
        """Whether frames can still be sent."""
        return not self.closed and not self.transport.is_closing()

    def send(self, frame: Frame) -> None:
        """Write one frame."""
        body = _encoder.encode(frame)
        self.transport.write(len(body).to_bytes(LENGTH_PREFIX_BYTES, 'big') + body)

    def trust(self) -> None:
        """Allow frames of full size, once the other side has proved that it holds the key."""
        self.most = self.limits.max_body_bytes + MAX_FRAME_OVERHEAD_BYTES
        self.transport.set_write_buffer_limits(high=self.most)

    def stop_timer(self) -> None:
        """Cancel the timer of this connection."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def silent(self, since: float) -> bool:
        """Whether nothing came for too long, counted from ``since`` at the earliest."""
        return self.loop.time() - max(self.last_received_at, since) > self.limits.silence_timeout

    def take(self, frame: Frame) -> None:
        """Act on one frame."""
        raise NotImplementedError
