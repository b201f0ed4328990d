"""Logs of both programs: one JSON object a line."""

import logging
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter


def start_logs(stream: TextIO, level: str, *, instance: str, domain: str) -> logging.Logger:
    """Prepare the daemon's logger; each line names the instance and its failure domain.

    ``time`` is in UTC with its offset, so that lines of nodes in any zone can be merged.
    """
    handler = logging.StreamHandler(stream)
    handler.setFormatter(
        JsonFormatter(
            '%(levelname)s %(message)s',
            rename_fields={'levelname': 'level'},
            timestamp='time',
            static_fields={'instance': instance, 'domain': domain},
        )
    )
    logger = logging.getLogger(f'dunlinsaddle.{instance}')
    logger.handlers[:] = [handler]
    logger.setLevel(level.upper())
    logger.propagate = False
    return logger
