"""Simulates loads with the real decisions of ``placement`` on a fake clock.

``python -m bench.replay --load burst --seeds 20`` draws days of jobs with
bursts, wrong estimates, failing runs and draining workers. It prints the credit
that callers earn by the users' measures, the work that was wasted, and how
often jobs started. ``--without NAME`` simulates each day again with one
mechanism disabled, and prints the mean of the paired differences with its
standard error.

The simulation has no store, no network and no leader: each delay between a
decision and its effect is a constant.
"""

import heapq
import json
import math
import random
import statistics
from collections import defaultdict
from collections.abc import Callable
from functools import partial
from typing import Annotated, Any, Final, NamedTuple

import typer

from curranthill.placement import (
    RUNNING,
    SPEEDS,
    ActiveJob,
    BacklogCursor,
    Planner,
    ReservationWindows,
    Run,
    WorkerCapacity,
    WorkerEntry,
    validate_mechanisms,
)
from curranthill.tasks import (
    JobProgress,
    JobSpec,
    Queue,
    Resources,
    Step,
    TaskKey,
)

SERVICE: Final = 'calc'
NOW_S: Final = 1_700_001_000.0
WORKER_CAPACITY: Final = Resources(cpu_millis=32_000, memory_mb=131_072, gpus=8)

#: From a decision to the start of its run (a commit and a call), and from a
#: stop order to the report of the run's end (the stop itself and a report), in
#: seconds.
START_DELAY_S: Final = 0.02
STOP_DELAY_S: Final = 0.2

#: The shortest time between two rounds of placement, in seconds.
MIN_ROUND_INTERVAL_S: Final = 0.02

#: The interval at which workers report the progress of runs, in seconds.
REPORT_INTERVAL_S: Final = 1.5

#: The interval between rounds while a job waits, in seconds.
WAITING_ROUND_INTERVAL_S: Final = 0.25

#: The time that a run needs to resume from a checkpoint, in seconds, and the
#: factor by which tasks that need one rack run longer across several.
RESTORE_S: Final = 0.6
CROSS_RACK_FACTOR: Final = 3.0

#: A late job earns credit up to this multiple of its objective.
LATE_CREDIT_FACTOR: Final = 3.0

#: The penalty for a wasted core-second, in the unit of the jobs' worth.
WASTE_PENALTY: Final = 0.0017

#: The most tasks of a step, the most accelerators of one job (a rack has 48),
#: and the standard deviation of the logarithm of an estimate's error.
MAX_WIDTH: Final = 40
MAX_GPUS_PER_JOB: Final = 40
ESTIMATE_SIGMA: Final = 0.6

#: How long jobs arrive, and how long the remaining ones may then take to
#: complete, in seconds.
DAY_S: Final = 40.0
COMPLETION_S: Final = 40.0


class Kind(NamedTuple):
    """A kind of jobs and the distributions that it is drawn from.

    :param per_worker_s: arrivals per second and worker.
    :param mean_width: the mean number of tasks.
    :param run_s: the median run time, in seconds.
    :param run_s_sigma: the standard deviation of its logarithm.
    :param failing_share: the share of jobs of which the first run fails.
    :param worth: the credit of a job that completes by its objective.
    :param late_worth: the credit of a late job.
    """

    priority: int
    per_worker_s: float
    mean_width: float
    run_s: float
    run_s_sigma: float
    cpu_millis: int
    memory_mb: int
    gpus: tuple[int, ...]
    gang: bool
    same_rack_share: float
    checkpoint_share: float
    failing_share: float
    slack_factor: float
    target_s: float
    worth: float
    late_worth: float


GPUS: Final = (1, 2, 4, 8, 8)
KINDS: Final = (
    Kind(
        0,
        0.025,
        5.4,
        2.5,
        0.5,
        3700,
        15_000,
        GPUS,
        True,
        0.8,
        0.0,
        0.05,
        1.5,
        0.25,
        4.0,
        0.8,
    ),  # fmt: skip
    Kind(
        1,
        0.006,
        13.0,
        8.5,
        0.3,
        13_000,
        38_000,
        GPUS,
        True,
        0.6,
        0.45,
        0.02,
        2.0,
        1.0,
        3.0,
        0.9,
    ),  # fmt: skip
    Kind(
        2,
        0.006,
        39.0,
        7.6,
        0.3,
        2800,
        11_000,
        (1,),
        False,
        0.0,
        0.45,
        0.02,
        3.0,
        3.0,
        1.0,
        0.3,
    ),  # fmt: skip
)


