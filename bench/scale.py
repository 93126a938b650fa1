"""Memory, processor time, bytes and takeover of real daemons as load grows.

``python -m bench.scale`` starts a data centre of each size with two
schedulers and one gateway, fills it with long tasks, watches the idle
daemons, then kills the active scheduler. The stand-in's workers share one
process. Results: ``bench/results/scale.json``.
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

WATCH_S = 12.0
FILL_S = 150.0
TAKEOVER_S = 90.0
TICKS_PER_S = os.sysconf('SC_CLK_TCK')


class Scale(NamedTuple):
    """One size of a data centre."""

    racks: int
    tasks: int
    teams: int


SCALES = (
    Scale(racks=2, tasks=100, teams=4),
    Scale(racks=16, tasks=1000, teams=31),
    Scale(racks=113, tasks=7200, teams=220),
)


def write_folder(folder: Path, scale: Scale) -> None:
    """Write a configuration of one data centre."""
    folder.mkdir()
    document = {
        'data_centres': {
            'dc': {
                'region': 'r',
                'racks': {
                    f'r{rack:03d}': {'workers': 8, 'slots': 8}
                    for rack in range(scale.racks)
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
            for team in range(scale.teams)
        },
    }
    (folder / '10-all.json').write_text(json.dumps(document))


class Usage(NamedTuple):
    """The kernel's account of one process."""

    cpu_s: float
    moved_bytes: int
    resident_bytes: int


def usage_of(pid: int) -> Usage:
    """Return what a process has used."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    moved = dict(
        line.split(': ')
        for line in Path(f'/proc/{pid}/io').read_text().splitlines()
    )
    status = Path(f'/proc/{pid}/status').read_text()
    resident = re.search(r'VmRSS:\s+(\d+) kB', status)
    return Usage(
        cpu_s=(int(fields[11]) + int(fields[12])) / TICKS_PER_S,
        moved_bytes=int(moved['rchar']) + int(moved['wchar']),
        resident_bytes=int(resident[1]) * 1024 if resident else 0,
    )


def watch(processes: Processes) -> dict[str, Any]:
    """Return what each daemon costs while nothing arrives."""
    names = [name for name in processes.running if '/' in name]
    before = {name: usage_of(processes.running[name].pid) for name in names}
    time.sleep(WATCH_S)
    costs: dict[str, Any] = {}
    for name in names:
        after = usage_of(processes.running[name].pid)
        moved = after.moved_bytes - before[name].moved_bytes
        costs[name] = {
            'resident_mb': round(after.resident_bytes / 2**20, 1),
            'cpu_share': round((after.cpu_s - before[name].cpu_s) / WATCH_S, 4),
            'bytes_per_s': round(moved / WATCH_S),
        }
    return costs


async def fill(processes: Processes, scale: Scale) -> None:
    """Submit the tasks and wait until they all run."""
    connector = aiohttp.TCPConnector(limit=32)
    async with aiohttp.ClientSession(connector=connector) as session:
        await asyncio.gather(
            *(
                _submit(session, processes.gateways[0], number, scale)
                for number in range(scale.tasks)
            ),
        )
    until_s = time.monotonic() + FILL_S
    while time.monotonic() < until_s and _busy(processes) < scale.tasks:
        await asyncio.sleep(1)


async def _submit(
    session: aiohttp.ClientSession,
    gateway: str,
    number: int,
    scale: Scale,
) -> None:
    team = f'team-{number % scale.teams}'
    for _ in range(50):
        async with session.post(
            f'{gateway}/v1/workspaces/{team}/kinds/batch/requests',
            json={'run_s': 36000},
            headers={'Authorization': f'Bearer demo-{team}'},
        ) as reply:
            await reply.read()
            if reply.status == 202:
                return
        await asyncio.sleep(1)


def _busy(processes: Processes) -> int:
    free = get_json(f'{processes.standin}/free')
    slots = sum(8 * len(workers) for workers in free.values())
    return slots - sum(sum(workers) for workers in free.values())


def takeover(processes: Processes) -> dict[str, Any]:
    """Kill the active scheduler; return how the other one took over."""
    logs = {
        name: processes.work / f'{name.replace("/", "-")}.log'
        for name in processes.names('scheduler')
    }
    active = next(name for name, log in logs.items() if _recovered(log))
    standby = next(name for name in logs if name != active)
    reads = get_json(f'{processes.standin}/counts')['reads']
    killed_s = time.monotonic()
    processes.kill(active)
    while time.monotonic() - killed_s < TAKEOVER_S:
        found = _recovered(logs[standby])
        if found:
            after = get_json(f'{processes.standin}/counts')['reads']
            return {
                'recover_s': round(float(found['took_s']), 3),
                'resumed': int(found['resumed']),
                'from_kill_s': round(time.monotonic() - killed_s, 2),
                'table_reads': after - reads,
            }
        time.sleep(0.05)
    return {'recover_s': None}


def _recovered(log: Path) -> re.Match[str] | None:
    return re.search(
        r'took over: Recovered\(waiting=\d+, resumed=(?P<resumed>\d+),'
        r' orphans=\d+, took_s=(?P<took_s>[\d.e-]+)\)',
        log.read_text(),
    )


def measure(scale: Scale) -> dict[str, Any]:
    """Measure one size."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(temporary) / 'configuration'
        write_folder(folder, scale)
        processes = Processes(
            folder=folder,
            work=Path(temporary) / 'run',
            schedulers=2,
            placement={'scan_interval_s': 300},
            writes_per_s=400,
        )
        try:
            return _measure(processes, scale)
        finally:
            processes.stop()


def _measure(processes: Processes, scale: Scale) -> dict[str, Any]:
    processes.start()
    empty = watch(processes)
    begun_s = time.monotonic()
    asyncio.run(fill(processes, scale))
    filled_s = time.monotonic() - begun_s
    counts = get_json(f'{processes.standin}/counts')
    return {
        'workers': scale.racks * 8,
        'tasks': _busy(processes),
        'teams': scale.teams,
        'filled_s': round(filled_s, 1),
        'writes_a_job': round(counts['writes'] / scale.tasks, 3),
        'reads_a_job': round(counts['reads'] / scale.tasks, 3),
        'empty': empty,
        'loaded': watch(processes),
        'takeover': takeover(processes),
    }


def main() -> None:
    """Measure each size and write the results."""
    out = ROOT / 'bench' / 'results'
    out.mkdir(parents=True, exist_ok=True)
    results: list[dict[str, Any]] = []
    for scale in SCALES:
        results.append(measure(scale))
        text = json.dumps(results, indent=2)
        (out / 'scale.json').write_text(f'{text}\n')
    print(text)


if __name__ == '__main__':
    main()
