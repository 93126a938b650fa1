"""Jobs that no worker has started are not counted as pending."""

import asyncio
import signal
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
JOBS = 8
#: As wide as a whole worker.
LARGE = {'cpu': 8000, 'mem_mb': 4096, 'gpu': 8, 'estimate_ms': 60000}
#: Eight of these fit on one worker.
SMALL = {'cpu': 1000, 'mem_mb': 1024, 'gpu': 1, 'estimate_ms': 60000}
#: A job counts as pending later than `visible_ms` + 2 s after its acceptance.
VISIBLE_S = 3 + 2
#: How long the worker refuses starts.
UNHEALTHY_S = 6.0


async def play_case(play):
    await play.start_store()
    await play.put_config()
    for _ in range(WORKERS - 1):
        await play.start_worker()
    for number in (1, 2):
        await play.start_host(f'front-{number}')
    await asyncio.sleep(4)
    # The other workers are taken by work that goes on.
    first = new_id()
    count = WORKERS - 1
    accepted = await play.submit(
        'front-1', first, [{**LARGE, 'count': count}], run_ms=100000
    )
    if not accepted:
        raise NotRunError('the first job was not accepted')
    worker_id = await play.start_worker()
    await asyncio.sleep(1)
    if not TROUBLE:
        # The same worker takes part in the work instead.
        await play.submit(
            'front-1', new_id(), [{**LARGE, 'count': 1}], run_ms=100000
        )
    await asyncio.sleep(2)
    if TROUBLE:
        play.note(f'trouble: worker {worker_id} refuses what it should start')
        play.signal(worker_id, signal.SIGUSR1)
    began_s = time.monotonic()
    jobs = [new_id() for _ in range(JOBS)]
    for number, job_id in enumerate(jobs):
        host = f'front-{number % 2 + 1}'
        if not await play.submit(
            host, job_id, [{**SMALL, 'count': 1}], run_ms=60000
        ):
            raise NotRunError('a job was not accepted')
    await asyncio.sleep(VISIBLE_S + 0.1)
    broken = 0
    while time.monotonic() - began_s < UNHEALTHY_S - 0.2:
        for host in play.hosts:
            status, answer = await play.call(host, 'GET', PREFIX)
            waiting = sum(not play.starts(job_id) for job_id in jobs)
            play.note(
                f'client: GET {PREFIX} to {host}: {status} {answer};'
                f' {waiting} jobs have not begun'
            )
            if status == 200 and answer['pending'] < waiting / 2:
                broken += 1
        await asyncio.sleep(0.1)
    if TROUBLE:
        play.signal(worker_id, signal.SIGUSR2)
        play.note(f'worker {worker_id} starts tasks again')
    await asyncio.sleep(2)
    return BROKEN if broken else HELD


main(play_case, Path(__file__).resolve().parent)