#: Jobs for which memory is scarcer than accelerators.
WIDE_KINDS: Final = (
    KINDS[0]._replace(
        per_worker_s=0.0167, cpu_millis=7500, memory_mb=31_000
    ),  # fmt: skip
    KINDS[1]._replace(
        per_worker_s=0.0061,
        run_s=6.8,
        cpu_millis=26_000,
        memory_mb=140_000,
        same_rack_share=0.0,
        slack_factor=3.0,
    ),
    KINDS[2]._replace(
        per_worker_s=0.005, run_s=9.5, cpu_millis=5600, memory_mb=16_000
    ),  # fmt: skip
)
WIDE_WORKER_CAPACITY: Final = Resources(
    cpu_millis=64_000, memory_mb=262_144, gpus=8
)


class Load(NamedTuple):
    """The load and the events of a simulated day.

    :param rate: the factor of all arrival rates.
    :param bursts: start and end, in seconds, of each burst of urgent jobs, and
        the factor of their arrival rate.
    :param drains: when workers begin to drain, which share of them, and how
        long after that they are removed; times in seconds.
    :param takeovers: when a new leader's term begins, and how long it takes to
        probe the last worker, in seconds.
    :param worker_capacity: the capacity of each worker.
    :param max_gpus: the most accelerators of one job.
    :param workspaces: the share of the jobs that each workspace submits.
    :param speeds: the speeds of the workers, repeated cyclically.
    """

    rate: float = 1.0
    bursts: tuple[tuple[float, float, float], ...] = ()
    drains: tuple[tuple[float, float, float], ...] = ()
    takeovers: tuple[tuple[float, float], ...] = ()
    kinds: tuple[Kind, ...] = KINDS
    worker_capacity: Resources = WORKER_CAPACITY
    max_gpus: int = MAX_GPUS_PER_JOB
    workspaces: tuple[float, ...] = (1.0, 1.0, 1.0, 1.0)
    speeds: tuple[float, ...] = (1.0,)


WIDE: Final = Load(
    rate=1.3,
    kinds=WIDE_KINDS,
    worker_capacity=WIDE_WORKER_CAPACITY,
    max_gpus=128,
    workspaces=(0.4, 0.2, 0.1, 0.1, 0.05, 0.05, 0.03, 0.03, 0.02, 0.02),
)

LOADS: Final = {
    'wide': WIDE._replace(bursts=((5, 11, 2.2), (20, 24, 2.1))),
    'wide-over': WIDE._replace(rate=2.0, bursts=((5, 11, 2.2),)),
    'wide-flood': WIDE._replace(rate=3.0, bursts=((5, 11, 2.2),)),
    'takeover': WIDE._replace(takeovers=((8, 1.5), (16, 1.5), (24, 1.5))),
    'calm': Load(),
    'over': Load(rate=2.4, bursts=((5, 11, 2.2), (20, 24, 2.1))),
    'burst': Load(rate=1.4, bursts=((5, 11, 2.2), (20, 24, 2.1))),
    'full': Load(rate=1.8, bursts=((5, 11, 2.2), (20, 24, 2.1))),
    'leaving': Load(
        rate=1.4,
        bursts=((5, 11, 2.2),),
        drains=((8, 0.15, 2.0), (22, 0.1, 3.0)),
    ),
    'unlike': Load(
        rate=1.4,
        bursts=((5, 11, 2.2), (20, 24, 2.1)),
        speeds=(0.55, 1.2, 1.2, 1.2),
    ),
    'unlike-calm': Load(speeds=(0.55, 1.2, 1.2, 1.2)),
    'unlike-full': Load(
        rate=1.8,
        bursts=((5, 11, 2.2), (20, 24, 2.1)),
        speeds=(0.55, 1.2, 1.2, 1.2),
    ),
}


class DrawnJob(NamedTuple):
    """The properties of a drawn job that the planner does not know.

    :param fails_at_share: the share of its run time after which its first run
        fails; infinite if it doesn't fail.
    """

    kind: Kind
    run_s: float
    arrives_s: float
    fails_at_share: float
    workspace: str

    def objective_s(self) -> float:
        """Return when it should complete, computed from its true run time."""
        slack_s = self.kind.slack_factor * self.run_s
        return self.arrives_s + slack_s + self.kind.target_s


class _Progress(NamedTuple):
    """The progress with which a run starts, and how long it takes."""

    first_percent: int
    duration_s: float


