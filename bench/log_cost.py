"""Measures the processor time of a log line, with the log open and closed.

The lines go to standard output, which should be the null device, and the
results to standard error: ``python -m bench.log_cost > /dev/null``.
"""

import json
import statistics
import sys
import time
from collections.abc import Callable

from curranthill.telemetry.events import MAX_LINES_PER_KIND_PER_S, EventLog

#: Event kinds that are used in turn, so that none exceeds its rate limit.
EVENT_KINDS = 100
LINES_PER_RUN = EVENT_KINDS * MAX_LINES_PER_KIND_PER_S
RUNS = 5


def write_lines(log: EventLog) -> None:
    """Write lines as long as that of a placement."""
    for number in range(LINES_PER_RUN):
        log.log(
            f'kind-{number % EVENT_KINDS}',
            job='36d1a8d4ede4975b',
            step=0,
            occurrence=0,
            tasks=['0@i-f416af33e6', '1@i-c4c54b5c01'],
            attempt=1,
        )


def cost_us(write_all: Callable[[], None]) -> float:
    """Return the median processor time per line, in microseconds.

    :param write_all: writes all lines of a run.
    """
    costs_us = []
    for _ in range(RUNS):
        began_s = time.process_time()
        write_all()
        spent_s = time.process_time() - began_s
        costs_us.append(spent_s / LINES_PER_RUN * 1_000_000)
        # The rate limit of each kind counts lines per second.
        time.sleep(1)
    return statistics.median(costs_us)


def main() -> None:
    """Measure a closed log, then an open one."""
    log = EventLog()
    closed_us = cost_us(lambda: write_lines(log))
    log.open(host='host-1', data_centre='dc')
    written_us = cost_us(lambda: write_lines(log))
    figures = {
        'lines': LINES_PER_RUN,
        'runs': RUNS,
        'written_us': round(written_us, 2),
        'closed_us': round(closed_us, 2),
        'left_out': log.dropped_lines,
    }
    sys.stderr.write(f'{json.dumps(figures)}\n')


if __name__ == '__main__':
    main()
