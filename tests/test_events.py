"""Log lines are JSON, bounded, free of secrets, and never block."""

import io
import json
import os
import subprocess
import sys
import unittest
from contextlib import redirect_stdout
from unittest.mock import patch

from curranthill.telemetry.events import MAX_LINES_PER_KIND_PER_S, EventLog

#: Writes far more than a pipe holds while nobody reads, then says so.
FLOOD = """
import os, sys, time
from curranthill.telemetry.events import EventLog
events = EventLog()
events.open(host='h1')
began_s = time.monotonic()
for second in range(3):
    for number in range(190):
        events.log('kind', number=number, text='x' * 1000)
    time.sleep(1.01)
os.set_blocking(1, True)
sys.stderr.write(f'{time.monotonic() - began_s:.3f} {events.dropped_lines}')
"""


class EventLogTest(unittest.TestCase):
    """The event log of one process."""

    def open_log(self) -> tuple[EventLog, list[str]]:
        """Return a log whose lines go to a list."""
        lines: list[str] = []
        log = EventLog()
        with (
            patch.object(os, 'set_blocking'),
            patch.object(sys, 'stdout'),
        ):
            log.open(host='h1')

        def write(line: str) -> bool:
            lines.append(line)
            return True

        log.write = write  # type: ignore[method-assign]
        return log, lines

    def test_nothing_is_written_before_it_is_opened(self) -> None:
        """Tests and commands of operators stay silent."""
        out = io.StringIO()
        with redirect_stdout(out):
            EventLog().log('kind')
        self.assertEqual(out.getvalue(), '')

    def test_each_line_is_one_json_object(self) -> None:
        """With the kind, the time and the process's own fields."""
        log, lines = self.open_log()
        log.log('accepted', job='a1', took_s=0.01)
        fields = json.loads(lines[0])
        self.assertEqual(fields['event'], 'accepted')
        self.assertEqual(fields['host'], 'h1')
        self.assertIn('t_s', fields)

    def test_a_kind_over_its_budget_is_counted_not_written(self) -> None:
        """Other kinds are written all the same, and tell the count."""
        log, lines = self.open_log()
        with patch('curranthill.telemetry.events.uptime_s', return_value=100.0):
            for _ in range(MAX_LINES_PER_KIND_PER_S + 50):
                log.log('flood')
            log.log('other')
        self.assertEqual(len(lines), MAX_LINES_PER_KIND_PER_S + 1)
        self.assertEqual(json.loads(lines[-1])['lines_left_out'], 50)

    def test_a_reader_that_stops_reading_blocks_nothing(self) -> None:
        """570 KB into a pipe of 64 KB: lines are dropped and counted."""
        process = subprocess.Popen(
            [sys.executable, '-c', FLOOD],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        assert process.stderr is not None
        took_s, left_out = process.stderr.read().split()
        process.wait(timeout=20)
        process.communicate()
        self.assertLess(float(took_s), 8)
        self.assertGreater(int(left_out), 300)