class Outcome(NamedTuple):
    """The results of a simulated day.

    :param worth: the weighted credit, less the penalty for wasted work.
    :param credit: the earned share of the credit that was possible.
    :param urgent: this share for jobs of priority 0, as ``middle`` for priority
        1 and ``low`` for priority 2.
    :param wasted_share: the share of all core-seconds that was wasted.
    :param starts_a_job: the mean number of started runs per job.
    :param stops: runs that were stopped for others.
    :param late_middle: the share of jobs of priority 1 that were late.
    :param worst_workspace: the smallest share of its possible credit that a
        workspace earned.
    """

    worth: float
    credit: float
    urgent: float
    middle: float
    low: float
    wasted_share: float
    starts_a_job: float
    stops: float
    late_middle: float
    worst_workspace: float


class Day:
    """A simulation of one day of a load."""

    def __init__(
        self,
        *,
        load: Load,
        workers: int,
        seed: int,
        disabled: frozenset[str],
    ) -> None:
        """Draw the day's jobs, drains and takeovers.

        :param seed: of all random draws.
        :param disabled: mechanisms that are switched off.
        """
        self._rng = random.Random(seed)  # noqa: S311
        self._load = load
        self._workspaces = [f't{one}' for one in range(len(load.workspaces))]
        self._stops = 0
        self._probed_at_s: dict[str, float] = {}
        self._windows = ReservationWindows()
        self._backlog = BacklogCursor()
        self._disabled = disabled
        self._now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self._round_due = False
        self._jobs: dict[str, ActiveJob] = {}
        self._drawn_jobs: dict[str, DrawnJob] = {}
        self._work_core_s: dict[str, float] = {}
        self._completed_at_s: dict[str, float] = {}
        self._remaining_s: dict[TaskKey, float] = {}
        self._failed_jobs: set[str] = set()
        self._wasted_core_s = 0.0
        self._useful_core_s = 0.0
        self._starts = 0
        per_rack = max(6, workers // 9)
        self._entries = {
            f'w{number}': WorkerEntry(
                worker_id=f'w{number}',
                service=SERVICE,
                address='',
                data_centre='dc',
                capacity=load.worker_capacity,
                labels=('a', f'r{number // per_rack}'),
            )
            for number in range(workers)
        }
        self._speeds = {
            name: load.speeds[number % len(load.speeds)]
            for number, name in enumerate(self._entries)
        }
        self._median_speed = statistics.median(self._speeds.values())
        self._runs: dict[str, list[Run]] = {one: [] for one in self._entries}
        self._draining: dict[str, float] = {}
        self._progress: dict[Run, _Progress] = {}
        self._memory: dict[str, Any] = {}
        self._draw_arrivals(load, workers)
        self._draw_drains(load, workers)
        for at_s, within_s in load.takeovers:
            self._schedule(at_s, partial(self._begin_takeover, within_s))

    def play(self) -> Outcome:
        """Run the simulation to its end and return its results."""
        while self._events:
            at_s, _, action = heapq.heappop(self._events)
            if at_s > DAY_S + COMPLETION_S:
                break
            self._now_s = at_s
            action()
        return self._outcome()

    def _schedule(self, at_s: float, action: Callable[[], None]) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (at_s, self._event_count, action))

    def _draw_arrivals(self, load: Load, workers: int) -> None:
        for kind in load.kinds:
            at_s = 0.0
            while at_s < DAY_S:
                rate = load.rate * kind.per_worker_s * workers
                if kind.priority == 0:
                    rate *= _burst_factor_at(load, at_s)
                at_s += self._rng.expovariate(rate)
                self._draw_job(kind, at_s)

    def _draw_job(self, kind: Kind, at_s: float) -> None:
        rng = self._rng
        job_id = f'j{len(self._drawn_jobs)}'
        run_s = min(rng.lognormvariate(0, kind.run_s_sigma) * kind.run_s, 11.0)
        gpus = rng.choice(kind.gpus)
        width = min(int(rng.expovariate(1 / kind.mean_width)) + 1, MAX_WIDTH)
        fits = width * gpus <= self._load.max_gpus
        step = Step(
            width=width if fits else 1,
            needs=Resources(kind.cpu_millis, kind.memory_mb, gpus),
            estimate_s=run_s * rng.lognormvariate(0, ESTIMATE_SIGMA),
            gang=kind.gang,
            same_rack=rng.random() < kind.same_rack_share
            and width * gpus <= MAX_GPUS_PER_JOB,
            checkpointable=rng.random() < kind.checkpoint_share,
        )
        fails_at_share = rng.random()
        if rng.random() > kind.failing_share:
            fails_at_share = math.inf
        workspace = self._draw_workspace()
        self._drawn_jobs[job_id] = DrawnJob(
            kind, run_s, at_s, fails_at_share, workspace
        )
        self._work_core_s[job_id] = step.width * step.needs.weight_cores * run_s
        queue = Queue(
            name=f'q{kind.priority}',
            host='',
            path_prefix='/',
            service=SERVICE,
            priority=kind.priority,
            attempts=4,
            slack_factor=kind.slack_factor,
            target_s=kind.target_s,
        )
        spec = JobSpec(
            job_id=job_id,
            queue=queue,
            workspace=workspace,
            payload='',
            steps=(step,),
            accepted_at_s=NOW_S + at_s,
        )
        self._schedule(at_s, lambda: self._accept(spec))

    def _draw_workspace(self) -> str:
        shares = self._load.workspaces
        if len(set(shares)) == 1:
            return self._workspaces[self._rng.randrange(len(shares))]
        return self._rng.choices(self._workspaces, shares)[0]

    def _begin_takeover(self, within_s: float) -> None:
        """Begin the term of a leader that has probed no worker yet."""
        for worker_id in self._entries:
            at_s = self._now_s + self._rng.uniform(0, within_s)
            self._probed_at_s[worker_id] = at_s
            self._schedule(at_s, self._request_round)

    def _draw_drains(self, load: Load, workers: int) -> None:
        for at_s, share, notice_s in load.drains:
            chosen = self._rng.sample(
                sorted(self._entries), int(share * workers)
            )
            for worker_id in chosen:
                self._schedule(at_s, partial(self._drain, worker_id, notice_s))

    def _accept(self, spec: JobSpec) -> None:
        progress = JobProgress(queue=spec.queue.name, tasks={})
        self._jobs[spec.job_id] = ActiveJob(spec=spec, progress=progress)
        self._request_round()

    def _estimated_speed(self, name: str) -> float:
        """Return a worker's speed as a leader estimates it after some time."""
        if SPEEDS in self._disabled:
            return 1.0
        return self._speeds[name] / self._median_speed

    def _request_round(self) -> None:
        if not self._round_due:
            self._round_due = True
            self._schedule(self._now_s + MIN_ROUND_INTERVAL_S, self._run_round)

    def _run_round(self) -> None:
        self._round_due = False
        for runs in self._runs.values():
            for run in runs:
                run.age_s = max(0.0, self._now_s - run.started_s)
                self._update_progress(run)
        capacities = [
            WorkerCapacity(
                entry=self._entries[name],
                runs=runs,
                failure_score=0.0,
                speed=self._estimated_speed(name),
            )
            for name, runs in self._runs.items()
            if name not in self._draining
            and self._probed_at_s.get(name, 0.0) <= self._now_s
        ]
        planner = Planner(
            workers={SERVICE: capacities},
            guaranteed=self._guaranteed(),
            now_s=NOW_S + self._now_s,
            tickets=lambda job, ready: {},
            windows=self._windows,
            backlog=self._backlog,
            disabled=self._disabled,
        )
        plan = planner.plan(self._jobs.values())
        stopped = {run.key.job_id for run in plan.victims}
        for job_id in stopped:
            self._jobs[job_id].progress.stops += 1
        for victim in plan.victims:
            self._stop(victim)
        for placement in plan.placements:
            self._start(
                placement.job, placement.ready.step, dict(placement.workers)
            )
        if any(not job.runs for job in self._jobs.values()):
            self._schedule(
                self._now_s + WAITING_ROUND_INTERVAL_S, self._request_round
            )

    def _update_progress(self, run: Run) -> None:
        """Set a run's progress as reported at the interval of renewals."""
        progress = self._progress[run]
        reported_s = run.age_s - run.age_s % REPORT_INTERVAL_S
        gained = (100 - progress.first_percent) * reported_s
        run.done_percent = int(
            progress.first_percent + gained / progress.duration_s
        )
        run.percent_changed_s = run.started_s + reported_s

    def _guaranteed(self) -> dict[str, int]:
        """Guarantee half of all accelerators, in equal parts."""
        workers = len(self._entries) - len(self._draining)
        part = 4 * workers // len(self._workspaces)
        return dict.fromkeys(self._workspaces, part)

    def _start(
        self, job: ActiveJob, step: Step, workers: dict[TaskKey, str]
    ) -> None:
        drawn = self._drawn_jobs[job.spec.job_id]
        racks = {self._entries[name].rack for name in workers.values()}
        factor = CROSS_RACK_FACTOR if step.same_rack and len(racks) > 1 else 1.0
        job.progress.state = 'running'
        self._starts += len(workers)
        started = []
        for key, worker_id in workers.items():
            run = Run(
                key=key,
                attempt=job.next_attempt((key,)),
                worker_id=worker_id,
                needs=step.needs,
                priority=job.spec.queue.priority,
                checkpointable=step.checkpointable,
                state=RUNNING,
                now_s=self._now_s + START_DELAY_S,
                estimate_s=step.estimate_s,
            )
            task = job.progress.task(key)
            task.worker = worker_id
            task.attempt = run.attempt
            job.runs[key] = run
            self._runs[worker_id].append(run)
            started.append(run)
        if step.gang:
            self._schedule_end(job, started, drawn, factor)
        else:
            for run in started:
                self._schedule_end(job, [run], drawn, factor)

    def _schedule_end(
        self, job: ActiveJob, runs: list[Run], drawn: DrawnJob, factor: float
    ) -> None:
        remaining_s = self._remaining_s.get(runs[0].key, drawn.run_s)
        speed = min(self._speeds[run.worker_id] for run in runs)
        duration_s = remaining_s * factor / speed
        if remaining_s < drawn.run_s:
            duration_s += RESTORE_S
        first_percent = int(100 * (1 - remaining_s / drawn.run_s))
        for run in runs:
            run.first_percent = first_percent
            self._progress[run] = _Progress(first_percent, duration_s)
        began_s = self._now_s + START_DELAY_S
        fails_s = drawn.fails_at_share * duration_s
        if job.spec.job_id not in self._failed_jobs and fails_s < duration_s:
            self._schedule(began_s + fails_s, lambda: self._fail(job, runs))
        else:
            self._schedule(
                began_s + duration_s, lambda: self._finish(job, runs)
            )

    def _finish(self, job: ActiveJob, runs: list[Run]) -> None:
        if not all(job.runs.get(run.key) is run for run in runs):
            return
        if any(run.stop_wanted for run in runs):
            return
        for run in runs:
            self._useful_core_s += run.needs.weight_cores * (
                self._now_s - run.started_s
            )
            self._release_run(job, run)
            job.progress.task(run.key).done = True
        if job.check_completed(self._now_s):
            self._completed_at_s[job.spec.job_id] = self._now_s
            self._jobs.pop(job.spec.job_id)
        self._request_round()

    def _fail(self, job: ActiveJob, runs: list[Run]) -> None:
        if all(job.runs.get(run.key) is run for run in runs):
            self._failed_jobs.add(job.spec.job_id)
            for run in runs:
                self._abort_run(job, run)

    def _stop(self, run: Run) -> None:
        run.stop_wanted = True
        self._stops += 1
        job = self._jobs[run.key.job_id]
        self._schedule(
            self._now_s + STOP_DELAY_S, lambda: self._abort_run(job, run)
        )

    def _abort_run(self, job: ActiveJob, run: Run) -> None:
        if job.runs.get(run.key) is not run:
            return
        ran_s = max(0.0, self._now_s - run.started_s)
        if run.checkpointable and run.stop_wanted:
            drawn = self._drawn_jobs[job.spec.job_id]
            remaining_s = self._remaining_s.get(run.key, drawn.run_s)
            done_s = ran_s * self._speeds[run.worker_id]
            self._remaining_s[run.key] = max(0.05, remaining_s - done_s)
            ran_s = min(ran_s, 0.3)
        self._wasted_core_s += run.needs.weight_cores * ran_s
        self._release_run(job, run)
        self._request_round()

    def _release_run(self, job: ActiveJob, run: Run) -> None:
        job.runs.pop(run.key)
        self._progress.pop(run)
        job.progress.task(run.key).worker = ''
        self._runs[run.worker_id].remove(run)

    def _drain(self, worker_id: str, notice_s: float) -> None:
        self._draining[worker_id] = self._now_s + notice_s
        self._schedule(
            self._now_s + notice_s, lambda: self._remove_worker(worker_id)
        )

    def _remove_worker(self, worker_id: str) -> None:
        for run in list(self._runs[worker_id]):
            job = self._jobs[run.key.job_id]
            for key in job.members_of(run.key):
                member = job.runs.get(key)
                if member is not None:
                    self._abort_run(job, member)

    def _outcome(self) -> Outcome:
        possible: dict[int, float] = defaultdict(float)
        earned: dict[int, float] = defaultdict(float)
        means = {
            kind.priority: statistics.fmean(
                self._work_core_s[job_id]
                for job_id, drawn in self._drawn_jobs.items()
                if drawn.kind is kind
            )
            for kind in self._load.kinds
        }
        possible_by_workspace: dict[str, float] = defaultdict(float)
        earned_by_workspace: dict[str, float] = defaultdict(float)
        for job_id, drawn in self._drawn_jobs.items():
            share = self._work_core_s[job_id] / means[drawn.kind.priority]
            size = min(0.3 + 0.7 * share, 4.0)
            possible[drawn.kind.priority] += size * drawn.kind.worth
            gain = size * self._earned(job_id, drawn)
            earned[drawn.kind.priority] += gain
            possible_by_workspace[drawn.workspace] += size * drawn.kind.worth
            earned_by_workspace[drawn.workspace] += gain
        total = sum(possible.values())
        waste = WASTE_PENALTY * self._wasted_core_s / total
        credit = sum(earned.values()) / total
        shares = [earned[one] / possible[one] for one in sorted(possible)]
        return Outcome(
            worth=0.7 * credit + 0.3 * min(shares) - waste,
            credit=credit,
            urgent=shares[0],
            middle=shares[1],
            low=shares[2],
            wasted_share=self._wasted_core_s
            / (self._wasted_core_s + self._useful_core_s),
            starts_a_job=self._starts / len(self._drawn_jobs),
            stops=self._stops,
            late_middle=self._late_share(1),
            worst_workspace=min(
                earned_by_workspace[one] / possible_by_workspace[one]
                for one in possible_by_workspace
            ),
        )

    def _late_share(self, priority: int) -> float:
        late = [
            self._earned(job_id, drawn) < drawn.kind.worth
            for job_id, drawn in self._drawn_jobs.items()
            if drawn.kind.priority == priority
        ]
        return sum(late) / len(late)

    def _earned(self, job_id: str, drawn: DrawnJob) -> float:
        done_s = self._completed_at_s.get(job_id, math.inf)
        objective_s = drawn.objective_s()
        if done_s <= objective_s:
            return drawn.kind.worth
        late_s = LATE_CREDIT_FACTOR * (objective_s - drawn.arrives_s)
        if done_s <= drawn.arrives_s + late_s:
            return drawn.kind.late_worth
        return 0.0


