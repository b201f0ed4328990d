"""``apply``: create or change records."""

from typing import Any, NamedTuple

from cleo.helpers import argument, option

from dunlinsaddle.cli.argtypes import document_service, read_document
from dunlinsaddle.cli.client import NodeClient
from dunlinsaddle.cli.commands.change import CHANGE_OPTIONS, ChangeCommand, fetch_version
from dunlinsaddle.cli.exceptions import CommandError
from dunlinsaddle.exit_status import ExitStatus


class _Planned(NamedTuple):
    service: str
    body: dict[str, Any]


class ApplyCommand(ChangeCommand):
    """Writes records, each on the condition that nobody changed it meanwhile."""

    name = 'apply'
    description = 'Create or change records, e.g. apply cut-orders.json --why "first record".'
    arguments = [argument('files', 'Record files, - for the standard input.', multiple=True)]
    options = [
        *CHANGE_OPTIONS,
        option('dry-run', None, 'Check the records and show what would change; write nothing.'),
        option('downgrade', None, 'Write an older schema over a newer one, losing its fields.'),
    ]

    def run_command(self) -> ExitStatus:
        """Check all files, then apply each in turn; the first failure ends the command."""
        docs = [read_document(path, self.env) for path in self.argument('files')]
        services = [
            document_service(doc, path)
            for doc, path in zip(docs, self.argument('files'), strict=True)
        ]
        if len(docs) > 1 and (self.option('expected') or self.option('id')):
            raise CommandError(ExitStatus.USAGE, 'expected and id go with one file, give just one')
        node = self.node_client()
        planned = [self._plan(node, s, d) for s, d in zip(services, docs, strict=True)]
        # All are checked before one is written: a mistake in the last leaves nothing half done.
        checks = [node.post(f'/v1/records/{p.service}/check', p.body) for p in planned]
        if self.option('dry-run'):
            self.write_result(checks, [_preview(check) for check in checks])
            return ExitStatus.OK
        done = [self.send_change(node, 'PUT', p.service, p.body) for p in planned]
        self.write_result(done, [f'{d["service"]} is at version {d["version"]}' for d in done])
        return ExitStatus.OK

    def _plan(self, node: NodeClient, service: str, doc: Any) -> _Planned:
        expected = self.expected_version()
        if expected is None:
            expected = fetch_version(node, service)
        body = {**self.build_change(doc, expected), 'downgrade': self.option('downgrade')}
        return _Planned(service, body)


def _preview(check: dict[str, Any]) -> str:
    fields = ', '.join(check['changed']) or 'nothing'
    return f'{check["service"]} at version {check["version"]} would change: {fields}'
