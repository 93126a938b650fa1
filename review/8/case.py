"""Jobs are given to a worker that has gone dark; pending is asked for."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standin_2 import Bed, CannotRunError, main, new_id  # noqa: E402

HERE = Path(__file__).resolve().parent
HEADROOM = {'cpu': 32000, 'mem_mb': 65536, 'gpu': 8}
WORKERS = 24
JOBS = 8
LONG_MS = 90000
#: Jobs that were accepted before this time, visible_ms and 2 s, count.
COUNTED_AFTER_S = 3.0 + 2.0
ASKED_UNTIL_S = 25.0


async def case(disrupt, record_path):
    bed = Bed(record_path)
    try:
        await bed.start(workers=WORKERS, headroom=HEADROOM)
        steps = [{'count': WORKERS - 1, 'cpu': 13000, 'mem_mb': 19000,
                  'gpu': 8, 'estimate_ms': LONG_MS, 'max_per_server': 1}]
        status = await bed.submit('sweep', new_id(), steps, {'ms': LONG_MS})
        await asyncio.sleep(4.0)
        idle = [one for one in bed.workers if not one.running]
        if status != 200 or len(idle) != 1:
            raise CannotRunError('the workers are not in use')
        if disrupt:
            idle[0].go_dark()
        steps = [{'count': 1, 'cpu': 2800, 'mem_mb': 4100, 'gpu': 1,
                  'estimate_ms': 60000}]
        jobs = [new_id() for _ in range(JOBS)]
        statuses = await asyncio.gather(*(
            bed.submit('study', job_id, steps, {'ms': 60000}, tries=1)
            for job_id in jobs
        ))
        accepted = [one for one, status in zip(jobs, statuses)
                    if status == 200]
        if len(accepted) < JOBS:
            raise CannotRunError('a job was not accepted')
        accepted_s = time.monotonic()
        wrong = 0
        asked = 0
        broken = ''
        await asyncio.sleep(COUNTED_AFTER_S + 0.5)
        while time.monotonic() - accepted_s < ASKED_UNTIL_S:
            for host in bed.hosts:
                begun = {name.split('.')[0] for _, name, _, _ in bed.begun}
                status, fields = await bed.call('GET', '/study/', host=host)
                waiting = [one for one in accepted if one not in begun]
                if status != 200:
                    continue
                asked += 1
                if 2 * fields['pending'] < len(waiting):
                    wrong += 1
                    broken = (f'MIXED: {host.name} gives pending '
                              f'{fields["pending"]}; {len(waiting)} jobs that '
                              'were accepted over 5 s before have not begun')
            await asyncio.sleep(1.0)
        states = [await bed.state('study', job_id) for job_id in jobs]
        bed.record.add(f'states {states}; {wrong} of {asked} answers wrong')
        return f'{broken} ({wrong} of {asked} answers)' if broken else ''
    finally:
        await bed.end()


main(case, HERE / 'record.txt')
