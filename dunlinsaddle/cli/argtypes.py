"""Arguments of commands, read into their types."""

from typing import Any

import msgspec

from dunlinsaddle.cli.exceptions import CommandError
from dunlinsaddle.environment import Environment
from dunlinsaddle.settings import Address, read_address
from dunlinsaddle.status import ExitStatus


def address_argument(name: str, text: str) -> Address:
    """Read an address, or end the command with what is allowed."""
    try:
        return read_address(text)
    except ValueError:
        raise CommandError(
            ExitStatus.USAGE, f'{name}: {text!r} cannot be used, expected HOST:PORT'
        ) from None


def document_argument(path: str, env: Environment) -> Any:
    """Read a JSON document from a file, or from the standard input for ``-``."""
    try:
        if path == '-':
            text = env.stdin.read()
        else:
            with open(path, encoding='utf-8') as file:
                text = file.read()
    except OSError as exc:
        raise CommandError(ExitStatus.USAGE, f'{path}: {exc.strerror}') from None
    try:
        return msgspec.json.decode(text)
    except msgspec.DecodeError as exc:
        raise CommandError(ExitStatus.INVALID_RECORD, f'{path}: not JSON: {exc}') from None
