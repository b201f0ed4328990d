"""Log lines about a configuration that this node can use only in part."""

import logging
from itertools import islice

from dunlinsaddle.routes.models import Configuration

MAX_LOGGED_ENTRIES = 5  #: unknown or unreadable entries named in one log line, to bound it


def log_partial_configuration(
    logger: logging.Logger, configuration: Configuration, extra: dict[str, object]
) -> None:
    """Log the entries of a configuration that are handled as unknown or left out."""
    if configuration.unknown_kinds:
        kinds = dict(islice(configuration.unknown_kinds.items(), MAX_LOGGED_ENTRIES))
        count = len(configuration.unknown_kinds)
        logger.warning('unknown kinds of routes', extra={**extra, 'routes': count, 'kinds': kinds})
    if configuration.unreadable:
        entries = [e._asdict() for e in configuration.unreadable[:MAX_LOGGED_ENTRIES]]
        count = len(configuration.unreadable)
        logger.error(
            'part of the configuration unusable',
            extra={**extra, 'count': count, 'entries': entries},
        )
