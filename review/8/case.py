"""A task's worker is cut off, and the leading host killed, five times."""

import asyncio
import base64
import json
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standin_2 import Bed, CannotRunError, main, new_id  # noqa: E402

HERE = Path(__file__).resolve().parent
HEADROOM = {'cpu': 32000, 'mem_mb': 65536, 'gpu': 8}
WORK_MS = 100000
ROUNDS = 5
CUT_S = 5.5
#: The cut begins so long after a renewal reached the worker, before the next.
AFTER_RENEWAL_S = 1.35
DOWN_S = 3.0
#: Without the kills the cuts alone are played.
KILLS = os.environ.get('KILLS', '1') != '0'


def leading_host(bed):
    """Return the host that last wrote its row under a condition."""
    for name, row in bed.store.rows.items():
        if name[0] == 'leader' and name[2] == 'leader':
            holder = json.loads(base64.b64decode(row['value']))[0]
            return next((one for one in bed.hosts if one.name == holder), None)
    return None


async def worker_of(bed, job_id):
    """Return the worker at which the job's task runs, None after 10 s."""
    for _ in range(200):
        for worker in bed.workers:
            if not worker.dark and any(
                run.name.startswith(job_id) for run in worker.running.values()
            ):
                return worker
        await asyncio.sleep(0.05)
    return None


async def await_renewal(worker):
    known_s = worker.renewed_s
    for _ in range(400):
        if worker.renewed_s != known_s:
            return
        await asyncio.sleep(0.01)
    raise CannotRunError('the lease is not renewed')


async def cut_and_kill(bed, worker):
    await await_renewal(worker)
    await asyncio.sleep(AFTER_RENEWAL_S)
    leader = leading_host(bed)
    begun = len(bed.begun)
    worker.go_dark()
    cut_s = time.monotonic()
    # The task starts elsewhere once its lease has lapsed; without a next
    # start, the kill comes at the end of the cut.
    while time.monotonic() - cut_s < CUT_S and len(bed.begun) == begun:
        await asyncio.sleep(0.01)
    if KILLS and leader is not None:
        leader.signal(signal.SIGKILL)
        await leader.process.wait()
    killed_s = time.monotonic()
    await asyncio.sleep(max(0.0, CUT_S - (killed_s - cut_s)))
    worker.come_back()
    if KILLS and leader is not None:
        await asyncio.sleep(max(0.0, DOWN_S - (time.monotonic() - killed_s)))
        await leader.start()


async def case(disrupt, record_path):
    bed = Bed(record_path)
    try:
        await bed.start(workers=24, headroom=HEADROOM)
        job_id = new_id()
        steps = [{'count': 1, 'cpu': 4000, 'mem_mb': 4096, 'gpu': 1,
                  'estimate_ms': WORK_MS}]
        status = await bed.submit('study', job_id, steps, {'ms': WORK_MS})
        if status != 200:
            raise CannotRunError('the job was not accepted')
        for _ in range(ROUNDS):
            await asyncio.sleep(3.0)
            worker = await worker_of(bed, job_id)
            if worker is None:
                break
            if disrupt:
                await cut_and_kill(bed, worker)
        await asyncio.sleep(8.0)
        state = await bed.state('study', job_id)
        failed = [one for one in bed.over if one[4] == 'failed']
        ends = sorted({one[4] for one in bed.over})
        bed.record.add(f'state {state}; {len(bed.begun)} runs, ends: {ends}')
        if state == 'failed' and not failed:
            return (f'LOST: an accepted job is shown as failed; none of its '
                    f'{len(bed.begun)} runs ended failed, no worker crashed')
        return ''
    finally:
        await bed.end()


main(case, HERE / 'record.txt')
