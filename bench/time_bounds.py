"""Measures the start of urgent gangs and the replication of revisions.

Both have a time bound, which the results are compared with.
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

URGENT_GANGS = 12
MAX_START_S = 3.3
CHANGES = 50
MAX_APPLY_S = 11.0
CONFIGURATION_FOLDER = ROOT / 'examples' / 'tenggara' / 'configuration'


async def measure_urgent_gangs(processes: Processes) -> dict[str, Any]:
    """Measure the starts of guaranteed gangs while all slots are in use.

    They are used by work of another workspace beyond its guarantees.

    The workers record starts by the monotonic clock of the machine, which this
    process reads too.
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
        for _ in range(URGENT_GANGS):
            began_s = time.monotonic()
            job = await _submit(session, gateway, 'gearbox', 'fatigue-sweep', 1)
            started_s = await _wait_for_start(processes, job)
            times_s.append(started_s - began_s)
            await asyncio.sleep(3)
    return {
        'gangs': len(times_s),
        'free_slots_before': free,
        'p50_s': round(percentile(times_s, 0.5), 3),
        'worst_s': round(max(times_s), 3),
        'past_bound': sum(one > MAX_START_S for one in times_s),
        'bound_s': MAX_START_S,
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
    ) as response:
        document = json.loads(await response.read())
    return str(document['id'])


async def _wait_for_start(processes: Processes, job_id: str) -> float:
    """Return when the last member of a job's gang started.

    Infinity if the gang does not start within 30 s.
    """
    hosts = get_json(f'{processes.standin}/v1/hosts')['hosts']
    deadline_s = time.monotonic() + 30
    while time.monotonic() < deadline_s:
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


def measure_revisions(processes: Processes, cut_off: str) -> dict[str, Any]:
    """Measure the time until each of several changes is in force everywhere.

    :param cut_off: a data centre whose daemons cannot reach the platform.
    """
    times_s: list[float] = []
    regressions = 0
    previous: dict[str, int] = {}
    for number in range(CHANGES):
        path = processes.work_folder / f'50-change-{number % 5}.json'
        path.write_text(
            json.dumps({'shapes': {f'n{number}': {'accelerators': 1}}}),
        )
        began_s = time.monotonic()
        expected = _add_configuration(processes, path)
        while True:
            current = {
                gateway: int(get_json(f'{gateway}/ready')['revision'])
                for gateway in processes.gateways
            }
            regressions += sum(
                current[one] < previous.get(one, 0) for one in current
            )
            previous = current
            if min(current.values()) >= expected:
                break
            if time.monotonic() - began_s > 3 * MAX_APPLY_S:
                break
            time.sleep(0.1)
        times_s.append(time.monotonic() - began_s)
    return {
        'changes': len(times_s),
        'hosts': len(processes.gateways),
        'cut_off': cut_off,
        'p50_s': round(percentile(times_s, 0.5), 2),
        'worst_s': round(max(times_s), 2),
        'past_bound': sum(one > MAX_APPLY_S for one in times_s),
        'bound_s': MAX_APPLY_S,
        'lower_after_higher': regressions,
    }


def _add_configuration(processes: Processes, path: Path) -> int:
    completed = subprocess.run(  # noqa: S603
        [
            str(Path(sys.executable).parent / 'curranthill'),
            'config',
            'add',
            str(path),
            '--settings',
            str(processes.work_folder / 'operator.json'),
        ],
        check=True,
        capture_output=True,
        text=True,
    )
    return int(completed.stdout.split()[1])


def main() -> None:
    """Run both measurements and write the results."""
    results: dict[str, Any] = {}
    with tempfile.TemporaryDirectory() as temporary:
        processes = Processes(
            folder=CONFIGURATION_FOLDER, work_folder=Path(temporary) / 'run'
        )
        try:
            processes.start()
            results['urgent'] = asyncio.run(measure_urgent_gangs(processes))
        finally:
            processes.stop()
        _write_results(results)
        cut_off = 'shah-alam'
        processes = Processes(
            folder=CONFIGURATION_FOLDER,
            work_folder=Path(temporary) / 'cut',
            gateways=3,
            cut_off={cut_off: f'http://127.0.0.1:{free_port()}'},
        )
        try:
            processes.start()
            results['revisions'] = measure_revisions(processes, cut_off)
        finally:
            processes.stop()
    _write_results(results)
    print(json.dumps(results, indent=2))


def _write_results(results: dict[str, Any]) -> None:
    out = ROOT / 'bench' / 'results'
    out.mkdir(parents=True, exist_ok=True)
    (out / 'promises.json').write_text(json.dumps(results, indent=2) + '\n')


if __name__ == '__main__':
    main()
