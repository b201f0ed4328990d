"""The command-line tool: ``main`` prepares, ``program`` works and can be called by tests."""

import sys

from cleo.application import Application
from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.outputs.stream_output import StreamOutput

from dunlinsaddle import __version__
from dunlinsaddle.cli.commands.apply import ApplyCommand
from dunlinsaddle.cli.definition import BaseCommand
from dunlinsaddle.cli.queries.nodes import StatusCommand, TargetsCommand
from dunlinsaddle.cli.queries.records import GetCommand, HistoryCommand, ListCommand
from dunlinsaddle.cli.queries.replay import BenchCommand, ReplayCommand
from dunlinsaddle.environment import Environment
from dunlinsaddle.status import ExitStatus

COMMANDS: tuple[type[BaseCommand], ...] = (
    ApplyCommand,
    BenchCommand,
    GetCommand,
    HistoryCommand,
    ListCommand,
    ReplayCommand,
    StatusCommand,
    TargetsCommand,
)


def program(argv: list[str], env: Environment) -> int:
    """Run one command; gives the exit status."""
    app = Application('dunlinsaddle', __version__)
    app.auto_exits(False)
    app.catch_exceptions(False)
    for command in COMMANDS:
        app.add(command(env))
    try:
        return app.run(
            ArgvInput([env.program, *argv]), StreamOutput(env.stdout), StreamOutput(env.stderr)
        )
    except CleoError as exc:
        env.report(f'{exc} See {env.program} --help.')
        return ExitStatus.USAGE


def main() -> None:
    """Run the tool as a process."""
    try:
        status = program(sys.argv[1:], Environment())
    except KeyboardInterrupt:
        status = ExitStatus.INTERRUPTED
    sys.exit(status)
