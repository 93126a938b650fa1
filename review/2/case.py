"""Tasks run twice after a worker was cut off while many of its tasks ended."""

import asyncio
import time
from pathlib import Path

from standin import (
    BOUNDS,
    MAX_ENDS,
    job_id,
    run_case,
    starts_after_done,
    trouble,
)

BOUNDS.update(max_hold_ms=10_000, stop_ms=400, restore_ms=600, reclaim_ms=2900)

TASKS = 1200
WORK_MS = 14_000

#: How long the worker is cut off, in seconds. Its lease lasts 8.5 s from then
#: at least, as it is renewed every 1.5 s.
CUT_S = 5.0


async def case(site):
    await site.open(workers=2, cpu=128_000, mem_mb=256_000)
    job = job_id()
    body = {'spec': f'{{"work_ms": {WORK_MS}}}', 'steps': [
        {'count': TASKS, 'cpu': 20, 'mem_mb': 20, 'estimate_ms': WORK_MS}]}
    if await site.submit(job, body) != 200:
        raise RuntimeError('the job was not accepted')
    first = time.monotonic()
    while not site.history:
        await asyncio.sleep(0.01)
    until = time.monotonic() + WORK_MS / 1000 - 0.5
    while time.monotonic() < until:
        await asyncio.sleep(0.05)
    busiest = max(site.workers, key=lambda one: len(one.runs))
    site.record('about_to_end', tasks={one.id: len(one.runs) for one in site.workers},
                after_s=round(time.monotonic() - first, 2))
    if trouble():
        site.record('cut', worker=busiest.id)
        busiest.cut = True
        await asyncio.sleep(CUT_S)
        busiest.cut = False
        site.record('healed', worker=busiest.id, pending_ends=busiest.pending_ends)
        if busiest.pending_ends <= MAX_ENDS:
            raise RuntimeError('too few tasks have ended: the machine is too slow')
    state = ''
    until = time.monotonic() + 45
    while time.monotonic() < until and state != 'completed':
        await asyncio.sleep(2)
        _, state = await site.state(job)
    await asyncio.sleep(3)
    again = starts_after_done(site.history)
    site.record('counts', tasks=TASKS, started_again=len(again))
    return [f'TWICE: task {one.task} started as run {one.run} after a run of it '
            f'had ended `done`, which was taken note of' for one in again]


run_case(case, Path(__file__).parent)
