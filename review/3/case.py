"""A task runs twice at the same time after a late start at a worker cut off."""

import asyncio
import time
from pathlib import Path

from standin import job_id, run_case, runs_at_once, trouble

#: How long the workers have nothing to do before the job, in seconds.
IDLE_S = 80.0

#: How much later the start is carried out, in seconds.
LATE_S = 4.0

#: How long the worker is cut off, in seconds.
CUT_S = 10.0


async def case(site):
    await site.open(workers=4, clock_rate=0.98)
    await asyncio.sleep(IDLE_S)
    job = job_id()
    cuts = []

    def cut(worker, body):
        if not trouble() or cuts:
            return
        worker.on_start = None
        worker.late_starts = 1
        worker.late_s = LATE_S
        cuts.append(asyncio.create_task(cut_off(worker)))

    async def cut_off(worker):
        await asyncio.sleep(0.05)
        await worker.refuse()
        await asyncio.sleep(CUT_S)
        await worker.heal()

    for worker in site.workers:
        worker.on_start = cut
    body = {'spec': '{"work_ms": 14000}', 'steps': [
        {'count': 1, 'cpu': 4000, 'mem_mb': 4096, 'estimate_ms': 14000}]}
    if await site.submit(job, body) != 200:
        raise RuntimeError('the job was not accepted')
    until = time.monotonic() + 14
    while time.monotonic() < until:
        await asyncio.sleep(2)
        await site.state(job)
    return [f'TWICE: task {one.task} ran as run {one.run} on {one.worker} and as '
            f'run {two.run} on {two.worker} at the same time for {over:.3f} s'
            for one, two, over in runs_at_once(site.history)]


run_case(case, Path(__file__).parent)
