"""``get``, ``list`` and ``history``: what the records say, and how they came to."""

from datetime import UTC, datetime

import msgspec
from cleo.helpers import argument

from dunlinsaddle.cli.definition import NodeCommand, table
from dunlinsaddle.status import ExitStatus

SERVICE_ARGUMENT = argument('service', 'Name of the service.')


class GetCommand(NodeCommand):
    """Shows one record."""

    name = 'get'
    description = 'Show the record of a service.'
    arguments = [SERVICE_ARGUMENT]

    def work(self) -> ExitStatus:
        """Show the record in force at the node."""
        answer = self.node().get(f'/v1/records/{self.argument("service")}')
        text = msgspec.json.format(msgspec.json.encode(answer['record'])).decode()
        self.show(answer, [text])
        return ExitStatus.OK


class ListCommand(NodeCommand):
    """Lists all records."""

    name = 'list'
    description = 'List the services that have a record.'

    def work(self) -> ExitStatus:
        """Show each service and the version in force."""
        records = self.node().get('/v1/records')
        rows = [[r['service'], str(r['version'])] for r in records]
        self.show(records, table([['SERVICE', 'VERSION'], *rows]))
        return ExitStatus.OK


class HistoryCommand(NodeCommand):
    """Shows the audit trail of one record."""

    name = 'history'
    description = 'Show who changed a record, when and why.'
    arguments = [SERVICE_ARGUMENT]

    def work(self) -> ExitStatus:
        """Show one line a change, the oldest first."""
        entries = self.node().get(f'/v1/history/{self.argument("service")}')
        rows = [
            [_moment(e['when']), e['who'], f'after {e["before"]}', e['why'] or '-'] for e in entries
        ]
        self.show(entries, table([['WHEN', 'WHO', 'CHANGED', 'WHY'], *rows]))
        return ExitStatus.OK


def _moment(seconds: float) -> str:
    return datetime.fromtimestamp(seconds, UTC).strftime('%Y-%m-%dT%H:%M:%SZ')
