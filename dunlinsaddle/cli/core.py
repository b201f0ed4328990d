"""Entry points of the command-line tool.

``main`` runs it as a process; ``program`` runs one command in process, which tests use.
"""

import sys

from cleo.application import Application
from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.outputs.stream_output import StreamOutput

from dunlinsaddle import __version__
from dunlinsaddle.cli.commands.apply import ApplyCommand
from dunlinsaddle.cli.commands.delete import DeleteCommand
from dunlinsaddle.cli.definition import DEBUG_FLAG, BaseCommand, format_table
from dunlinsaddle.cli.queries.audit import AuditCommand, HistoryCommand
from dunlinsaddle.cli.queries.failures import FailuresCommand
from dunlinsaddle.cli.queries.nodes import (
    ExplainCommand,
    MetricsCommand,
    NodesCommand,
    RolloutCommand,
    StatusCommand,
    TargetsCommand,
)
from dunlinsaddle.cli.queries.records import DiffCommand, GetCommand, ListCommand
from dunlinsaddle.cli.queries.replay import BenchCommand, ReplayCommand
from dunlinsaddle.cli.queries.trace import TraceCommand
from dunlinsaddle.environment import Environment
from dunlinsaddle.exit_status import ExitStatus

COMMANDS: tuple[type[BaseCommand], ...] = (
    ApplyCommand,
    AuditCommand,
    BenchCommand,
    DeleteCommand,
    DiffCommand,
    ExplainCommand,
    FailuresCommand,
    GetCommand,
    HistoryCommand,
    ListCommand,
    MetricsCommand,
    NodesCommand,
    ReplayCommand,
    RolloutCommand,
    StatusCommand,
    TargetsCommand,
    TraceCommand,
)


def format_overview(name: str) -> str:
    """Return the help of the whole tool: each command with its description."""
    commands = sorted([command.name or '', command.description] for command in COMMANDS)
    lines = [f'usage: {name} COMMAND [options]', '', *format_table(commands), '']
    lines += [f'Options and arguments of a command: {name} COMMAND --help.']
    return ''.join(f'{line}\n' for line in lines)


def program(argv: list[str], env: Environment) -> int:
    """Run one command and return its exit status."""
    # cleo would show the help of its own `list` command, which our `list` replaces.
    if argv in ([], ['help'], ['-h'], ['--help']):
        env.stdout.write(format_overview(env.program_name))
        return ExitStatus.OK if argv else ExitStatus.USAGE
    app = Application('dunlinsaddle', __version__)
    app.auto_exits(False)
    app.catch_exceptions(False)
    for command in COMMANDS:
        app.add(command(env))
    try:
        return app.run(
            ArgvInput([env.program_name, *argv]), StreamOutput(env.stdout), StreamOutput(env.stderr)
        )
    except CleoError as exc:
        message = ' '.join(str(exc).split()).rstrip('.')
        env.print_error(f'{message}; see {env.program_name} --help')
        return ExitStatus.USAGE
    except Exception as exc:
        if DEBUG_FLAG in argv:
            raise
        env.print_error(f'internal error: {exc!r}; run with {DEBUG_FLAG} and report the traceback')
        return ExitStatus.ERROR


def main() -> None:
    """Run the tool and exit the process with its status."""
    try:
        status = program(sys.argv[1:], Environment())
    except KeyboardInterrupt:
        status = ExitStatus.INTERRUPTED
    sys.exit(status)
