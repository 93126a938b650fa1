"""The event log: one JSON line on standard output for each decision.

Writing never blocks. Lines that the reader of the output does not take at
once are dropped and counted, and so are lines above the rate limit of their
kind.
"""

import json
import os
import sys
import time
from typing import Any, Final

from loguru import logger

from curranthill.clock import uptime_s
from curranthill.telemetry.metrics import metrics

#: The maximum number of lines of one kind per second; further ones are dropped
#: and counted. 200 lines of some 200 bytes limit a kind to 40 KB per second.
MAX_LINES_PER_KIND_PER_S: Final = 200


class EventLog:
    """Writes events, each with its kind and named fields.

    Names of quantities end in their units.

    :ivar dropped_lines: the number of lines dropped since one was written.
    """

    def __init__(self) -> None:
        """Initialize a closed log, which ignores events."""
        self._second = 0
        self._counts: dict[str, int] = {}
        self.dropped_lines = 0
        self._truncated = False
        self._enabled = False
        self._fields: dict[str, Any] = {}

    def open(self, **fields: Any) -> None:
        """Write events, and log records from warnings on, to standard output.

        :param fields: fields of every line, such as the host's name.
        """
        self._enabled = True
        self._fields = fields
        os.set_blocking(sys.stdout.fileno(), False)
        logger.remove()
        logger.add(self._forward, level='WARNING', format='{message}')

    def log(self, kind: str, **fields: Any) -> None:
        """Write an event unless its kind is above its rate limit."""
        if not self._enabled or self._is_over_limit(kind):
            return
        line = {'t_s': round(time.time(), 3), 'event': kind}
        line.update(self._fields)
        line.update(fields)
        if self.dropped_lines:
            line['lines_left_out'] = self.dropped_lines
        if self.write(json.dumps(line, default=str)):
            self.dropped_lines = 0
        else:
            self._count_dropped()

    def _count_dropped(self) -> None:
        self.dropped_lines += 1
        metrics.log_lines_dropped.add(1)

    def _is_over_limit(self, kind: str) -> bool:
        second = int(uptime_s())
        if second != self._second:
            self._second = second
            self._counts.clear()
        count = self._counts.get(kind, 0) + 1
        self._counts[kind] = count
        if count > MAX_LINES_PER_KIND_PER_S:
            self._count_dropped()
            return True
        return False

    def write(self, line: str) -> bool:
        """Write a line without blocking; return whether it was written.

        A pipe takes a line whole or not at all, unless the line is longer
        than the size of its atomic writes. A truncated line is ended before
        the next one, which would be lost with it otherwise.
        """
        text = f'\n{line}\n' if self._truncated else f'{line}\n'
        encoded = text.encode()
        try:
            written = os.write(sys.stdout.fileno(), encoded)
        except (BlockingIOError, BrokenPipeError):
            return False
        self._truncated = written < len(encoded)
        return not self._truncated

    def _forward(self, message: Any) -> None:
        """Write a record of the logging library as an event."""
        record = message.record
        error = record['exception']
        self.log(
            'log',
            level=record['level'].name,
            message=record['message'],
            where=f'{record["name"]}:{record["line"]}',
            error=repr(error.value) if error else '',
        )


#: The event log of this process.
events = EventLog()

__all__ = ('EventLog', 'events')
