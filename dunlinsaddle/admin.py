"""The operators' HTTP API: records, status, targets and metrics.

Changes to records are written to the platform.
"""

import hmac
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

import msgspec
from result import Err, Ok, Result

from dunlinsaddle.calls.http import HttpRequest, HttpResponse, failure_response, json_response
from dunlinsaddle.errors import ErrorKind, Failure, problem_document
from dunlinsaddle.explain import ExplainRequest
from dunlinsaddle.managed_node import ManagedNode
from dunlinsaddle.platform.store import Unavailable
from dunlinsaddle.queries import explain_request, known_targets, node_status
from dunlinsaddle.records.changes import (
    RETRY_AFTER_SECONDS,
    Change,
    Rejected,
    apply_change,
    entry_from_object,
    validate_change,
)
from dunlinsaddle.records.diff import changed_fields
from dunlinsaddle.records.history import RECORD_KIND, read_audit, read_history
from dunlinsaddle.records.schema import encode_record

MAX_CHANGE_BYTES = 65_536
#: Distinguishes responses of this listener from those of the others.
LISTENER_HEADER = (b'dunlinsaddle-face', b'operators')


class ChangeBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a change request.

    ``record`` is null for a deletion; ``expected`` is the version that the change is based on.
    """

    record: Any
    expected: int
    who: str
    why: str = ''
    id: str = ''
    downgrade: bool = False


class ExplainBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of an explain request: the request whose handling is explained."""

    service: str
    method: str
    path: str


