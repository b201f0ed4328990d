"""HTTP protocol that the platform's targets expect: request headers and response checks."""

from dunlinsaddle.calls.call_state import PendingCall, RunningCall
from dunlinsaddle.calls.http import HttpResponse
from dunlinsaddle.calls.messages import Headers, Reply, refusal
from dunlinsaddle.calls.outbound.connection import Match
from dunlinsaddle.calls.target import AdvertisedState, LocalTarget
from dunlinsaddle.errors import ErrorKind, Failure, Outcome
from dunlinsaddle.platform.requests import (
    NOT_RUN_STATUSES,
    build_attempt_headers,
    decode_reply,
    match_response,
    read_advertised_state,
)


class MeshTargetProtocol:
    """Adds the expected target incarnation to requests and checks the signature of responses."""

    def __init__(self, target: LocalTarget) -> None:
        self.target = target

    def request_headers(self, call: PendingCall, running: RunningCall, seconds: float) -> Headers:
        """Return the caller's headers with the remaining time and the expected incarnation."""
        organisation = call.ctx.organisation
        return build_attempt_headers(call.headers, seconds, self.target.target_id, organisation)

    def match_response(self, running: RunningCall, headers: Headers) -> Match:
        """Return whether a response names this request."""
        return match_response(running.call.ctx.request_id, headers)

    def read_reply(self, call: PendingCall, response: HttpResponse) -> Reply:
        """Convert a complete response to a reply.

        Some statuses tell callers that a request has not run. If the target does not say so itself,
        they must not reach the caller of a request that may run once at most: it would send the
        request again.
        """
        reply = decode_reply(response)
        is_run = reply.outcome is Outcome.DONE
        if is_run and not call.ctx.idempotent and reply.status in NOT_RUN_STATUSES:
            detail = f'the target answered {reply.status} and may have run it'
            return refusal(Failure(ErrorKind.OUTCOME_UNKNOWN, detail))
        return reply

    def read_advertised_state(self, response: HttpResponse) -> AdvertisedState | None:
        """Return the target's status from a response; None unless this target sent it."""
        return read_advertised_state(response, self.target.target_id)
