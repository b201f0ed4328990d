"""Whose request it is, and whether it may begin."""

from result import Err, Ok, Result

from dunlinsaddle.calls.work import Running, derives_from_another
from dunlinsaddle.errors import ErrorKind, Failure
from dunlinsaddle.platform.requests import CallerTerms
from dunlinsaddle.routes.models import Organisation, Route
from dunlinsaddle.routes.table import RouteTable

#: Seconds after which a call comes again whose parent is not known: a node that restarted beside
#: a target that went on knows none of its requests, and they end within a second or so.
ORPHAN_COME_BACK = 1.0

#: Whose request it is; None where it is nobody's, on a public route or where no key is needed.
Holder = Organisation | None


def holder_of(
    terms: CallerTerms, table: RouteTable, route: Route, parent: Running | None
) -> Result[Holder, Failure]:
    """Give the organisation that holds a request's key, or why it may not begin.

    Calls of the target beside the node carry no key. One is known by its id, which extends that
    of a request that runs there now, and counts as its organisation's. An id that extends one
    which does not run here is no proof: its caller may be the target, whose request was lost with
    the process before this one, or somebody who hopes to pass without a key. It is told 503, as
    401 would be wrong for the one, and an answer would be for the other.
    """
    if not table.wants_keys:
        return Ok(None)
    if parent is not None:
        return Ok(table.organisation(parent.work.ctx.organisation))
    holder = table.holder(terms.key)
    if holder is not None or route.public:
        return Ok(holder)
    if not terms.key and derives_from_another(terms.request_id):
        return Err(Failure(ErrorKind.PARENT_UNKNOWN, '', ORPHAN_COME_BACK))
    return Err(Failure(ErrorKind.UNAUTHORIZED, 'no organisation holds the key'))
