"""The ``apply`` command: create or change records."""

from typing import Any, NamedTuple

from cleo.helpers import argument, option

from dunlinsaddle.cli.argtypes import document_service, read_document
from dunlinsaddle.cli.client import NodeClient
from dunlinsaddle.cli.commands.change import CHANGE_OPTIONS, ChangeCommand, fetch_version
from dunlinsaddle.cli.exceptions import CommandError
from dunlinsaddle.exit_status import ExitStatus


class _Change(NamedTuple):
    service: str
    body: dict[str, Any]


class ApplyCommand(ChangeCommand):
    """Writes records, each only if its stored version is still the expected one."""

    name = 'apply'
    description = 'Create or change records, e.g. apply cut-orders.json --why "first record".'
    arguments = [argument('files', 'Record files, - for the standard input.', multiple=True)]
    options = [
        *CHANGE_OPTIONS,
        option('dry-run', None, 'Check the records and show what would change; write nothing.'),
        option('downgrade', None, 'Write an older schema over a newer one, losing its fields.'),
    ]

    def run_command(self) -> ExitStatus:
        """Check all files, then apply them one by one; the first failure ends the command."""
        docs = [read_document(path, self.env) for path in self.argument('files')]
        services = [
            document_service(doc, path)
            for doc, path in zip(docs, self.argument('files'), strict=True)
        ]
        if len(docs) > 1 and (self.option('expected') or self.option('id')):
            raise CommandError(
                ExitStatus.USAGE, 'expected and id apply to a single file, give just one'
            )
        node = self.node_client()
        changes = [self._build_change(node, s, d) for s, d in zip(services, docs, strict=True)]
        # Check all before writing any, so that an invalid file leaves no partial change.
        checks = [node.post(f'/v1/records/{c.service}/check', c.body) for c in changes]
        if self.option('dry-run'):
            self.write_result(checks, [_format_check(check) for check in checks])
            return ExitStatus.OK
        applied = [self.send_change(node, 'PUT', c.service, c.body) for c in changes]
        self.write_result(
            applied, [f'{a["service"]} is at version {a["version"]}' for a in applied]
        )
        return ExitStatus.OK

    def _build_change(self, node: NodeClient, service: str, doc: Any) -> _Change:
        expected = self.expected_version()
        if expected is None:
            expected = fetch_version(node, service)
        body = {**self.build_change(doc, expected), 'downgrade': self.option('downgrade')}
        return _Change(service, body)


def _format_check(check: dict[str, Any]) -> str:
    fields = ', '.join(check['changed']) or 'nothing'
    return f'{check["service"]} at version {check["version"]} would change: {fields}'
