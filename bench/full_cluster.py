"""A full cluster with waiting jobs, as input of a round of placement.

Drawn from a seed, so that the same round can be planned again: gangs and
plain tasks hold nearly all accelerators, some runs are being stopped, some
workers have failures, and urgent gangs, long gangs and wide steps wait.
"""

import random
from typing import Final, NamedTuple

from curranthill.placement import (
    RUNNING,
    ActiveJob,
    Plan,
    Planner,
    Run,
    WorkerCapacity,
    WorkerEntry,
)
from curranthill.tasks import (
    JobProgress,
    JobSpec,
    Queue,
    Resources,
    Step,
    TaskKey,
)

NOW_S: Final = 1_700_001_000.0
SERVICE: Final = 'calc'
WORKERS_PER_RACK: Final = 20
WORKER_CAPACITY: Final = Resources(cpu_millis=32_000, memory_mb=131_072, gpus=8)
GPU_SIZES: Final = (1, 2, 4, 8, 8)
SAME_RACK_SHARE: Final = 0.7
NEAR_RACK_SHARE: Final = 0.1
CHECKPOINT_SHARE: Final = 0.4
STOPPED_SHARE: Final = 0.05


class Kind(NamedTuple):
    """A kind of random jobs.

    :param widths: the mean number of tasks of a step.
    """

    priority: int
    widths: float
    run_s: float
    cpu_millis: int
    memory_mb: int
    gpu_sizes: tuple[int, ...]
    gang_share: float


KINDS: Final = (
    Kind(0, 5.4, 2.5, 3700, 15_000, GPU_SIZES, 1.0),
    Kind(1, 13.0, 8.5, 13_000, 38_000, GPU_SIZES, 1.0),
    Kind(2, 39.0, 7.6, 2800, 11_000, (1,), 0.0),
)


class FullCluster(NamedTuple):
    """The state of a random cluster at one moment.

    :param runs: the runs of each worker.
    :param failure_scores: by worker.
    :param jobs: jobs that run or wait.
    """

    entries: tuple[WorkerEntry, ...]
    runs: dict[str, list[Run]]
    failure_scores: dict[str, float]
    jobs: list[ActiveJob]
    guaranteed: dict[str, int]


def draw_cluster(*, workers: int, waiting: int, seed: int) -> FullCluster:
    """Return a cluster that is nearly full, with so many waiting jobs."""
    source = random.Random(seed)  # noqa: S311
    entries = tuple(_entry(number) for number in range(workers))
    free = {entry.worker_id: entry.capacity for entry in entries}
    cluster = FullCluster(
        entries=entries,
        runs={entry.worker_id: [] for entry in entries},
        failure_scores={
            entry.worker_id: float(source.choice((0, 0, 0, 0, 0, 0, 1, 2)))
            for entry in entries
        },
        jobs=[],
        guaranteed={f'team-{team}': 8 * team for team in range(5)},
    )
    refused = 0
    while refused < 8:
        job = _job(source, len(cluster.jobs))
        cluster.jobs.append(job)
        if not _place(source, cluster, free, job):
            refused += 1
    for _ in range(waiting):
        cluster.jobs.append(_job(source, len(cluster.jobs)))
    return cluster


def plan_round(cluster: FullCluster) -> Plan:
    """Return the decisions of one round."""
    workers = [
        WorkerCapacity(
            entry=entry,
            runs=cluster.runs[entry.worker_id],
            failure_score=cluster.failure_scores[entry.worker_id],
        )
        for entry in cluster.entries
    ]
    planner = Planner(
        workers={SERVICE: workers},
        guaranteed=cluster.guaranteed,
        now_s=NOW_S,
        tickets=lambda job, ready: {},
    )
    return planner.plan(cluster.jobs)


def _is_drawn(source: random.Random, share: float) -> bool:
    return source.random() < share


def _entry(number: int) -> WorkerEntry:
    return WorkerEntry(
        worker_id=f'w{number:04d}',
        service=SERVICE,
        address=f'10.0.0.1:{number}',
        data_centre='dc',
        capacity=WORKER_CAPACITY,
        labels=('a', f'r{number // WORKERS_PER_RACK}'),
    )


def _job(source: random.Random, number: int) -> ActiveJob:
    kind = source.choices(KINDS, (8.8, 2.1, 2.0))[0]
    width = max(1, min(int(source.expovariate(1 / kind.widths)), 60))
    gang = _is_drawn(source, kind.gang_share)
    step = Step(
        width=width,
        needs=Resources(
            kind.cpu_millis,
            kind.memory_mb,
            source.choice(kind.gpu_sizes),
        ),
        estimate_s=kind.run_s * source.uniform(0.5, 2),
        gang=gang,
        same_rack=gang and _is_drawn(source, SAME_RACK_SHARE),
        near_rack='r0'
        if not gang and _is_drawn(source, NEAR_RACK_SHARE)
        else '',
        max_per_worker=source.choice((0, 0, 0, 2)),
        checkpointable=_is_drawn(source, CHECKPOINT_SHARE),
    )
    spec = JobSpec(
        job_id=f'job-{number}',
        queue=Queue(
            name=f'queue-{kind.priority}',
            host='jobs.example',
            path_prefix=f'/queue-{kind.priority}/',
            service=SERVICE,
            priority=kind.priority,
            attempts=2,
            slack_factor=2.0,
            target_s=1.0,
        ),
        workspace=f'team-{source.randrange(10)}',
        payload='text',
        steps=(step,),
        accepted_at_s=NOW_S - source.uniform(0, 20),
    )
    return ActiveJob(spec=spec, progress=JobProgress(queue=spec.queue.name))


def _place(
    source: random.Random,
    cluster: FullCluster,
    free: dict[str, Resources],
    job: ActiveJob,
) -> bool:
    """Place a job's tasks wherever they fit; return whether all of them do."""
    step = job.spec.steps[0]
    age_s = source.uniform(0, step.estimate_s)
    stopped = _is_drawn(source, STOPPED_SHARE)
    workers = list(free)
    for key in job.keys_of(0, 0):
        start = source.randrange(len(workers))
        order = workers[start:] + workers[:start]
        worker = next(
            (one for one in order if free[one].covers(step.needs)), ''
        )
        if not worker:
            return False
        free[worker] = free[worker].minus(step.needs)
        run = _run(job, key, worker)
        run.age_s = age_s
        run.stop_wanted = stopped
        job.runs[key] = run
        task = job.progress.task(key)
        task.worker = worker
        task.attempt = 1
        cluster.runs[worker].append(run)
    return True


def _run(job: ActiveJob, key: TaskKey, worker: str) -> Run:
    step = job.step_of(key)
    return Run(
        key=key,
        attempt=1,
        worker_id=worker,
        needs=step.needs,
        priority=job.spec.queue.priority,
        checkpointable=step.checkpointable,
        state=RUNNING,
        now_s=0.0,
        estimate_s=step.estimate_s,
    )
