"""The operators' face: records, status, targets. A change goes to the platform."""

import hmac
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, TypedDict

import msgspec
import uuid6
from result import Err, Ok

from dunlinsaddle.calls.http import (
    HttpRequest,
    HttpResponse,
    failure_response,
    json_response,
)
from dunlinsaddle.errors import ErrorKind, Failure
from dunlinsaddle.records.changes import RECORDS, Change, ChangeEntry, apply_change
from dunlinsaddle.records.schema import encode_record

if TYPE_CHECKING:
    from dunlinsaddle.node import Node


class ChangeBody(TypedDict):
    """The body of a change. ``record`` is null to delete; ``expected`` is the version read."""

    record: Any
    expected: int
    who: str
    why: str


class OperatorsFace:
    """Answers operators who hold the token."""

    def __init__(self, node: 'Node', wall_clock: Callable[[], float] = time.time) -> None:
        self.node = node
        self.wall_clock = wall_clock

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Answer one request of an operator."""
        if req.path == '/health':
            return json_response({'ok': True})
        want = f'Bearer {self.node.settings.operator_token}'
        if not hmac.compare_digest(want.encode(), req.header(b'authorization').encode()):
            return failure_response(Failure(ErrorKind.UNAUTHORIZED, 'give the operator token'))
        parts = req.path.partition('?')[0].strip('/').split('/')
        match (req.method, *parts):
            case ('GET', 'v1', 'status'):
                return json_response(self.node.status())
            case ('GET', 'v1', 'targets'):
                return json_response(self.node.targets())
            case ('GET', 'v1', 'records'):
                return self._records()
            case ('GET', 'v1', 'records', service):
                return self._record(service)
            case ('PUT', 'v1', 'records', service):
                return await self._change(req, service)
            case ('GET', 'v1', 'history', service):
                return await self._history(service)
        return failure_response(Failure(ErrorKind.NOT_FOUND, req.path))

    def _records(self) -> HttpResponse:
        entries = self.node.book.entries()
        return json_response(
            [{'service': e.service, 'version': e.version} for e in entries if e.record]
        )

    def _record(self, service: str) -> HttpResponse:
        record = self.node.book.find(service)
        if record is None:
            return failure_response(Failure(ErrorKind.UNKNOWN_SERVICE, service))
        version = self.node.book.version(service)
        return json_response({'version': version, 'record': encode_record(record)})

    async def _change(self, req: HttpRequest, service: str) -> HttpResponse:
        try:
            body = msgspec.json.decode(req.body, type=ChangeBody)
        except msgspec.MsgspecError as exc:
            return failure_response(Failure(ErrorKind.INVALID_RECORD, str(exc)))
        entry = ChangeEntry(
            id=str(uuid6.uuid7()),
            who=body['who'],
            why=body['why'],
            when=self.wall_clock(),
            before=body['expected'],
            deleted=body['record'] is None,
        )
        change = Change(service, body['record'], body['expected'], entry)
        match await apply_change(self.node.store, change):
            case Ok(version):
                return json_response({'service': service, 'version': version})
            case Err(failure):
                return failure_response(failure)

    async def _history(self, service: str) -> HttpResponse:
        match await self.node.store.get(RECORDS, service):
            case Ok(held):
                if held is None:
                    return failure_response(Failure(ErrorKind.UNKNOWN_SERVICE, service))
                return json_response((held.value or {}).get('history', []))
            case Err(error):
                return failure_response(Failure(ErrorKind.PLATFORM_UNAVAILABLE, error.detail))
