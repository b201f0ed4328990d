"""The daemon's command line: reads settings, runs one node and drains it on SIGTERM."""

import asyncio
import signal

from cleo.commands.command import Command
from cleo.exceptions import CleoError
from cleo.helpers import option
from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.io import IO
from cleo.io.outputs.stream_output import StreamOutput
from result import Err, Ok

from dunlinsaddle import __version__
from dunlinsaddle.environment import Environment
from dunlinsaddle.exit_status import ExitStatus
from dunlinsaddle.logs import create_logger
from dunlinsaddle.memory import tune_garbage_collector
from dunlinsaddle.mesh import daemon as mesh_daemon
from dunlinsaddle.node import Node
from dunlinsaddle.settings import (
    OPTIONS,
    Option,
    Settings,
    env_name,
    read_settings,
    secret_file_options,
)


def _describe(opt: Option) -> str:
    default = '' if opt.default in (None, '') else f' Default: {opt.default}.'
    return f'{opt.help} Allowed: {opt.allowed}. Variable: {env_name(opt.name)}.{default}'


def _describe_file(name: str) -> str:
    return f'File that holds the secret, instead of it. Variable: {env_name(name)}.'


_NODE_FILE_HELP = (
    "Settings file of the users' platform, in place of all other settings. "
    f'Variable: {env_name("node-file")}.'
)


class ServeCommand(Command):
    """The daemon's command, with one flag per setting."""

    name = 'dunlinsaddled'
    description = 'Runs the node beside one target.'
    options = [
        option('check-settings', None, 'Check the settings and exit.'),
        option('check', None, 'The same, shorter.'),
        option('node-file', None, _NODE_FILE_HELP, flag=False),
        option('help', 'h', 'Show this help.'),
        option('version', None, 'Show the version.'),
        *(option(opt.name, None, _describe(opt), flag=False) for opt in OPTIONS),
        *(option(name, None, _describe_file(name), flag=False) for name in secret_file_options()),
    ]

    def __init__(self, env: Environment) -> None:
        super().__init__()
        self.env = env

    def handle(self) -> int:
        """Run the daemon and return its exit status."""
        if self.option('help'):
            self.env.stdout.write(_usage())
            return ExitStatus.OK
        if self.option('version'):
            self.env.stdout.write(f'{__version__}\n')
            return ExitStatus.OK
        node_file = self.option('node-file') or self.env.environ.get(env_name('node-file'))
        if node_file:
            return mesh_daemon.run(self.env, node_file, check=self._is_check())
        names = [*(opt.name for opt in OPTIONS), *secret_file_options()]
        flags = {name: self.option(name) for name in names}
        set_flags = {name: text for name, text in flags.items() if text is not None}
        match read_settings(set_flags, self.env.environ):
            case Err(error):
                self.env.print_error(str(error))
                return ExitStatus.USAGE
            case Ok(settings):
                return ExitStatus.OK if self._is_check() else run(self.env, settings)

    def _is_check(self) -> bool:
        return bool(self.option('check-settings') or self.option('check'))


def _usage() -> str:
    lines = ['usage: dunlinsaddled [--check-settings] --SETTING VALUE ...', '', 'settings:']
    lines += [f'  --{opt.name}\n      {_describe(opt)}' for opt in OPTIONS]
    lines += [f'  --{name}\n      {_describe_file(name)}' for name in secret_file_options()]
    return '\n'.join(lines) + '\n'


def run(env: Environment, settings: Settings) -> ExitStatus:
    """Run a node until a signal stops it."""
    logger = create_logger(
        env.stderr, settings.log_level, instance=settings.instance, domain=settings.domain
    )
    try:
        return asyncio.run(_serve(Node(settings, env, logger)))
    except OSError as exc:
        env.print_error(
            f'cannot listen: {exc}; change the address or stop the process that uses it'
        )
        return ExitStatus.ERROR


async def _serve(node: Node) -> ExitStatus:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    interrupts = 0

    def interrupt() -> None:
        nonlocal interrupts
        interrupts += 1
        stop.set()
        if interrupts > 1:
            for task in asyncio.all_tasks():
                task.cancel()

    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, interrupt)
    addresses = await node.start()
    addresses_by_name = {name: str(address) for name, address in addresses._asdict().items()}
    tune_garbage_collector()
    node.logger.info('listening', extra={'faces': addresses_by_name})
    try:
        await stop.wait()
        node.logger.info('draining')
        await node.drain()
        await node.stop()
    except asyncio.CancelledError:
        return ExitStatus.INTERRUPTED
    node.logger.info('stopped')
    return ExitStatus.OK


def serve(argv: list[str], env: Environment) -> int:
    """Run the command line with these arguments and return the exit status."""
    output = StreamOutput(env.stdout)
    io = IO(ArgvInput([env.program_name, *argv]), output, StreamOutput(env.stderr))
    try:
        return ServeCommand(env).run(io)
    except CleoError as exc:
        env.print_error(f'{str(exc).rstrip(".")}; see {env.program_name} --help')
        return ExitStatus.USAGE
