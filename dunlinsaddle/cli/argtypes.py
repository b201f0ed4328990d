"""Parsers for command arguments. Each raises CommandError for a value it cannot use."""

from datetime import UTC, datetime
from typing import Any

import msgspec

from dunlinsaddle.cli.exceptions import CommandError
from dunlinsaddle.environment import Environment
from dunlinsaddle.exit_status import ExitStatus
from dunlinsaddle.settings import SECRET_FORMAT, Address, parse_address, parse_secret


def parse_node_address(name: str, text: str) -> Address:
    """Parse a ``HOST:PORT`` address; the error states the expected form."""
    try:
        return parse_address(text)
    except ValueError:
        raise CommandError(
            ExitStatus.USAGE, f'{name}: {text!r} cannot be used, expected HOST:PORT'
        ) from None


def parse_token(name: str, text: str) -> str:
    """Parse a token. The error does not repeat an invalid token, as it may be a secret."""
    try:
        return parse_secret(text)
    except ValueError:
        raise CommandError(
            ExitStatus.USAGE, f'{name}: cannot be used, expected {SECRET_FORMAT}'
        ) from None


def read_document(path: str, env: Environment) -> Any:
    """Read a JSON document from a file, or from standard input if the path is ``-``."""
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
    except (UnicodeError, RecursionError):
        raise CommandError(ExitStatus.INVALID_RECORD, f'{path}: not JSON in UTF-8') from None


def document_service(doc: Any, path: str) -> str:
    """Return the name of the service that a record document describes."""
    service = doc.get('service') if isinstance(doc, dict) else None
    if not isinstance(service, str) or not service:
        raise CommandError(ExitStatus.INVALID_RECORD, f'{path}: service is missing, name it')
    return service


def parse_timestamp(name: str, text: str, now: float) -> float:
    """Parse a time into seconds since 1970: either an age such as ``2h``, or a date and time.

    A date and time without an offset is taken as UTC.

    >>> parse_timestamp('since', '2h', 10_000.0)
    2800.0
    """
    unit = {'s': 1, 'm': 60, 'h': 3600, 'd': 86_400}.get(text[-1:])
    if unit and text[:-1].isdecimal():
        return now - float(text[:-1]) * unit
    try:
        parsed = datetime.fromisoformat(text)
    except ValueError:
        raise CommandError(
            ExitStatus.USAGE, f'{name}: {text!r} cannot be used, expected 30m, 12h, 7d or a date'
        ) from None
    return (parsed if parsed.tzinfo else parsed.replace(tzinfo=UTC)).timestamp()
