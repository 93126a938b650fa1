"""How long one placement decision takes, and its slope.

``python -m bench.decisions`` fills a cluster of each size, then times the
decision that follows each arrival and each end, and writes
``bench/results/decisions.json``. It then times whole rounds of ``placement``
over full clusters, in processor time, and writes ``rounds.json``.
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
EVENTS = 400
SLOTS = 8
SIZES = (1, 2, 4, 8, 16, 32, 64)

#: Workers of the full clusters, jobs that wait for them, and how often each
#: round is timed.
CLUSTERS = (24, 176, 350, 1200)
BACKLOGS = (10, 40, 120)
ROUNDS = 5


class Size(NamedTuple):
    """One size of a cluster and its work."""

    workers: int
    running: int
    waiting: int
    teams: int


TARGETS = (
    Size(workers=24, running=144, waiting=50, teams=4),
    Size(workers=150, running=900, waiting=312, teams=28),
    Size(workers=1200, running=7200, waiting=2500, teams=220),
)


def make_job(source: random.Random, number: int, teams: int, slots: int) -> Job:
    """Return one job of a random team."""
    team = f'team-{source.randrange(teams)}'
    return Job(
        job_id=f'dc-{number}',
        workspace=team,
        kind='work',
        service='s',
        home='dc',
        state='accepted',
        slots=slots,
        adjacent='worker' if slots <= SLOTS else 'rack',
        idempotent=source.randrange(10) > 0,
        checkpointable=True,
        run_time_s=source.uniform(600, 7200),
        accepted_at_s=0,
        revision=1,
        shape=f'shape-{slots}',
    )


def make_state(size: Size, source: random.Random) -> SchedulerState:
    """Return the state of a full cluster, with a long queue."""
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
            slots = 4 if source.randrange(50) == 0 else 1
            job = make_job(source, number, size.teams, slots)
            state.queue.add(WaitingJob(job, float(number)))
        if not policy.decide(state, float(number)):
            break
    while len(state.queue) < size.waiting:
        number += 1
        slots = source.choice(SIZES)
        job = make_job(source, number, size.teams, slots)
        state.queue.add(WaitingJob(job, float(number)))
    return state


def set_guarantees(state: SchedulerState, size: Size) -> None:
    """Guarantee each team a block of four as far as half the slots go."""
    units = {}
    for team in range(min(size.teams, size.workers * SLOTS // 8)):
        unit_id = GuaranteeUnitId(f'team-{team}', 'shape-4', 0)
        units[unit_id] = GuaranteeUnit(
            unit_id=unit_id,
            slots=4,
            adjacent='worker',
        )
    state.plan.set_units(units)


def measure(size: Size) -> dict[str, Any]:
    """Return the time of the decision after each of many events."""
    source = random.Random(size.workers)  # noqa: S311
    state = make_state(size, source)
    policy = policies.get('guarantees')(5)
    times_s: list[float] = []
    placed = 0
    for event in range(EVENTS):
        if event % 2:
            state.release(source.choice(sorted(state.placed)))
        else:
            slots = source.choice(SIZES)
            job = make_job(source, 10**6 + event, size.teams, slots)
            state.queue.add(WaitingJob(job, 10.0**6 + event))
        begun_s = time.perf_counter()
        placed += len(policy.decide(state, 10.0**6 + event))
        times_s.append(time.perf_counter() - begun_s)
    return {
        **size._asdict(),
        'running_at_end': len(state.placed),
        'waiting_at_end': len(state.queue),
        'placed': placed,
        'p50_ms': round(1000 * percentile(times_s, 0.5), 3),
        'p99_ms': round(1000 * percentile(times_s, 0.99), 3),
    }


def measure_rounds(workers: int, waiting: int) -> dict[str, Any]:
    """Return the processor time of rounds over a full cluster."""
    cluster = draw_cluster(workers=workers, waiting=waiting, seed=1)
    times_s: list[float] = []
    for _ in range(ROUNDS):
        begun_s = time.process_time()
        plan = plan_round(cluster)
        times_s.append(time.process_time() - begun_s)
    return {
        'workers': workers,
        'waiting': waiting,
        'runs': sum(len(runs) for runs in cluster.runs.values()),
        'stops': len(plan.victims),
        'least_ms': round(1000 * min(times_s), 1),
        'median_ms': round(1000 * percentile(times_s, 0.5), 1),
    }


def write(name: str, results: list[dict[str, Any]]) -> None:
    """Keep and show the results of one kind."""
    RESULTS.mkdir(parents=True, exist_ok=True)
    (RESULTS / name).write_text(json.dumps(results, indent=2) + '\n')
    for result in results:
        print(result)


def main() -> None:
    """Measure each size and write the results."""
    write('decisions.json', [measure(size) for size in TARGETS])
    write(
        'rounds.json',
        [measure_rounds(*size) for size in product(CLUSTERS, BACKLOGS)],
    )


if __name__ == '__main__':
    main()
