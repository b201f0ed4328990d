"""The settings file that the platform writes for each process."""

from typing import Any

import msgspec
from result import Err, Ok, Result

from dunlinsaddle.mesh.settings import DeploymentLimits, MeshSettings
from dunlinsaddle.platform.units import parse_seconds
from dunlinsaddle.settings import SettingError, parse_address

PEERS_PORT_OFFSET = 0  #: offset into the range of internal ports
GOSSIP_PORT_OFFSET = 1
#: The port that deploy/system.toml names: the file is written before a day's range is known.
#: 9464 is the usual one of OpenTelemetry's exporter.
METRICS_PORT = 9464


class _Listen(msgspec.Struct):
    outbound: str  #: where callers on this machine and the target itself send requests
    ready: str
    control: str  #: where the target beside the node sends its heartbeats


class _Store(msgspec.Struct):
    address: str


class _NodeFile(msgspec.Struct, rename='camel'):
    node_name: str
    ip_address: str
    zone: str
    region: str
    listen: _Listen
    internal_port_range: tuple[int, int]
    app_address: str
    service: str
    platform: _Store
    bounds: dict[str, Any]
    first_start: bool = False  #: true only when the whole system starts for the first time


def read_node_file(data: bytes) -> Result[MeshSettings, SettingError]:
    """Decode the file. Unknown fields are ignored; one that cannot be used is named."""
    try:
        found = msgspec.json.decode(data, type=_NodeFile)
        return Ok(_plain(found))
    except (msgspec.MsgspecError, ValueError, KeyError, TypeError) as exc:
        return Err(SettingError('node-file', str(exc), "the platform's settings"))


def _plain(found: _NodeFile) -> MeshSettings:
    first_port = found.internal_port_range[0]
    host = found.ip_address
    bounds = found.bounds
    return MeshSettings(
        instance=found.node_name,
        domain=found.zone,
        region=found.region,
        callers=parse_address(found.listen.outbound),
        ready=parse_address(found.listen.ready),
        announce=parse_address(found.listen.control),
        peers=parse_address(f'{host}:{first_port + PEERS_PORT_OFFSET}'),
        gossip=parse_address(f'{host}:{first_port + GOSSIP_PORT_OFFSET}'),
        metrics=parse_address(f'{host}:{METRICS_PORT}'),
        target=parse_address(found.app_address),
        service=found.service,
        platform=parse_address(found.platform.address),
        limits=DeploymentLimits(
            drain_seconds=parse_seconds(bounds['drain']),
            grace_seconds=parse_seconds(bounds['grace']),
            retry_ratio=float(bounds['retryBudgetRatio']),
            extra_retries=float(bounds['retryBudgetExtra']),
            retry_window_seconds=parse_seconds(bounds['budgetWindow']),
            quota_slack=float(bounds.get('quotaSlack', 0.0)),
            quota_overage=float(bounds.get('quotaOverage', 0.0)),
            quota_window_seconds=parse_seconds(bounds.get('quotaWindow', '5s')),
            revocation_seconds=parse_seconds(bounds['revoke'])
            if bounds.get('revokeEverywhere')
            else None,
        ),
        first_start=found.first_start,
    )
