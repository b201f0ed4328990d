"""Start-up settings of a node on the platform. Times are in seconds."""

from typing import NamedTuple

from dunlinsaddle.capacity import ProcessLimits
from dunlinsaddle.settings import Address


class DeploymentLimits(NamedTuple):
    """Limits that a node must keep, as promised by the deployment."""

    #: Longest time from the acknowledgement of a target's draining notice until it gets no new
    #: requests.
    drain_seconds: float
    grace_seconds: float  #: from the stop signal until the process is killed
    retry_ratio: float  #: retries of requests, as a share of all requests
    extra_retries: float  #: further retries in each window, over all nodes
    retry_window_seconds: float
    quota_slack: float = 0.0  #: requests in each window by which a quota may be exceeded
    quota_overage: float = 0.0  #: share of a quota by which it may be exceeded
    quota_window_seconds: float = 5.0  #: the window over which quotas are counted
    #: Time within which all nodes refuse a revoked key; None for no limit.
    revocation_seconds: float | None = None


class MeshSettings(NamedTuple):
    """Names, addresses and limits of one node and of its local target."""

    instance: str
    domain: str
    region: str
    callers: Address  #: receives requests from local callers and from the target itself
    ready: Address
    announce: Address  #: receives the target's heartbeats
    peers: Address
    gossip: Address
    metrics: Address
    target: Address
    service: str
    platform: Address
    limits: DeploymentLimits
    first_start: bool = False  #: the whole deployment starts now and has no callers yet
    process_limits: ProcessLimits = ProcessLimits()
