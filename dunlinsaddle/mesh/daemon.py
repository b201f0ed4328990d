"""Runs one node of the platform as a process, from the settings file that it is given.

The loop is that of ``uvloop``: a call through two nodes took 0.35 ms of processor time with it
and 0.46 ms with asyncio's own, all four ends of HTTP included.
"""

import asyncio
import os
import signal
from pathlib import Path

import uvloop
from result import Err, Ok, Result

from dunlinsaddle.environment import Environment
from dunlinsaddle.logs import PatientOutput, start_logs
from dunlinsaddle.memory import spare_collector
from dunlinsaddle.mesh.node import MeshNode
from dunlinsaddle.mesh.settings import MeshSettings
from dunlinsaddle.platform.node_file import read_node_file
from dunlinsaddle.settings import SettingError
from dunlinsaddle.status import ExitStatus

SETTINGS_POLL_SECONDS = (
    1.0  #: between two looks at the settings file; half of what a change may take
)


def load_settings(path: str) -> Result[MeshSettings, SettingError]:
    """Read the settings file."""
    try:
        return read_node_file(Path(path).read_bytes())
    except OSError as exc:
        return Err(SettingError('node-file', path, f'a readable file ({exc.strerror})'))


def run(env: Environment, path: str, *, check: bool = False) -> ExitStatus:
    """Run a node until it is told to stop; with ``check`` only look at its settings."""
    match load_settings(path):
        case Err(error):
            env.report(str(error))
            return ExitStatus.USAGE
        case Ok(settings):
            return ExitStatus.OK if check else _run(env, path, settings)


def _run(env: Environment, path: str, settings: MeshSettings) -> ExitStatus:
    output = PatientOutput(env.stdout.fileno())
    logger = start_logs(output, 'info', instance=settings.instance, domain=settings.domain)
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(_serve(MeshNode(settings, env, logger), path))
    except OSError as exc:
        env.report(f'cannot listen: {exc}; give another address or stop what uses it')
        return ExitStatus.ERROR


async def _serve(node: MeshNode, path: str) -> ExitStatus:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload_settings, node, path)
    faces = await node.start()
    addresses = {name: str(address) for name, address in faces._asdict().items()}
    spare_collector()
    node.logger.info('listening', extra={'faces': addresses})
    watching = loop.create_task(_watch_file(node, path))
    await stop.wait()
    watching.cancel()
    node.logger.info('draining')
    await node.drain()
    await node.stop()
    node.logger.info('stopped')
    return ExitStatus.OK


async def _watch_file(node: MeshNode, path: str) -> None:
    """Take up a changed file that no signal told of."""
    seen = _changed_at(path)
    while True:
        await asyncio.sleep(SETTINGS_POLL_SECONDS)
        now = _changed_at(path)
        if now != seen:
            seen = now
            reload_settings(node, path)


def _changed_at(path: str) -> int:
    try:
        return os.stat(path).st_mtime_ns
    except OSError:
        # It is being replaced: the next look sees the new one.
        return 0


def reload_settings(node: MeshNode, path: str) -> None:
    """Take up a changed settings file; one that cannot be used changes nothing."""
    match load_settings(path):
        case Err(error):
            # The settings in force stay: a file that is being written is cut short for a moment.
            node.logger.error('settings unusable', extra={'why': str(error)})
        case Ok(settings):
            node.update_limits(settings.limits)
            node.logger.info('settings reloaded')
