"""Measures the resource usage and the takeover of daemons at several sizes.

``python -m bench.scale`` starts a data centre of each size with two schedulers
and one gateway, fills it with long tasks, measures memory, processor time and
bytes of the idle daemons, and then kills the active scheduler. The stand-in's
workers share one process. The results go to ``bench/results/scale.json``.
"""

import asyncio
import json
import os
import re
import tempfile
import time
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp

from bench.processes import ROOT, Processes, get_json
from curranthill.configuration import sha256_hex

MEASURE_S = 12.0
FILL_TIMEOUT_S = 150.0
TAKEOVER_TIMEOUT_S = 90.0
TICKS_PER_S = os.sysconf('SC_CLK_TCK')


class ClusterSize(NamedTuple):
    """The size of a data centre and its load."""

    racks: int
    tasks: int
    teams: int


CLUSTER_SIZES = (
    ClusterSize(racks=2, tasks=100, teams=4),
    ClusterSize(racks=16, tasks=1000, teams=31),
    ClusterSize(racks=113, tasks=7200, teams=220),
)


def write_configuration(folder: Path, size: ClusterSize) -> None:
    """Write a configuration of one data centre."""
    folder.mkdir()
    document = {
        'data_centres': {
            'dc': {
                'region': 'r',
                'racks': {
                    f'r{rack:03d}': {'workers': 8, 'slots': 8}
                    for rack in range(size.racks)
                },
            },
        },
        'services': {'s': {'slots': 8, 'connections': 64}},
        'shapes': {
            'single': {'accelerators': 1, 'adjacent': 'worker'},
            'block': {'accelerators': 4, 'adjacent': 'worker'},
        },
        'kinds': {
            'batch': {
                'service': 's',
                'lane': 'long',
                'shape': 'single',
                'run_time_s': 36000,
            },
        },
        'workspaces': {
            f'team-{team}': {
                'token_digests': [sha256_hex(f'demo-team-{team}'.encode())],
                'guarantees': [
                    {'shape': 'block', 'count': 1, 'data_centre': 'dc'},
                ],
            }
            for team in range(size.teams)
        },
    }
    (folder / '10-all.json').write_text(json.dumps(document))


class ProcessUsage(NamedTuple):
    """The resource usage of one process, as the kernel counts it."""

    cpu_s: float
    transferred_bytes: int
    resident_bytes: int


