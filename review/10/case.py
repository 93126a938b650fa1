"""An entry of another writer stops the scheduling of all jobs."""

import asyncio
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
#: The name of the entry ends with a line break.
ENTRY = 'batch-7\n'
STEP = {'count': 2, 'cpu': 1000, 'mem_mb': 64, 'gpu': 1, 'estimate_ms': 300}
#: `finish_s` after the end of the traffic, for 3 s.
BOUND_S = 14 + 3
WATCHED_S = 40


async def play_case(play):
    await play.start_store()
    await play.put_config()
    for _ in range(WORKERS):
        await play.start_worker()
    for number in (1, 2):
        await play.start_host(f'front-{number}')
    await asyncio.sleep(4)
    if TROUBLE:
        play.note(f'trouble: another writer adds the entry {ENTRY!r}')
        # Of a service that no configuration names; its address answers HTTP.
        fields = {
            'service': 'another-service',
            'address': play.store,
            'zone': 'zone-a',
            'version': 'v1',
            'capacity': 8,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'headroom': {'cpu': 1000, 'mem_mb': 1024, 'gpu': 0},
            'labels': ['a', 'r1-1'],
            'sequence': 1,
        }
        await play.put_row('servers', ENTRY, fields)
    await asyncio.sleep(3)
    job_id = new_id()
    if not await play.submit('front-1', job_id, [STEP], run_ms=300):
        raise NotRunError('the job was not accepted')
    accepted_s = time.monotonic()
    first_s = None
    while time.monotonic() - accepted_s < WATCHED_S:
        await asyncio.sleep(0.2)
        if first_s is None and play.starts(job_id):
            first_s = time.monotonic() - accepted_s
        if await play.state('front-2', job_id) == 'completed':
            break
    state = await play.state('front-2', job_id)
    play.note(
        f'client: after {time.monotonic() - accepted_s:.1f} s the job is shown'
        f' as {state}; {len(play.starts(job_id))} starts of its 2 tasks'
    )
    if first_s is None or first_s > BOUND_S:
        return BROKEN
    return HELD if state == 'completed' else BROKEN


main(play_case, Path(__file__).resolve().parent)
