"""One job with many occurrences that are due stops every host."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from harness_3 import (  # noqa: E402
    BROKEN,
    HELD,
    PREFIX,
    TROUBLE,
    NotRunError,
    main,
    new_id,
)

WORKERS = 8
#: Once a minute, for a year that has passed.
INTERVAL_MS = 60000
TIMES = 365 * 24 * 60
STEP = {'count': 1, 'cpu': 1000, 'mem_mb': 64, 'estimate_ms': 200}
JOBS = 4
#: When the small jobs are due, after they are handed in.
DUE_S = 5
#: `finish_s` after the end of the traffic, for 3 s.
BOUND_S = 14 + 3
WATCHED_S = 45


async def play_case(play):
    await play.start_store()
    await play.put_config()
    for _ in range(WORKERS):
        await play.start_worker()
    for number in (1, 2, 3):
        await play.start_host(f'front-{number}')
    await asyncio.sleep(4)
    jobs = [new_id() for _ in range(JOBS)]
    due_ms = int((time.time() + DUE_S) * 1000)
    for number, job_id in enumerate(jobs):
        accepted = await play.submit(
            f'front-{number % 3 + 1}',
            job_id,
            [STEP],
            run_ms=200,
            times=1,
            start_at_ms=due_ms,
        )
        if not accepted:
            raise NotRunError('a small job was not accepted')
    if TROUBLE:
        play.note(f'trouble: a job of {TIMES} occurrences comes')
        accepted = await play.submit(
            'front-1',
            new_id(),
            [STEP],
            run_ms=200,
            times=TIMES,
            start_at_ms=due_ms - TIMES * INTERVAL_MS,
            interval_ms=INTERVAL_MS,
        )
        if not accepted:
            raise NotRunError('the large job was not accepted')
    await asyncio.sleep(DUE_S)
    due_s = time.monotonic()
    while time.monotonic() - due_s < WATCHED_S:
        await asyncio.sleep(2)
        answers = await asyncio.gather(
            *(play.call(host, 'GET', PREFIX + jobs[0]) for host in play.hosts)
        )
        begun = sum(bool(play.starts(job_id)) for job_id in jobs)
        play.note(
            f'client: {begun} of {JOBS} small jobs have begun; asked for one of'
            f' them, the hosts answer {[status for status, _ in answers]}'
        )
        waited_s = time.monotonic() - due_s
        if begun == JOBS:
            play.note(f'client: all have begun within {waited_s:.1f} s')
            return HELD if waited_s <= BOUND_S else BROKEN
    return BROKEN


main(play_case, Path(__file__).resolve().parent)
