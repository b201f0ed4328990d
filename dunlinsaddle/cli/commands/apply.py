"""``apply``: create or change a record."""

from cleo.helpers import argument, option

from dunlinsaddle.cli.argtypes import document_argument
from dunlinsaddle.cli.constants import USER_VARIABLE
from dunlinsaddle.cli.definition import NODE_OPTIONS, NodeCommand
from dunlinsaddle.cli.exceptions import CommandError
from dunlinsaddle.status import ExitStatus


class ApplyCommand(NodeCommand):
    """Writes one record on the condition that nobody changed it meanwhile."""

    name = 'apply'
    description = 'Create or change records, e.g. apply cut-orders.json --why "first record".'
    arguments = [argument('files', 'Record files, - for the standard input.', multiple=True)]
    options = [
        *NODE_OPTIONS,
        option('why', None, 'The reason, for the audit trail.', flag=False, default=''),
        option('who', None, f'Who changes it, or {USER_VARIABLE}.', flag=False),
        option('expected', None, 'The version that must stand there now.', flag=False),
    ]

    def work(self) -> ExitStatus:
        """Apply each file in turn; the first failure ends the command."""
        done = [self._apply(path) for path in self.argument('files')]
        self.show(done, [f'{d["service"]} is at version {d["version"]}' for d in done])
        return ExitStatus.OK

    def _apply(self, path: str) -> dict[str, object]:
        doc = document_argument(path, self.env)
        service = doc.get('service') if isinstance(doc, dict) else None
        if not isinstance(service, str):
            raise CommandError(ExitStatus.INVALID_RECORD, f'{path}: service is missing')
        node = self.node()
        body = {
            'record': doc,
            'expected': self._expected(service),
            'who': self.option('who') or self.env.environ.get(USER_VARIABLE, 'unknown'),
            'why': self.option('why'),
        }
        answer = node.put(f'/v1/records/{service}', body)
        return {'service': service, 'version': answer['version']}

    def _expected(self, service: str) -> int:
        text = self.option('expected')
        if text is None:
            records = self.node().get('/v1/records')
            return next((r['version'] for r in records if r['service'] == service), 0)
        if not text.isdecimal():
            raise CommandError(ExitStatus.USAGE, f'expected: {text!r} is not a version')
        return int(text)
