"""Decodes the heartbeats that a node receives from its local target."""

from typing import Annotated, Literal
from urllib.parse import unquote

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from dunlinsaddle.calls.http import HttpRequest, HttpResponse, json_response
from dunlinsaddle.mesh.heartbeats import Deregistration, Heartbeat
from dunlinsaddle.platform.units import parse_seconds
from dunlinsaddle.settings import parse_address

INSTANCES_PATH = '/instances/'
MAX_ID_CHARS = 256  #: an id is sent to the target in a header of each request
MAX_SLOTS = 1_000_000  #: rejects absurd values; reported to other nodes with each reply
MAX_INTEGER = (1 << 63) - 1


class _Beat(msgspec.Struct, rename='camel'):
    service: str
    address: str
    slots: Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
    state: Literal['ready', 'draining']
    sequence: Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
    cold_remaining: str = '0ms'
    #: Start time of the target in Unix milliseconds.
    born: Annotated[int, Meta(ge=0, le=MAX_INTEGER)] = 0


def read_heartbeat(req: HttpRequest) -> Result[Heartbeat | Deregistration, str]:
    """Decode a request to the heartbeat listener; Err contains the reason if it is invalid."""
    path = req.path.partition('?')[0]
    target_id = unquote(path.removeprefix(INSTANCES_PATH))
    if not path.startswith(INSTANCES_PATH) or not target_id or '/' in target_id:
        return Err(f'no such path: {req.path}')
    if not target_id.isprintable() or len(target_id) > MAX_ID_CHARS:
        # A header with a line break in it cannot be sent, so each call would fail.
        return Err(f'unusable id: {target_id[:MAX_ID_CHARS]!r}')
    if req.method == 'DELETE':
        return Ok(Deregistration(target_id))
    if req.method != 'PUT':
        return Err(f'no such method: {req.method}')
    try:
        wire = msgspec.json.decode(req.body, type=_Beat)
        return Ok(
            Heartbeat(
                target_id=target_id,
                service=wire.service,
                address=parse_address(wire.address),
                slots=wire.slots,
                draining=wire.state == 'draining',
                warmup_seconds=parse_seconds(wire.cold_remaining),
                started_at_ms=wire.born,
                sequence=wire.sequence,
            )
        )
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        return Err(f'unreadable heartbeat: {exc}')


def acknowledgement() -> HttpResponse:
    """Return the response that acknowledges a heartbeat."""
    return json_response({})


def deferral() -> HttpResponse:
    """Return the response to a message that was not applied; its sender sends it again."""
    return json_response({'error': 'not applied'}, 503)


def rejection(reason: str) -> HttpResponse:
    """Return the response to an invalid request."""
    return json_response({'error': reason}, 400)
