"""Base classes of all commands: common options, output formats and error reporting."""

import traceback
from datetime import UTC, datetime
from typing import Any

import msgspec
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option

from dunlinsaddle.cli.argtypes import parse_node_address, parse_token
from dunlinsaddle.cli.client import NodeClient
from dunlinsaddle.cli.constants import DEFAULT_NODE, NODE_VARIABLE, TOKEN_VARIABLE
from dunlinsaddle.cli.exceptions import CommandError
from dunlinsaddle.environment import Environment
from dunlinsaddle.exit_status import ExitStatus

DEBUG_FLAG = '--debug'
JSON_OPTION = option('json', None, 'Write one JSON document.')
NODE_OPTIONS: list[Option] = [
    JSON_OPTION,
    option(
        'node', None, f"Address of a node's operators' listener, or {NODE_VARIABLE}.", flag=False
    ),
    option('token', None, f"The operators' token, or {TOKEN_VARIABLE}.", flag=False),
    option('debug', None, 'Show the traceback of a failure.'),
]


class BaseCommand(Command):
    """A command that writes to its environment and returns an exit status."""

    def __init__(self, env: Environment) -> None:
        super().__init__()
        self.env = env

    def handle(self) -> int:
        """Run the command; report a CommandError in one line and return its exit status."""
        try:
            return self.run_command()
        except CommandError as exc:
            if self.definition.has_option('debug') and self.option('debug'):
                self.env.stderr.write(traceback.format_exc())
            self.env.print_error(str(exc))
            return exc.status

    def run_command(self) -> ExitStatus:
        """Run the command. Subclasses implement it."""
        raise NotImplementedError

    def write_result(self, value: Any, lines: list[str]) -> None:
        """Write ``value`` as JSON if ``--json`` is set, otherwise the given lines."""
        if self.option('json'):
            lines = [msgspec.json.format(msgspec.json.encode(value)).decode()]
        self.env.stdout.write(''.join(f'{line}\n' for line in lines))


class NodeCommand(BaseCommand):
    """A command that sends requests to a node."""

    options = NODE_OPTIONS

    def node_client(self) -> NodeClient:
        """Return a client for the node that options or environment variables select."""
        environ = self.env.environ
        text = self.option('node') or environ.get(NODE_VARIABLE) or DEFAULT_NODE
        token = self.option('token') or environ.get(TOKEN_VARIABLE)
        if not token:
            raise CommandError(
                ExitStatus.USAGE, f'no operator token: give --token or {TOKEN_VARIABLE}'
            )
        return NodeClient(parse_node_address('node', text), parse_token('token', token))


def flatten(value: dict[str, Any], prefix: str = '') -> list[list[str]]:
    """Return a nested object as rows of a dotted name and a value.

    >>> flatten({'a': 1, 'b': {'c': 2}, 'd': {}})
    [['a', '1'], ['b.c', '2'], ['d', '-']]
    """
    rows: list[list[str]] = []
    for key, item in value.items():
        name = f'{prefix}{key}'
        if isinstance(item, dict) and item:
            rows += flatten(item, f'{name}.')
        elif isinstance(item, list):
            rows.append([name, ', '.join(map(str, item)) or '-'])
        else:
            rows.append([name, '-' if item in (None, {}) else str(item)])
    return rows


def format_timestamp(seconds: float) -> str:
    """Format a time, in seconds since 1970, as UTC.

    >>> format_timestamp(0)
    '1970-01-01T00:00:00Z'
    """
    return datetime.fromtimestamp(seconds, UTC).strftime('%Y-%m-%dT%H:%M:%SZ')


def format_table(rows: list[list[str]]) -> list[str]:
    """Align rows in columns and return one line for each row.

    >>> format_table([['a', 'b'], ['ccc', 'd']])
    ['a    b', 'ccc  d']
    """
    if not rows:
        return []
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    return [
        '  '.join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in rows
    ]
