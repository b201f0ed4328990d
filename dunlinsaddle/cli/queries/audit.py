"""``history`` and ``audit``: who changed what, when and why."""

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
        """Show one line a change, the newest last."""
        lines = self.node_client().get(f'/v1/records/{self.argument("service")}/history')
        self.write_result(lines, format_table([HEADINGS, *map(_row, lines)]))
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
            'From when on: 30m, 12h, 7d or 2026-01-31T12:00:00Z.',
            flag=False,
            default='7d',
        ),
    ]

    def run_command(self) -> ExitStatus:
        """Show one line a change, the newest last."""
        since = parse_timestamp('since', self.option('since'), self.env.wall_clock())
        lines = self.node_client().get(f'/v1/audit?since={since!r}')
        self.write_result(lines, format_table([HEADINGS, *map(_row, lines)]))
        return ExitStatus.OK


def _row(line: dict[str, Any]) -> list[str]:
    changed = 'deleted' if line['deleted'] else ', '.join(line['changed']) or 'nothing'
    versions = [str(line['before']), str(line['after'])]
    return [
        format_timestamp(line['when']),
        line['service'],
        line['who'],
        *versions,
        changed,
        line['why'] or '-',
    ]
