"""Configures loguru to write log lines as JSON or as readable text."""

import sys
from typing import Literal

from loguru import logger

LogStyle = Literal['json', 'readable']

_READABLE = '{time:HH:mm:ss.SSS} {level: <7} {extra[process]} {message} {extra}'


def configure_logs(
    *,
    style: LogStyle,
    level: str,
    process: str,
) -> None:
    """Write log lines to standard error in the given style.

    :param process: the name of the process in each line.
    """
    logger.remove()
    logger.configure(extra={'process': process})
    if style == 'json':
        logger.add(sys.stderr, level=level, serialize=True)
    else:
        logger.add(sys.stderr, level=level, format=_READABLE)


__all__ = ('LogStyle', 'configure_logs')
