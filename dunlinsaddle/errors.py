"""Error kinds, and the response to each of them."""

from enum import Enum, StrEnum
from typing import NamedTuple

import msgspec

PROBLEM_TYPE_PREFIX = 'https://dunlinsaddle.example/problems/'


class Outcome(StrEnum):
    """Whether the work of a request was done, as far as the node knows."""

    DONE = 'done'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class ErrorKind(Enum):
    """All kinds of failure of a request. The value is the name of the problem on the wire."""

    MALFORMED_REQUEST = 'malformed-request'
    REQUEST_TIMEOUT = 'request-timeout'
    URI_TOO_LONG = 'uri-too-long'
    HEADERS_TOO_LARGE = 'headers-too-large'
    BODY_TOO_LARGE = 'body-too-large'
    TOO_MANY_CONNECTIONS = 'too-many-connections'
    TOO_MANY_BODIES = 'too-many-bodies'
    UNAUTHORIZED = 'unauthorized'
    UNKNOWN_SERVICE = 'unknown-service'
    NOT_FOUND = 'not-found'
    METHOD_NOT_ALLOWED = 'method-not-allowed'
    TOO_DEEP = 'too-deep'
    KEY_MALFORMED = 'key-malformed'
    KEY_EXPIRED = 'key-expired'
    KEY_IN_FUTURE = 'key-in-future'
    KEY_REUSED = 'key-reused'
    KEY_IN_PROGRESS = 'key-in-progress'
    OWNER_UNAVAILABLE = 'owner-unavailable'
    OWNER_UNREACHABLE = 'owner-unreachable'
    ANSWER_GONE = 'answer-gone'
    OVERLOADED = 'overloaded'
    REFUSED_EARLY = 'refused-early'
    TOO_LATE_TO_START = 'too-late-to-start'
    CALLER_OVER_RATE = 'caller-over-rate'
    DRAINING = 'draining'
    NO_TARGET = 'no-target'
    NO_ROUTE = 'no-route'
    NO_CONFIGURATION = 'no-configuration'
    UNREADABLE_ROUTE = 'unreadable-route'
    PARENT_UNKNOWN = 'parent-unknown'
    STALE_CONFIGURATION = 'stale-configuration'
    OVER_QUOTA = 'over-quota'
    QUOTA_UNKNOWN = 'quota-unknown'
    QUARANTINED = 'quarantined'
    DEADLINE_EXCEEDED = 'deadline-exceeded'
    CANCELLED = 'cancelled'
    TARGET_REFUSED = 'target-refused'
    TARGET_LOST = 'target-lost'
    PEER_LOST = 'peer-lost'
    INCOMPLETE_ANSWER = 'incomplete-answer'
    OUTCOME_UNKNOWN = 'outcome-unknown'
    INVALID_RECORD = 'invalid-record'
    NEWER_SCHEMA = 'newer-schema'
    VERSION_CONFLICT = 'version-conflict'
    PLATFORM_UNAVAILABLE = 'platform-unavailable'
    INTERNAL = 'internal'


class ResponseRule(NamedTuple):
    """The response to one error kind.

    ``retry_after``: whether the response has a Retry-After header. ``resend``: whether the
    caller may send the same request again.
    """

    status: int
    outcome: Outcome
    retry_after: bool
    resend: bool
    title: str


def _rule(
    status: int, outcome: Outcome, title: str, *, retry_after: bool = False, resend: bool = False
) -> ResponseRule:
    return ResponseRule(status, outcome, retry_after, resend, title)


_NOT_RUN = Outcome.NOT_RUN
_UNKNOWN = Outcome.UNKNOWN
_K = ErrorKind

