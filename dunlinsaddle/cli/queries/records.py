"""The ``get``, ``list`` and ``diff`` commands, which read records."""

import msgspec
from cleo.helpers import argument

from dunlinsaddle.cli.argtypes import document_service, read_document
from dunlinsaddle.cli.definition import NodeCommand, format_table, format_timestamp
from dunlinsaddle.exit_status import ExitStatus


class GetCommand(NodeCommand):
    """Shows one record."""

    name = 'get'
    description = 'Show the record of a service, e.g. get cut-orders.'
    arguments = [argument('service', 'Name of the service.')]

    def run_command(self) -> ExitStatus:
        """Show the stored record, or while the platform is unreachable the one in force here."""
        response = self.node_client().get(f'/v1/records/{self.argument("service")}')
        text = msgspec.json.format(msgspec.json.encode(response['record'])).decode()
        self.write_result(response, [text])
        return ExitStatus.OK


class ListCommand(NodeCommand):
    """Lists the records in force."""

    name = 'list'
    description = 'List the services that have a record in force at the node.'

    def run_command(self) -> ExitStatus:
        """Show one line for each service, with the version in force."""
        records = self.node_client().get('/v1/records')
        rows = [
            [
                r['service'],
                str(r['version']),
                str(r['schema']),
                r['mode'],
                format_timestamp(r['since']),
            ]
            for r in records
        ]
        self.write_result(
            records, format_table([['SERVICE', 'VERSION', 'SCHEMA', 'MODE', 'SINCE'], *rows])
        )
        return ExitStatus.OK


class DiffCommand(NodeCommand):
    """Compares a record file with the stored record."""

    name = 'diff'
    description = 'Show which fields of a file differ from the stored record, e.g. diff a.json.'
    arguments = [argument('file', 'A record file, - for the standard input.')]

    def run_command(self) -> ExitStatus:
        """Show one line for each field that differs."""
        path = self.argument('file')
        doc = read_document(path, self.env)
        service = document_service(doc, path)
        response = self.node_client().post(f'/v1/records/{service}/diff', doc)
        lines = response['changed'] or [f'the same as version {response["version"]}']
        self.write_result(response, lines)
        return ExitStatus.OK
