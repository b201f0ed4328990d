"""What the commands that change records share: who, why, and a send that may be repeated."""

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
    option('who', None, f'Who changes it, or {USER_VARIABLE}.', flag=False),
    option('expected', None, 'The version that must stand there now; 0 for none.', flag=False),
    option('id', None, 'The id of an earlier send, to settle a lost answer.', flag=False),
]


class ChangeCommand(NodeCommand):
    """A command that changes records."""

    def build_change(self, doc: Any, expected: int) -> dict[str, Any]:
        """Give the body of one change, with an id of its own."""
        return {
            'id': self.option('id') or str(uuid6.uuid7()),
            'record': doc,
            'expected': expected,
            'who': self.option('who') or self.env.environ.get(USER_VARIABLE, 'unknown'),
            'why': self.option('why'),
        }

    def expected_version(self) -> int | None:
        """Give the version that was asked for, None to take what stands there."""
        text = self.option('expected')
        if text is None:
            return None
        if not text.isdecimal():
            raise CommandError(
                ExitStatus.USAGE, f'expected: {text!r} is not a version, give a whole number'
            )
        return int(text)

    def send_change(self, node: NodeClient, method: str, service: str, body: dict[str, Any]) -> Any:
        """Send a change until there is an answer; the id keeps it from being made twice."""
        for left in reversed(range(MAX_SEND_ATTEMPTS)):
            try:
                return node.send(method, f'/v1/records/{service}', body)
            except CommandError as exc:
                if exc.status is not ExitStatus.UNAVAILABLE:
                    raise
                if not left:
                    hint = f'run it again with --id {body["id"]} --expected {body["expected"]}'
                    raise CommandError(
                        exc.status, f'{exc}; whether it was written is not known, {hint}'
                    ) from exc
        raise AssertionError('unreachable')


def fetch_version(node: NodeClient, service: str) -> int:
    """Give the version that stands there now, 0 for none."""
    try:
        return int(node.get(f'/v1/records/{service}')['version'])
    except CommandError as exc:
        if exc.status is ExitStatus.NOT_FOUND:
            return 0
        raise
