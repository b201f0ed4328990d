"""The HTTP listeners of a node on the platform."""

from typing import NamedTuple

from dunlinsaddle.calls.held_memory import HeldMemory
from dunlinsaddle.calls.http import HttpLimits
from dunlinsaddle.calls.inbound.accepted_connection import Handler
from dunlinsaddle.calls.inbound.listener import HttpListener
from dunlinsaddle.capacity import Capacity
from dunlinsaddle.mesh.reports import RequestReports
from dunlinsaddle.routes.models import Limits
from dunlinsaddle.settings import Address

#: Requests of one connection that run at the same time. Callers that pipeline send a few.
MAX_PIPELINED_REQUESTS = 16


class ListenAddresses(NamedTuple):
    """Addresses that a node listens on, by purpose."""

    callers: Address
    announce: Address
    ready: Address
    peers: Address
    gossip: Address
    metrics: Address


class Handlers(NamedTuple):
    """What answers the requests of each listener."""

    callers: Handler
    heartbeats: Handler
    readiness: Handler
    metrics: Handler


class NodeListeners:
    """The listeners for callers, heartbeats of the target, readiness checks and metrics."""

    def __init__(
        self,
        handlers: Handlers,
        reports: RequestReports,
        held_memory: HeldMemory,
        max_body_bytes: int,
        capacity: Capacity,
    ) -> None:
        self.capacity = capacity
        self.max_body_bytes = max_body_bytes  #: of a request, whatever the configuration allows
        self.callers = HttpListener(
            handlers.callers,
            HttpLimits(max_body_bytes=max_body_bytes, max_connections=capacity.caller_connections),
            reports.request_fault,
            pipeline=MAX_PIPELINED_REQUESTS,
            held_memory=held_memory,
            on_refusal=reports.request_refused_unread,
            on_not_taken=reports.answer_not_taken,
        )
        others = HttpLimits(max_connections=capacity.other_connections)
        self.heartbeats, self.readiness, self.metrics = (
            HttpListener(handler, others, reports.request_fault, held_memory=held_memory)
            for handler in (handlers.heartbeats, handlers.readiness, handlers.metrics)
        )

    def set_limits(self, limits: Limits) -> None:
        """Apply the limits of a configuration to the requests of callers."""
        self.callers.limits = HttpLimits(
            limits.header_bytes,
            min(limits.body_bytes, self.max_body_bytes),
            self.capacity.caller_connections,
            header_timeout=limits.header_timeout,
            idle_timeout=limits.idle_timeout,
        )

    def close(self) -> None:
        """Stop listening and abort all connections."""
        for listener in (self.callers, self.heartbeats, self.readiness, self.metrics):
            listener.close()
