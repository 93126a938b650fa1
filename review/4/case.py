"""A large scheduled job comes; then small jobs are handed in."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standin_2 import Bed, CannotRunError, main, new_id  # noqa: E402

HERE = Path(__file__).resolve().parent
#: Together 7,000 tasks at work; the users' target is 7,200.
WIDTH = 700
TIMES = 10
INTERVAL_S = 2.5
WORK_MS = 100000
UNEVEN = 0.9
HEADROOM = {'cpu': 128000, 'mem_mb': 262144, 'gpu': 8}
SMALL_JOBS = 5
FINISH_S = 14.0


async def hand_in_large(bed, *, at_once):
    """Hand the same tasks in as one scheduled job, or as a job for each time.

    :param at_once: whether one job has all the occurrences.
    """
    steps = [{'count': WIDTH, 'cpu': 200, 'mem_mb': 64,
              'estimate_ms': WORK_MS, 'checkpointable': True}]
    spec = {'ms': WORK_MS, 'uneven': UNEVEN, 'saves': True}
    if at_once:
        return await bed.submit(
            'study', new_id(), steps, spec, times=TIMES,
            interval_ms=INTERVAL_S * 1000,
            start_at_ms=time.time() * 1000,
        )
    status = 0
    for _ in range(TIMES):
        status = await bed.submit('study', new_id(), steps, spec)
        await asyncio.sleep(INTERVAL_S)
    return status


async def case(disrupt, record_path):
    bed = Bed(record_path)
    try:
        await bed.start(workers=24, headroom=HEADROOM)
        began_s = time.monotonic()
        if await hand_in_large(bed, at_once=disrupt) != 200:
            raise CannotRunError('the large job was not accepted')
        span_s = TIMES * INTERVAL_S + 4 - (time.monotonic() - began_s)
        await asyncio.sleep(span_s)
        bed.record.add(f'{len(bed.begun)} runs have begun')
        small = []
        for _ in range(SMALL_JOBS):
            job_id = new_id()
            steps = [{'count': 2, 'cpu': 4000, 'mem_mb': 4096, 'gpu': 1,
                      'estimate_ms': 2500}]
            status = await bed.submit('check', job_id, steps, {'ms': 2500})
            if status == 200:
                small.append(job_id)
        if not small:
            raise CannotRunError('no small job was accepted')
        await asyncio.sleep(FINISH_S + 3)
        states = [await bed.state('check', job_id) for job_id in small]
        begun = {name.split('.')[0] for _, name, _, _ in bed.begun}
        never = [one for one in small if one not in begun]
        bed.record.add(f'states {states}, never begun {never}, writes that the '
                       f'store rejected {bed.store.rejected_writes}')
        if never:
            return (f'LOST: of {len(small)} accepted jobs {len(never)} have '
                    f'not begun after {FINISH_S + 3} s; every write of the '
                    f'leader is rejected ({bed.store.rejected_writes} so far)')
        return ''
    finally:
        await bed.end()


main(case, HERE / 'record.txt')