def _burst_factor_at(load: Load, at_s: float) -> float:
    for began_s, ended_s, factor in load.bursts:
        if began_s <= at_s < ended_s:
            return factor
    return 1.0


def compare(
    load: Load,
    workers: int,
    seeds: int,
    disabled: frozenset[str],
) -> list[Outcome]:
    """Return the results of days with some mechanisms disabled."""
    return [
        Day(load=load, workers=workers, seed=seed, disabled=disabled).play()
        for seed in range(seeds)
    ]


def difference(
    ours: list[Outcome],
    theirs: list[Outcome],
) -> tuple[float, float]:
    """Return the mean paired difference in worth, and its standard error."""
    pairs = [
        one.worth - other.worth for one, other in zip(ours, theirs, strict=True)
    ]
    error = statistics.stdev(pairs) / math.sqrt(len(pairs))
    return statistics.fmean(pairs), error


def main(
    loads: Annotated[str, typer.Option('--load')] = ','.join(LOADS),
    workers: int = 24,
    seeds: int = 10,
    without: str = '',
    out: str = '',
) -> None:
    """Simulate loads, and again without each named mechanism."""
    results: dict[str, Any] = {}
    for name in loads.split(','):
        base = compare(LOADS[name], workers, seeds, frozenset())
        results[name] = base
        fields = [
            f'{field} {statistics.fmean(values):.4f}'
            for field, values in zip(
                Outcome._fields, zip(*base, strict=True), strict=True
            )
        ]
        typer.echo(f'{name}: {", ".join(fields)}')
        for mechanism in filter(None, without.split(',')):
            others = compare(
                LOADS[name], workers, seeds, validate_mechanisms([mechanism])
            )
            mean, error = difference(base, others)
            typer.echo(f'  {mechanism}: worth {mean:+.4f} +- {error:.4f}')
    if out:
        with open(out, 'w', encoding='utf-8') as target:
            json.dump(results, target)


if __name__ == '__main__':
    typer.run(main)
