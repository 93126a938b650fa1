"""Random full clusters with waiting jobs, as input of a round of placement.

They are drawn from a seed, so that the same round can be planned again. Gangs
and independent tasks use nearly all accelerators, some runs are being stopped,
some workers have a failure score, and urgent gangs, long gangs and wide steps
wait.
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
STOPPING_SHARE: Final = 0.05


class Kind(NamedTuple):
    """A kind of random jobs.

    :param mean_width: the mean number of tasks of a step.
    :param run_s: estimates are half of this to twice this, in seconds.
    :param gang_share: the share of the jobs that are gangs.
    """

    priority: int
    mean_width: float
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
    :param failure_scores: the failure score of each worker.
    :param jobs: jobs that run or wait.
    """

    entries: tuple[WorkerEntry, ...]
    runs: dict[str, list[Run]]
    failure_scores: dict[str, float]
    jobs: list[ActiveJob]
    guaranteed: dict[str, int]


def draw_cluster(*, workers: int, waiting: int, seed: int) -> FullCluster:
    """Return a cluster that is nearly full.

    :param waiting: how many jobs wait besides those that do not fit.
    """
    rng = random.Random(seed)  # noqa: S311
    entries = tuple(_entry(number) for number in range(workers))
    free = {entry.worker_id: entry.capacity for entry in entries}
    cluster = FullCluster(
        entries=entries,
        runs={entry.worker_id: [] for entry in entries},
        failure_scores={
            entry.worker_id: float(rng.choice((0, 0, 0, 0, 0, 0, 1, 2)))
            for entry in entries
        },
        jobs=[],
        guaranteed={f'team-{team}': 8 * team for team in range(5)},
    )
    unplaced = 0
    while unplaced < 8:
        job = _job(rng, len(cluster.jobs))
        cluster.jobs.append(job)
        if not _place(rng, cluster, free, job):
            unplaced += 1
    for _ in range(waiting):
        cluster.jobs.append(_job(rng, len(cluster.jobs)))
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


def _draw_bool(rng: random.Random, share: float) -> bool:
    return rng.random() < share


def _entry(number: int) -> WorkerEntry:
    return WorkerEntry(
        worker_id=f'w{number:04d}',
        service=SERVICE,
        address=f'10.0.0.1:{number}',
        data_centre='dc',
        capacity=WORKER_CAPACITY,
        labels=('a', f'r{number // WORKERS_PER_RACK}'),
    )


def _job(rng: random.Random, number: int) -> ActiveJob:
    kind = rng.choices(KINDS, (8.8, 2.1, 2.0))[0]
    width = max(1, min(int(rng.expovariate(1 / kind.mean_width)), 60))
    gang = _draw_bool(rng, kind.gang_share)
    step = Step(
        width=width,
        needs=Resources(
            kind.cpu_millis,
            kind.memory_mb,
            rng.choice(kind.gpu_sizes),
        ),
        estimate_s=kind.run_s * rng.uniform(0.5, 2),
        gang=gang,
        same_rack=gang and _draw_bool(rng, SAME_RACK_SHARE),
        near_rack='r0' if not gang and _draw_bool(rng, NEAR_RACK_SHARE) else '',
        max_per_worker=rng.choice((0, 0, 0, 2)),
        checkpointable=_draw_bool(rng, CHECKPOINT_SHARE),
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
        workspace=f'team-{rng.randrange(10)}',
        payload='text',
        steps=(step,),
        accepted_at_s=NOW_S - rng.uniform(0, 20),
    )
    return ActiveJob(spec=spec, progress=JobProgress(queue=spec.queue.name))


def _place(
    rng: random.Random,
    cluster: FullCluster,
    free: dict[str, Resources],
    job: ActiveJob,
) -> bool:
    """Place a job's tasks on random workers; return whether all of them fit.

    Tasks that fit before the first that does not stay placed.
    """
    step = job.spec.steps[0]
    age_s = rng.uniform(0, step.estimate_s)
    stopping = _draw_bool(rng, STOPPING_SHARE)
    workers = list(free)
    for key in job.keys_of(0, 0):
        start = rng.randrange(len(workers))
        order = workers[start:] + workers[:start]
        worker = next(
            (one for one in order if free[one].covers(step.needs)), ''
        )
        if not worker:
            return False
        free[worker] = free[worker].minus(step.needs)
        run = _run(job, key, worker)
        run.age_s = age_s
        run.stop_wanted = stopping
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
