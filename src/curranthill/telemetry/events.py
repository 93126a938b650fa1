"""One JSON line on standard output for each decision.

A line never blocks: what the reader does not take at once is dropped and
counted, and each kind of line has a budget a second.
"""

import json
import os
import sys
import time
from typing import Any, Final

from loguru import logger

from curranthill.clock import uptime_s
from curranthill.telemetry.metrics import metrics

#: Most lines of one kind in one second; the rest are counted and left out.
#: 200 lines of some 200 bytes keep a kind under 40 KB a second.
LINES_PER_KIND_PER_S: Final = 200


class EventLog:
    """Writes events; each has a kind and named fields with their units.

    :param dropped_lines: lines that were not written since the last that was.
    """

    def __init__(self) -> None:
        """Start with all budgets full."""
        self._second = 0
        self._counts: dict[str, int] = {}
        self.dropped_lines = 0
        self._enabled = False
        self._fields: dict[str, Any] = {}

    def open(self, **fields: Any) -> None:
        """Send events to standard output from now on.

        :param fields: what each line carries, such as the host's name.
        """
        self._enabled = True
        self._fields = fields
        os.set_blocking(sys.stdout.fileno(), False)
        logger.remove()
        logger.add(self._forward, level='WARNING', format='{message}')

    def log(self, kind: str, **fields: Any) -> None:
        """Write one event unless its kind is over its budget."""
        if not self._enabled or self._is_over_budget(kind):
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

    def _is_over_budget(self, kind: str) -> bool:
        second = int(uptime_s())
        if second != self._second:
            self._second = second
            self._counts.clear()
        count = self._counts.get(kind, 0) + 1
        self._counts[kind] = count
        if count > LINES_PER_KIND_PER_S:
            self._count_dropped()
            return True
        return False

    def write(self, line: str) -> bool:
        """Write a line whole or not at all, as far as a pipe allows."""
        try:
            os.write(sys.stdout.fileno(), f'{line}\n'.encode())
        except (BlockingIOError, BrokenPipeError):
            return False
        return True

    def _forward(self, message: Any) -> None:
        """Turn a line of the logging library into an event."""
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
