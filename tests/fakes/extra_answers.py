"""A target that sends an extra answer, which belongs to no request, and records what it ran."""

import asyncio
from collections import Counter
from enum import StrEnum
from typing import NamedTuple

from tests.fakes.target import ScriptedConnection, ScriptedTarget

WORK_SECONDS = 0.05
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'
NOT_EXECUTED = b'not-executed: 1\r\n'
SIGNED = b'server-signature: s\r\n'


class Name(StrEnum):
    """Which request the extra answer names."""

    SAME = 'that of the answer before it'
    OTHER = 'a request that was never sent'
    NONE = 'none'


class Moment(StrEnum):
    """When the extra answer is sent."""

    AT_ONCE = 'in one piece with the answer before it'
    IDLE = 'a moment later'
    NEXT = 'when the next request has arrived'
    NEXT_AFTER_INTERIM = 'when the next request has arrived, after an interim answer'
    NEXT_CUT = 'half of it when the next request has arrived'
    SECOND_NEXT = 'when the request after the next has arrived'
    WITH_NEXT_ANSWER = 'before the next answer, in one piece with it'


class Extra(NamedTuple):
    """The extra answer: its head, what it names, and when it comes."""

    status: int
    header: bytes
    name: Name
    moment: Moment
    after_run: bool = False  #: it follows the answer to a run, otherwise a refusal


class _Exchanges:
    """What one connection has carried."""

    def __init__(self) -> None:
        self.requests = 0
        self.extra = b''
        self.extra_due = 0  #: number of the request with which the extra answer is sent


class ExtraAnswerTarget:
    """Refuses the first send of each request and runs the next; some answers have an extra one."""

    def __init__(self, extra: Extra) -> None:
        self.extra = extra
        self.extras_sent = 0
        self.sends: Counter[str] = Counter()
        self.runs: Counter[str] = Counter()
        self.server = ScriptedTarget(self._respond)
        self._exchanges: dict[ScriptedConnection, _Exchanges] = {}

    async def _respond(self, connection: ScriptedConnection, data: bytes) -> None:
        head = data.partition(b'\r\n\r\n')[0].lower()
        request_id = head.partition(b'\r\nrequest-id: ')[2].partition(b'\r\n')[0].decode()
        exchanges = self._exchanges.setdefault(connection, _Exchanges())
        exchanges.requests += 1
        due = self._take_due(exchanges)
        if due and self.extra.moment is not Moment.WITH_NEXT_ANSWER:
            connection.write(due)
            due = b''
        self.sends[request_id] += 1
        is_run = self.sends[request_id] > 1
        if is_run:
            self.runs[request_id] += 1
            await asyncio.sleep(WORK_SECONDS)
        answer = _encode(200, request_id, SIGNED) if is_run else refuse(request_id)
        if is_run is self.extra.after_run:
            await self._write_with_extra(connection, exchanges, request_id, due + answer)
        else:
            connection.write(due + answer)

    def _take_due(self, exchanges: _Exchanges) -> bytes:
        if exchanges.requests != exchanges.extra_due:
            return b''
        self.extras_sent += 1
        extra, exchanges.extra = exchanges.extra, b''
        return extra

    async def _write_with_extra(
        self, connection: ScriptedConnection, exchanges: _Exchanges, request_id: str, answer: bytes
    ) -> None:
        extra = self._build_extra(request_id)
        match self.extra.moment:
            case Moment.AT_ONCE:
                connection.write(answer + extra)
                self.extras_sent += 1
                return
            case Moment.IDLE:
                connection.write(answer)
                await asyncio.sleep(0.001)
                connection.write(extra)
                self.extras_sent += 1
                return
            case Moment.SECOND_NEXT:
                exchanges.extra_due = exchanges.requests + 2
            case _:
                exchanges.extra_due = exchanges.requests + 1
        exchanges.extra = extra
        connection.write(answer)

    def _build_extra(self, request_id: str) -> bytes:
        names = {Name.SAME: request_id, Name.OTHER: 'q-other', Name.NONE: ''}
        extra = _encode(self.extra.status, names[self.extra.name], self.extra.header)
        match self.extra.moment:
            case Moment.NEXT_AFTER_INTERIM:
                return INTERIM + extra
            case Moment.NEXT_CUT:
                return extra[: len(extra) // 2]
        return extra


def refuse(request_id: str) -> bytes:
    """Return the refusal of a request."""
    return _encode(503, request_id, NOT_EXECUTED)


def _encode(status: int, request_id: str, header: bytes) -> bytes:
    name = b'request-id: %s\r\n' % request_id.encode() if request_id else b''
    return b'HTTP/1.1 %d \r\n' % status + name + header + b'content-length: 0\r\n\r\n'
