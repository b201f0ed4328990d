"""Counts and logs what the parts of a node report of requests."""

import logging

from dunlinsaddle.calls.call_state import PendingCall
from dunlinsaddle.calls.decisions import DecisionLog
from dunlinsaddle.calls.http import HttpRequest
from dunlinsaddle.calls.messages import Call, Headers, Reply
from dunlinsaddle.calls.outbound.connection import SkippedResponse
from dunlinsaddle.errors import ErrorKind, Failure, Outcome
from dunlinsaddle.platform.requests import read_request_id
from dunlinsaddle.stats import CallLabel, Hop, Stats


class RequestReports:
    """Callbacks for listeners, the client of the target, and the ingress."""

    def __init__(self, stats: Stats, decisions: DecisionLog, logger: logging.Logger) -> None:
        self.stats = stats
        self.decisions = decisions
        self.logger = logger

    def request_ended(self, call: PendingCall, reply: Reply, elapsed: float) -> None:
        """Count the end of a request, ``elapsed`` seconds after its start."""
        rank = call.ctx.priority.rank.name.lower()
        self.stats.record_call(CallLabel(call.ctx.service, rank, reply.outcome.value, reply.kind))
        self.stats.record_latency(Hop.WHOLE, elapsed)
        if reply.kind and reply.outcome is Outcome.NOT_RUN and not call.ctx.hop:
            self.stats.record_refusal(reply.kind, rank, call.ctx.organisation)

    def request_refused_unread(self, headers: Headers, failure: Failure) -> None:
        """Count and log a request that a listener refused before it was complete."""
        if failure.kind is ErrorKind.TOO_MANY_BODIES:
            self.stats.shed[failure.kind.value] += 1
        self.stats.record_refusal(failure.kind.value)
        self.decisions.log_unread(read_request_id(headers), failure)

    def peer_body_refused(self, request_id: str, failure: Failure) -> None:
        """Count and log a call of another node for whose body there is no memory.

        ``request_id`` is empty if so little of the call has arrived that it is not known.
        """
        self.stats.shed[ErrorKind.TOO_MANY_BODIES.value] += 1
        self.decisions.log_unread(request_id, failure)

    def answer_skipped(self, skipped: SkippedResponse) -> None:
        """Count and log a response of the target to another request than the one in progress."""
        self.stats.answers_skipped += 1
        self.decisions.log_skipped(read_request_id(skipped.headers), skipped)

    def answer_not_taken(self, remote: str, why: str, size: int) -> None:
        """Count and log an answer that a caller did not read, with the bytes that are left."""
        self.stats.answers_not_taken += 1
        self.decisions.log_not_taken(remote, why, size)

    def request_fault(self, req: HttpRequest) -> None:
        """Count and log the exception that is handled now, raised by the handler of a request."""
        self.stats.faults += 1
        extra = {'path': req.path}
        self.logger.exception('unhandled exception while answering a request', extra=extra)

    def peer_fault(self, call: Call) -> None:
        """Count and log the exception that is handled now, raised for a call of another node."""
        self.stats.faults += 1
        extra = {'service': call.service}
        self.logger.exception('unhandled exception while answering a peer', extra=extra)
