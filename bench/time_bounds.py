"""Urgent work within its bound, and configuration in force within its own.

``python -m bench.time_bounds`` writes ``bench/results/promises.json``.
"""

import asyncio
import json
import subprocess  # noqa: S404
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import aiohttp

from bench.processes import ROOT, Processes, free_port, get_json
from curranthill.load import percentile

URGENT = 12
BOUND_S = 3.3
CHANGES = 50
MAX_APPLY_S = 11.0
SITE = ROOT / 'examples' / 'tenggara' / 'configuration'


async def urgent(processes: Processes) -> dict[str, Any]:
    """Time guaranteed gangs while borrowed work holds every slot.

    The clock of the workers' start records is the machine's monotonic one,
    so it can be compared with ours.
    """
    times_s: list[float] = []
    async with aiohttp.ClientSession() as session:
        gateway = processes.gateways[0]
        for _ in range(90):
            await _submit(session, gateway, 'spindle', 'spindle-estimate', 600)
        await asyncio.sleep(8)
        free = sum(
            sum(workers)
            for workers in get_json(f'{processes.standin}/free').values()
        )
        for _ in range(URGENT):
            begun_s = time.monotonic()
            job = await _submit(session, gateway, 'gearbox', 'fatigue-sweep', 1)
            started_s = await _started(processes, job)
            times_s.append(started_s - begun_s)
            await asyncio.sleep(3)
    return {
        'gangs': len(times_s),
        'free_slots_before': free,
        'p50_s': round(percentile(times_s, 0.5), 3),
        'worst_s': round(max(times_s), 3),
        'past_bound': sum(one > BOUND_S for one in times_s),
        'bound_s': BOUND_S,
    }


async def _submit(
    session: aiohttp.ClientSession,
    gateway: str,
    workspace: str,
    kind: str,
    run_s: float,
) -> str:
    async with session.post(
        f'{gateway}/v1/workspaces/{workspace}/kinds/{kind}/requests',
        json={'run_s': run_s},
        headers={'Authorization': f'Bearer demo-{workspace}'},
    ) as reply:
        answer = json.loads(await reply.read())
    return str(answer['id'])


async def _started(processes: Processes, job_id: str) -> float:
    """Return when the last member of a job's gang started."""
    hosts = get_json(f'{processes.standin}/v1/hosts')['hosts']
    until_s = time.monotonic() + 30
    while time.monotonic() < until_s:
        starts = [
            start
            for host in hosts
            for start in get_json(f'{host["address"]}/audit')['starts']
            if start['job'] == job_id
        ]
        if starts and len(starts) == starts[0]['members']:
            return float(max(start['started_s'] for start in starts))
        await asyncio.sleep(0.05)
    return float('inf')


def revisions(processes: Processes, cut_off: str) -> dict[str, Any]:
    """Apply changes one after the other; time each until all have it.

    :param cut_off: a data centre whose daemons cannot reach the platform.
    """
    times_s: list[float] = []
    lower = 0
    highest: dict[str, int] = {}
    for number in range(CHANGES):
        path = processes.work / f'50-change-{number % 5}.json'
        path.write_text(
            json.dumps({'shapes': {f'n{number}': {'accelerators': 1}}}),
        )
        begun_s = time.monotonic()
        wanted = _add(processes, path)
        while True:
            seen = {
                gateway: int(get_json(f'{gateway}/ready')['revision'])
                for gateway in processes.gateways
            }
            lower += sum(seen[one] < highest.get(one, 0) for one in seen)
            highest = seen
            if min(seen.values()) >= wanted:
                break
            if time.monotonic() - begun_s > 3 * MAX_APPLY_S:
                break
            time.sleep(0.1)
        times_s.append(time.monotonic() - begun_s)
    return {
        'changes': len(times_s),
        'hosts': len(processes.gateways),
        'cut_off': cut_off,
        'p50_s': round(percentile(times_s, 0.5), 2),
        'worst_s': round(max(times_s), 2),
        'past_bound': sum(one > MAX_APPLY_S for one in times_s),
        'bound_s': MAX_APPLY_S,
        'lower_after_higher': lower,
    }


def _add(processes: Processes, path: Path) -> int:
    done = subprocess.run(  # noqa: S603
        [
            str(Path(sys.executable).parent / 'curranthill'),
            'config',
            'add',
            str(path),
            '--settings',
            str(processes.work / 'operator.json'),
        ],
        check=True,
        capture_output=True,
        text=True,
    )
    return int(done.stdout.split()[1])


def main() -> None:
    """Measure both and write the results."""
    results: dict[str, Any] = {}
    with tempfile.TemporaryDirectory() as temporary:
        processes = Processes(folder=SITE, work=Path(temporary) / 'run')
        try:
            processes.start()
            results['urgent'] = asyncio.run(urgent(processes))
        finally:
            processes.stop()
        _keep(results)
        cut_off = 'shah-alam'
        processes = Processes(
            folder=SITE,
            work=Path(temporary) / 'cut',
            gateways=3,
            cut_off={cut_off: f'http://127.0.0.1:{free_port()}'},
        )
        try:
            processes.start()
            results['revisions'] = revisions(processes, cut_off)
        finally:
            processes.stop()
    _keep(results)
    print(json.dumps(results, indent=2))


def _keep(results: dict[str, Any]) -> None:
    out = ROOT / 'bench' / 'results'
    out.mkdir(parents=True, exist_ok=True)
    (out / 'promises.json').write_text(json.dumps(results, indent=2) + '\n')


if __name__ == '__main__':
    main()
