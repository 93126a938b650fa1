"""Measures the time of a placement decision for several cluster sizes.

``python -m bench.decisions`` fills a cluster of each size, measures the time of
the decision after each arrival and each end of a job, and writes
``bench/results/decisions.json``. It then measures the processor time of whole
rounds of ``placement`` over full clusters and writes ``rounds.json``.
"""

import json
import random
import time
from itertools import product
from typing import Any, NamedTuple

from bench.full_cluster import draw_cluster, plan_round
from bench.processes import ROOT
from curranthill.jobs import Job
from curranthill.load import percentile
from curranthill.scheduler import SchedulerState, WaitingJob, policies
from curranthill.scheduler.cluster import WorkerState
from curranthill.scheduler.guarantees import GuaranteeUnit, GuaranteeUnitId

RESULTS = ROOT / 'bench' / 'results'
EVENTS_PER_SIZE = 400
SLOTS = 8
SLOT_COUNTS = (1, 2, 4, 8, 16, 32, 64)

#: The workers and the waiting jobs of the full clusters, and how often each
#: round is measured.
ROUND_WORKERS = (24, 176, 350, 1200)
ROUND_WAITING_JOBS = (10, 40, 120)
ROUND_REPEATS = 5


class Size(NamedTuple):
    """The size of a cluster, of its load and of its queue.

    :param teams: how many workspaces submit jobs.
    """

    workers: int
    running: int
    waiting: int
    teams: int


CLUSTER_SIZES = (
    Size(workers=24, running=144, waiting=50, teams=4),
    Size(workers=150, running=900, waiting=312, teams=28),
    Size(workers=1200, running=7200, waiting=2500, teams=220),
)


def make_job(rng: random.Random, number: int, teams: int, slots: int) -> Job:
    """Return one job of a random team."""
    team = f'team-{rng.randrange(teams)}'
    return Job(
        job_id=f'dc-{number}',
        workspace=team,
        kind='work',
        service='s',
        home='dc',
        state='accepted',
        slots=slots,
        adjacent='worker' if slots <= SLOTS else 'rack',
        idempotent=rng.randrange(10) > 0,
        checkpointable=True,
        run_time_s=rng.uniform(600, 7200),
        accepted_at_s=0,
        revision=1,
        shape=f'shape-{slots}',
    )


def make_state(size: Size, rng: random.Random) -> SchedulerState:
    """Return the state of a full cluster with a long queue."""
    state = SchedulerState()
    for number in range(size.workers):
        name = f'w{number:04d}'
        state.cluster.add(
            WorkerState(
                name=name,
                address=name,
                rack=f'r{number // 8:03d}',
                slots=SLOTS,
            ),
        )
    set_guarantees(state, size)
    policy = policies.get('guarantees')(5)
    number = 0
    while len(state.placed) < size.running:
        for _ in range(size.running // 4 + 1):
            number += 1
            slots = 4 if rng.randrange(50) == 0 else 1
            job = make_job(rng, number, size.teams, slots)
            state.queue.add(WaitingJob(job, float(number)))
        if not policy.decide(state, float(number)):
            break
    while len(state.queue) < size.waiting:
        number += 1
        slots = rng.choice(SLOT_COUNTS)
        job = make_job(rng, number, size.teams, slots)
        state.queue.add(WaitingJob(job, float(number)))
    return state


def set_guarantees(state: SchedulerState, size: Size) -> None:
    """Guarantee a block of four slots to each team.

    At most half of all slots are guaranteed.
    """
    units = {}
    for team in range(min(size.teams, size.workers * SLOTS // 8)):
        unit_id = GuaranteeUnitId(f'team-{team}', 'shape-4', 0)
        units[unit_id] = GuaranteeUnit(
            unit_id=unit_id,
            slots=4,
            adjacent='worker',
        )
    state.plan.replace_units(units)


def measure(size: Size) -> dict[str, Any]:
    """Measure the time of the decision after each of many events."""
    rng = random.Random(size.workers)  # noqa: S311
    state = make_state(size, rng)
    policy = policies.get('guarantees')(5)
    times_s: list[float] = []
    placed = 0
    for event in range(EVENTS_PER_SIZE):
        if event % 2:
            state.release(rng.choice(sorted(state.placed)))
        else:
            slots = rng.choice(SLOT_COUNTS)
            job = make_job(rng, 10**6 + event, size.teams, slots)
            state.queue.add(WaitingJob(job, 10.0**6 + event))
        began_s = time.perf_counter()
        placed += len(policy.decide(state, 10.0**6 + event))
        times_s.append(time.perf_counter() - began_s)
    return {
        **size._asdict(),
        'running_at_end': len(state.placed),
        'waiting_at_end': len(state.queue),
        'placed': placed,
        'p50_ms': round(1000 * percentile(times_s, 0.5), 3),
        'p99_ms': round(1000 * percentile(times_s, 0.99), 3),
    }


def measure_rounds(workers: int, waiting: int) -> dict[str, Any]:
    """Measure the processor time of a round over a full cluster."""
    cluster = draw_cluster(workers=workers, waiting=waiting, seed=1)
    times_s: list[float] = []
    for _ in range(ROUND_REPEATS):
        began_s = time.process_time()
        plan = plan_round(cluster)
        times_s.append(time.process_time() - began_s)
    return {
        'workers': workers,
        'waiting': waiting,
        'runs': sum(len(runs) for runs in cluster.runs.values()),
        'stops': len(plan.victims),
        'least_ms': round(1000 * min(times_s), 1),
        'median_ms': round(1000 * percentile(times_s, 0.5), 1),
    }


def write_results(name: str, results: list[dict[str, Any]]) -> None:
    """Write the results of one kind to a file and print them."""
    RESULTS.mkdir(parents=True, exist_ok=True)
    (RESULTS / name).write_text(json.dumps(results, indent=2) + '\n')
    for result in results:
        print(result)


def main() -> None:
    """Measure each size and write the results."""
    write_results('decisions.json', [measure(size) for size in CLUSTER_SIZES])
    write_results(
        'rounds.json',
        [
            measure_rounds(*size)
            for size in product(ROUND_WORKERS, ROUND_WAITING_JOBS)
        ],
    )


if __name__ == '__main__':
    main()
