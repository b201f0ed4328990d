"""Whose request it is, and whether it may begin."""

from result import Err, Ok, Result

from dunlinsaddle.access.configuration_lease import ConfigurationLease
from dunlinsaddle.calls.call_state import RunningCall, is_derived_request_id
from dunlinsaddle.errors import ErrorKind, Failure
from dunlinsaddle.platform.requests import CallerTerms
from dunlinsaddle.records.models import Rank
from dunlinsaddle.routes.config_follower import ConfigFollower
from dunlinsaddle.routes.models import Organisation, Route
from dunlinsaddle.routes.table import RouteTable

#: Seconds after which a call comes again whose parent is not known: a node that restarted beside
#: a target that went on knows none of its requests, and they end within a second or so.
UNKNOWN_PARENT_RETRY_AFTER_SECONDS = 1.0
#: Seconds after which a caller comes back to a node that is cut off: cuts mostly last some.
STALE_RETRY_AFTER_SECONDS = 1.0
#: Seconds that a request waits whose key no configuration here ever held. A proof that comes in
#: this time is mostly younger than the request.
CONFIRMATION_TIMEOUT_SECONDS = 1.5
#: Seconds after which a request comes back whose key may be in a configuration not known here.
UNKNOWN_KEY_RETRY_AFTER_SECONDS = 0.5

#: Whose request it is; None where it is nobody's, on a public route or where no key is needed.
CallerOrganisation = Organisation | None


def effective_rank(route: Route, holder: CallerOrganisation) -> Rank:
    """Give the rank of a request: the organisation's, if it has one, goes before the route's."""
    own = None if holder is None else holder.priority
    return Rank(min(route.priority if own is None else own, max(Rank)))


class Authenticator:
    """Says whose request it is by its key, as far as the node may still go by what it knows."""

    def __init__(self, follower: ConfigFollower, configuration_lease: ConfigurationLease) -> None:
        self.follower = follower
        self.configuration_lease = configuration_lease

    async def wait_for_key_status(self, terms: CallerTerms) -> bool:
        """Wait where a newer configuration may hold a key; say whether its standing is certain.

        Failure: a key was added a moment ago, and a node that has not heard of it says 401, which
        is final for the caller. So 401 takes a proof that is younger than the request. A key that
        was held before is not waited for: who lost it is told at once.
        """
        if self._known(terms.key):
            return True
        arrived = self.configuration_lease.clock()

        def key_status_known() -> bool:
            return self.configuration_lease.confirmed_at >= arrived or self._known(terms.key)

        await self.configuration_lease.wait_for(key_status_known, CONFIRMATION_TIMEOUT_SECONDS)
        return key_status_known()

    def _known(self, key: bytes) -> bool:
        table = self.follower.table
        if not key or table is None or not table.requires_keys:
            return True
        return table.find_key_holder(key) is not None or table.is_revoked(key)

    def authenticate(
        self,
        terms: CallerTerms,
        table: RouteTable,
        route: Route,
        parent: RunningCall | None,
        *,
        key_status_known: bool,
    ) -> Result[CallerOrganisation, Failure]:
        """Give the organisation that holds a request's key, or why it may not begin.

        Calls of the target beside the node carry no key. One is known by its id, which extends
        that of a request that runs there now; whose it is, that request says. An id that
        extends one which does not run here proves nothing: its caller may be the target, whose
        request was lost with the process before this one, or somebody who hopes to pass without a
        key. It is told 503: 401 would be wrong for the one, and an answer for the other.
        """
        if not table.requires_keys or parent is not None:
            return Ok(None)
        if route.public:
            return Ok(
                None if self.configuration_lease.expired else table.find_key_holder(terms.key)
            )
        if not terms.key and is_derived_request_id(terms.request_id):
            return Err(Failure(ErrorKind.PARENT_UNKNOWN, '', UNKNOWN_PARENT_RETRY_AFTER_SECONDS))
        if terms.key and self.configuration_lease.expired:
            return Err(
                Failure(ErrorKind.STALE_CONFIGURATION, 'no proof', STALE_RETRY_AFTER_SECONDS)
            )
        holder = table.find_key_holder(terms.key)
        if holder is not None:
            return Ok(holder)
        if not key_status_known:
            kind = ErrorKind.STALE_CONFIGURATION
            return Err(Failure(kind, 'the key may be new', UNKNOWN_KEY_RETRY_AFTER_SECONDS))
        return Err(Failure(ErrorKind.UNAUTHORIZED, 'no organisation holds the key'))