RESPONSE_RULES: dict[ErrorKind, ResponseRule] = {
    _K.MALFORMED_REQUEST: _rule(400, _NOT_RUN, 'The request is not well-formed HTTP.'),
    # Refused before it was read in full: if it has a key, an earlier send may have run.
    _K.REQUEST_TIMEOUT: _rule(408, _UNKNOWN, 'The request did not arrive in time.', resend=True),
    _K.URI_TOO_LONG: _rule(414, _NOT_RUN, 'The request line is too long.'),
    _K.HEADERS_TOO_LARGE: _rule(431, _NOT_RUN, 'The headers are too large.'),
    _K.BODY_TOO_LARGE: _rule(413, _NOT_RUN, 'The body is too large.'),
    _K.TOO_MANY_CONNECTIONS: _rule(
        503, _UNKNOWN, 'This face has no connection left.', retry_after=True, resend=True
    ),
    _K.TOO_MANY_BODIES: _rule(
        503, _NOT_RUN, 'This node holds too many request bodies.', retry_after=True, resend=True
    ),
    _K.UNAUTHORIZED: _rule(401, _NOT_RUN, 'The key or token was refused.'),
    _K.UNKNOWN_SERVICE: _rule(404, _NOT_RUN, 'No record describes this service.'),
    _K.NOT_FOUND: _rule(404, _NOT_RUN, 'There is nothing at this path.'),
    _K.METHOD_NOT_ALLOWED: _rule(405, _NOT_RUN, 'The path does not take this method.'),
    _K.TOO_DEEP: _rule(508, _NOT_RUN, 'The call chain is too deep.'),
    _K.KEY_MALFORMED: _rule(400, _NOT_RUN, 'The idempotency key cannot be used.'),
    _K.KEY_EXPIRED: _rule(422, _UNKNOWN, 'The idempotency key is too old.'),
    _K.KEY_IN_FUTURE: _rule(422, _NOT_RUN, 'The idempotency key is from the future.'),
    _K.KEY_REUSED: _rule(422, _NOT_RUN, 'The key belongs to a different request.'),
    _K.KEY_IN_PROGRESS: _rule(
        409, _UNKNOWN, 'A request with this key is running.', retry_after=True, resend=True
    ),
    _K.OWNER_UNAVAILABLE: _rule(
        503, _NOT_RUN, 'Nobody can take this key now.', retry_after=True, resend=True
    ),
    _K.OWNER_UNREACHABLE: _rule(
        503, _UNKNOWN, 'Who knows of this key cannot be asked.', retry_after=True, resend=True
    ),
    _K.ANSWER_GONE: _rule(410, Outcome.DONE, 'It ran, but its answer is no longer held.'),
    _K.OVERLOADED: _rule(
        503, _NOT_RUN, 'The service is overloaded.', retry_after=True, resend=True
    ),
    _K.REFUSED_EARLY: _rule(
        503, _NOT_RUN, 'A service further down is overloaded.', retry_after=True, resend=True
    ),
    _K.TOO_LATE_TO_START: _rule(
        503, _NOT_RUN, 'It cannot finish before its deadline.', retry_after=True, resend=True
    ),
    _K.CALLER_OVER_RATE: _rule(
        429, _NOT_RUN, 'Too large a share of your calls is resent.', retry_after=True, resend=True
    ),
    _K.DRAINING: _rule(503, _NOT_RUN, 'The target is leaving.', retry_after=True, resend=True),
    _K.NO_TARGET: _rule(503, _NOT_RUN, 'No target serves this now.', retry_after=True, resend=True),
    _K.NO_ROUTE: _rule(404, _NOT_RUN, 'No route matches this host and path.'),
    _K.NO_CONFIGURATION: _rule(
        503, _NOT_RUN, 'This node has no configuration yet.', retry_after=True, resend=True
    ),
    _K.UNREADABLE_ROUTE: _rule(
        503, _NOT_RUN, 'The route of this request cannot be read.', retry_after=True, resend=True
    ),
    _K.PARENT_UNKNOWN: _rule(
        503, _NOT_RUN, 'What this is a call of does not run here.', retry_after=True, resend=True
    ),
    _K.STALE_CONFIGURATION: _rule(
        503, _NOT_RUN, 'Keys taken away may be unknown here.', retry_after=True, resend=True
    ),
    _K.OVER_QUOTA: _rule(
        429, _NOT_RUN, 'The organisation is over its quota.', retry_after=True, resend=True
    ),
    _K.QUOTA_UNKNOWN: _rule(
        503, _NOT_RUN, 'What is left of the quota is not known.', retry_after=True, resend=True
    ),
    _K.TARGET_REFUSED: _rule(
        503, _NOT_RUN, 'The target did not take it.', retry_after=True, resend=True
    ),
    _K.QUARANTINED: _rule(422, _NOT_RUN, 'Targets died while they ran this request.'),
    _K.DEADLINE_EXCEEDED: _rule(504, _UNKNOWN, 'The deadline passed while it ran.'),
    _K.CANCELLED: _rule(499, _UNKNOWN, 'The caller went away.'),
    _K.TARGET_LOST: _rule(502, _UNKNOWN, 'The target was lost while it ran this.'),
    _K.PEER_LOST: _rule(502, _UNKNOWN, 'The node that had the call was lost.'),
    _K.INCOMPLETE_ANSWER: _rule(502, _UNKNOWN, 'The answer was cut short.'),
    _K.OUTCOME_UNKNOWN: _rule(502, _UNKNOWN, 'Whether it ran cannot be told.'),
    _K.INVALID_RECORD: _rule(422, _NOT_RUN, 'The record is not valid.'),
    _K.NEWER_SCHEMA: _rule(422, _NOT_RUN, 'The record has fields that this version cannot keep.'),
    _K.VERSION_CONFLICT: _rule(409, _NOT_RUN, 'Somebody else changed the record first.'),
    _K.PLATFORM_UNAVAILABLE: _rule(
        503, _UNKNOWN, 'The platform cannot be reached.', retry_after=True, resend=True
    ),
    _K.INTERNAL: _rule(500, _UNKNOWN, 'A fault of the node.'),
}


class Failure(NamedTuple):
    """A failed request: the kind, details, and the seconds after which to retry."""

    kind: ErrorKind
    detail: str = ''
    retry_after: float = 0.0

    @property
    def rule(self) -> ResponseRule:
        """The response rule of this failure's kind."""
        return RESPONSE_RULES[self.kind]

    @property
    def outcome(self) -> Outcome:
        """Whether the work was done, as far as the node knows."""
        return self.rule.outcome


class Problem(msgspec.Struct, omit_defaults=True):
    """A problem document (RFC 9457) with the outcome as an extension member."""

    type: str
    title: str
    status: int
    outcome: Outcome
    resend: bool
    detail: str = ''


def problem_document(failure: Failure) -> Problem:
    """Return the problem document of a failure."""
    rule = failure.rule
    return Problem(
        type=f'{PROBLEM_TYPE_PREFIX}{failure.kind.value}',
        title=rule.title,
        status=rule.status,
        outcome=rule.outcome,
        resend=rule.resend,
        detail=failure.detail,
    )
