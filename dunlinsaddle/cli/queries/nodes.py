"""Commands that query a node: ``status``, ``rollout``, ``targets``, ``metrics``, ``nodes``."""

from typing import Any

from cleo.helpers import argument, option

from dunlinsaddle.cli.argtypes import parse_node_address
from dunlinsaddle.cli.client import NodeClient
from dunlinsaddle.cli.constants import DEFAULT_METRICS, NODE_VARIABLE
from dunlinsaddle.cli.definition import (
    JSON_OPTION,
    BaseCommand,
    NodeCommand,
    flatten,
    format_table,
)
from dunlinsaddle.exit_status import ExitStatus
from dunlinsaddle.mesh.overview import LISTENER_HEADER, PATH


class StatusCommand(NodeCommand):
    """Shows the state of one node."""

    name = 'status'
    description = 'Show the state of a node, e.g. status --node 127.0.0.1:7404.'

    def run_command(self) -> ExitStatus:
        """Show one line for each value."""
        status = self.node_client().get('/v1/status')
        self.write_result(status, format_table(flatten(status)))
        return ExitStatus.OK


class RolloutCommand(NodeCommand):
    """Shows which changes of records are in force in each failure domain."""

    name = 'rollout'
    description = 'Ask members of each failure domain which changes are in force there.'

    def run_command(self) -> ExitStatus:
        """Show one line for each failure domain."""
        rows = self.node_client().get('/v1/rollout')
        lines = [
            [r['domain'], f'{r["answered"]} of {r["asked"]}', str(r['revision'] or '-')]
            for r in rows
        ]
        self.write_result(rows, format_table([['DOMAIN', 'ANSWERED', 'IN FORCE UP TO'], *lines]))
        return ExitStatus.OK


class TargetsCommand(NodeCommand):
    """Lists the targets known to a node."""

    name = 'targets'
    description = 'List the targets known to a node, e.g. targets --json.'

    def run_command(self) -> ExitStatus:
        """Show one line for each target."""
        targets = self.node_client().get('/v1/targets')
        rows = [[t['service'] or '-', t['instance'], t['domain'], t['state']] for t in targets]
        self.write_result(
            targets, format_table([['SERVICE', 'INSTANCE', 'DOMAIN', 'STATE'], *rows])
        )
        return ExitStatus.OK


class MetricsCommand(NodeCommand):
    """Shows the metrics of one node."""

    name = 'metrics'
    description = 'Show the metrics of a node, e.g. metrics --json.'

    def run_command(self) -> ExitStatus:
        """Show one line for each value, with its attributes."""
        metrics = self.node_client().get('/v1/metrics')
        rows = [
            [name, str(point.pop('value')), ' '.join(f'{k}={v}' for k, v in point.items())]
            for name, points in metrics.items()
            for point in map(dict, points)
        ]
        self.write_result(metrics, format_table(rows))
        return ExitStatus.OK


class NodesCommand(BaseCommand):
    """Shows what a node of the users' platform knows, and how old that is."""

    name = 'nodes'
    description = 'Show what a node on the platform knows, e.g. nodes --node 10.1.0.8:9464.'
    options = [
        JSON_OPTION,
        option(
            'node', None, "Address of the node's metrics, or " + NODE_VARIABLE + '.', flag=False
        ),
        option('debug', None, 'Show the traceback of a failure.'),
    ]

    def run_command(self) -> ExitStatus:
        """Show a table for each kind of knowledge; times are in seconds."""
        text = self.option('node') or self.env.environ.get(NODE_VARIABLE) or DEFAULT_METRICS
        client = NodeClient(parse_node_address('node', text), '', LISTENER_HEADER, 'metrics')
        overview = client.get(PATH)
        lines = format_table(flatten({k: overview[k] for k in ('node', 'capacity')}))
        for kind in ('services', 'targets', 'organisations'):
            lines += ['', *_format_records(overview[kind])]
        self.write_result(overview, lines)
        return ExitStatus.OK


def _format_records(records: list[dict[str, Any]]) -> list[str]:
    rows = [dict(flatten(record)) for record in records]
    if not rows:
        return []
    return format_table([[name.upper() for name in rows[0]], *(list(r.values()) for r in rows)])


class ExplainCommand(NodeCommand):
    """Shows how a node would treat a request."""

    name = 'explain'
    description = 'Show how a node would treat a request, e.g. explain cut-orders GET /orders/1.'
    arguments = [
        argument('service', 'Name of the service.'),
        argument('method', 'Method of the request.'),
        argument('path', "Path below the service's prefix."),
    ]

    def run_command(self) -> ExitStatus:
        """Show one line for each part of the explanation."""
        body = {name: self.argument(name) for name in ('service', 'method', 'path')}
        explanation = self.node_client().post('/v1/explain', body)
        self.write_result(explanation, format_table(flatten(explanation)))
        return ExitStatus.OK
