"""Compares placement policies by the users' measures on two deployments.

``python -m bench.placement`` runs each policy on the same seeds, in real
processes, and writes ``bench/results/placement.json``.
"""

import json
import shutil
import subprocess  # noqa: S404
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from statistics import fmean
from typing import Any

from bench.processes import ROOT, Processes

RESULTS = ROOT / 'bench' / 'results'
POLICIES = ('guarantees', 'fifo_skipping', 'fifo_first_fit')
SEEDS = (1, 2, 3, 4, 5)
GANGS = {
    'tenggara': 'fatigue-sweep,contamination-study',
    'kalvola': 'reconciliation,ledger-matching,year-end-matching',
}

#: How many runs are concurrent; each has eight mostly idle processes.
PARALLEL_RUNS = 6


def run_once(deployment: str, policy: str, seed: int) -> dict[str, Any]:
    """Run a deployment's workload once and return the load's report."""
    with tempfile.TemporaryDirectory() as temporary:
        work_folder = Path(temporary)
        folder = work_folder / 'configuration'
        shutil.copytree(
            ROOT / 'examples' / deployment / 'configuration', folder
        )
        overlay = ROOT / 'bench' / 'workloads' / f'{deployment}-compressed.json'
        shutil.copy(overlay, folder / '90-compressed.json')
        processes = Processes(
            folder=folder,
            work_folder=work_folder / 'run',
            placement={'policy': policy, 'quick_slots': 2, 'grace_s': 0.2},
        )
        try:
            processes.start()
            return _run_load(
                processes, deployment, seed, work_folder / 'report'
            )
        finally:
            processes.stop()


def _run_load(
    processes: Processes,
    deployment: str,
    seed: int,
    out: Path,
) -> dict[str, Any]:
    options: list[str] = []
    for gateway in processes.gateways:
        options.extend(('--gateway', gateway))
    subprocess.run(  # noqa: S603
        [
            str(Path(sys.executable).parent / 'curranthill-load'),
            str(ROOT / 'bench' / 'workloads' / f'{deployment}.json'),
            *options,
            '--standin',
            processes.standin,
            '--gangs',
            GANGS[deployment],
            '--seed',
            str(seed),
            '--out',
            str(out),
        ],
        check=True,
        stdout=subprocess.DEVNULL,
    )
    measures: dict[str, Any] = json.loads((out / 'report.json').read_text())
    return measures


def summarize(runs: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the mean, minimum and maximum of each figure over the seeds."""
    figures = {
        'gang_p95_multiple': [run['gang_multiple']['p95'] for run in runs],
        'long_p95_multiple': [run['long_multiple']['p95'] for run in runs],
        'long_p50_multiple': [run['long_multiple']['p50'] for run in runs],
        'long_finished': [run['long_multiple']['count'] for run in runs],
        'quick_p50_s': [run['quick_completion_s']['p50'] for run in runs],
        'quick_p99_s': [run['quick_completion_s']['p99'] for run in runs],
        'fragmentation': [run['fragmentation_mean'] for run in runs],
        'free_mean': [run['free_mean'] for run in runs],
        'preemptions': [run['preemptions'] for run in runs],
        'took_s': [run['took_s'] for run in runs],
    }
    return {
        name: {
            'mean': round(fmean(values), 4),
            'least': round(min(values), 4),
            'most': round(max(values), 4),
        }
        for name, values in figures.items()
    }


def main(
    deployments: tuple[str, ...] = tuple(GANGS),
    policies: tuple[str, ...] = POLICIES,
    seeds: tuple[int, ...] = SEEDS,
    out: str = 'placement.json',
) -> None:
    """Run all combinations and write the results."""
    cases = [
        (deployment, policy, seed)
        for deployment in deployments
        for seed in seeds
        for policy in policies
    ]
    with ThreadPoolExecutor(PARALLEL_RUNS) as pool:
        measured = list(pool.map(lambda case: run_once(*case), cases))
    results: dict[str, Any] = {'seeds': list(seeds)}
    for deployment in deployments:
        results[deployment] = {}
        for policy in policies:
            runs = [
                run
                for case, run in zip(cases, measured, strict=True)
                if case[:2] == (deployment, policy)
            ]
            results[deployment][policy] = summarize(runs)
    RESULTS.mkdir(parents=True, exist_ok=True)
    (RESULTS / out).write_text(json.dumps(results, indent=2) + '\n')
    for deployment in deployments:
        for policy in policies:
            row = results[deployment][policy]
            print(
                deployment,
                policy,
                {name: figure['mean'] for name, figure in row.items()},
            )


if __name__ == '__main__':
    main()
