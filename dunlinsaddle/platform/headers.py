"""Names of the platform's HTTP headers, in lower case."""

REQUEST_ID = b'request-id'
#: Whole milliseconds that the sender will still wait; a duration, not a point in time.
REMAINING_MILLISECONDS = b'deadline-milliseconds'
#: Set by targets on all their responses; a response without it was created by an intermediary.
SERVER_SIGNATURE = b'server-signature'
#: ID of the only target incarnation that may run the request.
EXPECTED_TARGET = b'expected-instance'
#: ID of the responding target incarnation; despite its name not an instance in our sense.
TARGET_ID = b'instance'
NOT_EXECUTED = b'not-executed'
#: Requests a second, a decimal number, that the target accepts from all instances together; a
#: rate, despite its name not a concurrency limit.
RATE_LIMIT = b'server-limit'
#: Load of the target: running and waiting requests, slots, and how long work takes on its machine
#: now (100 is the usual), as numbers in this order.
SERVER_LOAD = b'server-load'
#: ``1`` on every response of a target that is shutting down.
SERVER_LEAVING = b'server-leaving'
#: Service of the instance where the request started.
CALLER_SERVICE = b'caller-service'
RETRY_AFTER = b'retry-after'
#: The caller's key, as ``Bearer KEY``.
AUTHORIZATION = b'authorization'
#: Name of the organisation that owns the caller's key, set for targets.
ORGANISATION = b'tenant'