class OperatorHandler:
    """Handles requests to the operators' API, which need the operator token."""

    def __init__(self, node: ManagedNode, wall_clock: Callable[[], float] = time.time) -> None:
        self.node = node
        self.wall_clock = wall_clock

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Return the response to one request."""
        response = await self._handle_request(req)
        return response._replace(headers=[*response.headers, LISTENER_HEADER])

    async def _handle_request(self, req: HttpRequest) -> HttpResponse:
        url = urlsplit(req.path)
        if url.path == '/health':
            return json_response({'ok': True})
        expected = f'Bearer {self.node.settings.operator_token}'
        received = req.header(b'authorization')
        if not hmac.compare_digest(expected.encode(), received.encode('latin-1')):
            return failure_response(Failure(ErrorKind.UNAUTHORIZED, 'give the operator token'))
        if len(req.body) > MAX_CHANGE_BYTES:
            detail = f'{len(req.body)} bytes: expected at most {MAX_CHANGE_BYTES}'
            return failure_response(Failure(ErrorKind.BODY_TOO_LARGE, detail))
        parts = [unquote(part) for part in url.path.strip('/').split('/')]
        match parts:
            case ['v1', 'records', *rest]:
                return await self._handle_records(req, rest)
            case ['v1', *rest]:
                return await self._handle_other(req, rest, parse_qs(url.query))
        return _not_found(req)

    async def _handle_records(self, req: HttpRequest, rest: list[str]) -> HttpResponse:
        match (req.method, *rest):
            case ('GET',):
                return json_response(self._records_in_force())
            case ('GET', service):
                return await self._read_record(service)
            case ('PUT' | 'DELETE', service):
                return await self._change(req, service)
            case ('POST', service, 'check'):
                return await self._check(req, service)
            case ('POST', service, 'diff'):
                return await self._diff(req, service)
            case ('GET', service, 'history'):
                return await self._history(service)
        is_known_path = len(rest) < 2 or (
            len(rest) == 2 and rest[1] in ('check', 'diff', 'history')
        )
        return _method_not_allowed(req) if is_known_path else _not_found(req)

    async def _handle_other(
        self, req: HttpRequest, rest: list[str], query: dict[str, list[str]]
    ) -> HttpResponse:
        match (req.method, *rest):
            case ('GET', 'status'):
                return json_response(node_status(self.node))
            case ('GET', 'rollout'):
                return json_response(await self._rollout())
            case ('GET', 'targets'):
                return json_response(known_targets(self.node))
            case ('GET', 'metrics'):
                return json_response(self.node.metrics.read())
            case ('GET', 'audit'):
                return await self._audit(query.get('since', ['0'])[0])
            case ('GET', 'history', service):
                return await self._history(service)
            case ('POST', 'explain'):
                return self._explain(req)
        is_known_path = rest in (
            ['status'],
            ['rollout'],
            ['targets'],
            ['metrics'],
            ['audit'],
            ['explain'],
        ) or rest[:1] == ['history']
        return _method_not_allowed(req) if is_known_path else _not_found(req)

    def _records_in_force(self) -> list[dict[str, Any]]:
        record_cache = self.node.record_cache
        return [
            {
                'service': e.service,
                'version': e.version,
                'schema': e.record.schema,
                'mode': e.record.mode.value,
                'since': record_cache.in_force_since.get(e.service, 0.0),
            }
            for e in sorted(record_cache.entries())
            if e.record
        ]

    async def _read_record(self, service: str) -> HttpResponse:
        """Return the record from the platform, or this node's copy if it is unreachable."""
        match await self.node.store.get(RECORD_KIND, service):
            case Ok(None):
                return _unknown_service(service)
            case Ok(stored):
                assert stored is not None
                doc = entry_from_object(stored).doc
                if doc is None:
                    return _unknown_service(service)
                return json_response(
                    {'version': stored.version, 'record': doc, 'source': 'platform'}
                )
            case Err(_):
                record = self.node.record_cache.find(service)
                if record is None:
                    return _unavailable_response(Unavailable('and this node holds no such record'))
                version = self.node.record_cache.version(service)
                doc = encode_record(record)
                return json_response({'version': version, 'record': doc, 'source': 'node'})

    async def _change(self, req: HttpRequest, service: str) -> HttpResponse:
        match self._read_change(req, service):
            case Ok(change):
                result = await apply_change(
                    self.node.store, change, self.node.record_cache.newest_schema
                )
            case Err(failure):
                return failure_response(failure)
        match result:
            case Ok(accepted):
                self.node.logger.info(
                    'change accepted',
                    extra={'service': service, 'who': change.who, 'change': change.id},
                )
                return json_response({'service': service, 'id': change.id, **accepted._asdict()})
            case Err(rejected):
                return _rejection_response(rejected)

    async def _check(self, req: HttpRequest, service: str) -> HttpResponse:
        """Check whether a change would be accepted, without writing it."""
        match self._read_change(req, service):
            case Ok(change):
                pass
            case Err(failure):
                return failure_response(failure)
        match await self.node.store.get(RECORD_KIND, service):
            case Ok(stored):
                rejection = validate_change(change, stored, self.node.record_cache.newest_schema)
                if rejection is not None:
                    return failure_response(rejection)
                fields = changed_fields(
                    entry_from_object(stored).doc if stored else None, change.doc
                )
                version = stored.version if stored else 0
                return json_response({'service': service, 'version': version, 'changed': fields})
            case Err(error):
                return _unavailable_response(error)

    async def _diff(self, req: HttpRequest, service: str) -> HttpResponse:
        """Compare a document with the record stored at the platform."""
        match _read_json(req):
            case Ok(doc):
                pass
            case Err(failure):
                return failure_response(failure)
        match await self.node.store.get(RECORD_KIND, service):
            case Ok(stored):
                stored_doc = entry_from_object(stored).doc if stored else None
                fields = changed_fields(stored_doc, doc)
                version = stored.version if stored else 0
                return json_response(
                    {
                        'service': service,
                        'version': version,
                        'changed': fields,
                        'record': stored_doc,
                    }
                )
            case Err(error):
                return _unavailable_response(error)

    def _read_change(self, req: HttpRequest, service: str) -> Result[Change, Failure]:
        try:
            body = msgspec.json.decode(req.body, type=ChangeBody)
        except (msgspec.MsgspecError, UnicodeError, RecursionError) as exc:
            return Err(Failure(ErrorKind.INVALID_RECORD, str(exc)))
        if not body.id:
            # Without an id, a resent change cannot be distinguished from a new one.
            return Err(Failure(ErrorKind.INVALID_RECORD, 'id: expected a unique text per change'))
        doc = None if req.method == 'DELETE' else body.record
        if req.method == 'PUT' and doc is None:
            return Err(Failure(ErrorKind.INVALID_RECORD, 'record: missing; DELETE takes it away'))
        return Ok(
            Change(
                body.id,
                service,
                doc,
                body.expected,
                body.who,
                body.why,
                self.wall_clock(),
                body.downgrade,
            )
        )

    async def _history(self, service: str) -> HttpResponse:
        match await read_history(self.node.store, service):
            case Ok(None):
                return _unknown_service(service)
            case Ok(lines):
                return json_response([line._asdict() for line in lines or ()])
            case Err(error):
                return _unavailable_response(error)

    async def _audit(self, since: str) -> HttpResponse:
        try:
            since_time = float(since)
        except ValueError:
            detail = f'since: {since!r}: expected seconds since 1970'
            return failure_response(Failure(ErrorKind.MALFORMED_REQUEST, detail))
        match await read_audit(self.node.store, since_time):
            case Ok(lines):
                return json_response([line._asdict() for line in lines])
            case Err(error):
                return _unavailable_response(error)

    async def _rollout(self) -> Any:
        """Report, per failure domain, the lowest record revision among the members asked."""
        sync = self.node.sync
        responses_by_domain = await sync.survey_members()
        own_domain = self.node.settings.domain
        responses_by_domain.setdefault(own_domain, [])
        rows = []
        for domain, responses in sorted(responses_by_domain.items()):
            revisions = [r.up_to_version for r in responses if r is not None]
            if domain == own_domain:
                revisions.append(self.node.record_cache.complete_version)
            lowest = min(revisions, default=0)
            versions = {
                e.service: e.version
                for e in self.node.record_cache.entries()
                if e.version <= lowest
            }
            asked = len(responses) + (domain == own_domain)
            rows.append(
                {
                    'domain': domain,
                    'asked': asked,
                    'answered': len(revisions),
                    'revision': lowest if revisions else None,
                    'in_force': versions,
                }
            )
        return rows

    def _explain(self, req: HttpRequest) -> HttpResponse:
        try:
            body = msgspec.json.decode(req.body, type=ExplainBody)
        except (msgspec.MsgspecError, UnicodeError, RecursionError) as exc:
            return failure_response(Failure(ErrorKind.MALFORMED_REQUEST, str(exc)))
        request = ExplainRequest(service=body.service, method=body.method, path=body.path)
        explanation = explain_request(self.node, request)
        return _unknown_service(body.service) if explanation is None else json_response(explanation)


