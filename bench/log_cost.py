"""Processor time of one log line: written, and with the log closed.

Lines go to standard output, which is best a null device; figures go to
standard error: ``python -m bench.log_cost > /dev/null``.
"""

import json
import statistics
import sys
import time
from collections.abc import Callable

from curranthill.telemetry.events import MAX_LINES_PER_KIND_PER_S, EventLog

#: Kinds that are written in turn, so that none passes its budget.
KINDS = 100
LINES = KINDS * MAX_LINES_PER_KIND_PER_S
RUNS = 5


def write_lines(log: EventLog) -> None:
    """Write lines like that of a placement."""
    for number in range(LINES):
        log.log(
            f'kind-{number % KINDS}',
            job='36d1a8d4ede4975b',
            step=0,
            occurrence=0,
            tasks=['0@i-f416af33e6', '1@i-c4c54b5c01'],
            attempt=1,
        )


def cost_us(work: Callable[[], None]) -> float:
    """Return the median processor time of a line, in microseconds."""
    costs_us = []
    for _ in range(RUNS):
        began_s = time.process_time()
        work()
        spent_s = time.process_time() - began_s
        costs_us.append(spent_s / LINES * 1_000_000)
        # A new second for the budgets of all kinds.
        time.sleep(1)
    return statistics.median(costs_us)


def main() -> None:
    """Measure a closed log, then an open one."""
    log = EventLog()
    closed_us = cost_us(lambda: write_lines(log))
    log.open(host='host-1', data_centre='dc')
    written_us = cost_us(lambda: write_lines(log))
    figures = {
        'lines': LINES,
        'runs': RUNS,
        'written_us': round(written_us, 2),
        'closed_us': round(closed_us, 2),
        'left_out': log.dropped_lines,
    }
    sys.stderr.write(f'{json.dumps(figures)}\n')


if __name__ == '__main__':
    main()
