"""Encodes and decodes the frames of the links between nodes, without copies of large bodies."""

from typing import NamedTuple

import msgspec

from dunlinsaddle.calls.messages import LARGE_BODY_BYTES, Body, Call, Frame, Reply

LENGTH_PREFIX_BYTES = 4

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Frame] = msgspec.msgpack.Decoder(Frame)

# Formats of MessagePack (its specification, "Formats").
_SHORT_ARRAY, _SHORT_ARRAY_MASK = 0x90, 0xF0
_ARRAY_16 = 0xDC
_SHORT_TEXT, _SHORT_TEXT_MASK = 0xA0, 0xE0
_BINARY_32 = b'\xc6'
_EMPTY_BINARY = b'\xc4\x00'
_MAX_SMALL_INTEGER = 0x7F
_INTEGER_SIZES = {0xCC: 1, 0xCD: 2, 0xCE: 4, 0xCF: 8}


class FrameStart(NamedTuple):
    """What the first bytes of a frame tell of it."""

    tag: str  #: of its type
    id: int  #: of the call


def encode_frame(frame: Frame) -> list[Body]:
    """Return a frame with its length prefix, in parts; a large body is a part of its own."""
    if isinstance(frame, (Call, Reply)) and len(frame.body) >= LARGE_BODY_BYTES:
        return _encode_around_body(frame)
    data = _encoder.encode(frame)
    return [len(data).to_bytes(LENGTH_PREFIX_BYTES, 'big') + data]


def _encode_around_body(frame: Call | Reply) -> list[Body]:
    body, frame.body = frame.body, b''
    try:
        data = _encoder.encode(frame)
        position = _body_position(frame, data)
    finally:
        frame.body = body
    before = data[:position] + _BINARY_32 + len(body).to_bytes(4, 'big')
    after = data[position + len(_EMPTY_BINARY) :]
    size = len(before) + len(body) + len(after)
    return [size.to_bytes(LENGTH_PREFIX_BYTES, 'big') + before, body, after]


def _body_position(frame: Call | Reply, data: bytes) -> int:
    """Return where the body begins in an encoded frame: behind the fields before it."""
    names = frame.__struct_fields__
    before = [getattr(frame, name) for name in names[: names.index('body')]]
    start = 1 if data[0] & _SHORT_ARRAY_MASK == _SHORT_ARRAY else 3
    tag_bytes = 2
    # The array's own header is one byte, as it is short.
    return start + tag_bytes + len(_encoder.encode(before)) - 1


def decode_frame(data: bytes | memoryview) -> Frame:
    """Decode a frame without its prefix; a large body shares its memory with ``data``.

    Raises msgspec.MsgspecError if it is invalid.
    """
    frame = _decoder.decode(data)
    if isinstance(frame, (Call, Reply)) and len(frame.body) < LARGE_BODY_BYTES:
        frame.body = bytes(frame.body)
    return frame


def read_frame_start(data: bytes | bytearray) -> FrameStart | None:
    """Return what an incomplete frame, without its prefix, begins with; None if not a call's."""
    if not data:
        return None
    if data[0] & _SHORT_ARRAY_MASK == _SHORT_ARRAY:
        position = 1
    elif data[0] == _ARRAY_16:
        position = 3
    else:
        return None
    if len(data) < position + 12 or data[position] & _SHORT_TEXT_MASK != _SHORT_TEXT:
        return None
    end = position + 1 + (data[position] & ~_SHORT_TEXT_MASK & 0xFF)
    tag = bytes(data[position + 1 : end]).decode('latin-1')
    if data[end] <= _MAX_SMALL_INTEGER:
        return FrameStart(tag, data[end])
    size = _INTEGER_SIZES.get(data[end])
    if size is None:
        return None
    return FrameStart(tag, int.from_bytes(data[end + 1 : end + 1 + size], 'big'))
