"""What a node on the platform is told at its start. Times in seconds."""

from typing import NamedTuple

from dunlinsaddle.settings import Address


class DeploymentLimits(NamedTuple):
    """Promises of the deployment that bind a node."""

    drain_seconds: (
        float  #: a target gets no new work later than this after its notice was acknowledged
    )
    grace_seconds: float  #: from the signal to stop to the kill
    retry_ratio: float  #: arrivals beyond the first of each request, as a share of requests
    extra_retries: float  #: further such arrivals in each window, over all nodes
    retry_window_seconds: float
    quota_slack: float = 0.0  #: requests of an organisation beyond its quota in each window
    quota_overage: float = 0.0  #: share of a quota by which it may be exceeded
    quota_window_seconds: float = 5.0  #: seconds over which quotas are counted
    revocation_seconds: float | None = (
        None  #: a key that was taken away is refused by then, everywhere
    )


class MeshSettings(NamedTuple):
    """Names and addresses of one node and of the target beside it."""

    instance: str
    domain: str
    region: str
    callers: Address  #: where callers on this machine and the target send requests
    ready: Address
    announce: Address  #: where the target sends its heartbeats
    peers: Address
    gossip: Address
    metrics: Address
    target: Address
    service: str
    platform: Address
    limits: DeploymentLimits
    first_start: bool = False  #: the whole deployment starts now, and nobody needs it yet
