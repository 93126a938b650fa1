"""A perpetual job whose worker crashes now and then is given up."""

import asyncio
import signal
import sys
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
CRASHES = 6
#: How long a crashed worker is away, and how long the task runs before.
AWAY_S = 4.5
RUN_S = 4
STEP = {'count': 1, 'cpu': 2000, 'mem_mb': 1024, 'gpu': 1, 'perpetual': True}


async def play_case(play):
    await play.start_store()
    await play.put_config()
    for _ in range(WORKERS):
        await play.start_worker()
    for number in (1, 2):
        await play.start_host(f'front-{number}')
    await asyncio.sleep(4)
    job_id = new_id()
    if not await play.submit('front-1', job_id, [STEP], run_ms=0):
        raise NotRunError('the job was not accepted')
    for number in range(CRASHES):
        # A start newer than the last crash, and a run of some seconds.
        for _ in range(200):
            starts = play.starts(job_id)
            if len(starts) > number:
                break
            state = await play.state('front-2', job_id)
            if state in ('failed', 'cancelled', 'completed'):
                play.note(f'client: the job is shown as {state}')
                return BROKEN
            await asyncio.sleep(0.1)
        else:
            raise NotRunError('the task was not started again within 20 s')
        await asyncio.sleep(RUN_S)
        if TROUBLE:
            worker_id = starts[-1]['worker']
            play.note(f'trouble: worker {worker_id} crashes')
            play.signal(worker_id, signal.SIGKILL)
            await asyncio.sleep(AWAY_S)
            again = await play.start_worker(play.port_of(worker_id))
            play.note(f'the worker is back as {again}')
        elif len(play.starts(job_id)) <= number + 1:
            break
    await asyncio.sleep(10)
    state = await play.state('front-2', job_id)
    play.note(f'client: the job is shown as {state}')
    return HELD if state == 'running' else BROKEN


main(play_case, Path(__file__).resolve().parent)
