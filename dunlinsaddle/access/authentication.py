"""Authenticates requests by the keys of organisations."""

from result import Err, Ok, Result

from dunlinsaddle.access.configuration_lease import ConfigurationLease
from dunlinsaddle.calls.call_state import RunningCall, is_derived_request_id
from dunlinsaddle.errors import ErrorKind, Failure
from dunlinsaddle.platform.requests import CallerHeaders
from dunlinsaddle.records.models import Rank
from dunlinsaddle.routes.config_follower import ConfigFollower
from dunlinsaddle.routes.models import Organisation, Route
from dunlinsaddle.routes.table import RouteTable

#: Retry-After of a call whose parent request is unknown. A node that restarted beside a running
#: target knows none of the target's requests, and these end within about a second.
UNKNOWN_PARENT_RETRY_AFTER_SECONDS = 1.0
#: Retry-After of a node whose configuration lease has expired, mostly in a network partition;
#: few partitions end sooner.
STALE_RETRY_AFTER_SECONDS = 1.0
#: Longest wait of a request whose key was in no configuration that this node has held. A lease
#: renewal that arrives within this time usually confirms a moment after the request's arrival.
CONFIRMATION_TIMEOUT_SECONDS = 1.5
#: Retry-After of a request whose key may be in a configuration that this node does not have yet.
UNKNOWN_KEY_RETRY_AFTER_SECONDS = 0.5

#: The organisation of a request; None on a public route or where no key is required.
CallerOrganisation = Organisation | None


def effective_rank(route: Route, holder: CallerOrganisation) -> Rank:
    """Return the rank of a request: the organisation's if it has one, else the route's."""
    own = None if holder is None else holder.priority
    return route_rank(route) if own is None else _to_rank(own)


def route_rank(route: Route) -> Rank:
    """Return the rank of a route, whoever sends the request."""
    return _to_rank(route.priority)


def _to_rank(priority: int) -> Rank:
    return Rank(min(priority, max(Rank)))


class Authenticator:
    """Finds the organisation of a request by its key, while the configuration lease is valid."""

    def __init__(self, follower: ConfigFollower, configuration_lease: ConfigurationLease) -> None:
        self.follower = follower
        self.configuration_lease = configuration_lease

    async def wait_for_key_status(self, caller_headers: CallerHeaders) -> bool:
        """Wait until it is known whether a key is valid, and return whether it is known.

        Failure: a key was just added, and a node without the new configuration answers 401, which
        callers treat as final. A 401 therefore requires a lease renewal that confirms a moment
        after the request's arrival. Keys that were held before are not waited for: a revoked key
        is refused at once.
        """
        if self._is_key_known(caller_headers.key_digest):
            return True
        arrived_at = self.configuration_lease.clock()

        def is_decided() -> bool:
            return self.configuration_lease.confirmed_at >= arrived_at or self._is_key_known(
                caller_headers.key_digest
            )

        await self.configuration_lease.wait_for(is_decided, CONFIRMATION_TIMEOUT_SECONDS)
        return is_decided()

    def _is_key_known(self, key: bytes) -> bool:
        table = self.follower.table
        if not key or table is None or not table.requires_keys:
            return True
        return table.find_key_holder(key) is not None or table.is_revoked(key)

    def authenticate(
        self,
        caller_headers: CallerHeaders,
        table: RouteTable,
        route: Route,
        parent: RunningCall | None,
        *,
        key_status_known: bool,
    ) -> Result[CallerOrganisation, Failure]:
        """Return the organisation that holds the request's key, or why the request is refused.

        Calls of the local target carry no key. Such a call is recognised by its id, which extends
        the id of a request that the target is running, and is made for that request's organisation.
        An id that extends the id of no running request proves nothing. The caller may be the local
        target, whose request this node forgot when it restarted, or a stranger that tries to avoid
        authentication. The call gets 503: 401 would be wrong for the target, and a stranger must
        not be admitted.
        """
        if not table.requires_keys or parent is not None:
            return Ok(None)
        if route.public:
            return Ok(
                None
                if self.configuration_lease.expired
                else table.find_key_holder(caller_headers.key_digest)
            )
        if not caller_headers.key_digest and is_derived_request_id(caller_headers.request_id):
            return Err(Failure(ErrorKind.PARENT_UNKNOWN, '', UNKNOWN_PARENT_RETRY_AFTER_SECONDS))
        if caller_headers.key_digest and self.configuration_lease.expired:
            return Err(
                Failure(
                    ErrorKind.STALE_CONFIGURATION,
                    'no proof',
                    STALE_RETRY_AFTER_SECONDS,
                )
            )
        holder = table.find_key_holder(caller_headers.key_digest)
        if holder is not None:
            return Ok(holder)
        if not key_status_known:
            kind = ErrorKind.STALE_CONFIGURATION
            return Err(Failure(kind, 'the key may be new', UNKNOWN_KEY_RETRY_AFTER_SECONDS))
        return Err(Failure(ErrorKind.UNAUTHORIZED, 'no organisation holds the key'))
