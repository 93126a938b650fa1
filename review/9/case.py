"""A job never starts unless all tasks of a step fit at once."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from harness_3 import (  # noqa: E402
    BROKEN,
    HELD,
    TROUBLE,
    NotRunError,
    main,
    new_id,
)

WORKERS = 8
RUN_MS = 1000
#: Not gangs: the tasks need not run at the same time.
LARGE = {
    'count': WORKERS,
    'cpu': 8000,
    'mem_mb': 4096,
    'gpu': 8,
    'estimate_ms': RUN_MS,
    'same_rack': True,
}
#: It needs an eighth of the room, but no two tasks may run on one worker.
SPREAD = {
    'count': WORKERS,
    'cpu': 1000,
    'mem_mb': 1024,
    'gpu': 1,
    'estimate_ms': RUN_MS,
    'same_rack': True,
    'max_per_server': 1,
}
#: `finish_s` after the end of the traffic, for 3 s.
BOUND_S = 14 + 3
WATCHED_S = 30


async def play_case(play):
    await play.start_store()
    await play.put_config()
    workers = [await play.start_worker() for _ in range(WORKERS)]
    for number in (1, 2):
        await play.start_host(f'front-{number}')
    await asyncio.sleep(4)
    if TROUBLE:
        play.note(f'trouble: worker {workers[0]} is lost for good')
        play.signal(workers[0], signal.SIGKILL)
    # By then its entry is removed and its lease has ended.
    await asyncio.sleep(12)
    jobs = {new_id(): step for step in (SPREAD, LARGE)}
    for job_id, step in jobs.items():
        if not await play.submit('front-1', job_id, [step], run_ms=RUN_MS):
            raise NotRunError('a job was not accepted')
    results = [await watch(play, job_id) for job_id in jobs]
    return BROKEN if BROKEN in results else HELD


async def watch(play, job_id):
    """Return whether a job starts in time and ends."""
    began_s = time.monotonic()
    first_s = None
    while time.monotonic() - began_s < WATCHED_S:
        await asyncio.sleep(0.2)
        if first_s is None and play.starts(job_id):
            first_s = time.monotonic() - began_s
        if await play.state('front-2', job_id) == 'completed':
            break
    waited_s = time.monotonic() - began_s
    state = await play.state('front-2', job_id)
    play.note(
        f'client: {job_id}: watched for {waited_s:.1f} s, shown as {state},'
        f' {len(play.starts(job_id))} starts of its {WORKERS} tasks'
    )
    if first_s is None or first_s > BOUND_S:
        return BROKEN
    return HELD if state == 'completed' else BROKEN


main(play_case, Path(__file__).resolve().parent)