def _read_json(req: HttpRequest) -> Result[Any, Failure]:
    try:
        return Ok(msgspec.json.decode(req.body))
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as exc:
        return Err(Failure(ErrorKind.INVALID_RECORD, str(exc)))


def _rejection_response(rejected: Rejected) -> HttpResponse:
    response = failure_response(rejected.failure)
    if rejected.conflict is None:
        return response
    problem = msgspec.to_builtins(problem_document(rejected.failure))
    body = msgspec.json.encode({**problem, 'conflict': rejected.conflict._asdict()})
    return response._replace(body=body)


def _unavailable_response(error: Unavailable) -> HttpResponse:
    failure = Failure(ErrorKind.PLATFORM_UNAVAILABLE, error.detail, RETRY_AFTER_SECONDS)
    return failure_response(failure)


def _unknown_service(service: str) -> HttpResponse:
    return failure_response(Failure(ErrorKind.UNKNOWN_SERVICE, service))


def _method_not_allowed(req: HttpRequest) -> HttpResponse:
    return failure_response(Failure(ErrorKind.METHOD_NOT_ALLOWED, f'{req.method} {req.path}'))


def _not_found(req: HttpRequest) -> HttpResponse:
    return failure_response(Failure(ErrorKind.NOT_FOUND, req.path))
