"""Logs refused requests, those to unknown paths mostly as counts.

Callers may ask all hosts for paths that no configuration has, several times a
second; a line for each would hide those of changes and faults.
"""

import asyncio
from collections import Counter
from typing import Any, Final

from curranthill.clock import Clock
from curranthill.telemetry.events import events

#: The interval in which requests to unknown paths are counted, in seconds.
INTERVAL_S: Final = 30.0

#: The most requests to unknown paths that get a line each in an interval.
MAX_LINES: Final = 1

#: The same for submissions: their paths name jobs, by which lines are found.
MAX_SUBMISSION_LINES: Final = 10

#: The most paths counted by name in an interval, the first ones; the others
#: are counted together.
MAX_NAMED_PATHS: Final = 5

#: Longer paths are truncated in the summary, in characters.
MAX_PATH_LENGTH: Final = 80


class RefusalLog:
    """Logs the refusals of one host."""

    def __init__(self, *, clock: Clock) -> None:
        """Initialize the log without refusals."""
        self._clock = clock
        self._lines = 0
        self._submission_lines = 0
        self._paths: Counter[str] = Counter()
        self._unnamed = 0
        self._interval: asyncio.Task[None] | None = None

    def log(self, **fields: Any) -> None:
        """Log a refusal that concerns a known path."""
        events.log('refused', **fields)

    def log_unrouted(self, *, path: str, method: str, **fields: Any) -> None:
        """Log a refusal for an unknown path, or count it in the interval."""
        if self._interval is None:
            self._interval = asyncio.create_task(self._end_interval())
        if self._may_log(method):
            self.log(path=path, method=method, **fields)
            return
        path = path[:MAX_PATH_LENGTH]
        if path in self._paths or len(self._paths) < MAX_NAMED_PATHS:
            self._paths[path] += 1
        else:
            self._unnamed += 1

    def close(self) -> None:
        """Log what has been counted so far."""
        if self._interval is not None:
            self._interval.cancel()
            self._interval = None
        self._flush()

    def _may_log(self, method: str) -> bool:
        """Return whether another request gets a line; count that line."""
        if method == 'POST':
            self._submission_lines += 1
            return self._submission_lines <= MAX_SUBMISSION_LINES
        self._lines += 1
        return self._lines <= MAX_LINES

    def _flush(self) -> None:
        self._lines = 0
        self._submission_lines = 0
        refused = self._paths.total() + self._unnamed
        if not refused:
            return
        events.log(
            'unrouted_refusals',
            refused=refused,
            paths=dict(self._paths),
            other_paths=self._unnamed,
        )
        self._paths.clear()
        self._unnamed = 0

    async def _end_interval(self) -> None:
        await self._clock.sleep(INTERVAL_S)
        self._interval = None
        self._flush()


__all__ = ('RefusalLog',)
