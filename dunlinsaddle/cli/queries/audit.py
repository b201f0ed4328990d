"""The ``history`` and ``audit`` commands: who changed which records, when and why."""

from typing import Any

from cleo.helpers import argument, option

from dunlinsaddle.cli.argtypes import parse_timestamp
from dunlinsaddle.cli.definition import NODE_OPTIONS, NodeCommand, format_table, format_timestamp
from dunlinsaddle.exit_status import ExitStatus

HEADINGS = ['WHEN', 'SERVICE', 'WHO', 'FROM', 'TO', 'CHANGED', 'WHY']


class HistoryCommand(NodeCommand):
    """Shows the audit trail of one record."""

    name = 'history'
    description = 'Show who changed a record, when and why, e.g. history cut-orders.'
    arguments = [argument('service', 'Name of the service.')]

    def run_command(self) -> ExitStatus:
        """Show one line for each change, the newest last."""
        changes = self.node_client().get(f'/v1/records/{self.argument("service")}/history')
        self.write_result(changes, format_table([HEADINGS, *map(_format_row, changes)]))
        return ExitStatus.OK


class AuditCommand(NodeCommand):
    """Shows the changes of all records."""

    name = 'audit'
    description = 'Show the changes of all records, e.g. audit --since 7d.'
    options = [
        *NODE_OPTIONS,
        option(
            'since',
            None,
            'Start time: 30m, 12h, 7d (ago) or 2026-01-31T12:00:00Z.',
            flag=False,
            default='7d',
        ),
    ]

    def run_command(self) -> ExitStatus:
        """Show one line for each change, the newest last."""
        since = parse_timestamp('since', self.option('since'), self.env.wall_clock())
        changes = self.node_client().get(f'/v1/audit?since={since!r}')
        self.write_result(changes, format_table([HEADINGS, *map(_format_row, changes)]))
        return ExitStatus.OK


def _format_row(change: dict[str, Any]) -> list[str]:
    fields = 'deleted' if change['deleted'] else ', '.join(change['changed']) or 'nothing'
    versions = [str(change['before']), str(change['after'])]
    return [
        format_timestamp(change['when']),
        change['service'],
        change['who'],
        *versions,
        fields,
        change['why'] or '-',
    ]
