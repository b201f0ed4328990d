"""Speaks to the local target as the platform's targets expect it."""

from dunlinsaddle.calls.call_state import PendingCall, RunningCall
from dunlinsaddle.calls.http import HttpResponse
from dunlinsaddle.calls.messages import Headers, Reply
from dunlinsaddle.calls.target import AdvertisedState, LocalTarget
from dunlinsaddle.platform.requests import answers, read_answer, read_said, target_headers


class MeshTargetProtocol:
    """Names the incarnation that may run the call, and checks that the answer is to it."""

    def __init__(self, target: LocalTarget) -> None:
        self.target = target

    def request_headers(self, work: PendingCall, running: RunningCall, seconds: float) -> Headers:
        """Give the caller's headers, the time left, and the incarnation that is meant."""
        organisation = work.ctx.organisation
        return target_headers(work.headers, seconds, self.target.target_id, organisation)

    def matches_request(self, work: PendingCall, headers: Headers) -> bool:
        """Say whether an answer names this request, or none."""
        return answers(work.ctx.request_id, headers)

    def read_reply(self, response: HttpResponse) -> Reply:
        """Tell what a whole answer says of the call."""
        return read_answer(response)

    def read_advertised_state(self, response: HttpResponse) -> AdvertisedState | None:
        """Tell what a whole answer says of the target; None unless it is the target's own."""
        return read_said(response, self.target.target_id)
