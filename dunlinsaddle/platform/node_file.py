"""Decodes the settings file that the platform writes for each process."""

from typing import Annotated, Any

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from dunlinsaddle.capacity import DEFAULT_DESCRIPTORS, DEFAULT_MEMORY_BYTES, ProcessLimits
from dunlinsaddle.mesh.settings import DeploymentLimits, MeshSettings
from dunlinsaddle.platform.units import parse_seconds
from dunlinsaddle.settings import SettingError, parse_address

PEERS_PORT_OFFSET = 0  #: offset in the range of internal ports
GOSSIP_PORT_OFFSET = 1
#: Fixed, as deploy/system.toml names it and is written before the internal port range is known.
#: 9464 is the usual port of OpenTelemetry's exporter.
METRICS_PORT = 9464
BYTES_PER_MB = 1_000_000


class _Listen(msgspec.Struct):
    outbound: str  #: where callers on this machine and the target itself send requests
    ready: str
    control: str  #: where the local target sends its heartbeats


class _Store(msgspec.Struct):
    address: str


class _Limits(msgspec.Struct, rename='camel', frozen=True):
    memory_mb: Annotated[float, Meta(gt=0)] = DEFAULT_MEMORY_BYTES / BYTES_PER_MB
    file_descriptors: Annotated[int, Meta(gt=0)] = DEFAULT_DESCRIPTORS


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
    limits: _Limits = _Limits()
    first_start: bool = False  #: true only when the whole system starts for the first time


def read_node_file(data: bytes) -> Result[MeshSettings, SettingError]:
    """Decode the file, ignoring unknown fields; the error names an invalid field."""
    try:
        wire = msgspec.json.decode(data, type=_NodeFile)
        return Ok(_to_settings(wire))
    except (msgspec.MsgspecError, ValueError, KeyError, TypeError) as exc:
        return Err(SettingError('node-file', str(exc), "the platform's settings"))


def _to_settings(wire: _NodeFile) -> MeshSettings:
    first_port = wire.internal_port_range[0]
    host = wire.ip_address
    bounds = wire.bounds
    return MeshSettings(
        instance=wire.node_name,
        domain=wire.zone,
        region=wire.region,
        callers=parse_address(wire.listen.outbound),
        ready=parse_address(wire.listen.ready),
        announce=parse_address(wire.listen.control),
        peers=parse_address(f'{host}:{first_port + PEERS_PORT_OFFSET}'),
        gossip=parse_address(f'{host}:{first_port + GOSSIP_PORT_OFFSET}'),
        metrics=parse_address(f'{host}:{METRICS_PORT}'),
        target=parse_address(wire.app_address),
        service=wire.service,
        platform=parse_address(wire.platform.address),
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
        process_limits=ProcessLimits(
            memory_bytes=int(wire.limits.memory_mb * BYTES_PER_MB),
            descriptors=wire.limits.file_descriptors,
        ),
        first_start=wire.first_start,
    )