def read_usage(pid: int) -> ProcessUsage:
    """Return the resource usage of a process."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    transferred = dict(
        line.split(': ')
        for line in Path(f'/proc/{pid}/io').read_text().splitlines()
    )
    status = Path(f'/proc/{pid}/status').read_text()
    resident = re.search(r'VmRSS:\s+(\d+) kB', status)
    return ProcessUsage(
        cpu_s=(int(fields[11]) + int(fields[12])) / TICKS_PER_S,
        transferred_bytes=int(transferred['rchar']) + int(transferred['wchar']),
        resident_bytes=int(resident[1]) * 1024 if resident else 0,
    )


def measure_daemons(processes: Processes) -> dict[str, Any]:
    """Return the resource usage of each daemon while no requests arrive."""
    names = [name for name in processes.running if '/' in name]
    before = {name: read_usage(processes.running[name].pid) for name in names}
    time.sleep(MEASURE_S)
    costs: dict[str, Any] = {}
    for name in names:
        after = read_usage(processes.running[name].pid)
        transferred = after.transferred_bytes - before[name].transferred_bytes
        costs[name] = {
            'resident_mb': round(after.resident_bytes / 2**20, 1),
            'cpu_share': round(
                (after.cpu_s - before[name].cpu_s) / MEASURE_S, 4
            ),
            'bytes_per_s': round(transferred / MEASURE_S),
        }
    return costs


async def submit_tasks(processes: Processes, size: ClusterSize) -> None:
    """Submit the tasks and wait until all of them run."""
    connector = aiohttp.TCPConnector(limit=32)
    async with aiohttp.ClientSession(connector=connector) as session:
        await asyncio.gather(
            *(
                _submit(session, processes.gateways[0], number, size)
                for number in range(size.tasks)
            ),
        )
    deadline_s = time.monotonic() + FILL_TIMEOUT_S
    while time.monotonic() < deadline_s and _used_slots(processes) < size.tasks:
        await asyncio.sleep(1)


async def _submit(
    session: aiohttp.ClientSession,
    gateway: str,
    number: int,
    size: ClusterSize,
) -> None:
    team = f'team-{number % size.teams}'
    for _ in range(50):
        async with session.post(
            f'{gateway}/v1/workspaces/{team}/kinds/batch/requests',
            json={'run_s': 36000},
            headers={'Authorization': f'Bearer demo-{team}'},
        ) as response:
            await response.read()
            if response.status == 202:
                return
        await asyncio.sleep(1)


def _used_slots(processes: Processes) -> int:
    free = get_json(f'{processes.standin}/free')
    slots = sum(8 * len(workers) for workers in free.values())
    return slots - sum(sum(workers) for workers in free.values())


def measure_takeover(processes: Processes) -> dict[str, Any]:
    """Kill the active scheduler; measure how the other one takes over."""
    logs = {
        name: processes.work_folder / f'{name.replace("/", "-")}.log'
        for name in processes.process_names('scheduler')
    }
    active = next(name for name, log in logs.items() if _find_recovery(log))
    standby = next(name for name in logs if name != active)
    reads = get_json(f'{processes.standin}/counts')['reads']
    killed_s = time.monotonic()
    processes.send_signal(active)
    while time.monotonic() - killed_s < TAKEOVER_TIMEOUT_S:
        match = _find_recovery(logs[standby])
        if match:
            after = get_json(f'{processes.standin}/counts')['reads']
            return {
                'recover_s': round(float(match['took_s']), 3),
                'resumed': int(match['resumed']),
                'from_kill_s': round(time.monotonic() - killed_s, 2),
                'table_reads': after - reads,
            }
        time.sleep(0.05)
    return {'recover_s': None}


def _find_recovery(log: Path) -> re.Match[str] | None:
    return re.search(
        r'took over: Recovered\(waiting=\d+, resumed=(?P<resumed>\d+),'
        r' orphans=\d+, took_s=(?P<took_s>[\d.e-]+)\)',
        log.read_text(),
    )


def measure(size: ClusterSize) -> dict[str, Any]:
    """Run all measurements at one size."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(temporary) / 'configuration'
        write_configuration(folder, size)
        processes = Processes(
            folder=folder,
            work_folder=Path(temporary) / 'run',
            schedulers=2,
            placement={'scan_interval_s': 300},
            writes_per_s=400,
        )
        try:
            return _measure(processes, size)
        finally:
            processes.stop()


def _measure(processes: Processes, size: ClusterSize) -> dict[str, Any]:
    processes.start()
    empty = measure_daemons(processes)
    began_s = time.monotonic()
    asyncio.run(submit_tasks(processes, size))
    filled_s = time.monotonic() - began_s
    counts = get_json(f'{processes.standin}/counts')
    return {
        'workers': size.racks * 8,
        'tasks': _used_slots(processes),
        'teams': size.teams,
        'filled_s': round(filled_s, 1),
        'writes_a_job': round(counts['writes'] / size.tasks, 3),
        'reads_a_job': round(counts['reads'] / size.tasks, 3),
        'empty': empty,
        'loaded': measure_daemons(processes),
        'takeover': measure_takeover(processes),
    }


def main() -> None:
    """Run the measurements at each size and write the results."""
    out = ROOT / 'bench' / 'results'
    out.mkdir(parents=True, exist_ok=True)
    results: list[dict[str, Any]] = []
    for size in CLUSTER_SIZES:
        results.append(measure(size))
        text = json.dumps(results, indent=2)
        (out / 'scale.json').write_text(f'{text}\n')
    print(text)


if __name__ == '__main__':
    main()
