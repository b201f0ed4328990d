"""Base class of the commands that change records: author, reason and idempotent sends."""

from typing import Any

import uuid6
from cleo.helpers import option

from dunlinsaddle.cli.client import NodeClient
from dunlinsaddle.cli.constants import MAX_SEND_ATTEMPTS, USER_VARIABLE
from dunlinsaddle.cli.definition import NODE_OPTIONS, NodeCommand
from dunlinsaddle.cli.exceptions import CommandError
from dunlinsaddle.exit_status import ExitStatus

CHANGE_OPTIONS = [
    *NODE_OPTIONS,
    option('why', None, 'The reason, for the audit trail.', flag=False, default=''),
    option('who', None, f'Who makes the change, or {USER_VARIABLE}.', flag=False),
    option('expected', None, 'The version that must be stored now; 0 for none.', flag=False),
    option(
        'id',
        None,
        'The id of an earlier send whose response was lost, to repeat it safely.',
        flag=False,
    ),
]


class ChangeCommand(NodeCommand):
    """A command that changes records."""

    def build_change(self, doc: Any, expected: int) -> dict[str, Any]:
        """Return the request body of one change, with a new id unless ``--id`` is set."""
        return {
            'id': self.option('id') or str(uuid6.uuid7()),
            'record': doc,
            'expected': expected,
            'who': self.option('who') or self.env.environ.get(USER_VARIABLE, 'unknown'),
            'why': self.option('why'),
        }

    def expected_version(self) -> int | None:
        """Return the value of ``--expected``, or None to expect the stored version."""
        text = self.option('expected')
        if text is None:
            return None
        if not text.isdecimal():
            raise CommandError(
                ExitStatus.USAGE, f'expected: {text!r} is not a version, give a whole number'
            )
        return int(text)

    def send_change(self, node: NodeClient, method: str, service: str, body: dict[str, Any]) -> Any:
        """Send a change, and again if no response came; its id prevents a second change."""
        for attempts_left in reversed(range(MAX_SEND_ATTEMPTS)):
            try:
                return node.send(method, f'/v1/records/{service}', body)
            except CommandError as exc:
                if exc.status is not ExitStatus.UNAVAILABLE:
                    raise
                if not attempts_left:
                    hint = f'run it again with --id {body["id"]} --expected {body["expected"]}'
                    raise CommandError(
                        exc.status, f'{exc}; whether it was written is not known, {hint}'
                    ) from exc
        raise AssertionError('unreachable')


def fetch_version(node: NodeClient, service: str) -> int:
    """Return the stored version of a record, 0 if there is none."""
    try:
        return int(node.get(f'/v1/records/{service}')['version'])
    except CommandError as exc:
        if exc.status is ExitStatus.NOT_FOUND:
            return 0
        raise
