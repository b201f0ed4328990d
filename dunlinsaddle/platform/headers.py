"""Names of the platform's HTTP headers, in lower case."""

REQUEST_ID = b'request-id'
#: Whole milliseconds that the sender will still wait, not a moment in time.
REMAINING_MILLISECONDS = b'deadline-milliseconds'
#: Set by targets on every answer of their own; an answer without it was made on the way.
SERVER_SIGNATURE = b'server-signature'
#: The id of the only target incarnation that may run the request.
EXPECTED_TARGET = b'expected-instance'
#: The id of the target incarnation that answers; despite its name not an instance of ours.
TARGET_ID = b'instance'
NOT_EXECUTED = b'not-executed'
#: Requests a second, a decimal number, that the target takes from all instances together; a rate,
#: despite its name not a limit of calls that run at once.
RATE_LIMIT = b'server-limit'
#: ``1`` on every answer of a target that leaves.
SERVER_LEAVING = b'server-leaving'
#: The service of the instance where the request began.
CALLER_SERVICE = b'caller-service'
RETRY_AFTER = b'retry-after'
#: Carries the caller's key as ``Bearer KEY``.
AUTHORIZATION = b'authorization'
#: The name of the organisation that holds the caller's key, set for targets.
ORGANISATION = b'tenant'
