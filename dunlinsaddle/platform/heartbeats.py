"""Heartbeats of the target beside a node, as they arrive at its address for them."""

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


class _Beat(msgspec.Struct, rename='camel'):
    service: str
    address: str
    slots: Annotated[int, Meta(ge=1)]
    state: Literal['ready', 'draining']
    sequence: Annotated[int, Meta(ge=0)]
    cold_remaining: str = '0ms'
    born: int = 0  #: Unix milliseconds of the target's start


def read_heartbeat(req: HttpRequest) -> Result[Heartbeat | Deregistration, str]:
    """Decode one request to the address for heartbeats; Err says what is wrong with it."""
    path = req.path.partition('?')[0]
    target_id = unquote(path.removeprefix(INSTANCES_PATH))
    if not path.startswith(INSTANCES_PATH) or not target_id or '/' in target_id:
        return Err(f'no such path: {req.path}')
    if req.method == 'DELETE':
        return Ok(Deregistration(target_id))
    if req.method != 'PUT':
        return Err(f'no such method: {req.method}')
    try:
        beat = msgspec.json.decode(req.body, type=_Beat)
        return Ok(
            Heartbeat(
                target_id=target_id,
                service=beat.service,
                address=parse_address(beat.address),
                slots=beat.slots,
                draining=beat.state == 'draining',
                warmup_seconds=parse_seconds(beat.cold_remaining),
                started_at_ms=beat.born,
                sequence=beat.sequence,
            )
        )
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        return Err(f'unreadable heartbeat: {exc}')


def acknowledgement() -> HttpResponse:
    """Give the answer that acknowledges a heartbeat."""
    return json_response({})


def rejection(why: str) -> HttpResponse:
    """Give the answer to what names no target."""
    return json_response({'error': why}, 400)
